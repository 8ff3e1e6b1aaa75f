"""Signals that come to a program before it handles them."""

import os
import signal
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from behave import then

TIMEOUT_S = 30
LOOK_S = 0.5  # a signal that ends a process does so long before
EXIT_BAD_INPUT = 2


@then("the program {program} that is hung up while it reads its settings goes on")
def _(context, program):
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.toml"
        os.mkfifo(settings)  # who reads it stands there until it is written
        process = subprocess.Popen(
            [sys.executable, "-m", "umbermoor.gateway", program],
            env={**os.environ, "UMBERMOOR_SETTINGS": str(settings)},
            stderr=subprocess.PIPE,
        )
        guard = threading.Timer(TIMEOUT_S, process.kill)
        guard.start()
        try:
            status, errors = hung_up(process, settings)
        finally:
            guard.cancel()
            process.kill()
    assert status == EXIT_BAD_INPUT, (status, errors)


def hung_up(process, settings):
    """The status and errors of a program that gets SIGHUP, and then settings that are none."""
    with settings.open("w") as writer:  # once the program has opened it
        process.send_signal(signal.SIGHUP)
        try:
            process.wait(LOOK_S)
        except subprocess.TimeoutExpired:
            writer.write("no settings at all")
    _, errors = process.communicate(timeout=TIMEOUT_S)
    return process.returncode, errors

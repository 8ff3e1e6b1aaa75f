"""Signals that a program gets before it has installed its handlers."""

import os
import signal
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from behave import then

TIMEOUT_S = 30
EXIT_CHECK_S = 0.5  # a signal that ends a process takes much less time
EXIT_BAD_INPUT = 2


@then("the program {program} that gets SIGHUP while it reads its settings continues")
def _(context, program):
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.toml"
        os.mkfifo(settings)  # opening it blocks the reader until it is written
        process = subprocess.Popen(
            [sys.executable, "-m", "umbermoor.gateway", program],
            env={**os.environ, "UMBERMOOR_SETTINGS": str(settings)},
            stderr=subprocess.PIPE,
        )
        guard = threading.Timer(TIMEOUT_S, process.kill)
        guard.start()
        try:
            status, errors = hang_up(process, settings)
        finally:
            guard.cancel()
            process.kill()
    assert status == EXIT_BAD_INPUT, (status, errors)


def hang_up(process, settings):
    """Send a program SIGHUP and then invalid settings; return its exit status and errors."""
    with settings.open("w") as writer:  # once the program has opened it
        process.send_signal(signal.SIGHUP)
        try:
            process.wait(EXIT_CHECK_S)
        except subprocess.TimeoutExpired:
            writer.write("no settings at all")
    _, errors = process.communicate(timeout=TIMEOUT_S)
    return process.returncode, errors

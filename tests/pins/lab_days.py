"""The shipped days of the laboratory in virtual time: the output of `umbermoor lab day --json`."""

import subprocess
import sys
from pathlib import Path

from tests.pins.trace import Trace

ROOT = Path(__file__).parents[2]
DAYS = (
    "burst",
    "calm",
    "dragging-build",
    "failing-build",
    "goaway",
    "good-build",
    "killed-fronts",
    "late-build",
    "lost-group",
    "many-fronts",
    "match",
    "replacement",
    "silent",
    "slow-build",
    "vast-build",
    "vast-sick",
    "vast-slow",
    "wrong-build",
)
SHORT_DAYS = ("failing-build", "killed-fronts")
BREACHED = 1  # exit status of a day whose audit finds a breach


def cases(every: bool) -> list[str]:
    """Return the names of the cases, which are days."""
    return list(DAYS if every else SHORT_DAYS)


def play(case: str, trace: Trace) -> None:
    """Play the day with the command line and trace its output."""
    command = [sys.executable, "-m", "umbermoor", "lab", "day", case, "--json", "-"]
    done = subprocess.run(command, capture_output=True, check=False, cwd=ROOT)
    if done.returncode not in (0, BREACHED) or not done.stdout:
        raise RuntimeError(f"{case}: status {done.returncode}: {done.stderr.decode()}")
    trace.add(done.returncode, done.stdout)

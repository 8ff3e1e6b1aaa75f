"""The bytes that the adapter `python -m umbermoor.benchlink` answers to recorded input lines.

`tests.pins.decision_inputs` recorded the input lines from days of the laboratory; they are stored
compressed in `recorded/decisions`.
"""

import gzip
import subprocess
import sys
from pathlib import Path

from tests.pins.trace import Trace

ROOT = Path(__file__).parents[2]
FOLDER = Path(__file__).with_name("recorded") / "decisions"
SUFFIX = ".jsonl.gz"


def cases(every: bool) -> list[str]:
    """Return the names of the cases, one per file of input lines, in the short form too."""
    return sorted(path.name.removesuffix(SUFFIX) for path in FOLDER.glob("*" + SUFFIX))


def play(case: str, trace: Trace) -> None:
    """Feed the input lines to the adapter; trace its answers and its exit status."""
    lines = gzip.decompress((FOLDER / (case + SUFFIX)).read_bytes())
    command = [sys.executable, "-m", "umbermoor.benchlink"]
    done = subprocess.run(command, input=lines, capture_output=True, check=False, cwd=ROOT)
    for answer in done.stdout.splitlines():
        trace.add(answer)
    trace.add(done.returncode, done.stderr)

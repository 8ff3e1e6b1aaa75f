"""The adapter `python -m umbermoor.benchlink`: the bytes that it answers to recorded input lines.

The input lines were made by `tests.pins.decision_inputs` from days of the laboratory; they are in
`recorded/decisions`, compressed.
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
    """Names of cases: files of input lines, all of them in either form."""
    return sorted(path.name.removesuffix(SUFFIX) for path in FOLDER.glob("*" + SUFFIX))


def play(case: str, trace: Trace) -> None:
    """Feeds the input lines to the adapter, and traces its answers and its exit status."""
    lines = gzip.decompress((FOLDER / (case + SUFFIX)).read_bytes())
    command = [sys.executable, "-m", "umbermoor.benchlink"]
    done = subprocess.run(command, input=lines, capture_output=True, check=False, cwd=ROOT)
    for answer in done.stdout.splitlines():
        trace.add(answer)
    trace.add(done.returncode, done.stderr)

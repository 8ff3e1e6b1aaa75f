"""Writes the fixtures of frames and records that this tree sends and stores.

Usage: python -m tests.gateway.compatibility.record_present

Run it only in a commit that changes on purpose what is sent or stored, or when; the message of that
commit says what. The fixtures of 496b6e6 stay as they are: what that revision wrote is still read.
"""

import json
import sys

from tests.gateway.compatibility.recording import record_day, write_samples
from tests.gateway.compatibility.this_revision import PRESENT, REVISION


def main() -> int:
    """Write the fixtures."""
    recording = record_day(REVISION)
    index = {
        "frames": write_samples(PRESENT / "frames", recording.frames),
        "records": write_samples(PRESENT / "records", recording.records),
    }
    (PRESENT / "index.json").write_text(json.dumps(index, indent=1, sort_keys=True) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Writes the fixtures of messages and records by running the code of revision 496b6e6.

Usage, with a checkout of that revision (`git worktree add --detach FOLDER 496b6e6`):

    PYTHONPATH=FOLDER python tests/gateway/compatibility/generate.py

Fixtures are never edited by hand. The modules imported here have the names of that revision.
"""

import json
import sys
from pathlib import Path
from typing import Any

from recording import Revision, record_datagrams, record_day, write_samples

FIXTURES = Path(__file__).parents[1] / "fixtures"


def revision_496b6e6() -> Revision:
    """Return the code that a recording uses, by its names in 496b6e6."""
    from umbermoor.gateway.chamber.play import Caller, Play
    from umbermoor.gateway.chamber.script import read
    from umbermoor.gateway.chamber.virtual import Disk, End
    from umbermoor.gateway.sonde.fronts import Sonde

    def play(day: str, calls: Any) -> None:
        played = Play(read(day))
        for at, path, body in calls:
            played.time.at(
                at,
                lambda path=path, body=body: Caller(
                    played, "POST", path, json.dumps(body).encode(), lambda status, told: None
                ),
            )
        played.run()

    return Revision(play, End, Disk, Sonde, Sonde.heard_of, Sonde.datagram, Sonde.tick, Sonde.leave)


def main() -> int:
    """Write all fixtures that are recorded from simulations."""
    revision = revision_496b6e6()
    recording = record_day(revision)
    index = {
        "frames": write_samples(FIXTURES / "frames", recording.frames),
        "records": write_samples(FIXTURES / "records", recording.records),
        "datagrams": write_samples(FIXTURES / "datagrams", record_datagrams(revision)),
    }
    (FIXTURES / "index.json").write_text(json.dumps(index, indent=1, sort_keys=True) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""What a recording uses of this tree: the one place of the compatibility tests that names it."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tests.gateway.compatibility.recording import Revision
from umbermoor.gateway.membership.failure_detector import FailureDetector
from umbermoor.gateway.simulation.play import Caller, Play
from umbermoor.gateway.simulation.script import read
from umbermoor.gateway.simulation.virtual import Disk, End

FIXTURES = Path(__file__).parents[1] / "fixtures"


def play(day: str, calls: Sequence[tuple[int, str, Any]]) -> None:
    """Plays a day with calls to the replica set during it."""
    played = Play(read(day))
    for at, path, body in calls:
        played.time.at(
            at,
            lambda path=path, body=body: Caller(
                played, "POST", path, json.dumps(body).encode(), lambda status, told: None
            ),
        )
    played.run()


REVISION = Revision(
    play,
    End,
    Disk,
    FailureDetector,
    FailureDetector.discovered,
    FailureDetector.receive,
    FailureDetector.tick,
    FailureDetector.leave,
)

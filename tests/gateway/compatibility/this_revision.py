"""The objects of this tree that a recording uses.

The recorder takes the classes under test from here only, so a rename changes this module alone.
"""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tests.gateway.compatibility.recording import Revision
from umbermoor.gateway.membership.failure_detector import FailureDetector
from umbermoor.gateway.simulation.control_world import ControlWorld
from umbermoor.gateway.simulation.operator_call import OperatorCall
from umbermoor.gateway.simulation.schedule import parse
from umbermoor.gateway.simulation.virtual_disk import VirtualDisk
from umbermoor.gateway.simulation.virtual_transport import VirtualTransport

FIXTURES = Path(__file__).parents[1] / "fixtures"  # of 496b6e6
PRESENT = FIXTURES / "present"  # of this tree


def play(day: str, calls: Sequence[tuple[int, str, Any]]) -> None:
    """Simulate a day, with calls that change the replica set during it."""
    world = ControlWorld(parse(day))
    for at, path, body in calls:
        world.time.at(
            at,
            lambda path=path, body=body: OperatorCall(
                world, "POST", path, json.dumps(body).encode(), lambda status, answer: None
            ),
        )
    world.run()


REVISION = Revision(
    play,
    VirtualTransport,
    VirtualDisk,
    FailureDetector,
    FailureDetector.discovered,
    FailureDetector.receive,
    FailureDetector.tick,
    FailureDetector.leave,
)

"""Fault storms against replicas, with and without changes of the replica set, and with operators.

Each input of a state machine returns a list of effects, which are traced with the time and the
machine.
"""

from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from tests.gateway.operators import storm as operators_storm
from tests.gateway.replica_set_world import run_replica_set_storm
from tests.pins.trace import Trace
from tests.pins.wire_forms import effect_form
from umbermoor.gateway.simulation.replica_storm import storm
from umbermoor.gateway.simulation.replica_world import ReplicaWorld

FIRST_SEED = 5000
COUNTS = {"register": 17, "sets": 17, "operators": 17}  # seeds for each size of the replica set
SHORT_COUNTS = {"register": 3, "sets": 2, "operators": 3}
STORMS: dict[str, Callable[..., Any]] = {
    "register": storm,
    "sets": run_replica_set_storm,
    "operators": operators_storm,
}


def cases(every: bool) -> list[str]:
    """Return the names of the cases, `storm/members/seed`."""
    return [
        f"{storm}/{members}/{seed}"
        for storm, count in (COUNTS if every else SHORT_COUNTS).items()
        for members in (3, 5)
        for seed in range(FIRST_SEED, FIRST_SEED + count)
    ]


def play(case: str, trace: Trace) -> None:
    """Run one storm, and add its effects to the trace."""
    storm, members, seed = case.split("/")
    carry_out = ReplicaWorld._do

    def traced(world: ReplicaWorld, machine: Any, effects: list[Any]) -> None:
        for effect in effects:
            trace.add(world.now, machine.name, *effect_form(effect))
        carry_out(world, machine, effects)

    with patch.object(ReplicaWorld, "_do", traced):
        world = STORMS[storm](int(seed), int(members))
    model = world.model
    trace.add("end", world.now, model.puts, model.reads, model.unavailable, len(model.states))

"""Rollouts in a simulated fleet: traces each record that the controller writes, each proxy's report
and the instance of each attempt."""

from dataclasses import astuple
from typing import Any

from benchmarks.rollouts import BAD, GOOD, Fleet
from tests.pins.trace import Trace

SEEDS = 5
SHORT_SEEDS = 1


def cases(every: bool) -> list[str]:
    """Return the names of the cases, `KIND/SEED`, with the kind of the target version."""
    seeds = SEEDS if every else SHORT_SEEDS
    return [f"{kind}/{seed}" for kind in GOOD + BAD for seed in range(seeds)]


def play(case: str, trace: Trace) -> None:
    """Simulate one rollout and trace it."""
    kind, seed = case.split("/")
    fleet = _TracedFleet(trace, kind, int(seed))
    trace.add("outcome", *astuple(fleet.play()))


class _TracedFleet(Fleet):
    def __init__(self, trace: Trace, *args: Any) -> None:
        super().__init__(*args)
        self._trace = trace

    def _put(self, record: Any) -> None:
        self._trace.add(self.now, "record", record)
        super()._put(record)

    def _report(self, front: str, report: Any) -> None:
        self._trace.add(self.now, "report", front, report)
        super()._report(front, report)

    def _sent(self, machine: Any, front: Any) -> None:
        self._trace.add(self.now, "sent", front.name, machine.id)
        super()._sent(machine, front)

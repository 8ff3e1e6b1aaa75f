"""Roll-outs by a simulated fleet: each record that the controller puts, each report of a proxy, and
where each attempt goes."""

from dataclasses import astuple
from typing import Any

from benchmarks.rollouts import BAD, GOOD, Fleet
from tests.pins.trace import Trace

SEEDS = 5
SHORT_SEEDS = 1


def cases(every: bool) -> list[str]:
    """Names of cases, `kind of target/seed`."""
    seeds = SEEDS if every else SHORT_SEEDS
    return [f"{kind}/{seed}" for kind in GOOD + BAD for seed in range(seeds)]


def play(case: str, trace: Trace) -> None:
    """Plays one roll-out into the trace."""
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

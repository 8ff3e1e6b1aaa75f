"""Simulates rollouts of services nearly all of whose answers are errors, or late.

Usage: python -m benchmarks.extreme_rollouts [--runs N] [--first SEED] [--share SHARE]
                                             [--workers N] [--calm]

The fleet is that of `benchmarks.rollouts`. Each line is one case: which versions are bad, in which
way, and how many orders ended by their term.
"""

import argparse
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from enum import Enum
from itertools import product
from statistics import median
from typing import Any

from benchmarks.rollouts import AIM, Fleet, Instance, Outcome, Proxy
from umbermoor.gateway.rollout.records import RecordDocument

NO_TIME = 0  # a latency target that no answer meets, in microseconds
RAMP_S = 12.0
PROXIES, REQUESTS_PER_S = 9, 341.0


class BadVersions(Enum):
    """The versions of which nearly all answers are bad."""

    OLD = "old"
    NEW = "new"
    BOTH = "both"


class Fault(Enum):
    """In which way the answers are bad."""

    ERRORS = "errors"
    LATE = "late"


@dataclass(frozen=True)
class Extreme:
    """A case: which versions are bad, in which way, and what share of their answers."""

    versions: BadVersions
    fault: Fault
    share: float = 1.0

    @property
    def expected_state(self) -> str:
        """The state in which the order must end: a version no worse than the old one settles."""
        return "reverted" if self.versions is BadVersions.NEW else "settled"


class ExtremeFleet(Fleet):
    """A fleet in which the answers of one version, or of both, are bad."""

    def __init__(
        self,
        extreme: Extreme,
        seed: int,
        calm: bool = False,
        change_record: Callable[[RecordDocument], RecordDocument] = lambda record: record,
    ) -> None:
        """Create the fleet; `change_record` is applied to each record before it is stored."""
        super().__init__("good", seed, PROXIES, REQUESTS_PER_S, RAMP_S, calm)
        self.extreme, self._change_record = extreme, change_record

    def _is_bad(self, instance: Instance) -> bool:
        versions = self.extreme.versions
        is_new = instance.revision == "v2"
        concerned = versions is BadVersions.BOTH or (versions is BadVersions.NEW) == is_new
        return concerned and self.random.random() < self.extreme.share

    def _fails_besides(self, instance: Instance) -> bool:
        return self.extreme.fault is Fault.ERRORS and self._is_bad(instance)

    def _is_late(self, proxy: Proxy, instance: Instance, took: int) -> bool:
        is_late = self.extreme.fault is Fault.LATE and self._is_bad(instance)
        return is_late or super()._is_late(proxy, instance, took)

    def _put(self, record: RecordDocument) -> None:
        super()._put(self._change_record(record))


class MovedTargetFleet(Fleet):
    """A fleet in which the latency target moves below what any answer takes, during the order."""

    def __init__(self, kind: str, seed: int, calm: bool = False) -> None:
        """Create the fleet; `kind` is the kind of the new version, see `benchmarks.rollouts`."""
        super().__init__(kind, seed, PROXIES, REQUESTS_PER_S, RAMP_S, calm)
        self.moved_at = self.random.uniform(0.02, 0.9) * RAMP_S
        """Seconds after the order."""

    def _latency_target(self) -> int:
        return AIM if self.seconds_since_order < self.moved_at else NO_TIME


def one_run(arguments: tuple[Any, ...]) -> Outcome:
    """Play one rollout."""
    return ExtremeFleet(*arguments).play()


def main() -> None:
    """Play all cases and print a line for each."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.extreme_rollouts")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--share", type=float, default=1.0)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--calm", action="store_true")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.runs)
    print(
        f"{'bad':6}{'fault':14}{'settled':>8}{'reverted':>9}{'late':>6}{'median s':>9}{'most s':>8}"
    )
    with ProcessPoolExecutor(options.workers) as pool:
        for versions, fault in product(BadVersions, Fault):
            extreme = Extreme(versions, fault, options.share)
            outcomes = list(pool.map(one_run, [(extreme, seed, options.calm) for seed in seeds]))
            in_time = [one for one in outcomes if one.after <= RAMP_S and one.state != "running"]
            states = Counter(one.state for one in in_time)
            after = sorted(one.after for one in in_time) or [0.0]
            print(
                f"{versions.value:6}{fault.value:14}{states['settled']:8}{states['reverted']:9}"
                f"{len(outcomes) - len(in_time):6}{median(after):9.2f}{after[-1]:8.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()

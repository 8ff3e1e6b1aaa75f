"""What the replica set stores of a rollout, and what proxies report: their JSON, read and written.

The stored record is the register's value under ROLLOUT_KEY_PREFIX and the service's name. Its keys:
order, serial, target, from, rampS, state, stage, elapsed, why, known.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypedDict

ROLLOUT_KEY_PREFIX = "rollout/"

RecordDocument = dict[str, Any]
"""The stored record as JSON."""
ReportDocument = dict[str, Any]
"""A proxy's report as JSON."""


class RolloutState(StrEnum):
    """How far an order has come; only RUNNING ones change."""

    RUNNING = "running"
    SETTLED = "settled"
    REVERTED = "reverted"


class Vote(StrEnum):
    """A proxy's vote on the present stage, by Test & Roll on its own outcomes."""

    ADVANCE = "on"
    REVERT = "back"


def supersedes(new: Mapping[str, Any], current: Mapping[str, Any] | None) -> bool:
    """Whether a record may take the place of `current`; what has ended stays so for its order."""
    if current is None or new["order"] != current["order"]:
        return current is None or new["order"] > current["order"]
    return current["state"] == RolloutState.RUNNING and (
        new["state"] != RolloutState.RUNNING or new["serial"] > current["serial"]
    )


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """One order's durable record, as it was at one serial number."""

    document: RecordDocument
    """The JSON it was read from; keys unknown here are kept when it is changed."""
    order: int
    """Counts the orders of the service."""
    serial: int
    """Counts the changes within the order."""
    target: str
    """The version that is rolled out."""
    previous: list[str]
    """Versions in use before."""
    ramp_seconds: float
    """The time from the order until it is to be settled or reverted."""
    state: str
    stage: int
    elapsed_seconds: float
    """Since the order, when this was written."""

    @classmethod
    def read(cls, document: RecordDocument) -> "RolloutRecord":
        """Reads the JSON.

        Raises:
            KeyError: a key is missing.
        """
        return cls(
            document,
            document["order"],
            document["serial"],
            document["target"],
            document["from"],
            document["rampS"],
            document["state"],
            document["stage"],
            document["elapsed"],
        )

    @property
    def running(self) -> bool:
        """Whether the order is neither settled nor reverted."""
        return self.state == RolloutState.RUNNING

    def next(self, changes: Mapping[str, Any], elapsed_seconds: float) -> "RolloutRecord":
        """The record after this one; `changes` has keys of the JSON."""
        numbered = {"serial": self.serial + 1, "elapsed": elapsed_seconds}
        return RolloutRecord.read({**self.document, **changes, **numbered})


class RecordChanges(TypedDict, total=False):
    """What a step changes in a record's JSON; empty: nothing."""

    state: str
    """As RolloutState has it."""
    stage: int
    why: str
    """Why the order is reverted."""


def reverted(reason: str) -> RecordChanges:
    """The change of a record that reverts its order."""
    return {"state": RolloutState.REVERTED.value, "why": reason}


def settled() -> RecordChanges:
    """The change of a record that settles its order."""
    return {"state": RolloutState.SETTLED.value}


def advanced_to(stage: int) -> RecordChanges:
    """The change of a record to a stage."""
    return {"stage": stage}


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of attempts: how many, how many of them good, how many failed."""

    total: int = 0
    good: int = 0
    failed: int = 0

    @property
    def bad(self) -> int:
        """Those that failed or came late."""
        return self.total - self.good

    def add(self, good: bool, failed: bool) -> None:
        """Counts one outcome."""
        self.total += 1
        self.good += good
        self.failed += failed

    def add_difference(self, later: "OutcomeCounts", earlier: "OutcomeCounts") -> None:
        """Counts what was counted between two states of another."""
        self.total += later.total - earlier.total
        self.good += later.good - earlier.good
        self.failed += later.failed - earlier.failed

    def to_json(self) -> list[int]:
        """As it is written."""
        return [self.total, self.good, self.failed]


@dataclass(slots=True)
class ProxyReport:
    """What a proxy tells of an order.

    Counts are sums since `since`, so that a lost report does no harm.
    """

    service: str
    target: str
    order: int
    stage: int
    """The stage it acts by; -1 where it keeps off the trial."""
    since: int
    """When it began to count; names this count."""
    elapsed_seconds: float
    vote: str | None
    trial: OutcomeCounts
    baseline: OutcomeCounts
    by_instance: dict[str, list[int]]
    """Outcomes and bad ones of the new version, by instance."""
    previous_in_flight: int
    """Attempts under way at previous versions."""
    requests: int
    """Of clients, since the order."""
    previous_instances: int
    warm_instances: int
    """Of the new version."""

    @classmethod
    def read(cls, document: ReportDocument) -> "ProxyReport":
        """Reads the JSON.

        Raises:
            KeyError, TypeError, ValueError, IndexError: it is not a report's.
        """
        previous_instances, warm_instances = document["listed"]
        return cls(
            document["service"],
            document["target"],
            document["order"],
            document["stage"],
            document["since"],
            document["elapsed"],
            document["vote"],
            OutcomeCounts(*document["counts"]["trial"]),
            OutcomeCounts(*document["counts"]["base"]),
            document["each"],
            document["before"],
            document["asked"],
            previous_instances,
            warm_instances,
        )

    def to_document(self) -> ReportDocument:
        """As JSON."""
        return {
            "service": self.service,
            "target": self.target,
            "order": self.order,
            "stage": self.stage,
            "since": self.since,
            "elapsed": self.elapsed_seconds,
            "vote": None if self.vote is None else str(self.vote),
            "counts": {"trial": self.trial.to_json(), "base": self.baseline.to_json()},
            "each": {name: list(counts) for name, counts in self.by_instance.items()},
            "before": self.previous_in_flight,
            "asked": self.requests,
            "listed": [self.previous_instances, self.warm_instances],
        }

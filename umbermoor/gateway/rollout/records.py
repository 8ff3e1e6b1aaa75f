"""The JSON of stored rollout records and of proxies' reports.

The record is stored in the replicated map under ROLLOUT_KEY_PREFIX followed by the service's name.
Its keys: order, serial, target, from, rampS, state, stage, elapsed, why, known; and base, the
earlier version's shares of bad outcomes, once the last stage has begun.

A report has a key `answers` since the revision that counts error responses separately. Without it
the counts of responses are 0.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any, NamedTuple, TypedDict

ROLLOUT_KEY_PREFIX = "rollout/"

RecordDocument = dict[str, Any]
"""The stored record as JSON."""
ReportDocument = dict[str, Any]
"""A proxy's report as JSON."""


class RolloutState(StrEnum):
    """The state of an order; only a RUNNING one changes."""

    RUNNING = "running"
    SETTLED = "settled"
    REVERTED = "reverted"


class AttemptResult(Enum):
    """How an attempt ended, as far as a rollout distinguishes it."""

    SUCCESS = "success"
    ERROR_RESPONSE = "error_response"
    """A complete response with a server error (5xx): the instance's own doing."""
    NO_RESPONSE = "no_response"
    """No complete response; the cause may be on the way to the instance."""


class Vote(StrEnum):
    """A proxy's vote on the present stage, by Test & Roll on its own outcomes."""

    ADVANCE = "on"
    REVERT = "back"


def supersedes(new: Mapping[str, Any], current: Mapping[str, Any] | None) -> bool:
    """Whether a record may replace `current`. An order that has ended never runs again."""
    if current is None or new["order"] != current["order"]:
        return current is None or new["order"] > current["order"]
    return current["state"] == RolloutState.RUNNING and (
        new["state"] != RolloutState.RUNNING or new["serial"] > current["serial"]
    )


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """One order's durable record at one serial number."""

    document: RecordDocument
    """The JSON that it was read from; unknown keys are kept when the record changes."""
    order: int
    """Number of the order, counted per service."""
    serial: int
    """Number of the change, counted per order."""
    target: str
    """The version to roll out."""
    previous: list[str]
    """Versions in use before the order."""
    ramp_seconds: float
    """The time from the order within which it must be settled or reverted."""
    state: str
    stage: int
    elapsed_seconds: float
    """Time from the order to the writing of this record."""

    @classmethod
    def read(cls, document: RecordDocument) -> "RolloutRecord":
        """Read a record from its JSON.

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
        """Return the next record; `changes` are keyed as in the JSON."""
        numbered = {"serial": self.serial + 1, "elapsed": elapsed_seconds}
        return RolloutRecord.read({**self.document, **changes, **numbered})


class RecordChanges(TypedDict, total=False):
    """Changes to a record's JSON; empty for none."""

    state: str
    """A value of RolloutState."""
    stage: int
    why: str
    """The reason why the order is reverted."""
    base: list[float]
    """The earlier version's shares of bad outcomes, as `BaselineShares` lists them."""


def reverted(reason: str) -> RecordChanges:
    """Return the changes that revert an order."""
    return {"state": RolloutState.REVERTED.value, "why": reason}


def settled() -> RecordChanges:
    """Return the changes that settle an order."""
    return {"state": RolloutState.SETTLED.value}


def advanced_to(stage: int) -> RecordChanges:
    """Return the changes that move an order to a stage."""
    return {"stage": stage}


class BaselineShares(NamedTuple):
    """The earlier version's shares when it was last used, for a controller that takes over then."""

    bad_outcomes: float
    error_responses: float
    bad_responses: float

    @classmethod
    def read(cls, document: RecordDocument) -> "BaselineShares | None":
        """Read the shares from a record; None if it has none.

        Raises:
            TypeError: they are not the JSON of shares.
        """
        shares = document.get("base")
        return None if shares is None else cls(*shares)


def advanced_to_last(stage: int, shares: BaselineShares) -> RecordChanges:
    """Return the changes that move an order to the last stage."""
    return {"stage": stage, "base": [round(share, 6) for share in shares]}


@dataclass(slots=True)
class OutcomeCounts:
    """Counts of attempts' outcomes: all, the good ones and the failed ones."""

    total: int = 0
    good: int = 0
    failed: int = 0

    @property
    def bad(self) -> int:
        """The outcomes that failed or came late."""
        return self.total - self.good

    def add(self, good: bool, failed: bool) -> None:
        """Count one outcome."""
        self.total += 1
        self.good += good
        self.failed += failed

    def add_difference(self, later: "OutcomeCounts", earlier: "OutcomeCounts") -> None:
        """Add the difference between an earlier and a later state of other counts."""
        self.total += later.total - earlier.total
        self.good += later.good - earlier.good
        self.failed += later.failed - earlier.failed

    def to_json(self) -> list[int]:
        """Return the counts as they are written in JSON."""
        return [self.total, self.good, self.failed]


@dataclass(slots=True)
class ResponseCounts:
    """Counts of complete responses: all, those with a server error (5xx), and other late ones.

    Unlike OutcomeCounts, they include nothing that went wrong on the way between proxy and
    instance. Responses to retries, and those of instances that are warming up, are included too,
    but not counted as late.
    """

    total: int = 0
    errors: int = 0
    late: int = 0

    @property
    def bad(self) -> int:
        """The responses that were errors or late."""
        return self.errors + self.late

    def add(self, error: bool, late: bool) -> None:
        """Count one response."""
        self.total += 1
        self.errors += error
        self.late += late and not error

    def since(self, earlier: "ResponseCounts") -> "ResponseCounts":
        """Return the difference between an earlier state of the counts and this one."""
        return ResponseCounts(
            self.total - earlier.total, self.errors - earlier.errors, self.late - earlier.late
        )

    def to_json(self) -> list[int]:
        """Return the counts as they are written in JSON."""
        return [self.total, self.errors, self.late]


@dataclass(slots=True)
class VersionResponses:
    """The responses that one proxy received from both versions."""

    trial: dict[str, ResponseCounts]
    """By instance of the new version."""
    baseline: ResponseCounts

    @classmethod
    def read(cls, document: Mapping[str, Any] | None) -> "VersionResponses":
        """Read the counts from their JSON; None if the proxy is of an earlier revision.

        Raises:
            KeyError, TypeError: it is not the JSON of counts.
        """
        if document is None:
            return cls({}, ResponseCounts())
        trial = {name: ResponseCounts(*counts) for name, counts in document["trial"].items()}
        return cls(trial, ResponseCounts(*document["base"]))

    def to_document(self) -> dict[str, Any]:
        """Return the counts as JSON."""
        trial = {name: counts.to_json() for name, counts in self.trial.items()}
        return {"trial": trial, "base": self.baseline.to_json()}


@dataclass(slots=True)
class ProxyReport:
    """A proxy's report on an order.

    Counts are totals from `since` on, so that a lost report does no harm.
    """

    service: str
    target: str
    order: int
    stage: int
    """The stage that the proxy acts by; -1 if it sends nothing to the trial."""
    since: int
    """When the proxy began to count; identifies this series of counts."""
    elapsed_seconds: float
    vote: str | None
    trial: OutcomeCounts
    baseline: OutcomeCounts
    by_instance: dict[str, list[int]]
    """The new version's outcomes and bad outcomes, by instance."""
    previous_in_flight: int
    """Attempts in flight at previous versions."""
    requests: int
    """Clients' requests since the order."""
    previous_instances: int
    warm_instances: int
    """Instances of the new version whose warm-up time is over."""
    responses: VersionResponses

    @classmethod
    def read(cls, document: ReportDocument) -> "ProxyReport":
        """Read a report from its JSON.

        Raises:
            KeyError, TypeError, ValueError, IndexError: it is not the JSON of a report.
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
            VersionResponses.read(document.get("answers")),
        )

    def to_document(self) -> ReportDocument:
        """Return the report as JSON."""
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
            "answers": self.responses.to_document(),
        }

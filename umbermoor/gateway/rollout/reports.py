"""The JSON of proxies' reports on a rollout, and the counts in them.

A report has a key `answers` since the revision that counts error responses separately. Without it
the counts of responses are 0. Reports come over the network: every number is checked when a report
is read, so that the controller's statistics get counts only.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from umbermoor.gateway.rollout.records import MAX_SECONDS, Vote
from umbermoor.gateway.rollout.stages import FINAL_STAGE, NO_TRIAL

ReportDocument = dict[str, Any]
"""A proxy's report as JSON."""

MAX_COUNT = 1 << 53
"""Whole numbers up to this are exact as floats."""


class InvalidReportError(ValueError):
    """A value in a report is not what its key stands for; the text names the key."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")


def _count(key: str, value: Any) -> int:
    """Return a count, or raise InvalidReportError."""
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise InvalidReportError(key, f"must be a whole number from 0 to {MAX_COUNT}")
    return value


def _counts(key: str, values: Any, number: int) -> list[int]:
    """Return a list of counts of which the first includes all others."""
    if not isinstance(values, Sequence) or isinstance(values, str) or len(values) != number:
        raise InvalidReportError(key, f"must be a list of {number} counts")
    total, *parts = [_count(key, value) for value in values]
    if sum(parts) > total:
        raise InvalidReportError(key, "counts more parts than the whole")
    return [total, *parts]


def _continue(later: Sequence[int], earlier: Sequence[int]) -> bool:
    """Whether counts, of which the first includes all others, can be a later state of others."""
    whole, *parts = [new - old for new, old in zip(later, earlier)]
    return min(parts) >= 0 and sum(parts) <= whole


def _table(key: str, value: Any) -> Mapping[str, Any]:
    if not isinstance(value, Mapping):
        raise InvalidReportError(key, "must be a table")
    return value


def _text(key: str, value: Any) -> str:
    if not isinstance(value, str):
        raise InvalidReportError(key, "must be a text")
    return value


def _whole_number(key: str, value: Any) -> int:
    if type(value) is not int:
        raise InvalidReportError(key, "must be a whole number")
    return value


def _stage(value: Any) -> int:
    if type(value) is not int or not NO_TRIAL <= value <= FINAL_STAGE:
        raise InvalidReportError(
            "stage", f"must be a whole number from {NO_TRIAL} to {FINAL_STAGE}"
        )
    return value


def _seconds(key: str, value: Any) -> float:
    if type(value) not in (int, float) or not 0 <= value <= MAX_SECONDS:
        raise InvalidReportError(key, f"must be a number from 0 to {MAX_SECONDS:g}")
    return value


def _vote(value: Any) -> str | None:
    if value is not None and value not in tuple(Vote):
        raise InvalidReportError("vote", "is unknown")
    return value


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

    def continues(self, earlier: "OutcomeCounts") -> bool:
        """Whether these can be a later state of other counts."""
        return _continue(self.to_json(), earlier.to_json())

    @classmethod
    def read(cls, key: str, values: Any) -> "OutcomeCounts":
        """Read counts from their JSON; `key` is for the error.

        Raises:
            InvalidReportError: they are not counts of outcomes.
        """
        return cls(*_counts(key, values, 3))

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

    def continues(self, earlier: "ResponseCounts") -> bool:
        """Whether these can be a later state of other counts."""
        return _continue(self.to_json(), earlier.to_json())

    @classmethod
    def read(cls, key: str, values: Any) -> "ResponseCounts":
        """Read counts from their JSON; `key` is for the error.

        Raises:
            InvalidReportError: they are not counts of responses.
        """
        return cls(*_counts(key, values, 3))

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
    def read(cls, document: Any) -> "VersionResponses":
        """Read the counts from their JSON; None if the proxy is of an earlier revision.

        Raises:
            KeyError: a key is missing.
            InvalidReportError: it is not the JSON of counts.
        """
        if document is None:
            return cls({}, ResponseCounts())
        table = _table("answers", document)
        trial = {
            name: ResponseCounts.read("answers.trial", counts)
            for name, counts in _table("answers.trial", table["trial"]).items()
        }
        return cls(trial, ResponseCounts.read("answers.base", table["base"]))

    def continues(self, earlier: "VersionResponses") -> bool:
        """Whether these can be a later state of other counts."""
        return self.baseline.continues(earlier.baseline) and all(
            counts.continues(earlier.trial[name])
            for name, counts in self.trial.items()
            if name in earlier.trial
        )

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
            KeyError: a key is missing.
            InvalidReportError: a value is not what its key stands for.
        """
        counts, listed = _table("counts", document["counts"]), document["listed"]
        if not isinstance(listed, Sequence) or len(listed) != 2:
            raise InvalidReportError("listed", "must be a list of 2 counts")
        return cls(
            service=_text("service", document["service"]),
            target=_text("target", document["target"]),
            order=_whole_number("order", document["order"]),
            stage=_stage(document["stage"]),
            since=_whole_number("since", document["since"]),
            elapsed_seconds=_seconds("elapsed", document["elapsed"]),
            vote=_vote(document["vote"]),
            trial=OutcomeCounts.read("counts.trial", counts["trial"]),
            baseline=OutcomeCounts.read("counts.base", counts["base"]),
            by_instance={
                name: _counts("each", values, 2)
                for name, values in _table("each", document["each"]).items()
            },
            previous_in_flight=_count("before", document["before"]),
            requests=_count("asked", document["asked"]),
            previous_instances=_count("listed", listed[0]),
            warm_instances=_count("listed", listed[1]),
            responses=VersionResponses.read(document.get("answers")),
        )

    def continues(self, earlier: "ProxyReport") -> bool:
        """Whether this can be a later report of the same series of counts."""
        return (
            self.trial.continues(earlier.trial)
            and self.baseline.continues(earlier.baseline)
            and self.responses.continues(earlier.responses)
            and all(
                _continue(counts, earlier.by_instance.get(name, (0, 0)))
                for name, counts in self.by_instance.items()
            )
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

"""The JSON of stored rollout records.

The record is stored in the replicated map under ROLLOUT_KEY_PREFIX followed by the service's name.
Its keys: order, serial, target, from, rampS, state, stage, elapsed, why, known; and base, the
earlier version's shares of bad outcomes, once the last stage has begun.

A record outlives the revision that wrote it. A number that lies outside its range is therefore
replaced by the nearest one inside when the record is read, and written so with its next change.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from math import isnan
from typing import Any, NamedTuple, TypedDict

from umbermoor.gateway.rollout.stages import FINAL_STAGE
from umbermoor.gateway.units import SECOND

ROLLOUT_KEY_PREFIX = "rollout/"

RecordDocument = dict[str, Any]
"""The stored record as JSON."""

MAX_SECONDS = 1e9
"""The longest time in a record or a report; whole microseconds up to it are exact as floats."""
MIN_RAMP_SECONDS = 1 / SECOND


class InvalidRecordError(ValueError):
    """A stored record lacks a key, or a value is of another type; the text names the key."""

    def __init__(self, key: str) -> None:
        super().__init__(f"{key}: missing, or of another type")


def is_valid_ramp(seconds: Any) -> bool:
    """Whether an order may have this ramp time."""
    return _is_number(seconds) and 0 < seconds <= MAX_SECONDS


def _is_number(value: Any) -> bool:
    return type(value) is int or (type(value) is float and not isnan(value))


def _typed(document: Mapping[str, Any], key: str, of_type: type) -> Any:
    """Return the value of a key, which must have this type."""
    value = document.get(key)
    if type(value) is not of_type:
        raise InvalidRecordError(key)
    return value


def _limited(document: Mapping[str, Any], key: str, least: float, most: float) -> Any:
    """Return the number of a key, or the nearest one from `least` to `most`."""
    value: Any = document.get(key)
    if not _is_number(value):
        raise InvalidRecordError(key)
    return min(max(value, least), most)


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
            InvalidRecordError: it is not the JSON of a record.
        """
        return cls(
            document,
            _typed(document, "order", int),
            _typed(document, "serial", int),
            _typed(document, "target", str),
            _typed(document, "from", list),
            _limited(document, "rampS", MIN_RAMP_SECONDS, MAX_SECONDS),
            _typed(document, "state", str),
            int(_limited(document, "stage", 0, FINAL_STAGE)),
            _limited(document, "elapsed", 0, MAX_SECONDS),
        )

    @property
    def baseline_shares(self) -> "BaselineShares | None":
        """The earlier version's shares when it was last used; None if they are not known."""
        return BaselineShares.read(self.document)

    @property
    def running(self) -> bool:
        """Whether the order is neither settled nor reverted."""
        return self.state == RolloutState.RUNNING

    def next(self, changes: Mapping[str, Any], elapsed_seconds: float) -> "RolloutRecord":
        """Return the next record; `changes` are keyed as in the JSON."""
        limited: RecordDocument = {"rampS": self.ramp_seconds, "stage": self.stage}
        if "base" in self.document:
            shares = self.baseline_shares
            limited["base"] = None if shares is None else list(shares)
        numbered = {"serial": self.serial + 1, "elapsed": elapsed_seconds}
        return RolloutRecord.read({**self.document, **limited, **changes, **numbered})


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
        """Read the shares from a record, each limited to 0 to 1; None if it has no such shares."""
        shares = document.get("base")
        if not isinstance(shares, list) or len(shares) != len(cls._fields):
            return None
        if not all(map(_is_number, shares)):
            return None
        return cls(*(min(max(share, 0.0), 1.0) for share in shares))


def advanced_to_last(stage: int, shares: BaselineShares) -> RecordChanges:
    """Return the changes that move an order to the last stage."""
    return {"stage": stage, "base": [round(share, 6) for share in shares]}

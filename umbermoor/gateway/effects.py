"""What the gateway's state machines return for a host to carry out, and the outcomes they speak of.

The state machines do no I/O. Each input returns a list of effects, in the order in which a host is
to carry them out: a message to send, a write to sync, the result of a call.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple, TypeAlias

# Values of operators and of other processes, as JSON holds them.
JsonValue: TypeAlias = bool | int | float | str | list["JsonValue"] | dict[str, "JsonValue"] | None
JsonObject: TypeAlias = dict[str, JsonValue]


class Status(Enum):
    """How a call ended. Outcomes are values: a host maps them to HTTP statuses."""

    OK = "ok"
    # not done as far as is known here; the caller may retry unchanged, at another member
    UNAVAILABLE = "later"
    CONFLICT = "clash"  # it contradicts what is in progress or stored
    INVALID = "wrong"  # it can never be done as asked
    NOT_FOUND = "unknown"


class Outcome(Enum):
    """What a conditional write came to, as decided by the head, which orders all writes.

    The values go over the wire between members.
    """

    ACCEPTED = "taken"  # it is in force, or was until something newer replaced it
    UNCHANGED = "same"  # a repetition of what is in force
    STALE = "older"  # something newer is in force: it changes nothing
    CONFLICT = "clash"  # its precondition does not hold, or its revision has other content
    NOT_FOUND = "unknown"  # it names something that does not exist


class Decision(NamedTuple):
    """An outcome, the value to store where that is ACCEPTED, and one line that says why."""

    outcome: Outcome
    value: Any = None
    reason: str = ""


class Send(NamedTuple):
    """A message to another process, best effort: it may be lost, duplicated or late."""

    to: str  # its IP address
    message: JsonObject


class Write(NamedTuple):
    """Records to store, all or none. The host reports back once they are synced, or refused."""

    token: int
    puts: Mapping[str, bytes | None]  # None removes


class CallResult(NamedTuple):
    """The end of a call that a host passed in under the number `request_id`."""

    request_id: int
    status: Status
    value: Any = None  # of a read: the map; of a put: a Decision


Effect = Send | Write | CallResult


class UnsupportedFormatError(Exception):
    """What is stored was written by a later revision: it is not damaged, and is not touched."""

"""Effects that the gateway's state machines return to their host, and the outcomes of calls.

The state machines do no I/O. Each input returns a list of effects, which the host must carry out in
order: messages to send, writes to sync, and results of calls.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple, TypeAlias

# Values received from operators and from other processes, in their JSON form.
JsonValue: TypeAlias = bool | int | float | str | list["JsonValue"] | dict[str, "JsonValue"] | None
JsonObject: TypeAlias = dict[str, JsonValue]


class Status(Enum):
    """How a call ended. The host maps statuses to HTTP status codes."""

    OK = "ok"
    # Not carried out as far as this replica knows, although it may have been. The caller may repeat
    # the same call at another member.
    UNAVAILABLE = "later"
    CONFLICT = "clash"  # the call contradicts what is in progress or stored
    INVALID = "wrong"  # the call can never succeed as it is
    NOT_FOUND = "unknown"


class Outcome(Enum):
    """The outcome of a conditional write, decided by the head, which orders all writes.

    The values are sent over the wire between members.
    """

    ACCEPTED = "taken"  # the write took effect; a newer one may have replaced it since
    UNCHANGED = "same"  # the write repeats what is already in force
    STALE = "older"  # something newer is in force, so the write changes nothing
    CONFLICT = "clash"  # its precondition does not hold, or its revision exists with other content
    NOT_FOUND = "unknown"  # the write names something that does not exist


class Decision(NamedTuple):
    """An outcome, the value to store if it is ACCEPTED, and one line that gives the reason."""

    outcome: Outcome
    value: Any = None
    reason: str = ""


class Send(NamedTuple):
    """A message to another process, sent best effort: it may be lost, duplicated or delayed."""

    to: str  # IP address of the receiver
    message: JsonObject


class Write(NamedTuple):
    """Records to store, all or none. The host reports back when they are synced or refused."""

    token: int
    puts: Mapping[str, bytes | None]  # None removes the record


class CallResult(NamedTuple):
    """The result of a call that the host passed in under the number `request_id`."""

    request_id: int
    status: Status
    value: Any = None  # for a read, the map; for a put, a Decision


Effect = Send | Write | CallResult


class UnsupportedFormatError(Exception):
    """Raised for a store written by a later revision; the store is intact and left unchanged."""

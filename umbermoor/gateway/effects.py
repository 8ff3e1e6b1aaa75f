"""What state machines of the gateway return for a host to carry out: send, write, answer. Decides nothing."""

from enum import Enum
from typing import Any, Mapping, NamedTuple


class Code(Enum):
    """How a call ended. Outcomes are values: a host maps them to statuses."""

    OK = "ok"
    LATER = "later"  # not done as far as is known here; the caller may ask another member, unchanged
    CLASH = "clash"  # what was asked contradicts what is under way
    WRONG = "wrong"  # it can never be done as asked
    UNKNOWN = "unknown"  # there is no such thing


class Send(NamedTuple):
    """A message to another process, best effort: it may be lost, doubled or late."""

    to: str  # its IP address
    message: dict[str, Any]  # of what JSON can hold


class Write(NamedTuple):
    """Puts on disk, all or none; the host reports written(token) once they are synced, or unwritten(token)."""

    token: int
    puts: Mapping[str, bytes | None]  # None removes


class Answer(NamedTuple):
    """The end of a call that a host passed in under the number `ask`."""

    ask: int
    code: Code
    value: Any = None


Effect = Send | Write | Answer

"""What clients, instances and operators of a soak saw; times are seconds of the monotonic clock."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "closed"  # the connection closed before its answer
    NOT_SENT = "not_sent"  # there was no connection
    TIMED_OUT = "timed_out"
    GARBLED = "garbled"


@dataclass
class RequestRecord:
    """One request of a client: each has an id and a path of its own."""

    id: str
    idempotent: bool
    proxy: str
    sent_at: float
    behind: int  # requests before it on its connection without an answer
    ended_at: float = 0.0
    ending: Ending | None = None
    status: int = 0
    body: bytes = b""


@dataclass
class Execution:
    """One execution of a request by an instance."""

    began_at: float
    ended_at: float = 0.0  # 0: cut off before its end


@dataclass
class Span:
    """A time in which something was done to a node."""

    node: str
    kind: str
    began_at: float
    ended_at: float


@dataclass
class Records:
    """All that was seen on one day.

    Attributes:
        requests: By clients.
        executions: By the request's id.
        acknowledged: Revisions acknowledged, with the time of the acknowledgement.
        reads: Of the configuration: when each was sent, and the revision read.
        terms: SIGTERMs of nodes.
        disturbed: Kills, pauses and cuts of nodes, which allow a request to be lost.
        broken: What was seen to be wrong at once.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    executions: defaultdict[str, list[Execution]] = field(default_factory=lambda: defaultdict(list))
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    reads: list[tuple[float, int]] = field(default_factory=list)
    terms: list[Span] = field(default_factory=list)
    disturbed: list[Span] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

"""What clients, instances and operators of a soak saw; times are seconds of the monotonic clock."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "closed"  # the connection closed before its answer
    NOT_SENT = "not_sent"  # there was no connection
    LEFT = "left"  # the client left before its answer
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
    ended_at: float = 0.0  # with its whole work; 0: cut off before
    over_at: float = 0.0  # either way; 0: goes on


@dataclass
class RouteProbe:
    """Whether a proxy serves the route that a revision of the configuration added.

    Attributes:
        proxy: The proxy's name.
        life: Tells the processes of one proxy apart.
        sent_at: When it was asked.
        revision: The revision that added the route.
        served: Whether there was a route; False for 404 alone.
    """

    proxy: str
    life: int
    sent_at: float
    revision: int
    served: bool


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
        probes: Of the routes that are in force at proxies.
        terms: SIGTERMs of nodes.
        starts: Of processes, by the node's name.
        cut: Cuts of instances, in which they hear of nothing.
        disturbed: Kills, pauses and cuts of nodes, which allow a request to be lost.
        stalls: When the soak's own loop stood still, and could judge no time.
        broken: What was seen to be wrong at once.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    executions: defaultdict[str, list[Execution]] = field(default_factory=lambda: defaultdict(list))
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    reads: list[tuple[float, int]] = field(default_factory=list)
    probes: list[RouteProbe] = field(default_factory=list)
    starts: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    cut: list[Span] = field(default_factory=list)
    terms: list[Span] = field(default_factory=list)
    disturbed: list[Span] = field(default_factory=list)
    stalls: list[Span] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

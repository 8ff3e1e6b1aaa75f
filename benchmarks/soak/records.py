"""Records of clients, instances and operators; times are seconds of the monotonic clock."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "closed"  # the connection was closed before the response
    NOT_SENT = "not_sent"  # no connection was available
    DISCONNECTED = "left"  # the client disconnected before the response
    TIMED_OUT = "timed_out"
    GARBLED = "garbled"


@dataclass
class RequestRecord:
    """Request of a client, with a unique id and path."""

    id: str
    idempotent: bool
    proxy: str
    sent_at: float
    behind: int  # unanswered requests sent earlier on the same connection
    ended_at: float = 0.0
    ending: Ending | None = None
    status: int = 0
    body: bytes = b""


@dataclass(frozen=True)
class SizedRequest:
    """A request that is within the wide envelope and above the narrow one.

    Attributes:
        record: The request.
        refusal: The status that refuses it.
    """

    record: RequestRecord
    refusal: int


@dataclass
class Execution:
    """Execution of a request by an instance."""

    began_at: float
    instance: str
    ended_at: float = 0.0  # when the work was completed; 0 if it was cancelled
    over_at: float = 0.0  # when it was completed or cancelled; 0 while it runs


@dataclass
class RouteProbe:
    """Result of asking a proxy for the route that a configuration revision added.

    Attributes:
        proxy: The proxy's name.
        life: Number of the process, counted over the proxy's restarts.
        sent_at: When the probe was sent.
        revision: The revision that added the route.
        served: Whether the route existed; False only for status 404.
    """

    proxy: str
    life: int
    sent_at: float
    revision: int
    served: bool


@dataclass
class Span:
    """Time span of a disturbance of a node."""

    node: str
    kind: str
    began_at: float
    ended_at: float


@dataclass(frozen=True)
class RolloutAnswer:
    """Answer of an instance of the service that is rolled out."""

    began_at: float
    version: str
    proxy: str
    is_bad: bool  # an error, or later than the setpoint


@dataclass
class RolloutOrder:
    """An acknowledged order.

    Attributes:
        target: The new version.
        description: What both versions do.
        is_bad: Whether the new version is worse than the old one.
        ordered_at: When it was ordered.
        ramp_s: Its term, in seconds.
        state: The last state read.
    """

    target: str
    description: str
    is_bad: bool
    ordered_at: float
    ramp_s: float
    state: str = "running"


@dataclass
class Records:
    """Observations of one day.

    Attributes:
        requests: Requests sent by clients.
        sized: The requests that some envelopes allow.
        executions: Executions by request id.
        sent: (time, revision) of each valid configuration sent.
        acknowledged: (time of the acknowledgement, revision) of each acknowledged configuration.
        reads: (time sent, revision read) of each read of the configuration.
        probes: Probes of the routes in force at proxies.
        terms: SIGTERMs of nodes.
        starts: Start times of processes by node name.
        cut: Spans in which a relay was silent or lost responses, so that an instance may not
            learn of a client's disconnect.
        disturbed: Kills and pauses of nodes, during which a request may be lost.
        stalls: Spans in which the soak's own event loop was blocked and its timings are invalid.
        left: When the leave of an instance that serves on was acknowledged, by its id.
        rollouts: The acknowledged rollout orders.
        rollout_answers: Answers of the service that is rolled out.
        broken: Violations detected while the day was running.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    sized: list[SizedRequest] = field(default_factory=list)
    sent: list[tuple[float, int]] = field(default_factory=list)
    executions: defaultdict[str, list[Execution]] = field(default_factory=lambda: defaultdict(list))
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    reads: list[tuple[float, int]] = field(default_factory=list)
    probes: list[RouteProbe] = field(default_factory=list)
    starts: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    cut: list[Span] = field(default_factory=list)
    terms: list[Span] = field(default_factory=list)
    disturbed: list[Span] = field(default_factory=list)
    stalls: list[Span] = field(default_factory=list)
    left: dict[str, float] = field(default_factory=dict)
    rollouts: list[RolloutOrder] = field(default_factory=list)
    rollout_answers: list[RolloutAnswer] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

"""All client connections of a proxy, and the limits that apply to each of them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from umbermoor.gateway.routing.route_table import ClientLimits
from umbermoor.gateway.server.client_connection import ClientConnection
from umbermoor.gateway.server.drain import Drain
from umbermoor.gateway.server.events import event
from umbermoor.gateway.server.invariants import Invariants
from umbermoor.gateway.server.request_audit import RequestAudit, UnansweredCause
from umbermoor.gateway.units import SECOND
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import MessageLimits

if TYPE_CHECKING:
    from umbermoor.gateway.server.request_handler import RequestHandler

# Of a request, which is buffered completely before it is forwarded. A configuration may set less.
MAX_HEAD_BYTES = 1 << 20
MAX_BODY_BYTES = 8 << 20
MAX_CONNECTIONS = 2500  # bounds what untrusted peers can open
# A connection is closed this long after the idle time announced to the client.
IDLE_GRACE_S = 1.0


class ClientConnections:
    """All client connections of a proxy.

    Attributes:
        buffers: The memory that partly read requests share.
        clock: Returns seconds of a monotonic clock.
        handler: Processes the requests.
        audit: Counts requests that are started and requests that are never answered.
        connections: The open connections.
        drain: The proxy's drain; once it began, each connection closes after its last response.
        keep_alive_s: Idle time in seconds that is announced to clients.
        idle_timeout_s: Idle time in seconds after which a connection is closed.
        header_timeout_s: Time in seconds that the head of a request may take to arrive.
        message_limits: Limits of the requests whose heads are read from now on.
    """

    def __init__(
        self,
        buffers: Buffers,
        clock: Callable[[], float],
        handler: "RequestHandler",
        invariants: Invariants,
    ) -> None:
        self.buffers = buffers
        self.clock = clock
        self.handler = handler
        self.drain = Drain(clock)
        self.audit = RequestAudit(clock, self.drain, invariants)
        self.connections: set[ClientConnection] = set()
        self.keep_alive_s = 10
        self.idle_timeout_s = 15.0
        self.header_timeout_s = 3.0
        self.message_limits = _message_limits(ClientLimits())
        self._configured: ClientLimits | None = None

    def accept(self) -> ClientConnection:
        """Return the protocol for a new connection."""
        return ClientConnection(self)

    def admit(self, connection: ClientConnection) -> bool:
        """Add a connection if there is room; return whether it was added."""
        if len(self.connections) >= MAX_CONNECTIONS:
            return False
        self.connections.add(connection)
        return True

    def apply_limits(self, limits: ClientLimits) -> None:
        """Apply the limits of a configuration.

        They hold for open connections too: idle and header timeouts from the next sweep on, sizes
        for the requests whose heads are read from now on.
        """
        idle_s = limits.idle_timeout_us / SECOND
        self.idle_timeout_s = idle_s + IDLE_GRACE_S
        self.keep_alive_s = max(1, round(idle_s) - 1)
        self.header_timeout_s = limits.header_timeout_us / SECOND
        self.message_limits = _message_limits(limits)
        if limits != self._configured:
            self._configured = limits
            _log_lower_limits(limits, self.message_limits)

    def refuse_new_requests(self) -> None:
        """Accept no further requests on connections with one in progress.

        Idle connections may still send one.
        """
        for connection in list(self.connections):
            connection.refuse_new_requests()

    def reject_partial(self) -> None:
        """Answer partly read requests with 503 at the end of the drain: they cannot be started."""
        for connection in list(self.connections):
            connection.reject_partial()

    def report_unanswered(self) -> None:
        """Count the requests that are never answered because the process ends now."""
        for connection in self.connections:
            connection.report_unanswered(UnansweredCause.PROCESS_ENDED)

    def sweep(self) -> None:
        """Close connections that have been idle or slow for too long."""
        now = self.clock()
        for connection in list(self.connections):
            connection.sweep(now, self.header_timeout_s, self.idle_timeout_s)

    def close_idle(self) -> None:
        """Close connections without a pending or partly read request."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.transport.close()


def _message_limits(limits: ClientLimits) -> MessageLimits:
    """Return the configured sizes, or the program's own where these are smaller."""
    return MessageLimits(
        min(MAX_HEAD_BYTES, max(0, limits.header_bytes)),
        min(MAX_BODY_BYTES, max(0, limits.body_bytes)),
    )


def _log_lower_limits(configured: ClientLimits, in_force: MessageLimits) -> None:
    """Log each limit that is lower than the configured one."""
    for key, wanted, bound in (
        ("headerBytes", configured.header_bytes, in_force.head_bytes),
        ("bodyBytes", configured.body_bytes, in_force.body_bytes),
    ):
        if bound < wanted:
            event("client_limit_lower", key=key, configured=wanted, in_force=bound)

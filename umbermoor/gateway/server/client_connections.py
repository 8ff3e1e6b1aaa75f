"""All client connections of a proxy, and the limits that apply to each of them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from umbermoor.gateway.routing.route_table import ClientLimits
from umbermoor.gateway.server.client_connection import ClientConnection
from umbermoor.gateway.server.drain import Drain
from umbermoor.gateway.server.invariants import Invariants
from umbermoor.gateway.server.request_audit import RequestAudit, UnansweredCause
from umbermoor.gateway.units import SECOND
from umbermoor.http1.buffers import Buffers

if TYPE_CHECKING:
    from umbermoor.gateway.server.request_handler import RequestHandler

MAX_BODY_BYTES = 8 << 20  # of a request, which is buffered completely before it is forwarded
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
        max_body_bytes: Maximum size of a request body.
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
        self.max_body_bytes = MAX_BODY_BYTES

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
        """Apply the limits of a configuration."""
        idle_s = limits.idle_timeout_us / SECOND
        self.idle_timeout_s = idle_s + IDLE_GRACE_S
        self.keep_alive_s = max(1, round(idle_s) - 1)
        self.header_timeout_s = limits.header_timeout_us / SECOND
        self.max_body_bytes = min(MAX_BODY_BYTES, limits.body_bytes)

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

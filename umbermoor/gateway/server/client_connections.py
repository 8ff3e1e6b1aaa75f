"""All connections of a proxy's clients, and what applies to each of them."""

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

MAX_BODY_BYTES = 8 << 20  # of a request: it is held whole until it is sent to an instance
MAX_CONNECTIONS = 2500  # what strangers can open
IDLE_GRACE_S = 1.0  # closed so long after the idle time that a client was told


class ClientConnections:
    """All connections of clients.

    Attributes:
        buffers: The memory that partly read requests share.
        clock: Seconds of a steady clock.
        handler: Takes the requests.
        audit: Counts the requests that are begun, and those that get no answer.
        connections: Those that are open.
        drain: The end of the proxy: no connection is kept behind its last response.
        keep_alive_s: How long clients are told that a connection may stay idle.
        idle_timeout_s: How long it may.
        header_timeout_s: How long a head may take to come.
        max_body_bytes: Most bytes of a request's body.
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
        """The protocol of a new connection."""
        return ClientConnection(self)

    def admit(self, connection: ClientConnection) -> bool:
        """Whether there is room for a connection, which is then one of them."""
        if len(self.connections) >= MAX_CONNECTIONS:
            return False
        self.connections.add(connection)
        return True

    def apply_limits(self, limits: ClientLimits) -> None:
        """Takes over what a configuration says."""
        idle_s = limits.idle_timeout_us / SECOND
        self.idle_timeout_s = idle_s + IDLE_GRACE_S
        self.keep_alive_s = max(1, round(idle_s) - 1)
        self.header_timeout_s = limits.header_timeout_us / SECOND
        self.max_body_bytes = min(MAX_BODY_BYTES, limits.body_bytes)

    def refuse_more(self) -> None:
        """Takes nothing more where a request is under way; idle connections may bring one."""
        for connection in list(self.connections):
            connection.refuse_more()

    def reject_partial(self) -> None:
        """Answers what is not whole at the end of the drain: it never will be begun."""
        for connection in list(self.connections):
            connection.reject_partial()

    def report_unanswered(self) -> None:
        """Counts the requests that get no answer because the process ends now."""
        for connection in self.connections:
            connection.report_unanswered(UnansweredCause.PROCESS_ENDED)

    def sweep(self) -> None:
        """Closes what has been idle or slow for too long."""
        now = self.clock()
        for connection in list(self.connections):
            connection.sweep(now, self.header_timeout_s, self.idle_timeout_s)

    def close_idle(self) -> None:
        """Closes connections on which no request is under way."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.transport.close()

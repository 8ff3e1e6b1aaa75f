"""Pooled connections to instances; each carries one request at a time.

`ConnectionPool` finds a connection for an attempt, and `InstanceConnection` reads its response.
`balancing.attempt_outcomes` decides what an event on a connection means; this module reports the
events and carries out the decisions.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from umbermoor.gateway.balancing.attempt_outcomes import (
    SINGLE_VALUE_HEADERS,
    AttemptOutcome,
    AttemptStage,
    ConnectionAction,
    ConnectionEvent,
    classify,
    decide,
    is_reusable,
)
from umbermoor.gateway.balancing.instance import Instance
from umbermoor.gateway.server.peer_transport import tune_socket
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, MessageLimits, Reader, Response

if TYPE_CHECKING:
    from umbermoor.gateway.server.active_request import ActiveRequest

CONNECT_TIMEOUT_S = 0.35
IDLE_TIMEOUT_S = 8.0  # upper bound, and default if the instance announces none
IDLE_TIMEOUT_NON_IDEMPOTENT_S = 2.0  # for requests that must not be executed twice
CLOSE_AHEAD_S = 1.0  # time by which a connection is closed before the instance would close it
MAX_KEEP_ALIVE_DIGITS = 8
MAX_BODY_BYTES = 8 << 20  # of a response, which is buffered completely before it is relayed
MAX_IDLE_CONNECTIONS = 6  # per instance
# Number of recent attempt ids remembered per connection. An attempt is not sent on a connection
# that carried its id before, as a duplicate response to the earlier attempt would match it.
REMEMBERED_IDS = 4


class Attempt:
    """One try of a request at one instance; `on_end(attempt, outcome, response)` is called once.

    Attributes:
        request: The request that the attempt belongs to.
        number: Number among the attempts of that request, starting at 1.
        instance: The target instance.
        sent_at: Start time of the attempt, in microseconds.
        id: The X-Attempt-Id of the request.
        data: The serialized request.
        bodiless: Whether the request is a HEAD, whose response has no body.
        needs_new_connection: Whether this request was sent to this instance before.
        connection: The connection that carries or carried the attempt; None before.
        ended: Whether `on_end` was called.
    """

    __slots__ = (
        "bodiless",
        "connection",
        "data",
        "ended",
        "id",
        "instance",
        "needs_new_connection",
        "number",
        "on_end",
        "request",
        "sent_at",
    )

    def __init__(
        self,
        request: "ActiveRequest",
        number: int,
        instance: Instance,
        sent_at: int,
        id: str,
        data: bytes,
        bodiless: bool,
        needs_new_connection: bool,
        on_end: Callable[["Attempt", AttemptOutcome, Response | None], None],
    ) -> None:
        self.request = request
        self.number = number
        self.instance = instance
        self.sent_at = sent_at
        self.id = id
        self.data = data
        self.bodiless = bodiless
        self.needs_new_connection = needs_new_connection
        self.on_end = on_end
        self.connection: InstanceConnection | None = None
        self.ended = False

    def end(self, outcome: AttemptOutcome, response: Response | None = None) -> None:
        """End the attempt, unless it has already ended."""
        if not self.ended:
            self.ended = True
            self.on_end(self, outcome, response)

    def handle(self, event: ConnectionEvent) -> None:
        """Apply an event that this proxy causes: CANCELLED, ABANDONED or DEADLINE_EXCEEDED."""
        if self.ended:
            return
        if self.connection is not None:
            self.connection.handle(event)
            return
        outcome = decide(AttemptStage.CONNECTING, event).outcome
        if outcome is not None:
            self.end(outcome)


class InstanceConnection(asyncio.Protocol):
    """One connection to an instance.

    Attributes:
        attempt: The attempt in progress; None while the connection is idle.
        idle_since: Time when the connection last became idle, in seconds.
        idle_timeout_s: Idle time after which the connection is closed.
        recent_ids: Ids of the last attempts on the connection, newest first.
        tainted: Whether a response to another request arrived on the connection.
    """

    __slots__ = (
        "attempt",
        "idle_since",
        "idle_timeout_s",
        "instance",
        "pool",
        "reader",
        "recent_ids",
        "tainted",
        "transport",
    )

    def __init__(self, pool: "ConnectionPool", instance: Instance) -> None:
        self.pool = pool
        self.instance = instance
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until connected
        self.attempt: Attempt | None = None
        self.reader = Reader(
            pool.buffers,
            responses=True,
            limits=MessageLimits(body_bytes=MAX_BODY_BYTES),
            single_value_headers=SINGLE_VALUE_HEADERS,
        )
        self.idle_since = 0.0
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.tainted = False
        self.recent_ids: tuple[str, ...] = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        self.transport = cast(asyncio.Transport, transport)
        tune_socket(transport)

    @property
    def stage(self) -> AttemptStage:
        """The progress of the current attempt."""
        if self.attempt is None:
            return AttemptStage.IDLE
        if self.transport.get_write_buffer_size():
            return AttemptStage.WRITING
        return AttemptStage.READING if self.reader.mid_message else AttemptStage.WRITTEN

    def send(self, attempt: Attempt) -> None:
        """Write the request of an attempt."""
        self.attempt = attempt
        attempt.connection = self
        self.recent_ids = (attempt.id, *self.recent_ids[: REMEMBERED_IDS - 1])
        self.reader.bodiless = attempt.bodiless
        self.transport.write(attempt.data)

    def data_received(self, data: bytes) -> None:
        """Parse responses and apply the events that they cause."""
        if self.attempt is None:
            self.handle(ConnectionEvent.UNEXPECTED_DATA)
            return
        messages: list[Response | Fault] = self.reader.feed(data)  # type: ignore[assignment]
        for position, message in enumerate(messages, 1):
            attempt = self.attempt
            if attempt is None:
                self.handle(ConnectionEvent.UNEXPECTED_DATA)
                return
            if isinstance(message, Fault):
                self.handle(ConnectionEvent.MALFORMED)
                return
            event = classify(message.status, message.headers, attempt.id, len(self.recent_ids) == 1)
            self.handle(event, message, position < len(messages) or self.reader.mid_message)

    def handle(
        self, event: ConnectionEvent, response: Response | None = None, surplus: bool = False
    ) -> None:
        """Apply the decision of the attempt outcome table for an event.

        Args:
            event: The event.
            response: The response that caused the event, if any.
            surplus: Whether further bytes followed that response.
        """
        outcome, action = decide(self.stage, event)
        if action is ConnectionAction.CONTINUE:
            self.tainted = self.tainted or event is ConnectionEvent.FOREIGN_RESPONSE
            return
        attempt, self.attempt = self.attempt, None
        if action is ConnectionAction.ABORT:
            self.transport.abort()
        elif (
            action is ConnectionAction.KEEP
            and response is not None
            and attempt is not None
            and is_reusable(response.keep_alive, self.tainted, surplus, attempt.bodiless)
            and self.pool.may_keep(self)
        ):
            self._become_idle(response.headers.get("keep-alive", ""))
        else:
            self.transport.close()
        if attempt is not None and outcome is not None:
            attempt.end(outcome, response)

    def _become_idle(self, keep_alive: str) -> None:
        self.idle_since = self.pool.clock()
        self.idle_timeout_s = IDLE_TIMEOUT_S
        for parameter in keep_alive.split(","):
            name, _, value = parameter.strip().partition("=")
            is_number = value.isdecimal() and len(value) <= MAX_KEEP_ALIVE_DIGITS
            if name.lower() == "timeout" and is_number:
                self.idle_timeout_s = min(IDLE_TIMEOUT_S, int(value) - CLOSE_AHEAD_S)
        self.pool.keep(self)

    def eof_received(self) -> bool:
        """Handle the instance's FIN, which may complete a response without a length."""
        message, attempt = self.reader.end(), self.attempt
        if attempt is not None and isinstance(message, Response):
            only_request = len(self.recent_ids) == 1
            event = classify(
                message.status, message.headers, attempt.id, only_request, framed=False
            )
            if event is not ConnectionEvent.FOREIGN_RESPONSE:
                self.handle(event, message)
        if not self.transport.is_closing():
            self.handle(ConnectionEvent.CLOSED)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt that the connection carried."""
        self.reader.drop()
        self.pool.forget(self)
        if self.attempt is not None:
            self.handle(ConnectionEvent.CLOSED)


class ConnectionPool:
    """The idle connections to all instances, and the opening of new ones.

    Attributes:
        buffers: The memory that partly read responses share.
        clock: Returns seconds of a monotonic clock.
        may_send: Whether requests may be sent to an instance now.
        idle: Idle connections by instance id, the newest last.
    """

    def __init__(
        self,
        buffers: Buffers,
        clock: Callable[[], float],
        may_send: Callable[[Instance], bool],
    ) -> None:
        self.buffers = buffers
        self.clock = clock
        self.may_send = may_send
        self.idle: dict[str, list[InstanceConnection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, instance: Instance, attempt: Attempt, idempotent: bool) -> None:
        """Send an attempt on an idle connection, or on a new one."""
        connection = self._take_idle(instance, attempt, idempotent)
        if connection is not None:
            connection.send(attempt)
            return
        task = asyncio.get_running_loop().create_task(self._connect(instance, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take_idle(
        self, instance: Instance, attempt: Attempt, idempotent: bool
    ) -> InstanceConnection | None:
        """Remove and return an idle connection for an attempt, closing expired ones on the way."""
        connections = self.idle.get(instance.id)
        if not connections or attempt.needs_new_connection:
            return None
        now = self.clock()
        max_idle_s = IDLE_TIMEOUT_S if idempotent else IDLE_TIMEOUT_NON_IDEMPOTENT_S
        for position in range(len(connections) - 1, -1, -1):
            connection = connections[position]
            if attempt.id in connection.recent_ids:
                continue
            del connections[position]
            idle_s = now - connection.idle_since
            expired = idle_s >= min(connection.idle_timeout_s, max_idle_s)
            if not expired and not connection.transport.is_closing():
                return connection
            connection.transport.close()
        return None

    async def _connect(self, instance: Instance, attempt: Attempt) -> None:
        host, _, port = instance.entry.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: InstanceConnection(self, instance), host, int(port)
                )
        except (OSError, TimeoutError, ValueError):
            attempt.handle(ConnectionEvent.CONNECT_FAILED)
            return
        if attempt.ended:
            connection.transport.close()
        elif connection.transport.is_closing():
            # The instance reset the connection or sent data before the request was written.
            attempt.handle(ConnectionEvent.CLOSED)
        elif not self.may_send(instance):  # changed while the connection was being opened
            connection.transport.close()
            attempt.handle(ConnectionEvent.NOT_ALLOWED)
        else:
            connection.send(attempt)

    def may_keep(self, connection: InstanceConnection) -> bool:
        """Whether a connection may be kept idle."""
        instance = connection.instance
        idle = len(self.idle.get(instance.id, ()))
        return self.may_send(instance) and idle < MAX_IDLE_CONNECTIONS

    def keep(self, connection: InstanceConnection) -> None:
        """Add a connection to the idle ones."""
        self.idle.setdefault(connection.instance.id, []).append(connection)

    def forget(self, connection: InstanceConnection) -> None:
        """Remove a lost connection from the idle ones."""
        connections = self.idle.get(connection.instance.id)
        if connections and connection in connections:
            connections.remove(connection)
        if connections is not None and not connections:
            del self.idle[connection.instance.id]

    def close_idle(self, instance: Instance) -> None:
        """Close the idle connections to an instance that no longer receives requests."""
        for connection in self.idle.pop(instance.id, []):
            connection.transport.close()

    def sweep(self) -> None:
        """Close connections whose idle timeout has expired, before the instance closes them."""
        now = self.clock()
        for connections in list(self.idle.values()):
            expired = [
                connection
                for connection in connections
                if now - connection.idle_since >= connection.idle_timeout_s
            ]
            for connection in expired:
                connections.remove(connection)
                connection.transport.close()

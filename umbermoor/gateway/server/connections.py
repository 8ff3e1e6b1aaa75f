"""Connections to instances: one request at a time on each, kept for the next one.

`ConnectionPool` finds a connection for an attempt; an `InstanceConnection` reads its response. What
an event on a connection means is decided in `balancing.attempt_outcomes`: this tells it which event
it was, and carries out what it says.
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
from umbermoor.http1.reader import Fault, Reader, Response

if TYPE_CHECKING:
    from umbermoor.gateway.server.active_request import ActiveRequest

CONNECT_TIMEOUT_S = 0.35
IDLE_TIMEOUT_S = 8.0  # kept no longer where the instance names no time
IDLE_TIMEOUT_NON_IDEMPOTENT_S = 2.0  # for requests that may be executed only once
CLOSE_AHEAD_S = 1.0  # closed so long before the instance would
MAX_KEEP_ALIVE_DIGITS = 8
MAX_BODY_BYTES = 8 << 20  # of a response: it is held whole before any of it goes on
MAX_IDLE_CONNECTIONS = 6  # kept to one instance
# Ids of the last attempts on a connection: none of them goes on it again, as a second response to
# the first attempt would fit the second.
REMEMBERED_IDS = 4


class Attempt:
    """A request on its way to one instance; `on_end(attempt, outcome, response)` is called once.

    Attributes:
        request: The request that it belongs to.
        number: Its number among the attempts of that request, from 1 on.
        instance: Where it goes.
        sent_at: When it was started, in microseconds.
        id: The X-Attempt-Id of the request.
        data: The request as it is written.
        bodiless: Whether it is a HEAD.
        needs_new_connection: Whether this request was at this instance before.
        connection: The connection that carries it, or did.
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
        """Ends it, where it has not ended yet."""
        if not self.ended:
            self.ended = True
            self.on_end(self, outcome, response)

    def handle(self, event: ConnectionEvent) -> None:
        """What happens to it from this side: CANCELLED or DEADLINE_EXCEEDED."""
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
        attempt: The attempt on it; None while it is idle.
        idle_since: When it last became idle, in seconds.
        idle_timeout_s: How long it may stay so.
        recent_ids: Ids of the last attempts on it, newest first.
        tainted: Whether a response to another request came on it.
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
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until it is made
        self.attempt: Attempt | None = None
        self.reader = Reader(
            pool.buffers,
            responses=True,
            max_body_bytes=MAX_BODY_BYTES,
            single_value_headers=SINGLE_VALUE_HEADERS,
        )
        self.idle_since = 0.0
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.tainted = False
        self.recent_ids: tuple[str, ...] = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins."""
        self.transport = cast(asyncio.Transport, transport)
        tune_socket(transport)

    @property
    def stage(self) -> AttemptStage:
        """How far the attempt on it is."""
        if self.attempt is None:
            return AttemptStage.IDLE
        if self.transport.get_write_buffer_size():
            return AttemptStage.WRITING
        return AttemptStage.READING if self.reader.mid_message else AttemptStage.WRITTEN

    def send(self, attempt: Attempt) -> None:
        """Writes an attempt's request."""
        self.attempt = attempt
        attempt.connection = self
        self.recent_ids = (attempt.id, *self.recent_ids[: REMEMBERED_IDS - 1])
        self.reader.bodiless = attempt.bodiless
        self.transport.write(attempt.data)

    def data_received(self, data: bytes) -> None:
        """Reads responses."""
        if self.attempt is None:
            self.handle(ConnectionEvent.UNEXPECTED_DATA)
            return
        found: list[Response | Fault] = self.reader.feed(data)  # type: ignore[assignment]
        for position, message in enumerate(found, 1):
            attempt = self.attempt
            if attempt is None:
                self.handle(ConnectionEvent.UNEXPECTED_DATA)
                return
            if isinstance(message, Fault):
                self.handle(ConnectionEvent.MALFORMED)
                return
            event = classify(message.status, message.headers, attempt.id, len(self.recent_ids) == 1)
            self.handle(event, message, position < len(found) or self.reader.mid_message)

    def handle(
        self, event: ConnectionEvent, response: Response | None = None, surplus: bool = False
    ) -> None:
        """Carries out what the table says.

        Args:
            event: What happened.
            response: The response that it was found in.
            surplus: Whether bytes lie behind that response.
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
        """The instance sends nothing more: a response without length may end here."""
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
        """Ends the attempt that was on it."""
        self.reader.drop()
        self.pool.forget(self)
        if self.attempt is not None:
            self.handle(ConnectionEvent.CLOSED)


class ConnectionPool:
    """Connections to all instances.

    Attributes:
        buffers: The memory that partly read responses share.
        clock: Seconds of a steady clock.
        may_send: Whether an instance may be sent a request now.
        idle: Idle connections by the instance's id, the newest last.
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
        """Sends an attempt on a kept connection, or on a new one."""
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
        """A kept connection for this attempt; closes those that it finds to be kept too long."""
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
            # It was reset, or sent something, before anything was written.
            attempt.handle(ConnectionEvent.CLOSED)
        elif not self.may_send(instance):  # what changed while it was opened
            connection.transport.close()
            attempt.handle(ConnectionEvent.NOT_ALLOWED)
        else:
            connection.send(attempt)

    def may_keep(self, connection: InstanceConnection) -> bool:
        """Whether a connection may become idle."""
        instance = connection.instance
        idle = len(self.idle.get(instance.id, ()))
        return self.may_send(instance) and idle < MAX_IDLE_CONNECTIONS

    def keep(self, connection: InstanceConnection) -> None:
        """A connection became idle."""
        self.idle.setdefault(connection.instance.id, []).append(connection)

    def forget(self, connection: InstanceConnection) -> None:
        """A connection was lost."""
        connections = self.idle.get(connection.instance.id)
        if connections and connection in connections:
            connections.remove(connection)
        if connections is not None and not connections:
            del self.idle[connection.instance.id]

    def close_idle(self, instance: Instance) -> None:
        """Closes the idle connections to an instance that gets no requests any more."""
        for connection in self.idle.pop(instance.id, []):
            connection.transport.close()

    def sweep(self) -> None:
        """Closes what was idle for long enough, before the instance does."""
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

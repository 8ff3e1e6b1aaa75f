"""Connections to machines: one request at a time on each, kept for the next one. What an event on
one means is decided in vane/answers.py; this tells it which event it was, and carries out."""

import asyncio
from collections.abc import Callable

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

CONNECT = 0.35  # s
IDLE = 8.0  # s: kept no longer where the machine names no time
IDLE_ONCE = 2.0  # s: for requests that may run only once
SPARE = 1.0  # s: closed so long before the machine would
ANSWER_MOST = 8 << 20  # bytes of an answer's body: it is held whole before any of it goes on
KEPT = 6  # idle connections kept to a machine
# the last ones of a line: none of them goes on it again, as a surplus answer to the first would fit
# the second
IDS = 4


class Attempt:
    """A request on its way to one machine; `done(fate, response)` is called once."""

    __slots__ = "anew", "bodiless", "data", "done", "id", "line", "over"

    def __init__(
        self,
        data: bytes,
        id: str,
        done: Callable[[AttemptOutcome, Response | None], None],
        bodiless: bool = False,
        anew: bool = False,
    ) -> None:
        self.data, self.id, self.done, self.over = data, id, done, False
        self.bodiless = bodiless  # it is a HEAD
        self.anew = anew  # on a new connection: this request was at this machine before
        self.line: MachineLine | None = None  # that carries it, or did

    def end(self, outcome: AttemptOutcome, response: Response | None = None) -> None:
        if not self.over:
            self.over = True
            self.done(outcome, response)

    def meet(self, event: ConnectionEvent) -> None:
        """What happens to it from this side: UNWANTED or OVER."""
        if self.over:
            return
        if self.line is not None:
            self.line.meet(event)
        elif (outcome := decide(AttemptStage.CONNECTING, event).outcome) is not None:
            self.end(outcome)


class MachineLine(asyncio.Protocol):
    __slots__ = (
        "attempt",
        "idle_most",
        "idle_since",
        "ids",
        "instance",
        "pool",
        "reader",
        "tainted",
        "transport",
    )

    def __init__(self, pool: "Pool", instance: Instance) -> None:
        self.pool, self.instance = pool, instance
        self.transport = self.attempt = None
        self.reader = Reader(
            pool.buffers, responses=True, body_most=ANSWER_MOST, single=SINGLE_VALUE_HEADERS
        )
        self.idle_since, self.idle_most, self.tainted = 0.0, IDLE, False
        self.ids: tuple[str, ...] = ()  # of the last requests on it, newest first

    def connection_made(self, transport) -> None:
        self.transport = transport
        tune_socket(transport)

    @property
    def stage(self) -> AttemptStage:
        if self.attempt is None:
            return AttemptStage.IDLE
        if self.transport.get_write_buffer_size():
            return AttemptStage.WRITING
        return AttemptStage.READING if self.reader.midway else AttemptStage.WRITTEN

    def carry(self, attempt: Attempt) -> None:
        self.attempt, attempt.line = attempt, self
        self.ids = (attempt.id, *self.ids[: IDS - 1])
        self.reader.bodiless = attempt.bodiless
        self.transport.write(attempt.data)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.meet(ConnectionEvent.UNEXPECTED_DATA)
            return
        all_found = self.reader.feed(data)
        for place, found in enumerate(all_found, 1):
            attempt = self.attempt
            if attempt is None:
                self.meet(ConnectionEvent.UNEXPECTED_DATA)
                return
            if isinstance(found, Fault):
                self.meet(ConnectionEvent.MALFORMED)
                return
            self.meet(
                classify(found.status, found.headers, attempt.id, len(self.ids) == 1),
                found,
                place < len(all_found) or self.reader.midway,
            )

    def meet(
        self, event: ConnectionEvent, found: Response | None = None, surplus: bool = False
    ) -> None:
        """Carries out what the table says; surplus: bytes lie behind the answer that was found."""
        outcome, line = decide(self.stage, event)
        if line is ConnectionAction.CONTINUE:
            self.tainted = self.tainted or event is ConnectionEvent.FOREIGN_RESPONSE
            return
        attempt, self.attempt = self.attempt, None
        if line is ConnectionAction.ABORT:
            self.transport.abort()
        elif (
            line is ConnectionAction.KEEP
            and is_reusable(found.keep, self.tainted, surplus, attempt.bodiless)
            and self.pool.keeps(self)
        ):
            self._rest(found.headers.get("keep-alive", ""))
        else:
            self.transport.close()
        if attempt is not None:
            attempt.end(outcome, found)

    def _rest(self, told: str) -> None:
        self.idle_since, self.idle_most = self.pool.clock(), IDLE
        for part in told.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal() and len(value) < 9:
                self.idle_most = min(IDLE, int(value) - SPARE)
        self.pool.rest(self)

    def eof_received(self) -> bool:
        found, attempt = self.reader.end(), self.attempt
        if attempt is not None and isinstance(
            found, Response
        ):  # its body ended with the connection
            event = classify(
                found.status, found.headers, attempt.id, len(self.ids) == 1, framed=False
            )
            if event is not ConnectionEvent.FOREIGN_RESPONSE:
                self.meet(event, found)
        if not self.transport.is_closing():
            self.meet(ConnectionEvent.CLOSED)
        return False

    def connection_lost(self, error) -> None:
        self.reader.drop()
        self.pool.lost(self)
        if self.attempt is not None:
            self.meet(ConnectionEvent.CLOSED)


class Pool:
    """Connections to all machines, by machine life."""

    def __init__(
        self, buffers: Buffers, clock: Callable[[], float], may: Callable[[Instance], bool]
    ) -> None:
        self.buffers, self.clock, self.may = buffers, clock, may
        self.idle: dict[str, list[MachineLine]] = {}
        self._tasks: set[asyncio.Task] = set()

    def start(self, instance: Instance, attempt: Attempt, once: bool) -> None:
        """Sends on a kept connection, or on a new one."""
        lines = [] if attempt.anew else self.idle.get(instance.id, [])
        now, most = self.clock(), IDLE_ONCE if once else IDLE
        for place in range(len(lines) - 1, -1, -1):
            line = lines[place]
            if attempt.id in line.ids:
                continue
            del lines[place]
            if (
                now - line.idle_since < min(line.idle_most, most)
                and not line.transport.is_closing()
            ):
                line.carry(attempt)
                return
            line.transport.close()
        task = asyncio.get_running_loop().create_task(self._open(instance, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, instance: Instance, attempt: Attempt) -> None:
        host, _, port = instance.entry.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT):
                _, line = await asyncio.get_running_loop().create_connection(
                    lambda: MachineLine(self, instance), host, int(port)
                )
        except (OSError, TimeoutError, ValueError):
            attempt.end(decide(AttemptStage.CONNECTING, ConnectionEvent.CONNECT_FAILED).outcome)
            return
        if attempt.over:
            line.transport.close()
        elif (
            line.transport.is_closing()
        ):  # it was reset, or said something, before anything was written
            attempt.end(decide(AttemptStage.CONNECTING, ConnectionEvent.CLOSED).outcome)
        elif not self.may(instance):  # what changed while it was opened
            line.transport.close()
            attempt.end(decide(AttemptStage.CONNECTING, ConnectionEvent.NOT_ALLOWED).outcome)
        else:
            line.carry(attempt)

    def keeps(self, line: MachineLine) -> bool:
        return self.may(line.instance) and len(self.idle.get(line.instance.id, ())) < KEPT

    def rest(self, line: MachineLine) -> None:
        self.idle.setdefault(line.instance.id, []).append(line)

    def lost(self, line: MachineLine) -> None:
        lines = self.idle.get(line.instance.id)
        if lines and line in lines:
            lines.remove(line)
        if lines is not None and not lines:
            del self.idle[line.instance.id]

    def drop(self, instance: Instance) -> None:
        """It gets nothing any more."""
        for line in self.idle.pop(instance.id, []):
            line.transport.close()

    def sweep(self) -> None:
        """Closes what was idle long enough, before the machine does."""
        now = self.clock()
        for lines in list(self.idle.values()):
            for line in [one for one in lines if now - one.idle_since >= one.idle_most]:
                lines.remove(line)
                line.transport.close()

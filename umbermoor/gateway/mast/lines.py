"""Connections to machines: one request at a time on each, kept for the next one. Carries out; decides only what a
connection proves of the request on it."""

import asyncio
from typing import Callable

from umbermoor.gateway.mast.post import quicken
from umbermoor.gateway.vane.exchange import Fate
from umbermoor.gateway.vane.plants import Plant
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Response

CONNECT = 0.35  # s
IDLE = 8.0  # s: kept no longer where the machine names no time
IDLE_ONCE = 2.0  # s: for requests that may run only once
SPARE = 1.0  # s: closed so long before the machine would
ANSWER_MOST = 8 << 20  # bytes of an answer's body: it is held whole before any of it goes on
PROMISES = 408, 429, 503  # to a client: it never runs. Of a machine's word only X-Not-Executed says so
KEPT = 6  # idle connections kept to a machine


class Attempt:
    """A request on its way to one machine; `done(fate, response)` is called once."""

    __slots__ = "data", "id", "done", "sent", "over", "bodiless", "line"

    def __init__(self, data: bytes, id: str, done: Callable[[Fate, Response | None], None],
                 bodiless: bool = False) -> None:
        self.data, self.id, self.done, self.sent, self.over = data, id, done, False, False
        self.bodiless = bodiless  # it is a HEAD
        self.line: MachineLine | None = None  # that carries it

    def end(self, fate: Fate, response: Response | None = None) -> None:
        if not self.over:
            self.over = True
            self.done(fate, response)

    def give_up(self) -> None:
        """Its time is over: the machine has stopped work at it, or says nothing any more."""
        if self.line is not None and not self.over:
            self.line.give_up(self)
        self.end(Fate.BROKEN if self.sent else Fate.UNSENT)


class MachineLine(asyncio.Protocol):
    __slots__ = "pool", "plant", "transport", "reader", "attempt", "idle_since", "idle_most", "poor"

    def __init__(self, pool: "Pool", plant: Plant) -> None:
        self.pool, self.plant = pool, plant
        self.transport = self.attempt = None
        self.reader = Reader(pool.buffers, responses=True, body_most=ANSWER_MOST)
        self.idle_since, self.idle_most, self.poor = 0.0, IDLE, False

    def connection_made(self, transport) -> None:
        self.transport = transport
        quicken(transport)

    def carry(self, attempt: Attempt) -> None:
        self.attempt, attempt.line = attempt, self
        attempt.sent, self.reader.bodiless = True, attempt.bodiless
        self.transport.write(attempt.data)

    def data_received(self, data: bytes) -> None:
        all_found = self.reader.feed(data)
        for place, found in enumerate(all_found, 1):
            if isinstance(found, Fault):
                self._break(Fate.SPOILT)
                return
            attempt = self.attempt
            if attempt is None:  # an answer that nobody asked for
                self._break(Fate.SPOILT)
                return
            if found.headers.get("x-attempt-id") != attempt.id:
                if "x-attempt-id" in found.headers or found.status not in (421, 503, 429, 400):
                    self.poor = True  # a surplus answer of an earlier request: ours is still to come
                    continue
            self.attempt = None
            self.poor = self.poor or place < len(all_found)  # more came behind it
            self._answer(attempt, found)

    def _answer(self, attempt: Attempt, found: Response) -> None:
        headers = found.headers
        if not found.keep or self.poor or self.reader.midway or not self.pool.keeps(self):
            self._close()
        else:
            self.idle_since = self.pool.clock()
            self.idle_most = IDLE
            for part in headers.get("keep-alive", "").split(","):
                name, _, value = part.strip().partition("=")
                if name.lower() == "timeout" and value.isdecimal() and len(value) < 9:
                    self.idle_most = min(IDLE, int(value) - SPARE)
            self.pool.rest(self)
        if found.status == 421:
            attempt.end(Fate.WRONG, found)
        elif "x-not-executed" in headers:
            attempt.end(Fate.FULL, found)
        elif found.status in PROMISES or "content-encoding" in headers \
                or 200 <= found.status < 300 and "x-server-seal" not in headers:
            attempt.end(Fate.SPOILT, found)
        else:
            attempt.end(Fate.WHOLE, found)

    def _close(self) -> None:
        self.transport.close()

    def give_up(self, attempt: Attempt) -> None:
        """Breaks the connection that still carries it."""
        if self.attempt is attempt:
            self.attempt = None
            self.transport.abort()

    def _break(self, fate: Fate) -> None:
        attempt, self.attempt = self.attempt, None
        self.transport.abort()
        if attempt is not None:
            attempt.end(fate)

    def eof_received(self) -> bool:
        found = self.reader.end()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            if isinstance(found, Response) and found.headers.get("x-attempt-id") == attempt.id:
                self.poor = True
                self._answer(attempt, found)
            else:
                attempt.end(Fate.BROKEN)
        return False

    def connection_lost(self, error) -> None:
        self.reader.drop()
        self.pool.lost(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.end(Fate.BROKEN)


class Pool:
    """Connections to all machines, by machine life."""

    def __init__(self, buffers: Buffers, clock: Callable[[], float], may: Callable[[Plant], bool]) -> None:
        self.buffers, self.clock, self.may = buffers, clock, may
        self.idle: dict[str, list[MachineLine]] = {}
        self.open = 0
        self._tasks: set[asyncio.Task] = set()

    def start(self, plant: Plant, attempt: Attempt, once: bool) -> None:
        """Sends on a kept connection, or on a new one."""
        lines = self.idle.get(plant.id, [])
        now = self.clock()
        while lines:
            line = lines.pop()
            if now - line.idle_since < min(line.idle_most, IDLE_ONCE if once else IDLE) \
                    and not line.transport.is_closing():
                line.carry(attempt)
                return
            line.transport.close()
        task = asyncio.get_running_loop().create_task(self._open(plant, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, plant: Plant, attempt: Attempt) -> None:
        host, _, port = plant.entry.address.rpartition(":")
        self.open += 1
        try:
            async with asyncio.timeout(CONNECT):
                _, line = await asyncio.get_running_loop().create_connection(
                    lambda: MachineLine(self, plant), host, int(port))
        except (OSError, TimeoutError, ValueError):
            self.open -= 1
            attempt.end(Fate.UNSENT)
            return
        if attempt.over or not self.may(plant):  # what changed while it was opened
            line.transport.close()
            attempt.end(Fate.UNSENT)
        else:
            line.carry(attempt)

    def keeps(self, line: MachineLine) -> bool:
        return self.may(line.plant) and len(self.idle.get(line.plant.id, ())) < KEPT

    def rest(self, line: MachineLine) -> None:
        self.idle.setdefault(line.plant.id, []).append(line)

    def lost(self, line: MachineLine) -> None:
        self.open -= 1
        lines = self.idle.get(line.plant.id)
        if lines and line in lines:
            lines.remove(line)
        if lines is not None and not lines:
            del self.idle[line.plant.id]

    def drop(self, plant: Plant) -> None:
        """It gets nothing any more."""
        for line in self.idle.pop(plant.id, []):
            line.transport.close()

    def sweep(self) -> None:
        """Closes what was idle long enough, before the machine does."""
        now = self.clock()
        for lines in list(self.idle.values()):
            for line in [one for one in lines if now - one.idle_since >= one.idle_most]:
                lines.remove(line)
                line.transport.close()

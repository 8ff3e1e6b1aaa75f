"""Connections of clients: queries in, answers out."""

import logging
from collections import deque
from math import isfinite
from typing import Callable, Mapping, NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from umbermoor.facade import Asked
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response
from umbermoor.interface import Repeat
from umbermoor.logs import note, note_failure
from umbermoor.node.budget import OVER_MOST, Budget
from umbermoor.node.lines import SECOND

log = logging.getLogger(__name__)

WAY = 2_000  # microseconds that an answer may need to its client
LONGEST = 3600.0  # seconds; a client that says it waits longer is not believed
QUEUED = 16  # requests that may stand behind the one in work on a connection
LINGER = 1.0  # seconds that a client has to close after its last answer
READ_WITHIN = 10.0  # seconds from a request's first byte to its last


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    headers: Mapping[str, str] = {}


class Query(NamedTuple):
    """What a client asks, and the request as it passes on to a machine."""

    asked: Asked
    request: Request


Ask = Callable[[Query], "Deferred[Answer]"]  # cancelled when the client leaves


class Clients(Factory):
    noisy = False

    def __init__(self, reactor, clock: Callable[[], int], buffers: Buffers, budget: Budget,
                 profiles: Mapping[str, int], repeats: list[Repeat], ask: Ask) -> None:
        self.reactor, self.clock, self.buffers, self.budget, self.ask = reactor, clock, buffers, budget, ask
        self.profiles, self.repeats = profiles, repeats
        self.up = self.leaving = False
        self.over = 0  # connections beyond the budget
        self.accept: Callable[[bool], None] = lambda on: None  # whether to accept further ones
        self.open: dict[Client, None] = {}  # the one that spoke last stands last
        budget.spare.append(self.close_one)

    def buildProtocol(self, addr) -> "Client":
        return Client(self)

    def close_one(self) -> bool:
        """The connection that has been idle longest."""
        idle = next((client for client in self.open if client.idle), None)
        if idle is not None:
            idle.close()
        return idle is not None

    def count_over(self, change: int) -> None:
        """Threat: a burst takes the last descriptor, and accepting fails. What waits is kept by the kernel."""
        was, self.over = self.over >= OVER_MOST, self.over + change
        if was != (self.over >= OVER_MOST):
            self.accept(was)

    def close_idle(self) -> None:
        for client in list(self.open):
            if client.idle:
                client.close()

    def drop(self) -> None:
        for client in list(self.open):
            client.transport.abortConnection()

    def read(self, request: Request, came: int) -> Query | Answer:
        path = request.target.partition("?")[0]
        if path == "/up" and request.method == "GET":
            return Answer(200 if self.up and not self.leaving else 503)
        if path != "/api":
            return Answer(404)
        if request.method not in ("GET", "POST"):
            return Answer(405, headers={"Allow": "GET, POST"})
        headers = request.headers
        query, profile = headers.get("x-txn", ""), self.profiles.get(headers.get("x-lane", ""))
        remaining = _number(headers.get("x-remaining", ""))
        if not query or profile is None or remaining is None or not 0 < remaining <= LONGEST:
            return Answer(400)
        if (request.method == "GET") != (self.repeats[profile] is Repeat.RETRIABLE):
            return Answer(405)
        if request.method == "GET" and request.body:
            return Answer(400)
        cost = _number(headers.get("x-estimate", ""))
        due = came + max(0, round(remaining * SECOND) - WAY)
        return Query(Asked(query, profile, None, due, round(cost) if cost and 0 < cost < 1e12 else None,
                           headers.get("x-resent") == "1"), request)


class Client(Protocol):
    def __init__(self, clients: Clients) -> None:
        self._clients, self._reader = clients, Reader(clients.buffers)
        self._waiting: deque[tuple[Request | Fault, int]] = deque()  # and when they were whole
        self._working: Deferred[Answer] | None = None
        self._counted = self._closing = False
        self._timer = None

    @property
    def idle(self) -> bool:
        return self._working is None and not self._waiting and not self._reader.midway and not self._closing

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._counted = self._clients.budget.take()
        if not self._counted:
            self._clients.count_over(1)
        self._clients.open[self] = None

    def dataReceived(self, data: bytes) -> None:
        if self._closing:
            return
        self._clients.open[self] = self._clients.open.pop(self, None)
        now = self._clients.clock()
        self._waiting.extend((read, now) for read in self._reader.feed(data))
        if len(self._waiting) > QUEUED:
            self._waiting = deque([*list(self._waiting)[:QUEUED], (Fault(400, "too many requests at once"), now)])
        if self._reader.midway != (self._timer is not None):
            if self._timer is None:
                self._timer = self._clients.reactor.callLater(READ_WITHIN, self._too_slow)
            else:
                self._drop_timer()
        self._work()

    def connectionLost(self, reason: Failure) -> None:
        self._closing = True
        self._drop_timer()
        self._reader.drop()
        self._waiting.clear()
        self._clients.open.pop(self, None)
        if self._counted:
            self._clients.budget.give()
        else:
            self._clients.count_over(-1)
        if self._working is not None:
            self._working.cancel()

    def close(self) -> None:
        self._closing = True
        self.transport.loseConnection()

    def _work(self) -> None:
        while self._waiting and self._working is None and not self._closing:
            read, came = self._waiting.popleft()
            if isinstance(read, Fault):
                note(log, "bad request", logging.DEBUG, status=read.status, why=read.text)
                self._answer(Answer(read.status), False)
                continue
            if not self._counted:  # over the budget: nothing is taken
                self._answer(Answer(503, headers={"Retry-After": "1"}), False)
                continue
            if "expect" in read.headers:
                self._answer(Answer(417), False)
                continue
            found = self._clients.read(read, came)
            if isinstance(found, Answer):
                self._answer(found, read.keep)
                continue
            self._working = working = self._clients.ask(found)
            working.addCallbacks(self._answered, self._faulted, callbackArgs=(read.keep,))

    def _answered(self, answer: Answer, keep: bool) -> None:
        self._working = None
        if not self._closing:
            self._answer(answer, keep)
            if self._waiting:
                self._clients.reactor.callLater(0, self._work)

    def _faulted(self, failure: Failure) -> None:
        self._working = None
        if not failure.check(CancelledError):
            note_failure(log, "fault in a query", failure)
            if not self._closing:
                self._answer(Answer(500), False)

    def _answer(self, answer: Answer, keep: bool) -> None:
        keep = keep and not self._clients.leaving
        self.transport.write(write_response(answer.status, answer.body, keep, answer.headers))
        if not keep:
            self._linger()

    def _linger(self) -> None:
        """Closes once the client has. Threat: closing over unread bytes resets the connection under the answer."""
        self._closing = True
        self._drop_timer()
        self._reader.drop()
        self.transport.loseWriteConnection()
        self._timer = self._clients.reactor.callLater(LINGER, self.transport.abortConnection)

    def _too_slow(self) -> None:
        self._timer = None
        if self._reader.midway and self._working is None and not self._closing:
            self._answer(Answer(408), False)

    def _drop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) else None

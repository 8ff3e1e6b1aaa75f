"""Connections of clients: queries in, answers out."""

import logging
import re
from collections import deque
from collections.abc import Callable, Mapping
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import NamedTuple
from typing import Protocol as Protocol_

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from umbermoor.front.facade import Asked
from umbermoor.front.interface import Repeat
from umbermoor.front.server.connections import SECOND
from umbermoor.front.server.descriptor_budget import OVER_MOST, Budget
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response
from umbermoor.logs import note, note_failure

log = logging.getLogger(__name__)

_ID = re.compile(r"[!-+\--~]{1,128}")  # no comma: a header that was sent twice holds one
_DECIMAL = re.compile(r"[0-9]{1,15}(?:\.[0-9]{0,15})?")

WAY = 2_000  # microseconds that an answer may need to its client
LONGEST = 3600.0  # seconds; a client that says it waits longer is not believed
QUEUED = 16  # requests that may stand behind the one in work on a connection
LINGER = 1.0  # seconds that a client has to close after its last answer
# seconds from connecting, and then from a request's first byte, until that request is whole
READ_WITHIN = 2.5
READ_LEAST = 0.01  # what came by then and waits unread is read within this, in the next turn
ONCE_PART, ONCE_LEAST = (
    6,
    16,
)  # one in so many of the budget's connections may have asked once and stay, or so many
STALE = 2 * SECOND  # a connection without an open request may be closed from then on


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    headers: Mapping[str, str] = {}


class Query(NamedTuple):
    """What a client asks, and the request as it passes on to a machine."""

    asked: Asked
    request: Request


Ask = Callable[[Query], "Deferred[Answer]"]  # cancelled when the client leaves


class Keeper(Protocol_):
    """Says what a front may do in its present state; see lifecycle/keeper.py."""

    up: bool
    closes: bool

    def admits(self, now: int, in_hand: int) -> bool: ...


class Clients(Factory):
    noisy = False

    def __init__(
        self,
        reactor,
        clock: Callable[[], int],
        buffers: Buffers,
        budget: Budget,
        profiles: Mapping[str, int],
        repeats: list[Repeat],
        ask: Ask,
    ) -> None:
        self.reactor, self.clock, self.buffers, self.budget, self.ask = (
            reactor,
            clock,
            buffers,
            budget,
            ask,
        )
        self.profiles, self.repeats = profiles, repeats
        self.up = self.leaving = False
        self.keeper: Keeper | None = None
        self.in_hand: Callable[[], int] = lambda: 0
        self._accepting = True
        budget.freed = self.settle
        self.once: dict[Client, None] = {}  # idle since their first answer, the longest first
        self.accept: Callable[[bool], None] = lambda on: None  # whether to accept further ones
        self.open: dict[Client, None] = {}  # the one that spoke last stands last

    def buildProtocol(self, addr) -> "Client":
        return Client(self)

    @property
    def crowded(self) -> bool:
        """Threat: clients that ask once and stay hold what they may open, and then cannot ask at
        all. Those that ask again are not counted, nor told to close: their next connection would
        cost more than this one."""
        return len(self.once) > max(ONCE_LEAST, self.budget.most // ONCE_PART)

    def admits(self) -> bool:
        """Whether a query is taken in the front's present state. One that is not was never
        begun."""
        return self.keeper is None or self.keeper.admits(self.clock(), self.in_hand())

    def close_stale(self) -> bool:
        """One that has been idle for long. Threat: strangers that stay, at the cost of lines to
        machines."""
        return self.close_one(STALE)

    def close_one(self, after: int = 0) -> bool:
        """The connection that has been idle longest, if that is as long as this."""
        since = self.clock() - after
        idle = next(
            (one for one in self.open if one.idle and one.since <= since and not one.unread), None
        )
        if idle is not None:
            idle.close()
        return idle is not None

    def settle(self) -> None:
        """Whether further ones are accepted. Threat: a burst takes the last descriptor, and what is
        accepted then is closed without an answer. What waits is kept by the kernel."""
        accepting = self.budget.over < OVER_MOST and self.budget.room > 0
        if accepting != self._accepting:
            self._accepting = accepting
            self.accept(accepting)

    def bound(self, port: Port) -> None:
        """Threat: a turn of a busy front accepts a hundred at once, whatever was said meanwhile."""

        def turn() -> None:
            port.numberAccepts = max(1, self.budget.room)
            type(port).doRead(port)

        port.doRead = turn

    def close_idle(self) -> None:
        for client in list(self.open):
            if client.idle and not client.unread:
                client.close()

    def drop(self) -> None:
        """Who has sent no whole request. Threat: an answer that was only just written is lost with
        its connection; who has been told to close is given its time (LINGER) to take it."""
        for client in list(self.open):
            if not client.closing:
                client.transport.abortConnection()

    def read(self, request: Request, came: int) -> Query | Answer:
        path = request.target.partition("?")[0]
        if path == "/up" and request.method == "GET":
            served = self.up and not self.leaving and (self.keeper is None or self.keeper.up)
            return Answer(200 if served else 503)
        if path != "/api":
            return Answer(404)
        if request.method not in ("GET", "POST"):
            return Answer(405, headers={"Allow": "GET, POST"})
        headers = request.headers
        query, profile = headers.get("x-txn", ""), self.profiles.get(headers.get("x-lane", ""))
        remaining = _number(headers.get("x-remaining", ""))
        if (
            not _ID.fullmatch(query)
            or profile is None
            or remaining is None
            or not 0 < remaining <= LONGEST
        ):
            return Answer(400)
        if (request.method == "GET") != (self.repeats[profile] is Repeat.RETRIABLE):
            return Answer(405)
        if request.method == "GET" and request.body:
            return Answer(400)
        cost = _number(headers.get("x-estimate", ""))
        due = came + max(0, round(remaining * SECOND) - WAY)
        return Query(
            Asked(
                query,
                profile,
                None,
                due,
                round(cost) if cost and 0 < cost < 1e12 else None,
                headers.get("x-resent") == "1",
            ),
            request,
        )


class Client(Protocol):
    def __init__(self, clients: Clients) -> None:
        self._clients, self._reader = clients, Reader(clients.buffers)
        self._waiting: deque[tuple[Request | Fault, int]] = deque()  # and when they were whole
        self._working: Deferred[Answer] | None = None
        self._counted = self._closing = self._full = False
        self._first = True  # no answer yet
        self.since = 0  # when it connected, or had its last answer
        self._timer = None

    @property
    def closing(self) -> bool:
        return self._closing

    @property
    def idle(self) -> bool:
        return (
            self._working is None
            and not self._waiting
            and not self._reader.mid_message
            and not self._closing
        )

    @property
    def unread(self) -> bool:
        """Whether its next request has come, not read yet. Threat: in a long turn it looks idle,
        and is closed."""
        try:
            return bool(self.transport.getHandle().recv(1, MSG_PEEK | MSG_DONTWAIT))
        except (AttributeError, OSError):  # nothing there
            return False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._counted = self._clients.budget.take()
        if not self._counted:
            self._clients.budget.over += 1
        self._clients.settle()
        self._clients.open[self] = None
        self.since = self._clients.clock()
        self._timer = self._clients.reactor.callLater(READ_WITHIN, self._too_slow)
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        if self._closing:
            return
        self._clients.open[self] = self._clients.open.pop(self, None)
        self._clients.once.pop(self, None)
        now = self._clients.clock()
        found = self._reader.feed(data)
        self._waiting.extend((read, now) for read in found)
        if len(self._waiting) > QUEUED:
            self._waiting = deque(
                [*list(self._waiting)[:QUEUED], (Fault(400, "too many requests at once"), now)]
            )
        if found:
            self._drop_timer()
        self._await_rest()
        self._work()

    def connectionLost(self, reason: Failure) -> None:
        self._closing = True
        self._drop_timer()
        self._reader.drop()
        self._waiting.clear()
        self._clients.open.pop(self, None)
        self._clients.once.pop(self, None)
        if self._counted:
            self._clients.budget.give()
        else:
            self._clients.budget.over -= 1
            self._clients.settle()
        if self._working is not None:
            self._working.cancel()

    def pauseProducing(self) -> None:
        """Threat: a client that asks on and never reads, whose answers pile up."""
        self._full = True

    def resumeProducing(self) -> None:
        self._full = False
        if self._closing:
            self.transport.unregisterProducer()
        else:
            self._work()

    def stopProducing(self) -> None:
        """The transport has gone; connectionLost tells the rest."""

    def close(self) -> None:
        self._closing = True
        self.transport.loseConnection()

    def _work(self) -> None:
        while self._waiting and self._working is None and not (self._closing or self._full):
            read, came = self._waiting.popleft()
            if isinstance(read, Fault):
                note(log, "bad request", logging.DEBUG, status=read.status, why=read.reason)
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
                self._answer(found, read.keep_alive)
                continue
            if not self._clients.admits():
                self._answer(Answer(503, headers={"Retry-After": "1"}), read.keep_alive)
                continue
            self._working = working = self._clients.ask(found)
            working.addCallbacks(self._answered, self._faulted, callbackArgs=(read.keep_alive,))

    def _answered(self, answer: Answer, keep: bool) -> None:
        self._working = None
        if not self._closing:
            self._answer(answer, keep)
        if not self._closing:
            self._await_rest()
            if self._waiting:
                self._clients.reactor.callLater(0, self._work)

    def _faulted(self, failure: Failure) -> None:
        self._working = None
        if not failure.check(CancelledError):
            note_failure(log, "fault in a query", failure)
            if not self._closing:
                self._answer(Answer(500), False)

    def _answer(self, answer: Answer, keep: bool) -> None:
        if keep and self._first:
            self._first = False
            self._clients.once[self] = None
            if self._clients.crowded:
                keep = False
                self._clients.close_stale()
        keeper = self._clients.keeper
        going = self._clients.leaving or (keeper is not None and keeper.closes)
        keep = keep and not going and not 400 <= answer.status < 500  # who errs connects again
        self.since = self._clients.clock()
        self.transport.write(write_response(answer.status, answer.body, keep, answer.headers))
        if not keep:
            self._linger()

    def _linger(self) -> None:
        """Closes once the client has. Threat: closing over unread bytes resets the connection under
        the answer."""
        self._closing = True
        self._drop_timer()
        self._reader.drop()
        self.transport.loseWriteConnection()
        self._timer = self._clients.reactor.callLater(LINGER, self.transport.abortConnection)

    def _await_rest(self) -> None:
        if self._timer is None and self._reader.mid_message and self._working is None:
            self._timer = self._clients.reactor.callLater(READ_WITHIN, self._too_slow)

    def _too_slow(self, looked: bool = False) -> None:
        self._timer = None
        if self._working is None and not self._closing:
            if (
                self.unread and not looked
            ):  # threat: after a long turn its time is up before what came is read
                self._timer = self._clients.reactor.callLater(READ_LEAST, self._too_slow, True)
            elif self._reader.mid_message:
                self._answer(Answer(408), False)
            else:
                self.close()

    def _drop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _number(text: str) -> float | None:
    """Threat: what float() takes beside numbers as clients write them (nan, 1_0, digits of other
    scripts)."""
    return float(text) if _DECIMAL.fullmatch(text) else None

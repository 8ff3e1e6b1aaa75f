"""Client connections: receives queries and sends answers."""

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
from umbermoor.front.server.descriptor_budget import MAX_OVER_BUDGET, Budget
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response
from umbermoor.logs import note, note_failure

log = logging.getLogger(__name__)

_ID = re.compile(r"[!-+\--~]{1,128}")  # no comma: a repeated header is joined with one
_DECIMAL = re.compile(r"[0-9]{1,15}(?:\.[0-9]{0,15})?")

ANSWER_TRANSIT = 2_000  # microseconds allowed for an answer to reach its client
MAX_REMAINING = 3600.0  # seconds; a larger X-Remaining is rejected
MAX_PIPELINED = 16  # requests that may wait behind the current one on a connection
LINGER = 1.0  # seconds for a client to close its side after its last answer
# seconds from connecting, or from a request's first byte, until that request is complete
REQUEST_TIMEOUT = 2.5
UNREAD_GRACE = 0.01  # seconds more to read bytes that had arrived by then, in the next reactor turn
# idle connections with one request so far: at most budget / divisor of them, or the minimum
SINGLE_REQUEST_DIVISOR, SINGLE_REQUEST_MIN = 6, 16
STALE_AFTER = 2 * SECOND  # idle time after which a connection may be closed in favour of another


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    headers: Mapping[str, str] = {}


class Query(NamedTuple):
    """A client's query for the decision module, and the request to pass on to a machine."""

    asked: Asked
    request: Request


Ask = Callable[[Query], "Deferred[Answer]"]  # cancelled when the client leaves


class Keeper(Protocol_):
    """Decides what the front may do in its lifecycle state; see lifecycle/drain_keeper.py."""

    up: bool
    closes: bool

    def admits(self, now: int, in_hand: int) -> bool: ...


class Clients(Factory):
    """The listener for clients, and what their connections share."""

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
        budget.on_release = self.update_accepting
        # idle since their first answer, longest idle first
        self.single_request: dict[Client, None] = {}
        self.accept: Callable[[bool], None] = lambda on: None  # turns accepting on or off
        self.open: dict[Client, None] = {}  # in order of last activity, most recent last

    def buildProtocol(self, addr) -> "Client":
        return Client(self)

    @property
    def too_many_single_request(self) -> bool:
        """Whether too many connections are idle after a single request.

        Clients that send one request and keep the connection could use up the budget, and then no
        client could connect. Connections with repeated requests are not counted or closed: opening
        them anew would cost more than keeping them.
        """
        return len(self.single_request) > max(
            SINGLE_REQUEST_MIN, self.budget.limit // SINGLE_REQUEST_DIVISOR
        )

    def admits(self) -> bool:
        """Whether the front's lifecycle state permits another query.

        A rejected query was never started.
        """
        return self.keeper is None or self.keeper.admits(self.clock(), self.in_hand())

    def close_stale(self) -> bool:
        """Close a connection that has been idle for at least STALE_AFTER, if there is one.

        Otherwise idle clients would take descriptors that connections to machines need.
        """
        return self.close_longest_idle(STALE_AFTER)

    def close_longest_idle(self, after: int = 0) -> bool:
        """Close the connection that has been idle longest, if for at least `after` microseconds."""
        since = self.clock() - after
        idle = next(
            (one for one in self.open if one.idle and one.idle_since <= since and not one.unread),
            None,
        )
        if idle is not None:
            idle.close()
        return idle is not None

    def update_accepting(self) -> None:
        """Turn accepting on or off, according to the budget.

        A burst of connections could take the last descriptor, and connections accepted then would
        be closed without an answer. While accepting is off, the kernel queues new connections.
        """
        accepting = self.budget.over_budget < MAX_OVER_BUDGET and self.budget.available > 0
        if accepting != self._accepting:
            self._accepting = accepting
            self.accept(accepting)

    def limit_accepts(self, port: Port) -> None:
        """Limit the accepts of each reactor turn to the available descriptors.

        Twisted accepts up to a hundred connections in one turn, even if accepting was turned off
        meanwhile.
        """

        def turn() -> None:
            port.numberAccepts = max(1, self.budget.available)
            type(port).doRead(port)

        port.doRead = turn

    def close_idle(self) -> None:
        for client in list(self.open):
            if client.idle and not client.unread:
                client.close()

    def drop(self) -> None:
        """Abort the connections that have not sent a complete request.

        Connections that are closing are left their time (LINGER) to receive their last answer:
        aborting them would lose an answer that was just written.
        """
        for client in list(self.open):
            if not client.closing:
                client.transport.abortConnection()

    def read(self, request: Request, received_at: int) -> Query | Answer:
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
            or not 0 < remaining <= MAX_REMAINING
        ):
            return Answer(400)
        if (request.method == "GET") != (self.repeats[profile] is Repeat.RETRIABLE):
            return Answer(405)
        if request.method == "GET" and request.body:
            return Answer(400)
        cost = _number(headers.get("x-estimate", ""))
        due = received_at + max(0, round(remaining * SECOND) - ANSWER_TRANSIT)
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
    """A client connection; answers pipelined requests in order, one at a time."""

    def __init__(self, clients: Clients) -> None:
        self._clients, self._reader = clients, Reader(clients.buffers)
        # complete requests, each with the time at which its last byte arrived
        self._waiting: deque[tuple[Request | Fault, int]] = deque()
        self._working: Deferred[Answer] | None = None
        self._counted = self._closing = self._paused = False
        self._first = True  # no answer was sent yet
        self.idle_since = 0  # time of connecting, or of the last answer
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
        """Whether bytes of the next request wait in the kernel.

        During a long reactor turn such a connection looks idle and would be closed.
        """
        try:
            return bool(self.transport.getHandle().recv(1, MSG_PEEK | MSG_DONTWAIT))
        except (AttributeError, OSError):  # nothing to read
            return False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._counted = self._clients.budget.acquire()
        if not self._counted:
            self._clients.budget.over_budget += 1
        self._clients.update_accepting()
        self._clients.open[self] = None
        self.idle_since = self._clients.clock()
        self._timer = self._clients.reactor.callLater(REQUEST_TIMEOUT, self._too_slow)
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        if self._closing:
            return
        self._clients.open[self] = self._clients.open.pop(self, None)
        self._clients.single_request.pop(self, None)
        now = self._clients.clock()
        found = self._reader.feed(data)
        self._waiting.extend((read, now) for read in found)
        if len(self._waiting) > MAX_PIPELINED:
            self._waiting = deque(
                [
                    *list(self._waiting)[:MAX_PIPELINED],
                    (Fault(400, "too many requests at once"), now),
                ]
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
        self._clients.single_request.pop(self, None)
        if self._counted:
            self._clients.budget.release()
        else:
            self._clients.budget.over_budget -= 1
            self._clients.update_accepting()
        if self._working is not None:
            self._working.cancel()

    def pauseProducing(self) -> None:
        """Stop answering: a client that never reads its answers must not fill the memory."""
        self._paused = True

    def resumeProducing(self) -> None:
        self._paused = False
        if self._closing:
            self.transport.unregisterProducer()
        else:
            self._work()

    def stopProducing(self) -> None:
        """Do nothing: the transport is closed, and connectionLost follows."""

    def close(self) -> None:
        self._closing = True
        self.transport.loseConnection()

    def _work(self) -> None:
        while self._waiting and self._working is None and not (self._closing or self._paused):
            read, received_at = self._waiting.popleft()
            if isinstance(read, Fault):
                note(log, "bad request", logging.DEBUG, status=read.status, why=read.reason)
                self._answer(Answer(read.status), False)
                continue
            if not self._counted:  # over the descriptor budget: no query is taken
                self._answer(Answer(503, headers={"Retry-After": "1"}), False)
                continue
            if "expect" in read.headers:
                self._answer(Answer(417), False)
                continue
            found = self._clients.read(read, received_at)
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
            self._clients.single_request[self] = None
            if self._clients.too_many_single_request:
                keep = False
                self._clients.close_stale()
        keeper = self._clients.keeper
        shutting_down = self._clients.leaving or (keeper is not None and keeper.closes)
        # after a client error the connection is closed
        keep = keep and not shutting_down and not 400 <= answer.status < 500
        self.idle_since = self._clients.clock()
        self.transport.write(write_response(answer.status, answer.body, keep, answer.headers))
        if not keep:
            self._linger()

    def _linger(self) -> None:
        """Close the write side, and the connection once the client has closed it or after LINGER.

        Closing a socket with unread bytes sends a reset, which may destroy the answer.
        """
        self._closing = True
        self._drop_timer()
        self._reader.drop()
        self.transport.loseWriteConnection()
        self._timer = self._clients.reactor.callLater(LINGER, self.transport.abortConnection)

    def _await_rest(self) -> None:
        if self._timer is None and self._reader.mid_message and self._working is None:
            self._timer = self._clients.reactor.callLater(REQUEST_TIMEOUT, self._too_slow)

    def _too_slow(self, extended: bool = False) -> None:
        self._timer = None
        if self._working is None and not self._closing:
            # after a long turn the timeout may fire before bytes that arrived in time are read
            if self.unread and not extended:
                self._timer = self._clients.reactor.callLater(UNREAD_GRACE, self._too_slow, True)
            elif self._reader.mid_message:
                self._answer(Answer(408), False)
            else:
                self.close()

    def _drop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _number(text: str) -> float | None:
    """Return the number in a header, or None if it is not a plain decimal.

    The pattern excludes what float() accepts besides: nan, 1_0, digits of other scripts.
    """
    return float(text) if _DECIMAL.fullmatch(text) else None

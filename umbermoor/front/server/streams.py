"""Hand-offs over HTTP/2: the Twisted connections to machines.

The codec and the pool's decisions are in umbermoor/front/http2. A machine that turns out not to
speak HTTP/2 is asked over HTTP/1.1 for a while; no request was sent to it by then.
"""

import logging
from collections.abc import Callable, Mapping

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from umbermoor.front.http2.pool import Link, LinkPool, classify_links
from umbermoor.front.http2.session import Call, Session
from umbermoor.front.http2.session import Outcome as Answer
from umbermoor.front.http2.stream_outcomes import Failed as Unanswered
from umbermoor.front.http2.stream_outcomes import Proof, StreamEnd, StreamProgress
from umbermoor.front.server.descriptor_budget import Budget
from umbermoor.front.server.outcomes import Cause, Failed, Outcome, Progress
from umbermoor.http1.buffers import Buffers
from umbermoor.logs import note, note_failure

log = logging.getLogger(__name__)

SECOND = 1_000_000
CHECK_INTERVAL = 0.1  # seconds between two checks for silent and idle connections
_PROGRESS = {
    StreamProgress.UNSENT: Progress.UNCONNECTED,
    StreamProgress.PART: Progress.PART,
    StreamProgress.WHOLE: Progress.WHOLE,
    StreamProgress.ANSWERING: Progress.ANSWERING,
}
_CAUSES = {
    StreamEnd.LATE: Cause.LATE,
    StreamEnd.STOPPED: Cause.STOPPED,
    StreamEnd.WITHDRAWN: Cause.WITHDRAWN,
    StreamEnd.GARBLED: Cause.GARBLED,
    StreamEnd.UNCONNECTED: Cause.REFUSED,
}


def outcome_of(answer: Answer) -> Outcome:
    """Return the outcome in the front's own types.

    Whether the request may have run follows from the answer's proof.
    """
    if not isinstance(answer, Unanswered):
        return answer
    progress, proof = _PROGRESS[answer.progress], answer.proof
    if proof is Proof.NEVER_RAN:
        return Failed(progress, Cause.UNRUN)
    if proof is Proof.TURNED_AWAY:
        return Failed(progress, Cause.TURNED_AWAY)
    if proof is Proof.MAY_HAVE:
        progress = max(progress, Progress.WHOLE)
    return Failed(progress, _CAUSES.get(answer.end, Cause.BROKEN))


@implementer(IPullProducer)
class Http2Connection(Protocol):
    """An HTTP/2 connection; takes data from its session whenever the transport has written all."""

    def __init__(self, streams: "Streams", machine: str, link: Link) -> None:
        self._streams, self.machine, self.link = streams, machine, link
        self.session = Session(streams.buffers, streams.clock())
        self._pumping = self._connected = False

    def connectionMade(self) -> None:
        self._connected = True
        self.transport.setTcpNoDelay(True)
        self.pump()

    def pump(self) -> None:
        if self._connected and not self._pumping and not self.session.ended:
            self._pumping = True
            self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        data = self.session.next_bytes()
        if data:
            self.transport.write(data)
        elif self._pumping:
            self._pumping = False
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Do nothing: the transport is closed, and connectionLost follows."""

    def dataReceived(self, data: bytes) -> None:
        now = self._streams.clock()
        self.link.learn(now)
        self.session.receive(now, data)
        self._streams.update(self)
        if self.session.ended:
            self.close()
        else:
            self.pump()

    def connectionLost(self, reason: Failure) -> None:
        self._connected = False
        self.session.lost()
        self._streams.lost(self)

    def close(self) -> None:
        if self._connected:
            self._connected = False
            self.transport.abortConnection()

    def refresh(self, now: int) -> None:
        """Copy the state that the pool needs from the session to the link."""
        session, link = self.session, self.link
        link.settled, link.usable = session.settled, session.usable
        link.streams, link.limit, link.pinged = (
            session.open_streams + session.waiting,
            session.limit,
            session.pinged,
        )
        if not session.open_streams:
            link.busy_since = 0
        elif not link.busy_since:
            link.busy_since = now


class _Attempt:
    """One hand-off from start to outcome, on whichever connection it is sent."""

    def __init__(
        self,
        streams: "Streams",
        machine: str,
        address: tuple[str, int],
        call: Call,
        limit: int,
        hand_off_http1: "Callable[[], Deferred[Outcome]]",
    ) -> None:
        self.streams, self.machine, self.address, self.call, self.hand_off_http1 = (
            streams,
            machine,
            address,
            call,
            hand_off_http1,
        )
        self.connection: Http2Connection | None = None
        # of the request over HTTP/1.1, after falling back
        self.http1_outcome: Deferred[Outcome] | None = None
        self.outcome: Deferred[Outcome] = Deferred(lambda _: self.end(StreamEnd.STOPPED))
        call.ended = self.ended
        self._timer = streams.reactor.callLater(max(0, limit) / SECOND, self.end, StreamEnd.LATE)

    def end(self, end: StreamEnd) -> None:
        if self.http1_outcome is not None:
            self.http1_outcome.cancel()
        elif self.connection is not None:
            self.connection.session.cancel(self.call, end)
            self.connection.pump()
        else:
            self.call.fail(end)

    def ended(self, answer: Answer) -> None:
        if self.connection is not None:
            self.streams.update(self.connection)
        self._settle(outcome_of(answer))

    def fall_back_to_http1(self) -> None:
        """Fall back to HTTP/1.1: the machine does not speak HTTP/2, and nothing was sent."""
        if not self.call.over:
            self.call.over = True
            if self._timer.active():
                self._timer.cancel()
            self.http1_outcome = self.hand_off_http1()
            self.http1_outcome.addCallback(self._settle)

    def _settle(self, outcome: Outcome) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.outcome.called:
            self.outcome.callback(outcome)


class Streams:
    """The HTTP/2 connections to all machines, and the hand-offs on them."""

    def __init__(
        self,
        reactor,
        clock: Callable[[], int],
        buffers: Buffers,
        budget: Budget,
        connect_within: int,
        host: str,
        only_listed: bool = False,
    ) -> None:
        self._only_listed = only_listed
        self.reactor, self.clock, self.buffers, self._budget, self._host = (
            reactor,
            clock,
            buffers,
            budget,
            host,
        )
        self._connect_within = connect_within
        self._pools: dict[str, LinkPool] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._protocols: dict[str, str] = {}
        self._connections: dict[Link, Http2Connection] = {}
        self._waiting: dict[str, list[_Attempt]] = {}  # attempts that wait for a first connection
        self._attempts: dict[Call, _Attempt] = {}
        self.opened = 0
        self._timer = reactor.callLater(CHECK_INTERVAL, self._check_connections)

    # The list.

    def listed(
        self, machine: str, address: tuple[str, int] | None, ready: bool, speaks: str
    ) -> None:
        """Set a machine's address (None: removed) and the protocol that its entry states.

        Streams in flight are not interrupted.
        """
        if address is None or self._addresses.get(machine, address) != address or not ready:
            self._retire(machine)
        if address is None:
            self._addresses.pop(machine, None)
            self._protocols.pop(machine, None)
        else:
            self._protocols[machine] = speaks
            self._addresses[machine] = address

    def _retire(self, machine: str) -> None:
        for link in (self._pools.pop(machine, None) or LinkPool()).links:
            if connection := self._connections.get(link):
                connection.session.draining = True
                self.update(connection)

    def speaks(self, machine: str) -> bool:
        """Whether the machine is to be asked over HTTP/2 now."""
        protocol, pool = self._protocols.get(machine, ""), self._pools.get(machine)
        if protocol == "http/1.1" or (protocol != "h2c" and self._only_listed):
            return False
        return pool is None or pool.speaks(self.clock())

    # Hand-offs.

    def hand_off(
        self,
        machine: str,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        limit: int,
        may_go: Callable[[], bool],
        hand_off_http1: "Callable[[], Deferred[Outcome]]",
    ) -> "Deferred[Outcome]":
        """Send a request to a machine.

        Cancelling the result stops the request. `hand_off_http1` sends it over HTTP/1.1.
        """
        just_permitted = [True]  # a request that is sent immediately has just been permitted
        fields = [
            (":method", method),
            (":scheme", "http"),
            (":authority", self._host),
            (":path", target),
            *((name.lower(), value) for name, value in headers.items()),
        ]
        if body or method not in ("GET", "HEAD", "DELETE"):
            fields.append(("content-length", str(len(body))))
        call = Call(fields, body, lambda: just_permitted[0] or may_go(), lambda _: None)
        attempt = _Attempt(self, machine, address, call, limit, hand_off_http1)
        self._attempts[call] = attempt
        attempt.outcome.addBoth(self._forget, call)
        self._place(attempt)
        just_permitted[0] = False
        return attempt.outcome

    def _forget(self, outcome: Outcome, call: Call) -> Outcome:
        self._attempts.pop(call, None)
        return outcome

    def _place(self, attempt: _Attempt) -> None:
        pool = self._pools.setdefault(attempt.machine, LinkPool())
        if not pool.speaks(self.clock()):
            attempt.fall_back_to_http1()
            return
        link = pool.pick_link()
        if pool.needs_another_link():
            self._open(attempt.machine, attempt.address, pool)
        link = link or (pool.least_loaded_link() if not pool.opening else None)
        if link is not None:
            self._send(attempt, self._connections[link])
        elif pool.opening:
            self._waiting.setdefault(attempt.machine, []).append(attempt)
        else:
            attempt.call.fail(StreamEnd.UNCONNECTED)

    def _send(self, attempt: _Attempt, connection: Http2Connection) -> None:
        attempt.connection = connection
        connection.session.submit(attempt.call)
        connection.refresh(self.clock())
        connection.pump()

    def _open(self, machine: str, address: tuple[str, int], pool: LinkPool) -> None:
        if not self._budget.acquire():
            return
        pool.opening += 1
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: Http2Connection(
            self, machine, Link(self.clock(), heard=self.clock())
        )
        endpoint = TCP4ClientEndpoint(self.reactor, *address, timeout=self._connect_within / SECOND)
        endpoint.connect(factory).addCallbacks(
            self._opened, self._unopened, (machine, pool), errbackArgs=(machine, pool)
        ).addErrback(lambda failure: note_failure(log, "fault on a new connection", failure))

    def _opened(self, connection: Http2Connection, machine: str, pool: LinkPool) -> None:
        pool.opening -= 1
        self.opened += 1
        self._connections[connection.link] = connection
        pool.links.append(connection.link)
        if self._pools.get(machine) is not pool:  # the machine was listed as leaving meanwhile
            connection.session.draining = True
        connection.refresh(self.clock())
        if connection.session.ended:
            return
        for attempt in self._waiting.pop(machine, []):
            if not attempt.call.over:
                self._send(attempt, connection)

    def _unopened(self, _reason: Failure, machine: str, pool: LinkPool) -> None:
        pool.opening -= 1
        self._budget.release()
        for attempt in self._waiting.pop(machine, []):
            self._retry(attempt) if pool.links else attempt.call.fail(StreamEnd.UNCONNECTED)

    def _retry(self, attempt: _Attempt) -> None:
        """Place an attempt anew that was never sent on the connection it waited for."""
        attempt.connection = None
        if attempt.call.over:
            return
        # checked again before sending; checked here to avoid opening a connection in vain
        if attempt.call.may_go():
            self._place(attempt)
        else:
            attempt.call.fail(StreamEnd.WITHDRAWN)

    # Connections.

    def update(self, connection: Http2Connection) -> None:
        """Update the state after data arrived on the connection or a call on it ended."""
        now = self.clock()
        connection.refresh(now)
        session = connection.session
        if session.ended or not session.usable:
            pool = self._pools.get(connection.machine)
            if pool is not None and session.ended and not session.speaks:
                if pool.speaks(now):
                    note(
                        log,
                        "machine does not speak HTTP/2",
                        logging.WARNING,
                        machine=connection.machine,
                        why=session.fault,
                    )
                pool.use_http1(now)
            elif session.fault and session.ended:
                note(
                    log,
                    "HTTP/2 connection given up",
                    logging.WARNING,
                    machine=connection.machine,
                    why=session.fault,
                )
                session.fault = ""
            for call in session.take_unsent():
                if attempt := self._attempts.get(call):
                    self._retry(attempt)
            if not session.ended and not session.open_streams:
                connection.close()

    def lost(self, connection: Http2Connection) -> None:
        if self._connections.pop(connection.link, None) is not None:
            self._budget.release()
        if (pool := self._pools.get(connection.machine)) and connection.link in pool.links:
            pool.links.remove(connection.link)
        self.update(connection)

    def close_longest_idle(self) -> bool:
        """Close the connection without streams that received data longest ago.

        Returns:
            Whether there was one.
        """
        idle = [
            connection
            for connection in self._connections.values()
            if not connection.session.open_streams and not connection.session.waiting
        ]
        connection = min(idle, key=lambda one: one.link.heard, default=None)
        if connection is None:
            return False
        connection.session.draining = True
        connection.close()
        return True

    def _check_connections(self) -> None:
        now = self.clock()
        for connection in self._connections.values():
            connection.refresh(now)
        ping, dead, idle = classify_links(now, list(self._connections))
        for link in ping:
            self._connections[link].session.ping(now)
            self._connections[link].pump()
        for link in dead:
            if connection := self._connections.get(link):
                note(
                    log,
                    "HTTP/2 connection silent",
                    logging.WARNING,
                    machine=connection.machine,
                    streams=connection.session.open_streams,
                )
                connection.session.give_up(StreamEnd.SILENT, "")
                connection.close()
                self.update(connection)
        for link in idle:
            if connection := self._connections.get(link):
                connection.session.draining = True
                connection.close()
        self._timer = self.reactor.callLater(CHECK_INTERVAL, self._check_connections)

    def stop(self) -> None:
        if self._timer.active():
            self._timer.cancel()
        for connection in list(self._connections.values()):
            connection.close()

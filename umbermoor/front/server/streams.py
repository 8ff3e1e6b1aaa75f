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

from umbermoor.front.http2.pool import Link, Lot, judged
from umbermoor.front.http2.session import Call, Session
from umbermoor.front.http2.session import Outcome as Answer
from umbermoor.front.http2.stream_outcomes import End, Proof, Stand
from umbermoor.front.http2.stream_outcomes import Failed as Unanswered
from umbermoor.front.server.descriptor_budget import Budget
from umbermoor.front.server.outcomes import Cause, Failed, Outcome, Progress
from umbermoor.http1.buffers import Buffers
from umbermoor.logs import note, note_failure

log = logging.getLogger(__name__)

SECOND = 1_000_000
LOOK_EVERY = 0.1  # seconds between two checks for silent and idle connections
_PROGRESS = {
    Stand.UNSENT: Progress.UNCONNECTED,
    Stand.PART: Progress.PART,
    Stand.WHOLE: Progress.WHOLE,
    Stand.ANSWERING: Progress.ANSWERING,
}
_CAUSES = {
    End.LATE: Cause.LATE,
    End.STOPPED: Cause.STOPPED,
    End.WITHDRAWN: Cause.WITHDRAWN,
    End.GARBLED: Cause.GARBLED,
    End.UNCONNECTED: Cause.REFUSED,
}


def outcome_of(answer: Answer) -> Outcome:
    """Return the outcome in the front's own types.

    Whether the request may have run follows from the answer's proof.
    """
    if not isinstance(answer, Unanswered):
        return answer
    progress, proof = _PROGRESS[answer.stand], answer.proof
    if proof is Proof.NEVER_RAN:
        return Failed(progress, Cause.UNRUN)
    if proof is Proof.TURNED_AWAY:
        return Failed(progress, Cause.TURNED_AWAY)
    if proof is Proof.MAY_HAVE:
        progress = max(progress, Progress.WHOLE)
    return Failed(progress, _CAUSES.get(answer.end, Cause.BROKEN))


@implementer(IPullProducer)
class StreamLine(Protocol):
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
        self._streams.told(self)
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
            session.open + session.waiting,
            session.limit,
            session.pinged,
        )
        if not session.open:
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
        plain: "Callable[[], Deferred[Outcome]]",
    ) -> None:
        self.streams, self.machine, self.address, self.call, self.plain = (
            streams,
            machine,
            address,
            call,
            plain,
        )
        self.line: StreamLine | None = None
        self.other: Deferred[Outcome] | None = None  # the request over HTTP/1.1, after falling back
        self.outcome: Deferred[Outcome] = Deferred(lambda _: self.end(End.STOPPED))
        call.ended = self.ended
        self._timer = streams.reactor.callLater(max(0, limit) / SECOND, self.end, End.LATE)

    def end(self, end: End) -> None:
        if self.other is not None:
            self.other.cancel()
        elif self.line is not None:
            self.line.session.stop(self.call, end)
            self.line.pump()
        else:
            self.call.fail(end)

    def ended(self, answer: Answer) -> None:
        if self.line is not None:
            self.streams.told(self.line)
        self._settle(outcome_of(answer))

    def go_plain(self) -> None:
        """Fall back to HTTP/1.1: the machine does not speak HTTP/2, and nothing was sent."""
        if not self.call.over:
            self.call.over = True
            if self._timer.active():
                self._timer.cancel()
            self.other = self.plain()
            self.other.addCallback(self._settle)

    def _settle(self, outcome: Outcome) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.outcome.called:
            self.outcome.callback(outcome)


class Streams:
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
        self._lots: dict[str, Lot] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._said: dict[str, str] = {}
        self._lines: dict[Link, StreamLine] = {}
        self._waiting: dict[str, list[_Attempt]] = {}  # attempts that wait for a first connection
        self._attempts: dict[Call, _Attempt] = {}
        self.opened = 0
        self._timer = reactor.callLater(LOOK_EVERY, self._look)

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
            self._said.pop(machine, None)
        else:
            self._said[machine] = speaks
            self._addresses[machine] = address

    def _retire(self, machine: str) -> None:
        for link in (self._lots.pop(machine, None) or Lot()).links:
            if line := self._lines.get(link):
                line.session.going = True
                self.told(line)

    def speaks(self, machine: str) -> bool:
        """Whether the machine is to be asked over HTTP/2 now."""
        said, lot = self._said.get(machine, ""), self._lots.get(machine)
        if said == "http/1.1" or (said != "h2c" and self._only_listed):
            return False
        return lot is None or lot.speaks(self.clock())

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
        plain: "Callable[[], Deferred[Outcome]]",
    ) -> "Deferred[Outcome]":
        """Send a request to a machine.

        Cancelling the result stops the request. `plain` sends the same request over HTTP/1.1.
        """
        fresh = [True]  # a request that is sent immediately has just been permitted
        fields = [
            (":method", method),
            (":scheme", "http"),
            (":authority", self._host),
            (":path", target),
            *((name.lower(), value) for name, value in headers.items()),
        ]
        if body or method not in ("GET", "HEAD", "DELETE"):
            fields.append(("content-length", str(len(body))))
        call = Call(fields, body, lambda: fresh[0] or may_go(), lambda _: None)
        attempt = _Attempt(self, machine, address, call, limit, plain)
        self._attempts[call] = attempt
        attempt.outcome.addBoth(self._forget, call)
        self._place(attempt)
        fresh[0] = False
        return attempt.outcome

    def _forget(self, outcome: Outcome, call: Call) -> Outcome:
        self._attempts.pop(call, None)
        return outcome

    def _place(self, attempt: _Attempt) -> None:
        lot = self._lots.setdefault(attempt.machine, Lot())
        if not lot.speaks(self.clock()):
            attempt.go_plain()
            return
        link = lot.place()
        if lot.wants_another():
            self._open(attempt.machine, attempt.address, lot)
        link = link or (lot.crowded() if not lot.opening else None)
        if link is not None:
            self._put(attempt, self._lines[link])
        elif lot.opening:
            self._waiting.setdefault(attempt.machine, []).append(attempt)
        else:
            attempt.call.fail(End.UNCONNECTED)

    def _put(self, attempt: _Attempt, line: StreamLine) -> None:
        attempt.line = line
        line.session.ask(attempt.call)
        line.refresh(self.clock())
        line.pump()

    def _open(self, machine: str, address: tuple[str, int], lot: Lot) -> None:
        if not self._budget.take():
            return
        lot.opening += 1
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: StreamLine(
            self, machine, Link(self.clock(), heard=self.clock())
        )
        endpoint = TCP4ClientEndpoint(self.reactor, *address, timeout=self._connect_within / SECOND)
        endpoint.connect(factory).addCallbacks(
            self._opened, self._unopened, (machine, lot), errbackArgs=(machine, lot)
        ).addErrback(lambda failure: note_failure(log, "fault on a new connection", failure))

    def _opened(self, line: StreamLine, machine: str, lot: Lot) -> None:
        lot.opening -= 1
        self.opened += 1
        self._lines[line.link] = line
        lot.links.append(line.link)
        if self._lots.get(machine) is not lot:  # the machine was listed as leaving meanwhile
            line.session.going = True
        line.refresh(self.clock())
        if line.session.ended:
            return
        for attempt in self._waiting.pop(machine, []):
            if not attempt.call.over:
                self._put(attempt, line)

    def _unopened(self, _reason: Failure, machine: str, lot: Lot) -> None:
        lot.opening -= 1
        self._budget.give()
        for attempt in self._waiting.pop(machine, []):
            self._again(attempt) if lot.links else attempt.call.fail(End.UNCONNECTED)

    def _again(self, attempt: _Attempt) -> None:
        """Place an attempt anew that was never sent on the connection it waited for."""
        attempt.line = None
        if attempt.call.over:
            return
        # checked again before sending; checked here to avoid opening a connection in vain
        if attempt.call.may_go():
            self._place(attempt)
        else:
            attempt.call.fail(End.WITHDRAWN)

    # Connections.

    def told(self, line: StreamLine) -> None:
        """Update the state after data arrived on the connection or a call on it ended."""
        now = self.clock()
        line.refresh(now)
        session = line.session
        if session.ended or not session.usable:
            lot = self._lots.get(line.machine)
            if lot is not None and session.ended and not session.speaks:
                if lot.speaks(now):
                    note(
                        log,
                        "machine does not speak HTTP/2",
                        logging.WARNING,
                        machine=line.machine,
                        why=session.wrong,
                    )
                lot.spoke_other(now)
            elif session.wrong and session.ended:
                note(
                    log,
                    "HTTP/2 connection given up",
                    logging.WARNING,
                    machine=line.machine,
                    why=session.wrong,
                )
                session.wrong = ""
            for call in session.take_back():
                if attempt := self._attempts.get(call):
                    self._again(attempt)
            if not session.ended and not session.open:
                line.close()

    def lost(self, line: StreamLine) -> None:
        if self._lines.pop(line.link, None) is not None:
            self._budget.give()
        if (lot := self._lots.get(line.machine)) and line.link in lot.links:
            lot.links.remove(line.link)
        self.told(line)

    def close_one(self) -> bool:
        """Close the connection without streams that received data longest ago.

        Returns:
            Whether there was one.
        """
        idle = [
            line
            for line in self._lines.values()
            if not line.session.open and not line.session.waiting
        ]
        line = min(idle, key=lambda one: one.link.heard, default=None)
        if line is None:
            return False
        line.session.going = True
        line.close()
        return True

    def _look(self) -> None:
        now = self.clock()
        for line in self._lines.values():
            line.refresh(now)
        ping, dead, idle = judged(now, list(self._lines))
        for link in ping:
            self._lines[link].session.ping(now)
            self._lines[link].pump()
        for link in dead:
            if line := self._lines.get(link):
                note(
                    log,
                    "HTTP/2 connection silent",
                    logging.WARNING,
                    machine=line.machine,
                    streams=line.session.open,
                )
                line.session.give_up(End.SILENT, "")
                line.close()
                self.told(line)
        for link in idle:
            if line := self._lines.get(link):
                line.session.going = True
                line.close()
        self._timer = self.reactor.callLater(LOOK_EVERY, self._look)

    def stop(self) -> None:
        if self._timer.active():
            self._timer.cancel()
        for line in list(self._lines.values()):
            line.close()

"""A connection that we open: one request at a time goes out on it, and an outcome comes back."""

import logging
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from umbermoor.front.server.outcomes import Cause, Failed, Outcome, Progress
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import BodyPart, Fault, Reader
from umbermoor.logs import note_failure

log = logging.getLogger(__name__)

SECOND = 1_000_000


@implementer(IPullProducer)
class Line(Protocol):
    """It produces its request for the transport, which asks for more once all is written: so that
    is known."""

    def __init__(self, buffers: Buffers, piece: Callable[[bytes], None] | None = None) -> None:
        self._reader = Reader(buffers, responses=True, stream_body=piece is not None)
        self._piece = piece
        self._answer: Deferred[Outcome] | None = None
        self._rest = b""
        self.progress = Progress.UNCONNECTED
        self.open = False
        self.idle_since = 0  # while it is kept
        self.on_close: Callable[[], None] = lambda: None

    @property
    def clean(self) -> bool:
        """Fit for another request."""
        return self.open and self._answer is None and not self._reader.mid_message

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)

    def ask(self, data: bytes) -> "Deferred[Outcome]":
        self._answer = answer = Deferred()
        self._rest, self.progress = data, Progress.PART
        if self.open:
            self.transport.registerProducer(self, False)
        else:
            self._settle(Failed(Progress.PART, Cause.BROKEN))
        return answer

    def resumeProducing(self) -> None:
        if self._rest:
            data, self._rest = self._rest, b""
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.progress = Progress.WHOLE

    def stopProducing(self) -> None:
        """The transport has gone; connectionLost tells the rest."""

    def dataReceived(self, data: bytes) -> None:
        if self._answer is None:  # unasked for
            self.close()
            return
        early = self.progress < Progress.WHOLE
        if not early:
            self.progress = Progress.ANSWERING
        reads = self._reader.feed(data)
        while reads and isinstance(reads[0], BodyPart):
            self._piece(reads.pop(0).data)
        if not reads:
            return
        read, *behind = reads
        if early or isinstance(read, Fault):
            self.give_up(Cause.GARBLED)
            return
        # Threat: what comes behind an answer taken for that to the next request, which goes out
        # while this one settles.
        if behind or self._reader.mid_message or not read.keep_alive:
            self.close()
        self._settle(read)

    def connectionLost(self, reason: Failure) -> None:
        self.open = False
        last = (
            self._reader.end() if reason.check(ConnectionDone) else None
        )  # threat: a reset taken for a body's end
        self._reader.drop()
        if self._answer is not None:
            whole = (
                last is not None and not isinstance(last, Fault) and self.progress >= Progress.WHOLE
            )
            self._settle(last if whole else Failed(self.progress, Cause.BROKEN))
        self.on_close()

    def give_up(self, cause: Cause) -> None:
        """Closes, so that nothing more is sent; the answer tells how far it had come."""
        self.close()
        self._settle(Failed(self.progress, cause))

    def close(self) -> None:
        if self.open:
            self.open = False
            self.transport.abortConnection()

    def _settle(self, outcome: Outcome) -> None:
        if self._answer is not None:
            answer, self._answer = self._answer, None
            answer.callback(outcome)


class Attempt:
    """One request, on a line that is there or on a new one; its outcome comes in time, however it
    ends."""

    def __init__(self, reactor, data: bytes, limit: int) -> None:
        self._reactor, self._data = reactor, data
        self._connecting: Deferred | None = None
        self.line: Line | None = None
        self.outcome: Deferred[Outcome] = Deferred(
            lambda _: self._end(Cause.STOPPED)
        )  # to stop it: cancel
        self._timer = reactor.callLater(max(0, limit) / SECOND, self._end, Cause.LATE)

    def on(self, line: Line) -> None:
        self.line = line
        line.ask(self._data).addCallback(self._settle)

    def connect(
        self,
        address: tuple[str, int],
        within: int,
        line: Callable[[], Line],
        may_go: Callable[[], bool] = lambda: True,
        lost: Callable[[], None] = lambda: None,
    ) -> None:
        """May it still go, once the connection is there? Lost is called once there is none, or no
        longer one."""
        factory = Factory.forProtocol(line)
        factory.noisy = False

        def connected(made: Line) -> None:
            self._connecting, made.on_close = None, lost
            self.line = made
            if self.outcome.called:
                made.close()
            elif may_go():
                self.on(made)
            else:
                self._settle(Failed(Progress.UNCONNECTED, Cause.WITHDRAWN))

        def failed(_reason: Failure) -> None:
            self._connecting = None
            lost()
            self._settle(Failed(Progress.UNCONNECTED, Cause.REFUSED))

        endpoint = TCP4ClientEndpoint(self._reactor, *address, timeout=within / SECOND)
        self._connecting = endpoint.connect(factory)
        self._connecting.addCallbacks(connected, failed).addErrback(self._faulted)

    def _faulted(self, failure: Failure) -> None:
        note_failure(log, "fault on a new connection", failure)
        self._end(Cause.BROKEN)

    def refuse(self) -> None:
        self._settle(Failed(Progress.UNCONNECTED, Cause.REFUSED))

    def _end(self, cause: Cause) -> None:
        if self.line is not None:
            self.line.give_up(cause)
        self._settle(Failed(Progress.UNCONNECTED, cause))
        if self._connecting is not None:
            self._connecting.cancel()

    def _settle(self, outcome: Outcome) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.outcome.called:
            self.outcome.callback(outcome)

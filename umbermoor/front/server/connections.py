"""Outgoing HTTP/1.1 connections, with one request at a time and one outcome for each."""

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
class Connection(Protocol):
    """An outgoing connection.

    It is a pull producer: the transport asks for more once everything is written, so the
    connection knows when the last byte of its request is out.
    """

    def __init__(self, buffers: Buffers, on_body: Callable[[bytes], None] | None = None) -> None:
        self._reader = Reader(buffers, responses=True, stream_body=on_body is not None)
        self._on_body = on_body
        self._answer: Deferred[Outcome] | None = None
        self._unsent = b""
        self.progress = Progress.UNCONNECTED
        self.open = False
        self.idle_since = 0  # while it is kept for reuse
        self.on_close: Callable[[], None] = lambda: None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return self.open and self._answer is None and not self._reader.mid_message

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)

    def ask(self, data: bytes) -> "Deferred[Outcome]":
        self._answer = answer = Deferred()
        self._unsent, self.progress = data, Progress.PART
        if self.open:
            self.transport.registerProducer(self, False)
        else:
            self._settle(Failed(Progress.PART, Cause.BROKEN))
        return answer

    def resumeProducing(self) -> None:
        if self._unsent:
            data, self._unsent = self._unsent, b""
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.progress = Progress.WHOLE

    def stopProducing(self) -> None:
        """Do nothing: the transport is closed, and connectionLost follows."""

    def dataReceived(self, data: bytes) -> None:
        if self._answer is None:  # data without a request
            self.close()
            return
        early = self.progress < Progress.WHOLE
        if not early:
            self.progress = Progress.ANSWERING
        reads = self._reader.feed(data)
        while reads and isinstance(reads[0], BodyPart):
            self._on_body(reads.pop(0).data)
        if not reads:
            return
        read, *following = reads
        if early or isinstance(read, Fault):
            self.give_up(Cause.GARBLED)
            return
        # Bytes after a response must not be taken for the response to the next request, which may
        # be sent while this one settles.
        if following or self._reader.mid_message or not read.keep_alive:
            self.close()
        self._settle(read)

    def connectionLost(self, reason: Failure) -> None:
        self.open = False
        # only a clean close may end a body; a reset may not
        last = self._reader.end() if reason.check(ConnectionDone) else None
        self._reader.drop()
        if self._answer is not None:
            whole = (
                last is not None and not isinstance(last, Fault) and self.progress >= Progress.WHOLE
            )
            self._settle(last if whole else Failed(self.progress, Cause.BROKEN))
        self.on_close()

    def give_up(self, cause: Cause) -> None:
        """Close the connection, so that nothing more is sent, and report the progress so far."""
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
    """One request on an existing or a new connection; its outcome arrives within its time limit."""

    def __init__(self, reactor, data: bytes, limit: int) -> None:
        self._reactor, self._data = reactor, data
        self._connecting: Deferred | None = None
        self.connection: Connection | None = None
        # cancelling it stops the request
        self.outcome: Deferred[Outcome] = Deferred(lambda _: self._abort(Cause.STOPPED))
        self._timer = reactor.callLater(max(0, limit) / SECOND, self._abort, Cause.LATE)

    def send_on(self, connection: Connection) -> None:
        self.connection = connection
        connection.ask(self._data).addCallback(self._settle)

    def connect(
        self,
        address: tuple[str, int],
        timeout: int,
        protocol: Callable[[], Connection],
        may_go: Callable[[], bool] = lambda: True,
        on_lost: Callable[[], None] = lambda: None,
    ) -> None:
        """Connect and send the request, if `may_go` still permits it once connected.

        `on_lost` is called once, when connecting fails or the connection is lost.
        """
        factory = Factory.forProtocol(protocol)
        factory.noisy = False

        def connected(made: Connection) -> None:
            self._connecting, made.on_close = None, on_lost
            self.connection = made
            if self.outcome.called:
                made.close()
            elif may_go():
                self.send_on(made)
            else:
                self._settle(Failed(Progress.UNCONNECTED, Cause.WITHDRAWN))

        def failed(_reason: Failure) -> None:
            self._connecting = None
            on_lost()
            self._settle(Failed(Progress.UNCONNECTED, Cause.REFUSED))

        endpoint = TCP4ClientEndpoint(self._reactor, *address, timeout=timeout / SECOND)
        self._connecting = endpoint.connect(factory)
        self._connecting.addCallbacks(connected, failed).addErrback(self._faulted)

    def _faulted(self, failure: Failure) -> None:
        note_failure(log, "fault on a new connection", failure)
        self._abort(Cause.BROKEN)

    def refuse(self) -> None:
        self._settle(Failed(Progress.UNCONNECTED, Cause.REFUSED))

    def _abort(self, cause: Cause) -> None:
        if self.connection is not None:
            self.connection.give_up(cause)
        self._settle(Failed(Progress.UNCONNECTED, cause))
        if self._connecting is not None:
            self._connecting.cancel()

    def _settle(self, outcome: Outcome) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.outcome.called:
            self.outcome.callback(outcome)

"""Draining: which connections are aborted, and which still get time to receive their answer."""

from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from umbermoor.front.interface import Repeat
from umbermoor.front.server.clients import LINGER, Answer, Clients
from umbermoor.front.server.descriptor_budget import Budget
from umbermoor.http1.buffers import Buffers

ASKS = b"GET /api HTTP/1.1\r\nX-Txn: %b\r\nX-Lane: look\r\nX-Remaining: 4\r\n\r\n"


class Pipe(StringTransport):
    def __init__(self) -> None:
        super().__init__()
        self.aborted = self.half_closed = False

    def setTcpNoDelay(self, on: bool) -> None: ...

    def abortConnection(self) -> None:
        self.aborted = True

    def loseWriteConnection(self) -> None:
        self.half_closed = True


def test_connection_with_an_answer_just_written_is_not_aborted() -> None:
    reactor, answers = MemoryReactorClock(), []

    def ask(_query) -> "Deferred[Answer]":
        answers.append(Deferred())
        return answers[-1]

    clients = Clients(
        reactor,
        lambda: round(reactor.seconds() * 1e6),
        Buffers(64 << 20),
        Budget(200),
        {"look": 0},
        [Repeat.RETRIABLE],
        ask,
    )
    pipes = [Pipe() for _ in range(3)]
    for pipe, sent in zip(pipes, (ASKS % b"q", ASKS % b"r", (ASKS % b"s")[:30])):
        client = clients.buildProtocol(None)
        client.makeConnection(pipe)
        client.dataReceived(sent)
    clients.leaving = True
    answers[0].callback(Answer(200, b"fine"))
    clients.drop()
    answered, _pending, incomplete = pipes
    assert answered.value().endswith(b"fine") and answered.half_closed and not answered.aborted
    assert incomplete.aborted
    reactor.advance(LINGER)  # the time to read the answer is over
    assert answered.aborted

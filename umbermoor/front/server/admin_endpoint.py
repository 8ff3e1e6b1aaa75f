"""The operators' door: a listener of its own, on loopback or a Unix socket, that carries what they
ask; see lifecycle/ways."""

import logging
import os

from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from umbermoor.front.lifecycle.admin_calls import MIN_TOKEN_LENGTH, AdminCalls, AdminResponse
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

log = logging.getLogger(__name__)

OPEN_MOST = 8  # operators at once; one more is closed at once
SPEAK_WITHIN = 5.0  # seconds for a request, and between two


class Closed(Exception):
    """The door cannot be opened; the text says why."""


class _Visitor(Protocol):
    def __init__(self, door: "AdminEndpoint") -> None:
        self._door, self._reader, self._timer = door, Reader(door.buffers), None

    def connectionMade(self) -> None:
        self._door.open.add(self)
        if len(self._door.open) > OPEN_MOST:
            self.transport.abortConnection()
        else:
            self._wait()

    def _wait(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self._door.reactor.callLater(SPEAK_WITHIN, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:
        for read in self._reader.feed(data):
            if not isinstance(read, Request):
                status = read.status if isinstance(read, Fault) else 400
                self.transport.write(write_response(status, b"", False))
                self.transport.loseConnection()
                return
            said = self._door.answer(read)
            self.transport.write(
                write_response(
                    said.status, said.body, read.keep_alive, {"Content-Type": said.content_type}
                )
            )
            if not read.keep_alive:
                self.transport.loseConnection()
                return
            self._wait()

    def connectionLost(self, reason: Failure) -> None:
        self._door.open.discard(self)
        self._reader.drop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class AdminEndpoint(Factory):
    noisy = False

    def __init__(self, reactor, buffers: Buffers, ways: AdminCalls) -> None:
        self.reactor, self.buffers, self._ways = reactor, buffers, ways
        self.open: set[_Visitor] = set()
        self._port = None

    def buildProtocol(self, addr) -> _Visitor:
        return _Visitor(self)

    def answer(self, request: Request):
        try:
            return self._ways.answer(request)
        except Exception:  # it stops here: the front goes on
            log.exception("fault at the door")
            return AdminResponse(500, b"{}\n")

    def listen(self, where: str) -> str:
        """Where it listens. Raises Closed."""
        try:
            if where.startswith("unix:"):
                path = where.removeprefix("unix:")
                if os.path.exists(path):
                    os.unlink(path)  # of an earlier start
                self._port = self.reactor.listenUNIX(path, self, mode=0o600)
                return where
            host, _, port = where.rpartition(":")
            self._port = self.reactor.listenTCP(int(port), self, 16, host)
            return f"{host}:{self._port.getHost().port}"
        except Exception as error:
            raise Closed(f"{where}: {error}") from None

    def stop(self) -> None:
        if self._port is not None:
            self._port.stopListening()
        for one in list(self.open):
            one.transport.abortConnection()


def read_token(path: str) -> str:
    """Raises Closed where it cannot be used."""
    try:
        mode = os.stat(path).st_mode
        with open(path) as file:
            token = file.read(4096).strip()
    except OSError as error:
        raise Closed(f"token {path}: {error.strerror}") from None
    if mode & 0o077:
        raise Closed(f"token {path}: others may read it; expected mode 600")
    if len(token) < MIN_TOKEN_LENGTH:
        raise Closed(f"token {path}: expected at least {MIN_TOKEN_LENGTH} characters")
    return token

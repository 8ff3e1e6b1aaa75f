"""The admin endpoint: a separate listener, on loopback or a Unix socket, for operators' calls.

The calls themselves are in lifecycle/admin_calls.py.
"""

import logging
import os

from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from umbermoor.front.lifecycle.admin_calls import TOKEN_LEAST, AdminCalls, Said
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

log = logging.getLogger(__name__)

OPEN_MOST = 8  # concurrent connections; further ones are closed immediately
SPEAK_WITHIN = 5.0  # seconds for a request to arrive, and between two requests


class Closed(Exception):
    """The admin endpoint cannot be opened; the text gives the reason."""


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
                write_response(said.status, said.body, read.keep_alive, {"Content-Type": said.kind})
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
        except Exception:  # a failing admin call must not stop the front
            log.exception("fault in an admin call")
            return Said(500, b"{}\n")

    def listen(self, where: str) -> str:
        """Listen at this address and return it with the actual port.

        Raises:
            Closed: The address cannot be used.
        """
        try:
            if where.startswith("unix:"):
                path = where.removeprefix("unix:")
                if os.path.exists(path):
                    os.unlink(path)  # left by an earlier process
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
    """Return the token in this file.

    Raises:
        Closed: The file cannot be read, is readable by others, or its token is too short.
    """
    try:
        mode = os.stat(path).st_mode
        with open(path) as file:
            token = file.read(4096).strip()
    except OSError as error:
        raise Closed(f"token {path}: {error.strerror}") from None
    if mode & 0o077:
        raise Closed(f"token {path}: others may read it; expected mode 600")
    if len(token) < TOKEN_LEAST:
        raise Closed(f"token {path}: expected at least {TOKEN_LEAST} characters")
    return token

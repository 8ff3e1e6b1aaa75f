"""The admin endpoint: a separate listener, on loopback or a Unix socket, for operators' calls.

The calls themselves are in lifecycle/admin_calls.py.
"""

import logging
import os

from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from umbermoor.front.lifecycle.admin_calls import MIN_TOKEN_LENGTH, AdminCalls, AdminResponse
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 8  # concurrent connections; further ones are closed immediately
REQUEST_TIMEOUT = 5.0  # seconds for a request to arrive, and between two requests


class AdminEndpointError(Exception):
    """The admin endpoint cannot be opened; the text gives the reason."""


class _AdminConnection(Protocol):
    def __init__(self, endpoint: "AdminEndpoint") -> None:
        self._endpoint, self._reader, self._timer = endpoint, Reader(endpoint.buffers), None

    def connectionMade(self) -> None:
        self._endpoint.open.add(self)
        if len(self._endpoint.open) > MAX_CONNECTIONS:
            self.transport.abortConnection()
        else:
            self._wait()

    def _wait(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self._endpoint.reactor.callLater(
            REQUEST_TIMEOUT, self.transport.abortConnection
        )

    def dataReceived(self, data: bytes) -> None:
        for read in self._reader.feed(data):
            if not isinstance(read, Request):
                status = read.status if isinstance(read, Fault) else 400
                self.transport.write(write_response(status, b"", False))
                self.transport.loseConnection()
                return
            response = self._endpoint.answer(read)
            self.transport.write(
                write_response(
                    response.status,
                    response.body,
                    read.keep_alive,
                    {"Content-Type": response.content_type},
                )
            )
            if not read.keep_alive:
                self.transport.loseConnection()
                return
            self._wait()

    def connectionLost(self, reason: Failure) -> None:
        self._endpoint.open.discard(self)
        self._reader.drop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class AdminEndpoint(Factory):
    """The listener for admin calls."""

    noisy = False

    def __init__(self, reactor, buffers: Buffers, calls: AdminCalls) -> None:
        self.reactor, self.buffers, self._calls = reactor, buffers, calls
        self.open: set[_AdminConnection] = set()
        self._port = None

    def buildProtocol(self, addr) -> _AdminConnection:
        return _AdminConnection(self)

    def answer(self, request: Request):
        try:
            return self._calls.answer(request)
        except Exception:  # a failing admin call must not stop the front
            log.exception("fault in an admin call")
            return AdminResponse(500, b"{}\n")

    def listen(self, where: str) -> str:
        """Listen at this address and return it with the actual port.

        Raises:
            AdminEndpointError: The address cannot be used.
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
            raise AdminEndpointError(f"{where}: {error}") from None

    def stop(self) -> None:
        if self._port is not None:
            self._port.stopListening()
        for one in list(self.open):
            one.transport.abortConnection()


def read_token(path: str) -> str:
    """Return the token in this file.

    Raises:
        AdminEndpointError: The file is unreadable, readable by others, or the token too short.
    """
    try:
        mode = os.stat(path).st_mode
        with open(path) as file:
            token = file.read(4096).strip()
    except OSError as error:
        raise AdminEndpointError(f"token {path}: {error.strerror}") from None
    if mode & 0o077:
        raise AdminEndpointError(f"token {path}: others may read it; expected mode 600")
    if len(token) < MIN_TOKEN_LENGTH:
        raise AdminEndpointError(f"token {path}: expected at least {MIN_TOKEN_LENGTH} characters")
    return token

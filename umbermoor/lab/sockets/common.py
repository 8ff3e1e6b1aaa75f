"""Code shared by the stand-ins, the load and the runner.

Holds the clock, the record of events, and connections that answer requests.
"""

import time
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.protocol import Factory, Protocol

from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

BUFFERS = Buffers(256 << 20)
LOOPBACK = "127.0.0.1"


def now() -> int:
    """Return microseconds of the monotonic clock, which all processes of a machine share."""
    return time.monotonic_ns() // 1000


class Events:
    """The events that one process observed.

    Rows begin with the time; the rows of all processes are merged by it when the day is over.
    """

    def __init__(self) -> None:
        self.rows: list[list[Any]] = []

    def note(self, what: str, *fields: Any) -> None:
        """Add an event with the present time."""
        self.rows.append([now(), what, *fields])

    def write(self, path: str, **further: Any) -> None:
        """Write the events and further fields to a file as JSON."""
        with open(path, "wb") as file:
            file.write(orjson.dumps({"events": self.rows, **further}))


class ServerConnection(Protocol):
    """An HTTP/1.1 connection to a stand-in; a malformed request ends it.

    Args:
        on_request: called with the connection and each request.
    """

    def __init__(self, on_request: Callable[["ServerConnection", Request], None]) -> None:
        self._on_request = on_request
        self._reader = Reader(BUFFERS)
        self.open = False
        self.on_close: Callable[[], None] = lambda: None

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        for message in self._reader.feed(data):
            if isinstance(message, Fault):
                self.transport.abortConnection()
                return
            self._on_request(self, message)

    def connectionLost(self, reason) -> None:
        self.open = False
        self._reader.drop()
        self.on_close()

    def write(self, data: bytes) -> None:
        """Send bytes, if the connection is open."""
        if self.open:
            self.transport.write(data)

    def reply(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Send a response."""
        self.write(write_response(status, body, headers=headers or {}))

    def reply_malformed(self) -> None:
        """Send a malformed response."""
        self.write(b"\x00\xffHTTP/9 nonsense\r\n\r\n")

    def abort(self) -> None:
        """Reset the connection, if it is open."""
        if self.open:
            self.transport.abortConnection()


def listen(
    reactor,
    on_request: Callable[[ServerConnection, Request], None],
    on_connection: Callable[[ServerConnection], None] | None = None,
    connection_type: Callable[..., ServerConnection] = ServerConnection,
):
    """Listen on a free port of loopback that the kernel chooses; return Twisted's port.

    Args:
        reactor: Twisted's reactor.
        on_request: called with the connection and each request.
        on_connection: called with each connection once it is up.
        connection_type: makes a connection from `on_request`.
    """
    factory = Factory()
    factory.noisy = False

    def build(_address) -> ServerConnection:
        connection = connection_type(on_request)
        if on_connection is not None:
            original = connection.connectionMade

            def connection_made() -> None:
                original()
                on_connection(connection)

            connection.connectionMade = connection_made
        return connection

    factory.buildProtocol = build
    return reactor.listenTCP(0, factory, 1024, LOOPBACK)

"""Small HTTP servers for the platform and operators: readiness and metrics."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

BUFFER_BYTES = 8 << 20  # an eighth of it is for partly read requests
MAX_CONNECTIONS = 64
NOT_FOUND = 404


class Page(NamedTuple):
    """The response for a path."""

    status: int
    body: bytes = b""


Pages = Mapping[str, Callable[[], Page]]


class Endpoint:
    """One listening address. Its connection limit is independent of other endpoints.

    Attributes:
        pages: Functions that return the page for a path; other paths are answered with 404.
        buffers: The memory that partly read requests share.
        connections: The open connections.
    """

    def __init__(self, pages: Pages) -> None:
        self.pages = pages
        self.buffers = Buffers(BUFFER_BYTES)
        self.connections: set[EndpointConnection] = set()

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Start serving; raises OSError if the port is in use."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: EndpointConnection(self), host, port)


def readiness(is_ready: Callable[[], bool]) -> Callable[[], Page]:
    """Return a page whose status tells whether the process accepts clients."""
    return lambda: Page(200 if is_ready() else 503)


class EndpointConnection(asyncio.Protocol):
    """One connection of the platform or of an operator."""

    __slots__ = ("endpoint", "reader", "transport")

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until connected
        self.reader = Reader(endpoint.buffers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if there are too many."""
        self.transport = cast(asyncio.Transport, transport)
        if len(self.endpoint.connections) >= MAX_CONNECTIONS:
            self.transport.abort()
        self.endpoint.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Answer the requests in the received data."""
        messages: list[Request | Fault] = self.reader.feed(data)  # type: ignore[assignment]
        for message in messages:
            if isinstance(message, Fault):
                self.transport.write(write_response(message.status, keep_alive=False))
                self.transport.close()
                return
            make_page = self.endpoint.pages.get(message.target)
            page = make_page() if make_page else Page(NOT_FOUND)
            self.transport.write(
                write_response(page.status, page.body, keep_alive=message.keep_alive)
            )
            if not message.keep_alive:
                self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection and release its buffers."""
        self.endpoint.connections.discard(self)
        self.reader.drop()

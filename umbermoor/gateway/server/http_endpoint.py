"""Small addresses of a process for the platform and operators: readiness and metrics, by GET."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

BUFFER_BYTES = 8 << 20  # an eighth of it for what is partly read
MAX_CONNECTIONS = 64
NOT_FOUND = 404


class Page(NamedTuple):
    """What a path answers."""

    status: int
    body: bytes = b""


Pages = Mapping[str, Callable[[], Page]]


class Endpoint:
    """One address. It bounds its own connections: those of one address take none of another's.

    Attributes:
        pages: By path; 404 for anything else.
        buffers: The memory that partly read requests share.
        connections: Those that are open.
    """

    def __init__(self, pages: Pages) -> None:
        self.pages = pages
        self.buffers = Buffers(BUFFER_BYTES)
        self.connections: set[EndpointConnection] = set()

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Serves it; raises OSError where the port is taken."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: EndpointConnection(self), host, port)


def readiness(is_ready: Callable[[], bool]) -> Callable[[], Page]:
    """The page that says by its status whether clients may come."""
    return lambda: Page(200 if is_ready() else 503)


class EndpointConnection(asyncio.Protocol):
    """One connection of the platform or of an operator."""

    __slots__ = ("endpoint", "reader", "transport")

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until it is made
        self.reader = Reader(endpoint.buffers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins, where there are not too many."""
        self.transport = cast(asyncio.Transport, transport)
        if len(self.endpoint.connections) >= MAX_CONNECTIONS:
            self.transport.abort()
        self.endpoint.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Answers what is asked."""
        found: list[Request | Fault] = self.reader.feed(data)  # type: ignore[assignment]
        for message in found:
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
        """Ends."""
        self.endpoint.connections.discard(self)
        self.reader.drop()

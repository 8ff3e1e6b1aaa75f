"""The address at which the platform asks whether a proxy is ready: `GET /ready`."""

import asyncio
from collections.abc import Callable
from typing import cast

from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

PATH = "/ready"
BUFFER_BYTES = 8 << 20  # an eighth of it for what is partly read
MAX_CONNECTIONS = 64

_buffers = Buffers(BUFFER_BYTES)
_connections: set["ReadinessConnection"] = set()


class ReadinessConnection(asyncio.Protocol):
    """One connection of the platform."""

    __slots__ = ("is_ready", "reader", "transport")

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until it is made
        self.reader = Reader(_buffers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins, where there are not too many."""
        self.transport = cast(asyncio.Transport, transport)
        if len(_connections) >= MAX_CONNECTIONS:
            self.transport.abort()
        _connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Answers 200 or 503 to `GET /ready`, 404 to anything else."""
        found: list[Request | Fault] = self.reader.feed(data)  # type: ignore[assignment]
        for message in found:
            if isinstance(message, Fault):
                self.transport.write(write_response(message.status, keep_alive=False))
                self.transport.close()
                return
            self.transport.write(
                write_response(self._status(message.target), keep_alive=message.keep_alive)
            )
            if not message.keep_alive:
                self.transport.close()

    def _status(self, target: str) -> int:
        if target != PATH:
            return 404
        return 200 if self.is_ready() else 503

    def connection_lost(self, error: Exception | None) -> None:
        """Ends."""
        _connections.discard(self)
        self.reader.drop()

"""The address where the platform asks whether a front is ready."""

import asyncio
from collections.abc import Callable

from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader
from umbermoor.http1.writer import write_response

MEMORY = 8 << 20  # bytes: an eighth of it for what is partly read
CONNECTIONS = 64

_buffers = Buffers(MEMORY)
_open: set["ReadyLine"] = set()


class ReadyLine(asyncio.Protocol):
    __slots__ = "reader", "ready", "transport"

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready, self.transport, self.reader = ready, None, Reader(_buffers)

    def connection_made(self, transport) -> None:
        self.transport = transport
        if len(_open) >= CONNECTIONS:
            transport.abort()
        _open.add(self)

    def data_received(self, data: bytes) -> None:
        for found in self.reader.feed(data):
            if isinstance(found, Fault):
                self.transport.write(write_response(found.status, keep=False))
                self.transport.close()
                return
            status = 404 if found.target != "/ready" else 200 if self.ready() else 503
            self.transport.write(write_response(status, keep=found.keep))
            if not found.keep:
                self.transport.close()

    def connection_lost(self, error) -> None:
        _open.discard(self)
        self.reader.drop()

"""Messages between processes of the system: frames of JSON on TCP, best effort. A line that says
nothing is dropped.

A stranger may open lines too: each holds one frame of at most MOST bytes, all together at most HELD
of what is partly read, and there are at most LINES of them."""

import asyncio
import json
import socket
import zlib
from collections.abc import Callable
from typing import Any

MAX_FRAME_BYTES = 8 << 20  # bytes of a frame
MAX_CONNECTIONS = 400
MAX_BUFFERED_BYTES = 32 << 20  # bytes partly read of all lines
MAX_WRITE_BACKLOG_BYTES = 4 << 20  # bytes that may wait for a peer that does not read
CONNECT_TIMEOUT_S = 0.6  # s
TCP_USER_TIMEOUT_MS = 1500  # ms without an acknowledgement until a line is broken
COMPRESS_FROM_BYTES = 4096  # bytes from which a frame is pressed
COMPRESSED_FLAG = 1 << 31


def encode_frame(message: dict[str, Any]) -> bytes:
    body = json.dumps(message, separators=(",", ":")).encode()
    mark = 0
    if len(body) > COMPRESS_FROM_BYTES:
        body, mark = zlib.compress(body, 1), COMPRESSED_FLAG
    return (len(body) | mark).to_bytes(4, "big") + body


def decode_body(body: bytes, pressed: bool) -> dict[str, Any] | None:
    """A frame's message; None where it is garbled or too large."""
    try:
        if pressed:
            reader = zlib.decompressobj()
            body = reader.decompress(body, MAX_FRAME_BYTES)
            if reader.unconsumed_tail:
                return None
        message = json.loads(body)
    except (ValueError, zlib.error, RecursionError):
        return None
    return message if isinstance(message, dict) else None


class PeerConnection(asyncio.Protocol):
    """One connection, either way."""

    def __init__(self, post: "PeerTransport", peer: str | None) -> None:
        self.post, self.peer = post, peer
        self.transport: asyncio.Transport | None = None
        self.held = bytearray()
        self.spoke = False  # a whole frame came

    def connection_made(self, transport) -> None:
        self.transport = transport
        tune_socket(transport)
        if self.peer is None:
            self.peer = transport.get_extra_info("peername")[0]
            if len(self.post.incoming) >= MAX_CONNECTIONS and not self.post.evict():
                transport.abort()
                return
            self.post.incoming.add(self)

    def data_received(self, data: bytes) -> None:
        self.held += data
        self.post.held += len(data)
        if self.post.held > MAX_BUFFERED_BYTES:
            self.transport.abort()
            return
        while len(self.held) >= 4:
            head = int.from_bytes(self.held[:4], "big")
            size = head & ~COMPRESSED_FLAG
            if size > MAX_FRAME_BYTES:
                self.transport.abort()
                return
            if len(self.held) < 4 + size:
                return
            message = decode_body(bytes(self.held[4 : 4 + size]), bool(head & COMPRESSED_FLAG))
            del self.held[: 4 + size]
            self.post.held -= 4 + size
            if message is None:
                self.transport.abort()
                return
            self.spoke = True
            self.post.receive(self, message)

    def send(self, data: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            if self.transport.get_write_buffer_size() > MAX_WRITE_BACKLOG_BYTES:
                self.transport.abort()  # it does not read: what is lost is sent again
            else:
                self.transport.write(data)

    def connection_lost(self, error) -> None:
        self.post.held -= len(self.held)
        self.held = bytearray()
        self.post.incoming.discard(self)
        self.post.lost(self)


def tune_socket(transport) -> None:
    """Small writes leave at once; a peer that vanished is noticed."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class PeerTransport:
    """Lines to and from other processes, by IP address; all listen on the same port."""

    def __init__(
        self,
        ip: str,
        port: int,
        receive: Callable[[PeerConnection, dict], None],
        lost: Callable[[PeerConnection], None] = lambda line: None,
    ) -> None:
        self.ip, self.port, self._receive, self._lost = ip, port, receive, lost
        self.incoming: set[PeerConnection] = set()
        self.held = 0  # bytes partly read, of all lines
        self.outgoing: dict[str, PeerConnection | list[bytes]] = {}  # a line, or what waits for it
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        await asyncio.get_running_loop().create_server(
            lambda: PeerConnection(self, None), self.ip, self.port
        )

    def evict(self) -> bool:
        """Makes room where strangers hold lines on which nothing was ever said; whether there was
        one."""
        silent = next((line for line in self.incoming if not line.spoke), None)
        if silent is None:
            return False
        self.incoming.discard(silent)
        silent.transport.abort()
        return True

    def receive(self, line: PeerConnection, message: dict) -> None:
        self._receive(line, message)

    def lost(self, line: PeerConnection) -> None:
        if self.outgoing.get(line.peer) is line:
            del self.outgoing[line.peer]
        self._lost(line)

    def send(self, to: str, message: dict[str, Any]) -> None:
        data = encode_frame(message)
        held = self.outgoing.get(to)
        if isinstance(held, PeerConnection):
            held.send(data)
        elif held is not None:
            if len(held) < 100:
                held.append(data)
        else:
            self.outgoing[to] = [data]
            task = asyncio.get_running_loop().create_task(self._open(to))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _open(self, to: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                # Members know each other by address; on loopback all would call from the same one.
                mine = (self.ip, 0) if self.ip.startswith("127.") else None
                _, line = await loop.create_connection(
                    lambda: PeerConnection(self, to), to, self.port, local_addr=mine
                )
        except (OSError, TimeoutError):
            self.outgoing.pop(to, None)
            line = PeerConnection(self, to)
            self._lost(line)
            return
        waiting, self.outgoing[to] = self.outgoing.get(to, []), line
        for data in waiting if isinstance(waiting, list) else []:
            line.send(data)

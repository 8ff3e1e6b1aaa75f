"""Messages between processes of the system: frames of JSON over TCP, best effort.

A frame is a length of four bytes, with its highest bit set where the body is compressed by zlib,
and the body, a JSON table. Connections are opened when there is something to send, and are kept.

Anybody may connect. So the partly read bytes of all connections, the length of a frame and the
number of connections are bounded; where there are too many, one on which nothing was said is
dropped first.
"""

import asyncio
import json
import socket
import zlib
from collections.abc import Callable
from typing import Any

MAX_FRAME_BYTES = 8 << 20
MAX_CONNECTIONS = 400
MAX_BUFFERED_BYTES = 32 << 20  # partly read, of all connections
MAX_WRITE_BACKLOG_BYTES = 4 << 20  # that wait for a peer that does not read
MAX_WAITING_MESSAGES = 100  # for a connection that is being opened
CONNECT_TIMEOUT_S = 0.6
TCP_CLOSE_WAIT = 8  # its state once the other side has ended (linux/tcp_states.h)
TCP_USER_TIMEOUT_MS = 1500  # without an acknowledgement until a connection is broken
COMPRESS_FROM_BYTES = 4096
COMPRESSION_LEVEL = 1
COMPRESSED_FLAG = 1 << 31
LENGTH_BYTES = 4

Message = dict[str, Any]


def encode_frame(message: Message) -> bytes:
    """The frame of a message."""
    body = json.dumps(message, separators=(",", ":")).encode()
    flag = 0
    if len(body) > COMPRESS_FROM_BYTES:
        body, flag = zlib.compress(body, COMPRESSION_LEVEL), COMPRESSED_FLAG
    return (len(body) | flag).to_bytes(LENGTH_BYTES, "big") + body


def decode_body(body: bytes, compressed: bool) -> Message | None:
    """The message in a frame's body; None where it is malformed or too large."""
    try:
        if compressed:
            decompressor = zlib.decompressobj()
            body = decompressor.decompress(body, MAX_FRAME_BYTES)
            if decompressor.unconsumed_tail:
                return None
        message = json.loads(body)
    except (ValueError, zlib.error, RecursionError):
        return None
    return message if isinstance(message, dict) else None


class PeerConnection(asyncio.Protocol):
    """One connection, whichever side opened it.

    Attributes:
        peer: The IP address of the other side.
        spoke: Whether a whole frame came.
    """

    def __init__(self, owner: "PeerTransport", peer: str | None) -> None:
        """`peer`: None where the other side opened the connection."""
        self._owner = owner
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.spoke = False
        self._buffer = bytearray()

    def connection_made(self, transport) -> None:
        """Takes over an opened connection, unless there are too many."""
        self.transport = transport
        tune_socket(transport)
        if self.peer is None:
            self.peer = transport.get_extra_info("peername")[0]
            if not self._owner.admit(self):
                transport.abort()

    def data_received(self, data: bytes) -> None:
        """Hands on the frames that are complete; a malformed one ends the connection."""
        self._buffer += data
        self._owner.buffered_bytes += len(data)
        if self._owner.buffered_bytes > MAX_BUFFERED_BYTES:
            self.transport.abort()
            return
        while len(self._buffer) >= LENGTH_BYTES:
            header = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            size = header & ~COMPRESSED_FLAG
            end = LENGTH_BYTES + size
            if size > MAX_FRAME_BYTES:
                self.transport.abort()
                return
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH_BYTES:end])
            message = decode_body(body, bool(header & COMPRESSED_FLAG))
            del self._buffer[:end]
            self._owner.buffered_bytes -= end
            if message is None:
                self.transport.abort()
                return
            self.spoke = True
            self._owner.received(self, message)

    def send(self, frame: bytes) -> None:
        """Sends a frame. To a peer that does not read, the connection is broken instead: what is
        lost is sent again by whoever needs it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MAX_WRITE_BACKLOG_BYTES:
            self.transport.abort()
        else:
            self.transport.write(frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Gives back what was partly read, and reports the end."""
        self._owner.buffered_bytes -= len(self._buffer)
        self._buffer = bytearray()
        self._owner.closed(self)


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Has small writes sent at once, and a peer that vanished noticed."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def peer_has_ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended its sending, also where nothing is read of the connection.

    False where the system does not tell (tcp(7), TCP_INFO).
    """
    sock = transport.get_extra_info("socket")
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT
    except OSError:
        return False


class PeerTransport:
    """The connections to and from other processes, by IP address; all listen on the same port.

    Attributes:
        incoming: The connections that others opened.
        outgoing: By address, the connection opened to it, or the frames that wait for one.
        buffered_bytes: Partly read, of all connections.
        ip, port: Where this process listens; the others listen on the same port.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        on_message: Callable[[PeerConnection, Message], None],
        on_lost: Callable[[PeerConnection], None] = lambda connection: None,
    ) -> None:
        """`on_lost` is also called for a connection that could not be opened."""
        self.ip, self.port = ip, port
        self._on_message, self._on_lost = on_message, on_lost
        self.incoming: set[PeerConnection] = set()
        self.outgoing: dict[str, PeerConnection | list[bytes]] = {}
        self.buffered_bytes = 0
        self._opening: set[asyncio.Task[None]] = set()

    async def listen(self) -> asyncio.Server:
        """Accepts connections until the server that is returned is closed."""
        return await asyncio.get_running_loop().create_server(
            lambda: PeerConnection(self, None), self.ip, self.port
        )

    def admit(self, connection: PeerConnection) -> bool:
        """Whether there is room for a connection that another side opened."""
        if len(self.incoming) >= MAX_CONNECTIONS and not self._evict():
            return False
        self.incoming.add(connection)
        return True

    def _evict(self) -> bool:
        """Drops a connection on which nothing was said; whether there was one."""
        silent = next((one for one in self.incoming if not one.spoke), None)
        if silent is None:
            return False
        self.incoming.discard(silent)
        silent.transport.abort()
        return True

    def received(self, connection: PeerConnection, message: Message) -> None:
        """A connection read a message."""
        self._on_message(connection, message)

    def closed(self, connection: PeerConnection) -> None:
        """A connection ended."""
        self.incoming.discard(connection)
        if self.outgoing.get(connection.peer) is connection:
            del self.outgoing[connection.peer]
        self._on_lost(connection)

    def send(self, address: str, message: Message) -> None:
        """Sends a message to the process at that address, over a connection opened where needed."""
        frame = encode_frame(message)
        current = self.outgoing.get(address)
        if isinstance(current, PeerConnection):
            current.send(frame)
        elif current is not None:
            if len(current) < MAX_WAITING_MESSAGES:
                current.append(frame)
        else:
            self.outgoing[address] = [frame]
            opening = asyncio.get_running_loop().create_task(self._open(address))
            self._opening.add(opening)
            opening.add_done_callback(self._opened)

    def _opened(self, opening: asyncio.Task[None]) -> None:
        self._opening.discard(opening)
        if not opening.cancelled() and (error := opening.exception()) is not None:
            context = {"message": "opening a connection", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)

    async def _open(self, address: str) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._connect(address)
        except (OSError, TimeoutError):
            self.outgoing.pop(address, None)
            self._on_lost(PeerConnection(self, address))
            return
        waiting, self.outgoing[address] = self.outgoing.get(address, []), connection
        for frame in waiting if isinstance(waiting, list) else []:
            connection.send(frame)

    async def _connect(self, address: str) -> PeerConnection:
        # Members know each other by address; on loopback all would call from the same one.
        local_address = (self.ip, 0) if self.ip.startswith("127.") else None
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: PeerConnection(self, address), address, self.port, local_addr=local_address
        )
        return connection

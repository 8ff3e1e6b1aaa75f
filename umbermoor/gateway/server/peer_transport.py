"""Best-effort messages between the processes of the system, as JSON frames over TCP.

A frame is a four-byte big-endian length, whose highest bit is set if the body is compressed with
zlib, followed by the body, a JSON object. Connections are opened on the first message to a peer and
are kept open.

Anyone may connect. Therefore the buffered bytes of all connections, the length of a frame and the
number of connections are bounded. When there are too many connections, one on which no frame has
arrived is dropped.
"""

import asyncio
import json
import socket
import zlib
from collections.abc import Callable
from typing import Any

MAX_FRAME_BYTES = 8 << 20
MAX_CONNECTIONS = 400
MAX_BUFFERED_BYTES = 32 << 20  # of partly read frames, over all connections
MAX_WRITE_BACKLOG_BYTES = 4 << 20  # unsent, per connection, for a peer that does not read
MAX_WAITING_MESSAGES = 100  # queued for a connection that is being opened
CONNECT_TIMEOUT_S = 0.6
TCP_CLOSE_WAIT = 8  # TCP state after a FIN was received (linux/tcp_states.h)
TCP_USER_TIMEOUT_MS = 1500  # unacknowledged data breaks the connection after this time
COMPRESS_FROM_BYTES = 4096
COMPRESSION_LEVEL = 1
COMPRESSED_FLAG = 1 << 31
LENGTH_BYTES = 4

Message = dict[str, Any]


def encode_frame(message: Message) -> bytes:
    """Return a message encoded as a frame."""
    body = json.dumps(message, separators=(",", ":")).encode()
    flag = 0
    if len(body) > COMPRESS_FROM_BYTES:
        body, flag = zlib.compress(body, COMPRESSION_LEVEL), COMPRESSED_FLAG
    return (len(body) | flag).to_bytes(LENGTH_BYTES, "big") + body


def decode_body(body: bytes, compressed: bool) -> Message | None:
    """Return the message in a frame's body; None if it is malformed or too large."""
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
    """One connection to a peer, opened by either side.

    Attributes:
        peer: The IP address of the other side.
        has_received: Whether a complete frame has been received.
    """

    def __init__(self, owner: "PeerTransport", peer: str | None) -> None:
        """Create a connection; `peer` is None if the other side opened it."""
        self._owner = owner
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.has_received = False
        self._buffer = bytearray()

    def connection_made(self, transport) -> None:
        """Register an opened connection, or abort it if there are too many."""
        self.transport = transport
        tune_socket(transport)
        if self.peer is None:
            self.peer = transport.get_extra_info("peername")[0]
            if not self._owner.admit(self):
                transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass on complete frames; abort the connection on a malformed one."""
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
            self.has_received = True
            self._owner.received(self, message)

    def send(self, frame: bytes) -> None:
        """Send a frame, or abort the connection if the peer has stopped reading.

        Lost frames are repeated by the parts that need them.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MAX_WRITE_BACKLOG_BYTES:
            self.transport.abort()
        else:
            self.transport.write(frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Release the buffered bytes and report the end of the connection."""
        self._owner.buffered_bytes -= len(self._buffer)
        self._buffer = bytearray()
        self._owner.closed(self)


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm, and detect a vanished peer by TCP_USER_TIMEOUT."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def peer_has_sent_fin(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has sent a FIN, even if this side is not reading from the connection.

    False if the system does not provide this (tcp(7), TCP_INFO).
    """
    sock = transport.get_extra_info("socket")
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT
    except OSError:
        return False


class PeerTransport:
    """Connections to and from other processes, by IP address.

    Attributes:
        incoming: Connections that peers opened.
        outgoing: For each address, the connection to it, or frames queued until it is open.
        buffered_bytes: Bytes of partly read frames, over all connections.
        ip, port: The address on which this process listens; all peers listen on the same port.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        on_message: Callable[[PeerConnection, Message], None],
        on_lost: Callable[[PeerConnection], None] = lambda connection: None,
    ) -> None:
        """Create a transport that does not listen yet.

        Args:
            ip: The IP address of this process.
            port: The port of this process and of all peers.
            on_message: Called for each message received.
            on_lost: Called for each lost connection, and for one that could not be opened.
        """
        self.ip, self.port = ip, port
        self._on_message, self._on_lost = on_message, on_lost
        self.incoming: set[PeerConnection] = set()
        self.outgoing: dict[str, PeerConnection | list[bytes]] = {}
        self.buffered_bytes = 0
        self._open_tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> asyncio.Server:
        """Accept connections until the returned server is closed."""
        return await asyncio.get_running_loop().create_server(
            lambda: PeerConnection(self, None), self.ip, self.port
        )

    def admit(self, connection: PeerConnection) -> bool:
        """Add a connection that a peer opened, if there is room; return whether it was added."""
        if len(self.incoming) >= MAX_CONNECTIONS and not self._evict():
            return False
        self.incoming.add(connection)
        return True

    def _evict(self) -> bool:
        """Drop a connection on which no frame has arrived; return whether there was one."""
        silent = next(
            (connection for connection in self.incoming if not connection.has_received), None
        )
        if silent is None:
            return False
        self.incoming.discard(silent)
        silent.transport.abort()
        return True

    def received(self, connection: PeerConnection, message: Message) -> None:
        """Pass on a message that a connection received."""
        self._on_message(connection, message)

    def closed(self, connection: PeerConnection) -> None:
        """Remove a closed connection and report it as lost."""
        self.incoming.discard(connection)
        if self.outgoing.get(connection.peer) is connection:
            del self.outgoing[connection.peer]
        self._on_lost(connection)

    def send(self, address: str, message: Message) -> None:
        """Send a message to the process at an address, opening a connection if needed."""
        frame = encode_frame(message)
        current = self.outgoing.get(address)
        if isinstance(current, PeerConnection):
            current.send(frame)
        elif current is not None:
            if len(current) < MAX_WAITING_MESSAGES:
                current.append(frame)
        else:
            self.outgoing[address] = [frame]
            task = asyncio.get_running_loop().create_task(self._open(address))
            self._open_tasks.add(task)
            task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task[None]) -> None:
        self._open_tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            context = {"message": "cannot open a peer connection", "exception": error}
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
        # Members are recognized by their source address; on loopback all would share 127.0.0.1.
        local_address = (self.ip, 0) if self.ip.startswith("127.") else None
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: PeerConnection(self, address), address, self.port, local_addr=local_address
        )
        return connection

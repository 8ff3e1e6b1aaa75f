"""Receive buffers: a bounded pool of fixed-size buffers, and a byte queue stored in them.

All received bytes of incomplete messages are stored here, so that one limit covers the memory that
they take in all connections together.
"""

MAX_HEAD_BYTES = 16 * 1024  # start line and header fields
MAX_BODY_BYTES = 64 * 1024
CHUNK_FRAMING_BYTES = 16 * 1024  # chunk sizes, extensions and trailer fields of one message
BUFFER_BYTES = 4 * 1024  # a usual message fits into one buffer
BUFFERS_MEMORY_DIVISOR = 8  # buffers may take the process's memory divided by this
MAX_FREE_BUFFERS = 256  # kept for reuse; further ones are left to the garbage collector


class Buffers:
    """A pool of buffers of `BUFFER_BYTES` bytes, limited by the memory of the process.

    Args:
        memory: memory the process may use, in bytes.
    """

    def __init__(self, memory: int) -> None:
        self.in_use = 0
        self._free: list[bytearray] = []
        self.resize(memory)

    def resize(self, memory: int) -> None:
        """Set the limit for `memory` bytes; buffers in use above the new limit stay in use."""
        self._max_in_use = memory // BUFFERS_MEMORY_DIVISOR // BUFFER_BYTES

    def acquire(self) -> bytearray | None:
        """Return a buffer, or None at the limit.

        The limit protects against clients that begin many messages at once and never end them.
        """
        if self.in_use >= self._max_in_use:
            return None
        self.in_use += 1
        return self._free.pop() if self._free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Give a buffer back to the pool."""
        self.in_use -= 1
        if len(self._free) < MAX_FREE_BUFFERS:
            self._free.append(buffer)


class ByteQueue:
    """The received bytes of a stream that are not consumed yet, in buffers of a pool."""

    def __init__(self, buffers: Buffers) -> None:
        self.size = 0  # bytes
        self._pool = buffers
        self._buffers: list[bytearray] = []
        self._start = 0  # offset of the first byte in the first buffer

    def append(self, data: memoryview) -> bool:
        """Copy `data` to the end; False if the pool ran out of buffers on the way."""
        while data:
            offset = (self._start + self.size) % BUFFER_BYTES
            if self._start + self.size == len(self._buffers) * BUFFER_BYTES:
                buffer = self._pool.acquire()
                if buffer is None:
                    return False
                self._buffers.append(buffer)
            part = data[: BUFFER_BYTES - offset]
            self._buffers[-1][offset : offset + len(part)] = part
            self.size += len(part)
            data = data[len(part) :]
        return True

    def copy(self, start: int, end: int) -> bytes:
        """Return the bytes from offset `start` up to `end`, fewer if the queue ends before."""
        start, end = start + self._start, min(end, self.size) + self._start
        if start >= end:
            return b""
        first, last = start // BUFFER_BYTES, (end - 1) // BUFFER_BYTES
        if first == last:
            return bytes(
                self._buffers[first][start - first * BUFFER_BYTES : end - first * BUFFER_BYTES]
            )
        return b"".join(
            [
                self._buffers[first][start - first * BUFFER_BYTES :],
                *self._buffers[first + 1 : last],
                self._buffers[last][: end - last * BUFFER_BYTES],
            ]
        )

    def find(self, separator: bytes, start: int, end: int) -> int:
        """Return the offset of `separator` between `start` and `end`, or -1."""
        offset = self.copy(start, end).find(separator)
        return offset if offset < 0 else offset + start

    def discard(self, count: int) -> None:
        """Remove the first `count` bytes, and release the buffers that become empty."""
        self._start, self.size = self._start + count, self.size - count
        while self._buffers and (self._start >= BUFFER_BYTES or not self.size):
            self._pool.release(self._buffers.pop(0))
            self._start = max(0, self._start - BUFFER_BYTES)
        if not self.size:
            self._start = 0

"""Buffers of one small size, used again, and runs of bytes that lie in them. All that is partly
read lies here."""

HEAD_MOST = 16 * 1024
BODY_MOST = 64 * 1024
MESSAGE_MOST = HEAD_MOST + BODY_MOST + 16 * 1024  # the rest is room for the framing of chunks
SIZE = 4 * 1024  # of a buffer: a usual message fits into one
SHARE = 8  # the part of the memory, one in so many, that may lie in buffers
KEPT = 256  # free buffers kept for later


class Buffers:
    def __init__(self, memory: int) -> None:
        self.free: list[bytearray] = []
        self.out = 0
        self.resize(memory)

    def resize(self, memory: int) -> None:
        self.most = memory // SHARE // SIZE

    def take(self) -> bytearray | None:
        """Threat: many messages begun at once, and never ended. None: as many are out as memory
        allows."""
        if self.out >= self.most:
            return None
        self.out += 1
        return self.free.pop() if self.free else bytearray(SIZE)

    def give(self, buffer: bytearray) -> None:
        self.out -= 1
        if len(self.free) < KEPT:
            self.free.append(buffer)


class Run:
    """The bytes of a stream that are held: those that are not understood yet."""

    def __init__(self, buffers: Buffers) -> None:
        self._buffers = buffers
        self._held: list[bytearray] = []
        self._start = 0  # of the run, in the first buffer
        self.size = 0

    def add(self, data: memoryview) -> bool:
        """Whether there was room for it."""
        while data:
            place = (self._start + self.size) % SIZE
            if self._start + self.size == len(self._held) * SIZE:
                buffer = self._buffers.take()
                if buffer is None:
                    return False
                self._held.append(buffer)
            part = data[: SIZE - place]
            self._held[-1][place : place + len(part)] = part
            self.size += len(part)
            data = data[len(part) :]
        return True

    def part(self, start: int, end: int) -> bytes:
        start, end = start + self._start, min(end, self.size) + self._start
        if start >= end:
            return b""
        first, last = start // SIZE, (end - 1) // SIZE
        if first == last:
            return bytes(self._held[first][start - first * SIZE : end - first * SIZE])
        return b"".join(
            [
                self._held[first][start - first * SIZE :],
                *self._held[first + 1 : last],
                self._held[last][: end - last * SIZE],
            ]
        )

    def find(self, mark: bytes, start: int, end: int) -> int:
        at = self.part(start, end).find(mark)
        return at if at < 0 else at + start

    def drop(self, count: int) -> None:
        """Forgets the first ones, and gives back what held nothing else."""
        self._start, self.size = self._start + count, self.size - count
        while self._held and (self._start >= SIZE or not self.size):
            self._buffers.give(self._held.pop(0))
            self._start = max(0, self._start - SIZE)
        if not self.size:
            self._start = 0

"""Buffers of one size, used again."""

HEAD_MOST = 16 * 1024
BODY_MOST = 64 * 1024
SIZE = HEAD_MOST + BODY_MOST + 16 * 1024  # the rest is room for the framing of chunks
KEPT = 64  # free buffers kept for later; more than messages are partly read at once


class Buffers:
    def __init__(self) -> None:
        self.free: list[bytearray] = []
        self.out = 0

    def take(self) -> bytearray:
        self.out += 1
        return self.free.pop() if self.free else bytearray(SIZE)

    def give(self, buffer: bytearray) -> None:
        self.out -= 1
        if len(self.free) < KEPT:
            self.free.append(buffer)

"""Splits a connection's bytes into frames before the codec, and limits what a machine may send.

Source: RFC 9113, sections 4.1, 6 and 10.5. A machine that exceeds a limit loses that connection
only. GOAWAY is handled here and not passed to the codec, which would end the whole connection
although streams up to the last one that GOAWAY names may go on.
"""

from enum import IntEnum
from typing import NamedTuple

HEAD = 9  # bytes of a frame header
MAX_FRAME_BYTES = 16_384  # default of SETTINGS_MAX_FRAME_SIZE, which we don't change
MAX_HEADER_BLOCK_BYTES = 32 * 1024  # with its CONTINUATION frames
MAX_CONTINUATIONS = 8
# Limits on frames without content (SETTINGS, PING, RST_STREAM, empty DATA, unknown types ...):
MAX_EMPTY_FRAMES = 200  # in a burst
EMPTY_FRAMES_PER_SECOND = 50  # sustained
MAX_GOAWAYS = 8
# The first frame is SETTINGS, which is short: the upper two bytes of its length are zero.
FIRST = b"\x00\x00"


class Kind(IntEnum):
    """Frame type."""

    DATA = 0
    HEADERS = 1
    PRIORITY = 2
    RST_STREAM = 3
    SETTINGS = 4
    PUSH_PROMISE = 5
    PING = 6
    GOAWAY = 7
    WINDOW_UPDATE = 8
    CONTINUATION = 9


END_STREAM, ACK, END_HEADERS, PADDED = 0x1, 0x1, 0x4, 0x8


class Goaway(NamedTuple):
    """A GOAWAY frame."""

    last: int  # the last stream that was or might be processed
    code: int  # error code


class ConnectionFault(NamedTuple):
    """The connection violated the protocol or a limit and can't be used further."""

    what: str
    speaks: bool = True  # whether it is HTTP/2 at all


FrameResult = bytes | Goaway | ConnectionFault


class FrameSplitter:
    """Splits received bytes into frames; buffers at most one incomplete frame."""

    def __init__(self, now: int) -> None:
        self._rest = b""
        self._first = True
        self._block = self._continuations = 0  # of the open header block
        self._empty, self._empty_at = 0.0, now
        self._goaways = 0

    @property
    def settled(self) -> bool:
        """Whether the peer's first SETTINGS frame has been received."""
        return not self._first

    def feed(self, now: int, data: bytes) -> list[FrameResult]:
        """Return the frames to pass on, in order; nothing follows a fault."""
        found: list[FrameResult] = []
        buffered = self._rest + data
        at = 0
        while len(buffered) - at >= HEAD:
            length, kind, flags = (
                int.from_bytes(buffered[at : at + 3]),
                buffered[at + 3],
                buffered[at + 4],
            )
            stream = int.from_bytes(buffered[at + 5 : at + 9]) & 0x7FFFFFFF
            if self._first and (kind != Kind.SETTINGS or stream or length > 1024 or flags & ACK):
                found.append(ConnectionFault("does not open with SETTINGS", False))
                return found
            if length > MAX_FRAME_BYTES:
                found.append(ConnectionFault(f"a frame of {length} bytes"))
                return found
            if len(buffered) - at < HEAD + length:
                break
            frame = buffered[at : at + HEAD + length]
            at += HEAD + length
            self._first = False
            fault = self._check_limits(now, kind, flags, length, frame)
            if fault is not None:
                found.append(fault)
                return found
            if kind == Kind.GOAWAY:
                if length < 8 or stream:
                    found.append(ConnectionFault("a malformed GOAWAY frame"))
                    return found
                found.append(
                    Goaway(int.from_bytes(frame[9:13]) & 0x7FFFFFFF, int.from_bytes(frame[13:17]))
                )
            else:
                found.append(frame)
        self._rest = buffered[at:]
        if self._first and self._rest and not b"\x00\x00".startswith(self._rest[:2]):
            found.append(ConnectionFault("does not speak HTTP/2", False))
        return found

    def _check_limits(
        self, now: int, kind: int, flags: int, length: int, frame: bytes
    ) -> ConnectionFault | None:
        if kind in (Kind.HEADERS, Kind.PUSH_PROMISE):
            self._block, self._continuations = length, 0
        elif kind == Kind.CONTINUATION:
            self._block += length
            self._continuations += 1
            if self._continuations > MAX_CONTINUATIONS:
                return ConnectionFault("a header block in too many frames")
        if kind in (Kind.HEADERS, Kind.CONTINUATION) and self._block > MAX_HEADER_BLOCK_BYTES:
            return ConnectionFault("a header block that is too large")
        if kind == Kind.PUSH_PROMISE:
            return ConnectionFault("a PUSH_PROMISE frame, although push is disabled")
        if kind == Kind.GOAWAY:
            self._goaways += 1
            return (
                ConnectionFault("too many GOAWAY frames") if self._goaways > MAX_GOAWAYS else None
            )
        has_content = kind in (Kind.HEADERS, Kind.CONTINUATION) or (
            kind == Kind.DATA
            and (
                flags & END_STREAM or length > (1 + frame[HEAD] if flags & PADDED and length else 0)
            )
        )
        if has_content:
            return None
        self._empty = (
            max(0.0, self._empty - (now - self._empty_at) * EMPTY_FRAMES_PER_SECOND / 1e6) + 1
        )
        self._empty_at = now
        return (
            ConnectionFault("too many frames without content")
            if self._empty > MAX_EMPTY_FRAMES
            else None
        )

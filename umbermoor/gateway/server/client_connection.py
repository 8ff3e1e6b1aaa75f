"""Connections of clients: requests are read as they come, also behind one another; answers go back
in their order."""

import asyncio
from collections.abc import Iterable
from typing import Any

from umbermoor.gateway.balancing.attempt_outcomes import SINGLE_VALUE_HEADERS
from umbermoor.gateway.server.peer_transport import tune_socket
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import REASONS

ROW = 16  # requests of one connection that may wait for their answers
SLOWEST = 30.0  # s: a request that is not whole by then is given up, however steadily it comes
CONNECTIONS = 2500  # what strangers can open
# s: read on behind our end, as closing with unread bytes would reset what is still on its way
BEHIND_END = 0.5
DRAINED = 4096  # bytes that a client must take in SLOWEST, while it does not read what it was sent
HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)
KEEPS = frozenset(
    ("x-attempt-id", "host", "close", "keep-alive")
)  # `Connection` cannot name these away


def answer_bytes(
    status: int, body: bytes, headers: dict[str, str], keep: int, bodiless: bool = False
) -> bytes:
    """An answer; keep: for how many whole seconds the connection may stay idle, 0 closes it.
    bodiless: to a HEAD."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, '')}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items() if name not in HOP)
    length = headers.get("content-length", "0") if bodiless else len(body)
    if status >= 200 and status not in (204, 304):
        lines.append(f"content-length: {length}")
    lines.append(f"keep-alive: timeout={keep}" if keep else "connection: close")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


def request_bytes(request: Request, target_id: str, left_ms: int) -> bytes:
    """The request as a machine gets it."""
    drop = HOP
    if named := request.headers.get("connection"):
        drop = drop.union({one.strip().lower() for one in named.split(",")} - KEEPS)
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines.extend(
        f"{name}: {value}"
        for name, value in request.headers.items()
        if name not in drop and name != "x-time-remaining" and name != "x-target-instance"
    )
    lines.append(f"x-time-remaining: {left_ms}")
    lines.append(f"x-target-instance: {target_id}")
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"content-length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + request.body


class ClientLine(asyncio.Protocol):
    """One client's connection. `front.came(line, slot, request)` starts a request; `told` ends
    it."""

    __slots__ = (
        "at",
        "begun",
        "closing",
        "ended",
        "front",
        "halted",
        "heard_end",
        "left",
        "linger",
        "reader",
        "row",
        "slow",
        "transport",
    )

    def __init__(self, front: Any) -> None:
        self.front, self.transport = front, None
        self.reader = Reader(front.buffers, body_most=front.body_most, single=SINGLE_VALUE_HEADERS)
        self.row: list[
            list
        ] = []  # [request, (status, body, headers) or None, started], oldest first
        self.closing = self.halted = False
        self.slow, self.left = False, 0  # it does not read what it was sent; bytes of it
        self.heard_end = self.linger = self.ended = (
            False  # its end came; it may still send; ours is sent
        )
        self.at, self.begun = (
            0.0,
            None,
        )  # when something passed; since when a request is partly read

    def connection_made(self, transport) -> None:
        self.transport = transport
        tune_socket(transport)
        if len(self.front.lines) >= CONNECTIONS:
            transport.abort()
            return
        self.front.lines.add(self)
        self.at = self.front.clock()

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self.linger = True  # and no more time: what it sends now is not read
            return
        self.at = self.front.clock()
        all_found = self.reader.feed(data)
        self.begun = (
            None
            if not self.reader.midway
            else self.at
            if all_found or self.begun is None
            else self.begun
        )
        for found in all_found:
            if isinstance(found, Fault):
                self.row.append([None, (found.status, b"", {}), True])
                self.closing = self.linger = True
            else:
                self.row.append([found, None, False])
                if not found.keep:
                    self.closing = True
            if self.closing:
                break
        self._go_on()
        self._flush()
        if len(self.row) >= ROW:
            self._halt()

    def _halt(self) -> None:
        if not self.halted and not self.transport.is_closing():
            self.halted = True
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """It does not read what it was sent: nothing more is begun for it until it does."""
        self.slow, self.left, self.at = (
            True,
            self.transport.get_write_buffer_size(),
            self.front.clock(),
        )
        if not self.closing:
            self._halt()

    def resume_writing(self) -> None:
        self.slow, self.at = False, self.front.clock()
        self._flush()
        self._go_on()

    def _go_on(self) -> None:
        """Starts what may be worked at now: what may repeat at once, anything else when it is its
        turn."""
        if len(self.row) == 1:  # by far the most
            slot = self.row[0]
            if not slot[2] and not self.slow:
                slot[2] = True
                self.front.came(self, slot, slot[0])
            return
        for place, slot in enumerate(self.row[:ROW]):
            request, _, started = slot
            if request is None or self.slow:
                return
            ahead = self.front.may_repeat(request)  # and what is behind it need not wait for it
            if not started:
                if place and not ahead:
                    return
                slot[2] = True
                self.front.came(self, slot, request)
            if not ahead:
                return

    def told(self, slot: list, status: int, body: bytes, headers: dict[str, str]) -> None:
        """The answer to a request; it leaves when those before it have."""
        if slot[1] is not None or self.transport is None or self.transport.is_closing():
            return
        slot[1] = status, body, headers
        self._flush()

    def _flush(self) -> None:
        ready = []
        while self.row and self.row[0][1] is not None:
            request, (status, body, headers), _ = self.row.pop(0)
            last = not self.row and (self.closing or self.front.leaving)
            self.linger = self.linger or (last and not self.closing)
            self.closing = self.closing or last
            bodiless = request is not None and request.method == "HEAD"
            ready.append(
                answer_bytes(status, body, headers, 0 if last else self.front.keep_s, bodiless)
            )
        if ready:
            self.transport.write(b"".join(ready))
            self.at = self.front.clock()
        if self.closing and not self.row:
            self._end()
            return
        if self.halted and not self.slow and len(self.row) < ROW // 2:
            self.halted = False
            self.transport.resume_reading()
        if ready:
            self._go_on()
        if not self.row and self.reader.expects:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _end(self) -> None:
        """Behind the last answer: our end; where the client may still send, reading on until its
        own, or a while."""
        if self.ended or self.transport.is_closing():
            return
        if self.heard_end or not self.linger:
            self.transport.close()
            return
        self.ended, self.at = True, self.front.clock()
        self.halted = False
        self.transport.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:  # it has gone, which the kernel knows and this process does not yet
            self.transport.abort()

    def eof_received(self) -> bool:
        self.closing = self.heard_end = True
        return bool(self.row)  # it may still read its answers

    def connection_lost(self, error) -> None:
        self.front.lines.discard(self)
        self.reader.drop()
        for slot in self.row:
            if slot[2] and slot[1] is None and slot[0] is not None:
                self.front.client_left(slot)
        self.row = []

    def sweep(self, now: float, head_s: float, idle_s: float) -> None:
        """Closes what has been idle, and what is slow to send its request or to read its answer."""
        if self.transport is None:
            return
        if self.slow:
            size = self.transport.get_write_buffer_size()
            if self.left - size >= DRAINED:
                self.left, self.at = size, now
            elif now - self.at > SLOWEST:
                self.transport.abort()
        elif self.ended:
            if now - self.at > BEHIND_END:
                self.transport.close()
        elif self.row:
            return
        elif self.begun is not None:
            if (now - self.begun > head_s + 2 and now - self.at > 1) or now - self.begun > SLOWEST:
                self.closing = self.linger = True
                self.transport.write(answer_bytes(408, b"", {}, 0))
                self._end()
        elif now - self.at > idle_s:
            self.transport.close()


def relieve(lines: Iterable[ClientLine], most: int) -> int:
    """Threat: many clients that do not read. Breaks the connections that hold most until what all
    hold of answers is no more than `most` bytes. How many it broke."""
    held = sorted(
        (
            (line.transport.get_write_buffer_size(), place, line)
            for place, line in enumerate(lines)
            if line.slow
        ),
        reverse=True,
    )
    over, broken = sum(size for size, _, _ in held) - most, 0
    for size, _, line in held:
        if over <= 0:
            break
        line.transport.abort()
        over, broken = over - size, broken + 1
    return broken

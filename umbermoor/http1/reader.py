"""Cuts requests or responses out of the bytes of a connection. What is wrong with them is a value,
never raised."""

import re
from enum import Enum, auto
from typing import NamedTuple

from umbermoor.http1.buffers import BODY_MOST, HEAD_MOST, MESSAGE_MOST, Buffers, Run

_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_REQUEST = re.compile(rf"({_TOKEN.pattern}) ([!-~]+) HTTP/1\.([01])")
_RESPONSE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\r\n]*)?")
_EMPTY = re.compile(rb"(?:\r\n)+")
LINE_MOST = 1024  # of the framing of chunks
_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?")
_TRAILER = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:.*")
_INNER = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
_CONTROLS = bytes({*range(32), 127} - {*b"\t\r\n"})  # in no line of a message


class Fault(NamedTuple):
    """The stream cannot be read on from here."""

    status: int  # what a server answers to it
    text: str


class Request(NamedTuple):
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep: bool  # the connection may carry another


class Response(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes
    keep: bool


class Piece(NamedTuple):
    """Part of the body of a response that is read as it comes."""

    data: bytes


class _Body(Enum):
    LENGTH = auto()
    CHUNKED = auto()
    UNTIL_CLOSE = auto()


Read = Request | Response | Piece | Fault


class Reader:
    """Holds buffers only while a message is partly read."""

    def __init__(
        self,
        buffers: Buffers,
        responses: bool = False,
        as_pieces: bool = False,
        body_most: int = BODY_MOST,
        single: frozenset[str] | None = None,
    ) -> None:
        """single: headers that may stand once. Where they are given, all is refused that another
        reader might read in another way; None reads as the front in service always did."""
        self._strict, self._single = single is not None, single or frozenset()
        self._run, self._responses, self._as_pieces = Run(buffers), responses, as_pieces
        self._body_most, self._most = body_most, MESSAGE_MOST - BODY_MOST + body_most
        self.bodiless = False  # the next response answers a HEAD
        self._at = 0  # bytes held that are understood, or seen not to end a head
        self._dead = False
        self._clear()

    def _clear(self) -> None:
        self._head: tuple | None = None
        self._framing, self._length, self._trailers = _Body.LENGTH, 0, False
        self._chunks: list[tuple[int, int]] = []  # where they lie
        self._size = 0

    @property
    def midway(self) -> bool:
        return self._head is not None or self._run.size > 0

    @property
    def expects(self) -> bool:
        """A head is read that wants to hear 100 before its body is sent, of which nothing is
        here."""
        return (
            self._head is not None
            and not self._run.size
            and self._head[1].get("expect", "").lower() == "100-continue"
        )

    @property
    def _streamed(self) -> bool:
        """Threat: the text of an error read as what a stream tells."""
        return self._as_pieces and self._head is not None and self._head[0] == 200

    def feed(self, data: bytes) -> list[Read]:
        found: list[Read] = []
        rest = memoryview(data)
        while rest and not self._dead:
            part, rest = rest[: self._most - self._run.size], rest[self._most - self._run.size :]
            fault = (
                self._parse(found) if self._run.add(part) else Fault(503, "no memory left for it")
            )
            if fault is None and self._run.size == self._most:
                fault = Fault(413, "message too large")
            if fault is not None:
                found.append(fault)
                self._dead = True
        if self._dead:
            self.drop()
        return found

    def end(self) -> Read | None:
        """The stream has ended: a message that it completes, or cuts short."""
        if self._head is not None and self._framing is _Body.UNTIL_CLOSE and not self._streamed:
            return self._message(self._run.part(0, self._run.size))
        return Fault(400, "cut short") if self.midway and not self._dead else None

    def drop(self) -> None:
        """Gives the buffers back; for when the connection is gone too."""
        self._consume(self._run.size)

    def _parse(self, found: list[Read]) -> Fault | None:
        while self._run.size or self._head is not None:
            if self._head is None:
                fault = self._read_head()
                if fault is not None or self._head is None:
                    return fault
            body = self._read_body(found)
            if not isinstance(body, bytes):
                return body
            message = self._message(body)
            if isinstance(message, Response) and message.status < 200:
                continue  # an interim answer
            found.append(message)
        return None

    def _consume(self, count: int) -> None:
        self._run.drop(count)
        self._at = 0

    def _message(self, body: bytes) -> Read:
        first, headers, keep = self._head
        keep = keep and self._framing is not _Body.UNTIL_CLOSE
        self._clear()
        return (
            Response(first, headers, body, keep)
            if self._responses
            else Request(*first, headers, body, keep)
        )

    def _read_head(self) -> Fault | None:
        held = (
            self._run.part(0, HEAD_MOST) if not self._at else b""
        )  # all in one piece, where none of it was looked at
        while (
            held[:2] == b"\r\n" and not self._responses
        ):  # an empty line before a request is allowed
            self._consume(_EMPTY.match(held).end())
            held = self._run.part(0, HEAD_MOST)
        end = held.find(b"\r\n\r\n") if held else self._run.find(b"\r\n\r\n", self._at, HEAD_MOST)
        if end < 0:
            self._at = max(0, self._run.size - 3)
            return Fault(431, "head too large") if self._run.size >= HEAD_MOST else None
        head = held[:end] if held else self._run.part(0, end)
        if self._strict and len(head.translate(None, _CONTROLS)) != len(head):
            return Fault(400, "control characters")
        if (
            self._strict
            and self._responses
            and head.find(b"HTTP/1.", 1) > 0
            and _INNER.search(head, 1)
        ):
            return Fault(400, "an answer within a head")  # threat: one behind a part of another
        first, *lines = head.decode("latin-1").split("\r\n")
        line = (_RESPONSE if self._responses else _REQUEST).fullmatch(first)
        if line is None:
            return Fault(400, "no such first line")
        headers: dict[str, str] = {}
        for text in lines:
            name, colon, value = text.partition(":")
            if (
                not colon
                or not _TOKEN.fullmatch(name)
                or "\n" in value
                or "\r" in value
                or "\0" in value
            ):
                return Fault(400, "garbled header")
            name, value = name.lower(), value.strip(" \t")
            if name not in headers:
                headers[name] = value
            elif name in self._single:
                return Fault(400, "a header stands twice")
            elif name != "content-length":
                headers[name] = f"{headers[name]}, {value}"
            elif headers[name] != value:
                return Fault(400, "two lengths")
        fault = self._frame(headers, int(line[2]) if self._responses else 0)
        if fault is not None:
            return fault
        asked = headers.get("connection", "").lower()
        minor = line[1] if self._responses else line[3]
        if self._strict:
            if minor == "0":
                headers.pop("expect", None)
            if minor == "0" and "transfer-encoding" in headers:
                return Fault(400, "chunks in HTTP/1.0")
            if self._responses and line[2] == "101":
                return Fault(400, "another protocol, and nobody asked for it")
            if not self._responses and (line[1] == "CONNECT" or "host" not in headers):
                return Fault(400, "no host")
        keep = "close" not in asked and (minor == "1" or "keep-alive" in asked)
        self._head = (int(line[2]) if self._responses else (line[1], line[2]), headers, keep)
        self._consume(end + 4)
        return None

    def _frame(self, headers: dict[str, str], status: int) -> Fault | None:
        length, coding = headers.get("content-length"), headers.get("transfer-encoding")
        if length is not None and coding is not None:
            return Fault(400, "both length and transfer coding")
        if coding is not None and coding.lower() != "chunked":
            return Fault(501, "unknown transfer coding")
        if length is not None and not (length.isascii() and length.isdigit()):
            return Fault(400, "garbled length")
        if length is not None and (len(length) > 9 or int(length) > self._body_most):
            return Fault(413, "body too large")
        if self._responses and (status < 200 or status in (204, 304) or self.bodiless):
            return None  # whatever its headers say, it has no body
        if coding is not None:
            self._framing = _Body.CHUNKED
        elif length is not None:
            self._length = int(length)
        elif self._responses:
            self._framing = _Body.UNTIL_CLOSE
        return None

    def _read_body(self, found: list[Read]) -> bytes | Fault | None:
        if self._framing is _Body.CHUNKED:
            return self._read_chunks(found)
        if self._framing is _Body.UNTIL_CLOSE:
            if self._streamed and self._run.size:
                found.append(Piece(self._run.part(0, self._run.size)))
                self._consume(self._run.size)
            return Fault(413, "body too large") if self._run.size > self._body_most else None
        if self._run.size < self._length:
            return None
        body = self._run.part(0, self._length)
        self._consume(self._length)
        return body

    def _read_chunks(self, found: list[Read]) -> bytes | Fault | None:
        while True:
            end = self._run.find(b"\r\n", self._at, self._at + LINE_MOST)
            if end < 0:
                return (
                    Fault(400, "garbled chunk") if self._run.size - self._at >= LINE_MOST else None
                )
            line = self._run.part(self._at, end) if self._strict else b""
            if b"\n" in line or b"\r" in line or line.translate(None, _CONTROLS) != line:
                return Fault(400, "garbled chunk")
            if self._trailers:  # passed over, up to an empty line
                last = end == self._at
                if line and not _TRAILER.fullmatch(line):
                    return Fault(400, "garbled trailer")
                self._at = end + 2
                if last:
                    body = b"".join(self._run.part(*chunk) for chunk in self._chunks)
                    self._consume(self._at)
                    return body
                continue
            size = _SIZE.fullmatch(self._run.part(self._at, end))
            if size is None:
                return Fault(400, "garbled chunk")
            count = int(size[1], 16)
            if self._size + count > self._body_most:
                return Fault(413, "body too large")
            if not count:
                self._trailers, self._at = True, end + 2
                continue
            if self._run.size < end + 2 + count + 2:
                return None
            if self._run.part(end + 2 + count, end + 4 + count) != b"\r\n":
                return Fault(400, "garbled chunk")
            if self._streamed:
                found.append(Piece(self._run.part(end + 2, end + 2 + count)))
                self._consume(end + 4 + count)
            else:
                self._size += count
                self._chunks.append((end + 2, end + 2 + count))
                self._at = end + 4 + count

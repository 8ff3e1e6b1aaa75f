"""Incremental parser of HTTP/1.1 messages (RFC 9112; semantics: RFC 9110).

`Reader.feed` takes the bytes of a connection as they arrive and returns the messages that they
complete. Malformed input is a returned `Fault`, never an exception.
"""

import re
from enum import Enum, auto
from typing import NamedTuple

from umbermoor.http1.buffers import (
    CHUNK_FRAMING_BYTES,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Buffers,
    ByteQueue,
)

MAX_CHUNK_LINE_BYTES = 1024  # chunk size with its extensions, or one trailer field
MAX_LENGTH_DIGITS = 9  # of a Content-Length; bounds the conversion to int

_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_REQUEST_LINE = re.compile(rf"({_TOKEN.pattern}) ([!-~]+) HTTP/1\.([01])")
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\r\n]*)?")
_EMPTY_LINES = re.compile(rb"(?:\r\n)+")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?")
_TRAILER_FIELD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:.*")
_EMBEDDED_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
_CONTROL_CHARACTERS = bytes({*range(32), 127} - {*b"\t\r\n"})  # allowed in no line of a message


class MessageLimits(NamedTuple):
    """Limits of a message, in bytes."""

    head_bytes: int = MAX_HEAD_BYTES  # start line, header fields, and the empty line behind them
    body_bytes: int = MAX_BODY_BYTES

    @property
    def message_bytes(self) -> int:
        """The limit of what is received of a message, with the framing of chunks."""
        return self.head_bytes + self.body_bytes + CHUNK_FRAMING_BYTES


class Fault(NamedTuple):
    """The stream is malformed or over a limit, and can't be read further."""

    status: int  # status code a server answers with
    reason: str  # for logs


class Request(NamedTuple):
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]  # by lower-case name; repeated fields joined with ", "
    body: bytes
    keep_alive: bool  # the connection may carry another request


class Response(NamedTuple):
    """A complete final response."""

    status: int
    headers: dict[str, str]  # by lower-case name; repeated fields joined with ", "
    body: bytes
    keep_alive: bool  # the connection may carry another request


class BodyPart(NamedTuple):
    """Part of the body of a response that is read as it arrives."""

    data: bytes


class _Framing(Enum):
    """How the length of a body is determined (RFC 9112, section 6.3)."""

    CONTENT_LENGTH = auto()
    CHUNKED = auto()
    UNTIL_CLOSE = auto()


Message = Request | Response
ReadResult = Request | Response | BodyPart | Fault

DEFAULT_LIMITS = MessageLimits()

# Status (0 in a request), method and target (empty in a response), headers, keep_alive. A plain
# tuple: one is made for each message on the hot path, and no other module sees it.
_Head = tuple[int, str, str, dict[str, str], bool]


class Reader:
    """Parser of one direction of one connection; uses buffers only while a message is partly read.

    Args:
        buffers: pool for the received bytes.
        responses: whether responses are read; requests otherwise.
        stream_body: whether the bodies of 200 responses are returned as they arrive, as `BodyPart`;
            bodies of errors are returned whole, so that none is taken for content of the stream.
        limits: limits of the messages.
        single_value_headers: fields (lower-case) that may occur once. If given, the reader is
            strict: it refuses whatever another HTTP implementation might read differently, to
            prevent request smuggling (RFC 9112, section 11.2). If None, it accepts what the front
            in service has always accepted.

    Attributes:
        limits: Limits of the messages whose heads are read from now on; they may be replaced at any
            time. A message whose head was read before keeps the limits of that moment.
    """

    def __init__(
        self,
        buffers: Buffers,
        responses: bool = False,
        stream_body: bool = False,
        limits: MessageLimits = DEFAULT_LIMITS,
        single_value_headers: frozenset[str] | None = None,
    ) -> None:
        self.bodiless = False  # the next response answers a HEAD request
        self.limits = limits
        self._message_limits = limits  # of the message whose head was read last
        self._responses, self._stream_body = responses, stream_body
        self._strict = single_value_headers is not None
        self._single_value_headers = single_value_headers or frozenset()
        self._received = ByteQueue(buffers)
        self._scanned = 0  # received bytes that are parsed, or known not to end a head
        self._failed = False
        self._clear()

    def _clear(self) -> None:
        """Forget the current message."""
        self._head: _Head | None = None
        self._framing, self._content_length = _Framing.CONTENT_LENGTH, 0
        self._chunks: list[tuple[int, int]] = []  # start and end of each in the received bytes
        self._chunked_bytes = 0
        self._in_trailers = False

    @property
    def mid_message(self) -> bool:
        """Whether a message has begun to arrive and is not complete."""
        return self._head is not None or self._received.size > 0

    @property
    def awaits_continue(self) -> bool:
        """Whether the client waits for 100 (Continue) and has sent none of the body yet."""
        return (
            self._head is not None
            and not self._received.size
            and self._head[3].get("expect", "").lower() == "100-continue"
        )

    @property
    def _is_streamed(self) -> bool:
        return self._stream_body and self._head is not None and self._head[0] == 200

    def feed(self, data: bytes) -> list[ReadResult]:
        """Take bytes of the stream; return what they complete, a `Fault` last if there is one.

        After a fault everything is ignored.
        """
        found: list[ReadResult] = []
        rest = memoryview(data)
        while rest and not self._failed:
            limits = self.limits if self._head is None else self._message_limits
            room = max(0, limits.message_bytes - self._received.size)
            part, rest = rest[:room], rest[room:]
            fault = (
                self._parse(found)
                if self._received.append(part)
                else Fault(503, "no memory left for it")
            )
            if fault is None and self._received.size >= limits.message_bytes:
                fault = Fault(413, "message too large")
            if fault is not None:
                found.append(fault)
                self._failed = True
        if self._failed:
            self.drop()
        return found

    def end(self) -> Message | Fault | None:
        """Process the end of the stream: return a response that it completes, or a fault."""
        head = self._head
        if head and self._framing is _Framing.UNTIL_CLOSE and not self._is_streamed:
            return self._complete(head, self._received.copy(0, self._received.size))
        return Fault(400, "cut short") if self.mid_message and not self._failed else None

    def drop(self) -> None:
        """Discard the received bytes and release their buffers; also for a lost connection."""
        self._consume(self._received.size)

    def _consume(self, count: int) -> None:
        self._received.discard(count)
        self._scanned = 0

    def _parse(self, found: list[ReadResult]) -> Fault | None:
        """Append to `found` the messages that the received bytes complete."""
        while self._received.size or self._head is not None:
            if self._head is None:
                fault = self._read_head()
                if fault is not None:
                    return fault
            head = self._head
            if head is None:
                return None
            body = self._read_body(found)
            if not isinstance(body, bytes):
                return body
            message = self._complete(head, body)
            if not isinstance(message, Response) or message.status >= 200:  # else: interim
                found.append(message)
        return None

    def _complete(self, head: _Head, body: bytes) -> Message:
        status, method, target, headers, keep_alive = head
        keep_alive = keep_alive and self._framing is not _Framing.UNTIL_CLOSE
        self._clear()
        if self._responses:
            return Response(status, headers, body, keep_alive)
        return Request(method, target, headers, body, keep_alive)

    def _read_head(self) -> Fault | None:
        """Set `_head` once all of it is received."""
        # Of the scanned bytes only the last three are copied again: a separator may be split.
        max_bytes = self.limits.head_bytes
        data = self._received.copy(0, max_bytes) if not self._scanned else b""
        while data[:2] == b"\r\n" and not self._responses:
            # A server ignores empty lines before a request line (RFC 9112, section 2.2).
            empty_lines = _EMPTY_LINES.match(data)
            self._consume(empty_lines.end() if empty_lines else 0)
            data = self._received.copy(0, max_bytes)
        if data:
            end = data.find(b"\r\n\r\n")
        else:
            end = self._received.find(b"\r\n\r\n", self._scanned, max_bytes)
        if end < 0:
            self._scanned = max(0, self._received.size - 3)
            too_large = self._received.size >= max_bytes
            return Fault(431, "head too large") if too_large else None
        self._message_limits = self.limits
        fault = self._parse_head(data[:end] if data else self._received.copy(0, end))
        if fault is None:
            self._received.discard(end + 4)
            self._scanned = 0
        return fault

    def _parse_head(self, head: bytes) -> Fault | None:
        if self._strict:
            if len(head.translate(None, _CONTROL_CHARACTERS)) != len(head):
                return Fault(400, "control characters")
            # A response within another's head: the first one was cut short.
            is_embedded = self._responses and head.find(b"HTTP/1.", 1) > 0
            if is_embedded and _EMBEDDED_STATUS_LINE.search(head, 1):
                return Fault(400, "an answer within a head")
        start_line, *lines = head.decode("latin-1").split("\r\n")
        match = (_STATUS_LINE if self._responses else _REQUEST_LINE).fullmatch(start_line)
        if match is None:
            return Fault(400, "no such first line")
        if self._responses:
            minor_version, status, method, target = match[1], int(match[2]), "", ""
        else:
            minor_version, status, method, target = match[3], 0, match[1], match[2]
        headers: dict[str, str] = {}
        fault = self._parse_fields(lines, headers) or self._frame(headers, status)
        if fault is not None:
            return fault
        if self._strict:
            if minor_version == "0":
                headers.pop("expect", None)
                if "transfer-encoding" in headers:
                    return Fault(400, "chunks in HTTP/1.0")
            if status == 101:  # no request asked for an upgrade
                return Fault(400, "another protocol, and nobody asked for it")
            if not self._responses and (method == "CONNECT" or "host" not in headers):
                return Fault(400, "no host")
        connection = headers.get("connection", "").lower()
        keep_alive = "close" not in connection and (
            minor_version == "1" or "keep-alive" in connection
        )
        self._head = (status, method, target, headers, keep_alive)
        return None

    def _parse_fields(self, lines: list[str], headers: dict[str, str]) -> Fault | None:
        """Add the header fields of `lines` to `headers`."""
        for line in lines:
            name, colon, value = line.partition(":")
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
            elif name in self._single_value_headers:
                return Fault(400, "a header stands twice")
            elif name != "content-length":
                headers[name] = f"{headers[name]}, {value}"
            elif headers[name] != value:
                return Fault(400, "two lengths")
        return None

    def _frame(self, headers: dict[str, str], status: int) -> Fault | None:
        """Determine the framing of the body from the header fields (RFC 9112, section 6.3)."""
        length, coding = headers.get("content-length"), headers.get("transfer-encoding")
        if length is not None and coding is not None:
            return Fault(400, "both length and transfer coding")
        if coding is not None and coding.lower() != "chunked":
            return Fault(501, "unknown transfer coding")
        if length is not None and not (length.isascii() and length.isdigit()):
            return Fault(400, "garbled length")
        if length is not None and (
            len(length) > MAX_LENGTH_DIGITS or int(length) > self._message_limits.body_bytes
        ):
            return Fault(413, "body too large")
        if self._responses and (status < 200 or status in (204, 304) or self.bodiless):
            return None  # it has no body, whatever its headers say
        if coding is not None:
            self._framing = _Framing.CHUNKED
        elif length is not None:
            self._content_length = int(length)
        elif self._responses:
            self._framing = _Framing.UNTIL_CLOSE
        return None

    def _read_body(self, found: list[ReadResult]) -> bytes | Fault | None:
        """Return the body once it is complete, None before."""
        if self._framing is _Framing.CHUNKED:
            return self._read_chunks(found)
        if self._framing is _Framing.UNTIL_CLOSE:
            if self._is_streamed and self._received.size:
                found.append(BodyPart(self._received.copy(0, self._received.size)))
                self._consume(self._received.size)
            too_large = self._received.size > self._message_limits.body_bytes
            return Fault(413, "body too large") if too_large else None
        if not self._content_length:
            return b""
        if self._received.size < self._content_length:
            return None
        body = self._received.copy(0, self._content_length)
        self._received.discard(self._content_length)
        return body

    def _read_chunks(self, found: list[ReadResult]) -> bytes | Fault | None:
        """Return the body once its last chunk and trailers are received (RFC 9112, section 7.1)."""
        while True:
            end = self._received.find(b"\r\n", self._scanned, self._scanned + MAX_CHUNK_LINE_BYTES)
            if end < 0:
                too_long = self._received.size - self._scanned >= MAX_CHUNK_LINE_BYTES
                return Fault(400, "garbled chunk") if too_long else None
            line = self._received.copy(self._scanned, end)
            if self._strict and (
                b"\n" in line or b"\r" in line or line.translate(None, _CONTROL_CHARACTERS) != line
            ):
                return Fault(400, "garbled chunk")
            if self._in_trailers:  # ignored, up to an empty line
                if not line:
                    body = b"".join(self._received.copy(*chunk) for chunk in self._chunks)
                    self._consume(end + 2)
                    return body
                if self._strict and not _TRAILER_FIELD.fullmatch(line):
                    return Fault(400, "garbled trailer")
                self._scanned = end + 2
                continue
            size = _CHUNK_SIZE.fullmatch(line)
            if size is None:
                return Fault(400, "garbled chunk")
            start, end = end + 2, end + 2 + int(size[1], 16)
            if self._chunked_bytes + end - start > self._message_limits.body_bytes:
                return Fault(413, "body too large")
            if start == end:  # the last chunk
                self._in_trailers, self._scanned = True, start
                continue
            if self._received.size < end + 2:
                return None
            if self._received.copy(end, end + 2) != b"\r\n":
                return Fault(400, "garbled chunk")
            if self._is_streamed:
                found.append(BodyPart(self._received.copy(start, end)))
                self._consume(end + 2)
            else:
                self._chunked_bytes += end - start
                self._chunks.append((start, end))
                self._scanned = end + 2

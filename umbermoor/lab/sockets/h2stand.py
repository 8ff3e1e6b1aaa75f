"""A stand-in machine's side of HTTP/2, over the same port as its HTTP/1.1: the first bytes decide.
Each stream is a request
to the same model; GOAWAY names the last stream whose work was begun, and what it leaves out never
runs."""

from collections.abc import Callable

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from umbermoor.http1.reader import Request
from umbermoor.lab.sockets.common import Served

PREFACE = b"PRI * HTTP/2.0"
STREAMS = 64  # at once on a connection


class Stream:
    """One request's place; it takes the model's answers as a connection in HTTP/1.1 does."""

    def __init__(self, line: "DualProtocolConnection", number: int) -> None:
        self.line, self.number = line, number
        self.headers: dict[str, str] = {}
        self.body = b""

    @property
    def open(self) -> bool:
        return self.line.open

    def reply(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        self.line.reply_on(self.number, status, body, headers or {})

    def spoil(self) -> None:
        self.line.reply_on(self.number, 200, b"spoilt", {"content-length": "9"}, False)

    def abort(self) -> None:
        self.line.reset(self.number, h2.errors.ErrorCodes.INTERNAL_ERROR)


class DualProtocolConnection(Served):
    """A connection that speaks what its caller speaks."""

    def __init__(
        self, told: Callable[[Served, Request], None], stopped: Callable[[Stream], None]
    ) -> None:
        super().__init__(told)
        self._stopped = stopped
        self._first = b""
        self._codec: h2.connection.H2Connection | None = None
        self.streams: dict[int, Stream] = {}
        self.last = 0  # the highest stream that was taken
        self.going = False

    def dataReceived(self, data: bytes) -> None:
        if self._codec is None and self._first is not None:
            self._first += data
            if len(self._first) < len(PREFACE) and PREFACE.startswith(self._first):
                return
            data, first = self._first, self._first.startswith(PREFACE)
            self._first = None
            if first:
                self._codec = h2.connection.H2Connection(
                    h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
                )
                self._codec.local_settings = h2.settings.Settings(
                    client=False,
                    initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: STREAMS},
                )
                self._codec.initiate_connection()
        if self._codec is None:
            super().dataReceived(data)
            return
        try:
            events = self._codec.receive_data(data)
        except h2.exceptions.ProtocolError:
            self._flush()
            self.transport.loseConnection()
            return
        for event in events:
            self._hear(event)
        self._flush()

    def _hear(self, event: h2.events.Event) -> None:
        number = getattr(event, "stream_id", None)
        if isinstance(event, h2.events.RequestReceived):
            if self.going and number > self.last:
                return  # left out by our GOAWAY
            self.last = max(self.last, number)
            stream = self.streams[number] = Stream(self, number)
            stream.headers = dict(event.headers)
        elif number in self.streams:
            stream = self.streams[number]
            if isinstance(event, h2.events.DataReceived):
                stream.body += event.data
                self._codec.acknowledge_received_data(event.flow_controlled_length, number)
            elif isinstance(event, h2.events.StreamEnded):
                headers = stream.headers
                self._told(
                    stream,
                    Request(
                        headers.get(":method", ""),
                        headers.get(":path", ""),
                        headers,
                        stream.body,
                        True,
                    ),
                )
            elif isinstance(event, h2.events.StreamReset):
                del self.streams[number]
                self._stopped(stream)

    def reply_on(
        self, number: int, status: int, body: bytes, headers: dict[str, str], whole: bool = True
    ) -> None:
        if self.streams.pop(number, None) is None or not self.open:
            return
        fields = [
            (":status", str(status)),
            *((name.lower(), value) for name, value in headers.items()),
        ]
        if whole:
            fields.append(("content-length", str(len(body))))
        self._codec.send_headers(number, fields)
        self._codec.send_data(number, body, end_stream=whole)
        if not whole:
            self._codec.reset_stream(number, h2.errors.ErrorCodes.INTERNAL_ERROR)
        self._flush()
        self._maybe_close()

    def reset(self, number: int, code: h2.errors.ErrorCodes) -> None:
        if self.streams.pop(number, None) is not None and self.open:
            self._codec.reset_stream(number, code)
            self._flush()
            self._maybe_close()

    def go_away(self, begun: Callable[[Stream], bool]) -> list[Stream]:
        """Orderly: an end is announced, then the last stream is named. The streams that it leaves
        out."""
        if self._codec is None or self.going or not self.open:
            return []
        self.going = True
        self.last = max((number for number, one in self.streams.items() if begun(one)), default=0)
        left_out = [one for number, one in list(self.streams.items()) if number > self.last]
        for one in left_out:
            del self.streams[one.number]
        self._flush()
        self.transport.write(_goaway(0x7FFFFFFF) + _goaway(self.last))
        self._maybe_close()
        return left_out

    def _maybe_close(self) -> None:
        if self.going and not self.streams and self.open:
            self.transport.loseConnection()

    def _flush(self) -> None:
        if self.open and (data := self._codec.data_to_send()):
            self.transport.write(data)


def _goaway(last: int) -> bytes:
    """Written by hand: the codec would end the connection with it."""
    return b"\0\0\x08\x07\0\0\0\0\0" + last.to_bytes(4) + bytes(4)

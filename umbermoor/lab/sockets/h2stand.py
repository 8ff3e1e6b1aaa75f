"""Connections of a stand-in machine that speak HTTP/1.1 or HTTP/2 on the same port.

The first bytes of a client decide between the protocols. Each HTTP/2 stream is a request to the
machine's model. GOAWAY names the last stream whose work was begun; the requests of later streams
never run.
"""

from collections.abc import Callable

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from umbermoor.http1.reader import Request
from umbermoor.lab.sockets.common import ServerConnection

PREFACE = b"PRI * HTTP/2.0"
STREAMS = 64  # concurrent streams of a connection


class Stream:
    """An HTTP/2 stream with one request; has the reply methods of `ServerConnection`."""

    def __init__(self, connection: "DualProtocolConnection", stream_id: int) -> None:
        self.connection, self.stream_id = connection, stream_id
        self.headers: dict[str, str] = {}
        self.body = b""

    @property
    def open(self) -> bool:
        """Whether the connection is open."""
        return self.connection.open

    def reply(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Send a response."""
        self.connection.reply_on(self.stream_id, status, body, headers or {})

    def reply_malformed(self) -> None:
        """Send a response that is cut off before its end."""
        self.connection.reply_on(self.stream_id, 200, b"spoilt", {"content-length": "9"}, False)

    def abort(self) -> None:
        """Reset the stream."""
        self.connection.reset(self.stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR)


class DualProtocolConnection(ServerConnection):
    """A connection that speaks HTTP/1.1 or HTTP/2, depending on the first bytes of its client.

    Args:
        on_request: called with the connection (HTTP/1.1) or stream (HTTP/2) and each request.
        on_reset: called with each stream that the client resets.
    """

    def __init__(
        self,
        on_request: Callable[[ServerConnection, Request], None],
        on_reset: Callable[[Stream], None],
    ) -> None:
        super().__init__(on_request)
        self._on_reset = on_reset
        self._first_bytes = b""
        self._codec: h2.connection.H2Connection | None = None
        self.streams: dict[int, Stream] = {}
        self.last_stream_id = 0  # the highest stream whose request was accepted
        self.is_going_away = False

    def dataReceived(self, data: bytes) -> None:
        if self._codec is None and self._first_bytes is not None:
            self._first_bytes += data
            if len(self._first_bytes) < len(PREFACE) and PREFACE.startswith(self._first_bytes):
                return
            data, is_http2 = self._first_bytes, self._first_bytes.startswith(PREFACE)
            self._first_bytes = None
            if is_http2:
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
            self._handle_event(event)
        self._flush()

    def _handle_event(self, event: h2.events.Event) -> None:
        stream_id = getattr(event, "stream_id", None)
        if isinstance(event, h2.events.RequestReceived):
            if self.is_going_away and stream_id > self.last_stream_id:
                return  # ignored: after the last stream that GOAWAY named
            self.last_stream_id = max(self.last_stream_id, stream_id)
            stream = self.streams[stream_id] = Stream(self, stream_id)
            stream.headers = dict(event.headers)
        elif stream_id in self.streams:
            stream = self.streams[stream_id]
            if isinstance(event, h2.events.DataReceived):
                stream.body += event.data
                self._codec.acknowledge_received_data(event.flow_controlled_length, stream_id)
            elif isinstance(event, h2.events.StreamEnded):
                headers = stream.headers
                self._on_request(
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
                del self.streams[stream_id]
                self._on_reset(stream)

    def reply_on(
        self,
        stream_id: int,
        status: int,
        body: bytes,
        headers: dict[str, str],
        is_whole: bool = True,
    ) -> None:
        """Send a response on a stream; one that is not whole is followed by a reset."""
        if self.streams.pop(stream_id, None) is None or not self.open:
            return
        fields = [
            (":status", str(status)),
            *((name.lower(), value) for name, value in headers.items()),
        ]
        if is_whole:
            fields.append(("content-length", str(len(body))))
        self._codec.send_headers(stream_id, fields)
        self._codec.send_data(stream_id, body, end_stream=is_whole)
        if not is_whole:
            self._codec.reset_stream(stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR)
        self._flush()
        self._maybe_close()

    def reset(self, stream_id: int, code: h2.errors.ErrorCodes) -> None:
        """Reset a stream."""
        if self.streams.pop(stream_id, None) is not None and self.open:
            self._codec.reset_stream(stream_id, code)
            self._flush()
            self._maybe_close()

    def go_away(self, has_begun: Callable[[Stream], bool]) -> list[Stream]:
        """Close the connection gracefully; return the streams whose requests will not run.

        Sends a GOAWAY that announces the end, then one that names the last stream begun.

        Args:
            has_begun: whether the work of a stream was begun.
        """
        if self._codec is None or self.is_going_away or not self.open:
            return []
        self.is_going_away = True
        self.last_stream_id = max(
            (stream_id for stream_id, stream in self.streams.items() if has_begun(stream)),
            default=0,
        )
        left_out = [
            stream
            for stream_id, stream in list(self.streams.items())
            if stream_id > self.last_stream_id
        ]
        for stream in left_out:
            del self.streams[stream.stream_id]
        self._flush()
        self.transport.write(_goaway(0x7FFFFFFF) + _goaway(self.last_stream_id))
        self._maybe_close()
        return left_out

    def _maybe_close(self) -> None:
        if self.is_going_away and not self.streams and self.open:
            self.transport.loseConnection()

    def _flush(self) -> None:
        if self.open and (data := self._codec.data_to_send()):
            self.transport.write(data)


def _goaway(last_stream_id: int) -> bytes:
    """Return a GOAWAY frame, built by hand because the codec would close the connection."""
    return b"\0\0\x08\x07\0\0\0\0\0" + last_stream_id.to_bytes(4) + bytes(4)

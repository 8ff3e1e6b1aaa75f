"""State of one HTTP/2 connection to a machine, without I/O.

Queries are turned into frames one at a time, and only when the kernel has accepted all that was
written before. So queries that wait were never sent, and when the connection ends at most one query
is partly sent. The host calls `next_bytes` whenever the transport has nothing left to write,
`receive` with what it received, and `lost` when the connection has ended. Each call's `ended` is
called once. Source: RFC 9113.
"""

from collections import deque
from collections.abc import Callable

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from umbermoor.front.http2.frames import END_HEADERS, ConnectionFault, FrameSplitter, Goaway, Kind
from umbermoor.front.http2.stream_outcomes import Failed, StreamEnd, StreamProgress
from umbermoor.http1.buffers import MAX_BODY_BYTES, Buffers, ByteQueue
from umbermoor.http1.reader import Response

GOAWAY_ANNOUNCED = 0x7FFFFFFF  # last stream of a GOAWAY that only announces the shutdown
STREAM_WINDOW = MAX_BODY_BYTES  # a whole response fits: no stream waits for a window update
CONNECTION_WINDOW = 1 << 20  # large, so that one slow body does not stall the others
ASSUMED_STREAMS = 100  # until the peer sends its limit; RFC 9113 recommends no less than 100
MAX_STREAM_ID = (1 << 31) - 1
MAX_INTERIM = 16  # 1xx responses before the final one
MAX_HEADERS = 64  # different fields in a response

Outcome = Response | Failed


class Call:
    """One query on a connection.

    Args:
        headers: header fields, pseudo-header fields included.
        body: content.
        may_go: called right before the first byte is sent; if False, the query is not sent.
        ended: called once with the outcome.
    """

    __slots__ = ("body", "ended", "headers", "may_go", "over", "progress", "stream")

    def __init__(
        self,
        headers: list[tuple[str, str]],
        body: bytes,
        may_go: Callable[[], bool],
        ended: Callable[[Outcome], None],
    ) -> None:
        self.headers, self.body, self.may_go, self.ended = headers, body, may_go, ended
        self.progress, self.over, self.stream = StreamProgress.UNSENT, False, 0

    def settle(self, outcome: Outcome) -> None:
        """Report the outcome, unless one was reported before."""
        if not self.over:
            self.over = True
            self.ended(outcome)

    def fail(self, end: StreamEnd) -> None:
        """Report a failure with the call's current progress."""
        self.settle(Failed(self.progress, end))


class _Stream:
    """A call that has a stream, and the part of its response that was received."""

    __slots__ = ("call", "closed", "headers", "interim", "unsent", "received", "status")

    def __init__(self, call: Call, buffers: Buffers) -> None:
        self.call, self.unsent = call, call.body
        self.status, self.headers = 0, {}
        self.received = ByteQueue(buffers)
        self.interim = 0
        self.closed = False  # on our side: END_STREAM was written


class Session:
    """One client connection.

    Args:
        buffers: pool for the received bodies.
        now: current time, microseconds.
    """

    def __init__(self, buffers: Buffers, now: int) -> None:
        self._buffers = buffers
        self._splitter = FrameSplitter(now)
        self._codec = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=True, header_encoding="latin-1", validate_inbound_headers=True
            )
        )
        self._codec.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: 16 * 1024,
                h2.settings.SettingCodes.HEADER_TABLE_SIZE: 0,
            },
        )  # no HPACK table: so the header block of an abandoned stream can be skipped
        self._codec.initiate_connection()
        self._codec.increment_flow_control_window(CONNECTION_WINDOW - 65_535)
        self._streams: dict[int, _Stream] = {}
        self._waiting: deque[Call] = deque()
        self._block_open = False  # the codec has part of a header block
        self._written: _Stream | None = (
            None  # the stream whose END_STREAM was the last thing written
        )
        self._last = GOAWAY_ANNOUNCED  # last stream in the peer's GOAWAY
        self.draining = False  # no new streams: a GOAWAY was received, or the host is closing it
        self.ended = False
        self.speaks = True  # the peer speaks HTTP/2, as far as is known
        self.answered = 0  # number of answered streams
        self.heard = now  # when anything was received last
        self.pinged = 0  # when the unanswered PING was sent; 0: there is none
        self.fault = ""  # why it was given up

    # State.

    @property
    def settled(self) -> bool:
        """Whether the peer has sent its SETTINGS; before that no query is sent."""
        return self._splitter.settled

    @property
    def open_streams(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a stream."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Number of concurrent streams that the peer allows."""
        return min(
            ASSUMED_STREAMS if not self.settled else 1 << 20,
            self._codec.remote_settings.max_concurrent_streams,
        )

    @property
    def usable(self) -> bool:
        """Whether new calls may be submitted."""
        return (
            not self.ended
            and not self.draining
            and self._codec.highest_outbound_stream_id < MAX_STREAM_ID - 2
        )

    # Sending.

    def submit(self, call: Call) -> None:
        """Queue a call; it fails at once if the connection is not usable."""
        if self.usable:
            self._waiting.append(call)
        else:
            call.fail(StreamEnd.UNCONNECTED)

    def take_unsent(self) -> list[Call]:
        """Remove and return the waiting calls, for another connection; none of them was sent."""
        calls, self._waiting = [one for one in self._waiting if not one.over], deque()
        return calls

    def cancel(self, call: Call, end: StreamEnd) -> None:
        """Cancel one call; the other streams go on. Call `next_bytes` after it."""
        if call.over:
            return
        if call.progress is StreamProgress.UNSENT:
            self._waiting = deque(one for one in self._waiting if one is not call)
        else:
            if self.is_written_whole(call):
                # The transport still sends what it holds, ahead of the reset.
                call.progress = max(call.progress, StreamProgress.WHOLE)
            self._reset(call.stream, h2.errors.ErrorCodes.CANCEL)
        call.fail(end)

    def is_written_whole(self, call: Call) -> bool:
        """Whether END_STREAM of an open call was handed to the transport."""
        stream = self._streams.get(call.stream)
        return stream is not None and stream.closed

    def ping(self, now: int) -> None:
        """Send a PING, unless one is unanswered."""
        if not self.ended and not self.pinged:
            self.pinged = now
            self._codec.ping(now.to_bytes(8))

    def next_bytes(self) -> bytes:
        """Return the bytes to write now; empty if there is nothing to write.

        Only to be called when the kernel has accepted all that was written before.
        """
        if self._written is not None:
            self._written.call.progress = max(self._written.call.progress, StreamProgress.WHOLE)
            self._written = None
        if self.ended:
            return b""
        if data := self._codec.data_to_send():
            return data
        for number, stream in self._streams.items():
            if not stream.closed and (data := self._send_body(number, stream)):
                return data
        while self._waiting and self._may_open_stream():
            call = self._waiting.popleft()
            if call.over:
                continue
            if not call.may_go():
                call.fail(StreamEnd.WITHDRAWN)
                continue
            return self._start_stream(call)
        return b""

    def _may_open_stream(self) -> bool:
        return self.settled and self.usable and len(self._streams) < self.limit

    def _start_stream(self, call: Call) -> bytes:
        number = self._codec.get_next_available_stream_id()
        stream = _Stream(call, self._buffers)
        call.stream, call.progress = number, StreamProgress.PART
        self._streams[number] = stream
        self._codec.send_headers(number, call.headers, end_stream=not call.body)
        if call.body:
            return self._codec.data_to_send() + self._send_body(number, stream)
        stream.closed, self._written = True, stream
        return self._codec.data_to_send()

    def _send_body(self, number: int, stream: _Stream) -> bytes:
        room = min(
            self._codec.local_flow_control_window(number), self._codec.max_outbound_frame_size
        )
        if room <= 0:
            return b""
        part, stream.unsent = stream.unsent[:room], stream.unsent[room:]
        self._codec.send_data(number, part, end_stream=not stream.unsent)
        if not stream.unsent:
            stream.closed, self._written = True, stream
        return self._codec.data_to_send()

    # Receiving.

    def receive(self, now: int, data: bytes) -> None:
        """Process received bytes; raises nothing. Call `next_bytes` after it.

        Invalid input ends this connection only.
        """
        self.heard = now
        for found in self._splitter.feed(now, data):
            if self.ended:
                return
            if isinstance(found, ConnectionFault):
                self.speaks = self.speaks and found.speaks
                self.give_up(StreamEnd.FAULT, found.what)
            elif isinstance(found, Goaway):
                self._handle_goaway(found)
            elif not self._is_abandoned_head(found):
                self._decode(found)

    def _is_abandoned_head(self, frame: bytes) -> bool:
        """Return whether the frame is part of a header block for a stream that we have cancelled.

        Threat: the codec treats some of these as a connection error, so that the timeout of one
        query would end the other streams.
        """
        kind, flags, number = frame[3], frame[4], int.from_bytes(frame[5:9]) & 0x7FFFFFFF
        if (kind == Kind.CONTINUATION and self._block_open) or kind not in (
            Kind.HEADERS,
            Kind.CONTINUATION,
        ):
            self._block_open = self._block_open and not (
                kind == Kind.CONTINUATION and flags & END_HEADERS
            )
            return False
        over = (
            number not in self._streams
            and number % 2 == 1
            and 0 < number <= self._codec.highest_outbound_stream_id
        )
        self._block_open = not over and kind == Kind.HEADERS and not flags & END_HEADERS
        return over

    def _decode(self, frame: bytes) -> None:
        try:
            events = self._codec.receive_data(frame)
        except h2.exceptions.ProtocolError as error:
            self.give_up(StreamEnd.FAULT, f"{type(error).__name__}: {error}")
            return
        for event in events:
            if isinstance(event, h2.events.PingAckReceived):
                self.pinged = 0
            elif isinstance(event, h2.events.ConnectionTerminated):
                self.give_up(StreamEnd.FAULT, "the codec terminated the connection")
            elif (number := getattr(event, "stream_id", None)) and number in self._streams:
                self._dispatch(number, self._streams[number], event)
        self._acknowledge_data(events)

    def _acknowledge_data(self, events: list) -> None:
        """Reopen the flow-control windows at once; the buffers limit the memory that is used."""
        for event in events:
            if (
                isinstance(event, h2.events.DataReceived)
                and event.flow_controlled_length
                and not self.ended
            ):
                try:
                    self._codec.acknowledge_received_data(
                        event.flow_controlled_length, event.stream_id
                    )
                except h2.exceptions.ProtocolError:  # the stream is closed
                    continue

    def _dispatch(self, number: int, stream: _Stream, event: h2.events.Event) -> None:
        call = stream.call
        match event:
            case h2.events.InformationalResponseReceived():
                stream.interim += 1
                if stream.interim > MAX_INTERIM:
                    self._reject_answer(number)
            case h2.events.ResponseReceived():
                self._read_head(number, stream, event)
            case h2.events.DataReceived():
                call.progress = (
                    max(call.progress, StreamProgress.ANSWERING)
                    if call.progress >= StreamProgress.WHOLE
                    else call.progress
                )
                if stream.received.size + len(
                    event.data
                ) > MAX_BODY_BYTES or not stream.received.append(memoryview(event.data)):
                    self._reject_answer(number)
            case h2.events.StreamEnded():
                self._finish_answer(number, stream)
            case h2.events.StreamReset():
                self._forget(number)
                refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
                call.fail(StreamEnd.REFUSED if refused else StreamEnd.RESET)

    def _read_head(self, number: int, stream: _Stream, event: h2.events.ResponseReceived) -> None:
        call = stream.call
        if call.progress >= StreamProgress.WHOLE:
            call.progress = StreamProgress.ANSWERING
        headers: dict[str, str] = {}
        for name, value in event.headers or ():
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        status = headers.pop(":status", "")
        if len(headers) > MAX_HEADERS or not (
            status.isascii() and status.isdigit() and len(status) == 3
        ):
            self._reject_answer(number)
            return
        stream.status, stream.headers = int(status), headers

    def _finish_answer(self, number: int, stream: _Stream) -> None:
        call, body = stream.call, stream.received.copy(0, stream.received.size)
        whole = stream.closed and call.progress >= StreamProgress.WHOLE
        length = stream.headers.get("content-length")
        if not whole or not stream.status or (length is not None and length != str(len(body))):
            self._reject_answer(number)  # before the end of the query, or of another length
            return
        self.answered += 1
        self._forget(number)
        call.settle(Response(stream.status, stream.headers, body, True))

    def _reject_answer(self, number: int) -> None:
        call = self._streams[number].call
        self._reset(number, h2.errors.ErrorCodes.CANCEL)
        call.fail(StreamEnd.GARBLED)

    def _reset(self, number: int, code: h2.errors.ErrorCodes) -> None:
        if number in self._streams:
            self._forget(number)
            try:
                self._codec.reset_stream(number, code)
            except h2.exceptions.ProtocolError:  # already closed in the codec
                return

    def _forget(self, number: int) -> None:
        stream = self._streams.pop(number)
        stream.received.discard(stream.received.size)
        if self._written is stream:
            self._written = None

    def _handle_goaway(self, found: Goaway) -> None:
        """Process a GOAWAY: streams above its last one were never executed, the others go on."""
        if found.last > self._last:
            self.give_up(
                StreamEnd.FAULT, f"last stream of GOAWAY rises from {self._last} to {found.last}"
            )
            return
        self._last, self.draining = found.last, True
        for number in [one for one in self._streams if one > found.last]:
            call = self._streams[number].call
            self._forget(number)
            call.fail(StreamEnd.ABOVE)

    # End of the connection.

    def give_up(self, end: StreamEnd, what: str) -> None:
        """End the connection from our side because of `what`; the host closes the socket."""
        self.fault = self.fault or what
        self._end(end)

    def lost(self) -> None:
        """Register that the connection has ended."""
        self._end(StreamEnd.LOST)

    def _end(self, end: StreamEnd) -> None:
        if self.ended:
            return
        self.ended = True
        for number in list(self._streams):
            call = self._streams[number].call
            self._forget(number)
            call.fail(end)

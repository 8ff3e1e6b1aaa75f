"""One connection of a client: requests are read as they come, pipelined ones too.

Each is handed to the request handler when it is its turn, and its response leaves when those before
it have. All connections of a proxy, and what applies to each, are in `client_connections`.
"""

import asyncio
from typing import TYPE_CHECKING, cast

from umbermoor.gateway.balancing.attempt_outcomes import SINGLE_VALUE_HEADERS
from umbermoor.gateway.server.departures import Departure
from umbermoor.gateway.server.http_messages import response_bytes
from umbermoor.gateway.server.peer_transport import peer_has_ended, tune_socket
from umbermoor.gateway.server.pending_request import PendingRequest, ResponseParts
from umbermoor.gateway.server.request_audit import UnansweredCause
from umbermoor.http1.reader import Fault, Reader, Request

if TYPE_CHECKING:
    from umbermoor.gateway.server.client_connections import ClientConnections

REQUEST_TIMEOUT = 408
UNAVAILABLE = 503
DRAINING_RETRY_AFTER = {"retry-after": "0.05"}  # on a new connection another proxy is met

MAX_PIPELINED_REQUESTS = 16  # of one connection that may wait for their responses
MAX_REQUEST_S = 30.0  # a request that is not whole by then is given up, however steadily it comes
HEADER_GRACE_S = 2  # beyond the limit that the configuration sets, for a head that stopped coming
STALLED_S = 1
# Read on behind our end, as closing with unread bytes would reset what is still on its way.
LINGER_S = 0.5
# A client that does not read must take so much in MAX_REQUEST_S.
MIN_READ_BYTES = 4096


class ClientConnection(asyncio.Protocol):
    """One client's connection. The handler answers each request by `respond`."""

    __slots__ = (
        "accepted_at",
        "clients",
        "closing",
        "fin_received",
        "fin_sent",
        "last_activity",
        "lingers",
        "pending",
        "reader",
        "reading_paused",
        "request_began_at",
        "transport",
        "unread_bytes",
        "writing_paused",
    )

    def __init__(self, clients: "ClientConnections") -> None:
        self.clients = clients
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until it is made
        self.reader = Reader(
            clients.buffers,
            max_body_bytes=clients.max_body_bytes,
            single_value_headers=SINGLE_VALUE_HEADERS,
        )
        self.pending: list[PendingRequest] = []  # oldest first
        self.closing = False  # nothing more is read of it
        self.reading_paused = False
        self.writing_paused = False  # the client does not read what it was sent
        self.unread_bytes = 0  # of that
        self.fin_received = False
        self.lingers = False  # the client may still send
        self.fin_sent = False
        self.last_activity = 0.0
        self.request_began_at: float | None = None  # of a request that is partly read
        self.accepted_at = clients.clock()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins, where there are not too many."""
        self.transport = cast(asyncio.Transport, transport)
        tune_socket(transport)
        if not self.clients.admit(self):
            self.transport.abort()
            return
        self.last_activity = self.clients.clock()

    def data_received(self, data: bytes) -> None:
        """Reads requests, and starts those whose turn it is."""
        if self.closing:
            self.lingers = True  # and no more time: what it sends now is not read
            return
        now = self.last_activity = self.clients.clock()
        first_byte_at = now if self.request_began_at is None else self.request_began_at
        found: list[Request | Fault] = self.reader.feed(data)  # type: ignore[assignment]
        if not self.reader.mid_message:
            self.request_began_at = None
        elif found or self.request_began_at is None:
            self.request_began_at = self.last_activity
        for message in found:
            if isinstance(message, Fault):
                self.pending.append(PendingRequest(None, (message.status, b"", {})))
                self.closing = self.lingers = True
                break
            self.pending.append(
                PendingRequest(message, None, first_byte_at, now, len(self.pending))
            )
            first_byte_at = now
            if not message.keep_alive:
                self.closing = True
                break
        self._start_requests()
        if self.clients.drain.began:
            self.refuse_more()
        self._write_responses()
        if len(self.pending) >= MAX_PIPELINED_REQUESTS:
            self._pause_reading()

    def refuse_more(self) -> None:
        """Takes nothing more, where a request is under way.

        What was read behind it and not begun counts as not read, as the last response closes the
        connection: its client sends it again elsewhere (RFC 9112, section 9.3.2).
        """
        if not self.pending:
            return
        if not self.closing:
            self.closing = self.lingers = True
        while len(self.pending) > 1 and not self.pending[-1].started:
            self.pending.pop()

    def reject_partial(self) -> None:
        """Answers a request that is not whole; the connection closes."""
        if self.request_began_at is not None and not self.pending and not self.fin_sent:
            self._reject(UNAVAILABLE, DRAINING_RETRY_AFTER)

    def _reject(self, status: int, headers: dict[str, str]) -> None:
        """Answers a request that is not whole, and reads no more of it."""
        self.closing = self.lingers = True
        self.transport.write(response_bytes(status, b"", headers, 0))
        self._end()

    def _pause_reading(self) -> None:
        if not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """The client does not read: nothing more is started for it until it does."""
        self.writing_paused = True
        self.unread_bytes = self.transport.get_write_buffer_size()
        self.last_activity = self.clients.clock()
        if not self.closing:
            self._pause_reading()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.writing_paused = False
        self.last_activity = self.clients.clock()
        self._write_responses()
        self._start_requests()

    def _start_requests(self) -> None:
        """Starts idempotent requests at once, and any other one when it is its turn."""
        if len(self.pending) == 1:  # by far the most
            pending = self.pending[0]
            request = pending.request
            if request is not None and not pending.started and not self.writing_paused:
                self._start(pending, request)
            return
        for position, pending in enumerate(self.pending[:MAX_PIPELINED_REQUESTS]):
            request = pending.request
            if request is None or self.writing_paused:
                return
            # What is behind an idempotent request need not wait for it.
            idempotent = self.clients.handler.is_idempotent(request)
            if not pending.started:
                if position and not idempotent:
                    return
                self._start(pending, request)
            if not idempotent:
                return

    def _start(self, pending: PendingRequest, request: Request) -> None:
        pending.started = True
        if not self.clients.drain.begins_requests():
            self.respond(pending, UNAVAILABLE, b"", DRAINING_RETRY_AFTER)
            return
        self.clients.audit.begun(pending)
        self.clients.handler.handle(self, pending, request)

    def respond(
        self, pending: PendingRequest, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        """Takes the response to a request; it leaves when those before it have."""
        if pending.response is not None or self.transport is None or self.transport.is_closing():
            return
        pending.response = status, body, headers
        self._write_responses()

    def _write_responses(self) -> None:
        responses = []
        while self.pending and self.pending[0].response is not None:
            responses.append(self._next_response())
        if responses:
            self.transport.write(b"".join(responses))
            self.last_activity = self.clients.clock()
        if self.closing and not self.pending:
            self._end()
            return
        if (
            self.reading_paused
            and not self.writing_paused
            and len(self.pending) < MAX_PIPELINED_REQUESTS // 2
        ):
            self.reading_paused = False
            self.transport.resume_reading()
        if responses:
            self._start_requests()
        if not self.pending and self.reader.awaits_continue:
            if self.clients.drain.begins_requests():
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            else:
                self._reject(UNAVAILABLE, DRAINING_RETRY_AFTER)

    def _next_response(self) -> bytes:
        """Takes the first pending request off; its response, and whether it is the last."""
        pending = self.pending.pop(0)
        status, body, headers = cast(ResponseParts, pending.response)
        clients = self.clients
        keep_alive_s = clients.keep_alive_s
        if not self.pending and (self.closing or clients.drain.began):
            keep_alive_s = 0
            if not self.closing:
                self.lingers = self.closing = True
        request = pending.request
        bodiless = request is not None and request.method == "HEAD"
        return response_bytes(status, body, headers, keep_alive_s, bodiless)

    def _end(self) -> None:
        """Sends our end behind the last response.

        Where the client may still send, reading goes on until its own end, or a while.
        """
        if self.fin_sent or self.transport.is_closing():
            return
        if self.fin_received or not self.lingers:
            self.transport.close()
            return
        self.fin_sent = True
        self.last_activity = self.clients.clock()
        self.reading_paused = False
        self.transport.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:  # it has gone, which the kernel knows and this process does not yet
            self.transport.abort()

    def eof_received(self) -> bool:
        """The client sends nothing more, and has left: a closed connection looks just like this.

        What it has under way ends, but for a request that may not be repeated and was sent.
        """
        self.closing = self.fin_received = True
        self._note_departure(Departure.ENDED)
        for pending in list(self.pending):
            self.clients.handler.client_ended(pending)
        given_up = [pending for pending in self.pending if pending.active is None]
        self._report_unanswered(given_up, UnansweredCause.CLIENT_LEFT)
        self.pending = [pending for pending in self.pending if pending.active is not None]
        return bool(self.pending)

    def connection_lost(self, error: Exception | None) -> None:
        """Gives up the requests that are worked at."""
        self.clients.connections.discard(self)
        self.reader.drop()
        cause = self._unanswered_cause(error)
        self.report_unanswered(cause)
        if cause is UnansweredCause.CLIENT_LEFT:
            self._note_departure(Departure.RESET)
        for pending in self.pending:
            if pending.active is not None:
                self.clients.handler.client_left(pending)
        self.pending = []

    def _note_departure(self, how: Departure) -> None:
        """Counts the requests that are worked at: nobody may be there to read their responses."""
        now = self.clients.clock()
        for pending in self.pending:
            self.clients.handler.departures.left(pending, now, how)

    def _unanswered_cause(self, error: Exception | None) -> UnansweredCause:
        """Without an error of the network and the client's end, this process closed it."""
        if isinstance(error, OSError) or self.fin_received:
            return UnansweredCause.CLIENT_LEFT
        return UnansweredCause.CLOSED_BY_PROXY

    def report_unanswered(self, cause: UnansweredCause) -> None:
        """Counts the requests that were begun here and will get no answer."""
        if self.writing_paused:
            cause = UnansweredCause.CLIENT_STALLED
        self._report_unanswered(self.pending, cause)

    def _report_unanswered(self, given_up: list[PendingRequest], cause: UnansweredCause) -> None:
        for pending in given_up:
            if pending.started and pending.request is not None and pending.response is None:
                self.clients.audit.never_answered(pending, self.accepted_at, cause)

    def is_idle(self) -> bool:
        """Whether no request is under way, and its end is not sent yet."""
        return not self.pending and not self.reader.mid_message and not self.fin_sent

    def sweep(self, now: float, header_timeout_s: float, idle_timeout_s: float) -> None:
        """Closes it where it is idle, or slow to send its request or to read its response."""
        if self.transport is None:
            return
        if self.pending and self.reading_paused and peer_has_ended(self.transport):
            if not self.eof_received():  # its end waits behind what is not read
                self.transport.close()
            return
        idle_s = now - self.last_activity
        if self.writing_paused:
            self._sweep_slow_reader(now, idle_s)
        elif self.fin_sent:
            if idle_s > LINGER_S:
                self.transport.close()
        elif self.pending:
            return
        elif self.request_began_at is not None:
            taken_s = now - self.request_began_at
            stalled = taken_s > header_timeout_s + HEADER_GRACE_S and idle_s > STALLED_S
            if stalled or taken_s > MAX_REQUEST_S:
                self._reject(REQUEST_TIMEOUT, {})
        elif idle_s > idle_timeout_s:
            self.transport.close()

    def _sweep_slow_reader(self, now: float, idle_s: float) -> None:
        unread_bytes = self.transport.get_write_buffer_size()
        if self.unread_bytes - unread_bytes >= MIN_READ_BYTES:
            self.unread_bytes = unread_bytes
            self.last_activity = now
        elif idle_s > MAX_REQUEST_S:
            self.transport.abort()

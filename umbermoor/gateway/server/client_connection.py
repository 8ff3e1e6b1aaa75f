"""One client connection: reads requests, including pipelined ones, and writes their responses.

Each request is passed to the request handler when it may start. Responses are written in the order
of the requests. `client_connections` holds all connections of a proxy and their common limits.
"""

import asyncio
from typing import TYPE_CHECKING, cast

from umbermoor.gateway.balancing.attempt_outcomes import SINGLE_VALUE_HEADERS
from umbermoor.gateway.server.departures import Departure
from umbermoor.gateway.server.http_messages import response_bytes
from umbermoor.gateway.server.peer_transport import peer_has_sent_fin, tune_socket
from umbermoor.gateway.server.pending_request import PendingRequest, ResponseParts
from umbermoor.gateway.server.request_audit import UnansweredCause
from umbermoor.http1.reader import Fault, Reader, Request

if TYPE_CHECKING:
    from umbermoor.gateway.server.client_connections import ClientConnections

REQUEST_TIMEOUT = 408
UNAVAILABLE = 503
DRAINING_RETRY_AFTER = {"retry-after": "0.05"}  # a new connection reaches another proxy

MAX_PIPELINED_REQUESTS = 16  # per connection, waiting for their responses
MAX_REQUEST_S = 30.0  # to receive a whole request, even if its data keeps arriving
HEADER_GRACE_S = 2  # added to the configured header timeout when data has stopped arriving
STALLED_S = 1  # without data after which a partly read request counts as stalled
# Reading continues after this side's FIN: closing with unread bytes would make the kernel send a
# reset, and the client would lose response bytes that are still in transit.
LINGER_S = 0.5
# A client that reads slowly must take at least this much per MAX_REQUEST_S.
MIN_READ_BYTES = 4096


class ClientConnection(asyncio.Protocol):
    """One client connection. The request handler answers each request by calling `respond`."""

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
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # until connected
        self.reader = Reader(
            clients.buffers,
            limits=clients.message_limits,
            single_value_headers=SINGLE_VALUE_HEADERS,
        )
        self.pending: list[PendingRequest] = []  # oldest first
        self.closing = False  # no further request is read
        self.reading_paused = False
        self.writing_paused = False  # the client is not reading its responses
        self.unread_bytes = 0  # size of the write buffer when the client last made progress
        self.fin_received = False
        self.lingers = False  # the client may still send: read until its FIN before closing
        self.fin_sent = False
        self.last_activity = 0.0
        self.request_began_at: float | None = None  # first byte of a partly read request
        self.accepted_at = clients.clock()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if there are too many."""
        self.transport = cast(asyncio.Transport, transport)
        tune_socket(transport)
        if not self.clients.admit(self):
            self.transport.abort()
            return
        self.last_activity = self.clients.clock()

    def data_received(self, data: bytes) -> None:
        """Parse requests and start those that may start now."""
        if self.closing:
            # last_activity is not updated: discarded data does not extend the time limit.
            self.lingers = True
            return
        now = self.last_activity = self.clients.clock()
        self.reader.limits = self.clients.message_limits
        first_byte_at = now if self.request_began_at is None else self.request_began_at
        messages: list[Request | Fault] = self.reader.feed(data)  # type: ignore[assignment]
        if not self.reader.mid_message:
            self.request_began_at = None
        elif messages or self.request_began_at is None:
            self.request_began_at = self.last_activity
        for message in messages:
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
            self.refuse_new_requests()
        self._write_responses()
        if len(self.pending) >= MAX_PIPELINED_REQUESTS:
            self._pause_reading()

    def refuse_new_requests(self) -> None:
        """Accept no further requests if one is in progress.

        Requests that were read after it and not started are discarded as if unread. The last
        response closes the connection, so that the client sends them again on another one
        (RFC 9112, section 9.3.2).
        """
        if not self.pending:
            return
        if not self.closing:
            self.closing = self.lingers = True
        while len(self.pending) > 1 and not self.pending[-1].started:
            self.pending.pop()

    def reject_partial(self) -> None:
        """Answer a partly read request with 503 and close the connection."""
        if self.request_began_at is not None and not self.pending and not self.fin_sent:
            self._reject(UNAVAILABLE, DRAINING_RETRY_AFTER)

    def _reject(self, status: int, headers: dict[str, str]) -> None:
        """Answer a partly read request and read no more of it."""
        self.closing = self.lingers = True
        self.transport.write(response_bytes(status, b"", headers, 0))
        self._finish_sending()

    def _pause_reading(self) -> None:
        if not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """Start no more requests while the client is not reading its responses."""
        self.writing_paused = True
        self.unread_bytes = self.transport.get_write_buffer_size()
        self.last_activity = self.clients.clock()
        if not self.closing:
            self._pause_reading()

    def resume_writing(self) -> None:
        """Write pending responses and start requests: the client is reading again."""
        self.writing_paused = False
        self.last_activity = self.clients.clock()
        self._write_responses()
        self._start_requests()

    def _start_requests(self) -> None:
        """Start requests that may start now.

        An idempotent request may run beside other idempotent ones; any other request runs alone,
        once it is the first one pending.
        """
        if len(self.pending) == 1:  # by far the most common case
            pending = self.pending[0]
            request = pending.request
            if request is not None and not pending.started and not self.writing_paused:
                self._start(pending, request)
            return
        for position, pending in enumerate(self.pending[:MAX_PIPELINED_REQUESTS]):
            request = pending.request
            if request is None or self.writing_paused:
                return
            # Requests after an idempotent one need not wait for its response.
            idempotent = self.clients.handler.is_idempotent(request)
            if not pending.started:
                if position and not idempotent:
                    return
                self._start(pending, request)
            if not idempotent:
                return

    def _start(self, pending: PendingRequest, request: Request) -> None:
        pending.started = True
        if not self.clients.drain.may_start_requests():
            self.respond(pending, UNAVAILABLE, b"", DRAINING_RETRY_AFTER)
            return
        self.clients.audit.request_started(pending)
        self.clients.handler.handle(self, pending, request)

    def respond(
        self, pending: PendingRequest, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        """Set the response to a request; it is written after the responses to earlier requests."""
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
            self._finish_sending()
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
            if self.clients.drain.may_start_requests():
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            else:
                self._reject(UNAVAILABLE, DRAINING_RETRY_AFTER)

    def _next_response(self) -> bytes:
        """Remove the first pending request and return its response.

        The response carries `connection: close` if it is the last one on this connection.
        """
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

    def _finish_sending(self) -> None:
        """Close the connection, or only its sending side, after the last response.

        If the client may still be sending, send a FIN and keep reading until the client's FIN or
        for LINGER_S.
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
        except OSError:  # the kernel has already seen the client leave
            self.transport.abort()

    def eof_received(self) -> bool:
        """Treat the client's FIN as its departure, as a closed connection looks the same.

        Its requests end, except a non-idempotent one that was already sent to an instance.
        """
        self.closing = self.fin_received = True
        self._note_departure(Departure.ENDED)
        for pending in list(self.pending):
            self.clients.handler.client_half_closed(pending)
        given_up = [pending for pending in self.pending if pending.active is None]
        self._report_unanswered(given_up, UnansweredCause.CLIENT_LEFT)
        self.pending = [pending for pending in self.pending if pending.active is not None]
        return bool(self.pending)

    def connection_lost(self, error: Exception | None) -> None:
        """Give up the requests in progress on this connection."""
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
        """Count the requests in progress: their client may no longer read the responses."""
        now = self.clients.clock()
        for pending in self.pending:
            self.clients.handler.departures.record_departure(pending, now, how)

    def _unanswered_cause(self, error: Exception | None) -> UnansweredCause:
        """Return why pending requests stay unanswered.

        Without a network error or a FIN from the client, this process closed the connection.
        """
        if isinstance(error, OSError) or self.fin_received:
            return UnansweredCause.CLIENT_LEFT
        return UnansweredCause.CLOSED_BY_PROXY

    def report_unanswered(self, cause: UnansweredCause) -> None:
        """Count the requests of this connection that were started and will not be answered."""
        if self.writing_paused:
            cause = UnansweredCause.CLIENT_STALLED
        self._report_unanswered(self.pending, cause)

    def _report_unanswered(self, given_up: list[PendingRequest], cause: UnansweredCause) -> None:
        for pending in given_up:
            if pending.started and pending.request is not None and pending.response is None:
                self.clients.audit.request_unanswered(pending, self.accepted_at, cause)

    def is_idle(self) -> bool:
        """Whether no request is pending or partly read, and no FIN was sent yet."""
        return not self.pending and not self.reader.mid_message and not self.fin_sent

    def sweep(self, now: float, header_timeout_s: float, idle_timeout_s: float) -> None:
        """Close the connection if it is idle, or if the client sends or reads too slowly."""
        if self.transport is None:
            return
        if self.pending and self.reading_paused and peer_has_sent_fin(self.transport):
            if not self.eof_received():  # its FIN is queued behind data that is not read
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
            receiving_s = now - self.request_began_at
            stalled = receiving_s > header_timeout_s + HEADER_GRACE_S and idle_s > STALLED_S
            if stalled or receiving_s > MAX_REQUEST_S:
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

"""Calls in progress of this replica's host: puts are sent to the head, reads to the tail.

A call that gets no answer in time ends as UNAVAILABLE, although it may still be carried out. A put
is sent to a second head only if the first refused it, because otherwise the first may have applied
it. Times are whole microseconds.
"""

from dataclasses import dataclass, field

from umbermoor.gateway.effects import CallResult, Decision, JsonValue, Outcome, Status
from umbermoor.gateway.replication import codec
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.messages import (
    PutDone,
    PutRefused,
    PutRequest,
    ReadReply,
    ReadRequest,
)
from umbermoor.gateway.replication.state_transfer import StateTransfer
from umbermoor.gateway.replication.stored_records import json_bytes
from umbermoor.gateway.replication.view_activation import ViewActivation
from umbermoor.gateway.units import MILLISECOND

CALL_TIMEOUT = 700 * MILLISECOND
RESEND_INTERVAL = 150 * MILLISECOND
MAX_CALLS = 1024  # calls in progress; further calls are answered UNAVAILABLE
AFTER_ANY_DEADLINE = 1 << 62  # us; later than the deadline of any call

STATUS_OF_OUTCOME = {  # all other outcomes map to OK
    Outcome.CONFLICT: Status.CONFLICT,
    Outcome.NOT_FOUND: Status.NOT_FOUND,
}


@dataclass(slots=True)
class PendingCall:
    """A call that is not answered yet."""

    request_id: int  # the host's number for the call
    deadline: int
    put: tuple[str, JsonValue] | None  # key and value; None for a read
    epoch: int = 0  # epoch of the view that it was sent to; 0: not sent, or refused
    sent_at: int = 0

    def is_in_doubt(self, epoch: int) -> bool:
        """Whether this is a put sent to an earlier head, which may or may not have applied it."""
        return self.put is not None and 0 < self.epoch < epoch

    def is_due(self, now: int, epoch: int) -> bool:
        """Whether to send the call now to the view of `epoch`."""
        if self.epoch == epoch:
            return now - self.sent_at >= RESEND_INTERVAL
        return self.put is None or self.epoch == 0


@dataclass(slots=True)
class PendingCalls:
    """The pending calls, by numbers that increase within an incarnation."""

    _calls: dict[int, PendingCall] = field(default_factory=dict)
    _next_number: int = 1

    def add(self, now: int, request_id: int, put: tuple[str, JsonValue] | None) -> bool:
        """Add a call; return False, and add nothing, if there are MAX_CALLS already."""
        if len(self._calls) >= MAX_CALLS:
            return False
        self._calls[self._next_number] = PendingCall(request_id, now + CALL_TIMEOUT, put)
        self._next_number += 1
        return True

    def remove(self, number: int) -> PendingCall | None:
        """Remove and return a call; None if it has ended already."""
        return self._calls.pop(number, None)

    def mark_unsent(self, number: int, epoch: int) -> None:
        """Let the call be sent to the next head, as the head of `epoch` will not apply it."""
        call = self._calls.get(number)
        if call and call.epoch == epoch:
            call.epoch = 0

    def take_expired(self, now: int, epoch: int) -> list[int]:
        """Remove the calls that are past their deadline or in doubt; return their `request_id`s.

        `epoch` is that of the newest active view.
        """
        expired = [
            number
            for number, call in self._calls.items()
            if now >= call.deadline or call.is_in_doubt(epoch)
        ]
        return [self._calls.pop(number).request_id for number in expired]

    def take_due(self, now: int, epoch: int) -> list[tuple[int, PendingCall]]:
        """Return the calls to send now to the view of `epoch`, and mark them as sent."""
        due = []
        for number, call in self._calls.items():
            if call.is_due(now, epoch):
                call.epoch, call.sent_at = epoch, now
                due.append((number, call))
        return due


class Requests:
    """Sends the host's calls to the head or tail, and reports their results to the host."""

    def __init__(
        self, context: Context, transfer: StateTransfer, activation: ViewActivation
    ) -> None:
        self._context, self._transfer = context, transfer
        self._calls = PendingCalls()
        activation.subscribe(self.send_due)

    def put(self, request_id: int, key: str, value: JsonValue) -> None:
        """Begin a conditional write; INVALID if the key is too long or the value is not JSON."""
        if not _is_valid_put(key, value):
            self._context.outbox.finish(CallResult(request_id, Status.INVALID))
        else:
            self._begin(request_id, (key, value))
        self.send_due()

    def read(self, request_id: int) -> None:
        """Begin a read."""
        self._begin(request_id, None)
        self.send_due()

    def _begin(self, request_id: int, put: tuple[str, JsonValue] | None) -> None:
        context = self._context
        if not context.is_usable or not self._calls.add(context.now, request_id, put):
            context.outbox.finish(CallResult(request_id, Status.UNAVAILABLE))

    def send_due(self) -> None:
        """End the calls whose outcome can no longer be known; send or resend those that are due."""
        context = self._context
        active = context.views.active
        # A replica that was removed from the set gets no more answers, so all its calls end now.
        now = context.now if context.is_member else AFTER_ANY_DEADLINE
        for request_id in self._calls.take_expired(now, active.epoch):
            context.outbox.finish(CallResult(request_id, Status.UNAVAILABLE))
        if not active.epoch or not context.is_usable:
            return
        for number, call in self._calls.take_due(context.now, active.epoch):
            self._send(number, call)

    def _send(self, number: int, call: PendingCall) -> None:
        context = self._context
        epoch, chain = context.views.active
        incarnation = context.identity.incarnation
        if call.put is None:
            read = ReadRequest(epoch, incarnation, number, context.map.version)
            context.outbox.send(chain[-1], read)
        else:
            key, value = call.put
            context.outbox.send(chain[0], PutRequest(epoch, incarnation, number, key, value))

    def on_done(self, sender: str, message: PutDone) -> None:
        """Report the decision on a put to the host."""
        if message.incarnation != self._context.identity.incarnation:
            return
        call = self._calls.remove(message.number)
        if call:
            decision = Decision(message.outcome, None, message.reason)
            status = STATUS_OF_OUTCOME.get(message.outcome, Status.OK)
            self._context.outbox.finish(CallResult(call.request_id, status, decision))

    def on_refused(self, sender: str, message: PutRefused) -> None:
        """Handle the refusal of a put by a head that has promised a later epoch."""
        if message.incarnation == self._context.identity.incarnation:
            self._calls.mark_unsent(message.number, message.epoch)

    def on_read_reply(self, sender: str, message: ReadReply) -> None:
        """Report a read's result to the host, unless the map here is older than the reply's."""
        context = self._context
        if message.incarnation != context.identity.incarnation:
            return
        if message.state is not None:
            self._transfer.learn_committed(message.version, message.state)
        if context.map.version < message.version:
            return
        call = self._calls.remove(message.number)
        if call:
            committed = dict(context.map.committed)
            context.outbox.finish(CallResult(call.request_id, Status.OK, committed))


def _is_valid_put(key: str, value: JsonValue) -> bool:
    try:
        return codec.is_key(key) and bool(json_bytes(value))
    except (TypeError, ValueError, RecursionError):
        return False

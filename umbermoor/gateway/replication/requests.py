"""Calls of this replica's host that are under way: puts go to the head, reads to the tail.

A call that cannot be answered in time is answered UNAVAILABLE, and may be done nevertheless. A put
is never handed to two heads: the first may have done it. Times are whole microseconds.
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
MAX_CALLS = 1024  # under way; more are answered UNAVAILABLE
FOREVER = 1 << 62  # us

STATUS_OF_OUTCOME = {  # of the others: OK
    Outcome.CONFLICT: Status.CONFLICT,
    Outcome.NOT_FOUND: Status.NOT_FOUND,
}


@dataclass(slots=True)
class PendingCall:
    """A call that is not answered."""

    request_id: int  # the host's number
    until: int
    put: tuple[str, JsonValue] | None  # key and value; None: a read
    epoch: int = 0  # of the view that it was handed to, 0: to none
    sent_at: int = 0

    def is_lost(self, epoch: int) -> bool:
        """Whether it was handed to an earlier head, which may have done it or not."""
        return self.put is not None and 0 < self.epoch < epoch

    def is_due(self, now: int, epoch: int) -> bool:
        """Whether it is to be sent now, in that epoch."""
        if self.epoch == epoch:
            return now - self.sent_at >= RESEND_INTERVAL
        return self.put is None or self.epoch == 0


@dataclass(slots=True)
class PendingCalls:
    """All of them, by numbers that rise in an incarnation."""

    _calls: dict[int, PendingCall] = field(default_factory=dict)
    _next: int = 1

    def add(self, now: int, request_id: int, put: tuple[str, JsonValue] | None) -> bool:
        """Note one more; whether there is room."""
        if len(self._calls) >= MAX_CALLS:
            return False
        self._calls[self._next] = PendingCall(request_id, now + CALL_TIMEOUT, put)
        self._next += 1
        return True

    def end(self, number: int) -> PendingCall | None:
        """Take that one out; None if it has ended."""
        return self._calls.pop(number, None)

    def refused(self, number: int, epoch: int) -> None:
        """The head of that epoch will not take this one: the next may."""
        call = self._calls.get(number)
        if call and call.epoch == epoch:
            call.epoch = 0

    def take_expired(self, now: int, epoch: int) -> list[int]:
        """Take out what can no longer be told: `request_id`s; `epoch` is the newest active."""
        expired = [
            number
            for number, call in self._calls.items()
            if now >= call.until or call.is_lost(epoch)
        ]
        return [self._calls.pop(number).request_id for number in expired]

    def take_due(self, now: int, epoch: int) -> list[tuple[int, PendingCall]]:
        """What is to be sent now in that epoch, marked as sent."""
        due = []
        for number, call in self._calls.items():
            if call.is_due(now, epoch):
                call.epoch, call.sent_at = epoch, now
                due.append((number, call))
        return due


class Requests:
    """Sends calls along, and ends them."""

    def __init__(
        self, context: Context, transfer: StateTransfer, activation: ViewActivation
    ) -> None:
        self._context, self._transfer = context, transfer
        self._calls = PendingCalls()
        activation.subscribe(self.send_due)

    def put(self, request_id: int, key: str, value: JsonValue) -> None:
        """Begin a conditional write; INVALID if the key is too long, or the value is not JSON's."""
        if not _is_fit(key, value):
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
        """End what can no longer be told; send what was not sent, or is to be sent again."""
        context = self._context
        active = context.views.active
        # One that was taken out can tell nothing any more: at once.
        now = context.now if context.is_member else FOREVER
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
        """A put has ended."""
        if message.incarnation != self._context.identity.incarnation:
            return
        call = self._calls.end(message.number)
        if call:
            decision = Decision(message.outcome, None, message.reason)
            status = STATUS_OF_OUTCOME.get(message.outcome, Status.OK)
            self._context.outbox.finish(CallResult(call.request_id, status, decision))

    def on_refused(self, sender: str, message: PutRefused) -> None:
        """The head has promised a later epoch."""
        if message.incarnation == self._context.identity.incarnation:
            self._calls.refused(message.number, message.epoch)

    def on_read_reply(self, sender: str, message: ReadReply) -> None:
        """A read has ended, unless what it needs is not held here."""
        context = self._context
        if message.incarnation != context.identity.incarnation:
            return
        if message.state is not None:
            self._transfer.learn_committed(message.version, message.state)
        if context.map.version < message.version:
            return
        call = self._calls.end(message.number)
        if call:
            committed = dict(context.map.committed)
            context.outbox.finish(CallResult(call.request_id, Status.OK, committed))


def _is_fit(key: str, value: JsonValue) -> bool:
    try:
        return codec.is_key(key) and bool(json_bytes(value))
    except (TypeError, ValueError, RecursionError):
        return False

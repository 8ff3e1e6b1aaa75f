"""The chain: writes go from the head to the tail, acknowledgements back.

Each replica syncs a write before it hands it on, so what the tail has synced all have, and that is
committed. Source: van Renesse and Schneider, Chain Replication (2004). Sequence numbers count the
writes of a view from 1 on.
"""

from collections import deque
from collections.abc import Callable, Sequence
from functools import partial

from umbermoor.gateway.effects import Decision, Outcome
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.messages import Acknowledge, Append, Entry
from umbermoor.gateway.replication.put_replies import send_decision
from umbermoor.gateway.replication.stored_records import Records, version_record
from umbermoor.gateway.replication.timing import ACKNOWLEDGE_TIMEOUT, APPEND_RETRY
from umbermoor.gateway.replication.view_activation import ViewActivation

BATCH = 16  # entries in a message


class Chain:
    """The writes of the view joined that are not known to be committed."""

    def __init__(self, context: Context, activation: ViewActivation) -> None:
        self._context, self._activation = context, activation
        self._listeners: list[Callable[[], None]] = []
        self._pending: deque[Entry] = deque()  # the last one is that of the map's last sequence
        self._synced = context.map.last_sequence
        self._sent = 0  # to the successor
        self._acknowledged = 0  # by the successor
        self._sent_at = 0
        self._progress_at = 0  # when the successor last acknowledged, or was first sent, something

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Have it called whenever more is committed."""
        self._listeners.append(listener)

    def reset(self) -> None:
        """Another view was accepted: its writes begin anew."""
        self._pending.clear()
        self._sent = self._acknowledged = self._synced = 0

    @property
    def uncommitted(self) -> int:
        """How many writes are on their way."""
        return len(self._pending)

    @property
    def pending(self) -> tuple[Entry, ...]:
        """The writes on their way."""
        return tuple(self._pending)

    @property
    def is_stalled(self) -> bool:
        """Whether the successor has acknowledged nothing for too long."""
        is_waiting = self._acknowledged < self._sent
        return is_waiting and self._context.now - self._progress_at > ACKNOWLEDGE_TIMEOUT

    def append(self, entries: Sequence[Entry]) -> None:
        """Write these next; they are handed on once they are synced."""
        context = self._context
        records: Records = {}
        for entry in entries:
            self._pending.append(entry)
            records |= context.map.apply(entry)
        epoch, sequence = context.views.joined, context.map.last_sequence
        records |= version_record((epoch, sequence))
        context.disk.enqueue(records, "entries", partial(self._on_synced, epoch, sequence))

    def _on_synced(self, epoch: int, sequence: int) -> None:
        if epoch != self._context.views.joined:
            return
        self._synced = max(self._synced, sequence)
        if self._context.views.successor is None:
            self.commit(self._synced)
        else:
            self._forward()
        self._acknowledge()

    def _forward(self) -> None:
        """Hand on what is synced here and was not handed on."""
        if self._sent < self._synced and self._acknowledged == self._sent:
            self._progress_at = self._context.now
        while self._sent < self._synced:
            self._sent = self._send_batch(self._sent + 1)

    def _send_batch(self, first: int) -> int:
        """Send the entries from `first` on; the sequence number of the last one sent."""
        context = self._context
        first_pending = context.map.last_sequence - len(self._pending) + 1
        last = min(self._synced, first + BATCH - 1)
        entries = tuple(
            self._pending[sequence - first_pending] for sequence in range(first, last + 1)
        )
        committed = max(0, context.committed_sequence)
        append = Append(context.views.joined, first, entries, committed)
        context.outbox.send(context.views.successor or "", append)
        self._sent_at = context.now
        return last

    def retry(self) -> None:
        """Send again what the successor has not acknowledged."""
        views = self._context.views
        if not views.joined or self._acknowledged >= self._sent:
            return
        if self._context.now - self._sent_at >= APPEND_RETRY:
            self._send_batch(self._acknowledged + 1)

    def on_append(self, sender: str, message: Append) -> None:
        """The predecessor hands writes on."""
        context, views = self._context, self._context.views
        if not views.joined or message.epoch != views.joined or sender != views.predecessor:
            return
        self._activation.activate_accepted()  # a head takes nothing before
        self.commit(message.committed)
        expected = context.map.last_sequence + 1
        entries = message.entries[max(0, expected - message.first) :]
        # Fencing: a later view needs the promises of a quorum, each synced before it is sent
        # (acceptor), and this chain is a quorum too. So once a later view can be active, a replica
        # here has promised its epoch and refuses what an earlier head still sends.
        if entries and message.first <= expected and views.promise == views.joined:
            self.append(entries)
        else:
            self._acknowledge()

    def _acknowledge(self) -> None:
        context = self._context
        predecessor = context.views.predecessor
        if not predecessor:
            return
        committed = max(0, context.committed_sequence)
        context.outbox.send(predecessor, Acknowledge(context.views.joined, self._synced, committed))

    def on_acknowledge(self, sender: str, message: Acknowledge) -> None:
        """The successor has synced writes, or knows more to be committed."""
        views = self._context.views
        if not views.joined or message.epoch != views.joined or sender != views.successor:
            return
        if self._acknowledged < message.synced <= self._sent:
            self._acknowledged, self._progress_at = message.synced, self._context.now
        if self.commit(message.committed):
            self._acknowledge()

    def commit(self, sequence: int) -> bool:
        """The tail has synced the view's writes up to there; whether that was news."""
        context = self._context
        committed = context.committed_sequence
        target = min(sequence, self._synced)
        if committed < 0 or target <= committed:
            return False
        for _ in range(target - committed):
            self._commit_next()
        context.map.commit_version((context.views.joined, target))
        self._acknowledged = max(self._acknowledged, min(target, self._sent))
        for listener in self._listeners:
            listener()
        return True

    def _commit_next(self) -> None:
        entry = self._pending.popleft()
        self._context.map.commit(entry)
        if self._context.views.successor is None:
            send_decision(self._context, entry.call, Decision(Outcome.ACCEPTED))

"""The chain: writes pass from the head to the tail, acknowledgements pass back to the head.

Each replica syncs a write before it forwards it. A write that the tail has synced is therefore on
the disk of every replica of the chain, and counts as committed. Sequence numbers count the writes
of a view from 1.

Source: van Renesse and Schneider, Chain Replication (2004).
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

MAX_BATCH_ENTRIES = 16  # most entries in one `Append` message


class Chain:
    """Forwards the writes of the joined view and tracks those not yet known to be committed."""

    def __init__(self, context: Context, activation: ViewActivation) -> None:
        self._context, self._activation = context, activation
        self._listeners: list[Callable[[], None]] = []
        self._pending: deque[Entry] = deque()  # the last entry has number `map.last_sequence`
        self._synced = context.map.last_sequence
        self._sent = 0  # last sequence number sent to the successor
        self._acknowledged = 0  # last sequence number that the successor acknowledged
        self._sent_at = 0
        # When the successor last acknowledged a write, or was first sent one while it owed none.
        self._progress_at = 0

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever further writes are committed."""
        self._listeners.append(listener)

    def reset(self) -> None:
        """Drop all pending writes: another view was accepted, whose writes count from 1."""
        self._pending.clear()
        self._sent = self._acknowledged = self._synced = 0

    @property
    def uncommitted(self) -> int:
        """Number of writes not yet known to be committed."""
        return len(self._pending)

    @property
    def pending(self) -> tuple[Entry, ...]:
        """Writes not yet known to be committed, in order."""
        return tuple(self._pending)

    @property
    def is_stalled(self) -> bool:
        """Whether the successor owes acknowledgements and has sent none for ACKNOWLEDGE_TIMEOUT."""
        is_waiting = self._acknowledged < self._sent
        return is_waiting and self._context.now - self._progress_at > ACKNOWLEDGE_TIMEOUT

    def append(self, entries: Sequence[Entry]) -> None:
        """Apply the entries and write them to disk; forward them once they are synced."""
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
        """Send the successor every entry that is synced here and was not sent yet."""
        if self._sent < self._synced and self._acknowledged == self._sent:
            self._progress_at = self._context.now
        while self._sent < self._synced:
            self._sent = self._send_batch(self._sent + 1)

    def _send_batch(self, first: int) -> int:
        """Send a batch of entries from `first` on; return the last sequence number sent."""
        context = self._context
        first_pending = context.map.last_sequence - len(self._pending) + 1
        last = min(self._synced, first + MAX_BATCH_ENTRIES - 1)
        entries = tuple(
            self._pending[sequence - first_pending] for sequence in range(first, last + 1)
        )
        committed = max(0, context.committed_sequence)
        append = Append(context.views.joined, first, entries, committed)
        context.outbox.send(context.views.successor or "", append)
        self._sent_at = context.now
        return last

    def retry(self) -> None:
        """Resend the first batch not acknowledged if nothing was sent for APPEND_RETRY."""
        views = self._context.views
        if not views.joined or self._acknowledged >= self._sent:
            return
        if self._context.now - self._sent_at >= APPEND_RETRY:
            self._send_batch(self._acknowledged + 1)

    def on_append(self, sender: str, message: Append) -> None:
        """Handle writes that the predecessor forwards."""
        context, views = self._context, self._context.views
        if not views.joined or message.epoch != views.joined or sender != views.predecessor:
            return
        # The head takes no write before its view is active, so this message proves that it is.
        self._activation.activate_accepted()
        self.commit(message.committed)
        expected = context.map.last_sequence + 1
        entries = message.entries[max(0, expected - message.first) :]
        # Fencing: a later view needs promises from a quorum, each synced before it is sent (see
        # `acceptor`). The members of this chain are a quorum too, and any two quorums share a
        # replica. So before a later view can become active, at least one replica of this chain
        # has promised its epoch, and that replica refuses writes that the earlier head still sends.
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
        """Handle the successor's report of what it has synced and knows to be committed."""
        views = self._context.views
        if not views.joined or message.epoch != views.joined or sender != views.successor:
            return
        if self._acknowledged < message.synced <= self._sent:
            self._acknowledged, self._progress_at = message.synced, self._context.now
        if self.commit(message.committed):
            self._acknowledge()

    def commit(self, sequence: int) -> bool:
        """Commit writes up to `sequence`, as the tail has synced them.

        Never commits beyond what is synced here. Returns whether any write was newly committed.
        """
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

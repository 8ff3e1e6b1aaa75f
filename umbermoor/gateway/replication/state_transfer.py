"""Transfer of state to replicas that lack it.

A replica whose disk was lost must ask the other members which epochs they have promised before it
may be given a view's state. Learners and replicas outside the chain fetch the committed state:
docs/replication.md.
"""

from collections.abc import Mapping

from umbermoor.gateway.effects import JsonValue
from umbermoor.gateway.replication.chain import Chain
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.messages import (
    Fetch,
    Fetched,
    PromiseQuery,
    PromiseQueryReply,
)
from umbermoor.gateway.replication.stored_records import learner_version_record
from umbermoor.gateway.replication.timing import (
    DISK_LOSS_QUARANTINE,
    FETCH_INTERVAL,
    RETRY_INTERVAL,
)
from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.replication.view_activation import ViewActivation


class StateTransfer:
    """Collects promises after a loss of the disk, and fetches and serves the committed state."""

    def __init__(self, context: Context, chain: Chain, activation: ViewActivation) -> None:
        self._context, self._chain, self._activation = context, chain, activation
        self._nonce = 0  # of the queries for promises; 0: none was sent
        self._promises: dict[str, int] = {}  # member -> the epoch that it reported as promised
        self._asked_at = 0
        self._fetched_at = -FETCH_INTERVAL
        self.learner_state_synced = False  # a learner synced the state it received
        context.sets.subscribe(self._discard_promises)
        activation.subscribe(self._fetch_soon)

    def _discard_promises(self) -> None:
        """Discard the collected promises: the members changed and must be asked again."""
        self._promises, self._nonce = {}, 0

    def view_synced(self) -> None:
        """Discard the collected promises: a view's state is on disk, so they no longer matter."""
        self._promises = {}

    @property
    def ready_to_fill(self) -> bool:
        """Whether enough other members have reported their promises.

        They are enough if every majority that may have promised an epoch before the loss contains
        one of them.
        """
        context = self._context
        if not context.lifecycle.disk_lost or not context.sets.names:
            return False
        return context.sets.current.intersects_all_majorities(self._promises)

    @property
    def promise_floor(self) -> int:
        """The highest promise that was reported; this replica must accept only later epochs.

        No majority that counted a promise from the lost disk has promised a higher epoch, because
        each such majority contains a member that has reported.
        """
        return max(self._promises.values(), default=0)

    def ask_promises(self) -> None:
        """Query the others' promises, at intervals of RETRY_INTERVAL.

        Starts only DISK_LOSS_QUARANTINE after the process did, when no promise that this replica
        gave before the loss can count for a proposer any more.
        """
        context = self._context
        if self.ready_to_fill:
            return
        if context.now - context.started_at < DISK_LOSS_QUARANTINE:
            return
        if context.now - self._asked_at < RETRY_INTERVAL:
            return
        self._asked_at = context.now
        self._nonce = self._nonce or context.rng.getrandbits(48)
        for name in context.others():
            if name not in self._promises:
                context.outbox.send(name, PromiseQuery(self._nonce))

    def on_promise_query(self, sender: str, message: PromiseQuery) -> None:
        """Answer a replica whose disk was lost, if this replica itself counts in a majority."""
        if self._context.may_vote:
            reply = PromiseQueryReply(message.nonce, self._context.views.promise)
            self._context.outbox.send(sender, reply)

    def on_promise_reply(self, sender: str, message: PromiseQueryReply) -> None:
        """Record the promise that another member reports."""
        is_asked = self._context.lifecycle.disk_lost and self._nonce
        if is_asked and message.nonce == self._nonce:
            self._promises[sender] = message.promise

    def learn_committed(self, version: Version, state: Mapping[str, JsonValue]) -> None:
        """Take over a committed state that other replicas know, if it is newer than the own one.

        If it is of the view joined here, that view is active, and the pending writes up to its
        sequence number are committed. If it is of another view, the state replaces the committed
        map; a learner also writes it to its disk.
        """
        context, views = self._context, self._context.views
        if version <= context.map.version:
            return
        epoch, sequence = version
        if epoch == views.joined and views.accepted.epoch == views.joined:
            self._activation.activate_accepted()
            self._chain.commit(sequence)
        if version > context.map.version and epoch != views.joined:
            context.map.adopt(version, state)
            if context.lifecycle.disk_lost and not context.is_member:
                self._store_learner_state(version, state)

    def _store_learner_state(self, version: Version, state: Mapping[str, JsonValue]) -> None:
        """Write the received state to the learner's disk.

        This shows that its disk takes writes, and leaves little to write when it becomes a member.
        """
        context = self._context
        records = context.map.diff_records(state)
        context.map.fill(state)
        context.disk.enqueue(
            {**records, **learner_version_record(version)}, "fill", self._on_learner_state_synced
        )

    def _on_learner_state_synced(self) -> None:
        self.learner_state_synced = True

    def _fetch_soon(self) -> None:
        """Let the next `catch_up` fetch without delay: a newer view is active."""
        self._fetched_at = self._context.now - FETCH_INTERVAL

    def catch_up(self) -> None:
        """Fetch newer committed state if this replica is outside the chain.

        A member whose disk was lost does not fetch; it is given the state with the next view.
        """
        context = self._context
        is_to_be_filled = context.lifecycle.disk_lost and context.is_member
        if context.views.serving or is_to_be_filled:
            return
        if context.now - self._fetched_at < FETCH_INTERVAL:
            return
        ahead = [
            name
            for name, peer in context.peers.heard(context.now).items()
            if peer.heartbeat.serving and peer.committed > context.map.version
        ]
        if ahead:
            self._fetched_at = context.now
            context.outbox.send(context.rng.choice(ahead), Fetch(context.map.version))

    def on_fetch(self, sender: str, message: Fetch) -> None:
        """Send the committed map to a replica that holds an older version."""
        own_map = self._context.map
        if message.version < own_map.version:
            self._context.outbox.send(sender, Fetched(own_map.version, dict(own_map.committed)))

    def on_fetched(self, sender: str, message: Fetched) -> None:
        """Take over the committed map that was fetched."""
        self.learn_committed(message.version, message.state)

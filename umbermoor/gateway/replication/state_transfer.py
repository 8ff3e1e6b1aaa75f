"""How a replica gets the state that it lacks.

One whose disk was lost asks what was promised before it may be given a view's state; learners and
those outside the chain fetch what is committed: docs/replication.md.
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
    """Promises asked for after a loss of the disk, and fetches of what is committed."""

    def __init__(self, context: Context, chain: Chain, activation: ViewActivation) -> None:
        self._context, self._chain, self._activation = context, chain, activation
        self._nonce = 0  # of the questions for promises; 0: none was asked
        self._promises: dict[str, int] = {}  # as told, by member
        self._asked_at = 0
        self._fetched_at = -FETCH_INTERVAL
        self.learner_filled = False  # a learner's disk has taken what it learnt
        context.sets.subscribe(self._void_promises)
        activation.subscribe(self._fetch_soon)

    def _void_promises(self) -> None:
        """The members have changed: who promised has to be asked anew."""
        self._promises, self._nonce = {}, 0

    def view_synced(self) -> None:
        """A view's state is on disk: what others promised no longer matters."""
        self._promises = {}

    @property
    def ready_to_fill(self) -> bool:
        """Whether enough others told what they promised.

        Every majority that promised before has one among them.
        """
        context = self._context
        if not context.lifecycle.disk_lost or not context.sets.names:
            return False
        return context.sets.current.intersects_all_majorities(self._promises)

    @property
    def promise_floor(self) -> int:
        """What was promised on the disk that was lost is no higher."""
        return max(self._promises.values(), default=0)

    def ask_promises(self) -> None:
        """Ask the others, once promises from before the loss can no longer come to count."""
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
        """One whose disk was lost asks."""
        if self._context.may_vote:
            reply = PromiseQueryReply(message.nonce, self._context.views.promise)
            self._context.outbox.send(sender, reply)

    def on_promise_reply(self, sender: str, message: PromiseQueryReply) -> None:
        """One of the others tells."""
        is_asked = self._context.lifecycle.disk_lost and self._nonce
        if is_asked and message.nonce == self._nonce:
            self._promises[sender] = message.promise

    def learn_committed(self, version: Version, state: Mapping[str, JsonValue]) -> None:
        """Others know that to be committed."""
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
                self._fill_learner(version, state)

    def _fill_learner(self, version: Version, state: Mapping[str, JsonValue]) -> None:
        """A learner writes what it learns.

        That shows that its disk takes writes, and who is taken in writes little then.
        """
        context = self._context
        records = context.map.records_to_become(state)
        context.map.fill(state)
        context.disk.enqueue(
            {**records, **learner_version_record(version)}, "fill", self._on_learner_filled
        )

    def _on_learner_filled(self) -> None:
        self.learner_filled = True

    def _fetch_soon(self) -> None:
        """A newer view is active: whoever is outside of it asks at once."""
        self._fetched_at = self._context.now - FETCH_INTERVAL

    def catch_up(self) -> None:
        """One outside the chain fetches what is committed beyond what it holds."""
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
        """One outside the chain asks."""
        held = self._context.map
        if message.version < held.version:
            self._context.outbox.send(sender, Fetched(held.version, dict(held.committed)))

    def on_fetched(self, sender: str, message: Fetched) -> None:
        """What was asked for."""
        self.learn_committed(message.version, message.state)

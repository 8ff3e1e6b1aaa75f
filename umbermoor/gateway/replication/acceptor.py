"""The acceptor: promises epochs, and accepts views together with their initial state.

Source: Lamport, Paxos Made Simple (2001). A promise or an acceptance is sent only once it is
synced to disk. A replica whose disk was lost sends promises that do not count, and accepts no view
up to the highest epoch that it may have promised before the loss: docs/replication.md.
"""

from collections.abc import Mapping
from functools import partial

from umbermoor.gateway.effects import JsonValue
from umbermoor.gateway.replication.attempt import Proposals
from umbermoor.gateway.replication.chain import Chain
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.head import Head
from umbermoor.gateway.replication.learners import zones_of_others
from umbermoor.gateway.replication.messages import Accepted, NewView, Prepare, Promised, Refused
from umbermoor.gateway.replication.reads import Reads
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.replication.state_transfer import StateTransfer
from umbermoor.gateway.replication.stored_records import LEARNER_VERSION, view_records
from umbermoor.gateway.replication.view import Version, View
from umbermoor.gateway.replication.view_triggers import ViewTriggers


class Acceptor:
    """Answers proposers, including the proposer of this replica."""

    def __init__(
        self,
        context: Context,
        chain: Chain,
        head: Head,
        reads: Reads,
        transfer: StateTransfer,
        triggers: ViewTriggers,
        proposals: Proposals,
    ) -> None:
        self._context, self._chain, self._head, self._reads = context, chain, head, reads
        self._transfer, self._triggers, self._proposals = transfer, triggers, proposals

    # promises

    def give_promise(self, epoch: int, to: str, proposers_version: Version) -> None:
        """Promise the epoch, and report the promise once it is synced."""
        then = partial(self._on_promise_synced, epoch, to, proposers_version)
        self._context.views.give_promise(epoch, then)

    def _on_promise_synced(self, epoch: int, to: str, proposers_version: Version) -> None:
        context, views, sets = self._context, self._context.views, self._context.sets
        views.promise_is_synced(epoch)
        if not views.promise == epoch > views.accepted.epoch:
            return
        version = context.accepted_version
        promised = Promised(
            epoch=epoch,
            disk_lost=False,
            version=version,
            state=dict(context.map.values) if version > proposers_version else None,
            hears=context.hears(),
            accepted_set=sets.accepted.replica_set,
            proven_set=sets.proven,
        )
        context.outbox.send(to, promised)

    def on_prepare(self, sender: str, message: Prepare) -> None:
        """Handle a proposer's request to promise an epoch."""
        context, views = self._context, self._context.views
        epoch = message.epoch
        is_learner = context.lifecycle.membership_synced and not context.is_member
        if context.lifecycle.disk_lost:
            self._promise_without_disk(sender, epoch)
        elif epoch > views.promise and (context.may_vote or is_learner):
            self._proposals.yield_to_other(context.now, context.rng)
            self.give_promise(epoch, sender, message.version)
        elif epoch == views.promise == views.promise_synced:
            self._on_promise_synced(epoch, sender, message.version)
        elif epoch < views.promise:
            context.outbox.send(sender, Refused(epoch, views.promise))

    def _promise_without_disk(self, sender: str, epoch: int) -> None:
        """Send a promise that does not count towards a quorum, because the disk was lost.

        It tells the proposer that this replica may join the chain and receive the state.
        """
        context, transfer = self._context, self._transfer
        if not transfer.ready_to_fill or epoch <= transfer.promise_floor:
            return
        if epoch >= context.views.promise:
            promised = Promised(epoch, True, (0, 0), None, context.hears())
            context.outbox.send(sender, promised)

    # views

    def on_new_view(self, sender: str, message: NewView) -> None:
        """Handle a proposer's request to accept a view."""
        context, views = self._context, self._context.views
        epoch = message.epoch
        if epoch == views.joined:
            if views.joined_synced == epoch:
                context.outbox.send(sender, Accepted(epoch))
            return
        lowest = self._lowest_acceptable_epoch()
        if epoch < lowest:
            context.outbox.send(sender, Refused(epoch, lowest))
            return
        replica_set = message.replica_set or context.sets.current
        if not self._may_accept(replica_set) or not self._is_valid(message, replica_set):
            return
        state = message.state
        if state is None:
            if context.lifecycle.disk_lost or message.base_version != context.accepted_version:
                return
            state = context.map.values
        self._accept(sender, View(epoch, message.chain), replica_set, state)

    def _lowest_acceptable_epoch(self) -> int:
        floor = self._transfer.promise_floor + 1 if self._context.lifecycle.disk_lost else 0
        return max(self._context.views.promise, floor)

    def _may_accept(self, replica_set: ReplicaSet) -> bool:
        """Whether this replica has its disk, or knows what was promised on the disk that it lost.

        The promises must have been queried from the replica set that the view follows, because that
        is the set in which the lost promises counted. A replica that knows only an older set has
        queried other members.
        """
        lifecycle = self._context.lifecycle
        if not lifecycle.disk_lost:
            return lifecycle.membership_synced
        has_queried_old_set = replica_set.old == self._context.sets.current.new
        return self._transfer.ready_to_fill and has_queried_old_set

    def _is_valid(self, message: NewView, replica_set: ReplicaSet) -> bool:
        """Whether the view is newer than the accepted one and valid for the given replica set.

        Its chain must hold a majority of that set, and the set must belong to this replica's
        system.
        """
        context = self._context
        if message.epoch <= context.views.accepted.epoch or context.name not in message.chain:
            return False
        names = replica_set.names
        if message.members != names or not set(message.chain) <= set(names):
            return False
        is_same_system = replica_set.system == context.sets.proven.replica_set.system
        return replica_set.quorum(message.chain) and is_same_system

    def _accept(
        self, sender: str, view: View, replica_set: ReplicaSet, state: Mapping[str, JsonValue]
    ) -> None:
        context = self._context
        records = context.map.diff_records(state) | view_records(view)
        if context.lifecycle.disk_lost:
            records[LEARNER_VERSION] = None
        self._proposals.drop_below(view.epoch)
        context.views.accept(view)
        context.map.begin_view(state)
        context.sets.accept(view, replica_set)
        if replica_set.is_replacement:  # the newcomer may stop before it reports its zone again
            context.sets.update_zones(zones_of_others(context))
        records |= context.sets.records()
        context.views.restart_silence_timer(context.now)
        self._triggers.reset()
        self._chain.reset()
        self._head.reset()
        self._reads.reset()
        context.disk.enqueue(records, "join", partial(self._on_accept_synced, sender, view.epoch))

    def _on_accept_synced(self, sender: str, epoch: int) -> None:
        context = self._context
        context.views.accept_is_synced(epoch)
        context.lifecycle.view_synced()
        self._transfer.view_synced()
        if context.views.joined == epoch:
            context.outbox.send(sender, Accepted(epoch))

"""Heartbeats: what replicas tell each other of themselves, and what is learnt from them.

They carry failure detection (`peers`), leases (`leases`), the newest active view, the replica set,
and what is committed. Learners hear of the system by them. Times are whole microseconds.
"""

from collections.abc import Sequence

from umbermoor.gateway.replication.chain import Chain
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.learners import zones_of_others
from umbermoor.gateway.replication.messages import Heartbeat, HeartbeatId
from umbermoor.gateway.replication.peers import Exclusions
from umbermoor.gateway.replication.replica_set import EpochSet, initial_replica_set
from umbermoor.gateway.replication.state_transfer import StateTransfer
from umbermoor.gateway.replication.timing import HEARTBEAT_INTERVAL, ZONE_INTERVAL
from umbermoor.gateway.replication.view_activation import ViewActivation


class Heartbeats:
    """Sends this replica's heartbeats, and takes in those of others."""

    def __init__(
        self,
        context: Context,
        chain: Chain,
        transfer: StateTransfer,
        activation: ViewActivation,
        exclusions: Exclusions,
    ) -> None:
        self._context, self._chain, self._transfer = context, chain, transfer
        self._activation, self._exclusions = activation, exclusions
        self._sequence = 0
        self._sent_at = -HEARTBEAT_INTERVAL
        self.peers_grew_at = 0  # when one was heard that is new, newly started, or back
        self.leaving = False  # this process is about to end, in order

    def tick(self) -> None:
        """Send them, if it is time."""
        if self._context.now - self._sent_at >= HEARTBEAT_INTERVAL:
            self.send_all()

    def leave(self) -> None:
        """Tell the others from now on that this process is about to end."""
        self.leaving = True
        self.send_all()

    # sending

    def send_all(self, also: Sequence[str] = ()) -> None:
        """Send one to each member and learner, and to those named."""
        context = self._context
        self._sent_at = context.now
        heartbeat = self._next()
        if context.is_member:
            others = (*context.sets.names, *also, *context.learners.heard(context.now))
        else:
            seeds = context.identity.seeds
            others = (*context.sets.names, *seeds, *context.peers.heard(context.now))
        for name in dict.fromkeys(others):
            if name != context.name:
                context.outbox.send(name, self._addressed(heartbeat, name, with_echo=True))

    def send(self, to: str, with_echo: bool = False) -> None:
        """Send one to that replica alone."""
        self._context.outbox.send(to, self._addressed(self._next(), to, with_echo))

    def _next(self) -> Heartbeat:
        """The next heartbeat, as it is the same for all."""
        context, views, transfer = self._context, self._context.views, self._transfer
        self._sequence += 1
        context.contact.sent(context.now, self._sequence)
        is_filled = context.is_member or transfer.learner_filled
        disk_lost, proven = context.lifecycle.disk_lost, context.sets.proven.replica_set
        return Heartbeat(
            incarnation=context.identity.incarnation,
            sequence=self._sequence,
            cold_start=context.lifecycle.cold_start,
            disk_lost=disk_lost,
            ready_to_fill=transfer.ready_to_fill and is_filled,
            disk_healthy=context.disk.healthy(context.now),
            members=proven.members,
            promise=transfer.promise_floor if disk_lost else views.promise,
            joined=views.joined,
            serving=views.serving,
            view=views.active if views.active.epoch else None,
            committed=context.map.version,
            hears=context.hears(),
            set_number=proven.number,
            leaving=self.leaving,
            zone=self._zone_if_due(),
            quorum_member=None if context.is_member else context.identity.quorum_member,
            age=None if context.is_member else context.now - context.started_at,
        )

    def _zone_if_due(self) -> str | None:
        is_due = self._sequence % ZONE_INTERVAL == 1 or not self._context.is_member
        return (self._context.identity.zone or None) if is_due else None

    def _addressed(self, heartbeat: Heartbeat, to: str, with_echo: bool) -> Heartbeat:
        """The same with what that replica is told: an echo, the system and the set it lacks."""
        context = self._context
        peer = context.peers.get(to)
        echo = None
        if with_echo and peer:
            echo = HeartbeatId(peer.heartbeat.incarnation, peer.heartbeat.sequence)
        peer = peer or context.learners.get(to)
        proven = context.sets.proven
        has_system = context.is_usable and peer and not peer.heartbeat.disk_lost
        known_number = (peer.heartbeat.set_number or 0) if peer else -1
        lacks_set = proven.replica_set.number and known_number < proven.replica_set.number
        return heartbeat._replace(
            echo=echo,
            system=None if has_system else proven.replica_set.system,
            proven_set=proven if lacks_set else None,
        )

    # receiving

    def on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Another replica, member or not, tells of itself."""
        context = self._context
        was_known = sender in context.sets.names
        self._learn_set(sender, heartbeat)
        if was_known:
            self._learn_view(heartbeat)
        if context.is_member and sender not in context.sets.names:
            self._on_non_member(sender, heartbeat)
            return
        if not context.sets.names:
            self._meet_member(sender, heartbeat)
        if context.peers.record(context.now, sender, heartbeat):
            self.peers_grew_at = context.now
            self._exclusions.readmit(sender)
            self.send(sender, with_echo=True)
        if context.sets.names:
            self._learn_from_member(sender, heartbeat)

    def _learn_view(self, heartbeat: Heartbeat) -> None:
        proven = self._context.sets.proven.replica_set
        if heartbeat.view and (heartbeat.set_number or 0) == proven.number:
            self._activation.activate(heartbeat.view, proven)

    def _learn_from_member(self, sender: str, heartbeat: Heartbeat) -> None:
        context = self._context
        if heartbeat.zone is not None and context.is_member:
            context.sets.remember_zones(zones_of_others(context))
        peer = context.peers.get(sender)
        if peer and peer.heartbeat is heartbeat:  # it was not outdated
            incarnation = context.identity.incarnation
            context.contact.heard(context.now, sender, heartbeat, incarnation)
        if self._shows_earlier_founding(heartbeat):
            context.lifecycle.void_founding()
        epoch, sequence = heartbeat.committed
        if epoch == context.views.joined:
            self._chain.commit(sequence)

    def _shows_earlier_founding(self, heartbeat: Heartbeat) -> bool:
        """Whether a founder that has promised nothing hears of a promise."""
        context = self._context
        has_promised = heartbeat.promise and not heartbeat.disk_lost
        is_founding = context.identity.is_founder and not context.views.promise
        return bool(has_promised and context.lifecycle.membership_synced and is_founding)

    def _on_non_member(self, sender: str, heartbeat: Heartbeat) -> None:
        """One that is no member: a learner of this system, or one to be told that it is none."""
        context = self._context
        is_of_system = (heartbeat.system or 0) in (0, context.sets.proven.replica_set.system)
        may_learn = heartbeat.set_number is not None and is_of_system
        if may_learn and not heartbeat.cold_start and not context.lifecycle.disk_lost:
            if context.learners.record(context.now, sender, heartbeat):
                self.send(sender)
        elif not heartbeat.members:
            self.send(sender)

    def _meet_member(self, sender: str, heartbeat: Heartbeat) -> None:
        """Learn who the members are.

        If this is one of them that has lost its disk, or a machine that may learn.
        """
        context, lifecycle = self._context, self._context.lifecycle
        if not heartbeat.promise or heartbeat.disk_lost or sender not in heartbeat.members:
            return
        if heartbeat.proven_set is None and heartbeat.set_number:
            return
        may_learn = heartbeat.set_number is not None and lifecycle.disk_lost
        if context.name in heartbeat.members or may_learn:
            lifecycle.fill_from_others()
            first = EpochSet(0, initial_replica_set(heartbeat.members, heartbeat.system or 0))
            context.sets.meet(heartbeat.proven_set or first)

    def _learn_set(self, sender: str, heartbeat: Heartbeat) -> None:
        """A later set that is known to be in force."""
        context, sets = self._context, self._context.sets
        if not sets.names:
            return
        has_promised = heartbeat.promise and not heartbeat.disk_lost
        is_trusted = sender in sets.names and has_promised
        system = heartbeat.system
        is_other = bool(system) and system != sets.proven.replica_set.system
        if context.lifecycle.disk_lost and is_trusted and system and is_other:
            sets.correct_system(system)
        if heartbeat.proven_set is None:
            return
        epoch, replica_set = heartbeat.proven_set
        known = sets.proven.replica_set
        is_newer = replica_set.number > known.number and epoch > sets.proven.epoch
        if is_newer and replica_set.system == known.system:
            sets.prove(epoch, replica_set)

"""Heartbeats: what replicas report about themselves, and what is learnt from the reports.

Heartbeats carry failure detection (`peers`), leases (`leases`), the newest active view, the replica
set and the committed version. Learners learn about the system from them. Times are whole
microseconds.
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
    """Sends this replica's heartbeats, and handles those of others."""

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
        self.last_arrival_at = 0  # when a peer was last heard that is new, restarted or back
        self.leaving = False  # this process is shutting down gracefully

    def tick(self) -> None:
        """Send heartbeats if the interval has passed."""
        if self._context.now - self._sent_at >= HEARTBEAT_INTERVAL:
            self.send_all()

    def leave(self) -> None:
        """Announce, now and in all further heartbeats, that this process is about to end."""
        self.leaving = True
        self.send_all()

    # sending

    def send_all(self, also: Sequence[str] = ()) -> None:
        """Send a heartbeat to each member and learner, and to the replicas named in `also`."""
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
                context.outbox.send(name, self._address_to(heartbeat, name, with_echo=True))

    def send(self, to: str, with_echo: bool = False) -> None:
        """Send a heartbeat to one replica."""
        self._context.outbox.send(to, self._address_to(self._next(), to, with_echo))

    def _next(self) -> Heartbeat:
        """Build the next heartbeat, without the fields that depend on the receiver."""
        context, views, transfer = self._context, self._context.views, self._transfer
        self._sequence += 1
        context.lease_proofs.record_sent(context.now, self._sequence)
        is_filled = context.is_member or transfer.learner_state_synced
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

    def _address_to(self, heartbeat: Heartbeat, to: str, with_echo: bool) -> Heartbeat:
        """Return the heartbeat with the fields for its receiver.

        These are the echo of its last heartbeat, and the system number and the replica set if it
        lacks them.
        """
        context = self._context
        peer = context.peers.get(to)
        echo = None
        if with_echo and peer:
            echo = HeartbeatId(peer.heartbeat.incarnation, peer.heartbeat.sequence)
        peer = peer or context.learners.get(to)
        proven = context.sets.proven
        knows_system = context.is_usable and peer and not peer.heartbeat.disk_lost
        known_number = (peer.heartbeat.set_number or 0) if peer else -1
        lacks_set = proven.replica_set.number and known_number < proven.replica_set.number
        return heartbeat._replace(
            echo=echo,
            system=None if knows_system else proven.replica_set.system,
            proven_set=proven if lacks_set else None,
        )

    # receiving

    def on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of another replica, which need not be a member."""
        context = self._context
        was_member = sender in context.sets.names
        self._learn_replica_set(sender, heartbeat)
        if was_member:
            self._learn_view(heartbeat)
        if context.is_member and sender not in context.sets.names:
            self._on_non_member(sender, heartbeat)
            return
        if not context.sets.names:
            self._learn_members(sender, heartbeat)
        if context.peers.record(context.now, sender, heartbeat):
            self.last_arrival_at = context.now
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
            context.sets.store_zones(zones_of_others(context))
        peer = context.peers.get(sender)
        if peer and peer.heartbeat is heartbeat:  # not dropped as outdated
            incarnation = context.identity.incarnation
            context.lease_proofs.record_heartbeat(context.now, sender, heartbeat, incarnation)
        if self._shows_earlier_founding(heartbeat):
            context.lifecycle.void_founding()
        epoch, sequence = heartbeat.committed
        if epoch == context.views.joined:
            self._chain.commit(sequence)

    def _shows_earlier_founding(self, heartbeat: Heartbeat) -> bool:
        """Whether this founder has promised nothing, but the heartbeat tells of a promise."""
        context = self._context
        has_promised = heartbeat.promise and not heartbeat.disk_lost
        is_founding = context.identity.is_founder and not context.views.promise
        return bool(has_promised and context.lifecycle.membership_synced and is_founding)

    def _on_non_member(self, sender: str, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of a replica that is not a member.

        A learner of this system is recorded. Another replica that lists no members is sent a
        heartbeat, so that it learns that it is not a member.
        """
        context = self._context
        is_same_system = (heartbeat.system or 0) in (0, context.sets.proven.replica_set.system)
        may_learn = heartbeat.set_number is not None and is_same_system
        if may_learn and not heartbeat.cold_start and not context.lifecycle.disk_lost:
            if context.learners.record(context.now, sender, heartbeat):
                self.send(sender)
        elif not heartbeat.members:
            self.send(sender)

    def _learn_members(self, sender: str, heartbeat: Heartbeat) -> None:
        """Learn the members from one of them.

        This applies to a member that has lost its disk, and to a machine that may become a learner.
        """
        context, lifecycle = self._context, self._context.lifecycle
        if not heartbeat.promise or heartbeat.disk_lost or sender not in heartbeat.members:
            return
        if heartbeat.proven_set is None and heartbeat.set_number:
            return
        may_learn = heartbeat.set_number is not None and lifecycle.disk_lost
        if context.name in heartbeat.members or may_learn:
            lifecycle.join_existing_system()
            first = EpochSet(0, initial_replica_set(heartbeat.members, heartbeat.system or 0))
            context.sets.adopt_without_disk(heartbeat.proven_set or first)

    def _learn_replica_set(self, sender: str, heartbeat: Heartbeat) -> None:
        """Adopt a later replica set that is known to be in force."""
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
            sets.record_proven(epoch, replica_set)

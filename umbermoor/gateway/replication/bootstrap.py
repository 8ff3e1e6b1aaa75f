"""Bootstrap: the first seed founds a new system with the cold replicas that it hears.

It has each of them write down who the members are, and proposes the first view once all have. A
founder that hears of a promise belongs to a system that was founded before, when its disk was
another; what it has founded is void: docs/storage.md. Times are microseconds.
"""

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.heartbeats import Heartbeats
from umbermoor.gateway.replication.messages import Found, Settled
from umbermoor.gateway.replication.replica_set import MAX_MEMBERS
from umbermoor.gateway.replication.timing import FOUNDING_QUIET, RETRY_INTERVAL
from umbermoor.gateway.replication.view_change import ViewChange


class Bootstrap:
    """The founding of a system, at the founder and at the others."""

    def __init__(self, context: Context, heartbeats: Heartbeats, view_change: ViewChange) -> None:
        self._context, self._heartbeats, self._view_change = context, heartbeats, view_change
        self._settled: set[str] = set()  # others that have the members on disk
        self._found_sent_at = 0

    def found_if_ready(self) -> None:
        """The founder, cold: found the system once enough replicas are heard, and no more come."""
        context = self._context
        if not context.lifecycle.cold_start or not context.identity.is_founder:
            return
        cold = {
            name: peer
            for name, peer in context.peers.heard(context.now).items()
            if peer.heartbeat.cold_start
        }
        least = 2 * context.identity.tolerated_losses + 1
        if not least <= len(cold) + 1 <= MAX_MEMBERS:
            return
        quiet_since = max(self._heartbeats.peers_grew_at, context.started_at)
        if context.now - quiet_since < FOUNDING_QUIET:
            return
        system = context.rng.getrandbits(48) | 1
        # Members of an earlier revision draw none: it is derived from the names then.
        all_know = all(peer.heartbeat.set_number is not None for peer in cold.values())
        self._settle((*cold, context.name), system if all_know else 0)

    def _settle(self, members: tuple[str, ...], system: int) -> None:
        self._context.lifecycle.found()
        self._context.sets.found(members, system, self._on_settle_synced)

    def _on_settle_synced(self) -> None:
        self._context.lifecycle.founding_synced()
        self._tell_settled()

    def _tell_settled(self) -> None:
        context = self._context
        if context.identity.is_founder:
            self._settle_others()
        else:
            settled = Settled(context.sets.names, context.views.promise)
            context.outbox.send(context.identity.seeds[0], settled)

    def tick(self) -> None:
        """The founder, until the first view is proposed: have the others settle."""
        context = self._context
        is_founding = context.identity.is_founder and not context.views.promise
        if context.lifecycle.membership_synced and is_founding:
            self._settle_others()

    def _settle_others(self) -> None:
        context = self._context
        if context.now - self._found_sent_at >= RETRY_INTERVAL:
            self._found_sent_at = context.now
            self._send_found()
        if self._settled.issuperset(context.others()) and not self._view_change.attempt:
            self._view_change.propose()

    def _send_found(self) -> None:
        context = self._context
        for name in context.others():
            peer = context.peers.get(name)
            if name not in self._settled and peer:
                system = context.sets.accepted.replica_set.system
                found = Found(context.sets.names, peer.heartbeat.incarnation, system)
                context.outbox.send(name, found)

    def on_found(self, sender: str, message: Found) -> None:
        """The founder has a replica settle."""
        context, lifecycle = self._context, self._context.lifecycle
        members = message.members
        if sender != context.identity.seeds[0] or sender not in members:
            return
        if context.name not in members:
            return
        is_for_this_process = message.incarnation == context.identity.incarnation
        if lifecycle.cold_start and not context.sets.names and is_for_this_process:
            self._settle(members, message.system)
        elif lifecycle.membership_synced and members == context.sets.names:
            lifecycle.founding_synced()
            self._tell_settled()

    def on_settled(self, sender: str, message: Settled) -> None:
        """Another replica has the members on disk."""
        context = self._context
        is_founding = context.identity.is_founder and not context.views.promise
        if not is_founding or not context.lifecycle.membership_synced:
            return
        if message.members != context.sets.names:
            return
        if message.promise:
            context.lifecycle.void_founding()
        elif sender in context.sets.names:
            self._settled.add(sender)
            self._settle_others()

"""Bootstrap: the first seed founds a new system with the cold replicas that it hears.

The founder has each replica store the member list, and proposes the first view once all of them
have synced it. A founder that hears of a promise belongs to a system that was founded earlier,
before the founder's disk was replaced. Its new founding is void: docs/storage.md. Times are in
microseconds.
"""

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.heartbeats import Heartbeats
from umbermoor.gateway.replication.messages import FoundingRequest, FoundingSynced
from umbermoor.gateway.replication.replica_set import MAX_MEMBERS
from umbermoor.gateway.replication.timing import FOUNDING_QUIET_TIME, RETRY_INTERVAL
from umbermoor.gateway.replication.view_change import ViewChange


class Bootstrap:
    """The founding of a system, at the founder and at the other replicas."""

    def __init__(self, context: Context, heartbeats: Heartbeats, view_change: ViewChange) -> None:
        self._context, self._heartbeats, self._view_change = context, heartbeats, view_change
        self._settled_members: set[str] = set()  # other replicas that have synced the member list
        self._found_sent_at = 0

    def found_if_ready(self) -> None:
        """At a cold founder, found the system once enough replicas are heard and no more appear."""
        context = self._context
        if not context.lifecycle.cold_start or not context.identity.is_founder:
            return
        cold = {
            name: peer
            for name, peer in context.peers.heard(context.now).items()
            if peer.heartbeat.cold_start
        }
        min_members = 2 * context.identity.tolerated_losses + 1
        if not min_members <= len(cold) + 1 <= MAX_MEMBERS:
            return
        quiet_since = max(self._heartbeats.last_arrival_at, context.started_at)
        if context.now - quiet_since < FOUNDING_QUIET_TIME:
            return
        system = context.rng.getrandbits(48) | 1
        # Members of an earlier revision use no random system number. If one is present, the number
        # is derived from the members' names instead.
        all_support_changes = all(peer.heartbeat.set_number is not None for peer in cold.values())
        self._store_members((*cold, context.name), system if all_support_changes else 0)

    def _store_members(self, members: tuple[str, ...], system: int) -> None:
        self._context.lifecycle.begin_founding()
        zones = self._zones_of(members)
        self._context.sets.store_initial_set(members, system, zones, self._on_members_synced)

    def _zones_of(self, members: tuple[str, ...]) -> dict[str, str]:
        """Return the zones of the other members, as far as they were heard."""
        heard = {name: self._context.peers.get(name) for name in members}
        return {name: peer.zone for name, peer in heard.items() if peer and peer.zone}

    def _on_members_synced(self) -> None:
        self._context.lifecycle.founding_synced()
        self._report_settled()

    def _report_settled(self) -> None:
        context = self._context
        if context.identity.is_founder:
            self._request_settlement()
        else:
            settled = FoundingSynced(context.sets.names, context.views.promise)
            context.outbox.send(context.identity.seeds[0], settled)

    def tick(self) -> None:
        """At the founder, ask the others to store the members until the first view is proposed."""
        context = self._context
        is_founding = context.identity.is_founder and not context.views.promise
        if context.lifecycle.membership_synced and is_founding:
            self._request_settlement()

    def _request_settlement(self) -> None:
        context = self._context
        if context.now - self._found_sent_at >= RETRY_INTERVAL:
            self._found_sent_at = context.now
            self._send_found()
        if self._settled_members.issuperset(context.others()) and not self._view_change.attempt:
            self._view_change.propose()

    def _send_found(self) -> None:
        context = self._context
        for name in context.others():
            peer = context.peers.get(name)
            if name not in self._settled_members and peer:
                system = context.sets.accepted.replica_set.system
                found = FoundingRequest(context.sets.names, peer.heartbeat.incarnation, system)
                context.outbox.send(name, found)

    def on_found(self, sender: str, message: FoundingRequest) -> None:
        """Handle the founder's request to store the member list."""
        context, lifecycle = self._context, self._context.lifecycle
        members = message.members
        if sender != context.identity.seeds[0] or sender not in members:
            return
        if context.name not in members:
            return
        is_for_this_process = message.incarnation == context.identity.incarnation
        if lifecycle.cold_start and not context.sets.names and is_for_this_process:
            self._store_members(members, message.system)
        elif lifecycle.membership_synced and members == context.sets.names:
            lifecycle.founding_synced()
            self._report_settled()

    def on_settled(self, sender: str, message: FoundingSynced) -> None:
        """Handle another replica's report that its member list is synced."""
        context = self._context
        is_founding = context.identity.is_founder and not context.views.promise
        if not is_founding or not context.lifecycle.membership_synced:
            return
        if message.members != context.sets.names:
            return
        if message.promise:
            context.lifecycle.void_founding()
        elif sender in context.sets.names:
            self._settled_members.add(sender)
            self._request_settlement()

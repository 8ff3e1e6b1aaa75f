"""The causes for which a view is proposed, and how long a cause must hold before that.

The delays depend on the rank and on chance, so that few replicas propose at the same time. Times
are in microseconds.
"""

from enum import Enum, auto
from typing import NamedTuple

from umbermoor.gateway.replication.chain import Chain
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.health import is_degraded
from umbermoor.gateway.replication.peers import Exclusions, Peer
from umbermoor.gateway.replication.timing import (
    CHAIN_MEMBER_TIMEOUT,
    NO_CHAIN_TIMEOUT,
    SERVING_CONTACT_TIMEOUT,
    STARTUP_GRACE,
    STEADY_TIME,
    STEADY_TIME_WHILE_DEGRADED,
    UNSERVED_DELAY,
)
from umbermoor.gateway.units import MILLISECOND


class Cause(Enum):
    """The cause for proposing a view."""

    NONE = auto()
    RESTARTED = auto()  # this replica is in the active chain, but restarted since
    FENCED = auto()  # it promised a later epoch, for which no view arrived
    UNSERVED = auto()  # the view that it accepted has not become active
    STARTED = auto()  # it was started, and hears no serving chain
    REMOVED = auto()  # a replica in the chain is no longer a member
    LEAVING = auto()  # a chain member is about to end gracefully
    SILENT = auto()  # a chain member is not heard
    STALLED = auto()  # the successor does not acknowledge writes
    ENTRY = auto()  # a replica outside may enter the chain


class Trigger(NamedTuple):
    """A cause for a view, how long it must hold, and which replicas to leave out."""

    cause: Cause
    delay: int = 0  # microseconds
    excluded: frozenset[str] = frozenset()  # replicas to leave out of the chain


NO_TRIGGER = Trigger(Cause.NONE)


class ViewTriggers:
    """Watches whether the chain needs another view."""

    def __init__(self, context: Context, chain: Chain, exclusions: Exclusions) -> None:
        self._context, self._chain, self._exclusions = context, chain, exclusions
        self._cause = Cause.NONE
        self._due_at = 0

    def reset(self) -> None:
        """Restart the delay of any cause, as a view is being proposed or was accepted."""
        self._cause = Cause.NONE

    def check(self) -> Trigger | None:
        """Return the trigger for which to propose a view now, or None."""
        if not self._may_propose():
            return None
        now = self._context.now
        trigger = self._find_trigger()
        due_at = now + trigger.delay
        is_same = trigger.cause is self._cause
        self._due_at = min(self._due_at, due_at) if is_same else due_at
        self._cause = trigger.cause
        if trigger.cause is Cause.NONE or now < self._due_at or not self._reaches_quorum():
            return None
        return trigger

    def _reaches_quorum(self) -> bool:
        context = self._context
        return context.sets.current.quorum(
            [name for name in context.sets.names if context.in_contact(context.name, name)]
        )

    def _may_propose(self) -> bool:
        """Whether the disk of this replica allows it to propose.

        The disk must be healthy. A disk that works but is slow will do if so many disks are
        unhealthy that the others have no quorum without this replica.
        """
        context = self._context
        if context.disk.healthy(context.now):
            return True
        healthy = [
            name
            for name, peer in context.peers.heard(context.now).items()
            if peer.heartbeat.disk_healthy and not peer.heartbeat.disk_lost
        ]
        return context.disk.accepts_writes(context.now) and not context.sets.current.quorum(healthy)

    def _find_trigger(self) -> Trigger:
        context = self._context
        rank = context.sets.names.index(context.name)
        stagger = rank * 50 * MILLISECOND + context.rng.randrange(50 * MILLISECOND)
        if not context.views.serving:
            return self._find_trigger_outside_chain(stagger)
        return self._find_trigger_in_chain(rank)

    def _find_trigger_outside_chain(self, stagger: int) -> Trigger:
        """Find a trigger at a replica that is not in a serving chain."""
        context, views = self._context, self._context.views
        is_in_active_chain = context.name in views.active.chain
        if views.active.epoch > views.joined and context.hears_serving_chain(
            SERVING_CONTACT_TIMEOUT
        ):
            return Trigger(Cause.RESTARTED, stagger) if is_in_active_chain else NO_TRIGGER
        if views.joined and views.promise > max(views.joined, views.active.epoch):
            return Trigger(Cause.FENCED, stagger)
        if views.joined:
            return Trigger(Cause.UNSERVED, UNSERVED_DELAY + stagger)
        if is_in_active_chain or self._all_in_contact():
            return Trigger(Cause.STARTED, stagger)
        delay = NO_CHAIN_TIMEOUT if views.active.epoch else STARTUP_GRACE
        return Trigger(Cause.STARTED, delay + stagger)

    def _all_in_contact(self) -> bool:
        context = self._context
        names = context.sets.names
        return all(context.in_contact(first, second) for first in names for second in names)

    def _find_trigger_in_chain(self, rank: int) -> Trigger:
        """Find a trigger at a replica that is in the serving chain."""
        context, rng = self._context, self._context.rng
        members = context.sets.current.names
        for name in context.views.accepted.chain:
            if name not in members:
                return Trigger(Cause.REMOVED, rank * 50 * MILLISECOND)
            trigger = self._find_trigger_for_member(name, rank)
            if trigger is not NO_TRIGGER:
                return trigger
        if self._chain.is_stalled and context.disk.healthy(context.now):
            successor = context.views.accepted.chain[context.views.chain_index + 1]
            return Trigger(Cause.STALLED, 0, frozenset((successor,)))
        heard = context.peers.heard(context.now).items()
        if any(self._may_enter(name, peer) for name, peer in heard):
            delay = context.views.chain_index * 250 * MILLISECOND + rng.randrange(100 * MILLISECOND)
            return Trigger(Cause.ENTRY, delay)
        return NO_TRIGGER

    def _find_trigger_for_member(self, name: str, rank: int) -> Trigger:
        """Find a trigger for continuing the chain without that member."""
        context = self._context
        if name == context.name:
            return NO_TRIGGER
        peer = context.peers.get(name)
        if peer and peer.heartbeat.leaving and self._can_serve_without(name):
            return Trigger(Cause.LEAVING, rank * 20 * MILLISECOND, frozenset((name,)))
        if self._is_silent(peer) and self._is_dispensable(name):
            delay = rank * 80 * MILLISECOND + context.rng.randrange(100 * MILLISECOND)
            return Trigger(Cause.SILENT, delay, frozenset((name,)))
        return NO_TRIGGER

    def _is_silent(self, peer: Peer | None) -> bool:
        """Whether the peer was not heard in the joined view, with a healthy disk, for too long."""
        views = self._context.views
        heard_at = peer.joined_at if peer and peer.joined == views.joined else 0
        return self._context.now - max(views.serving_since, heard_at) > CHAIN_MEMBER_TIMEOUT

    def _is_dispensable(self, name: str) -> bool:
        """Whether the member is not heard, or enough others have healthy disks."""
        context = self._context
        heard = context.peers.heard(context.now)
        healthy = [
            other for other, peer in heard.items() if other != name and peer.heartbeat.disk_healthy
        ]
        if context.disk.healthy(context.now):
            healthy.append(context.name)
        return name not in heard or context.sets.current.quorum(healthy)

    def _can_serve_without(self, leaver: str) -> bool:
        """Whether those of the remaining chain that are heard form a quorum."""
        context = self._context
        heard = context.peers.heard(context.now)
        return context.sets.current.quorum(
            [
                name
                for name in context.views.accepted.chain
                if name != leaver and (name == context.name or name in heard)
            ]
        )

    def _may_enter(self, name: str, peer: Peer) -> bool:
        """Whether that replica, which is outside the chain, may be taken into it."""
        context, heartbeat = self._context, peer.heartbeat
        chain = context.views.accepted.chain
        if name in chain or not heartbeat.disk_healthy or heartbeat.leaving or not peer.can_join:
            return False
        steady = STEADY_TIME_WHILE_DEGRADED if is_degraded(context) else STEADY_TIME
        if context.now - peer.steady_since < steady:
            return False
        if self._exclusions.is_excluded(name, context.now):
            return False
        return all(context.in_contact(name, member) for member in chain)

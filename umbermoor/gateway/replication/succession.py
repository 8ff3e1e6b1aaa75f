"""Succession: which learner is to take the place of which member that is gone.

Silence alone takes nobody out, as a partition would then become a loss: a learner that counts by
the platform's word must stand ready in the member's zone. In which order the platform starts the
one and ends the other does not matter: docs/replication.md. Times are microseconds.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.learners import known_zones, ready_learners
from umbermoor.gateway.replication.timing import SUCCESSION


class Succession(NamedTuple):
    """A learner, and the member whose place it takes."""

    newcomer: str
    member: str


def find_successions(context: Context) -> Iterator[Succession]:
    """At a member of the chain: the successions that are due, as far as it knows the zones.

    Not every member knows where one that is gone ran: not a newcomer, nor one that was filled anew.
    """
    for member in _departed_members(context):
        for newcomer in _ready_successors(context, member):
            yield Succession(newcomer, member)


def has_ready_successor(context: Context) -> bool:
    """Whether a learner stands ready to take this replica's own place."""
    return context.is_member and any(_ready_successors(context, context.name))


def _ready_successors(context: Context, member: str) -> Iterator[str]:
    """The learners that may take the place of that member, as far as is known here."""
    zones = known_zones(context)
    zone = zones.get(member)
    for name in ready_learners(context):
        learner = context.learners.get(name)
        if zone and learner and learner.zone == zone and learner.heartbeat.quorum_member:
            yield name


def _departed_members(context: Context) -> list[str]:
    """The members outside of the chain that left, or that nobody of it has long heard.

    Those that left come first, then those that have been unheard the longest.
    """
    views, members = context.views, context.sets.current.members
    chain = views.active.chain
    if not views.serving or not set(chain) <= set(members):
        return []
    outside = sorted((name for name in members if name not in chain), key=_heard_at(context))
    left = [name for name in outside if _has_left(context, name)]
    unheard = [name for name in outside if name not in left and _is_unheard(context, name)]
    return left + unheard


def _heard_at(context: Context) -> Callable[[str], int]:
    """When a member was last heard here, in this incarnation."""

    def heard_at(name: str) -> int:
        peer = context.peers.get(name)
        return peer.heard_at if peer else context.started_at

    return heard_at


def _has_left(context: Context, name: str) -> bool:
    """Whether it told that it is about to end, and has not been heard to start again."""
    peer = context.peers.get(name)
    return peer is not None and peer.heartbeat.leaving


def _is_unheard(context: Context, name: str) -> bool:
    """Whether nobody of the chain has heard it for so long that it may be succeeded."""
    if context.now - _heard_at(context)(name) < SUCCESSION:
        return False
    for other in context.views.active.chain:
        peer = context.peers.get(other)
        if other != context.name and (peer is None or name in peer.heartbeat.hears):
            return False
    return True

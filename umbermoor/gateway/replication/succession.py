"""Succession: which learner takes the place of which departed member.

Silence alone removes no member, because a network partition would then turn into a loss of members.
A learner that the platform has marked as a quorum member must also be ready in the departed
member's zone. The order in which the platform starts the one machine and ends the other does not
matter: docs/replication.md. Times are in microseconds.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.learners import known_zones, ready_learners
from umbermoor.gateway.replication.timing import SUCCESSION_TIMEOUT


class Succession(NamedTuple):
    """A learner, and the member whose place it takes."""

    newcomer: str
    member: str


def find_successions(context: Context) -> Iterator[Succession]:
    """Yield the successions that are due, at a member of the chain, as far as it knows the zones.

    Not every member knows the zone of a departed member: a newcomer does not, nor does a member
    whose lost disk was filled again.
    """
    for member in _departed_members(context):
        for newcomer in _ready_successors(context, member):
            yield Succession(newcomer, member)


def has_ready_successor(context: Context) -> bool:
    """Whether a learner is ready to take the place of this replica itself."""
    return context.is_member and any(_ready_successors(context, context.name))


def _ready_successors(context: Context, member: str) -> Iterator[str]:
    """Yield the learners that may take the member's place, as far as is known here."""
    zones = known_zones(context)
    zone = zones.get(member)
    for name in ready_learners(context):
        learner = context.learners.get(name)
        if zone and learner and learner.zone == zone and learner.heartbeat.quorum_member:
            yield name


def _departed_members(context: Context) -> list[str]:
    """Return the members outside the chain that left, or that no chain member has heard for long.

    Members that left come first, followed by the others, the longest unheard first.
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
    """Return a function that tells when a member was last heard here, in this incarnation."""

    def heard_at(name: str) -> int:
        peer = context.peers.get(name)
        return peer.heard_at if peer else context.started_at

    return heard_at


def _has_left(context: Context, name: str) -> bool:
    """Whether the member announced its end, and has not been heard to start again."""
    peer = context.peers.get(name)
    return peer is not None and peer.heartbeat.leaving


def _is_unheard(context: Context, name: str) -> bool:
    """Whether no chain member has heard it for so long that it may be succeeded."""
    if context.now - _heard_at(context)(name) < SUCCESSION_TIMEOUT:
        return False
    for other in context.views.active.chain:
        peer = context.peers.get(other)
        if other != context.name and (peer is None or name in peer.heartbeat.hears):
            return False
    return True

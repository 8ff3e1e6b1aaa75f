"""Learners: machines that follow the committed state and could become members."""

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.peers import Peer
from umbermoor.gateway.replication.timing import STEADY_TIME


def known_zones(context: Context) -> dict[str, str]:
    """Return the zones of members and learners, as last reported, including before a restart."""
    zones = {}
    for name in (*context.sets.names, *context.learners.names()):
        peer = context.peers.get(name) or context.learners.get(name)
        if peer and peer.zone:
            zones[name] = peer.zone
    return context.sets.zones | zones | {context.name: context.identity.zone}


def zones_of_others(context: Context) -> dict[str, str]:
    """Return the zones of the other members, as far as they are known here."""
    zones = known_zones(context)
    return {name: zones[name] for name in context.others() if zones.get(name)}


def ready_learners(context: Context) -> list[str]:
    """Return the learners that could become members now, sorted.

    Such a learner hears every member of the chain and is heard by it, has done so steadily, has a
    healthy disk, and holds the state or can be given it.
    """
    heard = sorted(context.learners.heard(context.now).items())
    return [name for name, peer in heard if _is_ready(context, name, peer)]


def _is_ready(context: Context, name: str, learner: Peer) -> bool:
    chain = [member for member in context.views.active.chain if member != context.name]
    for member in chain:
        peer = context.peers.get(member)
        if not peer or name not in peer.heartbeat.hears:
            return False
    hears = learner.heartbeat.hears
    if context.name not in hears or not set(chain) <= {context.name, *hears}:
        return False
    is_steady = context.now - learner.steady_since >= STEADY_TIME
    return learner.heartbeat.disk_healthy and learner.can_join and is_steady

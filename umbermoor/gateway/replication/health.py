"""What a replica knows of the health of the whole: losses left, contact with a majority."""

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.replica_set import majority
from umbermoor.gateway.replication.timing import SERVING_CONTACT_TIMEOUT


def is_degraded(context: Context) -> bool:
    """Whether fewer losses can be tolerated now than configured, as far as is known here."""
    sets, active = context.sets.current, context.views.active
    members = sets.members
    in_chain = [name for name in active.chain if name in members]
    spare = len(in_chain) - majority(sets.new)
    wanted = min(context.identity.tolerated_losses, (len(members) - 1) // 2)
    return not active.epoch or sets.is_joint or spare < wanted


def is_connected(context: Context) -> bool:
    """Whether a quorum proved contact within a lease, and this replica is up to date.

    They are reached both ways and promised no epoch above the chain that is known here to serve;
    this replica holds what that chain began with, or later.
    """
    views = context.views
    if not context.is_usable or context.map.version[0] != views.active.epoch:
        return False
    proven = context.contact.proven(context.now, views.active.epoch, context.others())
    if 0 < views.promise <= views.active.epoch:
        proven |= {context.name}
    is_chain_known = views.serving or context.hears_serving(SERVING_CONTACT_TIMEOUT)
    return context.sets.current.quorum(proven) and is_chain_known


def is_dispensable(context: Context) -> bool:
    """Whether this process may end without holding anything up.

    Another chain serves, so a majority holds what it holds.
    """
    if not context.is_usable:
        return True
    return context.name not in context.views.active.chain and context.hears_serving(
        SERVING_CONTACT_TIMEOUT
    )


def head_decides(context: Context) -> bool:
    """Whether the head decides conditional writes, as far as is known here.

    One of an earlier revision takes what is newer.
    """
    chain = context.views.active.chain
    peer = context.peers.get(chain[0]) if chain else None
    return peer is None or peer.heartbeat.set_number is not None

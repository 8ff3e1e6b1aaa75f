"""A replica's view of the system's health: remaining fault tolerance, contact with a majority."""

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.replica_set import majority
from umbermoor.gateway.replication.timing import SERVING_CONTACT_TIMEOUT


def is_degraded(context: Context) -> bool:
    """Whether fewer losses can be tolerated now than configured, as far as is known here."""
    sets, active = context.sets.current, context.views.active
    members = sets.members
    in_chain = [name for name in active.chain if name in members]
    spare = len(in_chain) - majority(sets.new)
    needed_spare = min(context.identity.tolerated_losses, (len(members) - 1) // 2)
    return not active.epoch or sets.is_joint or spare < needed_spare


def is_connected(context: Context) -> bool:
    """Whether a quorum proved contact within a lease, and this replica is up to date.

    Those members are reached in both directions, and have promised no epoch above that of the chain
    that is known here to serve. This replica holds the state that the chain began with, or a later
    one.
    """
    views = context.views
    if not context.is_usable or context.map.version[0] != views.active.epoch:
        return False
    proven = context.lease_proofs.proven_members(context.now, views.active.epoch, context.others())
    if 0 < views.promise <= views.active.epoch:
        proven |= {context.name}
    is_chain_known = views.serving or context.hears_serving_chain(SERVING_CONTACT_TIMEOUT)
    return context.sets.current.quorum(proven) and is_chain_known


def is_dispensable(context: Context) -> bool:
    """Whether this process may end without blocking anything.

    It may if another chain serves, because a majority then holds everything that this replica
    holds.
    """
    if not context.is_usable:
        return True
    return context.name not in context.views.active.chain and context.hears_serving_chain(
        SERVING_CONTACT_TIMEOUT
    )


def head_decides(context: Context) -> bool:
    """Whether the head decides conditional writes, as far as is known here.

    A head of an earlier revision accepts any newer value instead.
    """
    chain = context.views.active.chain
    peer = context.peers.get(chain[0]) if chain else None
    return peer is None or peer.heartbeat.set_number is not None

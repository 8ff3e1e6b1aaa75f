"""The status of a replica, as shown to operators and used by checks."""

from dataclasses import dataclass
from enum import StrEnum

from umbermoor.gateway.effects import JsonObject
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.health import is_degraded
from umbermoor.gateway.replication.view import Version


class Role(StrEnum):
    """A replica's role in the chain; the values appear in the answers to operators' calls."""

    HEAD = "head"  # orders writes
    MIDDLE = "middle"
    TAIL = "tail"  # commits writes, and answers reads
    OUTSIDE = "out"  # a member that does not serve in the active chain
    DISK_LOST = "blank"  # a replica with no state on its disk, as it is new or its disk was lost
    LEARNER = "learner"  # not a member; it follows the committed state


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The status as known to one replica, which may be behind the others."""

    epoch: int  # of the newest view known to be active; 0 if none is known
    chain: tuple[str, ...]  # of that view, from head to tail
    role: Role
    version: Version  # of the map that this replica knows to be committed
    uncommitted: int  # writes not yet known to be committed
    members: tuple[str, ...]
    set_number: int  # of the replica set
    degraded: bool  # fewer losses can be tolerated now than configured
    learners: tuple[str, ...]  # learners from which a heartbeat came lately

    def to_json(self) -> JsonObject:
        """Return the JSON object with the field names of the operators' calls."""
        return {
            "epoch": self.epoch,
            "chain": list(self.chain),
            "role": self.role.value,
            "version": list(self.version),
            "waiting": self.uncommitted,
            "members": list(self.members),
            "set": self.set_number,
            "thin": self.degraded,
            "learners": list(self.learners),
        }


def status_of(context: Context, uncommitted: int) -> ReplicaStatus:
    """Return the status of a replica that has `uncommitted` writes not yet committed."""
    active, sets = context.views.active, context.sets.current
    return ReplicaStatus(
        epoch=active.epoch,
        chain=active.chain,
        role=_role_of(context),
        version=context.map.version,
        uncommitted=uncommitted,
        members=sets.members,
        set_number=sets.number,
        degraded=is_degraded(context),
        learners=tuple(sorted(context.learners.heard(context.now))),
    )


def _role_of(context: Context) -> Role:
    views, lifecycle = context.views, context.lifecycle
    if context.sets.names and not context.is_member:
        return Role.LEARNER
    if lifecycle.disk_lost or lifecycle.cold_start:
        return Role.DISK_LOST
    if not views.serving:
        return Role.OUTSIDE
    if views.chain_index == 0:
        return Role.HEAD
    return Role.TAIL if views.successor is None else Role.MIDDLE

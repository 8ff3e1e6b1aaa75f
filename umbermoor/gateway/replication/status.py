"""Where a replica stands, as operators and checks see it."""

from dataclasses import dataclass
from enum import StrEnum

from umbermoor.gateway.effects import JsonObject
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.health import is_degraded
from umbermoor.gateway.replication.view import Version


class Role(StrEnum):
    """A replica's part in the chain; the values are those of the operators' calls."""

    HEAD = "head"  # orders writes
    MIDDLE = "middle"
    TAIL = "tail"  # commits writes, and answers reads
    OUTSIDE = "out"  # a member that is not in the active chain
    DISK_LOST = "blank"  # its disk holds nothing yet: new, or lost
    LEARNER = "learner"  # no member; it follows what is committed


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """One replica's own knowledge, which may be older than that of the others."""

    epoch: int  # of the newest view known to be active; 0: none
    chain: tuple[str, ...]  # of that view, from head to tail
    role: Role
    version: Version  # of what is committed here
    uncommitted: int  # writes under way along the chain
    members: tuple[str, ...]
    set_number: int  # of the replica set
    degraded: bool  # fewer losses can be tolerated now than configured
    learners: tuple[str, ...]  # heard lately

    def to_json(self) -> JsonObject:
        """As the operators' calls show it."""
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
    """Where a replica stands, with so many writes under way."""
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

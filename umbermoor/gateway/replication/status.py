"""Where a replica stands, as operators and checks see it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from umbermoor.gateway.replication.view import Version


class Role(StrEnum):
    """A replica's part in the chain; the values are those of the operators' calls."""

    HEAD = "head"  # orders writes
    MIDDLE = "middle"
    TAIL = "tail"  # commits writes, and answers reads
    OUTSIDE = "out"  # a member that is not in the active chain
    BLANK = "blank"  # its disk holds nothing yet: new, or lost
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

    def to_json(self) -> dict[str, Any]:
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

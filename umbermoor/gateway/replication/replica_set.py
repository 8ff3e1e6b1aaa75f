"""Replica sets: the members that count towards a majority, and changes from one set to the next.

Every view carries its replica set. A change is a view with two sets, the old and the new one (a
joint set). Its chain holds a majority of each, and a replica that cannot tell whether the view
became active asks a majority of each. Once the view is known to be active, the new set stands alone
and the next change may begin. No I/O. Source: Ongaro and Ousterhout, In Search of an Understandable
Consensus Algorithm (2014), section 6, joint consensus; Lamport, Malkhi and Zhou, Vertical Paxos
(2009).
"""

import hashlib
from collections.abc import Collection, Iterable
from typing import Any, NamedTuple

from umbermoor.gateway.effects import JsonValue

MAX_MEMBERS = 64  # also the number of ranks

RankedMember = tuple[str, int]  # name, and rank, which is part of the epochs that it proposes


def majority(members: Collection[RankedMember]) -> int:
    """Return the number of members that form a majority."""
    return len(members) // 2 + 1


def has_majority(members: Collection[RankedMember], names: Collection[str]) -> bool:
    """Whether `names` include a majority of the members."""
    included = [name for name, _ in members if name in names]
    return len(included) >= majority(members)


class ReplicaSet(NamedTuple):
    """The set of a view, or the two sets of a change; `number` rises with each change."""

    system: int  # drawn at the founding; machines of other systems are rejected
    number: int
    old: tuple[RankedMember, ...]
    new: tuple[RankedMember, ...]  # equal to `old` unless a change is in progress

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all members of both sets, sorted."""
        return tuple(sorted({name for name, _ in (*self.old, *self.new)}))

    @property
    def members(self) -> tuple[str, ...]:
        """The names of the members of the new set, sorted."""
        return tuple(sorted([name for name, _ in self.new]))

    @property
    def is_joint(self) -> bool:
        """Whether a change is in progress."""
        return self.old != self.new

    @property
    def is_replacement(self) -> bool:
        """Whether a change is in progress that adds one member and removes another.

        >>> three = initial_replica_set(["a", "b", "c"], 7)
        >>> three.changed("d", "a").is_replacement, three.changed("d").is_replacement
        (True, False)
        """
        before, after = {name for name, _ in self.old}, {name for name, _ in self.new}
        return bool(before - after and after - before)

    def rank(self, name: str) -> int:
        """Return the rank of that member."""
        return dict((*self.old, *self.new))[name]

    def quorum(self, names: Collection[str]) -> bool:
        """Whether `names` hold a majority of both sets.

        >>> change = initial_replica_set(["a", "b", "c"], 7).changed(add="d", remove="a")
        >>> change.quorum({"b", "c"}), change.quorum({"a", "b"})
        (True, False)
        >>> change.completed().quorum({"b", "d"})
        True
        """
        if not has_majority(self.new, names):
            return False
        return not self.is_joint or has_majority(self.old, names)

    def intersects_all_majorities(self, names: Collection[str]) -> bool:
        """Whether every majority of either set contains one of `names`.

        >>> three = initial_replica_set(["a", "b", "c"], 7)
        >>> three.intersects_all_majorities({"a"}), three.intersects_all_majorities({"a", "b"})
        (False, True)
        """
        return all(
            sum(name in names for name, _ in members) > len(members) - majority(members)
            for members in (self.old, self.new)
        )

    def completed(self) -> "ReplicaSet":
        """Return the new set alone, for a change whose view is known to be active."""
        return self._replace(old=self.new)

    def changed(self, add: str = "", remove: str = "") -> "ReplicaSet":
        """Return the joint set of a change that begins at this completed set.

        The newcomer gets a rank that no member had in the most recent changes.

        >>> initial_replica_set(["a", "b", "c"], 7).changed(add="d", remove="a").new
        (('b', 1), ('c', 2), ('d', 3))
        """
        number = self.number + 1
        members = [member for member in self.new if member[0] != remove]
        if add:
            members.append((add, self._unused_rank(number)))
        return ReplicaSet(self.system, number, self.new, tuple(sorted(members)))

    def _unused_rank(self, number: int) -> int:
        used = {rank for _, rank in self.new}
        ranks = (rank % MAX_MEMBERS for rank in range(number, number + MAX_MEMBERS + 1))
        return next(rank for rank in ranks if rank not in used)

    def to_json(self) -> list[JsonValue]:
        """Return the set as it is stored and sent."""
        return [
            self.system,
            self.number,
            [list(member) for member in self.old],
            [list(member) for member in self.new],
        ]

    @classmethod
    def from_json(cls, value: Any) -> "ReplicaSet":
        """Return the set from the parsed result of `to_json`."""
        system, number, old, new = value
        return cls(system, number, tuple(map(tuple, old)), tuple(map(tuple, new)))


NO_MEMBERS = ReplicaSet(0, 0, (), ())


class EpochSet(NamedTuple):
    """The replica set of the view of that epoch; epoch 0 is the founding."""

    epoch: int
    replica_set: ReplicaSet

    def to_json(self) -> list[JsonValue]:
        """Return the value as it is stored and sent."""
        return [self.epoch, self.replica_set.to_json()]

    @classmethod
    def from_json(cls, value: Any) -> "EpochSet":
        """Return the value from the parsed result of `to_json`."""
        return cls(value[0], ReplicaSet.from_json(value[1]))


def initial_replica_set(names: Iterable[str], system: int = 0) -> ReplicaSet:
    """Return the first replica set of a system.

    Without a system number, the number is derived from the names, as in an earlier revision that
    used no random number.
    """
    ordered = sorted(names)
    if not system:
        digest = hashlib.blake2b(",".join(ordered).encode(), digest_size=6).digest()
        system = int.from_bytes(digest, "big") | 1
    members = tuple((name, rank) for rank, name in enumerate(ordered))
    return ReplicaSet(system, 0, members, members)

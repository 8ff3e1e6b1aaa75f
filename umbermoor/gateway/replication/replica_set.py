"""Replica sets: who counts in a majority, and a change from one set to the next.

A view carries its set. A change is a view with two, the old one and the new (joint): its chain
holds a majority of each, and whoever cannot tell whether it became active asks a majority of each.
Once it is known to be active the new set stands alone, and the next change may come. Source: Ongaro
and Ousterhout, In Search of an Understandable Consensus Algorithm (2014), section 6, joint
consensus; Lamport, Malkhi and Zhou, Vertical Paxos (2009). No I/O.
"""

import hashlib
from collections.abc import Collection, Iterable
from typing import Any, NamedTuple

from umbermoor.gateway.effects import JsonValue

MAX_MEMBERS = 64  # and ranks

Seat = tuple[str, int]  # a member's name, and its rank: part of the epochs that it proposes


def majority(seats: Collection[Seat]) -> int:
    """How many of them are a majority."""
    return len(seats) // 2 + 1


def has_majority(seats: Collection[Seat], who: Collection[str]) -> bool:
    """Whether they hold a majority of the seats."""
    held = [name for name, _ in seats if name in who]
    return len(held) >= majority(seats)


class ReplicaSet(NamedTuple):
    """The set of a view, or the two sets of a change; `number` rises with each change."""

    system: int  # drawn when the system was founded: a stranger of another one is turned away
    number: int
    old: tuple[Seat, ...]
    new: tuple[Seat, ...]  # as `old`: no change is under way

    @property
    def names(self) -> tuple[str, ...]:
        """All of both sets, sorted."""
        return tuple(sorted({name for name, _ in (*self.old, *self.new)}))

    @property
    def members(self) -> tuple[str, ...]:
        """Those of the new set, sorted."""
        return tuple(sorted([name for name, _ in self.new]))

    @property
    def is_joint(self) -> bool:
        """Whether a change is under way."""
        return self.old != self.new

    @property
    def is_replacement(self) -> bool:
        """Whether a change is under way in which one enters and another leaves.

        >>> three = initial_replica_set(["a", "b", "c"], 7)
        >>> three.changed("d", "a").is_replacement, three.changed("d").is_replacement
        (True, False)
        """
        before, after = {name for name, _ in self.old}, {name for name, _ in self.new}
        return bool(before - after and after - before)

    def rank(self, name: str) -> int:
        """That member's rank."""
        return dict((*self.old, *self.new))[name]

    def quorum(self, who: Collection[str]) -> bool:
        """Whether they hold a majority of both sets.

        >>> change = initial_replica_set(["a", "b", "c"], 7).changed(add="d", remove="a")
        >>> change.quorum({"b", "c"}), change.quorum({"a", "b"})
        (True, False)
        >>> change.completed().quorum({"b", "d"})
        True
        """
        if not has_majority(self.new, who):
            return False
        return not self.is_joint or has_majority(self.old, who)

    def intersects_all_majorities(self, who: Collection[str]) -> bool:
        """Whether every majority, of either set, has one of them.

        >>> three = initial_replica_set(["a", "b", "c"], 7)
        >>> three.intersects_all_majorities({"a"}), three.intersects_all_majorities({"a", "b"})
        (False, True)
        """
        return all(
            sum(name in who for name, _ in seats) > len(seats) - majority(seats)
            for seats in (self.old, self.new)
        )

    def completed(self) -> "ReplicaSet":
        """The new set alone: its view is known to be active."""
        return self._replace(old=self.new)

    def changed(self, add: str = "", remove: str = "") -> "ReplicaSet":
        """The change of a completed set; a newcomer's rank was nobody's in the last changes.

        >>> initial_replica_set(["a", "b", "c"], 7).changed(add="d", remove="a").new
        (('b', 1), ('c', 2), ('d', 3))
        """
        number = self.number + 1
        seats = [seat for seat in self.new if seat[0] != remove]
        if add:
            seats.append((add, self._free_rank(number)))
        return ReplicaSet(self.system, number, self.new, tuple(sorted(seats)))

    def _free_rank(self, number: int) -> int:
        used = {rank for _, rank in self.new}
        ranks = (rank % MAX_MEMBERS for rank in range(number, number + MAX_MEMBERS + 1))
        return next(rank for rank in ranks if rank not in used)

    def to_json(self) -> list[JsonValue]:
        """As it is stored and sent."""
        return [
            self.system,
            self.number,
            [list(seat) for seat in self.old],
            [list(seat) for seat in self.new],
        ]

    @classmethod
    def from_json(cls, value: Any) -> "ReplicaSet":
        """What `to_json` gave, from JSON."""
        system, number, old, new = value
        return cls(system, number, tuple(map(tuple, old)), tuple(map(tuple, new)))


NO_MEMBERS = ReplicaSet(0, 0, (), ())


class EpochSet(NamedTuple):
    """The replica set of the view of that epoch; 0: as founded."""

    epoch: int
    replica_set: ReplicaSet

    def to_json(self) -> list[JsonValue]:
        """As it is stored and sent."""
        return [self.epoch, self.replica_set.to_json()]

    @classmethod
    def from_json(cls, value: Any) -> "EpochSet":
        """What `to_json` gave, from JSON."""
        return cls(value[0], ReplicaSet.from_json(value[1]))


def initial_replica_set(names: Iterable[str], system: int = 0) -> ReplicaSet:
    """The first set; without a system's number it is derived from the names.

    So did an earlier revision, which drew none.
    """
    ordered = sorted(names)
    if not system:
        digest = hashlib.blake2b(",".join(ordered).encode(), digest_size=6).digest()
        system = int.from_bytes(digest, "big") | 1
    seats = tuple((name, rank) for rank, name in enumerate(ordered))
    return ReplicaSet(system, 0, seats, seats)

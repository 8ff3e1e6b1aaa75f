"""Sets of members: who counts in a majority, a change from one set to the next, and what refuses a
change.

A view carries its set. A change is a view with two, the old one and the new (joint): its chain
holds a majority of each, and whoever cannot tell whether it became active asks a majority of each.
Once it is known to be active the new set stands alone, and the next change may come. Source: Ongaro
and Ousterhout, In Search of an Understandable Consensus Algorithm (2014), section 6, joint
consensus; Lamport, Malkhi and Zhou, Vertical Paxos (2009). No I/O.
"""

import hashlib
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

MOST = 64  # members, and ranks

Seat = tuple[str, int]  # a member's name, and its rank: part of the epochs that it proposes


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
        return tuple(sorted(name for name, _ in self.new))

    def rank(self, who: str) -> int:
        return dict((*self.old, *self.new))[who]

    def quorum(self, who: Collection[str]) -> bool:
        """Whether they hold a majority of both sets.

        >>> change = founded(["a", "b", "c"], 7).changed(add="d", remove="a")
        >>> change.quorum({"b", "c"}), change.quorum({"a", "b"}), change.completed().quorum({"b", "d"})
        (True, False, True)
        """
        return all(
            2 * sum(name in who for name, _ in seats) > len(seats) for seats in (self.old, self.new)
        )

    def blocks(self, who: Collection[str]) -> bool:
        """Whether every majority, of either set, has one of them.

        >>> founded(["a", "b", "c"], 7).blocks({"a"}), founded(["a", "b", "c"], 7).blocks({"a", "b"})
        (False, True)
        """
        return all(
            sum(name in who for name, _ in seats) > len(seats) - (len(seats) // 2 + 1)
            for seats in (self.old, self.new)
        )

    def completed(self) -> "ReplicaSet":
        """The new set alone: its view is known to be active."""
        return self._replace(old=self.new)

    def changed(self, add: str = "", remove: str = "") -> "ReplicaSet":
        """The change of a settled set; a newcomer's rank was nobody's in the last changes.

        >>> founded(["a", "b", "c"], 7).changed(add="d", remove="a").new
        (('b', 1), ('c', 2), ('d', 3))
        """
        number = self.number + 1
        seats = [seat for seat in self.new if seat[0] != remove]
        if add:
            used = {rank for _, rank in self.new}
            free = next(
                rank % MOST for rank in range(number, number + MOST + 1) if rank % MOST not in used
            )
            seats.append((add, free))
        return ReplicaSet(self.system, number, self.new, tuple(sorted(seats)))

    def to_json(self) -> list[Any]:
        """As it is stored and sent."""
        return [
            self.system,
            self.number,
            [list(seat) for seat in self.old],
            [list(seat) for seat in self.new],
        ]

    @classmethod
    def from_json(cls, told: Any) -> "ReplicaSet":
        """What `to_json` gave, from JSON."""
        system, number, old, new = told
        return cls(system, number, tuple(map(tuple, old)), tuple(map(tuple, new)))


NO_MEMBERS = ReplicaSet(0, 0, (), ())


def founded(names: Iterable[str], system: int = 0) -> ReplicaSet:
    """The first set; without a system's number it is derived from the names (founded by an earlier
    revision)."""
    names = sorted(names)
    if not system:
        digest = hashlib.blake2b(",".join(names).encode(), digest_size=6).digest()
        system = int.from_bytes(digest, "big") | 1
    seats = tuple((name, rank) for rank, name in enumerate(names))
    return ReplicaSet(system, 0, seats, seats)


class Outlook(NamedTuple):
    """What a change would leave."""

    number: int
    members: tuple[str, ...]
    up: tuple[
        str, ...
    ]  # those of them that are in the chain, or were up to date enough to be taken in
    bears: int  # of those that are up, how many may be lost at once
    why: str  # why it is refused; "": it is not

    def to_json(self) -> dict[str, Any]:
        return {
            "number": self.number,
            "members": list(self.members),
            "up": list(self.up),
            "bears": self.bears,
            **({"why": self.why} if self.why else {}),
        }


def crowded(before: Sequence[str], after: Sequence[str], zones: Mapping[str, str]) -> str:
    """The zone that would hold a majority after a change though none did before; "": none. Unknown
    zones count apart.

    >>> zones = {"a": "north", "b": "east", "c": "west", "d": "east"}
    >>> crowded("abc", "bcd", zones), crowded("abc", "acd", zones), crowded("bcd", "bd", zones)
    ('east', '', '')
    """

    def fullest(members: Sequence[str]) -> str:
        counts = Counter(zone for who in members if (zone := zones.get(who)))
        return next((zone for zone, count in counts.items() if 2 * count > len(members) > 1), "")

    return "" if fullest(before) else fullest(after)


def outlook(
    present: ReplicaSet,
    chain: Sequence[str],
    ready: Collection[str],
    add: str,
    remove: str,
    bear: int,
) -> Outlook:
    """What a change of that settled set would leave; `chain`: of its active view, `ready`:
    learners.

    >>> three = founded(["a", "b", "c"], 7)
    >>> outlook(three, ["a", "b", "c"], ["d"], "d", "a", 1).why
    ''
    >>> outlook(three, ["a", "b", "c"], [], "", "a", 1).why
    'would leave 2 members, 3 are needed to bear the loss of 1'
    >>> outlook(three, ["a", "b"], ["d"], "d", "a", 1).why
    'would leave 2 of 3 up with none to lose: bring back c, or replace it first'
    >>> outlook(three, ["a", "b"], ["d"], "d", "c", 1).bears
    1
    """
    members = present.members
    if not add and not remove:
        why = "nothing to change"
    elif add and add in members:
        why = f"{add} is a member"
    elif remove and remove not in members:
        why = f"{remove} is no member"
    elif add and add not in ready:
        why = f"{add} is not ready: no learner of this system that all of the chain hear, filled and well"
    elif len(members) + bool(add) - bool(remove) > MOST:
        why = f"would leave more than {MOST} members"
    else:
        why = ""
    after = present.changed(add, remove) if not why else present
    up = tuple(name for name in after.members if name in chain or name == add)
    margin = len(up) - (len(after.members) // 2 + 1)
    before = sum(name in chain for name in members) - (len(members) // 2 + 1)
    counted = [name for name in chain if name in after.members and name != add]
    if not why and len(after.members) < 2 * bear + 1 <= len(members):
        why = f"would leave {len(after.members)} members, {2 * bear + 1} are needed to bear the loss of {bear}"
    elif not why and margin < bear and (margin < before or remove in chain) and margin >= 0:
        down = ", ".join(name for name in after.members if name not in up)
        why = (
            f"would leave {len(up)} of {len(after.members)} up with {margin or 'none'} to lose: "
            f"bring back {down or 'the others'}, or replace it first"
        )
    elif not why and (margin < 0 or not after.quorum(counted)):
        why = (
            f"would leave {len(up)} of {len(after.members)} up, of which too few hold what is held"
        )
    return Outlook(after.number, after.members, up, max(0, margin), why)

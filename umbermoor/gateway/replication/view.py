"""Views: who is in the chain, under which epoch, and an attempt to agree on the next one.

A view is agreed on as one decree: its proposer has a majority of the members that are not blank
promise an epoch that nobody else proposes, takes the state of the highest version among them, and
has every member of the new chain accept it. Source: Lamport, Paxos Made Simple (2001), with the
whole chain in place of an accepting majority; van Renesse and Schneider, Chain Replication (2004).
Times are whole microseconds.
"""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from umbermoor.gateway.replication.replica_set import MOST, ReplicaSet

STEP = 256 * MOST

Version = tuple[int, int]  # epoch, seq


class View(NamedTuple):
    epoch: int
    chain: tuple[str, ...]  # from head to tail


NO_VIEW = View(0, ())


def epoch_after(epoch: int, rank: int, chance: random.Random) -> int:
    """An epoch above `epoch` that no other member proposes, nor this one again if its disk is lost
    meanwhile.

    >>> epoch_after(0, 2, random.Random(1)) // STEP, epoch_after(5 * STEP + 77, 2, random.Random(1)) // STEP
    (1, 6)
    """
    return (epoch // STEP + 1) * STEP + chance.randrange(256) * MOST + rank


def choose_chain(
    order: Iterable[str],
    shunned: Iterable[str],
    enough: Callable[[Collection[str]], bool],
    mutual: Callable[[str, str], bool],
) -> tuple[str, ...]:
    """Of those in `order`, as many as all hear each other, the first ones preferred; all, if that
    is not enough.

    >>> two = lambda chosen: len(chosen) >= 2
    >>> choose_chain("abc", "", two, lambda one, other: {one, other} != {"a", "b"})
    ('a', 'c')
    >>> choose_chain("abc", "c", two, lambda one, other: True)
    ('a', 'b')
    >>> choose_chain("ab", "b", two, lambda one, other: True)
    ('a', 'b')
    """
    order = tuple(order)
    chosen: list[str] = []
    for one in order:
        if one not in shunned and all(mutual(one, other) for other in chosen):
            chosen.append(one)
    return tuple(chosen) if enough(chosen) else order


class Promise(NamedTuple):
    blank: bool
    version: Version
    state: Mapping[str, Any] | None  # None: as the proposer's, or older
    hears: frozenset[str]  # whom it hears


@dataclass(slots=True)
class Attempt:
    """To agree on the view `epoch`, from its first step to the last acceptance."""

    epoch: int
    began: int
    shunned: frozenset[str]
    sets: ReplicaSet  # majorities of whom are needed, and what the view will carry
    before: ReplicaSet  # the set of the newest view known, of the epoch `known`
    known: int
    change: bool = False  # it is to change that set
    add: str = ""  # that is to be in the chain
    promises: dict[str, Promise] = field(default_factory=dict)
    sent: int = -(2**40)  # when those were last asked who have not replied
    chain: tuple[str, ...] = ()  # () as long as promises are collected
    base: Version = (0, 0)
    state: Mapping[str, Any] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)

    def counting(self) -> list[str]:
        """Who has promised and counts: neither blank nor a learner."""
        return [
            who
            for who, promise in self.promises.items()
            if not promise.blank and who in self.sets.names
        ]

    def mutual(self, one: str, other: str) -> bool:
        return other in self.promises[one].hears and one in self.promises[other].hears

    def newest(self) -> Promise:
        """Whose state is to be taken."""
        return max(
            (self.promises[who] for who in self.counting()), key=lambda promise: promise.version
        )

"""An attempt to agree on the next view, and how long this replica makes none.

Source: Lamport, Paxos Made Simple (2001): a view is one decree, with the whole chain in place of an
accepting majority. Times are microseconds.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.gateway.effects import JsonValue
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.replication.timing import YIELD
from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.units import MILLISECOND

NEVER = -(2**40)  # as the time of something that has not happened


class Promise(NamedTuple):
    """What one replica told with its promise."""

    disk_lost: bool
    version: Version
    state: Mapping[str, JsonValue] | None  # None: as the proposer's, or older
    hears: frozenset[str]


@dataclass(slots=True)
class Attempt:
    """An attempt to agree on the view `epoch`, from the first promise to the last acceptance."""

    epoch: int
    began: int
    excluded: frozenset[str]
    replica_set: ReplicaSet  # whose majorities are needed, and which the view will carry
    basis: ReplicaSet  # the set of the newest view known, of the epoch `basis_epoch`
    basis_epoch: int
    is_change: bool = False  # it is to change that set
    newcomer: str = ""  # that must be in the chain
    promises: dict[str, Promise] = field(default_factory=dict)
    sent_at: int = NEVER  # when those were last asked who have not replied
    chain: tuple[str, ...] = ()  # () as long as promises are collected
    base_version: Version = (0, 0)
    state: Mapping[str, JsonValue] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)

    def counting(self) -> list[str]:
        """Who has promised and counts: neither one whose disk was lost, nor a learner."""
        return [
            name
            for name, promise in self.promises.items()
            if not promise.disk_lost and name in self.replica_set.names
        ]

    def in_contact(self, first: str, second: str) -> bool:
        """Whether the two hear each other, by their promises."""
        return second in self.promises[first].hears and first in self.promises[second].hears

    def newest_promise(self) -> Promise:
        """The promise whose state the view takes over."""
        return max(
            (self.promises[name] for name in self.counting()),
            key=lambda promise: promise.version,
        )

    def follow_set(self, epoch: int, replica_set: ReplicaSet) -> None:
        """A newer view of that epoch carries that set; a change of an older set is given up."""
        self.basis_epoch = epoch
        if replica_set == self.basis:
            return
        self.replica_set = self.basis = replica_set
        self.is_change, self.newcomer = False, ""
        self.sent_at = NEVER


class Proposals:
    """The attempt under way, if any, and the time before which no other one begins."""

    __slots__ = ("attempt", "not_before")

    def __init__(self) -> None:
        self.attempt: Attempt | None = None
        self.not_before = 0

    def begin(self, attempt: Attempt) -> None:
        """Pursue that attempt from now on."""
        self.attempt = attempt

    def end(self) -> None:
        """The attempt has come to a view."""
        self.attempt = None

    def give_up(self, now: int, rng: random.Random) -> None:
        """The attempt failed: pause for a random while."""
        self.attempt = None
        self.not_before = now + 50 * MILLISECOND + rng.randrange(300 * MILLISECOND)

    def yield_to_other(self, now: int, rng: random.Random) -> None:
        """Another replica's attempt has a higher epoch: leave it the time that it needs."""
        self.attempt = None
        self.not_before = now + YIELD + rng.randrange(400 * MILLISECOND)

    def drop_below(self, epoch: int) -> None:
        """A view of that epoch was accepted: an attempt at an earlier one is void."""
        if self.attempt and self.attempt.epoch < epoch:
            self.attempt = None

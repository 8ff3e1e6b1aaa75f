"""An attempt to agree on the next view, and the pause between attempts.

Source: Lamport, Paxos Made Simple (2001): a view is a single decree, and the whole chain takes the
role of the accepting majority. Times are in microseconds.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.gateway.effects import JsonValue
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.replication.timing import YIELD_DELAY
from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.units import MILLISECOND

NEVER = -(2**40)  # time of an event that has not happened


class Promise(NamedTuple):
    """The content of one replica's promise."""

    disk_lost: bool
    version: Version
    state: Mapping[str, JsonValue] | None  # None: no newer than the proposer's state
    hears: frozenset[str]


@dataclass(slots=True)
class Attempt:
    """An attempt to agree on the view `epoch`, from the first promise to the last acceptance."""

    epoch: int
    began: int
    excluded: frozenset[str]
    replica_set: ReplicaSet  # its majorities must agree; the view will carry it
    basis: ReplicaSet  # the set of the newest known view, of epoch `basis_epoch`
    basis_epoch: int
    is_change: bool = False  # whether the attempt changes that set
    newcomer: str = ""  # member that must be in the chain; "": none
    promises: dict[str, Promise] = field(default_factory=dict)
    sent_at: int = NEVER  # when the replicas without a reply were last asked
    chain: tuple[str, ...] = ()  # empty while promises are being collected
    base_version: Version = (0, 0)
    state: Mapping[str, JsonValue] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)

    def counting_members(self) -> list[str]:
        """Return the members whose promises count towards a majority.

        Promises of learners and of replicas whose disk was lost do not count.
        """
        return [
            name
            for name, promise in self.promises.items()
            if not promise.disk_lost and name in self.replica_set.names
        ]

    def in_contact(self, first: str, second: str) -> bool:
        """Whether the two replicas hear each other, according to their promises."""
        return second in self.promises[first].hears and first in self.promises[second].hears

    def newest_promise(self) -> Promise:
        """Return the counting promise of the highest version, whose state the view takes over."""
        return max(
            (self.promises[name] for name in self.counting_members()),
            key=lambda promise: promise.version,
        )

    def follow_set(self, epoch: int, replica_set: ReplicaSet) -> None:
        """Adopt the replica set of a newer view of that epoch.

        If the set differs from the one that the attempt began with, the attempt's change is
        abandoned.
        """
        self.basis_epoch = epoch
        if replica_set == self.basis:
            return
        self.replica_set = self.basis = replica_set
        self.is_change, self.newcomer = False, ""
        self.sent_at = NEVER


class Proposals:
    """The attempt in progress, if any, and the time before which no other attempt begins."""

    __slots__ = ("attempt", "not_before")

    def __init__(self) -> None:
        self.attempt: Attempt | None = None
        self.not_before = 0

    def begin(self, attempt: Attempt) -> None:
        """Start pursuing the attempt."""
        self.attempt = attempt

    def end(self) -> None:
        """Clear the attempt after its view became active."""
        self.attempt = None

    def give_up(self, now: int, rng: random.Random) -> None:
        """Clear the failed attempt and pause for a random time."""
        self.attempt = None
        self.not_before = now + 50 * MILLISECOND + rng.randrange(300 * MILLISECOND)

    def yield_to_other(self, now: int, rng: random.Random) -> None:
        """Clear the attempt and pause, because another replica's attempt has a higher epoch.

        The pause leaves that attempt enough time to complete.
        """
        self.attempt = None
        self.not_before = now + YIELD_DELAY + rng.randrange(400 * MILLISECOND)

    def drop_below(self, epoch: int) -> None:
        """Clear an attempt at an epoch below that of a view accepted meanwhile."""
        if self.attempt and self.attempt.epoch < epoch:
            self.attempt = None

"""Members, suspicion of them, and those that have departed; every change is queued for gossip."""

import random
from dataclasses import dataclass

from umbermoor.gateway.membership.messages import Incarnation, MemberState
from umbermoor.gateway.membership.updates import UpdateQueue
from umbermoor.gateway.units import MILLISECOND, SECOND

MAX_MEMBERS = 512
MAX_DEPARTED = 256
SUSPICION_TIMEOUT = 2000 * MILLISECOND
"""From suspicion to removal, times the local health multiplier."""
CONFIRMED_SUSPICION_TIMEOUT = 1000 * MILLISECOND
"""The same once another member has declared the suspect dead."""
SUSPECT_PROBE_INTERVAL = 700 * MILLISECOND
"""Between this proxy's own probes of a suspect."""
DEPARTED_RETENTION = 600 * SECOND
"""A departed member is forgotten after this long."""
UNANSWERED_RETENTION = 60 * SECOND
"""So is an address where nobody ever answered."""
RECONSIDER_INTERVAL = 5 * SECOND
"""A departed address that discovery still names becomes a candidate again after this long."""
REJOIN_SAMPLE = 4
"""Departed members of which the one probed longest ago is probed next."""

NEVER_ANSWERED = Incarnation(0, 0)
"""Stands for the incarnation of an address where nobody ever answered."""


@dataclass(slots=True)
class Suspicion:
    """Since when a member is suspect, and what follows."""

    since: int
    deadline: int
    next_probe: int


@dataclass(slots=True)
class Member:
    """A proxy that has answered a probe of this one and was not removed since."""

    incarnation: Incarnation
    suspicion: Suspicion | None = None
    outdated: bool = False
    """It last sent an incarnation earlier than the one known here, and is to be told."""

    @property
    def state(self) -> MemberState:
        """ALIVE or SUSPECT."""
        return MemberState.ALIVE if self.suspicion is None else MemberState.SUSPECT


@dataclass(slots=True)
class Departed:
    """A proxy that was removed or left, or an address where nobody answered."""

    incarnation: Incarnation
    since: int
    left: bool
    """Of its own accord."""
    last_probe: int

    @property
    def state(self) -> MemberState:
        """DEAD or LEFT."""
        return MemberState.LEFT if self.left else MemberState.DEAD

    @property
    def never_answered(self) -> bool:
        """Whether no proxy was ever known there."""
        return self.incarnation == NEVER_ANSWERED

    def rules_out(self, incarnation: Incarnation) -> bool:
        """Whether a proxy of that incarnation is the one that left."""
        return self.left and incarnation <= self.incarnation

    def expired(self, now: int) -> bool:
        """Whether it may be forgotten."""
        retention = UNANSWERED_RETENTION if self.never_answered else DEPARTED_RETENTION
        return now - self.since > retention


@dataclass(slots=True)
class Transitions:
    """How often members changed state, since the start."""

    joined: int = 0
    suspected: int = 0
    refuted: int = 0
    removed: int = 0
    left: int = 0
    restarted: int = 0
    rejoined: int = 0


class MemberTable:
    """Members and departed proxies by address. Both are bounded."""

    def __init__(self, rng: random.Random, updates: UpdateQueue) -> None:
        self.members: dict[str, Member] = {}
        self.departed: dict[str, Departed] = {}
        self.transitions = Transitions()
        self._rng = rng
        self._updates = updates

    @property
    def full(self) -> bool:
        """Whether no member can join."""
        return len(self.members) >= MAX_MEMBERS

    def has(self, address: str) -> bool:
        """Whether a member is there, suspect or not."""
        return address in self.members

    def alive(self) -> list[str]:
        """Members that are not suspect."""
        return [address for address, member in self.members.items() if member.suspicion is None]

    def admit(self, address: str, incarnation: Incarnation) -> None:
        """A proxy that is no member has answered: it joins, or rejoins."""
        former = self.departed.pop(address, None)
        self.members[address] = Member(incarnation)
        if former is None or former.incarnation.generation != incarnation.generation:
            self.transitions.joined += 1
        else:
            self.transitions.rejoined += 1
        self._updates.enqueue(MemberState.ALIVE, address, incarnation)

    def observe(self, address: str, member: Member, incarnation: Incarnation) -> None:
        """A message of the member itself carries this incarnation."""
        member.outdated = incarnation < member.incarnation
        if incarnation > member.incarnation:
            self.renew(address, member, incarnation)

    def renew(self, address: str, member: Member, incarnation: Incarnation) -> None:
        """The member is alive at a later incarnation: restarted, or it refutes a suspicion."""
        if incarnation.generation != member.incarnation.generation:
            self.transitions.restarted += 1
        elif member.suspicion is not None:
            self.transitions.refuted += 1
        member.incarnation = incarnation
        member.suspicion = None
        member.outdated = False
        self._updates.enqueue(MemberState.ALIVE, address, incarnation)

    def suspect(
        self, now: int, address: str, member: Member, incarnation: Incarnation, multiplier: int
    ) -> None:
        """The member is suspect at this incarnation, known or later.

        Args:
            now: microseconds.
            address: the member's.
            member: its record.
            incarnation: at least the one known.
            multiplier: the local health multiplier; the suspicion lasts so much longer.
        """
        if incarnation.generation != member.incarnation.generation:
            self.transitions.restarted += 1
            member.suspicion = None
        member.incarnation = incarnation
        if member.suspicion is None:
            self.transitions.suspected += 1
            deadline = now + SUSPICION_TIMEOUT * multiplier
            first_probe = now + self._rng.randrange(SUSPECT_PROBE_INTERVAL // 2)
            member.suspicion = Suspicion(now, deadline, first_probe)
        self._updates.enqueue(MemberState.SUSPECT, address, incarnation)

    def remove(self, now: int, address: str, state: MemberState, incarnation: Incarnation) -> None:
        """The member was declared DEAD, or has LEFT, at this incarnation."""
        del self.members[address]
        if address not in self.departed and len(self.departed) >= MAX_DEPARTED:
            self._forget_one_departed()
        left = state is MemberState.LEFT
        self.departed[address] = Departed(incarnation, now, left, now)
        if left:
            self.transitions.left += 1
        else:
            self.transitions.removed += 1
        self._updates.enqueue(state, address, incarnation)

    def _forget_one_departed(self) -> None:
        """The earliest of those that never answered; else the earliest of all."""

        def rank(address: str) -> tuple[bool, int]:
            departed = self.departed[address]
            return not departed.never_answered, departed.since

        del self.departed[min(self.departed, key=rank)]

    def note_unanswered(self, now: int, address: str) -> None:
        """A candidate was given up."""
        if address not in self.departed and len(self.departed) < MAX_DEPARTED:
            self.departed[address] = Departed(NEVER_ANSWERED, now, False, now)

    def may_reconsider(self, now: int, address: str) -> bool:
        """Whether an address named by discovery may become a candidate."""
        departed = self.departed.get(address)
        if departed is None:
            return True
        return now - max(departed.since, departed.last_probe) >= RECONSIDER_INTERVAL

    def forget_expired(self, now: int) -> None:
        """Drops departed proxies whose retention is over."""
        for address, departed in list(self.departed.items()):
            if departed.expired(now):
                del self.departed[address]

    def next_rejoin_target(self, now: int) -> str | None:
        """A departed proxy to probe now, lest a healed partition stays unseen, or None.

        Those that were members come before addresses that never answered; those that left of
        their own accord are not probed.
        """
        removed = [address for address, departed in self.departed.items() if not departed.left]
        former_members = [
            address for address in removed if not self.departed[address].never_answered
        ]
        choice = former_members or removed
        if not choice:
            return None
        sample = self._rng.sample(choice, min(REJOIN_SAMPLE, len(choice)))
        target = min(sample, key=lambda address: self.departed[address].last_probe)
        self.departed[target].last_probe = now
        return target

    def postpone(self, delay: int) -> None:
        """Puts off the end of every suspicion."""
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.deadline += delay

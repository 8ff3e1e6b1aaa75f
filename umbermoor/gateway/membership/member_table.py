"""Members, suspicions and departed proxies; every change is queued for gossip."""

import random
from dataclasses import dataclass

from umbermoor.gateway.membership.messages import Incarnation, MemberState
from umbermoor.gateway.membership.updates import UpdateQueue
from umbermoor.gateway.units import MILLISECOND, SECOND

MAX_MEMBERS = 512
MAX_DEPARTED = 256
SUSPICION_TIMEOUT = 2000 * MILLISECOND
"""Time from suspicion to removal; multiplied by the local health multiplier."""
CONFIRMED_SUSPICION_TIMEOUT = 1000 * MILLISECOND
"""Time from suspicion to removal once another member has declared the suspect dead."""
SUSPECT_PROBE_INTERVAL = 700 * MILLISECOND
"""Interval between this proxy's own probes of a suspect."""
DEPARTED_RETENTION = 600 * SECOND
"""A departed member is forgotten after this long."""
UNANSWERED_RETENTION = 60 * SECOND
"""An address that never answered is forgotten after this long."""
RECONSIDER_INTERVAL = 5 * SECOND
"""A departed address that discovery still names becomes a candidate again after this long."""
REJOIN_SAMPLE = 4
"""Size of the random sample of departed members; the one probed longest ago is probed next."""

NEVER_ANSWERED = Incarnation(0, 0)
"""Placeholder incarnation of an address that never answered."""


@dataclass(slots=True)
class Suspicion:
    """Since when a member is suspect, when it is removed, and when it is probed next."""

    since: int
    deadline: int
    next_probe: int


@dataclass(slots=True)
class Member:
    """A proxy that has answered a probe of this one and has not been removed since."""

    incarnation: Incarnation
    suspicion: Suspicion | None = None
    outdated: bool = False
    """Whether it last sent an earlier incarnation than the known one; it is then told so."""

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
    """Whether it announced that it leaves."""
    last_probe: int

    @property
    def state(self) -> MemberState:
        """DEAD or LEFT."""
        return MemberState.LEFT if self.left else MemberState.DEAD

    @property
    def never_answered(self) -> bool:
        """Whether no proxy ever answered at this address."""
        return self.incarnation == NEVER_ANSWERED

    def rules_out(self, incarnation: Incarnation) -> bool:
        """Whether a proxy of that incarnation is the one that has left."""
        return self.left and incarnation <= self.incarnation

    def expired(self, now: int) -> bool:
        """Whether it may be forgotten."""
        retention = UNANSWERED_RETENTION if self.never_answered else DEPARTED_RETENTION
        return now - self.since > retention


@dataclass(slots=True)
class Transitions:
    """Counts of members' state changes since the start."""

    joined: int = 0
    suspected: int = 0
    refuted: int = 0
    removed: int = 0
    left: int = 0
    restarted: int = 0
    rejoined: int = 0


class MemberTable:
    """Members and departed proxies by address; the numbers of both are bounded."""

    def __init__(self, rng: random.Random, updates: UpdateQueue) -> None:
        self.members: dict[str, Member] = {}
        self.departed: dict[str, Departed] = {}
        self.transitions = Transitions()
        self._rng = rng
        self._updates = updates

    @property
    def full(self) -> bool:
        """Whether no further member can join."""
        return len(self.members) >= MAX_MEMBERS

    def has(self, address: str) -> bool:
        """Whether the proxy at an address is a member, suspect or not."""
        return address in self.members

    def alive(self) -> list[str]:
        """Return the addresses of members that are not suspect."""
        return [address for address, member in self.members.items() if member.suspicion is None]

    def admit(self, address: str, incarnation: Incarnation) -> None:
        """Add a proxy that has answered a probe; it joins or rejoins."""
        former = self.departed.pop(address, None)
        self.members[address] = Member(incarnation)
        if former is None or former.incarnation.generation != incarnation.generation:
            self.transitions.joined += 1
        else:
            self.transitions.rejoined += 1
        self._updates.enqueue(MemberState.ALIVE, address, incarnation)

    def observe(self, address: str, member: Member, incarnation: Incarnation) -> None:
        """Note the incarnation that a member's own message carries."""
        member.outdated = incarnation < member.incarnation
        if incarnation > member.incarnation:
            self.renew(address, member, incarnation)

    def renew(self, address: str, member: Member, incarnation: Incarnation) -> None:
        """Mark a member alive at a later incarnation: it restarted or refuted a suspicion."""
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
        """Mark a member suspect at this incarnation.

        Args:
            now: microseconds.
            address: the member's address.
            member: its entry.
            incarnation: not earlier than the known one.
            multiplier: the local health multiplier, which extends the suspicion time-out.
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
        """Remove a member that was declared DEAD or has LEFT at this incarnation."""
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
        """Drop the oldest departed address that never answered; without one, the oldest of all."""

        def rank(address: str) -> tuple[bool, int]:
            departed = self.departed[address]
            return not departed.never_answered, departed.since

        del self.departed[min(self.departed, key=rank)]

    def note_unanswered(self, now: int, address: str) -> None:
        """Remember a candidate that never answered."""
        if address not in self.departed and len(self.departed) < MAX_DEPARTED:
            self.departed[address] = Departed(NEVER_ANSWERED, now, False, now)

    def may_reconsider(self, now: int, address: str) -> bool:
        """Whether an address named by discovery may become a candidate."""
        departed = self.departed.get(address)
        if departed is None:
            return True
        return now - max(departed.since, departed.last_probe) >= RECONSIDER_INTERVAL

    def forget_expired(self, now: int) -> None:
        """Drop the departed proxies whose retention time is over."""
        for address, departed in list(self.departed.items()):
            if departed.expired(now):
                del self.departed[address]

    def next_rejoin_target(self, now: int) -> str | None:
        """Return a departed proxy to probe now, or None; this detects that a partition has healed.

        Former members come before addresses that never answered; proxies that have left are not
        probed.
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
        """Extend the deadline of every suspicion."""
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.deadline += delay

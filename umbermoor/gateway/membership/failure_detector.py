"""A SWIM failure detector with suspicion: one proxy's view of which other proxies are alive.

After SWIM (Das, Gupta, Motivala, DSN 2002): a ping to one member in turn, ping requests through
others, suspicion before removal, incarnation numbers, updates carried on the messages.

Of Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018, arXiv 1707.00788) there are:

* the local health aware probe: intervals and time-outs grow with the local health multiplier;
  those asked for a ping say at once that they received the request (its nack, sent earlier);
* of local health aware suspicion only this: the suspicion time-out grows with the multiplier, and
  is halved once another member has declared the suspect dead. It does not shrink step by step with
  each further suspicion, nor depend on the size of the group;
* the buddy system: a suspect is told of the suspicion first, on every message to it.

Where this detector differs from both: an address is believed alive, or again alive, only once it
has answered this proxy itself; each proxy pings a suspect itself before it removes it; a proxy that
was stalled or cut off declares nobody dead for a while.

Times are whole microseconds. `docs/failure-detector.md` weighs the alternatives.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from umbermoor.gateway.membership.candidates import CandidateTable
from umbermoor.gateway.membership.codec import decode
from umbermoor.gateway.membership.local_health import (
    LATE_TICK_GAP,
    STALLED_TICK_GAP,
    LocalHealth,
)
from umbermoor.gateway.membership.local_member import LocalMember
from umbermoor.gateway.membership.member_table import (
    CONFIRMED_SUSPICION_TIMEOUT,
    Member,
    MemberTable,
    Transitions,
)
from umbermoor.gateway.membership.messages import (
    Datagram,
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageType,
)
from umbermoor.gateway.membership.outbox import Outbox
from umbermoor.gateway.membership.prober import Prober
from umbermoor.gateway.membership.updates import UpdateQueue

LEAVE_ANNOUNCEMENTS = 4
"""How often a leaving proxy says so, and to how many members each time."""


@dataclass(frozen=True, slots=True)
class Statistics:
    """Figures for operators: present sizes, and events since the start."""

    alive: int
    suspects: int
    candidates: int
    departed: int
    health_score: int
    incarnation: Incarnation
    transitions: Transitions
    times_degraded: int


class FailureDetector:
    """Which proxies are alive, as seen by the one at `address`.

    A state machine without input, output or clock of its own: its methods return the datagrams to
    send, best effort. All its state is bounded.

    Args:
        address: this proxy's IPv4 address, as the others see it.
        generation: later than that of any earlier process at this address, such as the wall time
            of its start in microseconds. Where that clock went back, what others say corrects it.
        rng: the source of all random choices.

    Raises:
        ValueError: the address is not that of a host, or the generation is out of range.
    """

    def __init__(self, address: str, generation: int, rng: random.Random) -> None:
        self.rng = rng
        self.health = LocalHealth()
        self._local = LocalMember(address, generation)
        self._updates = UpdateQueue()
        self._table = MemberTable(rng, self._updates)
        self._candidates = CandidateTable(address, self._table)
        self._outbox = Outbox(self._local, self._table, self._updates, rng)
        self._prober = Prober(
            self._local, self.health, self._table, self._candidates, self._outbox, rng
        )

    @property
    def address(self) -> str:
        """This proxy's own."""
        return self._local.address

    @property
    def incarnation(self) -> Incarnation:
        """This proxy's own."""
        return self._local.incarnation

    # What it knows

    def alive(self) -> tuple[str, ...]:
        """The addresses believed alive and not suspect, this one's included, sorted."""
        return tuple(sorted([self.address, *self._table.alive()]))

    def member_count(self) -> int:
        """How many proxies there are at most: suspects count, and so does this one.

        A proxy that hears nobody keeps its count.
        """
        return len(self._table.members) + 1

    def is_member(self, address: str) -> bool:
        """Whether another proxy counts as a member, suspect or not."""
        return self._table.has(address)

    def departed(self) -> tuple[str, ...]:
        """Addresses that were removed, left, or never answered, as far as remembered."""
        return tuple(self._table.departed)

    def statistics(self) -> Statistics:
        """Figures for operators."""
        alive = len(self.alive())
        return Statistics(
            alive=alive,
            suspects=self.member_count() - alive,
            candidates=len(self._candidates),
            departed=len(self._table.departed),
            health_score=self.health.score,
            incarnation=self.incarnation,
            transitions=replace(self._table.transitions),
            times_degraded=self.health.times_degraded,
        )

    # Inputs

    def discovered(self, now: int, addresses: Iterable[str]) -> None:
        """Addresses where proxies may run; each is probed. To be called as often as wanted."""
        for address in addresses:
            if self._table.may_reconsider(now, address):
                self._candidates.add(now, address)

    def receive(self, now: int, source: str, data: bytes) -> list[Datagram]:
        """Takes a datagram in; what no proxy at `source` can have sent changes nothing."""
        message = decode(data)
        if message is None or message.sender != source or source == self.address:
            return []
        if message.type is MessageType.ACK:
            self._prober.receive_ack(now, message)
        member = self._table.members.get(source)
        if member is not None:
            self._note_contact(now)
            self._table.observe(source, member, message.incarnation)
        self._apply_updates(now, message, from_member=member is not None)
        if self._local.leaving:
            if message.type.is_ping:
                self._outbox.send(source, MessageType.GOSSIP)
        else:
            self._answer(now, message)
        return self._outbox.drain()

    def tick(self, now: int) -> list[Datagram]:
        """What is due by now; to be called about every 100 ms.

        A call that comes late makes this proxy doubt itself, not the others.
        """
        self._prober.renew_burst()
        if self.health.awaits_first_contact:
            self._prober.start(now)
        gap = self.health.tick(now)
        if self._local.leaving:
            if self._local.leave_announcements < LEAVE_ANNOUNCEMENTS:
                self._announce_leave()
            return self._outbox.drain()
        if gap > LATE_TICK_GAP:
            self._postpone_timeouts(gap)
        if gap > STALLED_TICK_GAP:
            self.health.degrade(now)
        self._prober.advance(now)
        self._remove_unrefuted(now)
        self._prober.send_due(now)
        return self._outbox.drain()

    def leave(self, now: int) -> list[Datagram]:
        """This proxy ends of its own accord: it tells some members, and acknowledges no more pings.

        Later ticks repeat it.
        """
        if not self._local.leaving:
            self._announce_leave()
        return self._outbox.drain()

    # This proxy's own health

    def _note_contact(self, now: int) -> None:
        cut_off_for = self.health.contact(now)
        if cut_off_for:
            self._postpone_timeouts(cut_off_for)

    def _postpone_timeouts(self, delay: int) -> None:
        """No time-out may end by this proxy's own absence."""
        self._prober.postpone(delay)
        self._table.postpone(delay)

    # Updates

    def _apply_updates(self, now: int, message: Message, from_member: bool) -> None:
        for update in message.updates:
            if update.address == self.address:
                self._refute(update, from_member)
            elif from_member:
                self._apply_update(now, update)

    def _refute(self, update: MemberUpdate, from_member: bool) -> None:
        if not self._local.refute(update, from_member):
            return
        if update.state in (MemberState.SUSPECT, MemberState.DEAD):
            self.health.worsen()
        self._updates.enqueue(MemberState.ALIVE, self.address, self.incarnation)

    def _apply_update(self, now: int, update: MemberUpdate) -> None:
        """What a member says of another proxy."""
        state, address, incarnation = update
        member = self._table.members.get(address)
        if member is None:
            departed = self._table.departed.get(address)
            running = state in (MemberState.ALIVE, MemberState.SUSPECT)
            if running and (departed is None or incarnation > departed.incarnation):
                self._candidates.add(now, address)
        elif state is MemberState.ALIVE:
            if incarnation > member.incarnation:
                self._table.renew(address, member, incarnation)
        elif incarnation < member.incarnation:
            return
        elif state is MemberState.LEFT:
            self._table.remove(now, address, MemberState.LEFT, incarnation)
        elif state is MemberState.DEAD and self._confirms_suspicion(now, member):
            self._table.remove(now, address, MemberState.DEAD, incarnation)
        elif member.suspicion is None or incarnation > member.incarnation:
            self._table.suspect(now, address, member, incarnation, self.health.multiplier)

    def _confirms_suspicion(self, now: int, member: Member) -> bool:
        """Whether another's word that the member is dead suffices to remove it now."""
        if member.suspicion is None or not self.health.fit_to_judge(now):
            return False
        return member.suspicion.since <= now - CONFIRMED_SUSPICION_TIMEOUT

    def _remove_unrefuted(self, now: int) -> None:
        """Removes suspects whose suspicion time-out is over."""
        if not self.health.fit_to_judge(now):
            return
        for address, member in list(self._table.members.items()):
            if member.suspicion is not None and now >= member.suspicion.deadline:
                self._table.remove(now, address, MemberState.DEAD, member.incarnation)

    # Answers to messages

    def _answer(self, now: int, message: Message) -> None:
        if message.type.is_ping:
            self._acknowledge(message)
        if not self._table.has(message.sender):
            if message.type.is_ping:
                self._prober.meet_unknown_sender(now, message)
        elif message.type is MessageType.PING_REQUEST:
            self._prober.receive_ping_request(now, message)
        elif message.type is MessageType.PING_REQUEST_RECEIVED:
            self._prober.receive_ping_request_received(message)
        elif message.type is MessageType.INDIRECT_ACK:
            self._prober.receive_indirect_ack(message)

    def _acknowledge(self, message: Message) -> None:
        self._outbox.send(
            message.sender,
            MessageType.ACK,
            message.sequence_number,
            fill_with_members=message.type is MessageType.SYNC_PING,
        )

    def _announce_leave(self) -> None:
        self._local.leave_announcements += 1
        self._updates.clear()
        members = list(self._table.members)
        for address in self.rng.sample(members, min(LEAVE_ANNOUNCEMENTS, len(members))):
            self._outbox.send(address, MessageType.GOSSIP)

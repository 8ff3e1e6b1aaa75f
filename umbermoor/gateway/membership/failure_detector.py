"""A SWIM failure detector with suspicion: one proxy's view of which other proxies are alive.

From SWIM (Das, Gupta, Motivala, DSN 2002): pings to the members in turn, indirect pings through
other members, suspicion before removal, incarnation numbers, updates piggybacked on the messages.

From Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018, arXiv 1707.00788):

* the local health aware probe: intervals and time-outs grow with the local health multiplier.
  Members asked for an indirect ping confirm the request at once; Lifeguard's nack comes later;
* a part of local health aware suspicion: the suspicion time-out grows with the multiplier, and is
  halved once another member has declared the suspect dead. It does not shrink step by step with
  each further suspicion, nor depend on the size of the group;
* the buddy system: every message to a suspect carries the suspicion as its first update.

Differences from both: an address counts as alive, or as alive again, only once it has answered this
proxy itself; each proxy pings a suspect itself before it removes it; a proxy that was stalled or
cut off declares nobody dead for a while.

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
"""How many times a leaving proxy announces it, and to how many members each time."""


@dataclass(frozen=True, slots=True)
class Statistics:
    """Statistics for operators: current sizes, and counts of events since the start."""

    alive: int
    suspects: int
    candidates: int
    departed: int
    health_score: int
    incarnation: Incarnation
    transitions: Transitions
    times_degraded: int


class FailureDetector:
    """Tracks which proxies are alive, as seen by the one at `address`.

    A state machine without I/O or a clock of its own: its methods return the datagrams to send,
    best effort. All its state is bounded.

    Args:
        address: this proxy's IPv4 address, as the others see it.
        generation: greater than that of any earlier process at this address, such as the wall
            time of its start in microseconds. If that clock went back, other members' updates
            correct the generation.
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
        """This proxy's own address."""
        return self._local.address

    @property
    def incarnation(self) -> Incarnation:
        """This proxy's own incarnation."""
        return self._local.incarnation

    # Queries

    def alive(self) -> tuple[str, ...]:
        """Return the sorted addresses of this proxy and of all members that are not suspect."""
        return tuple(sorted([self.address, *self._table.alive()]))

    def member_count(self) -> int:
        """Return the largest plausible number of proxies: with suspects, and with this one.

        A proxy that is cut off from all others keeps its count.
        """
        return len(self._table.members) + 1

    def is_member(self, address: str) -> bool:
        """Whether another proxy is a member, suspect or not."""
        return self._table.has(address)

    def departed(self) -> tuple[str, ...]:
        """Return the remembered addresses that were removed, have left, or never answered."""
        return tuple(self._table.departed)

    def statistics(self) -> Statistics:
        """Return statistics for operators."""
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
        """Add addresses where proxies may run, to be probed. May be called at any rate."""
        for address in addresses:
            if self._table.may_reconsider(now, address):
                self._candidates.add(now, address)

    def receive(self, now: int, source: str, data: bytes) -> list[Datagram]:
        """Process a datagram; one that no proxy at `source` can have sent changes nothing."""
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
        """Do what is due by now; call this about every 100 ms.

        A late call makes no others suspect: it postpones all time-outs and, after a stall, worsens
        this proxy's local health.
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
        """Announce to some members that this proxy leaves, and stop acknowledging pings.

        Later ticks repeat the announcement.
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
        """Extend all time-outs, so that none expires because this proxy itself was absent."""
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
        """Apply a member's update on another proxy."""
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
        """Whether another member's DEAD update suffices to remove this member now."""
        if member.suspicion is None or not self.health.can_declare_failures(now):
            return False
        return member.suspicion.since <= now - CONFIRMED_SUSPICION_TIMEOUT

    def _remove_unrefuted(self, now: int) -> None:
        """Remove the suspects whose suspicion time-out has expired."""
        if not self.health.can_declare_failures(now):
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
                self._prober.receive_ping_from_unknown(now, message)
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

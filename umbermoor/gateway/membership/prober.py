"""Probing: whom this proxy pings and when, and what an answer or its absence means (SWIM, 3.1)."""

import random

from umbermoor.gateway.membership.candidates import PROBE_BURST, Candidate, CandidateTable
from umbermoor.gateway.membership.local_health import LocalHealth
from umbermoor.gateway.membership.local_member import LocalMember
from umbermoor.gateway.membership.member_table import SUSPECT_PROBE_INTERVAL, MemberTable
from umbermoor.gateway.membership.messages import Message, MessageType
from umbermoor.gateway.membership.outbox import Outbox
from umbermoor.gateway.membership.probes import PingRequest, Probe, ProbeSchedule, ProbeTable
from umbermoor.gateway.units import MILLISECOND

INDIRECT_PROBERS = 3
"""SWIM's k: so many others are asked to ping a target that has not answered."""
REJOIN_PROBE_INTERVAL = 2000 * MILLISECOND
"""Between probes of departed members, in search of one that runs again."""
SYNC_NEW_MEMBERS = 4
"""Of a group of n members, a joining one is asked for its list by about so many."""


class Prober:
    """Sends probes, scheduled and other, and draws the conclusions from what comes back."""

    def __init__(
        self,
        local: LocalMember,
        health: LocalHealth,
        table: MemberTable,
        candidates: CandidateTable,
        outbox: Outbox,
        rng: random.Random,
    ) -> None:
        self._local = local
        self._health = health
        self._table = table
        self._candidates = candidates
        self._outbox = outbox
        self._rng = rng
        self._probes = ProbeTable(rng)
        self._schedule = ProbeSchedule(rng)
        self._unknown_sender_probes_left = PROBE_BURST
        self._next_rejoin_probe = 0

    # Time

    def start(self, now: int) -> None:
        """The first scheduled probe is due now."""
        self._schedule.start(now)

    def renew_burst(self) -> None:
        """A tick begins: unknown senders may be probed again."""
        self._unknown_sender_probes_left = PROBE_BURST

    def postpone(self, delay: int) -> None:
        """Puts off the time-outs of probes in flight."""
        self._probes.postpone(delay)

    def send_due(self, now: int) -> None:
        """Sends the probes that are due."""
        if self._schedule.due(now):
            self._probe_next_member(now)
        self._probe_candidates(now)
        self._probe_suspects(now)
        self._probe_departed(now)

    # Answers, and questions of others

    def receive_ack(self, now: int, message: Message) -> None:
        """A probe was answered; an unknown proxy that answers becomes a member."""
        probe = self._probes.get(message.sequence_number)
        if probe is None or probe.target != message.sender:
            return
        self._probes.end(message.sequence_number)
        if probe.scheduled:
            self._health.improve()
        if probe.on_behalf_of is not None:
            requester, sequence_number = probe.on_behalf_of.requester, probe.on_behalf_of.number
            self._outbox.send(requester, MessageType.INDIRECT_ACK, sequence_number, probe.target)
        if not self._table.has(message.sender):
            self._admit(now, message)

    def _admit(self, now: int, message: Message) -> None:
        """A proxy that is no member has answered a probe: it becomes one."""
        address = message.sender
        if self._local.leaving or self._table.full:
            return
        departed = self._table.departed.get(address)
        if departed is not None and departed.rules_out(message.incarnation):
            return
        self._candidates.discard(address)
        self._table.admit(address, message.incarnation)
        self._schedule.insert(address)
        if self._rng.random() * len(self._table.members) < SYNC_NEW_MEMBERS:
            self._probe(now, address, MessageType.SYNC_PING)

    def receive_ping_request(self, now: int, message: Message) -> None:
        """A member asks for a ping of another one."""
        number = message.sequence_number
        self._outbox.send(message.sender, MessageType.PING_REQUEST_RECEIVED, number)
        if self._table.has(message.subject):
            self._probe(now, message.subject, on_behalf_of=PingRequest(message.sender, number))

    def receive_ping_request_received(self, message: Message) -> None:
        """One of those asked for a ping has received the request."""
        probe = self._probes.get(message.sequence_number)
        if probe is not None and probe.requests_sent:
            probe.requests_received += 1

    def receive_indirect_ack(self, message: Message) -> None:
        """One of those asked for a ping had an answer: the target is alive."""
        probe = self._probes.get(message.sequence_number)
        if probe is not None and probe.requests_sent and probe.target == message.subject:
            self._probes.end(message.sequence_number)
            self._health.improve()

    def meet_unknown_sender(self, now: int, message: Message) -> None:
        """Somebody who is no member pings: it becomes a candidate, probed at once if few are."""
        address = message.sender
        departed = self._table.departed.get(address)
        if departed is not None and departed.rules_out(message.incarnation):
            return
        self._candidates.add(now, address)
        candidate = self._candidates.get(address)
        if candidate is None or candidate.next_probe > now:
            return
        if self._unknown_sender_probes_left > 0:
            self._unknown_sender_probes_left -= 1
            self._probe_candidate(now, address, candidate)

    # Probes

    def _probe_candidate(self, now: int, address: str, candidate: Candidate) -> None:
        candidate.attempted(now)
        self._probe(now, address)

    def _probe_candidates(self, now: int) -> None:
        probes_left = PROBE_BURST
        for address, candidate in self._candidates.items():
            if self._table.has(address):
                self._candidates.discard(address)
            elif candidate.next_probe > now or not probes_left:
                continue
            elif candidate.exhausted:
                self._candidates.discard(address)
                self._table.note_unanswered(now, address)
            else:
                probes_left -= 1
                self._probe_candidate(now, address, candidate)

    def _probe(
        self,
        now: int,
        target: str,
        kind: MessageType = MessageType.PING,
        on_behalf_of: PingRequest | None = None,
    ) -> None:
        """An unscheduled probe, unless too many are in flight."""
        number = self._probes.start(now, target, on_behalf_of)
        if number is not None:
            self._outbox.send(target, kind, number)

    def _probe_next_member(self, now: int) -> None:
        """The scheduled probe of the member whose turn it is."""
        multiplier = self._health.multiplier
        target = self._schedule.next_target(now, self._table.members, multiplier)
        if target is None:
            return
        sync = self._schedule.wants_sync()
        number = self._probes.start_scheduled(now, target, multiplier)
        self._outbox.send(target, MessageType.SYNC_PING if sync else MessageType.PING, number)

    def advance(self, now: int) -> None:
        """Ends probes whose time is over, and asks others about those that wait."""
        for number, probe in self._probes.in_flight():
            if now >= probe.deadline:
                self._probes.end(number)
                if probe.scheduled:
                    self._conclude_unanswered(now, probe)
            elif probe.indirect_probe_at is not None and now >= probe.indirect_probe_at:
                self._probe_indirectly(number, probe)

    def _probe_indirectly(self, number: int, probe: Probe) -> None:
        probe.indirect_probe_at = None
        others = [address for address in self._table.alive() if address != probe.target]
        for address in self._rng.sample(others, min(INDIRECT_PROBERS, len(others))):
            probe.requests_sent += 1
            self._outbox.send(address, MessageType.PING_REQUEST, number, probe.target)
        self._outbox.send(probe.target, MessageType.PING, number)

    def _conclude_unanswered(self, now: int, probe: Probe) -> None:
        """Suspects the target; if nobody asked was reached, the fault may be this proxy's."""
        member = self._table.members.get(probe.target)
        if member is None:
            return
        if probe.requests_received * 2 < probe.requests_sent:
            self._health.worsen()
        if probe.requests_received and member.suspicion is None and self._health.fit_to_judge(now):
            multiplier = self._health.multiplier
            self._table.suspect(now, probe.target, member, member.incarnation, multiplier)
            self._outbox.send(probe.target, MessageType.GOSSIP)

    def _probe_suspects(self, now: int) -> None:
        probes_left = PROBE_BURST
        for address, member in self._table.members.items():
            suspicion = member.suspicion
            if suspicion is not None and suspicion.next_probe <= now and probes_left:
                probes_left -= 1
                suspicion.next_probe = now + SUSPECT_PROBE_INTERVAL
                self._probe(now, address)

    def _probe_departed(self, now: int) -> None:
        if now < self._next_rejoin_probe:
            return
        self._next_rejoin_probe = now + REJOIN_PROBE_INTERVAL
        self._table.forget_expired(now)
        target = self._table.next_rejoin_target(now)
        if target is not None:
            self._probe(now, target)

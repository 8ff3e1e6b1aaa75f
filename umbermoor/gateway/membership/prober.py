"""Probing: sends pings and handles their answers and time-outs (SWIM, section 3.1)."""

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
"""SWIM's k: how many members are asked to ping a target that has not answered."""
REJOIN_PROBE_INTERVAL = 2000 * MILLISECOND
"""Interval between probes of departed members, to find one that runs again."""
SYNC_NEW_MEMBERS = 4
"""About this many members of a group ask a joining one for its list of members."""


class Prober:
    """Sends scheduled and unscheduled probes and handles their answers and time-outs."""

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
        """Make the first scheduled probe due now."""
        self._schedule.start(now)

    def renew_burst(self) -> None:
        """Allow probes of unknown senders again; called at each tick."""
        self._unknown_sender_probes_left = PROBE_BURST

    def postpone(self, delay: int) -> None:
        """Extend the time-outs of probes in flight."""
        self._probes.postpone(delay)

    def send_due(self, now: int) -> None:
        """Send the probes that are due."""
        if self._schedule.due(now):
            self._probe_next_member(now)
        self._probe_candidates(now)
        self._probe_suspects(now)
        self._probe_departed(now)

    # Incoming messages

    def receive_ack(self, now: int, message: Message) -> None:
        """Handle the answer to a probe; an unknown proxy that answers becomes a member."""
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
        """Make a proxy that has answered a probe a member, unless it is known to have left."""
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
        """Confirm a member's request to ping another one, and ping it if it is a member."""
        number = message.sequence_number
        self._outbox.send(message.sender, MessageType.PING_REQUEST_RECEIVED, number)
        if self._table.has(message.subject):
            self._probe(now, message.subject, on_behalf_of=PingRequest(message.sender, number))

    def receive_ping_request_received(self, message: Message) -> None:
        """Count a confirmed ping request."""
        probe = self._probes.get(message.sequence_number)
        if probe is not None and probe.requests_sent:
            probe.requests_received += 1

    def receive_indirect_ack(self, message: Message) -> None:
        """End a probe whose target has answered an indirect ping."""
        probe = self._probes.get(message.sequence_number)
        if probe is not None and probe.requests_sent and probe.target == message.subject:
            self._probes.end(message.sequence_number)
            self._health.improve()

    def receive_ping_from_unknown(self, now: int, message: Message) -> None:
        """Make a non-member that pings a candidate; probe it at once within the burst limit."""
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
        """Send an unscheduled probe, unless too many are in flight."""
        number = self._probes.start(now, target, on_behalf_of)
        if number is not None:
            self._outbox.send(target, kind, number)

    def _probe_next_member(self, now: int) -> None:
        """Send the scheduled probe to the member whose turn it is."""
        multiplier = self._health.multiplier
        target = self._schedule.next_target(now, self._table.members, multiplier)
        if target is None:
            return
        sync = self._schedule.wants_sync()
        number = self._probes.start_scheduled(now, target, multiplier)
        self._outbox.send(target, MessageType.SYNC_PING if sync else MessageType.PING, number)

    def advance(self, now: int) -> None:
        """End probes that have timed out, and send ping requests for those that wait too long."""
        for number, probe in self._probes.in_flight():
            if now >= probe.deadline:
                self._probes.end(number)
                if probe.scheduled:
                    self._handle_unanswered(now, probe)
            elif probe.indirect_probe_at is not None and now >= probe.indirect_probe_at:
                self._probe_indirectly(number, probe)

    def _probe_indirectly(self, number: int, probe: Probe) -> None:
        probe.indirect_probe_at = None
        others = [address for address in self._table.alive() if address != probe.target]
        for address in self._rng.sample(others, min(INDIRECT_PROBERS, len(others))):
            probe.requests_sent += 1
            self._outbox.send(address, MessageType.PING_REQUEST, number, probe.target)
        self._outbox.send(probe.target, MessageType.PING, number)

    def _handle_unanswered(self, now: int, probe: Probe) -> None:
        """Handle the time-out of a scheduled probe.

        The target becomes suspect only if another member confirmed a ping request. If fewer than
        half of them did, the fault may be this proxy's, and its local health worsens.
        """
        member = self._table.members.get(probe.target)
        if member is None:
            return
        if probe.requests_received * 2 < probe.requests_sent:
            self._health.worsen()
        if (
            probe.requests_received
            and member.suspicion is None
            and self._health.can_declare_failures(now)
        ):
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

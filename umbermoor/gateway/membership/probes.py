"""Probes in flight, and the order in which members are probed (SWIM, sections 3.1 and 4.3)."""

import random
from collections.abc import Collection
from dataclasses import dataclass

from umbermoor.gateway.units import MILLISECOND

PROBE_INTERVAL = 500 * MILLISECOND
"""SWIM's protocol period: one member is probed in turn."""
INDIRECT_PROBE_DELAY = 200 * MILLISECOND
"""Without an ACK for this long, others are asked to ping the target."""
UNSCHEDULED_PROBE_TIMEOUT = 1000 * MILLISECOND
MAX_PROBES = 256
"""In flight at once; a member's scheduled probe is sent beyond it."""
SYNC_PING_INTERVAL = 10
"""Every so many scheduled probes, the ACK is asked to be filled up with members."""
FIRST_SYNC_PINGS = 5
"""The first so many scheduled probes are all of this kind."""


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Who asked for a ping, under which sequence number of theirs."""

    requester: str
    number: int


@dataclass(slots=True)
class Probe:
    """A ping that has not been answered yet."""

    target: str
    deadline: int
    scheduled: bool
    """The member's turn: if nobody gets an answer of it, it becomes suspect."""
    indirect_probe_at: int | None
    """When others are asked to ping the target; None: never, or already asked."""
    requests_sent: int = 0
    """How many others were asked."""
    requests_received: int = 0
    """How many of them said that the request reached them."""
    on_behalf_of: PingRequest | None = None


class ProbeTable:
    """Probes in flight, by sequence number."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._probes: dict[int, Probe] = {}

    def start(self, now: int, target: str, on_behalf_of: PingRequest | None = None) -> int | None:
        """Notes an unscheduled probe that is sent now.

        Returns:
            Its sequence number; None where too many are in flight: then it is not to be sent.
        """
        if len(self._probes) >= MAX_PROBES:
            return None
        deadline = now + UNSCHEDULED_PROBE_TIMEOUT
        return self._add(Probe(target, deadline, False, None, on_behalf_of=on_behalf_of))

    def start_scheduled(self, now: int, target: str, multiplier: int) -> int:
        """Notes the probe of the member whose turn it is; returns its sequence number.

        Its time-outs grow with the local health `multiplier`.
        """
        deadline = now + PROBE_INTERVAL * multiplier
        return self._add(Probe(target, deadline, True, now + INDIRECT_PROBE_DELAY * multiplier))

    def _add(self, probe: Probe) -> int:
        number = self._rng.getrandbits(32)
        self._probes[number] = probe
        return number

    def get(self, number: int) -> Probe | None:
        """The probe in flight under that number."""
        return self._probes.get(number)

    def end(self, number: int) -> None:
        """The probe was answered, or its time is over."""
        del self._probes[number]

    def in_flight(self) -> list[tuple[int, Probe]]:
        """All, earliest first; probes may be ended while the list is gone through."""
        return list(self._probes.items())

    def postpone(self, delay: int) -> None:
        """Puts off every time-out."""
        for probe in self._probes.values():
            probe.deadline += delay
            if probe.indirect_probe_at is not None:
                probe.indirect_probe_at += delay


class ProbeSchedule:
    """Round-robin probing: every member once a round, in a new random order each round.

    A member that joins is put at a random place of the round, as SWIM says, so that the time until
    its first probe is bounded.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[str] = []
        self._next_at = 0
        self._scheduled = 0

    def start(self, now: int) -> None:
        """The first probe is due now."""
        self._next_at = now

    def due(self, now: int) -> bool:
        """Whether the next member is to be probed."""
        return now >= self._next_at

    def next_target(self, now: int, members: Collection[str], multiplier: int) -> str | None:
        """The member whose turn it is; None where there is none. The next turn is set."""
        interval = PROBE_INTERVAL * multiplier
        self._next_at = max(self._next_at + interval, now + interval // 2)
        while self._round and self._round[-1] not in members:
            self._round.pop()
        if not self._round:
            self._round = list(members)
            self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def wants_sync(self) -> bool:
        """Whether this turn's probe is to be a SYNC_PING; call it once a turn."""
        self._scheduled += 1
        return self._scheduled <= FIRST_SYNC_PINGS or self._scheduled % SYNC_PING_INTERVAL == 0

    def insert(self, address: str) -> None:
        """A member joined."""
        self._round.insert(self._rng.randrange(len(self._round) + 1), address)

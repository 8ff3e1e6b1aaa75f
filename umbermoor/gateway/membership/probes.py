"""Probes in flight and the schedule of probes (SWIM, sections 3.1 and 4.3)."""

import random
from collections.abc import Collection
from dataclasses import dataclass

from umbermoor.gateway.units import MILLISECOND

PROBE_INTERVAL = 500 * MILLISECOND
"""SWIM's protocol period: one member is probed in turn."""
INDIRECT_PROBE_DELAY = 200 * MILLISECOND
"""If no ACK arrives within this time, other members are asked to ping the target."""
UNSCHEDULED_PROBE_TIMEOUT = 1000 * MILLISECOND
MAX_PROBES = 256
"""Limit of probes in flight; scheduled probes are sent even beyond it."""
SYNC_PING_INTERVAL = 10
"""One in this many scheduled probes is a SYNC_PING, whose ACK is filled with members."""
FIRST_SYNC_PINGS = 5
"""The first scheduled probes, this many, are all SYNC_PINGs."""


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Another member's request for a ping: its address and its sequence number."""

    requester: str
    number: int


@dataclass(slots=True)
class Probe:
    """A ping that has not been answered yet."""

    target: str
    deadline: int
    scheduled: bool
    """Whether it was the member's turn; the member may become suspect if it does not answer."""
    indirect_probe_at: int | None
    """When to ask others to ping the target; None for never, or if they were asked already."""
    requests_sent: int = 0
    """How many others were asked for a ping."""
    requests_received: int = 0
    """How many of them confirmed the request."""
    on_behalf_of: PingRequest | None = None


class ProbeTable:
    """Probes in flight, by sequence number."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._probes: dict[int, Probe] = {}

    def start(self, now: int, target: str, on_behalf_of: PingRequest | None = None) -> int | None:
        """Add an unscheduled probe that is sent now.

        Returns:
            Its sequence number; None if too many are in flight, in which case it must not be sent.
        """
        if len(self._probes) >= MAX_PROBES:
            return None
        deadline = now + UNSCHEDULED_PROBE_TIMEOUT
        return self._add(Probe(target, deadline, False, None, on_behalf_of=on_behalf_of))

    def start_scheduled(self, now: int, target: str, multiplier: int) -> int:
        """Add the probe of the member whose turn it is; return its sequence number.

        Its time-outs grow with the local health `multiplier`.
        """
        deadline = now + PROBE_INTERVAL * multiplier
        return self._add(Probe(target, deadline, True, now + INDIRECT_PROBE_DELAY * multiplier))

    def _add(self, probe: Probe) -> int:
        number = self._rng.getrandbits(32)
        self._probes[number] = probe
        return number

    def get(self, number: int) -> Probe | None:
        """Return the probe in flight with a sequence number, or None."""
        return self._probes.get(number)

    def end(self, number: int) -> None:
        """Remove a probe that was answered or has timed out."""
        del self._probes[number]

    def in_flight(self) -> list[tuple[int, Probe]]:
        """Return a copy of all entries, oldest first; probes may be ended meanwhile."""
        return list(self._probes.items())

    def postpone(self, delay: int) -> None:
        """Extend every time-out."""
        for probe in self._probes.values():
            probe.deadline += delay
            if probe.indirect_probe_at is not None:
                probe.indirect_probe_at += delay


class ProbeSchedule:
    """Round-robin probing: every member once per round, in a new random order each round.

    A joining member is inserted at a random position of the round, as in SWIM, which bounds the
    time until its first probe.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[str] = []
        self._next_at = 0
        self._scheduled = 0

    def start(self, now: int) -> None:
        """Make the first probe due now."""
        self._next_at = now

    def due(self, now: int) -> bool:
        """Whether the next scheduled probe is due."""
        return now >= self._next_at

    def next_target(self, now: int, members: Collection[str], multiplier: int) -> str | None:
        """Return the member whose turn it is, None if there is none, and schedule the next turn."""
        interval = PROBE_INTERVAL * multiplier
        self._next_at = max(self._next_at + interval, now + interval // 2)
        while self._round and self._round[-1] not in members:
            self._round.pop()
        if not self._round:
            self._round = list(members)
            self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def wants_sync(self) -> bool:
        """Whether this turn's probe must be a SYNC_PING; call this once per turn."""
        self._scheduled += 1
        return self._scheduled <= FIRST_SYNC_PINGS or self._scheduled % SYNC_PING_INTERVAL == 0

    def insert(self, address: str) -> None:
        """Insert a joining member at a random position of the round."""
        self._round.insert(self._rng.randrange(len(self._round) + 1), address)

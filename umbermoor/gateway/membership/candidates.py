"""Candidate addresses: each is probed, and its proxy becomes a member once it has answered."""

from dataclasses import dataclass

from umbermoor.gateway.membership.codec import pack_address
from umbermoor.gateway.membership.member_table import MemberTable
from umbermoor.gateway.units import MILLISECOND

MAX_CANDIDATES = 256
MAX_ATTEMPTS = 6
"""A candidate that has not answered this many probes is dropped."""
RETRY_INTERVAL = 400 * MILLISECOND
PROBE_BURST = 16
"""Limit of probes to candidates per tick, and also of probes to suspects per tick.

It also limits the probes to unknown senders between two ticks.
"""


@dataclass(slots=True)
class Candidate:
    """An address from which no probe has been answered yet."""

    next_probe: int
    attempts: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether MAX_ATTEMPTS probes were sent."""
        return self.attempts >= MAX_ATTEMPTS

    def attempted(self, now: int) -> None:
        """Note that a probe is sent now."""
        self.attempts += 1
        self.next_probe = now + RETRY_INTERVAL


class CandidateTable:
    """Up to MAX_CANDIDATES candidates by address."""

    def __init__(self, own_address: str, table: MemberTable) -> None:
        self._own_address = own_address
        self._table = table
        self._candidates: dict[str, Candidate] = {}

    def __len__(self) -> int:
        return len(self._candidates)

    def add(self, now: int, address: str) -> None:
        """Add an address to probe at once, unless it is known or invalid or the table is full."""
        if (
            address != self._own_address
            and not self._table.has(address)
            and address not in self._candidates
            and pack_address(address) is not None
            and len(self._candidates) < MAX_CANDIDATES
        ):
            self._candidates[address] = Candidate(now)

    def get(self, address: str) -> Candidate | None:
        """Return the candidate at an address, or None."""
        return self._candidates.get(address)

    def items(self) -> list[tuple[str, Candidate]]:
        """Return a copy of all entries, oldest first; candidates may be discarded meanwhile."""
        return list(self._candidates.items())

    def discard(self, address: str) -> None:
        """Remove a candidate that has answered or is given up."""
        self._candidates.pop(address, None)

"""Addresses at which a proxy may run: each is probed, and becomes a member once it has answered."""

from dataclasses import dataclass

from umbermoor.gateway.membership.codec import pack_address
from umbermoor.gateway.membership.member_table import MemberTable
from umbermoor.gateway.units import MILLISECOND

MAX_CANDIDATES = 256
MAX_ATTEMPTS = 6
"""A candidate that has not answered so many probes is given up."""
RETRY_INTERVAL = 400 * MILLISECOND
PROBE_BURST = 16
"""Further probes of each kind at most a tick, and of unknown senders between two ticks."""


@dataclass(slots=True)
class Candidate:
    """Somebody who has not answered yet."""

    next_probe: int
    attempts: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether it has had all its probes."""
        return self.attempts >= MAX_ATTEMPTS

    def attempted(self, now: int) -> None:
        """A probe of it is sent now."""
        self.attempts += 1
        self.next_probe = now + RETRY_INTERVAL


class CandidateTable:
    """Candidates by address, at most MAX_CANDIDATES."""

    def __init__(self, own_address: str, table: MemberTable) -> None:
        self._own_address = own_address
        self._table = table
        self._candidates: dict[str, Candidate] = {}

    def __len__(self) -> int:
        return len(self._candidates)

    def add(self, now: int, address: str) -> None:
        """Takes an address on, to be probed at once, unless it is a member's or of no use."""
        if (
            address != self._own_address
            and not self._table.has(address)
            and address not in self._candidates
            and pack_address(address) is not None
            and len(self._candidates) < MAX_CANDIDATES
        ):
            self._candidates[address] = Candidate(now)

    def get(self, address: str) -> Candidate | None:
        """The candidate at that address."""
        return self._candidates.get(address)

    def items(self) -> list[tuple[str, Candidate]]:
        """All, earliest first; candidates may be discarded while the list is gone through."""
        return list(self._candidates.items())

    def discard(self, address: str) -> None:
        """It has answered, or was given up."""
        self._candidates.pop(address, None)

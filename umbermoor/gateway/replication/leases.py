"""Leases: proofs, by heartbeats, that a quorum is reached both ways and promised no later epoch.

Every heartbeat echoes the last one that came from the addressed. That one was sent before the
answer, so what the answer tells of promises holds of its sending, and ages from there. Times of one
clock in one process alone are compared; a process that saw its own clock leap forgets all. Source:
Gray and Cheriton, Leases (1989); the argument: docs/consistency.md. Times are whole microseconds.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from umbermoor.gateway.replication.messages import Heartbeat
from umbermoor.gateway.units import MILLISECOND

LEASE = 900 * MILLISECOND  # so long after it was sent, a heartbeat that was echoed proves contact
CLOCK_GAP = 500 * MILLISECOND  # a longer time between two inputs: frozen, or starved
REMEMBERED = 64  # own heartbeats whose sending times are known

DISK_LOST = -1  # in place of the epoch promised


@dataclass(slots=True)
class Contact:
    """Which of the others proved that they hear this replica, and as of when."""

    _sent: deque[tuple[int, int]] = field(  # sequence, when
        default_factory=lambda: deque(maxlen=REMEMBERED)
    )
    _proofs: dict[str, tuple[int, int]] = field(default_factory=dict)  # as of when, the promise

    def sent(self, now: int, sequence: int) -> None:
        """A heartbeat of that number is sent now."""
        self._sent.append((sequence, now))

    def heard(self, now: int, sender: str, heartbeat: Heartbeat, own_incarnation: int) -> None:
        """A heartbeat came that is newer than that member's last."""
        proven_at = self._proven_at(now, heartbeat, own_incarnation)
        if proven_at is not None:
            promise = DISK_LOST if heartbeat.disk_lost else heartbeat.promise
            self._proofs[sender] = proven_at, promise

    def _proven_at(self, now: int, heartbeat: Heartbeat, own_incarnation: int) -> int | None:
        if heartbeat.echo is None:  # of an earlier revision: that it is heard is all that there is
            return now
        if heartbeat.echo.incarnation != own_incarnation:
            return None
        for sequence, sent_at in reversed(self._sent):  # mostly it is one of the last
            if sequence == heartbeat.echo.sequence:
                return sent_at
        return None

    def proven(self, now: int, epoch: int, others: Iterable[str]) -> frozenset[str]:
        """Which of the others proved within the lease that they promised nothing above `epoch`."""
        no_proof = now - LEASE, DISK_LOST
        proven = []
        for name in others:
            proven_at, promise = self._proofs.get(name, no_proof)
            if now - proven_at < LEASE and 0 < promise <= epoch:
                proven.append(name)
        return frozenset(proven)

    def void(self) -> None:
        """Nothing from before counts any more, nor an answer to a heartbeat from before."""
        self._sent.clear()
        self._proofs.clear()

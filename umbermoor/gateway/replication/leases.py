"""Leases: proofs that a quorum is reached in both directions and has promised no later epoch.

Every heartbeat echoes the last heartbeat that was received from its addressee. The echoed heartbeat
was sent before the reply, so what the reply says about promises also holds for the time at which
the echoed heartbeat was sent; the proof ages from that time. Only times of one clock within one
process are compared. A process whose own clock jumped ahead discards all proofs. Source: Gray and
Cheriton, Leases (1989). The argument is in docs/consistency.md. Times are whole microseconds.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from umbermoor.gateway.replication.messages import Heartbeat
from umbermoor.gateway.units import MILLISECOND

LEASE = 900 * MILLISECOND  # time from its sending for which an echoed heartbeat proves contact
CLOCK_GAP = 500 * MILLISECOND  # a longer time between inputs: process was frozen or starved
MAX_TRACKED_HEARTBEATS = 64  # own heartbeats whose sending times are kept

DISK_LOST = -1  # takes the place of the promised epoch


@dataclass(slots=True)
class LeaseProofs:
    """Which of the other members proved that they hear this replica, and as of when."""

    _sent: deque[tuple[int, int]] = field(  # sequence, time of sending
        default_factory=lambda: deque(maxlen=MAX_TRACKED_HEARTBEATS)
    )
    # by member: the time that the proof holds for, and the epoch promised
    _proofs: dict[str, tuple[int, int]] = field(default_factory=dict)

    def record_sent(self, now: int, sequence: int) -> None:
        """Record that the heartbeat with that sequence number is sent now."""
        self._sent.append((sequence, now))

    def record_heartbeat(
        self, now: int, sender: str, heartbeat: Heartbeat, own_incarnation: int
    ) -> None:
        """Record the proof in a heartbeat that is newer than the member's last one."""
        proven_at = self._proven_at(now, heartbeat, own_incarnation)
        if proven_at is not None:
            promise = DISK_LOST if heartbeat.disk_lost else heartbeat.promise
            self._proofs[sender] = proven_at, promise

    def _proven_at(self, now: int, heartbeat: Heartbeat, own_incarnation: int) -> int | None:
        if heartbeat.echo is None:  # earlier revisions send no echo: proves only that it is heard
            return now
        if heartbeat.echo.incarnation != own_incarnation:
            return None
        for sequence, sent_at in reversed(self._sent):  # usually one of the last
            if sequence == heartbeat.echo.sequence:
                return sent_at
        return None

    def proven_members(self, now: int, epoch: int, others: Iterable[str]) -> frozenset[str]:
        """Return the members that proved within the lease to have no promise above `epoch`."""
        no_proof = now - LEASE, DISK_LOST
        proven = []
        for name in others:
            proven_at, promise = self._proofs.get(name, no_proof)
            if now - proven_at < LEASE and 0 < promise <= epoch:
                proven.append(name)
        return frozenset(proven)

    def void(self) -> None:
        """Discard all proofs, and ignore later replies to heartbeats sent before now."""
        self._sent.clear()
        self._proofs.clear()

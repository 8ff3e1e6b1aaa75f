"""Lifeguard's local health: whether this proxy itself is healthy enough to declare failures.

Source: A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection", DSN-W 2018, arXiv 1707.00788.
"""

from umbermoor.gateway.units import MILLISECOND

MAX_SCORE = 4
"""Lifeguard's S: the local health score saturates here."""
LATE_TICK_GAP = 200 * MILLISECOND
"""If two ticks are further apart, all time-outs are postponed by the gap."""
STALLED_TICK_GAP = 500 * MILLISECOND
"""If two ticks are further apart, the proxy was stalled and its local health worsens."""
ISOLATION_TIMEOUT = 1000 * MILLISECOND
"""Without a message from any member for longer than this, the proxy counts as cut off."""
RECOVERY_TIME = 1000 * MILLISECOND
"""After a stall or an isolation the proxy declares nobody dead or suspect for this long."""


class LocalHealth:
    """Tracks the local health score, from 0 (healthy) to MAX_SCORE, and stalls and isolation."""

    def __init__(self) -> None:
        self.score = 0
        self.times_degraded = 0
        self._last_tick: int | None = None
        self._last_contact: int | None = None
        self._recovered_at = 0

    @property
    def multiplier(self) -> int:
        """Lifeguard's local health multiplier of probe intervals and time-outs."""
        return 1 + self.score

    @property
    def awaits_first_contact(self) -> bool:
        """Whether there has been neither a tick nor a message from a member yet."""
        return self._last_contact is None

    def worsen(self) -> None:
        """Raise the score: something suggests that this proxy is slow or badly connected."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Lower the score: a probe of this proxy was answered in time."""
        self.score = max(0, self.score - 1)

    def can_declare_failures(self, now: int) -> bool:
        """Whether this proxy may declare others suspect or dead now."""
        if now < self._recovered_at or self._last_contact is None:
            return False
        return now - self._last_contact <= ISOLATION_TIMEOUT

    def tick(self, now: int) -> int:
        """Note a tick; return the microseconds since the last one, 0 for the first."""
        gap = 0 if self._last_tick is None else now - self._last_tick
        self._last_tick = now
        if self._last_contact is None:
            self._last_contact = now
        return gap

    def contact(self, now: int) -> int:
        """Note a message from a member.

        Returns:
            The microseconds for which this proxy was cut off before the message; 0 if it was not.
        """
        last = self._last_contact
        self._last_contact = now if last is None else max(now, last)
        if last is None or now - last <= ISOLATION_TIMEOUT:
            return 0
        self.degrade(now)
        return now - last

    def degrade(self, now: int) -> None:
        """Raise the score after a stall or isolation; declare no failures for RECOVERY_TIME."""
        self._recovered_at = now + RECOVERY_TIME
        self.worsen()
        self.times_degraded += 1

"""The time that a replica goes by: what its host tells it, and never back."""


class Clock:
    """Microseconds of the host's monotonic clock, as of the last input."""

    __slots__ = ("now", "started_at")

    def __init__(self) -> None:
        self.now = 0
        self.started_at = -1  # when the first input came; -1: none has

    def advance(self, now: int) -> int:
        """An input comes at that time; how long after the last one, in microseconds."""
        if self.started_at < 0:
            self.started_at = self.now = now
        elapsed = now - self.now
        self.now = max(self.now, now)
        return elapsed

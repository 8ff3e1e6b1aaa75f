"""Sums over a sliding window that is divided into slots."""

SLOTS = 20


class SlidingWindowSum:
    """The sum of the amounts added within the last `span` microseconds.

    It may include amounts that are older by up to one slot.
    """

    __slots__ = ("counts", "slot_number", "slot_us", "total")

    def __init__(self, span: int) -> None:
        self.slot_us = max(1, span // SLOTS)
        self.slot_number = 0  # of the newest slot; slot 0 begins at time 0
        self.counts = [0.0] * (SLOTS + 1)
        self.total = 0.0

    def _advance(self, now: int) -> None:
        """Empty the slots that have left the window by `now`."""
        newest = now // self.slot_us
        if newest <= self.slot_number:
            return
        size = len(self.counts)
        for number in range(self.slot_number + 1, min(newest, self.slot_number + size) + 1):
            index = number % size
            self.total -= self.counts[index]
            self.counts[index] = 0.0
        if newest > self.slot_number + size:
            self.counts = [0.0] * size
            self.total = 0.0
        self.slot_number = newest

    def add(self, now: int, count: float) -> None:
        """Add `count` at `now`."""
        self._advance(now)
        self.counts[self.slot_number % len(self.counts)] += count
        self.total += count

    def sum(self, now: int) -> float:
        """Return the sum over the window that ends at `now`."""
        self._advance(now)
        return self.total

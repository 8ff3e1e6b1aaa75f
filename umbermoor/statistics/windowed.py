"""Counts over a sliding window, held in a few slots."""

SLOTS = 20


class Windowed:
    """The sum of what was added within the last `span` (us), to within one slot of it, on the side
    of too much."""

    __slots__ = "at", "counts", "slot", "total"

    def __init__(self, span: int) -> None:
        self.slot, self.at = max(1, span // SLOTS), 0
        self.counts = [0.0] * (SLOTS + 1)
        self.total = 0.0

    def _turn(self, now: int) -> None:
        at = now // self.slot
        for passed in range(self.at + 1, min(at, self.at + len(self.counts)) + 1):
            place = passed % len(self.counts)
            self.total -= self.counts[place]
            self.counts[place] = 0.0
        if at > self.at + len(self.counts):
            self.counts, self.total = [0.0] * len(self.counts), 0.0
        self.at = max(self.at, at)

    def add(self, now: int, count: float) -> None:
        self._turn(now)
        self.counts[self.at % len(self.counts)] += count
        self.total += count

    def sum(self, now: int) -> float:
        self._turn(now)
        return self.total

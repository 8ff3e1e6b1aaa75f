"""A hierarchical timing wheel: timers by time, set and called off in constant time (Varghese and
Lauck, 1987).

Times are whole numbers of any unit; a timer fires in the first ``advance`` at or past its time, in
the order of times at
the wheel's grain, and within one slot in the order in which they were set.
"""

from collections.abc import Iterator
from typing import Any

SLOTS, BITS = 256, 8
LEVELS = 4


class Timer:
    __slots__ = ("_key", "_slot", "at", "value")

    def __init__(self, at: int, value: Any) -> None:
        self.at, self.value = at, value
        self._slot: dict[int, Timer] | None = None
        self._key = 0

    @property
    def active(self) -> bool:
        return self._slot is not None


class Wheel:
    def __init__(self, now: int, grain: int) -> None:
        """``grain``: timers that lie within one may fire together, up to so much late."""
        self._grain = max(1, grain)
        self._tick = now // self._grain
        self._levels: list[list[dict[int, Timer]]] = [
            [{} for _ in range(SLOTS)] for _ in range(LEVELS)
        ]
        self._far: dict[int, Timer] = {}
        self._sequence = 0
        self.count = 0

    def set(self, at: int, value: Any) -> Timer:
        timer = Timer(at, value)
        self._sequence += 1
        timer._key = self._sequence
        self._insert(timer)
        self.count += 1
        return timer

    def cancel(self, timer: Timer) -> bool:
        """Whether it was still set."""
        if timer._slot is None:
            return False
        del timer._slot[timer._key]
        timer._slot = None
        self.count -= 1
        return True

    def _insert(self, timer: Timer) -> None:
        tick = max(self._tick, -(-timer.at // self._grain))
        slot = self._far
        for level in range(LEVELS):
            if (tick >> (BITS * level)) - (self._tick >> (BITS * level)) < SLOTS:
                slot = self._levels[level][(tick >> (BITS * level)) % SLOTS]
                break
        slot[timer._key] = timer
        timer._slot = slot

    def advance(self, now: int) -> list[Timer]:
        """All that is due, in turn. Slots that hold nothing are passed over."""
        fired: list[Timer] = []
        last = now // self._grain
        while self.count and (tick := self._next_tick()) <= last:
            self._move_to(tick)
            slot = self._levels[0][tick % SLOTS]
            due = sorted(slot.values(), key=lambda one: one._key)
            slot.clear()
            for timer in due:
                timer._slot = None
            self.count -= len(due)
            fired += due
            self._move_to(tick + 1)
        if self._tick <= last:
            self._move_to(last + 1)
        return fired

    def _move_to(self, tick: int) -> None:
        """To a time before which nothing is due."""
        if tick != self._tick:
            self._tick = tick
            if tick % SLOTS == 0:
                self._cascade()

    def _cascade(self) -> None:
        """The slots of higher levels that begin here go down to where they belong."""
        for level in range(1, LEVELS):
            place = self._tick >> (BITS * level)
            self._reinsert(self._levels[level][place % SLOTS])
            if place % SLOTS:
                return
        self._reinsert(self._far)

    def _reinsert(self, slot: dict[int, Timer]) -> None:
        timers = list(slot.values())
        slot.clear()
        for timer in timers:
            self._insert(timer)

    def next_at(self) -> int | None:
        """No later than the first timer; exact within the first level, else the start of its
        slot."""
        return self._next_tick() * self._grain if self.count else None

    def _next_tick(self) -> int:
        """The start of the first slot that holds anything."""
        found = ((self._tick >> (BITS * LEVELS)) + 1) << (BITS * LEVELS)
        for level in range(LEVELS - 1, -1, -1):
            start, slots = self._tick >> (BITS * level), self._levels[level]
            for step in range(SLOTS):
                if slots[(start + step) % SLOTS]:
                    found = min(found, max(self._tick, (start + step) << (BITS * level)))
                    break
        return found

    def __iter__(self) -> Iterator[Timer]:
        for level in self._levels:
            for slot in level:
                yield from slot.values()
        yield from self._far.values()

"""Hierarchical timing wheel: timers are set and cancelled in constant time.

Source: Varghese and Lauck, 1987. Times are integers of any unit. A timer fires in the first
`advance` at or after its time. Timers fire in order of time at the resolution of the wheel's grain,
and within one slot in the order in which they were set.
"""

from collections.abc import Iterator
from typing import Any

SLOTS, BITS = 256, 8
LEVELS = 4


class Timer:
    """A timer of a `Wheel`; `value` is what its owner attached to it."""

    __slots__ = ("_key", "_slot", "at", "value")

    def __init__(self, at: int, value: Any) -> None:
        self.at, self.value = at, value
        self._slot: dict[int, Timer] | None = None
        self._key = 0

    @property
    def active(self) -> bool:
        """Whether the timer is set: neither fired nor cancelled."""
        return self._slot is not None


class Wheel:
    """Timing wheel.

    Args:
        now: current time.
        grain: resolution; timers within one grain may fire together, up to one grain late.
    """

    def __init__(self, now: int, grain: int) -> None:
        self._grain = max(1, grain)
        self._tick = now // self._grain
        self._levels: list[list[dict[int, Timer]]] = [
            [{} for _ in range(SLOTS)] for _ in range(LEVELS)
        ]
        self._far: dict[int, Timer] = {}
        self._sequence = 0
        self.count = 0

    def set(self, at: int, value: Any) -> Timer:
        """Add a timer that fires at `at`."""
        timer = Timer(at, value)
        self._sequence += 1
        timer._key = self._sequence
        self._insert(timer)
        self.count += 1
        return timer

    def cancel(self, timer: Timer) -> bool:
        """Cancel the timer; return whether it was still set."""
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
        """Remove and return the timers that are due at `now`, in order. Empty slots are skipped."""
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
        """Advance to `tick`; no timer may be due before it."""
        if tick != self._tick:
            self._tick = tick
            if tick % SLOTS == 0:
                self._cascade()

    def _cascade(self) -> None:
        """Move the timers of higher-level slots that begin at this tick to lower levels."""
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
        """Return a time no later than the first timer, or None if there is no timer.

        It is exact for timers in the first level, else the start of the timer's slot.
        """
        return self._next_tick() * self._grain if self.count else None

    def _next_tick(self) -> int:
        """Return the start of the first slot that is not empty, in ticks."""
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

"""Virtual time: the event queue that drives a simulation, and the clocks of its machines.

Discrete-event simulation: nothing happens between two events, and events due at the same time run
in the order in which they were scheduled. Times are integer microseconds of virtual time unless
the name states another unit.
"""

import heapq
from collections import deque
from collections.abc import Callable

from umbermoor.gateway.units import SECOND

EPOCH_SECONDS = 1_700_000_000  # wall-clock time at which every simulation starts

Action = Callable[[], None]


class VirtualTime:
    """The current virtual time and the queue of future events."""

    def __init__(self) -> None:
        self.now = 0
        self._ready: deque[Action] = deque()
        self._events: list[tuple[int, int, Action]] = []
        self._scheduled = 0
        self.unhandled_errors: list[str] = []  # reported by event loops of simulated processes

    def soon(self, action: Action) -> None:
        """Run `action` at the current time, after all actions that are already due."""
        self._ready.append(action)

    def at(self, when: int, action: Action) -> None:
        """Run `action` at `when`, or now if `when` has passed."""
        self._scheduled += 1
        heapq.heappush(self._events, (max(when, self.now), self._scheduled, action))

    def after(self, delay: float, action: Action) -> None:
        """Run `action` in `delay` microseconds."""
        self.at(self.now + round(delay), action)

    def run(self, until: int) -> None:
        """Run all events up to and including `until` and set the time to `until`."""
        ready, events = self._ready, self._events
        while True:
            while ready:
                ready.popleft()()
            if not events or events[0][0] > until:
                break
            self.now, _, action = heapq.heappop(events)
            action()
        self.now = until


class VirtualClock:
    """The monotonic clock of a machine, with its own rate and offset; it can be stopped.

    It also replaces the module `time` in programs that read the time directly.
    """

    def __init__(self, time: VirtualTime, rate: float, offset: int) -> None:
        self.rate = rate
        self.wall_offset = 0  # error of the wall clock in microseconds
        self._time = time
        self._offset = offset
        self._stopped_at: int | None = None

    def microseconds(self) -> int:
        """Return the time of the clock in microseconds."""
        now = self._time.now if self._stopped_at is None else self._stopped_at
        return self._offset + round(now * self.rate)

    def monotonic(self) -> float:
        """Return the time of the clock in seconds, as `time.monotonic` does."""
        return self.microseconds() / SECOND

    def clock_gettime(self, clock_id: int) -> float:
        """Return the time of the clock in seconds, as `time.clock_gettime` does."""
        return self.monotonic()

    def time_ns(self) -> int:
        """Return the wall-clock time in nanoseconds, as `time.time_ns` does."""
        return (EPOCH_SECONDS * SECOND + self._time.now + self.wall_offset) * 1000

    def stop(self) -> None:
        """Stop the clock."""
        self._stopped_at = self._time.now

    def resume(self) -> None:
        """Resume the clock from the time at which it was stopped, if it was."""
        if self._stopped_at is not None:
            self._offset -= round((self._time.now - self._stopped_at) * self.rate)
            self._stopped_at = None

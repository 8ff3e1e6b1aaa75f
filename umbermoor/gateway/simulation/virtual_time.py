"""Virtual time: the queue of events that drives a simulation, and the clocks of its machines.

Discrete-event simulation: nothing happens between two events, and events due at the same time run
in the order in which they were scheduled. Times are whole microseconds of the simulated world
unless a name says otherwise.
"""

import heapq
from collections import deque
from collections.abc import Callable

from umbermoor.gateway.units import SECOND

EPOCH_SECONDS = 1_700_000_000  # the time of day at which every simulation starts

Action = Callable[[], None]


class VirtualTime:
    """The current time of the simulated world and the events still to come."""

    def __init__(self) -> None:
        self.now = 0
        self._ready: deque[Action] = deque()
        self._events: list[tuple[int, int, Action]] = []
        self._scheduled = 0
        self.unhandled_errors: list[str] = []  # reported by event loops of simulated processes

    def soon(self, action: Action) -> None:
        """Run `action` at the present time, after what is already due."""
        self._ready.append(action)

    def at(self, when: int, action: Action) -> None:
        """Run `action` at `when`, or now if that has passed."""
        self._scheduled += 1
        heapq.heappush(self._events, (max(when, self.now), self._scheduled, action))

    def after(self, delay: float, action: Action) -> None:
        """Run `action` in `delay` microseconds."""
        self.at(self.now + round(delay), action)

    def run(self, until: int) -> None:
        """Run all events up to and including `until`, and set the time to it."""
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
    """The monotonic clock of a machine, with a rate and an offset of its own; it may stand still.

    It also stands in for the module `time` where a program reads that.
    """

    def __init__(self, time: VirtualTime, rate: float, offset: int) -> None:
        self.rate = rate
        self.wall_offset = 0  # microseconds by which the time of day is wrong
        self._time = time
        self._offset = offset
        self._stopped_at: int | None = None

    def microseconds(self) -> int:
        """The reading of the clock in microseconds."""
        now = self._time.now if self._stopped_at is None else self._stopped_at
        return self._offset + round(now * self.rate)

    def monotonic(self) -> float:
        """The reading of the clock in seconds, as `time.monotonic`."""
        return self.microseconds() / SECOND

    def clock_gettime(self, clock_id: int) -> float:
        """The same for every clock id, as `time.clock_gettime`."""
        return self.monotonic()

    def time_ns(self) -> int:
        """The time of day in nanoseconds, as `time.time_ns`."""
        return (EPOCH_SECONDS * SECOND + self._time.now + self.wall_offset) * 1000

    def stop(self) -> None:
        """Stand still from now on."""
        self._stopped_at = self._time.now

    def resume(self) -> None:
        """Go on from where it was stopped, if it was."""
        if self._stopped_at is not None:
            self._offset -= round((self._time.now - self._stopped_at) * self.rate)
            self._stopped_at = None

"""A virtual clock with its event queue."""

import heapq
from collections.abc import Callable, Sized
from typing import Any

from umbermoor.lab.day import SECOND

# Microseconds; greater than any machine's age, so that no start time is negative.
START = 1_000 * SECOND


class VirtualClock:
    """Runs events in the order of their time and then of their scheduling.

    Times are microseconds. `now` is the time of the event that runs.
    """

    def __init__(self) -> None:
        self.now = START
        self.events = 0  # number of events run so far
        self._queue: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._scheduled = 0

    def at(self, when: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call; one at a time in the past runs next."""
        self._scheduled += 1
        heapq.heappush(self._queue, (when, self._scheduled, call, arguments))

    def run(
        self,
        end: int,
        deadline: int,
        pending: Sized,
        on_progress: Callable[[float], None] | None = None,
    ) -> None:
        """Run events until `end` has passed and nothing is `pending`, at most until `deadline`.

        Args:
            end: regular end of the run.
            deadline: events after this time are not run.
            pending: collection that must be empty for the run to end before the deadline.
            on_progress: called about once a virtual second with the seconds since the start.
        """
        queue, next_progress = self._queue, 0
        while queue and queue[0][0] <= deadline:
            when, _, call, arguments = heapq.heappop(queue)
            if when > self.now:
                self.now = when
                if on_progress is not None and when >= next_progress:
                    on_progress((when - START) / SECOND)
                    next_progress = when + SECOND
            self.events += 1
            call(*arguments)
            if when > end and not pending:
                break

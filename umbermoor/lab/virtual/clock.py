"""A virtual clock with its event queue."""

import heapq
from collections.abc import Callable, Sized
from typing import Any

from umbermoor.lab.day import SECOND

START = 1_000 * SECOND  # microseconds; later than any machine's age, so that no birth is negative


class VirtualClock:
    """Runs events in order of their time and then of their making.

    Times are microseconds. `now` is the time of the event that runs.
    """

    def __init__(self) -> None:
        self.now = START
        self.events = 0  # run so far
        self._queue: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._scheduled = 0

    def at(self, when: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call; at a time that has passed it runs next."""
        self._scheduled += 1
        heapq.heappush(self._queue, (when, self._scheduled, call, arguments))

    def run(
        self,
        end: int,
        deadline: int,
        pending: Sized,
        on_progress: Callable[[float], None] | None = None,
    ) -> None:
        """Run events until `end` is over and nothing is `pending`, up to `deadline` at the latest.

        Args:
            end: time of the regular end.
            deadline: no event after it is run.
            pending: what must be empty for the run to end before the deadline.
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

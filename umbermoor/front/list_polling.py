"""Scheduling of calls for the list of machines: when, for which version, and with which timeout.

No I/O; the caller provides time and randomness. Times are whole microseconds.

If changes are pushed, an agent on the front's own machine answers immediately and at no cost: the
full list is requested first, and failed calls are retried soon. If changes must be asked for, one
service of unknown capacity handles the calls of all fronts in turn, and a call that it rejects or
that times out costs it as much as an answered one. Forty fronts that each retry within a second
would keep it from answering any of them permanently. Calls of the fleet are therefore spread over a
time that grows with its size; a front that has a list requests only newer versions; and a call
that waits for its turn has a longer timeout.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.backoff import Backoff

SECOND = 1_000_000
WAIT = 2 * SECOND  # how long a watch may wait for changes; a broken watch is not noticed earlier
ANSWER_WITHIN = SECOND  # timeout of an answer, beyond that
TURN_WITHIN = 4 * SECOND  # the same for a first call, which may be queued at the service
# delay before a retry, doubling, if calls cost nothing
AGAIN_FIRST, AGAIN_MOST = SECOND // 20, SECOND
APART = SECOND // 20  # average time between the calls of two fronts to one service
SPAN_MOST = 5 * SECOND  # longest time over which the calls of all fronts are spread
LONGER = 8  # longest mean pause, as a multiple of that time
PAUSE_MOST = 16 * SECOND  # upper bound of that mean pause
# a broken watch is reopened within this, as it may miss a machine's drain
RENEW_MOST = 3 * SECOND // 2


class Call(NamedTuple):
    after: int | None  # the version that the front has; None requests the full list
    wait: int  # how long the service may wait for changes
    limit: int  # timeout of the call


@dataclass(slots=True)
class ListPolling:
    fronts: int
    asked: bool  # changes are not pushed, but must be asked for
    chance: Callable[[], float]
    version: int | None = None  # of the list that the front has
    _open: bool = field(default=False, init=False)  # the last call was answered
    _backoff: Backoff = field(init=False)

    def __post_init__(self) -> None:
        first, most = AGAIN_FIRST, AGAIN_MOST
        if self.asked:
            first = max(first, self._span())
            most = max(most, min(PAUSE_MOST, LONGER * first))
        self._backoff = Backoff(first, most, self.chance)

    def first(self, held: int | None) -> int:
        """Return the delay before the first call.

        Args:
            held: The version of the full list that the front already has, if any.
        """
        if not self.asked:
            return 0
        self.version = held
        return round(self.chance() * self._span())

    def moved(self) -> int:
        """Switch to another service, with its own versions; return the delay before the call."""
        self.version, self._open = None, False
        self._backoff.reset()
        return self._soon()

    def call(self) -> Call:
        wait = WAIT if self.version is not None else 0
        turn = TURN_WITHIN if self.asked and not self._open else ANSWER_WITHIN
        return Call(self.version, wait, wait + turn)

    def answered(self, version: int) -> bool:
        """Record a valid answer.

        The next call is due immediately, as the front counts as informed of changes made in
        between.

        Returns:
            False if the version is older than the one the front has; the next call then requests
            the full list.
        """
        if self.version is not None and version < self.version:
            self.version = None
            return False
        self.version, self._open = version, True
        self._backoff.reset()
        return True

    def unread(self) -> None:
        """Record a malformed answer; the next call requests the full list."""
        self.version = None

    def failed(self) -> int:
        """Record a failed call; return the delay before the next one."""
        stood, self._open = self._open, False
        return self._soon() if stood and self.asked else round(self._backoff.next_delay())

    def _soon(self) -> int:
        """Return the delay before reopening a watch, short as it misses changes meanwhile."""
        return round(self.chance() * min(RENEW_MOST, self._span())) if self.asked else 0

    def _span(self) -> int:
        """Return the time over which the fleet's calls are spread."""
        return min(SPAN_MOST, (self.fronts - 1) * APART)

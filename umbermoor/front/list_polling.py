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
# how long a watch may wait for changes; a broken watch is not noticed earlier
WATCH_WAIT = 2 * SECOND
ANSWER_TIMEOUT = SECOND  # timeout of an answer, beyond that
QUEUED_ANSWER_TIMEOUT = 4 * SECOND  # the same for a first call, which may be queued at the service
# delay before a retry, doubling, if calls cost nothing
RETRY_INITIAL, RETRY_MAX = SECOND // 20, SECOND
SPACING = SECOND // 20  # average time between the calls of two fronts to one service
MAX_SPREAD = 5 * SECOND  # longest time over which the calls of all fronts are spread
MAX_PAUSE_SPREADS = 8  # longest mean pause, as a multiple of that time
MAX_PAUSE = 16 * SECOND  # upper bound of that mean pause
# a broken watch is reopened within this, as it may miss a machine's drain
MAX_RENEWAL_DELAY = 3 * SECOND // 2


class Call(NamedTuple):
    after: int | None  # the version that the front has; None requests the full list
    wait: int  # how long the service may wait for changes
    limit: int  # timeout of the call


@dataclass(slots=True)
class ListPolling:
    """The schedule of one front's calls for the list."""

    fronts: int
    on_request: bool  # changes are not pushed, but must be asked for
    uniform: Callable[[], float]
    version: int | None = None  # of the list that the front has
    _watch_open: bool = field(default=False, init=False)  # the last call was answered
    _backoff: Backoff = field(init=False)

    def __post_init__(self) -> None:
        first, most = RETRY_INITIAL, RETRY_MAX
        if self.on_request:
            first = max(first, self._spread())
            most = max(most, min(MAX_PAUSE, MAX_PAUSE_SPREADS * first))
        self._backoff = Backoff(first, most, self.uniform)

    def first_delay(self, version: int | None) -> int:
        """Return the delay before the first call.

        Args:
            version: The version of the full list that the front already has, if any.
        """
        if not self.on_request:
            return 0
        self.version = version
        return round(self.uniform() * self._spread())

    def address_changed(self) -> int:
        """Switch to another service, with its own versions; return the delay before the call."""
        self.version, self._watch_open = None, False
        self._backoff.reset()
        return self._renewal_delay()

    def call(self) -> Call:
        wait = WATCH_WAIT if self.version is not None else 0
        turn = QUEUED_ANSWER_TIMEOUT if self.on_request and not self._watch_open else ANSWER_TIMEOUT
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
        self.version, self._watch_open = version, True
        self._backoff.reset()
        return True

    def unreadable(self) -> None:
        """Record a malformed answer; the next call requests the full list."""
        self.version = None

    def failed(self) -> int:
        """Record a failed call; return the delay before the next one."""
        was_open, self._watch_open = self._watch_open, False
        return (
            self._renewal_delay()
            if was_open and self.on_request
            else round(self._backoff.next_delay())
        )

    def _renewal_delay(self) -> int:
        """Return the delay before reopening a watch, short as it misses changes meanwhile."""
        return (
            round(self.uniform() * min(MAX_RENEWAL_DELAY, self._spread())) if self.on_request else 0
        )

    def _spread(self) -> int:
        """Return the time over which the fleet's calls are spread."""
        return min(MAX_SPREAD, (self.fronts - 1) * SPACING)

"""When a front asks for the list of machines, for what, and how long it waits. No I/O: time passes
outside, chance is given.

Where changes are pushed, an agent on the front's own machine answers at once and at no cost: it is
asked for the whole list first, and again soon after anything that failed. Where they must be asked
for, one service of a capacity that nobody tells takes the calls of all fronts in turn, and a call
that was turned away or given up on has cost it as much as one that it answered. Threat: forty
fronts that each try again within a second keep it from answering any of them, for good. So what a
fleet would do in one moment is spread over its size there; a front that knows a list asks only for
what is newer; and a call that waits its turn is not given up on early. Times are whole microseconds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.backoff import Backoff

SECOND = 1_000_000
WAIT = 2 * SECOND  # how long a watch may wait for news; one that breaks off is noticed no sooner
ANSWER_WITHIN = SECOND  # what is waited for an answer beyond that
TURN_WITHIN = 4 * SECOND  # the same for a first call that may have to wait its turn
AGAIN_FIRST, AGAIN_MOST = (
    SECOND // 20,
    SECOND,
)  # until a failed call is made again, doubling, where it costs nothing
APART = SECOND // 20  # of fronts that ask one service, on average
SPAN_MOST = 5 * SECOND  # and all of them within this
LONGER = 8  # times that span: the longest mean pause
PAUSE_MOST = 16 * SECOND  # and no longer than this
RENEW_MOST = (
    3 * SECOND // 2
)  # a watch that broke off is opened again within this, as it may miss a machine's drain


class Call(NamedTuple):
    after: int | None  # the version that is held; none: the whole list is asked for
    wait: int  # how long the answer may wait for news
    limit: int  # how long the answer is waited for


@dataclass(slots=True)
class ListPolling:
    fronts: int
    asked: bool  # changes must be asked for
    chance: Callable[[], float]
    version: int | None = None  # of the list that is held
    _open: bool = field(default=False, init=False)  # the last call was answered: the watch stands
    _backoff: Backoff = field(init=False)

    def __post_init__(self) -> None:
        first, most = AGAIN_FIRST, AGAIN_MOST
        if self.asked:
            first = max(first, self._span())
            most = max(most, min(PAUSE_MOST, LONGER * first))
        self._backoff = Backoff(first, most, self.chance)

    def first(self, held: int | None) -> int:
        """How long until the first call, by a front that was given a list of that version."""
        if not self.asked:
            return 0
        self.version = held
        return round(self.chance() * self._span())

    def moved(self) -> int:
        """Another party is asked from now on, whose versions may be others: how long until it is
        called."""
        self.version, self._open = None, False
        self._backoff.reset()
        return self._soon()

    def call(self) -> Call:
        wait = WAIT if self.version is not None else 0
        turn = TURN_WITHIN if self.asked and not self._open else ANSWER_WITHIN
        return Call(self.version, wait, wait + turn)

    def answered(self, version: int) -> bool:
        """A list that could be read; False where its version has gone back, after which the whole
        is asked for. The next call is due at once: what changes in between counts as told."""
        if self.version is not None and version < self.version:
            self.version = None
            return False
        self.version, self._open = version, True
        self._backoff.reset()
        return True

    def unread(self) -> None:
        """An answer that cannot be read: only the whole list tells now."""
        self.version = None

    def failed(self) -> int:
        """No list came: how long until the next call."""
        stood, self._open = self._open, False
        return self._soon() if stood and self.asked else round(self._backoff.next_delay())

    def _soon(self) -> int:
        """A watch that stood is opened again, before what it misses counts as told."""
        return round(self.chance() * min(RENEW_MOST, self._span())) if self.asked else 0

    def _span(self) -> int:
        """The time over which the fleet's calls are spread."""
        return min(SPAN_MOST, (self.fronts - 1) * APART)

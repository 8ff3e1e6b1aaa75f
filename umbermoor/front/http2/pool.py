"""Connection pool of one machine: which connection takes the next query, when to open or close one.

The module does no I/O: a `Link` is the state of one connection, and the host owns the connections
themselves. Times are microseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import log

MAX_LINKS = 4  # connections to one machine
OPEN_AHEAD_SHARE = (
    0.75  # share of the usable connections' stream limits in use at which another is opened
)
MAX_IDLE = 30_000_000  # time after which a connection without streams is closed
# phi from which a silent connection is pinged: a silence this long has a probability of 10^-phi
PING_PHI = 3.0
MIN_PING_WAIT = 250_000  # shortest silence that is pinged, and shortest timeout of a PING
# longest time that a PING may stay unanswered; less where the usual gaps are short
MAX_PING_WAIT = 1_000_000
PING_WAIT_GAPS = 20.0  # timeout of a PING as a multiple of the usual gap
GAP_WEIGHT = 0.2  # weight of the newest gap in the average
HTTP1_FALLBACK = 60_000_000  # how long a machine without HTTP/2 is sent HTTP/1.1 before a new try
# time after which a connection that has not sent its SETTINGS is given up
SETTINGS_TIMEOUT = 5_000_000


@dataclass(slots=True, eq=False)
class Link:
    """State of one connection; the host updates it before it calls the pool."""

    opened_at: int
    settled: bool = False  # SETTINGS received
    usable: bool = True  # no GOAWAY received, not ended
    streams: int = 0  # open streams and calls that wait for one
    limit: int = 100  # streams that the peer allows
    heard: int = 0  # when anything was received last
    pinged: int = 0  # when the unanswered PING was sent; 0: there is none
    gap: float = 0.0  # average time between receipts while streams are open
    busy_since: int = 0  # since when streams have been open without a break; 0: none is

    def learn(self, now: int) -> None:
        """Register that something was received."""
        if self.busy_since:
            since = max(self.heard, self.busy_since)
            self.gap += (now - since - self.gap) * (GAP_WEIGHT if self.gap else 1.0)
        self.heard = now

    def phi(self, now: int) -> float:
        """Return the suspicion level phi of its current silence, from the average gap.

        Source: Hayashibara 2004, here with exponentially distributed gaps.
        """
        if not self.busy_since or not self.gap:
            return 0.0
        return (now - max(self.heard, self.busy_since)) / self.gap / log(10)


@dataclass(slots=True)
class LinkPool:
    """The connections to one machine."""

    links: list[Link] = field(default_factory=list)
    opening: int = 0  # connections that are being opened
    http1_until: int = 0  # until when it is sent HTTP/1.1, as it did not speak HTTP/2

    def speaks(self, now: int) -> bool:
        """Return whether HTTP/2 may be tried with the machine."""
        return now >= self.http1_until

    def use_http1(self, now: int) -> None:
        """Register that the machine does not speak HTTP/2."""
        self.http1_until = now + HTTP1_FALLBACK

    def pick_link(self) -> Link | None:
        """Return the link for the next query: the one with the largest share of free streams.

        Links without SETTINGS come last, as nothing is sent there yet. None if all are full or none
        is open.
        """
        candidates = [one for one in self.links if one.usable and one.streams < max(1, one.limit)]
        return min(
            candidates,
            key=lambda one: (not one.settled, one.streams / max(1, one.limit), one.opened_at),
            default=None,
        )

    def needs_another_link(self) -> bool:
        """Return whether to open another connection, before the stream limits are reached.

        A draining connection does not count: its successor is opened while it finishes.
        """
        usable = [one for one in self.links if one.usable]
        if self.opening or len(usable) + self.opening >= MAX_LINKS:
            return False
        used, room = sum(one.streams for one in usable), sum(one.limit for one in usable)
        return used >= OPEN_AHEAD_SHARE * room

    def least_loaded_link(self) -> Link | None:
        """Return the least loaded link: a query waits there if all are full and none may open."""
        return min(
            (one for one in self.links if one.usable and one.limit > 0),
            key=lambda one: one.streams / one.limit,
            default=None,
        )


def ping_timeout(link: Link) -> int:
    """Return how long a PING may stay unanswered before the connection is given up."""
    return round(min(MAX_PING_WAIT, max(MIN_PING_WAIT, PING_WAIT_GAPS * link.gap)))


def classify_links(now: int, links: Iterable[Link]) -> tuple[list[Link], list[Link], list[Link]]:
    """Return the links to ping, those to give up as dead, and those to close as idle."""
    ping, dead, idle = [], [], []
    for one in links:
        since = max(one.heard, one.busy_since)
        if one.pinged:
            if now - one.pinged >= ping_timeout(one):
                dead.append(one)
        elif not one.settled:
            if now - one.opened_at >= SETTINGS_TIMEOUT:
                dead.append(one)
        elif (
            one.busy_since
            and now - since >= MIN_PING_WAIT
            and (one.phi(now) >= PING_PHI or not one.gap)
        ):
            ping.append(one)
        elif not one.busy_since and now - max(one.heard, one.opened_at) >= MAX_IDLE:
            idle.append(one)
    return ping, dead, idle

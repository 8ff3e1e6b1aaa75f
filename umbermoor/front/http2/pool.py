"""Which connection takes the next query, when another one is opened, and which is given up;
decisions without I/O.

Times are microseconds. A link is what is known of one connection; the host keeps the connections
themselves.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import log

MAX_LINKS = 4  # connections to one machine
OPEN_AHEAD_SHARE = (
    0.75  # another is opened once the streams in use reach this part of what the usable ones take
)
MAX_IDLE = 30_000_000  # a connection without streams is closed after this
# phi from which a silent connection is pinged: a silence as long has a probability of 10^-phi
PING_PHI = 3.0
MIN_PING_WAIT = 250_000  # and the silence that is pinged at the least
# an unanswered PING after which it is given up, at the most; sooner where answers are quick
MAX_PING_WAIT = 1_000_000
PING_WAIT_GAPS = 20.0  # so many usual gaps
GAP_WEIGHT = 0.2  # weight of the newest gap
HTTP1_FALLBACK = 60_000_000  # how long a machine that does not speak HTTP/2 is asked in HTTP/1.1
# after this time without one, a connection that has not said its SETTINGS is given up
SETTINGS_TIMEOUT = 5_000_000


@dataclass(slots=True, eq=False)
class Link:
    """One connection, as the pool sees it; the host brings it up to date before it asks."""

    made: int
    settled: bool = False
    usable: bool = True  # no GOAWAY, not ended
    streams: int = 0  # in use, and calls that wait on it
    limit: int = 100
    heard: int = 0
    pinged: int = 0
    gap: float = 0.0  # the usual time between what is heard while streams are open
    busy_since: int = 0  # since when it has had streams without a break; 0: it has none

    def learn(self, now: int) -> None:
        """Something came."""
        if self.busy_since:
            since = max(self.heard, self.busy_since)
            self.gap += (now - since - self.gap) * (GAP_WEIGHT if self.gap else 1.0)
        self.heard = now

    def phi(self, now: int) -> float:
        """How unusual its silence is, given the gaps seen before (Hayashibara 2004, with
        exponential gaps)."""
        if not self.busy_since or not self.gap:
            return 0.0
        return (now - max(self.heard, self.busy_since)) / self.gap / log(10)


@dataclass(slots=True)
class LinkPool:
    """The connections to one machine."""

    links: list[Link] = field(default_factory=list)
    opening: int = 0  # connections that are on their way
    plain_until: int = 0  # it did not speak HTTP/2: HTTP/1.1 until then

    def speaks(self, now: int) -> bool:
        return now >= self.plain_until

    def use_http1(self, now: int) -> None:
        self.plain_until = now + HTTP1_FALLBACK

    def pick_link(self) -> Link | None:
        """The link for the next query: the one that has the largest part free. Those that have not
        said their SETTINGS come last, as nothing is sent there yet. None: a connection has to be
        opened first, or all are full."""
        candidates = [one for one in self.links if one.usable and one.streams < max(1, one.limit)]
        return min(
            candidates,
            key=lambda one: (not one.settled, one.streams / max(1, one.limit), one.made),
            default=None,
        )

    def needs_another_link(self) -> bool:
        """Before the limit binds. One that drains does not count: its successor is opened while it
        goes on."""
        usable = [one for one in self.links if one.usable]
        if self.opening or len(usable) + self.opening >= MAX_LINKS:
            return False
        used, room = sum(one.streams for one in usable), sum(one.limit for one in usable)
        return used >= OPEN_AHEAD_SHARE * room

    def least_loaded_link(self) -> Link | None:
        """Where a query waits if nothing has room and nothing more may be opened: with the
        fewest."""
        return min(
            (one for one in self.links if one.usable and one.limit > 0),
            key=lambda one: one.streams / one.limit,
            default=None,
        )


def ping_timeout(link: Link) -> int:
    return round(min(MAX_PING_WAIT, max(MIN_PING_WAIT, PING_WAIT_GAPS * link.gap)))


def classify_links(now: int, links: Iterable[Link]) -> tuple[list[Link], list[Link], list[Link]]:
    """Which links to ping, which to give up as dead, and which to close as idle."""
    ping, dead, idle = [], [], []
    for one in links:
        since = max(one.heard, one.busy_since)
        if one.pinged:
            if now - one.pinged >= ping_timeout(one):
                dead.append(one)
        elif not one.settled:
            if now - one.made >= SETTINGS_TIMEOUT:
                dead.append(one)
        elif (
            one.busy_since
            and now - since >= MIN_PING_WAIT
            and (one.phi(now) >= PING_PHI or not one.gap)
        ):
            ping.append(one)
        elif not one.busy_since and now - max(one.heard, one.made) >= MAX_IDLE:
            idle.append(one)
    return ping, dead, idle

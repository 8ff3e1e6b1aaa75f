"""Second tries of one front at one service: each request earns a part of one, so the sum over all
fronts holds whatever their number is. What the bound allows beside the ratio is left for what no
front counts: restarts and window edges."""

from umbermoor.statistics.windowed import Windowed

PART = 0.8  # of the ratio that a front uses: windows lie anywhere
SHARED = 0.5  # of the slack that all fronts share
FLOOR = 4  # fronts that there are at least held to be
SECOND = 1_000_000


class Budget:
    """Tokens: earned by requests, lost again once the requests that earned them leave the
    window."""

    def __init__(self, ratio: float, window: int, start: float = 0.0) -> None:
        self.ratio, self.start = ratio * PART, start
        self.earned, self.spent = Windowed(window), Windowed(window)
        self.window = window + window // 20  # us; a `Windowed` may hold one slot more than it says
        self._asked = self._began = self._since = -1
        self._counted = self._last = 0

    def set_ratio(self, ratio: float) -> None:
        """The bound changed: second tries to first ones."""
        self.ratio = ratio * PART

    def request(self, now: int) -> None:
        self.earned.add(now, 1)

    def left(self, now: int) -> float:
        """Second tries that may be made now."""
        return self.start + self.ratio * self.earned.sum(now) - self.spent.sum(now)

    def spend(self, now: int) -> bool:
        """Takes one; whether there was one."""
        if self.left(now) < 1:
            return False
        self.spent.add(now, 1)
        return True

    def shared(self, now: int, slack: float, fronts: int, floor: int = FLOOR) -> None:
        """Sets `start` to this front's share of `slack` (second tries a window that all fronts
        together may make beyond the ratio), by the number of fronts believed to run. Call it at
        least once a window, such as each tick.

        It is 0 for the first whole window of a life; then SHARED x slack / max(counted, floor).
        `counted` rises at once with `fronts`, and falls only to a number that has been the same for
        a whole window; longer than half a window without a call counts as a change.

        Why the shares sum to no more than the slack. Take any window, T - W to T; let n fronts run
        at T - W. Who uses its share at t within it began at t - W or before, so it ran at T - W:
        there are at most n, and a former life at one of their addresses ended before T - W. Each
        one's `counted` at t is no less than what it believed at T - W, since that lies within its
        last window. Where each believed at least n / 2 then, its share is at most 0.5 x slack / (n
        / 2) = slack / n, and all together slack. Where they believed n, half of it is left.
        """
        if self._asked < 0:
            self._began = self._since = now
            self._counted = self._last = fronts
        if fronts != self._last or now - self._asked > self.window // 2:
            self._last, self._since = fronts, now
        self._asked = now
        if now - self._since >= self.window:
            self._counted = fronts
        self._counted = max(self._counted, fronts)
        settled = now - self._began >= self.window
        self.start = SHARED * slack / max(self._counted, floor, 1) if settled else 0.0

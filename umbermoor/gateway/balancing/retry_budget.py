"""Retry budgets: how many retries and hedged requests one proxy may send to one service.

Each request earns a part of a retry, so the sum over all proxies holds whatever their number is
(as the retry budgets of Finagle). What the bound allows beside the ratio is left for what no proxy
counts: restarts and window edges. Times are whole microseconds.
"""

from umbermoor.statistics.windowed import SLOTS, SlidingWindowSum

USED_RATIO = 0.8  # of the ratio that a proxy uses: windows lie anywhere
SHARED_SLACK = 0.5  # of the slack that all proxies share
MIN_PROXIES = 4  # proxies that there are at least taken to be


class RetryBudget:
    """Tokens earned by requests, and lost once those requests leave the window.

    available = slack_share + USED_RATIO * ratio * requests - retries, both counted in the window.
    """

    __slots__ = (
        "_asked_at",
        "_began_at",
        "_counted_proxies",
        "_last_proxies",
        "_unchanged_since",
        "ratio",
        "requests",
        "retries",
        "slack_share",
        "window_us",
    )

    def __init__(self, ratio: float, window_us: int, slack_share: float = 0.0) -> None:
        self.ratio = ratio * USED_RATIO
        self.slack_share = slack_share
        self.requests = SlidingWindowSum(window_us)
        self.retries = SlidingWindowSum(window_us)
        # A `SlidingWindowSum` may hold one slot more than it says.
        self.window_us = window_us + window_us // SLOTS
        self._asked_at = self._began_at = self._unchanged_since = -1
        self._counted_proxies = self._last_proxies = 0

    def set_ratio(self, ratio: float) -> None:
        """Changes the bound: retries to requests."""
        self.ratio = ratio * USED_RATIO

    def request_arrived(self, now: int) -> None:
        """Earns a part of a token."""
        self.requests.add(now, 1)

    def available(self, now: int) -> float:
        """Retries that may be sent now."""
        return self.slack_share + self.ratio * self.requests.sum(now) - self.retries.sum(now)

    def try_spend(self, now: int) -> bool:
        """Takes one token; whether there was one."""
        if self.available(now) < 1:
            return False
        self.retries.add(now, 1)
        return True

    def share_slack(
        self, now: int, slack: float, proxies: int, min_proxies: int = MIN_PROXIES
    ) -> None:
        """Sets `slack_share` to this proxy's share, by the number of proxies believed to run.

        Call it at least once a window, such as each tick. The share is 0 for the first whole window
        of an incarnation; then SHARED_SLACK * slack / max(counted, min_proxies). `counted` rises at
        once with `proxies`, and falls only to a number that has been the same for a whole window;
        longer than half a window without a call counts as a change.

        Why the shares sum to no more than the slack. Take any window, T - W to T; let n proxies run
        at T - W. Who uses its share at t within it began at t - W or before, so it ran at T - W:
        there are at most n, and a former incarnation at one of their addresses ended before T - W.
        Each one's `counted` at t is no less than what it believed at T - W, since that lies within
        its last window. Where each believed at least n / 2 then, its share is at most
        0.5 * slack / (n / 2) = slack / n, and all together slack. Where they believed n, half of it
        is left.

        Args:
            now: The present time.
            slack: Retries a window that all proxies together may send beyond the ratio.
            proxies: Proxies believed to run, this one included.
            min_proxies: Proxies that there are at least taken to be.
        """
        if self._asked_at < 0:
            self._began_at = self._unchanged_since = now
            self._counted_proxies = self._last_proxies = proxies
        if proxies != self._last_proxies or now - self._asked_at > self.window_us // 2:
            self._last_proxies = proxies
            self._unchanged_since = now
        self._asked_at = now
        if now - self._unchanged_since >= self.window_us:
            self._counted_proxies = proxies
        self._counted_proxies = max(self._counted_proxies, proxies)
        if now - self._began_at >= self.window_us:
            self.slack_share = SHARED_SLACK * slack / max(self._counted_proxies, min_proxies, 1)
        else:
            self.slack_share = 0.0


class RetryBudgets:
    """The retry budget of each service, made when its first request arrives."""

    __slots__ = ("_budgets", "_ratio", "_window_us")

    def __init__(self, ratio: float, window_us: int) -> None:
        self._ratio = ratio
        self._window_us = window_us
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """The budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._ratio, self._window_us)
        return budget

    def set_bounds(self, ratio: float, window_us: int) -> None:
        """Changes the ratio of all services, and the window of those that are new from now on."""
        self._ratio = ratio
        self._window_us = window_us
        for budget in self._budgets.values():
            budget.set_ratio(ratio)

    def share_slack(self, now: int, slack: float, proxies: int) -> None:
        """Divides the slack of each service among the proxies; see `RetryBudget.share_slack`."""
        for budget in self._budgets.values():
            budget.share_slack(now, slack, proxies)

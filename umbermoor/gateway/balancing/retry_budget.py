"""Retry budgets: limits on the retries and hedged requests of one proxy to one service.

Each request earns a fraction of a retry, so the bound holds for the sum over all proxies, whatever
their number (as with the retry budgets of Finagle). The bound also allows a fixed slack beyond the
ratio, which the proxies divide among themselves. Parts of the ratio and of the slack stay unused
as margins for what no proxy counts, such as restarts and window edges: see USED_RATIO and
SHARED_SLACK. Times are whole microseconds.
"""

from umbermoor.statistics.windowed import SLOTS, SlidingWindowSum

# Fraction of the ratio that a proxy uses. The rest is a margin, because the bound applies to
# windows at any position.
USED_RATIO = 0.8
SHARED_SLACK = 0.5  # fraction of the slack that is divided among the proxies
MIN_PROXIES = 4  # lower bound of the assumed number of proxies


class RetryBudget:
    """A token budget in a sliding window: requests earn tokens, retries spend them.

    available = slack_share + USED_RATIO * ratio * requests - retries, both counted in the window.
    """

    __slots__ = (
        "_adjusted_at",
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
        # A `SlidingWindowSum` may cover one slot more than its nominal window.
        self.window_us = window_us + window_us // SLOTS
        self._adjusted_at = self._began_at = self._unchanged_since = -1
        self._counted_proxies = self._last_proxies = 0

    def set_ratio(self, ratio: float) -> None:
        """Set the bound on the ratio of retries to requests."""
        self.ratio = ratio * USED_RATIO

    def request_arrived(self, now: int) -> None:
        """Record a request, which earns a fraction of a token."""
        self.requests.add(now, 1)

    def available(self, now: int) -> float:
        """Return the number of retries that may be sent now."""
        return self.slack_share + self.ratio * self.requests.sum(now) - self.retries.sum(now)

    def try_spend(self, now: int) -> bool:
        """Take one token if there is one; return whether there was."""
        if self.available(now) < 1:
            return False
        self.retries.add(now, 1)
        return True

    def share_slack(
        self, now: int, slack: float, proxies: int, min_proxies: int = MIN_PROXIES
    ) -> None:
        """Set `slack_share` to this proxy's share, given its estimate of the number of proxies.

        Call this at least once per window, for example at each tick. The share is 0 during the
        first whole window of an incarnation; then it is SHARED_SLACK * slack / max(counted,
        min_proxies). `counted` rises immediately with `proxies`, and falls only to a number that
        has not changed for a whole window; an interval of more than half a window between two calls
        counts as a change.

        Why the shares sum to no more than the slack: take any window from T - W to T, and let n
        proxies run at T - W. A proxy that uses its share at a time t in the window started at t - W
        or earlier, so it was running at T - W. Hence there are at most n such proxies, and any
        earlier incarnation at one of their addresses ended before T - W. The `counted` of each at t
        is at least its estimate at T - W, since T - W lies within its last window. If every
        estimate was at least n / 2, each share is at most 0.5 * slack / (n / 2) = slack / n, so the
        sum is at most slack. If the estimates are exactly n, half of the slack stays unused.

        Args:
            now: The present time.
            slack: Retries per window that all proxies together may send beyond the ratio.
            proxies: The estimated number of running proxies, this one included.
            min_proxies: Lower bound of the assumed number of proxies.
        """
        if self._adjusted_at < 0:
            self._began_at = self._unchanged_since = now
            self._counted_proxies = self._last_proxies = proxies
        if proxies != self._last_proxies or now - self._adjusted_at > self.window_us // 2:
            self._last_proxies = proxies
            self._unchanged_since = now
        self._adjusted_at = now
        if now - self._unchanged_since >= self.window_us:
            self._counted_proxies = proxies
        self._counted_proxies = max(self._counted_proxies, proxies)
        if now - self._began_at >= self.window_us:
            self.slack_share = SHARED_SLACK * slack / max(self._counted_proxies, min_proxies, 1)
        else:
            self.slack_share = 0.0


class RetryBudgets:
    """The retry budget of each service, created when its first request arrives."""

    __slots__ = ("_budgets", "_ratio", "_window_us")

    def __init__(self, ratio: float, window_us: int) -> None:
        self._ratio = ratio
        self._window_us = window_us
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._ratio, self._window_us)
        return budget

    def set_bounds(self, ratio: float, window_us: int) -> None:
        """Set the ratio of all services, and the window of budgets that are created from now on."""
        self._ratio = ratio
        self._window_us = window_us
        for budget in self._budgets.values():
            budget.set_ratio(ratio)

    def share_slack(self, now: int, slack: float, proxies: int) -> None:
        """Set this proxy's share of the slack of each service; see `RetryBudget.share_slack`."""
        for budget in self._budgets.values():
            budget.share_slack(now, slack, proxies)

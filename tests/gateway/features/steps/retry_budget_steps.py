"""Retry budgets compared with brute-force counts."""

import random
from bisect import bisect_left, bisect_right

from behave import then

from umbermoor.gateway.balancing.retry_budget import USED_RATIO, RetryBudget
from umbermoor.statistics.windowed import SLOTS

SECOND = 1_000_000
WINDOW = 10 * SECOND
RATIO, SLACK = 0.2, 58


def count_within(times, low, high):
    """Return the number of sorted times after `low` and up to `high`."""
    return bisect_right(times, high) - bisect_right(times, low)


@then(
    "a budget agrees with a reference list of times to within a slot, in {count:d} random histories"
)
def _(context, count):
    for seed in range(count):
        rng, now, request_times, retry_times = random.Random(seed), 0, [], []
        budget = RetryBudget(RATIO, WINDOW)
        slot = WINDOW // SLOTS
        for _ in range(150):
            now += rng.choice(
                (0, 1, 1000, 100_000, 700_000, 15 * SECOND if rng.random() < 0.2 else 0)
            )
            for _ in range(rng.choice((0, 1, 30))):
                budget.request_arrived(now)
                request_times.append(now)
            available = budget.available(now)
            earned = [
                RATIO * USED_RATIO * count_within(request_times, now - long, now)
                for long in (WINDOW, WINDOW + slot)
            ]
            retries = [
                count_within(retry_times, now - WINDOW, now),
                count_within(retry_times, now - WINDOW - slot, now),
            ]
            assert earned[0] - retries[1] - 1e-6 <= available <= earned[1] - retries[0] + 1e-6, (
                seed,
                now,
            )
            was_spent = budget.try_spend(now)
            assert was_spent == (available >= 1)
            if was_spent:
                retry_times.append(now)


def find_violation(request_times, retry_times, window):
    """Return the first window at any position in which the retries exceed the bound, or None.

    The bound counts the requests of that window, or of the window half a length or a whole length
    earlier, whichever are the most.
    """
    for end in retry_times:  # the worst windows end with a retry
        for low in (end - window, end - window + 1):
            retries = count_within(retry_times, low, end)
            requests = max(
                count_within(request_times, low - back, end - back)
                for back in (0, window // 2, window)
            )
            if retries > RATIO * requests + SLACK:
                return low, retries, requests
    for start in retry_times:  # or start with one
        retries = count_within(retry_times, start - 1, start - 1 + window)
        requests = max(
            count_within(request_times, start - 1 - back, start - 1 + window - back)
            for back in (0, window // 2, window)
        )
        if retries > RATIO * requests + SLACK:
            return start, retries, requests
    return None


def random_load(rng):
    """Yield times and the number of requests in the 50 ms from each time.

    The load is steady for three seconds at a time, at high and low rates.
    """
    mean = 1.0
    for now in range(0, 60 * SECOND, 50_000):
        if not now % (3 * SECOND):
            mean = rng.choice((3, 10, 1, 0.2))
        yield now, sum(rng.random() < mean / 10 for _ in range(10))


@then(
    "a budget under heavy demand keeps ratio and slack in every window, in {count:d} random histories"
)
def _(context, count):
    for seed in range(count):
        rng, budget, request_times, retry_times = (
            random.Random(seed),
            RetryBudget(RATIO, WINDOW),
            [],
            [],
        )
        # All budget is spent from the first to the second of these times, and from the third to the
        # fourth; at other times a retry is wanted in 30 % of the steps.
        demand_changes_at = sorted(rng.randrange(60 * SECOND) for _ in range(4))
        for now, new_requests in random_load(rng):
            for _ in range(new_requests):
                budget.request_arrived(now)
                request_times.append(now)
            in_demand = bisect_left(demand_changes_at, now) % 2 or rng.random() < 0.3
            while in_demand and budget.try_spend(now):
                retry_times.append(now)
        assert len(retry_times) > 20, len(retry_times)
        assert (violation := find_violation(request_times, retry_times, WINDOW)) is None, (
            seed,
            violation,
        )


@then(
    "the budgets of {proxies:d} proxies that restart keep the common bound in every window, "
    "in {count:d} random histories"
)
def _(context, proxies, count):
    for seed in range(count):
        rng, request_times, retry_times, restarts = random.Random(seed), [], [], 0
        budgets = [RetryBudget(RATIO, WINDOW) for _ in range(proxies)]
        shares = [rng.random() ** 2 for _ in budgets]
        for now, new_requests in random_load(rng):
            for proxy in range(proxies):
                if rng.random() < 0.003:
                    budgets[proxy], restarts = RetryBudget(RATIO, WINDOW), restarts + 1
            for _ in range(4 * new_requests):
                request_times.append(now)
                budgets[rng.choices(range(proxies), shares)[0]].request_arrived(now)
            for budget in budgets:
                if budget.available(now) >= 1:
                    while rng.random() < 0.9 and budget.try_spend(now):
                        retry_times.append(now)
        assert restarts > 3 and len(retry_times) > 50
        assert (violation := find_violation(request_times, retry_times, WINDOW)) is None, (
            seed,
            violation,
        )

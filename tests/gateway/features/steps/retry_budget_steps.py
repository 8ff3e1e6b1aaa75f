"""Budgets beside brute-force counts."""

import random
from bisect import bisect_left, bisect_right

from behave import then

from umbermoor.gateway.balancing.retry_budget import USED_RATIO, RetryBudget
from umbermoor.statistics.windowed import SLOTS

SECOND = 1_000_000
WINDOW = 10 * SECOND
RATIO, SLACK = 0.2, 58


def within(times, low, high):
    """How many of the sorted times lie after `low` and up to `high`."""
    return bisect_right(times, high) - bisect_right(times, low)


@then("a budget holds what a plain list of times says to within a slot, over {count:d} histories")
def _(context, count):
    for seed in range(count):
        dice, now, earned, spent = random.Random(seed), 0, [], []
        budget = RetryBudget(RATIO, WINDOW)
        slot = WINDOW // SLOTS
        for _ in range(150):
            now += dice.choice(
                (0, 1, 1000, 100_000, 700_000, 15 * SECOND if dice.random() < 0.2 else 0)
            )
            for _ in range(dice.choice((0, 1, 30))):
                budget.request_arrived(now)
                earned.append(now)
            left = budget.available(now)
            low = [
                RATIO * USED_RATIO * within(earned, now - long, now)
                for long in (WINDOW, WINDOW + slot)
            ]
            gone = [within(spent, now - WINDOW, now), within(spent, now - WINDOW - slot, now)]
            assert low[0] - gone[1] - 1e-6 <= left <= low[1] - gone[0] + 1e-6, (seed, now)
            taken = budget.try_spend(now)
            assert taken == (left >= 1)
            if taken:
                spent.append(now)


def broken(arrived, spent, window):
    """The first window, wherever it lies, in which the second tries exceed what the rule allows."""
    for end in spent:  # a window is worst where its last moment is that of a second try
        for low in (end - window, end - window + 1):
            over = within(spent, low, end)
            owed = max(within(arrived, low - back, end - back) for back in (0, window // 2, window))
            if over > RATIO * owed + SLACK:
                return low, over, owed
    for start in spent:  # and where its first one is
        over = within(spent, start - 1, start - 1 + window)
        owed = max(
            within(arrived, start - 1 - back, start - 1 + window - back)
            for back in (0, window // 2, window)
        )
        if over > RATIO * owed + SLACK:
            return start, over, owed
    return None


def loads(dice):
    """Times and the requests in the 50 ms from there: steady, with rushes and lulls of whole
    seconds."""
    mean = 1.0
    for now in range(0, 60 * SECOND, 50_000):
        if not now % (3 * SECOND):
            mean = dice.choice((3, 10, 1, 0.2))
        yield now, sum(dice.random() < mean / 10 for _ in range(10))


@then(
    "a budget that is always wanted keeps ratio and slack in every window, over {count:d} histories"
)
def _(context, count):
    for seed in range(count):
        dice, budget, arrived, spent = random.Random(seed), RetryBudget(RATIO, WINDOW), [], []
        pressed = sorted(
            dice.randrange(60 * SECOND) for _ in range(4)
        )  # wanted from odd to even ones of these
        for now, came in loads(dice):
            for _ in range(came):
                budget.request_arrived(now)
                arrived.append(now)
            wanted = bisect_left(pressed, now) % 2 or dice.random() < 0.3
            while wanted and budget.try_spend(now):
                spent.append(now)
        assert len(spent) > 20, len(spent)
        assert (bad := broken(arrived, spent, WINDOW)) is None, (seed, bad)


@then(
    "a budget at each of {fronts:d} fronts that end and start again keeps the common bound in every window, "
    "over {count:d} histories"
)
def _(context, fronts, count):
    for seed in range(count):
        dice, arrived, spent, starts = random.Random(seed), [], [], 0
        budgets = [RetryBudget(RATIO, WINDOW) for _ in range(fronts)]
        shares = [dice.random() ** 2 for _ in budgets]
        for now, came in loads(dice):
            for front in range(fronts):
                if dice.random() < 0.003:
                    budgets[front], starts = RetryBudget(RATIO, WINDOW), starts + 1
            for _ in range(4 * came):
                arrived.append(now)
                budgets[dice.choices(range(fronts), shares)[0]].request_arrived(now)
            for budget in budgets:
                if budget.available(now) >= 1:
                    while dice.random() < 0.9 and budget.try_spend(now):
                        spent.append(now)
        assert starts > 3 and len(spent) > 50
        assert (bad := broken(arrived, spent, WINDOW)) is None, (seed, bad)

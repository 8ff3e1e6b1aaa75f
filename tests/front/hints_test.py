"""Clients' hints of the work count as far as answer times have been seen to follow them."""

import heapq
import random
from math import exp

from hypothesis import given
from hypothesis import strategies as st

from tests.__main__ import PLAIN, PROFILE
from umbermoor.front.interface import Do, Ending, Entry, Listing, News, Phase, Readiness
from umbermoor.front.records import LogSlope
from umbermoor.front.rules import SECOND, Front

MEAN = SECOND / 8


@given(st.floats(0, 1), st.integers(0, 9))
def test_a_slope_is_estimated_and_follows_a_change(slope: float, seed: int) -> None:
    draw, estimate = random.Random(seed), LogSlope(0.995, 10.0)
    assert estimate.value() == 1.0
    for _ in range(2000):
        x = draw.gauss(11, 1)
        estimate.add(exp(x), exp(slope * x + draw.gauss(0, 0.5)))
    assert abs(estimate.value() - slope) < 0.2
    for _ in range(2000):
        x = draw.gauss(11, 1)
        estimate.add(exp(x), exp((1 - slope) * x))
    assert abs(estimate.value() - (1 - slope)) < 0.1


def test_constant_hints_give_a_slope_in_bounds() -> None:
    estimate = LogSlope(0.995, 10.0)
    for _ in range(100):
        estimate.add(0, 0)
        estimate.add(5.0, 80.0)
    assert 0 <= estimate.value() <= 1


def served(
    noise: float, slow_at: int, seconds: int = 40, seed: int = 2
) -> tuple[Front, list[int], list[int]]:
    """Play a front with twenty machines and 18 queries a second.

    Work is lognormal; the standard deviation of the hints' logarithm about it is ``noise``. From
    ``slow_at`` on everything takes 2.2 times as long.

    Returns:
        The front, and by fifths of the hint the numbers of queries and of those handed off, both
        from a second after ``slow_at``.
    """
    draw = random.Random(seed)
    front = Front(
        PLAIN._replace(
            profiles=(
                PROFILE._replace(target=SECOND // 2, value=2.0),
                PROFILE._replace(target=SECOND * 6 // 10, value=6.0),
            ),
            fronts=40,
            tallied_every=2 * SECOND,
            seed=seed,
        )
    )
    front.list_news(
        0, Listing.FULL, [Entry(f"m{at}", 1, 0, 0, Readiness.READY, 1.0, 0) for at in range(20)]
    )
    front.release_news(0, News(1, 0, Phase.RELEASED, 1.0, 0, False, Ending.OK))
    due: list[tuple[int, str, int, str]] = []
    work: dict[str, float] = {}
    hints: list[tuple[float, bool]] = []
    for now in range(SECOND, seconds * SECOND, SECOND // 18):
        while due and due[0][0] <= now:
            at, query, sent, machine = heapq.heappop(due)
            front.hand_off_ended(at, query, 0, machine, Ending.OK, at - sent, True)
        query = f"q{now}"
        work[query] = exp(draw.gauss(0, 0.5)) * MEAN
        hint = exp(draw.gauss(0, noise)) * work[query]
        front.take_query(now, query, now % 2, None, now + 2 * SECOND, round(hint), False)
        handed_off = False
        while decision := front.decide(now):
            if decision[0] is Do.HAND_OFF and decision[1] == query:
                handed_off = True
                took = work[query] * (2.2 if now >= slow_at else 1.0)
                heapq.heappush(due, (now + round(took), query, now, decision[2]))
        if now >= slow_at + SECOND:
            hints.append((hint, handed_off))
    hints.sort()
    fifth = len(hints) // 5
    return (
        front,
        [fifth] * 5,
        [sum(sent for _, sent in hints[at * fifth : (at + 1) * fifth]) for at in range(5)],
    )


def test_rough_hints_do_not_exaggerate_a_slowdown() -> None:
    for seed in range(3):
        front, asked, handed = served(1.2, 20 * SECOND, seed=seed)
        assert front.hint_slope.value() < 0.5
        # Everything is 2.2 times as slow. If the hints were trusted, only queries hinted light
        # would pass, and everything would seem 3 to 6 times as slow.
        assert 1.6 < front.took / front.work / pace(seed) < 2.65


def pace(seed: int) -> float:
    """Return the pace of the same front without a slowdown."""
    front = served(1.2, 1 << 60, seed=seed)[0]
    return front.took / front.work


def test_accurate_hints_are_trusted() -> None:
    front, asked, handed = served(0.1, 20 * SECOND)
    assert front.hint_slope.value() > 0.85
    assert handed[0] >= handed[4]

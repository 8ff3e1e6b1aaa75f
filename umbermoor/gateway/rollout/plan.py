"""The course of a roll-out, as fronts and the core know it.

Why late and in steps: a version may turn bad at any moment, and then the share it has had since the
order counts, so it keeps to a small part until late. Steps are short: a version that turns bad only
at one of them is sent back by pooled counts within half a second, and with 341 requests a second
and 12 s all it received stays below 0.1 of them + 50: 0.04 x 8.0 s, 0.2 x 0.55 s, 0.4 x 0.5 s and 1
x 0.6 s come to 420 of at most 459."""

import re
from collections.abc import Sequence
from math import ceil, log
from typing import Any

SECOND = 1_000_000
EXPOSED = 0.04  # of a front's own requests, since it knew of the order, go to the trial at most
SHARES = (EXPOSED, 0.2, 0.4, 1.0)  # of the requests at each stage
STARTS = (0.0, 0.67, 0.715, 0.755)  # stages begin at these parts of the time up to the term
ALL = len(SHARES) - 1
# a step short of all lasts this part of the time up to the term; then a front goes on as before it
LEASE = 0.075
FRESH = 3 * SECOND  # outcomes of machines listed more recently than this do not count
# so long one machine carries the trial, then the other; every third turn none, so that the share
# left
TURN = SECOND
# for the trial comes in bursts that load its machine as the others are
SIGMA = 0.05  # how far apart the true means of two versions are expected to lie
MARGIN = 0.02  # the fixed part of the lead that the earlier one needs for a vote back
LEAST = 10  # outcomes below which nothing is judged by its mean
FIRST_MEAN = 0.9  # the earlier version's mean until it has LEAST outcomes
LONE = 0.08  # bad answers that nothing is made of while no earlier version is there to compare with
SURE = 0.985  # a mean above this is taken for this, so that s never vanishes

ROLLOUT = "rollout/"  # begins the register's keys of roll-outs; the service is behind it
Record = dict[
    str, Any
]  # order, serial, target, from, rampS, state, stage, elapsed, why; of what JSON can hold


def newer(one: Record, held: Record | None) -> bool:
    """Whether `one` may take the place of `held`: what has ended stays ended for its order."""
    if held is None or one["order"] != held["order"]:
        return held is None or one["order"] > held["order"]
    return held["state"] == "running" and (
        one["state"] != "running" or one["serial"] > held["serial"]
    )


def earliest(revisions: Sequence[str]) -> list[str]:
    """Revisions, lowest first: by the numbers in their names, then by name."""
    return sorted(
        set(revisions), key=lambda one: ([int(part) for part in re.findall(r"\d+", one)], one)
    )


def busy(stage: int, machines: int) -> int:
    """How many machines carry the new version's share, so that each has a load like one of the
    `machines` before."""
    return max(2, ceil(SHARES[stage] * machines)) if stage else 1


def speaks(usual: float, worse: float, n: int, bad: int) -> float:
    """Log-likelihood ratio of n outcomes, some bad: that so many more are spoilt, against the usual
    share of bad."""
    share = usual + worse * (1 - usual)
    return bad * log(share / usual) + (n - bad) * log((1 - share) / (1 - usual))

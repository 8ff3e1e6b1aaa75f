"""The stages of a rollout: the new version's share of the requests, and when each begins.

Why late and in steps: a version may turn bad at any moment, and then the share that it has had
since the order counts, so it keeps to a small part until late. Steps are short: a version that
turns bad only at one of them is reverted by pooled outcomes within half a second, and with 341
requests a second and 12 s all it received stays below 0.1 of them + 50: 0.04 x 8.0 s, 0.2 x 0.55 s,
0.4 x 0.5 s and 1 x 0.6 s come to 420 of at most 459.

Times are whole microseconds, unless a name says seconds.
"""

import re
from collections.abc import Sequence
from math import ceil

from umbermoor.gateway.units import SECOND

TRIAL_SHARE = 0.04
"""Of a proxy's own requests since it learnt of the order, the most that go to the trial."""
STAGE_SHARES = (TRIAL_SHARE, 0.2, 0.4, 1.0)
"""The new version's share of the requests at each stage."""
STAGE_STARTS = (0.0, 0.67, 0.715, 0.755)
"""Stages begin at these parts of the ramp time."""
FINAL_STAGE = len(STAGE_SHARES) - 1
STEP_LEASE = 0.075
"""A stage between trial and final lasts this part of the ramp time; then a proxy falls back."""
WARM_UP_TIME = 3 * SECOND
"""Outcomes of instances listed more recently than this do not count (slow start)."""
TRIAL_TURN = SECOND
"""At the trial stage one instance carries the trial for this long, then another, then none.

So the trial's small share comes in bursts that load its instance as the others are loaded.
"""


def oldest_first(versions: Sequence[str]) -> list[str]:
    """The versions without repetition, by the numbers in their names, then by name."""

    def rank(version: str) -> tuple[list[int], str]:
        return [int(digits) for digits in re.findall(r"\d+", version)], version

    return sorted(set(versions), key=rank)


def instances_for_share(stage: int, previous_instances: int) -> int:
    """How many instances carry the new version's share at a stage.

    So few that each has a load like one of the `previous_instances`.
    """
    if not stage:
        return 1
    return max(2, ceil(STAGE_SHARES[stage] * previous_instances))

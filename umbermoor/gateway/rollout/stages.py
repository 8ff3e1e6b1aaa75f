"""The stages of a rollout: the new version's share of the requests, and the start of each stage.

The share stays small until late, and then rises in short steps: a version may turn bad at any
moment, and the limit covers all requests that it has received since the order. A version that turns
bad only at one of the steps is reverted by the pooled outcomes within half a second. At 341
requests per second and a ramp of 12 s it then has received less than the limit of a tenth of the
requests plus 50: 0.04 x 8.0 s, 0.2 x 0.55 s, 0.4 x 0.5 s and 1 x 0.6 s make 420 of at most 459.

Times are whole microseconds, unless a name says seconds.
"""

import re
from collections.abc import Sequence
from math import ceil

from umbermoor.gateway.units import SECOND

TRIAL_SHARE = 0.04
"""The largest share of a proxy's requests since it learned of the order that go to the trial."""
STAGE_SHARES = (TRIAL_SHARE, 0.2, 0.4, 1.0)
"""The new version's share of the requests at each stage."""
STAGE_STARTS = (0.0, 0.67, 0.715, 0.755)
"""Stages begin at these fractions of the ramp time."""
FINAL_STAGE = len(STAGE_SHARES) - 1
NO_TRIAL = -1
"""The stage of a proxy that sends nothing to the trial."""
STEP_LEASE = 0.075
"""How long a proxy acts by a stage between trial and final, as a fraction of the ramp time.

After that it falls back to the share of the trial stage.
"""
WARM_UP_TIME = 3 * SECOND
"""Outcomes of instances listed more recently than this are not counted (slow start)."""
TRIAL_TURN = SECOND
"""At the trial stage, one instance carries the trial for this long, then another one, then none.

This way the trial's small share arrives in bursts that load an instance like the other ones.
"""


def oldest_first(versions: Sequence[str]) -> list[str]:
    """Return the distinct versions, sorted by the numbers in their names, then by name."""

    def rank(version: str) -> tuple[list[int], str]:
        return [int(digits) for digits in re.findall(r"\d+", version)], version

    return sorted(set(versions), key=rank)


def instances_for_share(stage: int, previous_instances: int) -> int:
    """Return how many instances carry the new version's share at a stage.

    They are so few that each is loaded like one of the `previous_instances`.
    """
    if not stage:
        return 1
    return max(2, ceil(STAGE_SHARES[stage] * previous_instances))

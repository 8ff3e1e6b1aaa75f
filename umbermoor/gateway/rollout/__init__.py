"""The anemometer: brings a service's new version in, or sends it back, at one pace over all fronts.

Every front runs `Trials` (front.py): which version each request goes to, its own scores, its vote.
The member of the core that leads roll-outs runs `Steps` (core.py): it pools what fronts report, and
writes the next step into the durable record, which news brings to all fronts. The course of it:
plan.py.

    >>> def play(bad: bool) -> tuple[str, float, float]:
    ...     front, steps, sent, asked = Trials(), Steps(), 0, 0
    ...     machines = [(f"i-{i}", "v1" if i < 4 else "v2", 0) for i in range(8)]
    ...     record = steps.begin(0, "maps", "v2", 12, ["v1", "v2"])
    ...     for ms in range(12_000):
    ...         now = 5 * SECOND + ms * 1000
    ...         steps.record(now, "maps", record)
    ...         front.order(now, "maps", record)
    ...         front.listed(now, "maps", machines)
    ...         if ms % 3 == 0:
    ...             front.asked(now, "maps")
    ...             asked += 1
    ...             side = front.side(now, "maps", asked * 0.618 % 1)
    ...             front.sent(now, "maps", side)
    ...             carries = front.machines(now, "maps") if side == "v2" else ("i-1",)
    ...             spoilt = bad and side == "v2" and asked % 2 == 0
    ...             front.ended(now, "maps", side, carries[0], 0, True, spoilt, False)
    ...             sent += side == "v2"
    ...         for report in front.tick(now):
    ...             steps.report(now, "front-1", report)
    ...         for _, record in steps.tick(now):
    ...             steps.record(now, "maps", record)
    ...         if record["state"] != "running":
    ...             break
    ...     return steps.read("maps")["state"], ms / 1000, sent / (341 * 12)
    >>> state, after_s, share = play(bad=False)
    >>> state, after_s < 11.5
    ('settled', True)
    >>> state, after_s, share = play(bad=True)
    >>> state, after_s < 4, share < 0.05
    ('reverted', True, True)
"""

from umbermoor.gateway.rollout.core import Steps
from umbermoor.gateway.rollout.front import Trials
from umbermoor.gateway.rollout.plan import SECOND, Record

__all__ = ["SECOND", "Record", "Steps", "Trials"]

"""Generates schedules in which instances leave shortly before all controllers end at once.

Acknowledged departures must outlive that, whether the controllers are killed or lose their power,
and also if the tolerated number of disks is lost. Proxies that are killed or frozen meanwhile must
learn of the departures afterwards.
"""

import random

from umbermoor.gateway.simulation.schedule import LEAVES_FIRST, Schedule, Step
from umbermoor.gateway.simulation.schedule_generator import PICKS

MEMBERS = 3, 3, 5
PROXIES = 3
ROUNDS_AT_MS = 3_000, 15_000  # start of each round of departures
LENGTH_MS = 27_000
STAYS_MS = 6_000, 14_000  # how long instances still serve, beyond the drain time
LEAVES_APART_MS = 0, 50, 250, 600, 1_000
KILL_AFTER_MS = 0, 2, 10, 50, 200, 700, 1_800  # from the last departure
BACK_MS = 100, 300, 700
FREEZES_MS = 500, 1_500, 3_300
DISK_FAULTS = "disk_hangs", "disk_slow", "disk_refuses"
DISK_FAULT_MS = 1_000, 3_000


def departure_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed."""
    rng = random.Random(f"departures {seed}")
    members = rng.choice(MEMBERS)
    steps: list[Step] = []
    for at_ms in ROUNDS_AT_MS:
        steps += _round(rng, members, at_ms)
    steps.sort(key=lambda step: step.at_ms)
    return Schedule(seed, members, PROXIES, (members - 1) // 2, LENGTH_MS, tuple(steps))


def _round(rng: random.Random, members: int, at_ms: int) -> list[Step]:
    """Return departures and the faults round them."""
    steps = [_step(at_ms, "come") for _ in range(2)]
    began_ms = at_ms = at_ms + 1_500
    for _ in range(rng.choice((1, 2, 3))):
        at_ms += rng.choice(LEAVES_APART_MS)
        how = {"how": LEAVES_FIRST} if rng.random() < 0.7 else {}
        steps.append(
            _step(at_ms, "leave", pick=rng.randrange(PICKS), stay=rng.choice(STAYS_MS), **how)
        )
    killed_at_ms = at_ms + rng.choice(KILL_AFTER_MS)
    kind, back_ms = rng.choice(("herd_kill", "herd_kill", "herd_power")), rng.choice(BACK_MS)
    wipe = rng.choice((0, 1)) if kind == "herd_power" else 0
    member = rng.randrange(members)
    steps.append(_step(killed_at_ms, kind, back=back_ms, apart=0, wipe=wipe, on=member))
    if not wipe and rng.random() < 0.4:  # a disk in trouble counts as lost
        fault, span_ms = rng.choice(DISK_FAULTS), rng.choice(DISK_FAULT_MS)
        steps.append(_step(began_ms - 200, fault, on=member, span=span_ms))
    for proxy in rng.sample(range(PROXIES), rng.choice((1, 2))):
        if rng.random() < 0.5:
            steps.append(_step(killed_at_ms, "front_kill", on=proxy, span=rng.choice(BACK_MS)))
        else:
            frozen_at_ms = began_ms - rng.choice((0, 200))
            span_ms = killed_at_ms + rng.choice(FREEZES_MS) - frozen_at_ms
            steps.append(_step(frozen_at_ms, "front_freeze", on=proxy, span=span_ms))
    return steps


def _step(at_ms: int, kind: str, **arguments: object) -> Step:
    return Step(at_ms, kind, tuple((name, str(value)) for name, value in arguments.items()))

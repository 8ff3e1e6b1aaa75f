"""Measures how long the replica set is degraded after an event, and the effect of a second loss.

The first event is a loss, a repair or a replacement of a member.

    python -m benchmarks.second_loss [--step MILLISECOND] [--seeds N]

Runs three members and a spare in virtual time (tests/gateway/replica_set_world.py). The replica set
is thin (degraded) while it tolerates fewer losses than required, as reported by its members. In a
second loss, another member loses power permanently some time after the first event. The loss counts
as not tolerated if no chain serves within 3 s; an acknowledged entry that is not read afterwards is
an error. In the closing case, all members lose power and another member loses its disk, if the
first loss is repaired by then. Prints a line for each kind of first event. Exits with status 1 if a
second loss after `--settling` was not tolerated; lost data raises an exception.
"""

import argparse
import statistics
import sys
from collections.abc import Callable

from tests.gateway.replica_set_world import ReplicaSetWorld, founded_replica_set_world
from umbermoor.gateway.effects import Status
from umbermoor.gateway.units import MILLISECOND

SPARE = "10.0.0.100"


def replace_members(world: ReplicaSetWorld, add: str, remove: str) -> None:
    contact = next(name for name in world.members() if name != remove)
    number = world.change(contact, add, remove)
    world.run(1000 * MILLISECOND, lambda: world.changes[number] is not None)
    assert world.changes[number] is Status.OK, world.refusals


def restart_after_kill(world: ReplicaSetWorld, victim: str) -> None:
    world.stop(victim)
    world.run(300 * MILLISECOND)
    world.start(victim)


def restart_after_absence(world: ReplicaSetWorld, victim: str) -> None:
    world.stop(victim)
    world.run(4000 * MILLISECOND)
    world.start(victim)


def lose_disk(world: ReplicaSetWorld, victim: str) -> None:
    assert world.lose_disk(victim)
    world.run(2000 * MILLISECOND)
    world.start(victim)


def leave_and_return(world: ReplicaSetWorld, victim: str) -> None:
    world.leave(victim)
    world.run(500 * MILLISECOND)
    world.stop(victim)
    world.start(victim)


def replace_running(world: ReplicaSetWorld, victim: str) -> None:
    replace_members(world, SPARE, victim)
    world.stop(victim)


def replace_lost(world: ReplicaSetWorld, victim: str) -> None:
    world.stop(victim)
    world.run(2500 * MILLISECOND)
    replace_members(world, SPARE, victim)


def add_member(world: ReplicaSetWorld, victim: str) -> None:
    replace_members(world, SPARE, "")


KINDS: dict[str, Callable[[ReplicaSetWorld, str], None]] = {
    "killed, back after 0.3 s": restart_after_kill,
    "away for 4 s, back": restart_after_absence,
    "lost its disk, back after 2 s": lose_disk,
    "left in order, back after 0.5 s": leave_and_return,
    "replaced while it was up": replace_running,
    "lost for good, replaced": replace_lost,
    "one member more": add_member,
}


def degraded_ms(world: ReplicaSetWorld, span: int) -> int:
    """Return the milliseconds until the replica set was last degraded.

    It is degraded while a member is down, reports degradation or is not a serving member.
    """
    began = last = world.now
    while world.now < began + span:
        world.run(10 * MILLISECOND)
        members = [world.machines[name].member for name in world.members()]
        if any(
            member is None or member.degraded or member.status().role in ("out", "blank", "learner")
            for member in members
        ):
            last = world.now
    return (last - began) // MILLISECOND


def second(seed: int, kind: str, after: int, closing: bool = False) -> bool:
    """Return whether a chain serves within 3 s of a second loss `after` ms after the first event.

    Also checks the acknowledged entries and raises an exception on a violation. With `closing`,
    instead all members lose power and the other member loses its disk, unless the tolerated number
    of losses is already reached; returns whether that happened.
    """
    world = founded_replica_set_world(seed, 3, 1)
    world.run(1000 * MILLISECOND)
    victim, other = world.members()[seed % 3], world.members()[(seed + 1 + seed // 3 % 2) % 3]
    world.put(other, "config/a")
    world.run(100 * MILLISECOND)
    KINDS[kind](world, victim)
    for at in range(0, after, 50):
        if at % 200 == 0:
            world.put(other, "config/a")
        world.run(min(50, after - at) * MILLISECOND)
    world.put(other, "config/b")
    world.run(12 * MILLISECOND)
    if closing:
        served = world.lose_disk(other)
        for name in world.names:
            world.stop(name)
        world.check()
        return served
    world.stop(other)
    served = world.run(3000 * MILLISECOND, lambda: world.serves(other))
    world.check()
    return served


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--step", type=int, default=50, help="ms between the moments of two second losses"
    )
    parser.add_argument(
        "--span", type=int, default=10_000, help="ms from the first event to the latest second loss"
    )
    parser.add_argument(
        "--settling", type=int, default=4_000, help="ms after which a second loss must be tolerated"
    )
    parser.add_argument(
        "--seeds", type=int, default=30, help="number of seeds for the time spent degraded"
    )
    options = parser.parse_args()
    failures = 0
    for kind, trigger in KINDS.items():
        spans = []
        for seed in range(options.seeds):
            world = founded_replica_set_world(seed, 3, 1)
            world.run(1000 * MILLISECOND)
            trigger(world, world.members()[seed % 3])
            spans.append(degraded_ms(world, 6000 * MILLISECOND))
        lost = [
            after
            for after in range(0, options.span + 1, options.step)
            if not second(after // options.step, kind, after)
        ]
        moments = range(0, options.span + 1, options.step)
        wiped = sum(second(after // options.step, kind, after, closing=True) for after in moments)
        late = [after for after in lost if after >= options.settling]
        failures += len(late)
        print(
            f"{kind}: thin {statistics.median(spans):.0f} ms (median), {max(spans)} ms (most of {len(spans)}); "
            f"second loss in {options.span // options.step + 1} moments: "
            f"{len(lost)} found no majority, "
            f"the last at "
            f"{max(lost, default='-')} ms, {len(late)} of them after {options.settling} ms; "
            f"all without power and one disk lost: {wiped} played, none lost anything",
            flush=True,
        )
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())

"""Hundreds of configuration changes under faults of one member after another, in virtual time.

A member is restarted, stays away, loses its disk, is slow, hangs or refuses writes.

python -m benchmarks.long_storms --seeds 40 --members 5
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from cyclopts import App

from tests.gateway.long_world import SECOND, started_long_world
from umbermoor.gateway.units import MILLISECOND

FAULTS = "restarts", "away", "wiped", "slow", "hangs", "refuses"
app = App(help=__doc__)


def play(seed: int, members: int, size: int) -> tuple[int, str, int, int, int, int]:
    """Run one seed.

    Returns the seed, the failure (empty if none), the number of acknowledged changes, the longest
    wait for an acknowledgement and the longest recovery of a member in ms, and the number of views.
    """
    try:
        limits = {"rate": 1_300_000, "size": size, "disk": 35_000_000} if size else {}
        world = started_long_world(seed, members, **limits)
        world.start_changes((200 if size else 30) * MILLISECOND)
        longest_recovery = 0
        for _ in range(5):
            name, fault_kind = world.rng.choice(world.names), world.rng.choice(FAULTS)
            machine = world.machines[name]
            world.loss = world.rng.choice((0.0, 0.0, 0.02))
            if fault_kind in ("restarts", "away", "wiped"):
                if fault_kind != "wiped" or not world.lose_disk(name):
                    world.stop(name)
                world.run(
                    world.rng.randrange(
                        100 * MILLISECOND, 10 * SECOND if fault_kind == "away" else SECOND
                    )
                )
                world.start(name, cold=False)
            else:
                machine.mode = fault_kind
                world.run(world.rng.randrange(SECOND, 10 * SECOND))
                machine.mode = "well"
            world.loss, since = 0.0, world.now
            if not world.run(40 * SECOND, lambda name=name: not world.behind(name)):
                raise AssertionError(f"{name} has not recovered 40 s after {fault_kind}")
            longest_recovery = max(longest_recovery, world.now - since)
            world.run(2 * SECOND)
        world.streaming = 0
        world.run(5 * SECOND)
        if world.stream.acknowledged != world.stream.sent:
            raise AssertionError(
                f"{world.stream.sent - world.stream.acknowledged} changes were never acknowledged"
            )
        world.check()
        stream = world.stream
        return (
            seed,
            "",
            stream.acknowledged,
            max(stream.waits) // MILLISECOND,
            longest_recovery // MILLISECOND,
            len(stream.epochs),
        )
    except Exception as error:  # any error is reported with its seed
        return seed, f"{type(error).__name__} {error}", 0, 0, 0, 0


@app.default
def main(seeds: int = 40, first: int = 0, members: int = 3, size: int = 0, jobs: int = 2) -> None:
    """Run the seeds; exit with status 1 if one failed.

    `size` is the number of bytes of a change; if it is not 0, links and disks have limited rates.
    """
    rows, broken = [], 0
    with ProcessPoolExecutor(jobs) as pool:
        for seed, fault, *figures in pool.map(
            partial(play, members=members, size=size), range(first, first + seeds)
        ):
            if fault:
                broken += 1
                print(f"seed {seed}: {fault}"[:400])
            else:
                rows.append(figures)
    acknowledged, waits, recoveries, views = zip(*rows) if rows else [(0,)] * 4
    print(
        f"{seeds} seeds, {broken} broken; {sum(acknowledged)} changes, "
        f"the longest wait {max(waits)} ms "
        f"(median of seeds {sorted(waits)[len(waits) // 2]}), "
        f"the longest way back {max(recoveries)} ms "
        f"(median {sorted(recoveries)[len(recoveries) // 2]}), views {max(views)} at most"
    )
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()

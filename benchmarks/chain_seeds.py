"""Storms of faults on the register's members in virtual time, one a seed; what broke is told with
its seed.

python -m benchmarks.chain_seeds --seeds 300 --members 5
"""

import sys
import traceback
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from cyclopts import App

from umbermoor.gateway.simulation.replica_storm import storm


def play(seed: int, members: int, steps: int, cold: bool) -> tuple[int, str, int, int, int]:
    try:
        model = storm(seed, members, steps, cold).model
    except Exception as error:  # whatever it is, with its seed
        where = traceback.extract_tb(error.__traceback__)[-1]
        return seed, f"{type(error).__name__} {error} ({where.name}:{where.lineno})", 0, 0, 0
    return seed, "", model.puts, model.reads, model.unavailable


app = App(help=__doc__)


@app.default
def main(
    seeds: int = 300,
    first: int = 0,
    members: int = 3,
    steps: int = 60,
    cold: bool = False,
    jobs: int = 8,
) -> None:
    """Play `seeds` storms from seed `first` on, by so many processes at once; status 1 if a promise
    was broken.

    With `--cold` all members stay marked as a new system's.
    """
    puts = reads = later = broken = 0
    one = partial(play, members=members, steps=steps, cold=cold)
    with ProcessPoolExecutor(jobs) as pool:
        for seed, fault, *counts in pool.map(one, range(first, first + seeds)):
            puts, reads, later = puts + counts[0], reads + counts[1], later + counts[2]
            if fault:
                broken += 1
                print(f"seed {seed}: {fault}"[:600])
    print(
        f"{seeds} seeds, {broken} broken; {puts} puts and {reads} reads told, {later} calls answered later"
    )
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()

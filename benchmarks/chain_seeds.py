"""Random fault sequences on the replica set in virtual time, one per seed; prints failing seeds.

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
    except Exception as error:  # any error is reported with its seed
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
    """Run `seeds` fault sequences starting at seed `first`, in `jobs` parallel processes.

    Exits with status 1 if an invariant was violated. With `--cold` all members keep the marker of a
    newly founded system.
    """
    puts = reads = unavailable = broken = 0
    run_seed = partial(play, members=members, steps=steps, cold=cold)
    with ProcessPoolExecutor(jobs) as pool:
        for seed, fault, *counts in pool.map(run_seed, range(first, first + seeds)):
            puts, reads, unavailable = puts + counts[0], reads + counts[1], unavailable + counts[2]
            if fault:
                broken += 1
                print(f"seed {seed}: {fault}"[:600])
    print(
        f"{seeds} seeds, {broken} broken; {puts} puts and {reads} reads told, "
        f"{unavailable} calls answered later"
    )
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()

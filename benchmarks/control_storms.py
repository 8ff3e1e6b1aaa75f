"""Random operator calls and faults in virtual time, one sequence per seed.

Operators race, repeat and abandon calls while members are cut off, frozen and killed.

python -m benchmarks.control_storms --seeds 2000 --members 3
python -m benchmarks.control_storms --seeds 200 --broken WithoutReadRounds

`--broken` names a deliberately faulty replica or check; the seeds that detect it are printed.
"""

import sys
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from cyclopts import App

from tests.gateway import operators


def play(seed: int, members: int, steps: int, broken: str) -> tuple[int, str, Counter[str]]:
    replacement = getattr(operators, broken) if broken else operators.Replica
    overrides = (
        {"replica_class": replacement}
        if isinstance(replacement, type)
        else {"decider": replacement}
    )
    try:
        world = operators.storm(seed, members, steps=steps, **overrides)
    except Exception as error:  # any error is reported with its seed
        where = traceback.extract_tb(error.__traceback__)[-1]
        return seed, f"{type(error).__name__} {error} ({where.name}:{where.lineno})", Counter()
    return seed, "", operators.counts(world)


app = App(help=__doc__)


@app.default
def main(
    seeds: int = 300,
    first: int = 0,
    members: int = 3,
    steps: int = 24,
    jobs: int = 2,
    broken: str = "",
) -> None:
    """Run `seeds` sequences starting at seed `first`, in `jobs` parallel processes.

    Exits with status 1 if an invariant was violated.
    """
    failures, totals = 0, Counter()
    with ProcessPoolExecutor(jobs) as pool:
        run_seed = partial(play, members=members, steps=steps, broken=broken)
        for seed, fault, counts in pool.map(run_seed, range(first, first + seeds), chunksize=4):
            totals += counts
            if fault:
                failures += 1
                if failures <= 20:
                    print(f"seed {seed}: {fault}"[:600], flush=True)
    print(
        f"{seeds} storms of {members} members, {failures} broken; "
        + ", ".join(f"{name} {count}" for name, count in sorted(totals.items()))
    )
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    app()

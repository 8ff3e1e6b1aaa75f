"""Storms on control in virtual time, one a seed: operators that race, repeat, give up, among cuts,
freezes and kills.

python -m benchmarks.control_storms --seeds 2000 --members 3
python -m benchmarks.control_storms --seeds 200 --broken WithoutReadRounds    # a program broken on purpose:
seeds that found it
"""

import sys
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from cyclopts import App

from tests.gateway import operators


def play(seed: int, members: int, steps: int, broken: str) -> tuple[int, str, Counter[str]]:
    odd = getattr(operators, broken) if broken else operators.Replica
    how = {"replica_class": odd} if isinstance(odd, type) else {"decider": odd}
    try:
        world = operators.storm(seed, members, steps=steps, **how)
    except Exception as error:  # whatever it is, with its seed
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
    """Play `seeds` storms from seed `first` on, by so many processes at once; status 1 if a promise
    was broken."""
    found, told = 0, Counter()
    with ProcessPoolExecutor(jobs) as pool:
        one = partial(play, members=members, steps=steps, broken=broken)
        for seed, fault, counts in pool.map(one, range(first, first + seeds), chunksize=4):
            told += counts
            if fault:
                found += 1
                if found <= 20:
                    print(f"seed {seed}: {fault}"[:600], flush=True)
    print(
        f"{seeds} storms of {members} members, {found} broken; "
        + ", ".join(f"{name} {count}" for name, count in sorted(told.items()))
    )
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    app()

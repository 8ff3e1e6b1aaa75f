"""Storms of faults in which the register's members change again and again, in virtual time
(tests/gateway/replica_set_world.py).

    python -m benchmarks.member_storms FIRST LAST [--members N] [--changes N]

Each goes on until so many changes were in force. Prints each seed that broke a promise, then one
line in all; exit status 1 if any did.
"""

import argparse
import sys
import time

from tests.gateway.replica_set_world import run_replica_set_storm
from umbermoor.gateway.simulation.violations import InvariantViolation


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--changes", type=int, default=20)
    told = parser.parse_args()
    began, broken, changes, puts = time.monotonic(), 0, [], 0
    for seed in range(told.first, told.last + 1):
        try:
            world = run_replica_set_storm(seed, told.members, 2, 20, told.changes)
        except InvariantViolation as why:
            broken += 1
            print(f"seed {seed}: {why}", flush=True)
        else:
            changes.append(world.newest[1].number)
            puts += world.model.puts
    print(
        f"{told.last - told.first + 1} storms of {told.members} members: {broken} broken; changes in force "
        f"{sum(changes)}, at the least {min(changes, default=0)}; {puts} puts told; {time.monotonic() - began:.0f} s"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

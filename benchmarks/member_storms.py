"""Random faults with repeated changes of the replica set, in virtual time.

Runs the model of tests/gateway/replica_set_world.py.

    python -m benchmarks.member_storms FIRST LAST [--members N] [--changes N]

Each seed runs until the given number of changes were in force. Prints each seed that violated an
invariant, then a summary line. Exits with status 1 if there was a violation.
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
    options = parser.parse_args()
    began, broken, changes, puts = time.monotonic(), 0, [], 0
    for seed in range(options.first, options.last + 1):
        try:
            world = run_replica_set_storm(seed, options.members, 2, 20, options.changes)
        except InvariantViolation as violation:
            broken += 1
            print(f"seed {seed}: {violation}", flush=True)
        else:
            changes.append(world.newest[1].number)
            puts += world.model.puts
    print(
        f"{options.last - options.first + 1} storms of {options.members} members: "
        f"{broken} broken; changes in force "
        f"{sum(changes)}, at the least {min(changes, default=0)}; {puts} puts told; {time.monotonic() - began:.0f} s"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

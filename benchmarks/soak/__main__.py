"""python -m benchmarks.soak [--seeds N] [--first N] [--seconds S] [--folder FOLDER]
    [--controllers N] [--proxies N]

Runs one day per seed, one after another. Keeps the folder of a day with violations, with all logs.
"""

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from benchmarks.soak.processes import Size
from benchmarks.soak.world import run_day


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--folder", type=Path, default=Path("found") / "soak")
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument("--proxies", type=int, default=3)
    options = parser.parse_args()
    size = Size(options.controllers, options.proxies)
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory(prefix="umbermoor-soak-") as temporary:
            folder = Path(temporary) / f"seed-{seed}"
            result = asyncio.run(run_day(seed, options.seconds, folder, size))
            print(result.line(), *result.broken[:20], sep="\n    ", flush=True)
            if result.broken:
                broken += 1
                shutil.copytree(folder, options.folder / folder.name, dirs_exist_ok=True)
    print(f"{options.seeds - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs schedules of the control world (docs/simulation.md), one per seed; reports violations.

python -m benchmarks.control_world --seeds 1000 --jobs 4
python -m benchmarks.control_world --seeds 100 --members 5 --save tests/gateway/control/days
python -m benchmarks.control_world --seeds 200 --departures --jobs 4
python -m benchmarks.control_world replay tests/gateway/control/days/exposure-840.day
"""

import asyncio
import sys
import time
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from cyclopts import App

from umbermoor.gateway.simulation.control_world import ControlWorld, LogEvent
from umbermoor.gateway.simulation.departure_schedules import departure_schedule
from umbermoor.gateway.simulation.schedule import Schedule, parse
from umbermoor.gateway.simulation.schedule_generator import draw
from umbermoor.gateway.simulation.shrinking import shrink
from umbermoor.gateway.simulation.violations import InvariantViolation
from umbermoor.gateway.units import SECOND

SHRINK_TRIALS = 200  # maximum number of schedules run to shrink one
PROGRESS_INTERVAL_S = 30
LONGEST_LINE = 600


class Violation(NamedTuple):
    """Violated invariant, or type of an exception raised by the programs."""

    name: str
    detail: str


class Result(NamedTuple):
    """Result of a seed."""

    seed: int
    violation: Violation | None
    faults: Counter[str]
    counts: Counter[str]
    schedule: str  # shrunk; empty without a violation


def play(world: ControlWorld) -> Violation | None:
    """Run a world's schedule and return its violation; an exception counts as one."""
    try:
        world.run()
    except InvariantViolation as violation:
        return Violation(violation.invariant.value, str(violation))
    except Exception as error:  # any error is reported with its seed
        name, where = type(error).__name__, traceback.extract_tb(error.__traceback__)[-1]
        return Violation(name, f"{name}: {error} ({where.name}:{where.lineno})")
    return None


def play_seed(
    seed: int, members: int, fault_phase_ms: int, departures: bool, shrunk: bool
) -> Result:
    schedule = departure_schedule(seed) if departures else draw(seed, members, fault_phase_ms)
    world = ControlWorld(schedule)
    violation = play(world)
    if violation and shrunk:
        schedule = shrink(schedule, partial(violates, name=violation.name), SHRINK_TRIALS)
        violation = play(ControlWorld(schedule)) or violation
    counts = world.counts + world.invariants.counts
    return Result(seed, violation, world.faults, counts, str(schedule) if violation else "")


def violates(schedule: Schedule, name: str) -> bool:
    violation = play(ControlWorld(schedule))
    return violation is not None and violation.name == name


app = App(help=__doc__)


@app.default
def main(
    seeds: int = 200,
    first: int = 0,
    members: int = 0,
    long_s: int = 0,
    jobs: int = 2,
    save: str = "",
    departures: bool = False,
    shrunk: bool = True,
) -> None:
    """Run `seeds` schedules starting at seed `first`, in `jobs` processes; status 1 on a violation.

    The number of `members` and the seconds with faults (`long_s`) are drawn at random unless given.
    With `departures`, instances leave shortly before all controllers end at once.
    If `save` names a folder, schedules with a violation are written there, shrunk to the steps that
    reproduce it.
    """
    faults: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    violations: Counter[str] = Counter()
    began = reported = time.monotonic()
    run_seed = partial(
        play_seed,
        members=members,
        fault_phase_ms=long_s * 1000,
        departures=departures,
        shrunk=shrunk,
    )
    with ProcessPoolExecutor(jobs) as pool:
        results = pool.map(run_seed, range(first, first + seeds), chunksize=1)
        for done, result in enumerate(results, 1):
            faults, counts = faults + result.faults, counts + result.counts
            if result.violation:
                violations[result.violation.name] += 1
                report(result, save)
            if time.monotonic() - reported > PROGRESS_INTERVAL_S:
                reported = time.monotonic()
                print(
                    f"{done} of {seeds} days, {violations.total()} with a violation, "
                    f"{reported - began:.0f} s",
                    flush=True,
                )
    print(
        f"{seeds} days from seed {first} on, {violations.total()} with a violation "
        f"{dict(violations) or ''}, {time.monotonic() - began:.0f} s by {jobs} processes"
    )
    for title, table in ("faults", faults), ("events", counts):
        entries = ", ".join(f"{name} {number}" for name, number in sorted(table.items()))
        print(f"{title}: {entries}")
    sys.exit(1 if violations else 0)


def report(result: Result, folder: str) -> None:
    """Print a violation; write its schedule to `folder` if that is not empty."""
    assert result.violation
    name, detail = result.violation
    print(f"seed {result.seed}: {detail}"[:LONGEST_LINE], flush=True)
    if folder:
        path = Path(folder) / f"{name.replace('_', '-')}-{result.seed}.day"
        path.write_text(f"# {detail}\n{result.schedule}")
        print(f"  kept as {path}", flush=True)


@app.command
def replay(path: str, log: bool = True) -> None:
    """Run a schedule from a file and print the programs' logs; status 1 on a violation."""
    schedule = parse(Path(path).read_text())
    log_event: LogEvent = print_event if log else lambda name, **keys: None
    violation = play(ControlWorld(schedule, log_event))
    print(violation.detail if violation else "no invariant was violated")
    sys.exit(1 if violation else 0)


def print_event(name: str, **keys: Any) -> None:
    """Print a log event with its time in seconds and the machine that logged it."""
    process: Any = asyncio._get_running_loop()
    now = process.virtual_time.now / SECOND
    values = " ".join(f"{key}={value}" for key, value in keys.items())
    print(f"{now:9.3f} {process.host.ip} {name} {values}")


if __name__ == "__main__":
    app()

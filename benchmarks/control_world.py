"""Days of the control world (docs/simulation.md), one a seed, with what troubles they met and
what broke.

python -m benchmarks.control_world --seeds 1000 --jobs 4
python -m benchmarks.control_world --seeds 100 --members 5 --save tests/gateway/control/days
python -m benchmarks.control_world replay tests/gateway/control/days/late-403.day
"""

import asyncio
import sys
import time
import traceback
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import NamedTuple

from cyclopts import App

from umbermoor.gateway.simulation.checks import Broken
from umbermoor.gateway.simulation.play import Play
from umbermoor.gateway.simulation.script import Day, draw, read, shrink

TRIED = 200  # days at most that are played to shrink one


class Played(NamedTuple):
    seed: int
    rule: str  # "": none was broken
    detail: str
    met: Counter[str]
    count: Counter[str]
    text: str  # the day, shrunk where something broke


def broke(
    day: Day, event: Callable[..., None] = lambda name, **pairs: None
) -> tuple[str, str, Play]:
    """The rule that a day breaks, and how; an error of the program itself counts as one."""
    play = Play(day, event)
    try:
        play.run()
    except Broken as broken:
        return broken.rule, str(broken), play
    except Exception as error:  # whatever it is, with its seed
        where = traceback.extract_tb(error.__traceback__)[-1]
        return (
            type(error).__name__,
            f"{type(error).__name__}: {error} ({where.name}:{where.lineno})",
            play,
        )
    return "", "", play


def play_seed(seed: int, members: int, long: int, shrunk: bool) -> Played:
    day = draw(seed, members, long)
    rule, detail, play = broke(day)
    if rule and shrunk:
        day = shrink(day, lambda fewer: broke(fewer)[0] == rule, TRIED)
        detail = broke(day)[1]
    return Played(
        seed, rule, detail, play.met, play.count + play.checks.counts, str(day) if rule else ""
    )


app = App(help=__doc__)


@app.default
def main(
    seeds: int = 200,
    first: int = 0,
    members: int = 0,
    long_s: int = 0,
    jobs: int = 2,
    save: str = "",
    shrunk: bool = True,
) -> None:
    """Play `seeds` days from seed `first` on, by so many processes at once; status 1 if a rule was
    broken.

    `members` of the core and seconds of trouble: drawn unless given. Where `save` names a folder,
    what broke is kept there, as few steps as still break the same rule.
    """
    met: Counter[str] = Counter()
    count: Counter[str] = Counter()
    rules: Counter[str] = Counter()
    began = told = time.monotonic()
    one = partial(play_seed, members=members, long=long_s * 1000, shrunk=shrunk)
    with ProcessPoolExecutor(jobs) as pool:
        for done, played in enumerate(pool.map(one, range(first, first + seeds), chunksize=1), 1):
            met, count = met + played.met, count + played.count
            if played.rule:
                rules[played.rule] += 1
                print(f"seed {played.seed}: {played.detail}"[:600], flush=True)
                if save:
                    path = Path(save) / f"{played.rule.replace(' ', '-')}-{played.seed}.day"
                    path.write_text(f"# {played.detail}\n{played.text}")
                    print(f"  kept as {path}", flush=True)
            if time.monotonic() - told > 30:
                told = time.monotonic()
                print(
                    f"{done} of {seeds} days, {sum(rules.values())} broken, {told - began:.0f} s",
                    flush=True,
                )
    print(
        f"{seeds} days from seed {first} on, {sum(rules.values())} broken {dict(rules) or ''}, "
        f"{time.monotonic() - began:.0f} s by {jobs} processes"
    )
    for title, table in ("troubles met", met), ("played and told", count):
        print(
            f"{title}: " + ", ".join(f"{name} {number}" for name, number in sorted(table.items()))
        )
    sys.exit(1 if rules else 0)


@app.command
def replay(path: str, log: bool = True) -> None:
    """Play a day from its text, with what the programs log; status 1 if it breaks a rule."""

    def event(name: str, **pairs: object) -> None:
        loop = asyncio._get_running_loop()
        print(
            f"{loop.time_.now / 1e6:9.3f} {loop.machine.ip} {name} "
            + " ".join(f"{key}={value}" for key, value in pairs.items())
        )

    day = read(Path(path).read_text())
    rule, detail, _ = broke(day, event) if log else broke(day)
    print(detail or "no rule was broken")
    sys.exit(1 if rule else 0)


if __name__ == "__main__":
    app()

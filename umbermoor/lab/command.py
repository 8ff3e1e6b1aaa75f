"""The laboratory's sub-commands.

Usage:
  umbermoor lab days
  umbermoor lab day DAY [--seed N] [--json OUT] [--html OUT] [--sockets] [--sheet FILE] [--capture FILE] [--quiet]
  umbermoor lab servers DAY [--config FILE]
  umbermoor lab load DAY PORT... [--rate N]
  umbermoor lab compare FIRST SECOND [--days NAMES] [--seeds N] [--keep FILE] [--workers N]
  umbermoor lab report JSON HTML
  umbermoor lab logs FOLDER [--json OUT]
  umbermoor lab (-h | --help)

Commands:
  days     the days that are shipped
  day      play one: a shipped day by name, or a sheet by its path; with --sockets on loopback
  servers  a day's stand-ins on loopback, until Ctrl-C, with a configuration for a front of your own
  load     a day's queries against fronts at these ports of 127.0.0.1, and what came of them
  compare  two revisions of this repository over days and seeds, by paired differences; '.' is this tree as it stands
  logs     what the logs of a whole fleet say together: a folder with a file for each front
  report   the page of an outcome that was kept as JSON

Options:
  --seed N      in place of the day's own
  --json OUT    the outcome as JSON; '-' for standard output
  --html OUT    the outcome as a page
  --sockets     stand-ins and fronts on loopback, in real time, in place of virtual time
  --sheet FILE  on loopback: the fronts' own settings; NAME in its path stands for a front's name
  --capture FILE  in virtual time: what the first front was asked, to plan by
  --quiet       no progress
  --config FILE  where the front's configuration is written [default: front.json]
  --rate N      queries a second in place of the day's
  --days NAMES  comma between [default: calm,lost-group,failing-build]
  --seeds N     how many [default: 5]
  --keep FILE   results as they come, from which a run goes on [default: lab-results.jsonl]
  --workers N   plays at once [default: 4]
"""

import sys
import tempfile
from pathlib import Path
from typing import Any

import orjson
from docopt import docopt
from msgspec import structs
from rich.console import Console
from rich.table import Table

from umbermoor.front.kdl_sheet import SheetError
from umbermoor.lab.day import Day, read_day, shipped_days

MAX_NUMBER = 2 << 20  # larger numbers on the command line are taken for typing errors


def main(arguments: list[str]) -> int:
    """Run a sub-command; return the exit status.

    0: done; 1: the audit found breaches, the load could not keep its pace, or a play failed; 2: an
    argument or a sheet is wrong; 130: interrupted.
    """
    given = docopt(__doc__, arguments)
    try:
        if given["days"]:
            for name in shipped_days():
                day = read_day(name)
                print(
                    f"{name:16} {day.length_s:4g} s, {day.load.rate:g} queries/s, {day.machines} machines, "
                    f"{day.front.count} fronts, {len(day.build)} builds, {len(day.trouble)} troubles"
                )
            return 0
        if given["day"]:
            return _play_day(given)
        if given["logs"]:
            return _show_logs(given)
        if given["report"]:
            return _write_report(given)
        if given["servers"] or given["load"]:
            return _run_servers_or_load(given)
        return _compare(given)
    except SheetError as fault:
        print(f"umbermoor: {fault}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("umbermoor: ended before it was done", file=sys.stderr)
        return 130


def _number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit()) or not 0 < int(text) < MAX_NUMBER:
        raise SheetError(
            f"{name}:0: expected a whole number from 1 to {MAX_NUMBER - 1}, not {text!r}"
        )
    return int(text)


def _play_day(given: dict[str, Any]) -> int:
    day = read_day(given["DAY"])
    if given["--seed"] is not None:
        day = day.changed(seed=_number(given["--seed"], "--seed"))
    if given["--capture"] and not given["--sockets"]:
        from umbermoor.lab.fleet import capture_day

        outcome = capture_day(day, given["--capture"])
    else:
        outcome = _play(
            day, given["--sockets"], given["--quiet"] or given["--json"] == "-", given["--sheet"]
        )
    if given["--json"]:
        _write_json(outcome, given["--json"])
    if given["--html"]:
        _write_page(outcome, given["--html"])
    if given["--json"] != "-":
        show(outcome)
    return 1 if outcome["audit"]["breaches"] or not outcome.get("honest", True) else 0


def _run_servers_or_load(given: dict[str, Any]) -> int:
    from umbermoor.lab.sockets import runner

    day = read_day(given["DAY"])
    if given["servers"]:
        return runner.run_stand_ins(day, Path(given["--config"]), print)
    if given["--rate"] is not None:
        day = day.changed(
            load=structs.replace(day.load, rate=float(_number(given["--rate"], "--rate")))
        )
    ports = [_number(port, "PORT") for port in given["PORT"]]
    if isinstance(result := runner.load_only(day, ports), str):
        print(f"umbermoor: {result}", file=sys.stderr)
        return 1
    for name, figures in result["figures"]["profiles"].items():
        print(
            f"{name}: {figures['asked']} asked, in time {figures['in_time']:.4f}, {figures['ms']}"
        )
    print(
        f"pace: 99 % of the queries went out within {result['pace']['p99_lag_us'] / 1000:.1f} ms of their time"
        + ("" if result["pace"]["honest"] else ": too late, this does not count")
    )
    return 0 if result["pace"]["honest"] else 1


def _play(day: Day, sockets: bool, quiet: bool, sheet: str | None) -> dict[str, Any]:
    if sockets:
        from umbermoor.lab.sockets.runner import play_on_sockets

        return play_on_sockets(
            day, None if quiet else lambda second: _progress(second, day), sheet=sheet
        )
    from umbermoor.lab.fleet import play

    return play(day, None if quiet else lambda second: _progress(second, day))


def _progress(second: float, day: Day) -> None:
    if sys.stderr.isatty():
        end = "\n" if second >= day.length_s else "\r"
        print(f"second {second:5.0f} of {day.length_s:g}", end=end, file=sys.stderr, flush=True)


def show(outcome: dict[str, Any]) -> None:
    """Print a day's outcome as a table, with the first breaches of rules."""
    console = Console()
    rows = Table(
        "profile",
        "asked",
        "in time",
        "service",
        "p50 ms",
        "p99 ms",
        "endings",
        title=f"{outcome['day']}, seed {outcome['seed']}, {outcome['body']}",
    )
    for name, figures in outcome["profiles"].items():
        rows.add_row(
            name,
            str(figures["asked"]),
            f"{figures['in_time']:.4f}",
            f"{figures['service']:.4f}",
            str(figures["ms"].get("p50", "")),
            str(figures["ms"].get("p99", "")),
            ", ".join(f"{kind} {n}" for kind, n in figures["endings"].items()),
        )
    console.print(rows)
    audit = outcome["audit"]
    console.print(
        f"service {outcome['service']:.4f}, {outcome['tries_a_query']:.3f} tries a query, "
        f"{audit['breaches']} breaches"
    )
    for rule, what, query, machine, at in audit["first"]:
        console.print(
            f"  rule {rule}: {what}; query {query or '-'}, machine {machine or '-'}, at {at:.3f} s"
        )
    if not outcome.get("honest", True):
        console.print("[bold red]This play does not count: the load could not keep its pace.[/]")


def _write_json(data: dict[str, Any], path: str) -> None:
    encoded = orjson.dumps(data) + b"\n"
    if path == "-":
        sys.stdout.buffer.write(encoded)
    else:
        Path(path).write_bytes(encoded)


def _write_page(outcome: dict[str, Any], path: str) -> None:
    from umbermoor.lab.report import day_page

    Path(path).write_text(day_page(outcome))


def _write_report(given: dict[str, Any]) -> int:
    try:
        outcome = orjson.loads(Path(given["JSON"]).read_bytes())
        _write_page(outcome, given["HTML"])
    except OSError as error:
        raise SheetError(f"{given['JSON']}:0: {error.strerror}") from None
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise SheetError(
            f"{given['JSON']}:1: expected an outcome of 'lab day --json': {error!r}"
        ) from None
    return 0


def _show_logs(given: dict[str, Any]) -> int:
    from umbermoor.lab.fleetlog import FleetLog

    fleet, folder = FleetLog(), Path(given["FOLDER"])
    try:
        paths = sorted(path for path in folder.iterdir() if path.is_file())
        for path in paths:
            with path.open(errors="replace") as lines:
                fleet.read(path.name.partition(".")[0], lines)
    except OSError as error:
        raise SheetError(f"{error.filename or folder}:0: {error.strerror}") from None
    if not fleet.first_at:
        raise SheetError(
            f"{folder}:0: expected logs of fronts, found no line of ours in {len(paths)} files"
        )
    figures = fleet.figures()
    if given["--json"]:
        _write_json(figures, given["--json"])
        return 0
    console = Console()
    for name, value in figures.items():
        if name in ("stages", "lists"):
            keys = ("build", "stage", "phase") if name == "stages" else ("version",)
            rows = Table(*keys, "first at s", "last after s", "fronts", title=name)
            for row in value:
                rows.add_row(*map(str, row))
            console.print(rows)
        else:
            shown = (
                ", ".join(f"{key} {n}" for key, n in value.items())
                if isinstance(value, dict)
                else value
            )
            console.print(f"{name}: {shown}", soft_wrap=True)
    return 0


def _compare(given: dict[str, Any]) -> int:
    from umbermoor.lab import compare

    days, seeds = (
        given["--days"].split(","),
        list(range(1, _number(given["--seeds"], "--seeds") + 1)),
    )
    for day in days:
        read_day(day)
    console = Console()
    with tempfile.TemporaryDirectory() as folder:
        variants = []
        try:
            for name in (given["FIRST"], given["SECOND"]):
                current = compare.Variant(".", str(Path.cwd()), sys.executable)
                variants.append(current if name == "." else compare.work_tree(name, Path(folder)))
            plays = [
                compare.Play(variant, day, seed)
                for variant in variants
                for day in days
                for seed in seeds
            ]
            outcomes = compare.run(
                plays,
                Path(given["--keep"]),
                _number(given["--workers"], "--workers"),
                lambda key, done, total: print(f"{done}/{total} {key}", file=sys.stderr),
            )
        except RuntimeError as error:
            print(f"umbermoor: {error}", file=sys.stderr)
            return 1
        finally:
            for variant in variants:
                if variant.name != ".":
                    compare.drop_tree(variant)
        rows = Table("figure", "day", given["FIRST"], given["SECOND"], "difference, 95 %")
        for difference in compare.differences(outcomes, *variants, days, seeds):
            rows.add_row(
                difference.figure,
                difference.day,
                f"{difference.first:.4f}",
                f"{difference.second:.4f}",
                str(difference.change),
            )
        console.print(rows)
    return 0

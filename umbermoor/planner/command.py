"""The capacity planner.

Usage:
  umbermoor plan CAPTURE FLEET [--goal PERCENT] [--growth LIST] [--json OUT] [--html OUT] [--keep FILE] [--seeds N]
                 [--workers N] [--quiet] [--unmarked]
  umbermoor plan check CAPTURE FLEET [--goal PERCENT] [--json OUT] [--seconds N] [--quiet] [--unmarked]
  umbermoor plan fit CAPTURE FLEET [--unmarked]
  umbermoor plan (-h | --help)

Commands:
  plan   what breaks first, how many machines hold the goal, what losing a group does
  check  replays on loopback with stand-ins, and sets what was measured beside what was predicted
  fit    what the capture tells of the demand, and what it does not

Options:
  --goal PERCENT  within the target time, in place of the sheet's, such as 99.5
  --growth LIST   loads in times of the present one, comma between, in place of the sheet's
  --json OUT      the answer as JSON; '-' for standard output
  --html OUT      the answer as a page
  --keep FILE     answers as they come, from which a plan that was ended goes on
  --seeds N       plays of each question [default: 3]
  --workers N     plays at once; all cores otherwise
  --seconds N     of each play on loopback [default: 12]
  --quiet         no progress
  --unmarked      clients do not mark what they ask again
"""

import sys
from pathlib import Path
from typing import Any

import orjson
from docopt import docopt
from msgspec import structs
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from umbermoor.front.capture.files import Unreadable, describe_damage, read_capture
from umbermoor.lab.day import micros
from umbermoor.planner.fit import Demand, fit
from umbermoor.planner.plan import Planner, situations
from umbermoor.planner.players import RunPool
from umbermoor.planner.questions import arrivals_of
from umbermoor.planner.sheets import Fleet, SheetError, read_fleet


class RequestError(Exception):
    """The request cannot be carried out; the message is one line for the user."""


def main(arguments: list[str]) -> int:
    options = docopt(__doc__, arguments)
    try:
        fleet = _fleet(options)
        demand, arrivals = _demand(options, fleet)
        if options["fit"]:
            show_demand(demand)
            return 0
        if options["check"]:
            from umbermoor.planner.check import check

            return check(
                demand,
                fleet,
                arrivals,
                float(_number(options["--seconds"], "--seconds")),
                options["--json"],
                options["--quiet"],
            )
        return _plan(options, demand, fleet, arrivals)
    except (SheetError, Unreadable, RequestError) as error:
        print(f"umbermoor: {error}", file=sys.stderr)
        return 2


def _number(text: str, name: str) -> int:
    if not text.isdigit() or not 0 < int(text) < 10_000:
        raise RequestError(f"{name}: expected a whole number above 0, not {text!r}")
    return int(text)


def _fleet(options: dict[str, Any]) -> Fleet:
    fleet = read_fleet(options["FLEET"])
    try:
        if options["--goal"]:
            goal = float(options["--goal"]) / 100
            if not 0 < goal < 1:
                raise ValueError
            profiles = tuple(structs.replace(profile, goal=None) for profile in fleet.profile)
            fleet = structs.replace(fleet, goal=goal, profile=profiles)
        if options["--growth"]:
            growth = tuple(float(factor) for factor in options["--growth"].split(","))
            if min(growth) <= 0:
                raise ValueError
            fleet = structs.replace(fleet, growth=growth)
    except ValueError:
        raise RequestError(
            "--goal: expected a percentage between 0 and 100; --growth: expected numbers above 0, "
            "separated by commas"
        ) from None
    return fleet


def _demand(options: dict[str, Any], fleet: Fleet) -> tuple[Demand, list[tuple[int, int]]]:
    capture = read_capture(options["CAPTURE"])
    for damage in capture.damage:
        print(f"umbermoor: {describe_damage(damage, len(capture.rows))}", file=sys.stderr)
    names = [profile["name"] for profile in capture.header.profiles]
    if unknown := next(
        (profile.name for profile in fleet.profile if profile.name not in names), None
    ):
        raise RequestError(
            f"{options['FLEET']}: profile {unknown!r} is not in the capture, which has "
            f"{', '.join(names)}"
        )
    work = {
        profile.name: profile.work_ms for profile in fleet.profile if profile.work_ms is not None
    }
    warm = micros(max(group.warm_s for group in fleet.group))
    try:
        demand = fit(
            capture.header.profiles,
            capture.rows,
            fleet.front.count,
            fleet.workers,
            warm,
            not options["--unmarked"],
            work,
        )
    except ValueError as error:
        raise RequestError(f"{options['CAPTURE']}: {error}") from None
    return demand, arrivals_of(capture.rows, not options["--unmarked"])


def _plan(
    options: dict[str, Any], demand: Demand, fleet: Fleet, arrivals: list[tuple[int, int]]
) -> int:
    planner = Planner(demand, fleet, _number(options["--seeds"], "--seeds"))
    quiet = options["--quiet"] or options["--json"] == "-" or not sys.stderr.isatty()
    results_file = Path(options["--keep"]) if options["--keep"] else None
    results: dict[str, Any] = {}
    partial = False
    with Progress(console=Console(stderr=True), disable=quiet, transient=True) as progress:
        bar = progress.add_task("plays", total=None)
        workers = _number(options["--workers"], "--workers") if options["--workers"] else None
        pool = RunPool(
            demand,
            fleet,
            arrivals,
            results_file,
            lambda done, requested: progress.update(bar, completed=done, total=requested),
            workers,
        )
        try:
            results = planner.run(pool.run, results)
        except KeyboardInterrupt:
            partial = True
        finally:
            pool.close()
    plan = planner.report(results, partial)
    data = orjson.dumps(plan, option=orjson.OPT_INDENT_2)
    if options["--json"] == "-":
        sys.stdout.buffer.write(data + b"\n")
    else:
        if options["--json"]:
            Path(options["--json"]).write_bytes(data + b"\n")
        show(plan)
    if options["--html"]:
        from umbermoor.planner.page import plan_page

        Path(options["--html"]).write_text(plan_page(plan))
    return 130 if partial else 0


def _format_interval(interval: list[float | None] | None, digits: int = 1) -> str:
    if interval is None:
        return "-"
    mid, low, high = interval
    if mid is None:
        return "at no load"
    return (
        f"{mid:.{digits}f} [{'-' if low is None else format(low, f'.{digits}f')}, "
        f"{'-' if high is None else format(high, f'.{digits}f')}]"
    )


def show_demand(demand: Demand) -> None:
    console, rows = Console(), Table("profile", "queries/s", "work ms", "work cv", "hint cv")
    for profile in demand.profiles:
        rows.add_row(
            profile.name,
            str(profile.rate),
            str(profile.work_ms),
            f"{profile.work_cv:.2f}",
            f"{profile.hint_cv:.2f}",
        )
    console.print(rows)
    console.print(
        f"{demand.rows} queries in {demand.seconds:.1f} s; peak {demand.peak:.2f} times the mean, "
        f"bursts {demand.burstiness}, asked again {demand.retry_share}, "
        f"cold rows {demand.cold_rows}"
    )
    for assumption in demand.assumptions:
        console.print(f"  assumed: {assumption}")


def show(plan: dict[str, Any]) -> None:
    console = Console()
    if plan["partial"]:
        console.print("[bold red]A partial answer: it was ended before all was played.[/]")
    console.print(
        f"fleet {plan['fleet']}: load now {_format_interval(plan['load_now'])} queries/s; "
        f"first limit reached: [bold]{plan['first']}[/], then {plan['runner_up']}"
    )
    rows = Table("limit", "reached at, queries/s", "times now", "by", "why", title="Limits")
    for limit in plan["limits"]:
        if "reached_at" in limit:
            rows.add_row(
                limit["limit"],
                _format_interval(limit["reached_at"]),
                str(limit["times_now"] or "-"),
                f"{limit['by']}; when {limit['case']}" if limit["case"] else limit["by"],
                limit["why"],
            )
        else:
            rows.add_row(
                limit["limit"],
                f"below {_format_interval(limit['reached_below'])}",
                "-",
                limit["by"],
                limit["why"],
            )
    console.print(rows)
    if plan["goal_breaks_at"]:
        console.print(
            f"the goal breaks at {_format_interval(plan['goal_breaks_at']['load'])} queries/s"
        )
    for growth, result in plan["machines"].items():
        count = result["machines"]
        text = (
            "no number that was tried holds it"
            if count is None
            else f"{count} machines hold the goal"
        )
        console.print(f"at {growth} times the load: {text}")
    rows = Table(
        "what",
        *plan["goals"],
        "service",
        "rules broken",
        title="Share in time at the present load",
    )
    for name, shares in situations(plan):
        rows.add_row(
            name,
            *(_format_interval(shares[profile], 4) for profile in plan["goals"]),
            f"{shares['service']:.4f}",
            str(shares["rules_broken"]),
        )
    console.print(rows)
    for name, loss in plan["loss"].items():
        if loss["goal_breaks_at"]:
            console.print(
                f"without {name} the goal breaks at "
                f"{_format_interval(loss['goal_breaks_at']['load'])} queries/s"
            )
    if plan["burst_drains_below"]:
        console.print(
            f"a burst of three times the load drains by itself below "
            f"{_format_interval(plan['burst_drains_below']['load'])} queries/s"
        )
    for assumption in plan["assumptions"]:
        console.print(f"  assumed: {assumption}")
    plays = plan["plays"]
    console.print(
        f"{plays['searches']} plays for the searches; a plain scan of the same step would take "
        f"{plays['plain_scan']}"
    )

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

from umbermoor.front.capture.files import Unreadable, read_capture, told
from umbermoor.lab.day import micros
from umbermoor.planner.fit import Demand, fit
from umbermoor.planner.plan import Planner, situations
from umbermoor.planner.players import RunPool
from umbermoor.planner.questions import arrivals_of
from umbermoor.planner.sheets import Fleet, SheetError, read_fleet


class Refused(Exception):
    """The request cannot be carried out; the message is one line for the user."""


def main(words: list[str]) -> int:
    given = docopt(__doc__, words)
    try:
        fleet = _fleet(given)
        demand, arrivals = _demand(given, fleet)
        if given["fit"]:
            show_demand(demand)
            return 0
        if given["check"]:
            from umbermoor.planner.check import check

            return check(
                demand,
                fleet,
                arrivals,
                float(_number(given["--seconds"], "--seconds")),
                given["--json"],
                given["--quiet"],
            )
        return _plan(given, demand, fleet, arrivals)
    except (SheetError, Unreadable, Refused) as fault:
        print(f"umbermoor: {fault}", file=sys.stderr)
        return 2


def _number(text: str, name: str) -> int:
    if not text.isdigit() or not 0 < int(text) < 10_000:
        raise Refused(f"{name}: expected a whole number above 0, not {text!r}")
    return int(text)


def _fleet(given: dict[str, Any]) -> Fleet:
    fleet = read_fleet(given["FLEET"])
    try:
        if given["--goal"]:
            goal = float(given["--goal"]) / 100
            if not 0 < goal < 1:
                raise ValueError
            wishes = tuple(structs.replace(one, goal=None) for one in fleet.profile)
            fleet = structs.replace(fleet, goal=goal, profile=wishes)
        if given["--growth"]:
            growth = tuple(float(one) for one in given["--growth"].split(","))
            if min(growth) <= 0:
                raise ValueError
            fleet = structs.replace(fleet, growth=growth)
    except ValueError:
        raise Refused(
            "--goal: expected a percentage between 0 and 100; --growth: expected numbers above 0, "
            "separated by commas"
        ) from None
    return fleet


def _demand(given: dict[str, Any], fleet: Fleet) -> tuple[Demand, list[tuple[int, int]]]:
    capture = read_capture(given["CAPTURE"])
    for damage in capture.damage:
        print(f"umbermoor: {told(damage, len(capture.rows))}", file=sys.stderr)
    names = [one["name"] for one in capture.header.profiles]
    if strange := next((one.name for one in fleet.profile if one.name not in names), None):
        raise Refused(
            f"{given['FLEET']}: profile {strange!r} is not in the capture, which has {', '.join(names)}"
        )
    work = {one.name: one.work_ms for one in fleet.profile if one.work_ms is not None}
    warm = micros(max(one.warm_s for one in fleet.group))
    try:
        demand = fit(
            capture.header.profiles,
            capture.rows,
            fleet.front.count,
            fleet.workers,
            warm,
            not given["--unmarked"],
            work,
        )
    except ValueError as error:
        raise Refused(f"{given['CAPTURE']}: {error}") from None
    return demand, arrivals_of(capture.rows, not given["--unmarked"])


def _plan(
    given: dict[str, Any], demand: Demand, fleet: Fleet, arrivals: list[tuple[int, int]]
) -> int:
    planner = Planner(demand, fleet, _number(given["--seeds"], "--seeds"))
    quiet = given["--quiet"] or given["--json"] == "-" or not sys.stderr.isatty()
    kept = Path(given["--keep"]) if given["--keep"] else None
    found: dict[str, Any] = {}
    partial = False
    with Progress(console=Console(stderr=True), disable=quiet, transient=True) as progress:
        bar = progress.add_task("plays", total=None)
        workers = _number(given["--workers"], "--workers") if given["--workers"] else None
        players = RunPool(
            demand,
            fleet,
            arrivals,
            kept,
            lambda done, asked: progress.update(bar, completed=done, total=asked),
            workers,
        )
        try:
            found = planner.run(players.ask, found)
        except KeyboardInterrupt:
            partial = True
        finally:
            players.close()
    answer = planner.answer(found, partial)
    data = orjson.dumps(answer, option=orjson.OPT_INDENT_2)
    if given["--json"] == "-":
        sys.stdout.buffer.write(data + b"\n")
    else:
        if given["--json"]:
            Path(given["--json"]).write_bytes(data + b"\n")
        show(answer)
    if given["--html"]:
        from umbermoor.planner.page import plan_page

        Path(given["--html"]).write_text(plan_page(answer))
    return 130 if partial else 0


def _span(one: list[float | None] | None, digits: int = 1) -> str:
    if one is None:
        return "-"
    mid, low, high = one
    if mid is None:
        return "at no load"
    return (
        f"{mid:.{digits}f} [{'-' if low is None else format(low, f'.{digits}f')}, "
        f"{'-' if high is None else format(high, f'.{digits}f')}]"
    )


def show_demand(demand: Demand) -> None:
    console, rows = Console(), Table("profile", "queries/s", "work ms", "work cv", "hint cv")
    for one in demand.profiles:
        rows.add_row(
            one.name, str(one.rate), str(one.work_ms), f"{one.work_cv:.2f}", f"{one.hint_cv:.2f}"
        )
    console.print(rows)
    console.print(
        f"{demand.rows} queries in {demand.seconds:.1f} s; peak {demand.peak:.2f} times the mean, bursts "
        f"{demand.burstiness}, asked again {demand.retry_share}, cold rows {demand.cold_rows}"
    )
    for one in demand.assumptions:
        console.print(f"  assumed: {one}")


def show(answer: dict[str, Any]) -> None:
    console = Console()
    if answer["partial"]:
        console.print("[bold red]A partial answer: it was ended before all was played.[/]")
    console.print(
        f"fleet {answer['fleet']}: load now {_span(answer['load_now'])} queries/s; first limit reached: "
        f"[bold]{answer['first']}[/], then {answer['runner_up']}"
    )
    rows = Table("limit", "reached at, queries/s", "times now", "by", "why", title="Limits")
    for one in answer["limits"]:
        if "reached_at" in one:
            rows.add_row(
                one["limit"],
                _span(one["reached_at"]),
                str(one["times_now"] or "-"),
                f"{one['by']}; when {one['case']}" if one["case"] else one["by"],
                one["why"],
            )
        else:
            rows.add_row(
                one["limit"], f"below {_span(one['reached_below'])}", "-", one["by"], one["why"]
            )
    console.print(rows)
    if answer["goal_breaks_at"]:
        console.print(f"the goal breaks at {_span(answer['goal_breaks_at']['load'])} queries/s")
    for growth, one in answer["machines"].items():
        count = one["machines"]
        said = (
            "no number that was tried holds it"
            if count is None
            else f"{count} machines hold the goal"
        )
        console.print(f"at {growth} times the load: {said}")
    rows = Table(
        "what",
        *answer["goals"],
        "service",
        "rules broken",
        title="Share in time at the present load",
    )
    for name, one in situations(answer):
        rows.add_row(
            name,
            *(_span(one[profile], 4) for profile in answer["goals"]),
            f"{one['service']:.4f}",
            str(one["rules_broken"]),
        )
    console.print(rows)
    for name, one in answer["loss"].items():
        if one["goal_breaks_at"]:
            console.print(
                f"without {name} the goal breaks at {_span(one['goal_breaks_at']['load'])} queries/s"
            )
    if answer["burst_drains_below"]:
        console.print(
            f"a burst of three times the load drains by itself below "
            f"{_span(answer['burst_drains_below']['load'])} queries/s"
        )
    for one in answer["assumptions"]:
        console.print(f"  assumed: {one}")
    plays = answer["plays"]
    console.print(
        f"{plays['searches']} plays for the searches; a plain scan of the same step would take "
        f"{plays['plain_scan']}"
    )

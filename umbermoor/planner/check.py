"""Compares the planner's predictions with measurements.

Predictions come from simulated runs in virtual time; measurements from the same days run in real
time on loopback, with stand-ins for the machines.
"""

from concurrent.futures import ThreadPoolExecutor
from math import ceil
from pathlib import Path
from typing import Any, NamedTuple

import orjson
from msgspec import structs
from rich.console import Console
from rich.table import Table

from umbermoor.lab.day import Group
from umbermoor.lab.sockets.runner import play_on_sockets
from umbermoor.planner.fit import Demand
from umbermoor.planner.plan import Planner
from umbermoor.planner.players import RunPool
from umbermoor.planner.questions import Scenario, day_for, replay_arrivals
from umbermoor.planner.search import Threshold, fit_nonincreasing, gather
from umbermoor.planner.sheets import Fleet

# The loads that are measured, as multiples of the predicted load.
LOAD_FACTORS = (0.7, 0.85, 1.0, 1.15, 1.3)
# Tolerated deviations: relative for loads and machine counts, absolute for shares in time.
TOLERANCE, SHARE_TOLERANCE = 0.15, 0.02
PARALLEL_RUNS = 2  # loopback runs at the same time


class Row(NamedTuple):
    """One line of the comparison; the field names are the keys of the JSON output."""

    what: str
    predicted: float | None
    measured: float | None
    within: bool
    note: str = ""


def check(
    demand: Demand,
    fleet: Fleet,
    arrivals: list[tuple[int, int]],
    seconds: float,
    out: str | None,
    quiet: bool,
) -> int:
    """Print the comparison and write it as JSON to ``out``, if given.

    Returns the exit code: 0 if every measurement is within its tolerance, otherwise 1.
    """
    console = Console(stderr=True, quiet=quiet)
    rows = measure(demand, fleet, arrivals, seconds, lambda text: console.print(text))
    table = Table(
        "what", "predicted", "measured on loopback", "within", "note", title=f"fleet {fleet.name}"
    )
    for row in rows:
        table.add_row(
            row.what,
            *("-" if value is None else f"{value:.4g}" for value in (row.predicted, row.measured)),
            "yes" if row.within else "NO",
            row.note,
        )
    Console().print(table)
    if out:
        Path(out).write_bytes(
            orjson.dumps([row._asdict() for row in rows], option=orjson.OPT_INDENT_2) + b"\n"
        )
    return 0 if all(row.within for row in rows) else 1


def measure(
    demand: Demand, fleet: Fleet, arrivals: list[tuple[int, int]], seconds: float, report_progress
) -> list[Row]:
    """Predict the fleet's limits, measure them on loopback and return the comparison.

    ``report_progress`` is called with a line of text for each step of progress.
    """
    planner = Planner(demand, fleet)
    pool = RunPool(demand, fleet, arrivals)
    try:
        searches = planner.searches()
        growth = f"{fleet.growth[-1]:g}"
        lost_group = fleet.group[0].name if len(fleet.group) > 1 else ""
        names = ["load", f"machines {growth}"]
        results = gather({name: searches[name] for name in names if name in searches}, pool.run)
        threshold: Threshold | None = results.get("load")
        if lost_group and threshold is not None and threshold.mid:
            # Near the limit of the remaining groups, where the share in time is informative.
            remaining = 1 - _capacity(fleet.group[0]) / fleet.capacity
            loss_scenario = Scenario(
                "loss",
                float(f"{max(planner.current_load, threshold.mid * remaining):.4g}"),
                fleet.machines,
                1,
                lost_group,
            )
            results["loss"] = list(
                pool.run([loss_scenario._replace(seed=seed) for seed in (1, 2, 3)]).values()
            )
    finally:
        pool.close()
    if threshold is None or not threshold.mid:
        return [
            Row(
                "load at which the goal breaks",
                0.0,
                None,
                True,
                "the goal cannot be held by any number of machines",
            )
        ]
    report_progress(f"predicted: the goal breaks at {threshold.mid:.1f} queries/s")
    scenarios: dict[str, Scenario] = {
        f"load {factor:g}": Scenario("steady", threshold.mid * factor, fleet.machines, 1)
        for factor in LOAD_FACTORS
    }
    count = results[f"machines {growth}"].high
    if count is not None:
        load = planner.current_load * float(growth)
        for name, machines in (
            ("fewer", int(count / (1 + TOLERANCE))),
            ("more", ceil(count * (1 + TOLERANCE))),
        ):
            scenarios[name] = Scenario("steady", load, max(1, machines), 1)
    if lost_group:
        scenarios["loss"] = loss_scenario
    outcomes = _measure_all(scenarios, demand, fleet, arrivals, seconds, report_progress)
    rows = [_load_row(threshold, outcomes, planner)]
    if count is not None:
        rows.append(_machines_row(count, growth, scenarios, outcomes, planner))
    if lost_group:
        rows.append(_loss_row(lost_group, results["loss"], outcomes, demand))
    rows.append(
        Row(
            "rules broken on loopback",
            0,
            sum(outcome["audit"]["breaches"] for outcome in outcomes.values()),
            not any(outcome["audit"]["breaches"] for outcome in outcomes.values()),
        )
    )
    return rows


def _measure_all(
    scenarios: dict[str, Scenario],
    demand: Demand,
    fleet: Fleet,
    arrivals: list[tuple[int, int]],
    seconds: float,
    report_progress,
) -> dict[str, dict[str, Any]]:
    """Run every scenario on loopback, ``PARALLEL_RUNS`` at a time, and return outcomes by name."""

    def run_one(name: str) -> tuple[str, dict[str, Any]]:
        day = day_for(scenarios[name], demand, fleet)
        day = day.changed(
            length_s=min(day.length_s, seconds * (2 if name == "loss" else 1) + day.settle_s),
            front=structs.replace(day.front, cpu_us=0),
        )
        replay = replay_arrivals(day, demand, arrivals)
        outcome = play_on_sockets(day, arrivals=None if replay is None else list(replay))
        report_progress(
            f"{name}: {scenarios[name].load:.1f} queries/s, {scenarios[name].machines} machines: "
            f"in time {outcome['in_time']:.4f}"
            f"{'' if outcome['honest'] else ' (the load fell behind its pace)'}"
        )
        return name, outcome

    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        return dict(pool.map(run_one, scenarios))


def _worst_margin(outcome: dict[str, Any], planner: Planner) -> float:
    """Return the least margin of any profile's share in time above its goal."""
    return min(
        row["in_time"] - goal
        for row, goal in zip(outcome["profiles"].values(), planner.goals)
        if row["asked"]
    )


def _load_row(threshold: Threshold, outcomes: dict[str, dict[str, Any]], planner: Planner) -> Row:
    points = [
        (threshold.mid * factor, _worst_margin(outcomes[f"load {factor:g}"], planner), 1.0)
        for factor in LOAD_FACTORS
    ]
    curve = fit_nonincreasing(points)
    measured = zero_crossing(curve)
    if measured is None:
        bound = curve[0][0] if curve[0][1] < 0 else curve[-1][0]
        side = "below" if curve[0][1] < 0 else "above"
        return Row(
            "load at which the goal breaks",
            threshold.mid,
            bound,
            False,
            f"{side} all loads that were played",
        )
    return Row(
        "load at which the goal breaks",
        threshold.mid,
        measured,
        abs(measured / threshold.mid - 1) <= TOLERANCE,
        f"{measured / threshold.mid - 1:+.1%}",
    )


def _capacity(group: Group) -> float:
    return group.machines * group.workers * group.speed


def zero_crossing(curve: list[tuple[float, float]]) -> float | None:
    """Return where a falling curve crosses 0, by linear interpolation, or None if it does not."""
    for (x, y), (next_x, next_y) in zip(curve, curve[1:]):
        if y >= 0 > next_y:
            return x + (next_x - x) * y / (y - next_y)
    return None


def _machines_row(
    count: float,
    growth: str,
    scenarios: dict[str, Scenario],
    outcomes: dict[str, dict[str, Any]],
    planner: Planner,
) -> Row:
    fewer, more = (_worst_margin(outcomes[name], planner) >= 0 for name in ("fewer", "more"))
    note = (
        f"{scenarios['fewer'].machines} {'held' if fewer else 'did not hold'}, "
        f"{scenarios['more'].machines} {'held' if more else 'did not hold'}"
    )
    if scenarios["fewer"].machines >= count:  # there is no smaller fleet to measure
        fewer, note = (
            False,
            f"{scenarios['more'].machines} {'held' if more else 'did not hold'}; "
            f"fewer there are none",
        )
    measured = (
        count
        if more and not fewer
        else float(scenarios["fewer"].machines if fewer else scenarios["more"].machines)
    )
    return Row(f"machines for {growth} times the load", count, measured, more and not fewer, note)


def _loss_row(
    lost_group: str, results: list, outcomes: dict[str, dict[str, Any]], demand: Demand
) -> Row:
    queries = [
        sum(result.queries[index] for result in results) for index in range(len(demand.profiles))
    ]
    in_time = [
        sum(result.queries[index] * result.in_time[index] for result in results)
        for index in range(len(demand.profiles))
    ]
    predicted, measured = sum(in_time) / max(1, sum(queries)), outcomes["loss"]["in_time"]
    return Row(
        f"share in time without group {lost_group}",
        predicted,
        measured,
        abs(predicted - measured) <= SHARE_TOLERANCE,
        f"{measured - predicted:+.4f}",
    )

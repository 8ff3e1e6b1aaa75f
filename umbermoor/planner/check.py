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
from umbermoor.planner.questions import Scenario, day_for, replayed
from umbermoor.planner.search import Edge, falling, gather
from umbermoor.planner.sheets import Fleet

# The loads that are measured, as multiples of the predicted load.
AT = (0.7, 0.85, 1.0, 1.15, 1.3)
# Tolerated deviations: relative for loads and machine counts, absolute for shares in time.
WITHIN, SHARE_WITHIN = 0.15, 0.02
SIDE_BY_SIDE = 2  # loopback runs at the same time


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
    shown = Table(
        "what", "predicted", "measured on loopback", "within", "note", title=f"fleet {fleet.name}"
    )
    for one in rows:
        shown.add_row(
            one.what,
            *("-" if value is None else f"{value:.4g}" for value in (one.predicted, one.measured)),
            "yes" if one.within else "NO",
            one.note,
        )
    Console().print(shown)
    if out:
        Path(out).write_bytes(
            orjson.dumps([one._asdict() for one in rows], option=orjson.OPT_INDENT_2) + b"\n"
        )
    return 0 if all(one.within for one in rows) else 1


def measure(
    demand: Demand, fleet: Fleet, arrivals: list[tuple[int, int]], seconds: float, told
) -> list[Row]:
    """Predict the fleet's limits, measure them on loopback and return the comparison.

    ``told`` is called with a line of text for each step of progress.
    """
    planner = Planner(demand, fleet)
    players = RunPool(demand, fleet, arrivals)
    try:
        searches = planner.searches()
        growth = f"{fleet.growth[-1]:g}"
        lost = fleet.group[0].name if len(fleet.group) > 1 else ""
        wanted = ["load", f"machines {growth}"]
        found = gather({name: searches[name] for name in wanted if name in searches}, players.ask)
        edge: Edge | None = found.get("load")
        if (
            lost and edge is not None and edge.mid
        ):  # at the limit of the remaining groups, where the share in time is informative
            left = 1 - _capacity(fleet.group[0]) / fleet.capacity
            loss = Scenario(
                "loss", float(f"{max(planner.now, edge.mid * left):.4g}"), fleet.machines, 1, lost
            )
            found["loss"] = list(
                players.ask([loss._replace(seed=seed) for seed in (1, 2, 3)]).values()
            )
    finally:
        players.close()
    if edge is None or not edge.mid:
        return [
            Row(
                "load at which the goal breaks",
                0.0,
                None,
                True,
                "the goal cannot be held by any number of machines",
            )
        ]
    told(f"predicted: the goal breaks at {edge.mid:.1f} queries/s")
    questions: dict[str, Scenario] = {
        f"load {part:g}": Scenario("steady", edge.mid * part, fleet.machines, 1) for part in AT
    }
    count = found[f"machines {growth}"].high
    if count is not None:
        load = planner.now * float(growth)
        for name, machines in (
            ("fewer", int(count / (1 + WITHIN))),
            ("more", ceil(count * (1 + WITHIN))),
        ):
            questions[name] = Scenario("steady", load, max(1, machines), 1)
    if lost:
        questions["loss"] = loss
    outcomes = _play_all(questions, demand, fleet, arrivals, seconds, told)
    rows = [_load_row(edge, outcomes, planner)]
    if count is not None:
        rows.append(_machines_row(count, growth, questions, outcomes, planner))
    if lost:
        rows.append(_loss_row(lost, found["loss"], outcomes, demand))
    rows.append(
        Row(
            "rules broken on loopback",
            0,
            sum(one["audit"]["breaches"] for one in outcomes.values()),
            not any(one["audit"]["breaches"] for one in outcomes.values()),
        )
    )
    return rows


def _play_all(
    questions: dict[str, Scenario],
    demand: Demand,
    fleet: Fleet,
    arrivals: list[tuple[int, int]],
    seconds: float,
    told,
) -> dict[str, dict[str, Any]]:
    """Run every scenario on loopback, ``SIDE_BY_SIDE`` at a time, and return outcomes by name."""

    def one(name: str) -> tuple[str, dict[str, Any]]:
        day = day_for(questions[name], demand, fleet)
        day = day.changed(
            length_s=min(day.length_s, seconds * (2 if name == "loss" else 1) + day.settle_s),
            front=structs.replace(day.front, cpu_us=0),
        )
        some = replayed(day, demand, arrivals)
        outcome = play_on_sockets(day, given=None if some is None else list(some))
        told(
            f"{name}: {questions[name].load:.1f} queries/s, {questions[name].machines} machines: in time "
            f"{outcome['in_time']:.4f}{'' if outcome['honest'] else ' (the load fell behind its pace)'}"
        )
        return name, outcome

    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        return dict(pool.map(one, questions))


def _worst(outcome: dict[str, Any], planner: Planner) -> float:
    """Return the least margin of any profile's share in time above its goal."""
    return min(
        row["in_time"] - goal
        for row, goal in zip(outcome["profiles"].values(), planner.goals)
        if row["asked"]
    )


def _load_row(edge: Edge, outcomes: dict[str, dict[str, Any]], planner: Planner) -> Row:
    points = [(edge.mid * part, _worst(outcomes[f"load {part:g}"], planner), 1.0) for part in AT]
    curve = falling(points)
    measured = crossing(curve)
    if measured is None:
        bound = curve[0][0] if curve[0][1] < 0 else curve[-1][0]
        where = "below" if curve[0][1] < 0 else "above"
        return Row(
            "load at which the goal breaks",
            edge.mid,
            bound,
            False,
            f"{where} all loads that were played",
        )
    return Row(
        "load at which the goal breaks",
        edge.mid,
        measured,
        abs(measured / edge.mid - 1) <= WITHIN,
        f"{measured / edge.mid - 1:+.1%}",
    )


def _capacity(group: Group) -> float:
    return group.machines * group.workers * group.speed


def crossing(curve: list[tuple[float, float]]) -> float | None:
    """Return where a falling curve crosses 0, by linear interpolation, or None if it does not."""
    for (at, value), (after, following) in zip(curve, curve[1:]):
        if value >= 0 > following:
            return at + (after - at) * value / (value - following)
    return None


def _machines_row(
    count: float,
    growth: str,
    questions: dict[str, Scenario],
    outcomes: dict[str, dict[str, Any]],
    planner: Planner,
) -> Row:
    fewer, more = (_worst(outcomes[name], planner) >= 0 for name in ("fewer", "more"))
    words = (
        f"{questions['fewer'].machines} {'held' if fewer else 'did not hold'}, {questions['more'].machines} "
        f"{'held' if more else 'did not hold'}"
    )
    if (
        questions["fewer"].machines >= count
    ):  # a smaller fleet than the predicted one does not exist
        fewer, words = (
            False,
            f"{questions['more'].machines} {'held' if more else 'did not hold'}; fewer there are none",
        )
    measured = (
        count
        if more and not fewer
        else float(questions["fewer"].machines if fewer else questions["more"].machines)
    )
    return Row(f"machines for {growth} times the load", count, measured, more and not fewer, words)


def _loss_row(lost: str, answers: list, outcomes: dict[str, dict[str, Any]], demand: Demand) -> Row:
    asked = [sum(one.asked[place] for one in answers) for place in range(len(demand.profiles))]
    good = [
        sum(one.asked[place] * one.in_time[place] for one in answers)
        for place in range(len(demand.profiles))
    ]
    predicted, measured = sum(good) / max(1, sum(asked)), outcomes["loss"]["in_time"]
    return Row(
        f"share in time without group {lost}",
        predicted,
        measured,
        abs(predicted - measured) <= SHARE_WITHIN,
        f"{measured - predicted:+.4f}",
    )

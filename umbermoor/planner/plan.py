"""Builds the plan from limits in closed form and from searches over simulated runs.

The searches are used where the closed form only gives bounds. The module does no I/O: the caller
supplies the function that runs the simulations.
"""

from collections.abc import Callable
from typing import Any

from umbermoor.lab.statistics import Interval
from umbermoor.planner.fit import Demand
from umbermoor.planner.limits import goal_bracket, limits, saturation
from umbermoor.planner.questions import RunResult, Scenario, burst_drains, by_stage, holds, shares
from umbermoor.planner.search import (
    Answers,
    Edge,
    Search,
    falling,
    fewest_machines,
    gather,
    highest_load,
)
from umbermoor.planner.sheets import Fleet

STEP = 0.03  # relative resolution of the search for a load
SEEDS = 3
MACHINES_MOST = 20  # the search for machines stops at this multiple of the present number
FLOOR_PART = 0.02  # the search for a load stops at this fraction of saturation


class Planner:
    """Defines the searches of one plan, runs them and assembles the result.

    Args:
        demand: The demand estimated from the capture.
        fleet: The fleet to plan for.
        seeds: Number of runs of each scenario, each with its own seed.
    """

    def __init__(self, demand: Demand, fleet: Fleet, seeds: int = SEEDS) -> None:
        self.demand, self.fleet, self.seeds = demand, fleet, seeds
        self.goals = [fleet.goal_of(one.name) for one in demand.profiles]
        self.now = demand.rate.mid
        self.rows = limits(demand, fleet)
        self.low, self.high = goal_bracket(demand, fleet)
        self.top = saturation(demand, fleet)
        self.played: dict[Scenario, RunResult] = {}

    def searches(self) -> dict[str, Search]:
        """Return all searches of the plan by name.

        Searches for the goal are left out if the closed form shows that no fleet can meet it.
        """
        fleet, found = self.fleet, {}
        if self.high > 0:
            found["load"] = self._load("steady")
            for growth in fleet.growth:
                found[f"machines {growth:g}"] = self._machines(growth)
            if len(fleet.group) > 1:
                for group in fleet.group:
                    found[f"load without {group.name}"] = self._load("loss", group.name)
        found["now"] = self._once(Scenario("steady", self.now, fleet.machines, 1))
        for group in fleet.group:
            if len(fleet.group) > 1:
                found[f"loss {group.name}"] = self._once(
                    Scenario("loss", self.now, fleet.machines, 1, group.name)
                )
            found[f"cold {group.name}"] = self._once(
                Scenario("cold", self.now, fleet.machines, 1, group.name)
            )
        found["replace"] = self._once(Scenario("replace", self.now, fleet.machines, 1))
        for place in range(len(fleet.build)):
            found[f"build {place}"] = self._once(
                Scenario("build", self.now, fleet.machines, 1, str(place))
            )
        found["burst"] = self._burst()
        return found

    def _seeded(self, question: Scenario) -> list[Scenario]:
        return [question._replace(seed=seed) for seed in range(1, self.seeds + 1)]

    def _holds(self, answers: Answers) -> bool:
        return holds(list(answers.values()), self.goals)

    def _load(self, kind: str, what: str = "") -> Search:
        part = 1.0
        if kind == "loss":
            group = next(one for one in self.fleet.group if one.name == what)
            part = 1 - group.machines * group.workers * group.speed / self.fleet.capacity
        low, high = 0.9 * self.low * part, min(self.high, self.top) * part
        return highest_load(
            low,
            high,
            STEP,
            lambda load: self._seeded(Scenario(kind, load, self.fleet.machines, 1, what)),
            self._holds,
            FLOOR_PART * self.top,
            1.5 * self.top,
        )

    def _machines(self, growth: float) -> Search:
        load = self.now * growth
        per = self.fleet.machines
        return fewest_machines(
            int(0.9 * per * load / max(self.high, 1e-9)),
            int(1.1 * per * load / max(self.low, 1e-9)) + 1,
            lambda count: self._seeded(Scenario("steady", load, count, 1)),
            self._holds,
            per * MACHINES_MOST,
        )

    def _burst(self) -> Search:
        return highest_load(
            0.4 * self.top,
            1.05 * self.top,
            0.05,
            lambda load: self._seeded(Scenario("burst", load, self.fleet.machines, 1)),
            lambda answers: burst_drains(list(answers.values())),
            0.2 * self.top,
            1.4 * self.top,
        )

    def _once(self, question: Scenario) -> Search:
        answers = yield self._seeded(question)
        return list(answers.values())

    def run(
        self, play: Callable[[list[Scenario]], Answers], found: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        """Run all searches and return their results by name.

        Results are stored in ``found`` as soon as they are there, so that a caller that interrupts
        the run has those found by then.
        """

        def noted(questions: list[Scenario]) -> Answers:
            answers = play(questions)
            self.played.update(answers)
            return answers

        return gather(self.searches(), noted, found)

    def curve(self) -> dict[str, list[tuple[float, float]]]:
        """Return the worst profile's share in time by load, fitted by a curve that never rises."""
        found: dict[str, dict[float, list[RunResult]]] = {}
        for question, answer in self.played.items():
            if question.kind in ("steady", "loss") and question.machines == self.fleet.machines:
                name = "all machines" if question.kind == "steady" else f"without {question.what}"
                found.setdefault(name, {}).setdefault(question.load, []).append(answer)
        return {
            name: [
                (load, round(share, 5))
                for load, share in falling(
                    [
                        (load, min(one.mid for one in shares(answers)), len(answers))
                        for load, answers in loads.items()
                    ]
                )
            ]
            for name, loads in sorted(found.items())
        }

    def answer(self, found: dict[str, Any], partial: bool = False) -> dict[str, Any]:
        """Return the plan as the JSON output has it.

        Args:
            found: Results of the searches by name.
            partial: Whether the run was interrupted, so that results may be missing.
        """
        fleet, demand = self.fleet, self.demand
        names = [one.name for one in demand.profiles]

        def share(answers: list[RunResult]) -> dict[str, Any]:
            return {name: _interval(_clipped(one)) for name, one in zip(names, shares(answers))} | {
                "service": round(sum(one.service for one in answers) / len(answers), 4),
                "rules_broken": sum(one.breaches for one in answers),
            }

        edges = {
            name: self._edge(one)
            for name, one in found.items()
            if isinstance(one, Edge) and not name.startswith("machines")
        }
        plays = sum(one.plays for one in found.values() if isinstance(one, Edge))
        scan = sum(one.scan for one in found.values() if isinstance(one, Edge))
        rows = self._rows(found)
        always = [row["limit"] for row in rows if "reached_at" in row and not row["case"]]
        return {
            "fleet": fleet.name,
            "partial": partial,
            "load_now": _interval(demand.rate),
            "goals": dict(zip(names, self.goals)),
            "demand": {
                one.name: {
                    "rate": _interval(one.rate),
                    "work_ms": _interval(one.work_ms),
                    "work_cv": one.work_cv,
                    "hint_cv": one.hint_cv,
                }
                for one in demand.profiles
            },
            "burstiness": _interval(demand.burstiness),
            "peak": demand.peak,
            "retries": _interval(demand.retry_share),
            "assumptions": [*demand.assumptions, *self._assumptions()],
            "first": always[0],
            "runner_up": always[1],
            "limits": rows,
            "goal_breaks_at": edges.get("load"),
            "machines": {
                name.partition(" ")[2]: _count(one)
                for name, one in found.items()
                if name.startswith("machines ")
            },
            "now": share(found["now"]) if "now" in found else None,
            "loss": {
                group.name: {
                    "share": share(found[f"loss {group.name}"]),
                    "goal_breaks_at": edges.get(f"load without {group.name}"),
                }
                for group in fleet.group
                if f"loss {group.name}" in found
            },
            "cold_return": {
                group.name: share(found[f"cold {group.name}"])
                for group in fleet.group
                if f"cold {group.name}" in found
            },
            "replacement": share(found["replace"]) if "replace" in found else None,
            "bad_builds": [
                {
                    "build": f"{build.fault_kind} {build.size:g}",
                    **share(found[f"build {place}"]),
                    "stages": by_stage(found[f"build {place}"][0]),
                    "taken_back": sum(
                        any(row[3] in ("going_back", "withdrawn") for row in one.stages)
                        for one in found[f"build {place}"]
                    )
                    / len(found[f"build {place}"]),
                }
                for place, build in enumerate(fleet.build)
                if f"build {place}" in found
            ],
            "burst_drains_below": edges.get("burst"),
            "curve": self.curve(),
            "plays": {"searches": plays, "plain_scan": scan, "seeds": self.seeds, "step": STEP},
        }

    def _rows(self, found: dict[str, Any]) -> list[dict[str, Any]]:
        """Return the limits in the order in which a growing load reaches them.

        A limit that a search has found by simulation carries that result in place of the closed
        form.
        """
        rows = []
        for one in self.rows:
            if one.below:
                continue
            reached, by = one.reached, "closed form"
            edge = found.get(
                {"target time": "load", "retry amplification": "burst"}.get(one.name, "")
            )
            if isinstance(edge, Edge):
                reached, by = self._widened(edge), "plays"
            rows.append(
                {
                    "limit": one.name,
                    "reached_at": _interval(reached),
                    "times_now": _round(reached.mid / self.now),
                    "by": by,
                    "case": one.case,
                    "why": one.why,
                }
            )
        rows.sort(
            key=lambda row: (
                row["reached_at"][0] is None,
                row["reached_at"][0] or 0.0,
                row["limit"],
            )
        )
        return rows + [
            {
                "limit": one.name,
                "reached_below": _interval(one.reached),
                "by": "closed form",
                "why": one.why,
            }
            for one in self.rows
            if one.below
        ]

    def _widened(self, edge: Edge) -> Interval:
        error = self.demand.work_error
        low, high = edge.low or 0.0, edge.high if edge.high is not None else float("inf")
        return Interval(edge.mid, low * (1 - error), high * (1 + error))

    def _edge(self, edge: Edge) -> dict[str, Any]:
        reached = self._widened(edge)
        return {
            "load": _interval(reached),
            "times_now": _round(reached.mid / self.now),
            "held_at": _round(edge.low),
            "broke_at": _round(edge.high),
        }

    def _assumptions(self) -> list[str]:
        cpu = self.fleet.front.cpu_us or self.fleet.limits.front_cpu_us
        return [
            f"a query costs a front {cpu:g} us of its core",
            f"clients ask again up to {self.fleet.clients.retries} times, {self.fleet.clients.heed:.0%} of them "
            f"heed "
            f"advice on when",
            "machines serve their queue in turn, each worker one query at a time",
        ]


def situations(answer: dict[str, Any]) -> list[tuple[str, dict[str, Any]]]:
    """Return the shares in time at the present load for each simulated situation, by its name."""
    shown = [("now", answer["now"]), ("rolling replacement", answer["replacement"])]
    shown += [(f"without {name}", one["share"]) for name, one in answer["loss"].items()]
    shown += [(f"{name} returns cold", one) for name, one in answer["cold_return"].items()]
    shown += [(f"bad build: {one['build']}", one) for one in answer["bad_builds"]]
    return [(name, one) for name, one in shown if one is not None]


def _clipped(one: Interval) -> Interval:
    """Return the interval of a share, limited to between 0 and 1."""
    return Interval(*(min(1.0, max(0.0, value)) for value in one))


def _count(edge: Edge) -> dict[str, Any]:
    return {
        "machines": None if edge.high is None else int(edge.high),
        "at_least": int(edge.low or 0) + 1,
        "plays": edge.plays,
    }


def _interval(one: Interval) -> list[float | None]:
    return [_round(value) for value in one]


def _round(value: float | None) -> float | None:
    return (
        None
        if value is None or value != value or value in (float("inf"), float("-inf"))
        else float(f"{value:.5g}")
    )

"""Builds the plan from limits in closed form and from searches over simulated runs.

The searches are used where the closed form only gives bounds. The module does no I/O: the caller
supplies the function that runs the simulations.
"""

from collections.abc import Callable
from typing import Any

from umbermoor.lab.statistics import Interval
from umbermoor.planner.fit import Demand
from umbermoor.planner.limits import goal_bracket, limits, saturation
from umbermoor.planner.questions import (
    RunResult,
    Scenario,
    burst_drains,
    meets_goals,
    share_by_stage,
    shares,
)
from umbermoor.planner.search import (
    Results,
    Search,
    Threshold,
    fewest_machines,
    fit_nonincreasing,
    gather,
    highest_load,
)
from umbermoor.planner.sheets import Fleet

STEP = 0.03  # relative resolution of the search for a load
SEEDS = 3  # runs of each scenario
MAX_MACHINES_FACTOR = 20  # the search for machines stops at this multiple of the present number
LOAD_FLOOR = 0.02  # fraction of saturation below which a load counts as none


class Planner:
    """Defines the searches of one plan, runs them and assembles the result.

    Args:
        demand: The demand estimated from the capture.
        fleet: The fleet to plan for.
        seeds: Number of runs of each scenario, each with its own seed.
    """

    def __init__(self, demand: Demand, fleet: Fleet, seeds: int = SEEDS) -> None:
        self.demand, self.fleet, self.seeds = demand, fleet, seeds
        self.goals = [fleet.goal_of(profile.name) for profile in demand.profiles]
        self.current_load = demand.rate.mid
        self.limits = limits(demand, fleet)
        self.goal_low, self.goal_high = goal_bracket(demand, fleet)
        self.saturation = saturation(demand, fleet)
        self.run_results: dict[Scenario, RunResult] = {}

    def searches(self) -> dict[str, Search]:
        """Return all searches of the plan by name.

        Searches for the goal are left out if the closed form shows that no fleet can meet it.
        """
        fleet, searches = self.fleet, {}
        if self.goal_high > 0:
            searches["load"] = self._load("steady")
            for growth in fleet.growth:
                searches[f"machines {growth:g}"] = self._machines(growth)
            if len(fleet.group) > 1:
                for group in fleet.group:
                    searches[f"load without {group.name}"] = self._load("loss", group.name)
        searches["now"] = self._single_load(
            Scenario("steady", self.current_load, fleet.machines, 1)
        )
        for group in fleet.group:
            if len(fleet.group) > 1:
                searches[f"loss {group.name}"] = self._single_load(
                    Scenario("loss", self.current_load, fleet.machines, 1, group.name)
                )
            searches[f"cold {group.name}"] = self._single_load(
                Scenario("cold", self.current_load, fleet.machines, 1, group.name)
            )
        searches["replace"] = self._single_load(
            Scenario("replace", self.current_load, fleet.machines, 1)
        )
        for index in range(len(fleet.build)):
            searches[f"build {index}"] = self._single_load(
                Scenario("build", self.current_load, fleet.machines, 1, str(index))
            )
        searches["burst"] = self._burst()
        return searches

    def _with_seeds(self, scenario: Scenario) -> list[Scenario]:
        return [scenario._replace(seed=seed) for seed in range(1, self.seeds + 1)]

    def _holds(self, results: Results) -> bool:
        return meets_goals(list(results.values()), self.goals)

    def _load(self, kind: str, target: str = "") -> Search:
        remaining = 1.0
        if kind == "loss":
            group = next(group for group in self.fleet.group if group.name == target)
            remaining = 1 - group.machines * group.workers * group.speed / self.fleet.capacity
        low, high = (
            0.9 * self.goal_low * remaining,
            min(self.goal_high, self.saturation) * remaining,
        )
        return highest_load(
            low,
            high,
            STEP,
            lambda load: self._with_seeds(Scenario(kind, load, self.fleet.machines, 1, target)),
            self._holds,
            LOAD_FLOOR * self.saturation,
            1.5 * self.saturation,
        )

    def _machines(self, growth: float) -> Search:
        load = self.current_load * growth
        present = self.fleet.machines
        return fewest_machines(
            int(0.9 * present * load / max(self.goal_high, 1e-9)),
            int(1.1 * present * load / max(self.goal_low, 1e-9)) + 1,
            lambda count: self._with_seeds(Scenario("steady", load, count, 1)),
            self._holds,
            present * MAX_MACHINES_FACTOR,
        )

    def _burst(self) -> Search:
        return highest_load(
            0.4 * self.saturation,
            1.05 * self.saturation,
            0.05,
            lambda load: self._with_seeds(Scenario("burst", load, self.fleet.machines, 1)),
            lambda results: burst_drains(list(results.values())),
            0.2 * self.saturation,
            1.4 * self.saturation,
        )

    def _single_load(self, scenario: Scenario) -> Search:
        results = yield self._with_seeds(scenario)
        return list(results.values())

    def run(
        self,
        run_scenarios: Callable[[list[Scenario]], Results],
        results: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        """Run all searches and return their results by name.

        Results are stored in ``results`` as soon as they are there, so that a caller that
        interrupts the run has what was found by then.
        """

        def run_and_record(scenarios: list[Scenario]) -> Results:
            new_results = run_scenarios(scenarios)
            self.run_results.update(new_results)
            return new_results

        return gather(self.searches(), run_and_record, results)

    def curve(self) -> dict[str, list[tuple[float, float]]]:
        """Return the worst profile's share in time by load, fitted by a curve that never rises."""
        by_load: dict[str, dict[float, list[RunResult]]] = {}
        for scenario, result in self.run_results.items():
            if scenario.kind in ("steady", "loss") and scenario.machines == self.fleet.machines:
                name = "all machines" if scenario.kind == "steady" else f"without {scenario.target}"
                by_load.setdefault(name, {}).setdefault(scenario.load, []).append(result)
        return {
            name: [
                (load, round(share, 5))
                for load, share in fit_nonincreasing(
                    [
                        (load, min(share.mid for share in shares(runs)), len(runs))
                        for load, runs in loads.items()
                    ]
                )
            ]
            for name, loads in sorted(by_load.items())
        }

    def report(self, results: dict[str, Any], partial: bool = False) -> dict[str, Any]:
        """Return the plan as the JSON output has it.

        Args:
            results: Results of the searches by name.
            partial: Whether the run was interrupted, so that results may be missing.
        """
        fleet, demand = self.fleet, self.demand
        names = [profile.name for profile in demand.profiles]

        def share(runs: list[RunResult]) -> dict[str, Any]:
            return {
                name: _bounds(_clip_share(interval)) for name, interval in zip(names, shares(runs))
            } | {
                "service": round(sum(result.service for result in runs) / len(runs), 4),
                "rules_broken": sum(result.violations for result in runs),
            }

        thresholds = {
            name: self._threshold(result)
            for name, result in results.items()
            if isinstance(result, Threshold) and not name.startswith("machines")
        }
        search_runs = sum(
            threshold.runs for threshold in results.values() if isinstance(threshold, Threshold)
        )
        scan_runs = sum(
            threshold.scan_runs
            for threshold in results.values()
            if isinstance(threshold, Threshold)
        )
        rows = self._limit_rows(results)
        always = [row["limit"] for row in rows if "reached_at" in row and not row["case"]]
        return {
            "fleet": fleet.name,
            "partial": partial,
            "load_now": _bounds(demand.rate),
            "goals": dict(zip(names, self.goals)),
            "demand": {
                profile.name: {
                    "rate": _bounds(profile.rate),
                    "work_ms": _bounds(profile.work_ms),
                    "work_cv": profile.work_cv,
                    "hint_cv": profile.hint_cv,
                }
                for profile in demand.profiles
            },
            "burstiness": _bounds(demand.burstiness),
            "peak": demand.peak,
            "retries": _bounds(demand.retry_share),
            "assumptions": [*demand.assumptions, *self._assumptions()],
            "first": always[0],
            "runner_up": always[1],
            "limits": rows,
            "goal_breaks_at": thresholds.get("load"),
            "machines": {
                name.partition(" ")[2]: _machine_count(result)
                for name, result in results.items()
                if name.startswith("machines ")
            },
            "now": share(results["now"]) if "now" in results else None,
            "loss": {
                group.name: {
                    "share": share(results[f"loss {group.name}"]),
                    "goal_breaks_at": thresholds.get(f"load without {group.name}"),
                }
                for group in fleet.group
                if f"loss {group.name}" in results
            },
            "cold_return": {
                group.name: share(results[f"cold {group.name}"])
                for group in fleet.group
                if f"cold {group.name}" in results
            },
            "replacement": share(results["replace"]) if "replace" in results else None,
            "bad_builds": [
                {
                    "build": f"{build.fault_kind} {build.size:g}",
                    **share(results[f"build {index}"]),
                    "stages": share_by_stage(results[f"build {index}"][0]),
                    "taken_back": sum(
                        any(row[3] in ("going_back", "withdrawn") for row in result.stages)
                        for result in results[f"build {index}"]
                    )
                    / len(results[f"build {index}"]),
                }
                for index, build in enumerate(fleet.build)
                if f"build {index}" in results
            ],
            "burst_drains_below": thresholds.get("burst"),
            "curve": self.curve(),
            "plays": {
                "searches": search_runs,
                "plain_scan": scan_runs,
                "seeds": self.seeds,
                "step": STEP,
            },
        }

    def _limit_rows(self, results: dict[str, Any]) -> list[dict[str, Any]]:
        """Return the limits in the order in which a growing load reaches them.

        A limit that a search has found by simulation carries that result in place of the closed
        form.
        """
        rows = []
        for limit in self.limits:
            if limit.below:
                continue
            reached, by = limit.reached, "closed form"
            threshold = results.get(
                {"target time": "load", "retry amplification": "burst"}.get(limit.name, "")
            )
            if isinstance(threshold, Threshold):
                reached, by = self._widened(threshold), "plays"
            rows.append(
                {
                    "limit": limit.name,
                    "reached_at": _bounds(reached),
                    "times_now": _round(reached.mid / self.current_load),
                    "by": by,
                    "case": limit.case,
                    "why": limit.why,
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
                "limit": limit.name,
                "reached_below": _bounds(limit.reached),
                "by": "closed form",
                "why": limit.why,
            }
            for limit in self.limits
            if limit.below
        ]

    def _widened(self, threshold: Threshold) -> Interval:
        error = self.demand.work_error
        low, high = (
            threshold.low or 0.0,
            threshold.high if threshold.high is not None else float("inf"),
        )
        return Interval(threshold.mid, low * (1 - error), high * (1 + error))

    def _threshold(self, threshold: Threshold) -> dict[str, Any]:
        reached = self._widened(threshold)
        return {
            "load": _bounds(reached),
            "times_now": _round(reached.mid / self.current_load),
            "held_at": _round(threshold.low),
            "broke_at": _round(threshold.high),
        }

    def _assumptions(self) -> list[str]:
        cpu = self.fleet.front.cpu_us or self.fleet.limits.front_cpu_us
        return [
            f"a query costs a front {cpu:g} us of its core",
            f"clients ask again up to {self.fleet.clients.retries} times, "
            f"{self.fleet.clients.heed:.0%} of them heed advice on when",
            "machines serve their queue in turn, each worker one query at a time",
        ]


def situations(plan: dict[str, Any]) -> list[tuple[str, dict[str, Any]]]:
    """Return the shares in time at the present load for each simulated situation, by its name."""
    rows = [("now", plan["now"]), ("rolling replacement", plan["replacement"])]
    rows += [(f"without {name}", loss["share"]) for name, loss in plan["loss"].items()]
    rows += [(f"{name} returns cold", shares) for name, shares in plan["cold_return"].items()]
    rows += [(f"bad build: {build['build']}", build) for build in plan["bad_builds"]]
    return [(name, shares) for name, shares in rows if shares is not None]


def _clip_share(interval: Interval) -> Interval:
    """Return the interval of a share, limited to between 0 and 1."""
    return Interval(*(min(1.0, max(0.0, value)) for value in interval))


def _machine_count(threshold: Threshold) -> dict[str, Any]:
    return {
        "machines": None if threshold.high is None else int(threshold.high),
        "at_least": int(threshold.low or 0) + 1,
        "plays": threshold.runs,
    }


def _bounds(interval: Interval) -> list[float | None]:
    return [_round(value) for value in interval]


def _round(value: float | None) -> float | None:
    return (
        None
        if value is None or value != value or value in (float("inf"), float("-inf"))
        else float(f"{value:.5g}")
    )

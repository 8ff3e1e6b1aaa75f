"""Searches for limits over simulated runs.

Each search is a generator that yields the scenarios it needs and is sent their results. ``gather``
advances many searches together, which keeps a pool of processes busy. The module does no I/O.
"""

from collections.abc import Callable, Generator, Hashable, Sequence
from math import ceil, log
from typing import Any, NamedTuple

Results = dict[Hashable, Any]  # results of runs by scenario
# Yields scenarios, is sent their results and returns the result of the search.
Search = Generator[list[Hashable], Results, Any]


class Threshold(NamedTuple):
    """The two tried values between which a condition changes.

    In a search for a load the condition holds at ``low`` and fails at ``high``; in a search for
    machines it fails at ``low`` and holds at ``high``. A bound is None if no tried value qualifies.
    """

    low: float | None
    high: float | None
    runs: int
    scan_runs: int  # runs that a linear scan with the same step would have taken

    @property
    def mid(self) -> float:
        if self.low is None or self.high is None:
            return self.high or self.low or 0.0
        return (self.low + self.high) / 2


def gather(
    searches: dict[str, Search],
    run_scenarios: Callable[[list[Hashable]], Results],
    results: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Run the searches together and return their results by name.

    In each round every scenario that any search needs is requested once. Results are stored in
    ``results`` as soon as they are there.
    """
    results = {} if results is None else results
    pending: dict[str, list[Hashable]] = {}
    run_results: Results = {}
    for name, search in searches.items():
        _step(name, search, None, pending, results)
    while pending:
        to_run = list(
            dict.fromkeys(
                scenario
                for scenarios in pending.values()
                for scenario in scenarios
                if scenario not in run_results
            )
        )
        if to_run:
            run_results.update(run_scenarios(to_run))
        for name, scenarios in list(pending.items()):
            del pending[name]
            _step(
                name,
                searches[name],
                {scenario: run_results[scenario] for scenario in scenarios},
                pending,
                results,
            )
    return results


def _step(
    name: str, search: Search, run_results: Results | None, pending: dict, results: dict
) -> None:
    """Advance a search, storing either the scenarios it needs next or its result."""
    try:
        pending[name] = next(search) if run_results is None else search.send(run_results)
    except StopIteration as stop:
        results[name] = stop.value


def highest_load(
    low: float,
    high: float,
    step: float,
    scenarios_for: Callable[[float], list[Hashable]],
    holds: Callable[[Results], bool],
    floor: float,
    ceiling: float,
) -> Search:
    """Search for the highest load that holds, to a relative ``step``.

    ``low`` and ``high`` are a first guess; the bracket is widened within ``floor`` and ``ceiling``
    until it contains the threshold. Up to three loads are requested at once, as runs are parallel.
    """
    runs = 0
    low, high = max(floor, low), min(ceiling, max(high, low * (1 + step)))
    holding: float | None = None
    failing: float | None = None
    while holding is None or failing is None or failing / holding > 1 + step:
        if holding is None and failing is None:
            candidates = _geometric_between(low, high, 3, True)
        elif holding is None:
            if failing <= floor:
                break
            candidates = _geometric_between(max(floor, failing / 2), failing, 3, True)[:-1]
        elif failing is None:
            if holding >= ceiling:
                break
            candidates = _geometric_between(holding, min(ceiling, holding * 1.6), 3, True)[1:]
        else:
            candidates = _geometric_between(holding, failing, 3, False)
        scenarios = {load: scenarios_for(load) for load in candidates}
        run_results = yield [scenario for group in scenarios.values() for scenario in group]
        runs += len(run_results)
        for load in candidates:
            # The lowest load that fails decides: a higher one that holds is ignored.
            if holds({scenario: run_results[scenario] for scenario in scenarios[load]}):
                holding = (
                    max(holding or 0.0, load) if failing is None or load < failing else holding
                )
            else:
                failing = load if failing is None else min(failing, load)
        if holding is not None and failing is not None and holding >= failing:
            holding = max((load for load in candidates if load < failing), default=None)
    steps = ceil(log(max(ceiling, floor * 2) / max(floor, 1e-9)) / log(1 + step))
    runs_per_load = len(scenarios_for(1.0))
    return Threshold(holding, failing, runs, steps * runs_per_load)


def fewest_machines(
    low: int,
    high: int,
    scenarios_for: Callable[[int], list[Hashable]],
    holds: Callable[[Results], bool],
    max_machines: int,
) -> Search:
    """Search for the exact least number of machines that holds.

    ``high`` of the result is None if even ``max_machines`` machines do not.
    """
    runs, failing, holding = 0, 0, None
    low, high = max(1, low), max(1, high)
    while holding is None or holding - failing > 1:
        if holding is None:
            candidates = sorted({max(failing + 1, low), max(failing + 1, min(max_machines, high))})
        else:
            candidates = _integers_between(failing, holding)
        scenarios = {count: scenarios_for(count) for count in candidates}
        run_results = yield [scenario for group in scenarios.values() for scenario in group]
        runs += len(run_results)
        for count in reversed(candidates):
            if holds({scenario: run_results[scenario] for scenario in scenarios[count]}):
                holding = count if holding is None else min(holding, count)
            else:
                failing = max(failing, count)
                break
        if holding is None:
            if failing >= max_machines:
                return Threshold(
                    float(max_machines), None, runs, max_machines * len(scenarios_for(1))
                )
            low, high = failing + 1, min(max_machines, max(failing + 2, round(failing * 1.5)))
        elif failing >= holding:
            # Fewer machines held than a number that failed: the failure decides.
            holding = None
            low, high = failing + 1, min(max_machines, failing + 2)
    return Threshold(float(failing), float(holding), runs, holding * len(scenarios_for(1)))


def _geometric_between(low: float, high: float, count: int, ends: bool) -> list[float]:
    """Return loads at equal ratios, rounded so that different searches request the same loads."""
    steps = count - 1 if ends else count + 1
    ratio = (high / low) ** (1 / steps) if low > 0 else 1.0
    loads = [low * ratio**power for power in range(0 if ends else 1, count if ends else count + 1)]
    return sorted({float(f"{load:.4g}") for load in loads})


def _integers_between(low: int, high: int) -> list[int]:
    """Return up to three whole numbers that divide the range evenly."""
    width = high - low
    return sorted({low + max(1, width * part // 4) for part in (1, 2, 3)} - {high, low}) or [
        low + 1
    ]


def fit_nonincreasing(points: Sequence[tuple[float, float, float]]) -> list[tuple[float, float]]:
    """Fit a curve that never rises to points of (place, value, weight), by least squares.

    Uses the pool adjacent violators algorithm (Ayer 1955).
    """
    blocks: list[list[float]] = []  # value, weight, first place, last place
    for place, value, weight in sorted(points):
        blocks.append([value, weight, place, place])
        while len(blocks) > 1 and blocks[-2][0] < blocks[-1][0]:
            last, previous = blocks.pop(), blocks.pop()
            total = previous[1] + last[1]
            blocks.append(
                [
                    (previous[0] * previous[1] + last[0] * last[1]) / total,
                    total,
                    previous[2],
                    last[3],
                ]
            )
    return [
        (place, next(block[0] for block in blocks if block[2] <= place <= block[3]))
        for place, _, _ in sorted(points)
    ]

"""Runs scenarios on a pool of processes and stores their results.

With the stored results an interrupted plan can be resumed.
"""

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from hashlib import blake2b
from pathlib import Path

import msgspec
import orjson

from umbermoor.lab.fleet import play
from umbermoor.planner.fit import Demand
from umbermoor.planner.questions import RunResult, Scenario, day_for, read_result, replay_arrivals
from umbermoor.planner.search import Results
from umbermoor.planner.sheets import Fleet

_inputs: tuple[Demand, Fleet, list[tuple[int, int]]] | None = None


def _initialize_worker(demand: Demand, fleet: Fleet, arrivals: list[tuple[int, int]]) -> None:
    global _inputs
    os.nice(5)  # yield the CPU to measurements in real time on the same machine
    _inputs = demand, fleet, arrivals


def _run_scenario(scenario: Scenario) -> RunResult:
    demand, fleet, arrivals = _inputs
    day = day_for(scenario, demand, fleet)
    return read_result(play(day, replay=replay_arrivals(day, demand, arrivals)))


class RunPool:
    """A process pool that runs the scenarios of one plan.

    Args:
        demand: The demand estimated from the capture.
        fleet: The fleet to plan for.
        arrivals: Time and profile of each captured query.
        results_file: File to which results are appended and from which they are reused, or None.
            Each line carries a signature of the plan's inputs; lines of other plans are ignored.
        report_progress: Called with the numbers of completed and of requested runs after each run.
        workers: Number of processes; all cores if None.
    """

    def __init__(
        self,
        demand: Demand,
        fleet: Fleet,
        arrivals: list[tuple[int, int]],
        results_file: Path | None = None,
        report_progress: Callable[[int, int], None] = lambda done, requested: None,
        workers: int | None = None,
    ) -> None:
        self._report_progress, self._results_file = report_progress, results_file
        self._signature = blake2b(
            orjson.dumps(
                [
                    list(map(str, demand)),
                    msgspec.json.encode(fleet).decode(),
                    len(arrivals),
                    arrivals[:1] + arrivals[-1:],
                ]
            ),
            digest_size=8,
        ).hexdigest()
        self._results = self._read()
        self._completed = self._requested = 0
        self._pool = ProcessPoolExecutor(
            workers or os.cpu_count() or 1,
            initializer=_initialize_worker,
            initargs=(demand, fleet, arrivals),
        )

    def _read(self) -> dict[Scenario, RunResult]:
        """Read the results of an earlier run of the same plan, skipping truncated lines."""
        results = {}
        if self._results_file is not None and self._results_file.exists():
            for line in self._results_file.read_bytes().splitlines():
                try:
                    signature, scenario, result = msgspec.json.decode(
                        line, type=tuple[str, Scenario, RunResult]
                    )
                except msgspec.MsgspecError:
                    continue
                if signature == self._signature:
                    results[scenario] = result
        return results

    def run(self, scenarios: list[Scenario]) -> Results:
        """Return the results of all scenarios, running those that have none yet."""
        results = {
            scenario: self._results[scenario] for scenario in scenarios if scenario in self._results
        }
        to_run = [scenario for scenario in scenarios if scenario not in results]
        self._requested += len(to_run)
        futures = {self._pool.submit(_run_scenario, scenario): scenario for scenario in to_run}
        for future in as_completed(futures):
            scenario, result = futures[future], future.result()
            results[scenario] = self._results[scenario] = result
            if self._results_file is not None:
                with open(self._results_file, "ab") as file:
                    file.write(msgspec.json.encode((self._signature, scenario, result)) + b"\n")
            self._completed += 1
            self._report_progress(self._completed, self._requested)
        return results

    def close(self) -> None:
        self._pool.shutdown(wait=True, cancel_futures=True)

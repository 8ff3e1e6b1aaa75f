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
from umbermoor.planner.questions import RunResult, Scenario, day_for, read_result, replayed
from umbermoor.planner.search import Answers
from umbermoor.planner.sheets import Fleet

_told: tuple[Demand, Fleet, list[tuple[int, int]]] | None = None


def _tell(demand: Demand, fleet: Fleet, arrivals: list[tuple[int, int]]) -> None:
    global _told
    os.nice(5)  # yield the CPU to measurements in real time on the same machine
    _told = demand, fleet, arrivals


def _play(question: Scenario) -> RunResult:
    demand, fleet, arrivals = _told
    day = day_for(question, demand, fleet)
    return read_result(play(day, replay=replayed(day, demand, arrivals)))


class RunPool:
    """A process pool that runs the scenarios of one plan.

    Args:
        demand: The demand estimated from the capture.
        fleet: The fleet to plan for.
        arrivals: Time and profile of each captured query.
        kept: File to which results are appended and from which they are reused, or None. Each line
            carries a signature of the plan's inputs; lines of other plans are ignored.
        told: Called with the numbers of completed and of requested runs after each run.
        workers: Number of processes; all cores if None.
    """

    def __init__(
        self,
        demand: Demand,
        fleet: Fleet,
        arrivals: list[tuple[int, int]],
        kept: Path | None = None,
        told: Callable[[int, int], None] = lambda done, asked: None,
        workers: int | None = None,
    ) -> None:
        self._told, self._kept = told, kept
        self._sign = blake2b(
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
        self._known = self._read()
        self._done = self._asked = 0
        self._pool = ProcessPoolExecutor(
            workers or os.cpu_count() or 1, initializer=_tell, initargs=(demand, fleet, arrivals)
        )

    def _read(self) -> dict[Scenario, RunResult]:
        """Read the results of an earlier run of the same plan, skipping truncated lines."""
        known = {}
        if self._kept is not None and self._kept.exists():
            for line in self._kept.read_bytes().splitlines():
                try:
                    sign, question, answer = msgspec.json.decode(
                        line, type=tuple[str, Scenario, RunResult]
                    )
                except msgspec.MsgspecError:
                    continue
                if sign == self._sign:
                    known[question] = answer
        return known

    def ask(self, questions: list[Scenario]) -> Answers:
        """Return the results of all scenarios, running those that have none yet."""
        found = {one: self._known[one] for one in questions if one in self._known}
        todo = [one for one in questions if one not in found]
        self._asked += len(todo)
        futures = {self._pool.submit(_play, one): one for one in todo}
        for future in as_completed(futures):
            question, answer = futures[future], future.result()
            found[question] = self._known[question] = answer
            if self._kept is not None:
                with open(self._kept, "ab") as file:
                    file.write(msgspec.json.encode((self._sign, question, answer)) + b"\n")
            self._done += 1
            self._told(self._done, self._asked)
        return found

    def close(self) -> None:
        self._pool.shutdown(wait=True, cancel_futures=True)

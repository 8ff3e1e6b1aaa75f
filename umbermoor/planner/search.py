"""Searches for limits over simulated runs.

Each search is a generator that yields the scenarios it needs and is sent their results. ``gather``
advances many searches together, which keeps a pool of processes busy. The module does no I/O.
"""

from collections.abc import Callable, Generator, Hashable, Sequence
from math import ceil, log
from typing import Any, NamedTuple

Answers = dict[Hashable, Any]
# Yields scenarios, is sent their results and returns the result of the search.
Search = Generator[list[Hashable], Answers, Any]


class Edge(NamedTuple):
    """The two tried values between which a condition changes.

    In a search for a load the condition holds at ``low`` and fails at ``high``; in a search for
    machines it fails at ``low`` and holds at ``high``. A bound is None if no tried value qualifies.
    """

    low: float | None
    high: float | None
    plays: int
    scan: int  # runs that a linear scan with the same step would have taken

    @property
    def mid(self) -> float:
        if self.low is None or self.high is None:
            return self.high or self.low or 0.0
        return (self.low + self.high) / 2


def gather(
    searches: dict[str, Search],
    ask: Callable[[list[Hashable]], Answers],
    found: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Run the searches together and return their results by name.

    In each round every scenario that any search needs is requested once. Results are stored in
    ``found`` as soon as they are there.
    """
    found = {} if found is None else found
    wanted: dict[str, list[Hashable]] = {}
    known: Answers = {}
    for name, search in searches.items():
        _step(name, search, None, wanted, found)
    while wanted:
        todo = list(
            dict.fromkeys(one for some in wanted.values() for one in some if one not in known)
        )
        if todo:
            known.update(ask(todo))
        for name, some in list(wanted.items()):
            del wanted[name]
            _step(name, searches[name], {one: known[one] for one in some}, wanted, found)
    return found


def _step(name: str, search: Search, answers: Answers | None, wanted: dict, found: dict) -> None:
    """Advance a search, storing either the scenarios it needs next or its result."""
    try:
        wanted[name] = next(search) if answers is None else search.send(answers)
    except StopIteration as end:
        found[name] = end.value


def highest_load(
    low: float,
    high: float,
    step: float,
    question: Callable[[float], list[Hashable]],
    holds: Callable[[Answers], bool],
    floor: float,
    ceiling: float,
) -> Search:
    """Search for the highest load that holds, to a relative ``step``.

    ``low`` and ``high`` are a first guess; the bracket is widened within ``floor`` and ``ceiling``
    until it contains the threshold. Up to three loads are requested at once, as runs are parallel.
    """
    plays = 0
    low, high = max(floor, low), min(ceiling, max(high, low * (1 + step)))
    held: float | None = None
    broke: float | None = None
    while held is None or broke is None or broke / held > 1 + step:
        if held is None and broke is None:
            tried = _between(low, high, 3, True)
        elif held is None:
            if broke <= floor:
                break
            tried = _between(max(floor, broke / 2), broke, 3, True)[:-1]
        elif broke is None:
            if held >= ceiling:
                break
            tried = _between(held, min(ceiling, held * 1.6), 3, True)[1:]
        else:
            tried = _between(held, broke, 3, False)
        questions = {load: question(load) for load in tried}
        answers = yield [one for some in questions.values() for one in some]
        plays += len(answers)
        for load in tried:  # the lowest load that fails decides: a higher one that holds is ignored
            if holds({one: answers[one] for one in questions[load]}):
                held = max(held or 0.0, load) if broke is None or load < broke else held
            else:
                broke = load if broke is None else min(broke, load)
        if held is not None and broke is not None and held >= broke:
            held = max((load for load in tried if load < broke), default=None)
    scan = ceil(log(max(ceiling, floor * 2) / max(floor, 1e-9)) / log(1 + step))
    per = len(question(1.0))
    return Edge(held, broke, plays, scan * per)


def fewest_machines(
    low: int,
    high: int,
    question: Callable[[int], list[Hashable]],
    holds: Callable[[Answers], bool],
    most: int,
) -> Search:
    """Search for the exact least number of machines that holds.

    ``high`` of the result is None if even ``most`` machines do not.
    """
    plays, broke, held = 0, 0, None
    low, high = max(1, low), max(1, high)
    while held is None or held - broke > 1:
        if held is None:
            tried = sorted({max(broke + 1, low), max(broke + 1, min(most, high))})
        else:
            tried = _whole_between(broke, held)
        questions = {count: question(count) for count in tried}
        answers = yield [one for some in questions.values() for one in some]
        plays += len(answers)
        for count in reversed(tried):
            if holds({one: answers[one] for one in questions[count]}):
                held = count if held is None else min(held, count)
            else:
                broke = max(broke, count)
                break
        if held is None:
            if broke >= most:
                return Edge(float(most), None, plays, most * len(question(1)))
            low, high = broke + 1, min(most, max(broke + 2, round(broke * 1.5)))
        elif broke >= held:  # a smaller number held than one that failed: the failure decides
            held = None
            low, high = broke + 1, min(most, broke + 2)
    return Edge(float(broke), float(held), plays, held * len(question(1)))


def _between(low: float, high: float, count: int, ends: bool) -> list[float]:
    """Return loads at equal ratios, rounded so that different searches request the same loads."""
    steps = count - 1 if ends else count + 1
    ratio = (high / low) ** (1 / steps) if low > 0 else 1.0
    some = [low * ratio**at for at in range(0 if ends else 1, count if ends else count + 1)]
    return sorted({float(f"{one:.4g}") for one in some})


def _whole_between(low: int, high: int) -> list[int]:
    """Return up to three whole numbers that divide the range evenly."""
    width = high - low
    return sorted({low + max(1, width * part // 4) for part in (1, 2, 3)} - {high, low}) or [
        low + 1
    ]


def falling(points: Sequence[tuple[float, float, float]]) -> list[tuple[float, float]]:
    """Fit a curve that never rises to points of (place, value, weight), by least squares.

    Uses the pool adjacent violators algorithm (Ayer 1955).
    """
    blocks: list[list[float]] = []  # value, weight, first place, last place
    for place, value, weight in sorted(points):
        blocks.append([value, weight, place, place])
        while len(blocks) > 1 and blocks[-2][0] < blocks[-1][0]:
            last, one = blocks.pop(), blocks.pop()
            total = one[1] + last[1]
            blocks.append([(one[0] * one[1] + last[0] * last[1]) / total, total, one[2], last[3]])
    return [
        (place, next(block[0] for block in blocks if block[2] <= place <= block[3]))
        for place, _, _ in sorted(points)
    ]

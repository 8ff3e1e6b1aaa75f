"""Whether a history of calls may have been one call after another: a register of numbered contents,
checked slowly.

A history is a list of `Op`, each with the times between which it was under way. Source: Herlihy and
Wing, Linearizability (1990); the search is Wing and Gong's (1993), with what was tried remembered.
The register is a plain model of what PROTOCOL.md says, written without a look at the program:
numbers rise, a number has one content for good.
"""

import math
from dataclasses import dataclass
from typing import Any

NEVER = math.inf


@dataclass(frozen=True)
class Op:
    """A put of (number, content), or a read (number None). `told`: taken, same, older, clash; what
    was read, None for nothing; "unknown" where there was no clear answer: it may take effect at any
    time after it began, or never."""

    began: float
    ended: float
    number: int | None
    content: Any
    told: Any

    def __str__(self) -> str:
        what = "read" if self.number is None else f"put {self.number} {self.content}"
        return f"{self.began}..{self.ended} {what}: {self.told}"


Held = tuple[tuple[int, Any], ...]  # all that ever stood, by number


def put(held: Held, number: int, content: Any) -> tuple[str, Held]:
    """What a put comes to, and what stands then."""
    if not held or number > held[-1][0]:
        return "taken", (*held, (number, content))
    known = dict(held)
    if number not in known:
        return "older", held
    return ("same" if known[number] == content else "clash"), held


def fits(held: Held, op: Op) -> Held | None:
    """What stands after the call, if it may have come to what was told; None if it may not."""
    if op.number is None:
        return held if op.told == (held[-1] if held else None) else None
    outcome, after = put(held, op.number, op.content)
    return after if op.told in ("unknown", outcome) else None


def broken(history: list[Op]) -> list[Op] | None:
    """None if there is an order; else the calls that were under way, or next, where the search got
    farthest.

    Three things keep the search small, and lose no order: a call that changes nothing and fits
    comes at once; a number that some answer says stood is not passed over; of orders without answer
    that no answer shows, only the least that makes another older is tried.
    """
    known = sorted((op for op in history if op.told != "unknown"), key=lambda op: op.began)
    stood = {op.told[0] for op in known if op.number is None and op.told}
    stood = sorted(
        stood | {op.number for op in known if op.number is not None and op.told != "older"}
    )
    first: dict[tuple[int, Any], Op] = {}
    for op in sorted(
        (op for op in history if op.told == "unknown" and op.number is not None),
        key=lambda op: op.began,
    ):
        first.setdefault((op.number, op.content), op)
    shows = [op for op in first.values() if op.number in stood]
    never = {op.number for op in known if op.told == "older"}  # had it stood, it would be known
    hidden = sorted(
        (op for op in first.values() if op.number not in {*stood, *never}), key=lambda op: op.number
    )
    tried: set[tuple[int, frozenset[int], Held]] = set()
    farthest, shown = -1, []
    stack: list[tuple[int, frozenset[int], Held]] = [
        (0, frozenset(), ())
    ]  # all before the index done, and these
    while stack:
        at, done, held = stack.pop()
        while at < len(known) and at in done:
            done, at = done - {at}, at + 1
        if at == len(known):
            return None
        if (at, done, held) in tried:
            continue
        tried.add((at, done, held))
        left = [n for n in range(at, len(known)) if n not in done]
        until = min(known[n].ended for n in left)
        ready = [n for n in left if known[n].began <= until]
        if at + len(done) > farthest:
            farthest, shown = at + len(done), [known[n] for n in ready]
        after = [(n, fits(held, known[n])) for n in ready]
        if still := [n for n, then in after if then == held]:
            stack.append((at, done | set(still), held))
            continue
        top = held[-1][0] if held else -1
        due = next(
            (number for number in stood if number > top), math.inf
        )  # this one comes before any above it
        older = [
            known[n].number for n in ready if known[n].told == "older" and known[n].number > top
        ]
        least = (
            next((op for op in hidden if op.number > number and op.began <= until), None)
            for number in older
        )
        for op in (*(op for op in shows if op.number == due), *dict.fromkeys(filter(None, least))):
            if op.began <= until and top < op.number <= due:
                stack.append((at, done, (*held, (op.number, op.content))))
        for n, then in reversed(after):
            if then is not None and then[-1][0] <= due:
                stack.append((at, done | {n}, then))
    return shown

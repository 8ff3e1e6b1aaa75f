"""Linearizability checker for histories of calls to a register of numbered contents.

A history is a list of `Operation`, each with the interval in which it was in progress. Source:
Herlihy and Wing, Linearizability (1990); the search is the exhaustive one of Wing and Gong (1993)
with memoized states. The register is a simple model of PROTOCOL.md, written independently of the
implementation: revisions increase, and a revision never changes its content.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

NEVER = math.inf

# Results of a put, with the values used on the wire
ACCEPTED = "taken"
UNCHANGED = "same"
STALE = "older"
CONFLICT = "clash"
# No conclusive answer: the put may take effect at any time after it began, or never
UNKNOWN = "unknown"


@dataclass(frozen=True)
class Operation:
    """A put of (revision, content), or a read (revision None).

    For a put, `result` is one of the constants above; for a read, it is the pair that was read, or
    None if the register was empty.
    """

    began: float
    ended: float
    revision: int | None
    content: Any
    result: Any

    def __str__(self) -> str:
        call = "read" if self.revision is None else f"put {self.revision} {self.content}"
        return f"{self.began}..{self.ended} {call}: {self.result}"


State = tuple[tuple[int, Any], ...]  # all contents that were ever in force, by increasing revision


def apply_put(state: State, revision: int, content: Any) -> tuple[str, State]:
    """Return the result of a put and the state after it."""
    if not state or revision > state[-1][0]:
        return ACCEPTED, (*state, (revision, content))
    contents = dict(state)
    if revision not in contents:
        return STALE, state
    return (UNCHANGED if contents[revision] == content else CONFLICT), state


def apply_operation(state: State, operation: Operation) -> State | None:
    """Return the state after an operation; None if it cannot have its result in `state`."""
    if operation.revision is None:
        newest = state[-1] if state else None
        return state if operation.result == newest else None
    result, after = apply_put(state, operation.revision, operation.content)
    return after if operation.result in (UNKNOWN, result) else None


def find_violation(history: list[Operation]) -> list[Operation] | None:
    """Return None if the history is linearizable.

    Otherwise return the candidates at the point where the search got farthest: the operations that
    could be linearized next by their times, none of which fits the state.
    """
    return _Search(history).run()


@dataclass(frozen=True)
class _Position:
    """A node of the search: operations before `index` and those in `done` are linearized."""

    index: int
    done: frozenset[int]
    state: State


class _Search:
    """Depth-first search for a valid order of the operations.

    Three rules prune the search without losing a valid order: an operation that fits and does not
    change the state is linearized at once; a revision that some result proves to have been in force
    is not skipped; of the puts with an unknown result that no other result proves, only the one
    with the lowest revision that makes another put stale is tried.
    """

    def __init__(self, history: list[Operation]) -> None:
        completed = [operation for operation in history if operation.result != UNKNOWN]
        self._completed = sorted(completed, key=_by_begin)
        self._revisions_proven = _revisions_proven(self._completed)
        unknown = _first_unknown_puts(history)
        self._pending_proven = [op for op in unknown if op.revision in self._revisions_proven]
        # A revision for which any put was answered as stale was never in force: otherwise the
        # answer would have been UNCHANGED or CONFLICT.
        stale = {op.revision for op in self._completed if op.result == STALE}
        self._pending_unproven = sorted(
            (op for op in unknown if op.revision not in {*self._revisions_proven, *stale}),
            key=_revision,
        )
        self._visited: set[_Position] = set()
        self._stack = [_Position(0, frozenset(), ())]
        self._farthest = -1
        self._stuck_at: list[Operation] = []

    def run(self) -> list[Operation] | None:
        """Return None if an order was found, else the operations at which the search got stuck."""
        while self._stack:
            position = self._skip_done(self._stack.pop())
            if position.index == len(self._completed):
                return None
            if position not in self._visited:
                self._visited.add(position)
                self._expand(position)
        return self._stuck_at

    @staticmethod
    def _skip_done(position: _Position) -> _Position:
        index, done = position.index, position.done
        while index in done:
            done, index = done - {index}, index + 1
        return _Position(index, done, position.state)

    def _expand(self, position: _Position) -> None:
        index, done, state = position.index, position.done, position.state
        remaining = [n for n in range(index, len(self._completed)) if n not in done]
        first_end = min(self._completed[n].ended for n in remaining)
        ready = [n for n in remaining if self._completed[n].began <= first_end]
        if index + len(done) > self._farthest:
            self._farthest = index + len(done)
            self._stuck_at = [self._completed[n] for n in ready]
        after = [(n, apply_operation(state, self._completed[n])) for n in ready]
        unchanged = [n for n, next_state in after if next_state == state]
        if unchanged:
            self._stack.append(_Position(index, done | set(unchanged), state))
            return
        newest = state[-1][0] if state else -1
        due = next((number for number in self._revisions_proven if number > newest), math.inf)
        for operation in self._unknown_candidates(ready, newest, due, first_end):
            next_state = (*state, (_revision(operation), operation.content))
            self._stack.append(_Position(index, done, next_state))
        for n, changed in reversed(after):
            if changed is not None and changed[-1][0] <= due:
                self._stack.append(_Position(index, done | {n}, changed))

    def _unknown_candidates(
        self, ready: list[int], newest: int, due: float, first_end: float
    ) -> Iterable[Operation]:
        """Yield the puts with an unknown result that may take effect next."""
        stale = [
            _revision(self._completed[n])
            for n in ready
            if self._completed[n].result == STALE and _revision(self._completed[n]) > newest
        ]
        lowest = (self._lowest_unproven_above(revision, first_end) for revision in stale)
        proven = [op for op in self._pending_proven if op.revision == due]
        for operation in (*proven, *dict.fromkeys(filter(None, lowest))):
            if operation.began <= first_end and newest < _revision(operation) <= due:
                yield operation

    def _lowest_unproven_above(self, revision: int, first_end: float) -> Operation | None:
        above = (
            op
            for op in self._pending_unproven
            if _revision(op) > revision and op.began <= first_end
        )
        return next(above, None)


def _by_begin(operation: Operation) -> float:
    return operation.began


def _revision(operation: Operation) -> int:
    """Return the revision of a put."""
    if operation.revision is None:
        raise TypeError(f"a read has no revision: {operation}")
    return operation.revision


def _revisions_proven(completed: list[Operation]) -> list[int]:
    """Return, in increasing order, the revisions that results prove to have been in force."""
    read = {op.result[0] for op in completed if op.revision is None and op.result}
    put = {_revision(op) for op in completed if op.revision is not None and op.result != STALE}
    return sorted(read | put)


def _first_unknown_puts(history: list[Operation]) -> list[Operation]:
    """Return the earliest of each set of unknown puts with the same revision and content."""
    puts = [op for op in history if op.result == UNKNOWN and op.revision is not None]
    first: dict[tuple[int, Any], Operation] = {}
    for operation in sorted(puts, key=_by_begin):
        first.setdefault((_revision(operation), operation.content), operation)
    return list(first.values())

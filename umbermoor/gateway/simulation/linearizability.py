"""Whether a history of calls to a register of numbered contents is linearizable: full search.

A history is a list of `Operation`, each with the times between which it was in progress. Source:
Herlihy and Wing, Linearizability (1990); the search is Wing and Gong's (1993), with visited states
remembered. The register is a plain model of what PROTOCOL.md says, written without a look at the
program: revisions rise, and a revision has one content for good.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

NEVER = math.inf

# Results of a put, by the names that they have on the wire
ACCEPTED = "taken"
UNCHANGED = "same"
STALE = "older"
CONFLICT = "clash"
UNKNOWN = "unknown"  # no clear answer: it may take effect at any time after it began, or never


@dataclass(frozen=True)
class Operation:
    """A put of (revision, content), or a read (revision None).

    `result` is one of the constants above for a put; for a read, the pair that was read, or None
    for nothing.
    """

    began: float
    ended: float
    revision: int | None
    content: Any
    result: Any

    def __str__(self) -> str:
        call = "read" if self.revision is None else f"put {self.revision} {self.content}"
        return f"{self.began}..{self.ended} {call}: {self.result}"


State = tuple[tuple[int, Any], ...]  # all contents that ever stood, by rising revision


def apply_put(state: State, revision: int, content: Any) -> tuple[str, State]:
    """The result of a put, and the state after it."""
    if not state or revision > state[-1][0]:
        return ACCEPTED, (*state, (revision, content))
    contents = dict(state)
    if revision not in contents:
        return STALE, state
    return (UNCHANGED if contents[revision] == content else CONFLICT), state


def apply_operation(state: State, operation: Operation) -> State | None:
    """The state after an operation that had its result in `state`; None if it cannot have."""
    if operation.revision is None:
        newest = state[-1] if state else None
        return state if operation.result == newest else None
    result, after = apply_put(state, operation.revision, operation.content)
    return after if operation.result in (UNKNOWN, result) else None


def find_violation(history: list[Operation]) -> list[Operation] | None:
    """None if the history is linearizable; else where the search got farthest.

    That is the list of operations that were in progress, or next, of which none could come next.
    """
    return _Search(history).run()


@dataclass(frozen=True)
class _Position:
    """A node of the search: all known operations before `index` are done, and those in `done`."""

    index: int
    done: frozenset[int]
    state: State


class _Search:
    """Depth-first search for an order of the operations.

    Three things keep it small, and lose no order: an operation that changes nothing and fits comes
    at once; a revision that some result shows to have stood is not passed over; of puts with an
    unknown result that no result shows, only the least that makes another stale is tried.
    """

    def __init__(self, history: list[Operation]) -> None:
        known = [operation for operation in history if operation.result != UNKNOWN]
        self._known = sorted(known, key=_by_begin)
        self._revisions_seen = _revisions_seen(self._known)
        unknown = _first_unknown_puts(history)
        self._shown = [op for op in unknown if op.revision in self._revisions_seen]
        # Had a revision stood that was answered as stale, the answer would have been another.
        stale = {op.revision for op in self._known if op.result == STALE}
        self._hidden = sorted(
            (op for op in unknown if op.revision not in {*self._revisions_seen, *stale}),
            key=_revision,
        )
        self._visited: set[_Position] = set()
        self._stack = [_Position(0, frozenset(), ())]
        self._farthest = -1
        self._stuck_at: list[Operation] = []

    def run(self) -> list[Operation] | None:
        """None, or the operations at which it stuck."""
        while self._stack:
            position = self._skip_done(self._stack.pop())
            if position.index == len(self._known):
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
        remaining = [n for n in range(index, len(self._known)) if n not in done]
        first_end = min(self._known[n].ended for n in remaining)
        ready = [n for n in remaining if self._known[n].began <= first_end]
        if index + len(done) > self._farthest:
            self._farthest = index + len(done)
            self._stuck_at = [self._known[n] for n in ready]
        after = [(n, apply_operation(state, self._known[n])) for n in ready]
        unchanged = [n for n, next_state in after if next_state == state]
        if unchanged:
            self._stack.append(_Position(index, done | set(unchanged), state))
            return
        newest = state[-1][0] if state else -1
        due = next((number for number in self._revisions_seen if number > newest), math.inf)
        for operation in self._unknown_candidates(ready, newest, due, first_end):
            next_state = (*state, (_revision(operation), operation.content))
            self._stack.append(_Position(index, done, next_state))
        for n, changed in reversed(after):
            if changed is not None and changed[-1][0] <= due:
                self._stack.append(_Position(index, done | {n}, changed))

    def _unknown_candidates(
        self, ready: list[int], newest: int, due: float, first_end: float
    ) -> Iterable[Operation]:
        """Puts with an unknown result that may take effect next."""
        stale = [
            _revision(self._known[n])
            for n in ready
            if self._known[n].result == STALE and _revision(self._known[n]) > newest
        ]
        least = (self._least_hidden_above(revision, first_end) for revision in stale)
        shown = [op for op in self._shown if op.revision == due]
        for operation in (*shown, *dict.fromkeys(filter(None, least))):
            if operation.began <= first_end and newest < _revision(operation) <= due:
                yield operation

    def _least_hidden_above(self, revision: int, first_end: float) -> Operation | None:
        above = (op for op in self._hidden if _revision(op) > revision and op.began <= first_end)
        return next(above, None)


def _by_begin(operation: Operation) -> float:
    return operation.began


def _revision(operation: Operation) -> int:
    """The revision of a put."""
    if operation.revision is None:
        raise TypeError(f"a read has no revision: {operation}")
    return operation.revision


def _revisions_seen(known: list[Operation]) -> list[int]:
    """The revisions that some result shows to have stood, rising."""
    read = {op.result[0] for op in known if op.revision is None and op.result}
    put = {_revision(op) for op in known if op.revision is not None and op.result != STALE}
    return sorted(read | put)


def _first_unknown_puts(history: list[Operation]) -> list[Operation]:
    """Of puts of the same content with unknown results, the earliest."""
    puts = [op for op in history if op.result == UNKNOWN and op.revision is not None]
    first: dict[tuple[int, Any], Operation] = {}
    for operation in sorted(puts, key=_by_begin):
        first.setdefault((_revision(operation), operation.content), operation)
    return list(first.values())

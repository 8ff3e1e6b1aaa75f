"""Figures of a whole fleet from the logs of its fronts, without I/O.

Some effects show only over all fronts, such as how long a change takes to reach every front. Reads
the key=value lines that fronts write (logs.py); a line in another format is counted and skipped.
Memory grows with the fronts, the distinct changes and events, and the seconds, not with the lines.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

_PAIR = re.compile(r'([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|\S*)(?: |$)')
_ESCAPE = re.compile(r"\\(.)")
# Events that report a change to every front, with the fields that identify the change.
CHANGES = {
    "stage": ("build", "stage", "phase"),
    "list": ("version",),
}
COUNTED_EVENTS = (
    "machine lost",
    "vote not counted",
    "list not read",
    "stream lost",
    "complaint",
    "up",
    "start",
    "end",
    "drain",
    "event not read",
)


def parse_line(line: str) -> dict[str, str] | None:
    """Return the key=value pairs of a line, or None if it is not a log line of a front."""
    line = line.rstrip("\n")
    # A log collector may have put a prefix before the line.
    fields, position = {}, max(0, line.find("at="))
    while position < len(line):
        match = _PAIR.match(line, position)
        if match is None:
            return None
        name, value = match.groups()
        if value[:1] == '"':
            value = _ESCAPE.sub(lambda escape: "\n" if escape[1] == "n" else escape[1], value[1:-1])
        fields[name], position = value, match.end()
    return fields if "at" in fields and "what" in fields else None


class Spread(NamedTuple):
    """When a change reached the fronts: times in seconds, by the fronts' own clocks."""

    first: float
    last: float
    fronts: int


class FleetLog:
    """Sums over the log lines of all fronts."""

    def __init__(self) -> None:
        self.fronts: set[str] = set()
        self.unread = 0  # lines that are not in the format of a front's log
        self.counts: Counter[str] = Counter()  # sums of the counters that fronts log
        self.events: Counter[str] = Counter()
        self.votes: Counter[tuple[int, str]] = Counter()  # by second and verdict
        self.lost: Counter[str] = Counter()  # by machine
        self.by_front: dict[str, Counter[str]] = defaultdict(Counter)
        self._changes: dict[tuple[str, ...], dict[str, float]] = defaultdict(dict)
        self.first_at = self.last_at = 0.0

    def read(self, front: str, lines: Iterable[str]) -> None:
        """Add the log lines of a front."""
        self.fronts.add(front)
        for line in lines:
            if (fields := parse_line(line)) is None:
                self.unread += bool(line.strip())
                continue
            try:
                self._count(front, float(fields["at"]), fields)
            except ValueError:
                self.unread += 1

    def _count(self, front: str, at: float, fields: dict[str, str]) -> None:
        what = fields["what"]
        self.first_at, self.last_at = min(self.first_at or at, at), max(self.last_at, at)
        if what == "counts":
            for name, value in fields.items():
                if name not in ("at", "level", "in", "what"):
                    self.counts[name] += int(value)
                    self.by_front[front][name] += int(value)
        elif what == "vote":
            self.votes[int(at), fields.get("verdict", "")] += 1
        elif what in CHANGES:
            key = what, *(fields.get(name, "") for name in CHANGES[what])
            self._changes[key].setdefault(front, at)
        elif what in COUNTED_EVENTS:
            self.events[" ".join([what, fields.get("ending", "")]).strip()] += 1
            if what == "machine lost":
                self.lost[fields.get("machine", "")] += 1
        elif fields.get("level") == "error":
            self.events[f"error: {what}"] += 1

    def changes(self, what: str) -> Iterator[tuple[tuple[str, ...], Spread]]:
        """Yield the changes of a kind ("stage" or "list"), ordered by when the first front had them.

        Each comes with the values of its identifying fields.
        """
        changes_found = [
            (key[1:], Spread(min(at.values()), max(at.values()), len(at)))
            for key, at in self._changes.items()
            if key[0] == what
        ]
        yield from sorted(changes_found, key=lambda change: change[1].first)

    def figures(self) -> dict[str, Any]:
        """Return all figures as plain data; seconds count from the first line of any front."""
        since = self.first_at
        return {
            "fronts": len(self.fronts),
            "seconds": round(self.last_at - since, 3),
            "unread": self.unread,
            "counts": dict(sorted(self.counts.items())),
            "events": dict(self.events.most_common()),
            "votes": {
                verdict: sum(n for (_, cast), n in self.votes.items() if cast == verdict)
                for verdict in sorted({verdict for _, verdict in self.votes})
            },
            "votes in one second": max(
                (
                    sum(n for (at, _), n in self.votes.items() if at == second)
                    for second in {second for second, _ in self.votes}
                ),
                default=0,
            ),
            "machines lost": dict(self.lost.most_common(10)),
            "stages": [
                [
                    *key,
                    round(spread.first - since, 3),
                    round(spread.last - spread.first, 3),
                    spread.fronts,
                ]
                for key, spread in self.changes("stage")
            ],
            "lists": [
                [
                    *key,
                    round(spread.first - since, 3),
                    round(spread.last - spread.first, 3),
                    spread.fronts,
                ]
                for key, spread in self.changes("list")
            ],
            "most asked": [
                [front, counts["asked"]]
                for front, counts in sorted(
                    self.by_front.items(), key=lambda item: -item[1]["asked"]
                )[:3]
            ],
        }

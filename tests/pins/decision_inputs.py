"""Writes input lines for the adapter, recorded from days of the laboratory.

    python -m tests.pins.decision_inputs

Every call on a front's decision module during a day becomes one event of the simulator's protocol;
a batch ends where the module is asked for its decisions. Days are played with few queries, so that
a file covers a whole day with its releases and faults.
"""

import gzip
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

import orjson
from msgspec import structs

from tests.pins.decisions import FOLDER, SUFFIX
from umbermoor.front.interface import Entry, Listing, News
from umbermoor.front.rules import Front
from umbermoor.lab import fleet
from umbermoor.lab.day import read_day
from umbermoor.lab.virtual import front as virtual_front

DAYS = ("burst", "failing-build", "good-build", "lost-group", "silent", "wrong-build", "vast-sick")
QUERIES_A_SECOND = 25.0
MAX_BATCHES = 20_000
HINTED, REPEATED = 1, 2  # bits of a query


def ms(us: int | None) -> float | None:
    """Return microseconds as the protocol's milliseconds."""
    return None if us is None else us / 1000


def _entry(entry: Entry) -> list[Any]:
    return [
        entry.build, entry.machine, entry.zone, None, entry.cell, int(entry.readiness),
        entry.size, ms(entry.born),
    ]  # fmt: skip


def _query(query, profile, key, due, cost, repeated) -> list[Any]:
    bits = (HINTED if cost is not None else 0) | (REPEATED if repeated else 0)
    return ["call", query, profile, None, key, ms(due), ms(cost), bits]


def _ended(query, number, machine, ending, took, closed) -> list[Any]:
    return ["answer", query, number, machine, int(ending), ms(took), closed, None]


def _news(news: News) -> list[Any]:
    return [
        "ship_state", news.build, news.stage, int(news.phase), news.answers_vote,
        int(news.ending), news.cap, ms(news.age),
    ]  # fmt: skip


# Calls on the decision module by name: what writes the event. Lists of machines are separate items.
EVENTS: dict[str, Callable[..., list[Any]]] = {
    "take_query": _query,
    "hand_off_ended": _ended,
    "stream_started": lambda query, number: ["ack_first", query, number, None, None],
    "client_left": lambda query: ["timed_out_client", query],
    "release_news": _news,
    "tally": lambda build, profile, counted, lost, took, age: [
        "metrics", profile, counted, build, ms(age), lost, ms(took),
    ],
    "complaint": lambda machine, profile, age: ["bad_answer", profile, ms(age), machine],
    "probe_ended": lambda machine, ending, load: ["echo", None, machine, int(ending), load],
    "peer_message": lambda peer, payload: ["neighbour_says", peer, payload.hex()],
    "woken": lambda: ["ring", None],
}  # fmt: skip


class Batches:
    """Collects the input lines of one day."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self._items: list[list[Any]] = []
        self._now = 0
        self._numbers: dict[int, int] = {}  # of fronts, by id()
        self._fronts: list[Front] = []  # keeps fronts alive, so that no id() is used again
        self._lists = 0

    def attach(self, front: Front, seed: int, settings: dict[str, Any]) -> None:
        """Record the start of a front."""
        self._fronts.append(front)
        number = self._numbers[id(front)] = len(self._fronts)
        self._items.append(["attach", number, seed, settings])

    def call(self, front: Front, now: int, name: str, values: tuple[Any, ...]) -> None:
        """Record a call on a front's decision module."""
        self._at(now)
        number = self._numbers[id(front)]
        if name == "list_news":
            kind, entries = values
            self._lists += 1
            self._items.append(["ledger", self._lists, [_entry(entry) for entry in entries]])
            self._items.append(["discovery", number, None, self._lists, int(Listing(kind))])
        else:
            event = EVENTS[name](*values)
            self._items.append([event[0], number, *event[1:]])

    def close(self) -> None:
        """End the batch."""
        if self._items and len(self.lines) < MAX_BATCHES:
            batch = {"at_time_ms": self._now / 1000, "n": len(self.lines), "items": self._items}
            self.lines.append(orjson.dumps(batch))
        self._items = []

    def _at(self, now: int) -> None:
        if now != self._now:
            self.close()
            self._now = now


def batches_of(name: str) -> list[bytes]:
    """Return the first input lines of a day of the laboratory."""
    batches, started = Batches(), []
    with ExitStack() as hooks:
        read_start_settings, start, decide = (
            virtual_front.read_start_settings,
            Front.__init__,
            Front.decide,
        )

        def read(seed: int, settings: dict[str, Any]) -> Any:
            started.append((seed, settings))
            return read_start_settings(seed, settings)

        def recorded_start(front: Front, charter: Any) -> None:
            start(front, charter)
            batches.attach(front, *started[-1])

        def recorded_decide(front: Front, now: int) -> Any:
            batches.close()
            return decide(front, now)

        hooks.enter_context(patch.object(virtual_front, "read_start_settings", read))
        hooks.enter_context(patch.object(Front, "__init__", recorded_start))
        hooks.enter_context(patch.object(Front, "decide", recorded_decide))
        for call in (*EVENTS, "list_news"):
            hooks.enter_context(patch.object(Front, call, _recorded(batches, call)))
        day = read_day(name)
        load = structs.replace(day.load, rate=QUERIES_A_SECOND)
        fleet.play(day.changed(load=load), None)
    batches.close()
    return batches.lines


def _recorded(batches: Batches, name: str) -> Callable[..., None]:
    method = getattr(Front, name)

    def recorded(front: Front, now: int, *values: Any) -> None:
        batches.call(front, now, name, values)
        method(front, now, *values)

    return recorded


def write(name: str, lines: Iterable[bytes]) -> None:
    """Store input lines compressed, with the same bytes at each run."""
    data = b"".join(line + b"\n" for line in lines)
    (FOLDER / (name + SUFFIX)).write_bytes(gzip.compress(data, 9, mtime=0))


def main() -> None:
    """Write all files of input lines."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for day in DAYS:
        lines = batches_of(day)
        write(day, lines)
        print(f"{day}: {len(lines)} batches, {sum(map(len, lines))} bytes")


if __name__ == "__main__":
    main()

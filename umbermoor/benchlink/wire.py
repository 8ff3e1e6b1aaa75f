"""The simulator's protocol: one JSON line per batch in, one JSON line per reply out."""

from collections.abc import Callable
from typing import Any, BinaryIO, TextIO

import orjson

from umbermoor.front.interface import Do, Ending, Entry, Listing, News, Phase, Readiness
from umbermoor.front.rules import Front
from umbermoor.front.start_settings import micros, read_start_settings

Row = list[Any]

_HINT_BIT, _REPEAT_BIT = 1, 2


class Malformed(Exception):
    """Raised for a batch that does not follow the protocol."""


def _entry(row: Row) -> Entry:
    build, machine, zone, _kind, cell, readiness, size, born = (*row, *[None] * 8)[:8]
    return Entry(
        machine, build, zone or 0, cell or 0, Readiness(readiness), size or 1.0, micros(born)
    )


def _query(row: Row) -> Row:
    query, profile, _customer, key, due, cost, bits = row
    hinted = cost is not None and (bits or 0) & _HINT_BIT
    return [
        query,
        profile,
        key,
        micros(due),
        micros(cost) if hinted else None,
        bool((bits or 0) & _REPEAT_BIT),
    ]


def _ended(row: Row) -> Row:
    query, number, machine, ending, took, closed, _load = row
    return [query, number, machine, Ending(ending), micros(took), bool(closed)]


def _news(row: Row) -> Row:
    build, stage, phase, asked, ending, cap, age = row
    return [
        News(
            build or 0,
            stage or 0,
            Phase(phase or 0),
            cap or 0.0,
            micros(age),
            bool(asked),
            Ending(ending or 0),
        )
    ]


# Events by name: the number of values after the instance's number, the call, and what reads its
# arguments from the values.
EVENTS: dict[str, tuple[int, Callable[..., None], Callable[[Row], Row]]] = {
    "call": (7, Front.take_query, _query),
    "answer": (7, Front.hand_off_ended, _ended),
    "ack_first": (4, Front.stream_started, lambda row: row[:2]),
    "timed_out_client": (1, Front.client_left, lambda row: row),
    "ship_state": (7, Front.release_news, _news),
    "metrics": (
        6,
        Front.tally,
        lambda row: [row[2], row[0], row[1] or 0, row[4] or 0, micros(row[5]), micros(row[3])],
    ),
    "bad_answer": (3, Front.complaint, lambda row: [row[2], row[0], micros(row[1])]),
    "echo": (4, Front.probe_ended, lambda row: [row[1], Ending(row[2]), row[3]]),
    "neighbour_says": (2, Front.peer_message, lambda row: [row[0], bytes.fromhex(row[1])]),
    "ring": (1, Front.woken, lambda row: []),
}

# Decisions by kind: what writes the message of instance i.
MESSAGES: dict[Do, Callable[..., Row]] = {
    Do.HAND_OFF: lambda i, query, machine, limit: ["send", i, query, machine, limit / 1000],
    Do.CANCEL: lambda i, query, number: ["abort_attempt", i, query, number],
    Do.DENY: lambda i, query, wait: ["not_now", i, query, wait / 1000],
    Do.ABANDON: lambda i, query: ["surrender", i, query],
    Do.VOTE: lambda i, build, stage, verdict: ["vote", i, build, stage, int(verdict)],
    Do.WATCH: lambda i: ["subscribe", i, True],
    Do.PROBE: lambda i, machine: ["sound_out", i, machine],
    Do.TELL: lambda i, payload, peer: ["write_peer", i, peer, payload.hex()],
    Do.WAKE: lambda i, moment: ["after", i, 0, moment / 1000],
    Do.NOTE: lambda i, text: ["record", i, text],
}


class Adapter:
    """The fronts that this process hosts, and the lists of machines, by their numbers."""

    def __init__(self) -> None:
        self.fronts: dict[int, Front] = {}
        self.machine_lists: dict[int, list[Entry]] = {}

    def reply(self, line: bytes) -> bytes:
        """Return the reply to a batch.

        Raises:
            Malformed: the batch or one of its events does not follow the protocol.
            orjson.JSONDecodeError: the line is not JSON.
        """
        batch = orjson.loads(line)
        if not isinstance(batch, dict) or not isinstance(batch.get("items"), list):
            raise Malformed("not an object with an array 'items'")
        if not isinstance(batch.get("n"), int) or not isinstance(
            batch.get("at_time_ms"), (int, float)
        ):
            raise Malformed("no whole number 'n' or no clock 'at_time_ms'")
        now, commands, notified = micros(batch["at_time_ms"]), [], {}
        for event in batch["items"]:
            if not isinstance(event, list) or not event or not isinstance(event[0], str):
                raise Malformed(f"an event is not an array that opens with its name: {event!r:.80}")
            try:
                number, call, values = self._read(event)
            except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
                raise Malformed(f"{event[0]}: {type(error).__name__}: {error}") from error
            if call is None:
                notified.pop(number, None)
                continue
            notified[number] = None
            try:
                call(self.fronts[number], now, *values)
            except Exception as error:
                commands.append(failure(number, error))
        for number in notified:
            try:
                while decision := self.fronts[number].decide(now):
                    commands.append(MESSAGES[decision[0]](number, *decision[1:]))
            except Exception as error:
                commands.append(failure(number, error))
        return orjson.dumps({"n": batch["n"], "cmds": commands})

    def _read(self, event: Row) -> tuple[int | None, Callable[..., None] | None, Row]:
        """Return the event's instance, the call on it and the arguments.

        The call is None if the event ends the instance, which is returned, or if the event or its
        instance is unknown.
        """
        name, *row = event
        if name == "ledger":
            self.machine_lists[row[0]] = [_entry(entry) for entry in row[1] or ()]
        elif name == "attach":
            self.fronts[row[0]] = Front(read_start_settings(row[1] or 0, row[2]))
            return row[0], Front.woken, []
        elif name == "detach":
            self.fronts.pop(row[0], None)
            return row[0], None, []
        elif name == "discovery" and row[0] in self.fronts:
            number, _version, list_number, kind = (*row, None, None)[:4]
            entries = () if kind == Listing.FAILED else self.machine_lists[list_number]
            return number, Front.list_news, [Listing(kind), entries]
        elif name in EVENTS and row[0] in self.fronts:
            size, call, read = EVENTS[name]
            return row[0], call, read((row[1:] + [None] * size)[:size])
        return None, None, []


def failure(number: int | None, error: Exception) -> Row:
    """Return the message that reports an exception of an instance."""
    return ["bail_out", number, f"{type(error).__name__}: {error}"]


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answer batches until the input ends and return the exit status, 2 after a malformed batch."""
    adapter = Adapter()
    for number, line in enumerate(source, 1):
        try:
            reply = adapter.reply(line)
        except (Malformed, orjson.JSONDecodeError) as error:
            errors.write(f"benchlink: batch {number}: {error}\n")
            return 2
        sink.write(reply + b"\n")
        sink.flush()
    return 0

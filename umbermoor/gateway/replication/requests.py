"""Calls under way: those that a host made here, and which puts of others a head has taken already.

Times are whole microseconds.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from umbermoor.gateway.effects import Decision, Outcome, Status

WITHIN = 700_000  # a call that cannot be told by then is answered UNAVAILABLE
AGAIN = 150_000
MOST = 1024  # calls under way; more are answered UNAVAILABLE
LIVES, EACH = 32, 256  # what a head remembers


@dataclass(slots=True)
class Ask:
    ask: int  # the host's number
    until: int
    put: tuple[str, Any] | None  # key and value; None: a read
    epoch: int = 0  # of the view that it was handed to, 0: to none
    sent: int = 0


@dataclass(slots=True)
class Asks:
    """What this member's host waits for, by numbers that rise in a life."""

    _open: dict[int, Ask] = field(default_factory=dict)
    _next: int = 1

    def add(self, now: int, ask: int, put: tuple[str, Any] | None) -> bool:
        if len(self._open) >= MOST:
            return False
        self._open[self._next] = Ask(ask, now + WITHIN, put)
        self._next += 1
        return True

    def end(self, number: int) -> Ask | None:
        return self._open.pop(number, None)

    def refused(self, number: int, epoch: int) -> None:
        """A head told that it has not taken this and will not in that epoch: the next may."""
        ask = self._open.get(number)
        if ask and ask.epoch == epoch:
            ask.epoch = 0

    def over(self, now: int, epoch: int) -> list[tuple[int, Status]]:
        """Take out what can no longer be told; `epoch` is the latest active. A put is never handed
        to two heads."""
        ended = [
            number
            for number, ask in self._open.items()
            if now >= ask.until or (ask.put is not None and 0 < ask.epoch < epoch)
        ]
        return [(self._open.pop(number).ask, Status.UNAVAILABLE) for number in ended]

    def due(self, now: int, epoch: int) -> list[tuple[int, Ask]]:
        """What is to be sent now in that epoch, marked as sent."""
        found = []
        for number, ask in self._open.items():
            if (ask.epoch == epoch and now - ask.sent < AGAIN) or (
                ask.put is not None and ask.epoch not in (0, epoch)
            ):
                continue
            ask.epoch, ask.sent = epoch, now
            found.append((number, ask))
        return found


@dataclass(slots=True)
class Taken:
    """The puts that a head judged in its epoch, so that a doubled message is no second put and gets
    the same verdict.

    >>> taken = Taken()
    >>> taken.note(7, 1, 12, Decision(Outcome.UNCHANGED))
    >>> taken.find(7, 1)[0], taken.find(7, 2)
    (12, None)
    """

    _lives: OrderedDict[int, tuple[dict[int, tuple[int, Decision]], list[int]]] = field(
        default_factory=OrderedDict
    )

    def find(self, life: int, number: int) -> tuple[int, Decision] | None:
        """After which write it is done, and its verdict without a value; None if it was not judged;
        -1 if that cannot be told any more."""
        ids, floor = self._lives.get(life, ({}, [0]))
        return ids.get(number, (-1, Decision(Outcome.STALE)) if number <= floor[0] else None)

    def note(self, life: int, number: int, seq: int, verdict: Decision) -> None:
        ids, floor = self._lives.setdefault(life, ({}, [0]))
        self._lives.move_to_end(life)
        ids[number] = seq, verdict._replace(value=None)
        if len(ids) > EACH:
            oldest = min(ids)
            del ids[oldest]
            floor[0] = oldest
        if len(self._lives) > LIVES:
            self._lives.popitem(last=False)

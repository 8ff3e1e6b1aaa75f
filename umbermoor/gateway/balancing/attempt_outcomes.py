"""What an event on a line to a machine proves of the request on it, and what becomes of the line.
One table, the same as in docs/attempt-outcomes.md, where the reasons stand; all that is decided of
an answer is decided here. No I/O."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

PROMISES = frozenset((408, 421, 429, 503))  # to a client: it has not run, and never will
SINGLE = frozenset(
    (
        "host",
        "x-attempt-id",
        "x-server-seal",
        "x-not-executed",
        "x-time-remaining",
        "x-target-instance",
    )
)  # headers that mean nothing where they stand twice


class _Word(Enum):
    """One of a set; told apart by what it is, which costs a request less than by its name."""

    __hash__ = object.__hash__


class Fate(_Word):
    """How an attempt at a machine ended."""

    WHOLE = "whole"  # a whole answer that belongs to it
    FULL = "full"  # turned away, not run
    WRONG = "wrong"  # another machine has the address, not run
    UNSENT = "unsent"  # the machine took no connection: no byte of it left
    DROPPED = "dropped"  # this front took it back before a byte of it left
    BROKEN = "broken"  # no whole answer; it may have run
    SPOILT = "spoilt"  # bytes that are no answer of that machine; it may have run


UNRUN = frozenset(
    (Fate.FULL, Fate.WRONG, Fate.UNSENT, Fate.DROPPED)
)  # proved not to have run, and never to


class Stage(_Word):
    """How far an attempt and its line are. Told by this process alone: what its kernel took may be
    anywhere."""

    CONNECTING = "connecting"  # nothing was written
    WRITING = "writing"  # head or body half written: a part waits in this process
    WRITTEN = "written"  # the kernel took all of it
    READING = "reading"  # the first byte of an answer, its head, or a part of its body
    RESTING = "resting"  # no attempt is on it


class Event(_Word):
    UNREACHED = "unreached"  # refused, reset or timed out before anything was written
    # connected, and by now the machine may get nothing (drained, gone, its version barred)
    BARRED = "barred"
    # its client left, another attempt was answered, or its client must be answered now
    UNWANTED = "unwanted"
    OVER = "over"  # the time of its request is over
    ANSWER = "answer"  # whole, with its id
    REFUSAL = "refusal"  # whole, its own, X-Not-Executed
    MISDIRECTED = "misdirected"  # whole, its own, 421
    HOLLOW = "hollow"  # whole, and not to be passed on: what it says is not proved
    FOREIGN = "foreign"  # whole, with another id: a surplus answer of an earlier request
    GARBLED = "garbled"  # bytes that are no answer
    ENDED = "ended"  # close, half close or reset before a whole answer
    SURPLUS = "surplus"  # any byte that nobody waits for


class Line(_Word):
    REST = "rest"  # kept, where it is clean (see `clean`)
    CLOSE = "close"
    BREAK = "break"  # what waits to be written is not written
    GO_ON = "go on"


class Verdict(NamedTuple):
    fate: Fate | None  # None: the attempt goes on, or there is none
    line: Line


_UNDER_WAY = {
    Event.UNWANTED: Verdict(None, Line.GO_ON),
    Event.OVER: Verdict(Fate.BROKEN, Line.BREAK),
    Event.ANSWER: Verdict(Fate.WHOLE, Line.REST),
    Event.REFUSAL: Verdict(Fate.FULL, Line.REST),
    Event.MISDIRECTED: Verdict(Fate.WRONG, Line.CLOSE),
    Event.HOLLOW: Verdict(Fate.SPOILT, Line.CLOSE),
    Event.FOREIGN: Verdict(None, Line.GO_ON),
    Event.GARBLED: Verdict(Fate.SPOILT, Line.BREAK),
    Event.ENDED: Verdict(Fate.BROKEN, Line.BREAK),
}
TABLE: dict[Stage, dict[Event, Verdict]] = {
    Stage.CONNECTING: {
        Event.UNREACHED: Verdict(Fate.UNSENT, Line.BREAK),
        Event.BARRED: Verdict(Fate.DROPPED, Line.CLOSE),
        Event.UNWANTED: Verdict(Fate.DROPPED, Line.CLOSE),
        Event.OVER: Verdict(Fate.DROPPED, Line.CLOSE),
        Event.SURPLUS: Verdict(Fate.UNSENT, Line.BREAK),
        Event.ENDED: Verdict(Fate.UNSENT, Line.BREAK),
    },
    Stage.WRITING: {
        event: verdict if verdict.line is Line.GO_ON else Verdict(verdict.fate, Line.BREAK)
        for event, verdict in _UNDER_WAY.items()
    },
    Stage.WRITTEN: _UNDER_WAY,
    Stage.READING: _UNDER_WAY,
    Stage.RESTING: {
        Event.SURPLUS: Verdict(None, Line.BREAK),
        Event.ENDED: Verdict(None, Line.CLOSE),
    },
}


def decide(stage: Stage, event: Event) -> Verdict:
    """KeyError: that cannot come at that stage, an invariant is broken."""
    return TABLE[stage][event]


def classify(
    status: int, headers: Mapping[str, str], id: str, alone: bool, framed: bool = True
) -> Event:
    """What a whole answer is to the request with `id` on its line; alone: its line has carried no
    other one. framed: where it ends was told by a length or by chunks, and not by the connection's
    end alone."""
    told = headers.get("x-attempt-id")
    if told != id and (told is not None or not alone):
        return Event.HOLLOW if told is None else Event.FOREIGN
    if status == 421:
        return Event.MISDIRECTED
    if "x-not-executed" in headers:
        return Event.REFUSAL if status >= 400 else Event.HOLLOW
    if (
        told is None
        or not framed
        or status in PROMISES
        or "content-encoding" in headers
        or (200 <= status < 300 and "x-server-seal" not in headers)
    ):
        return Event.HOLLOW
    return Event.ANSWER


def clean(keep: bool, tainted: bool, surplus: bool, bodiless: bool) -> bool:
    """Whether a line may carry another request behind a whole answer. keep: the machine keeps it;
    tainted: it had an answer of another request; surplus: a byte lies behind the answer; bodiless:
    the answer was to a HEAD, and one that comes late would be read with the next request's eyes."""
    return keep and not (tainted or surplus or bodiless)


def may_promise(ran: bool, under_way: int) -> bool:
    """Whether a client may be told one of PROMISES: each attempt has ended, and each is proved not
    to have run. `ran`: one ended of which that is not proved; `under_way`: attempts whose end is
    not known, connecting ones too."""
    return not ran and not under_way


def may_repeat(safe: bool, ran: bool) -> bool:
    """Whether a request none of whose attempts is under way may go to a machine again."""
    return safe or not ran

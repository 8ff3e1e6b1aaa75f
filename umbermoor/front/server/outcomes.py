"""How an attempt to talk to somebody ended, as values that say how far it had come."""

from enum import Enum, IntEnum, auto
from typing import NamedTuple

from umbermoor.front.interface import Ending
from umbermoor.http1.reader import Response


class Progress(IntEnum):
    UNCONNECTED = 0
    PART = 1  # connected; the last byte is not written
    WHOLE = 2  # the last byte is written
    ANSWERING = 3


class Cause(Enum):
    REFUSED = auto()  # no connection
    BROKEN = auto()  # the connection broke or ended
    GARBLED = auto()  # what came cannot be read, or came too soon
    LATE = auto()  # our own time-out
    STOPPED = auto()  # called off
    WITHDRAWN = auto()  # could have been sent, but might no longer be
    TURNED_AWAY = auto()  # the machine says that it never ran, as it would not take it
    UNRUN = auto()  # the machine says that it never ran, as its connection ends


class Failed(NamedTuple):
    progress: Progress
    cause: Cause


Outcome = Response | Failed

_AFTER = {
    Cause.REFUSED: Ending.RESET,
    Cause.BROKEN: Ending.RESET,
    Cause.GARBLED: Ending.RESET,
    Cause.LATE: Ending.TIMEOUT,
    Cause.STOPPED: Ending.CANCELLED,
    Cause.WITHDRAWN: Ending.CANCELLED,
    Cause.TURNED_AWAY: Ending.FULL,
    Cause.UNRUN: Ending.MOOT,
}
_BEFORE = dict.fromkeys(Cause, Ending.CONNECT_FAILED) | {
    Cause.STOPPED: Ending.CANCELLED,
    Cause.WITHDRAWN: Ending.MOOT,
    Cause.TURNED_AWAY: Ending.FULL,
    Cause.UNRUN: Ending.MOOT,
}

# Threat: calling a hand-off that may have run one that never did. Once the last byte is written it
# may have.
ENDINGS: dict[Failed, Ending] = {
    Failed(progress, cause): (_AFTER if progress >= Progress.WHOLE else _BEFORE)[cause]
    for progress in Progress
    for cause in Cause
}


def shown(outcome: Outcome) -> str:
    """For the log."""
    if isinstance(outcome, Failed):
        return f"{outcome.progress.name.lower()}/{outcome.cause.name.lower()}"
    return f"{outcome.status} {outcome.body[:80]!r}"


def ending(outcome: Outcome) -> Ending:
    """Of a hand-off to a machine."""
    if isinstance(outcome, Failed):
        return ENDINGS[outcome]
    if outcome.status == 200:
        return Ending.OK
    away = outcome.status in (503, 504) and outcome.headers.get("x-turned-away") == "1"
    return Ending.FULL if away else Ending.ERROR

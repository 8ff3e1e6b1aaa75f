"""How a request to another party ended, and how far it had progressed."""

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
    BROKEN = auto()  # the connection was reset or closed
    GARBLED = auto()  # the response is malformed, or came before the request was written
    LATE = auto()  # our own timeout
    STOPPED = auto()  # cancelled by the front
    WITHDRAWN = auto()  # connected, but the hand-off was no longer permitted
    TURNED_AWAY = auto()  # the machine reports that it rejected the request before running it
    UNRUN = auto()  # the machine reports that the request never ran: it is closing the connection


class Failed(NamedTuple):
    progress: Progress
    cause: Cause


Outcome = Response | Failed

_AFTER_WRITTEN = {
    Cause.REFUSED: Ending.RESET,
    Cause.BROKEN: Ending.RESET,
    Cause.GARBLED: Ending.RESET,
    Cause.LATE: Ending.TIMEOUT,
    Cause.STOPPED: Ending.CANCELLED,
    Cause.WITHDRAWN: Ending.CANCELLED,
    Cause.TURNED_AWAY: Ending.FULL,
    Cause.UNRUN: Ending.MOOT,
}
_BEFORE_WRITTEN = dict.fromkeys(Cause, Ending.CONNECT_FAILED) | {
    Cause.STOPPED: Ending.CANCELLED,
    Cause.WITHDRAWN: Ending.MOOT,
    Cause.TURNED_AWAY: Ending.FULL,
    Cause.UNRUN: Ending.MOOT,
}

# A hand-off that may have run must never be reported as one that did not. Once its last byte is
# written, it may have run.
ENDINGS: dict[Failed, Ending] = {
    Failed(progress, cause): (_AFTER_WRITTEN if progress >= Progress.WHOLE else _BEFORE_WRITTEN)[
        cause
    ]
    for progress in Progress
    for cause in Cause
}


def shown(outcome: Outcome) -> str:
    """Return the outcome as text for the log."""
    if isinstance(outcome, Failed):
        return f"{outcome.progress.name.lower()}/{outcome.cause.name.lower()}"
    return f"{outcome.status} {outcome.body[:80]!r}"


def ending(outcome: Outcome) -> Ending:
    """Return how a hand-off to a machine ended."""
    if isinstance(outcome, Failed):
        return ENDINGS[outcome]
    if outcome.status == 200:
        return Ending.OK
    turned_away = outcome.status in (503, 504) and outcome.headers.get("x-turned-away") == "1"
    return Ending.FULL if turned_away else Ending.ERROR

"""Outcomes of streams, and a table of what each proves about the execution of its query.

The outcome is the progress of the stream and the reason of its end. A query is written whole once
the kernel has accepted all bytes up to END_STREAM; from then on the machine may have executed it,
unless the machine itself says that it did not. Source: RFC 9113, sections 5.4, 6.4, 6.8, 7, 8.1,
8.7.
"""

from enum import Enum, IntEnum, auto


class StreamProgress(IntEnum):
    """How far a query had come when its stream ended."""

    UNSENT = 0  # waits for a connection or a stream; nothing of it was written
    PART = 1  # HEADERS written to the transport; the kernel has not accepted all up to END_STREAM
    WHOLE = 2  # the kernel has accepted all of it
    ANSWERING = 3  # part of the response was received


class StreamEnd(Enum):
    """Why a stream ended without a usable response."""

    REFUSED = auto()  # RST_STREAM with REFUSED_STREAM
    RESET = auto()  # RST_STREAM with any other code
    ABOVE = auto()  # GOAWAY with a lower last stream
    LOST = auto()  # the connection ended, without a GOAWAY that covers this stream
    SILENT = auto()  # the connection was given up as it received nothing
    FAULT = auto()  # the connection was given up as it received something invalid
    GARBLED = auto()  # the response is invalid
    LATE = auto()  # our timeout
    STOPPED = auto()  # cancelled by us
    WITHDRAWN = auto()  # no longer allowed to be sent when its turn came
    UNCONNECTED = auto()  # no connection could be opened


class Proof(Enum):
    """What the outcome of a stream proves about its query."""

    NEVER_RAN = "never ran"  # not executed; says nothing against the machine
    TURNED_AWAY = "turned away"  # not executed, as the machine refused it
    UNDELIVERED = "no way"  # not executed, as it could not be delivered
    MAY_HAVE = "may have run"  # perhaps executed


# Threat: a query that may have been executed is classified as never run and sent again, and a
# booking is executed twice.
_WHOLE = dict.fromkeys(StreamEnd, Proof.MAY_HAVE) | {
    StreamEnd.REFUSED: Proof.TURNED_AWAY,
    StreamEnd.ABOVE: Proof.NEVER_RAN,
}
_PART = dict.fromkeys(StreamEnd, Proof.UNDELIVERED) | {
    StreamEnd.REFUSED: Proof.TURNED_AWAY,
    StreamEnd.ABOVE: Proof.NEVER_RAN,
    StreamEnd.WITHDRAWN: Proof.NEVER_RAN,
    StreamEnd.GARBLED: Proof.MAY_HAVE,
}  # GARBLED: a response before the query's end shows that the machine processed some of it
# Whatever the machine says now, it had begun to respond.
_ANSWERING = dict.fromkeys(StreamEnd, Proof.MAY_HAVE)

PROOFS: dict[tuple[StreamProgress, StreamEnd], Proof] = {
    (progress, end): {
        StreamProgress.UNSENT: _PART | {StreamEnd.GARBLED: Proof.UNDELIVERED},
        StreamProgress.PART: _PART,
        StreamProgress.WHOLE: _WHOLE,
        StreamProgress.ANSWERING: _ANSWERING,
    }[progress][end]
    for progress in StreamProgress
    for end in StreamEnd
}


class Failed:
    """A query without a usable response: its progress, and why its stream ended."""

    __slots__ = ("end", "progress")

    def __init__(self, progress: StreamProgress, end: StreamEnd) -> None:
        self.progress, self.end = progress, end

    @property
    def proof(self) -> Proof:
        """What this proves about the execution of the query."""
        return PROOFS[self.progress, self.end]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Failed) and (self.progress, self.end) == (
            other.progress,
            other.end,
        )

    def __hash__(self) -> int:
        return hash((self.progress, self.end))

    def __repr__(self) -> str:
        return f"{self.progress.name.lower()}/{self.end.name.lower()}"

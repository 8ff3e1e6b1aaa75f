"""What became of a stream, and what that proves; in one table. Source: RFC 9113, sections 5.4, 6.4,
6.8, 7, 8.1, 8.7.

A stream's stand is how far its query had come when it ended. Written whole means that the kernel
had all bytes up to its
END_STREAM; from then on it may have run, unless the machine itself says that it did not.
"""

from enum import Enum, IntEnum, auto


class StreamProgress(IntEnum):
    UNSENT = 0  # waits for a connection, or for a stream on one: nothing of it was written
    PART = 1  # HEADERS written, or handed to the kernel; END_STREAM not fully accepted by it
    WHOLE = 2
    ANSWERING = 3  # a part of its answer came


class StreamEnd(Enum):
    REFUSED = auto()  # RST_STREAM with REFUSED_STREAM
    RESET = auto()  # RST_STREAM with any other code
    ABOVE = auto()  # GOAWAY that names a lower stream as its last
    LOST = auto()  # the connection ended, and no GOAWAY spoke of this stream
    SILENT = auto()  # the connection was given up for its silence
    FAULT = auto()  # the connection was given up for what came on it
    GARBLED = auto()  # its answer cannot be used
    LATE = auto()  # our own time-out
    STOPPED = auto()  # called off
    WITHDRAWN = auto()  # might no longer be sent when its turn came
    UNCONNECTED = auto()  # no connection came up


class Proof(Enum):
    """What an end proves of the query."""

    NEVER_RAN = "never ran"  # and the machine is none the worse for it
    TURNED_AWAY = "turned away"  # never ran, as the machine would not
    UNDELIVERED = "no way"  # never ran, as it could not be brought there
    MAY_HAVE = "may have run"


# Threat: calling what may have run 'never ran': a booking would run twice.
_WHOLE = dict.fromkeys(StreamEnd, Proof.MAY_HAVE) | {
    StreamEnd.REFUSED: Proof.TURNED_AWAY,
    StreamEnd.ABOVE: Proof.NEVER_RAN,
}
_PART = dict.fromkeys(StreamEnd, Proof.UNDELIVERED) | {
    StreamEnd.REFUSED: Proof.TURNED_AWAY,
    StreamEnd.ABOVE: Proof.NEVER_RAN,
    StreamEnd.WITHDRAWN: Proof.NEVER_RAN,
    StreamEnd.GARBLED: Proof.MAY_HAVE,
}  # an answer before the query's end: the machine did something with it
_ANSWERING = dict.fromkeys(
    StreamEnd, Proof.MAY_HAVE
)  # whatever it says now, it had begun to answer

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
    """A query that got no answer: how far it had come, and what ended it."""

    __slots__ = ("end", "progress")

    def __init__(self, progress: StreamProgress, end: StreamEnd) -> None:
        self.progress, self.end = progress, end

    @property
    def proof(self) -> Proof:
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

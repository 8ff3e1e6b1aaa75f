"""What passes between a host and the decision module: plain data, and the calls.

A host (the bench's adapter today, a socket front later) makes one ``rules.Front`` from a
``Charter``, reports what it sees through the calls of ``Decider`` and then pulls decisions with
``decide`` until it answers None. Times are whole microseconds of the host's clock; ids are opaque
text; a profile, zone or customer is a position in a list.
"""

from collections.abc import Sequence
from enum import Enum, IntEnum
from typing import Any, NamedTuple, Protocol


class Repeat(Enum):
    RETRIABLE = "retriable"  # may run again
    FINGERPRINTED = "fingerprinted"  # its group of machines drops a repeat for a while
    BINDING = "binding"  # must never run twice


class Group(Enum):
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Control(Enum):
    ANY = "any"
    SHARE = "share"
    TIMER = "timer"


class Readiness(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Phase(IntEnum):
    TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(IntEnum):
    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class Ending(IntEnum):
    """How a hand-off, a probe or a vote ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


NEVER_RAN = frozenset({Ending.FULL, Ending.CONNECT_FAILED, Ending.MOOT})


class Listing(IntEnum):
    FULL = 0
    CHANGES = 1
    CACHED = 2
    FAILED = 3


class Profile(NamedTuple):
    """One row of the table of what differs by profile."""

    target: int
    patience: int
    late_value: float
    repeat: Repeat
    group: Group
    window: int
    value: float = 1.0  # of a query done in time


class Charter(NamedTuple):
    """What a front is told when it starts."""

    me: int
    fronts: int
    seed: int
    zone: int
    profiles: tuple[Profile, ...]
    list_asked: bool
    may_probe: bool
    may_tell: bool
    may_copy: bool
    may_cancel: bool
    most_hand_offs: int
    most_advice: int  # longest time a denied client stays away when told; 0: no advice reaches it
    drain_grace: int
    cold_from: float
    warm_within: int
    fall_multiple: float
    fall_span: int
    control: Control
    votes_on: int
    votes_back: int
    votes_hold: int
    votes_a_second: float  # calls that the platform takes of all fronts; 0: no such limit
    vote_life: int
    vote_wait: int
    least_stage: int
    stage_caps: tuple[float, ...]
    guarded_stages: int
    cap_by_profile: bool
    free_hand_offs: float
    one_way: bool
    tallied_every: (
        int  # how long the platform counts hand-offs before it tells; 0: it tells nothing
    )
    complaint_share: float  # of the wrong answers, the share that clients report; 0: none


class Entry(NamedTuple):
    """One machine as the list names it."""

    machine: str
    build: int
    zone: int
    cell: int
    readiness: Readiness
    size: float
    born: int  # 0: long ago


class News(NamedTuple):
    """Where the newest build stands."""

    build: int
    stage: int
    phase: Phase
    cap: float
    age: int
    answers_vote: bool
    ending: Ending


class Do(Enum):
    """What a decision asks of the host, with the values that follow it in the tuple."""

    HAND_OFF = "query, machine, time-out"
    CANCEL = "query, number of the hand-off"
    DENY = "query, when to come back (0: no advice)"
    ABANDON = "query"
    VOTE = "build, stage, verdict"
    WATCH = "the list's changes from now on"
    PROBE = "machine"
    TELL = "payload, peer"
    WAKE = "clock time"
    NOTE = "text for the log"


Decision = tuple[Any, ...]  # a Do, then the values it names


class Decider(Protocol):
    """The calls on a front. All but ``decide`` only take note."""

    def take_query(
        self,
        now: int,
        query: str,
        profile: int,
        key: str | None,
        due: int,
        cost: int | None,
        repeated: bool,
    ) -> None: ...
    def hand_off_ended(
        self,
        now: int,
        query: str,
        number: int,
        machine: str,
        ending: Ending,
        took: int,
        closed: bool,
    ) -> None: ...
    def stream_started(self, now: int, query: str, number: int) -> None: ...
    def client_left(self, now: int, query: str) -> None: ...
    def list_news(self, now: int, kind: Listing, entries: Sequence[Entry]) -> None: ...
    def release_news(self, now: int, news: News) -> None: ...
    def tally(
        self, now: int, build: int, profile: int, counted: int, lost: int, took: int, age: int
    ) -> None: ...
    def complaint(self, now: int, machine: str, profile: int, age: int) -> None: ...
    def probe_ended(
        self, now: int, machine: str, ending: Ending, load: Sequence[float] | None
    ) -> None: ...
    def peer_message(self, now: int, peer: int, payload: bytes) -> None: ...
    def woken(self, now: int) -> None: ...
    def decide(self, now: int) -> Decision | None: ...

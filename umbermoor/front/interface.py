"""The interface between a host and the decision module: plain data types and the calls.

A host (the socket front, the laboratory's virtual front or the simulator's adapter) makes one
``rules.Front`` from a ``Charter``, reports events through the calls of ``Decider`` and then calls
``decide`` until it returns None. Times are whole microseconds of the host's clock; ids are opaque
text; a profile, zone or customer is an index into a list.
"""

from collections.abc import Sequence
from enum import Enum, IntEnum
from typing import Any, NamedTuple, Protocol


class Repeat(Enum):
    """Whether a query may be executed more than once."""

    RETRIABLE = "retriable"  # may run again
    FINGERPRINTED = "fingerprinted"  # its group of machines drops duplicates within a window
    BINDING = "binding"  # must never run twice


class Group(Enum):
    """The machines that detect duplicates of a fingerprinted query together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Control(Enum):
    """How the platform moves a release from stage to stage; under TIMER it does so by itself."""

    ANY = "any"
    SHARE = "share"
    TIMER = "timer"


class Readiness(IntEnum):
    """State of a machine in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Phase(IntEnum):
    """Phase of a release. GOING_BACK: its traffic share is being taken back."""

    TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(IntEnum):
    """A vote on a build: none, to the next stage, to stay in this stage, back."""

    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class Ending(IntEnum):
    """How a hand-off, a probe or a vote ended."""

    OK = 0
    ERROR = 1
    FULL = 2  # turned away: over the machine's or the platform's limit
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7  # a hand-off obsolete before it was sent; a vote on what is not open


# Endings of hand-offs that the machine certainly did not execute.
NEVER_RAN = frozenset({Ending.FULL, Ending.CONNECT_FAILED, Ending.MOOT})


class Listing(IntEnum):
    """What a message about the list of machines holds. CACHED: the whole list, maybe outdated."""

    FULL = 0
    CHANGES = 1
    CACHED = 2
    FAILED = 3


class Profile(NamedTuple):
    """Properties of the queries of one profile."""

    target: int  # answered within this time a query has its full value
    patience: int  # clients give up after this time
    late_value: float  # value of a later answer
    repeat: Repeat
    group: Group
    window: int  # how long the group drops duplicates of a fingerprinted query
    value: float = 1.0  # of a query answered within the target time


class Charter(NamedTuple):
    """The start settings of a front.

    Renaming a field invalidates stored snapshots: their digest covers this record's repr.
    """

    me: int  # number of this front
    fronts: int  # number of all fronts
    seed: int
    zone: int
    profiles: tuple[Profile, ...]
    list_asked: bool  # the list of machines comes on request only
    may_probe: bool
    may_tell: bool  # fronts can send each other messages
    may_copy: bool  # a query may be open at two machines
    may_cancel: bool
    most_hand_offs: int  # per query
    most_advice: int  # longest retry-after time that a denied client obeys; 0: it gets none
    drain_grace: int  # how long a draining machine still takes hand-offs
    cold_from: float  # share of its capacity that a machine has when it starts
    warm_within: int  # time in which it grows to all of it
    fall_multiple: float  # load over its capacity at which a cold machine fails
    fall_span: int  # time over which that load is measured
    control: Control
    votes_on: int  # votes needed for the next stage
    votes_back: int  # votes needed to roll back
    votes_hold: int  # votes needed to stay in the stage
    votes_a_second: float  # calls that the platform accepts of all fronts; 0: no limit
    vote_life: int  # a vote lapses after this time
    vote_wait: int  # time-out of the answer to a vote
    least_stage: int  # shortest time of a stage
    stage_caps: tuple[float, ...]  # by stage, the new build's share of queries
    guarded_stages: int  # first stages that only retriable queries may enter
    cap_by_profile: bool  # the cap holds for each profile by itself
    free_hand_offs: float  # credit that may accumulate for hand-offs to the trial
    one_way: bool  # a key that the new build has answered may not go to an earlier one
    tallied_every: int  # period of the platform's counts of hand-offs; 0: it sends none
    complaint_share: float  # share of the wrong answers that clients report; 0: none


class Entry(NamedTuple):
    """A machine in the list."""

    machine: str
    build: int
    zone: int
    cell: int
    readiness: Readiness
    size: float
    born: int  # when it started; 0: long ago


class News(NamedTuple):
    """State of the newest build's release, or the answer to a vote."""

    build: int
    stage: int
    phase: Phase
    cap: float  # share of queries that it may take
    age: int  # time since the stage began
    answers_vote: bool
    ending: Ending  # how the vote ended, if this answers one


class Do(Enum):
    """What a decision asks of the host; its value names the items that follow in the tuple."""

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


Decision = tuple[Any, ...]  # a Do, then the items that its value names


class Decider(Protocol):
    """The calls on a front. All but ``decide`` only record what is reported."""

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

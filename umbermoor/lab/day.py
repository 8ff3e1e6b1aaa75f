"""A day of the laboratory: fleet, load, builds, faults, length and seed, read from a KDL sheet.

`Day` is the root. Fields have the names of the sheet's keys, in which dashes stand for underscores;
the suffix of a name gives the unit of a time. All other times of the laboratory are in whole
microseconds, which `micros` converts seconds to.
"""

from itertools import pairwise
from math import cos, exp, pi
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta, structs

from umbermoor.front.kdl_sheet import Record, SheetError, read_sheet

NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
PositiveShare = Annotated[float, Meta(gt=0, le=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]

SECOND = 1_000_000  # microseconds
MATCH_PEAKS = (0.2, 0.55, 0.85)  # parts of the day: before a match, at half time and after it
MATCH_PEAK_WIDTH = 0.06  # part of the day
SHARE_FAULTS = ("errors", "resets", "lost", "spoilt")  # size: share of the jobs
SLOW_FAULTS = ("slow", "shared-slow")  # size: how many times longer work takes
SHIPPED = Path(__file__).parent / "days"


def micros(seconds: float) -> int:
    """Return seconds in whole microseconds."""
    return round(seconds * SECOND)


class Fronts(Record, frozen=True, kw_only=True):
    """The fronts of the fleet, which are all alike."""

    PLACES = ("count",)
    count: Count = 1
    cpu_us: NonNegative = 0  # CPU time of a query on the front's core; 0: no cost
    descriptors: Annotated[int, Meta(ge=40)] = 1024
    memory_mb: Annotated[float, Meta(ge=28)] = 64


class Network(Record, frozen=True, kw_only=True):
    """The delay of packets between processes."""

    one_way_us: NonNegative = 200
    jitter: Share = 0.2  # a packet takes longer by up to this share


class ProfileRow(Record, frozen=True, kw_only=True):
    """A class of queries, with its target, its value and its work."""

    PLACES = ("name",)
    name: Name
    share: Positive = 1  # weight in the mix of queries
    repeat: Literal["repeatable", "once"] = "repeatable"
    aim_ms: Positive = 1000  # latency target
    patience_ms: Positive = 4000
    value: NonNegative = 1
    late_value: Share = 0  # share of the value of an answer after the target
    work_ms: Positive = 100  # mean
    spread: Literal["fixed", "exp", "lognormal"] = "lognormal"
    cv: NonNegative = 0.8  # coefficient of variation of the work, if lognormal
    hint_cv: NonNegative = 0.3  # the same, of the client's estimate of the work

    def fault(self) -> str | None:
        """Return an error text if the row is invalid."""
        if self.aim_ms <= self.patience_ms:
            return None
        return f"expected patience-ms of at least aim-ms {self.aim_ms:g}"


class Group(Record, frozen=True, kw_only=True):
    """Machines of one kind, which faults can affect together."""

    PLACES = ("name",)
    name: Name
    machines: Count = 1
    workers: Count = 1
    speed: Positive = 1
    speed_cv: Annotated[float, Meta(ge=0, le=0.5)] = 0
    queue: Annotated[int, Meta(ge=0)] = 30
    connections: Count = 600
    connect_us: NonNegative = 1000  # work of accepting a connection
    cold_from: PositiveShare = 0.5  # share of its capacity that a new machine has at first
    warm_s: NonNegative = 3  # from a machine's start to its full capacity
    drops: Literal["none", "queued", "all"] = "queued"  # which jobs a cancellation or timeout stops


class Cold(Record, frozen=True, kw_only=True):
    """How much work a machine that warms up withstands before it collapses."""

    multiple: Positive = 2.5  # times the work that it can do in the span
    span_s: Positive = 3


class Burst(Record, frozen=True, kw_only=True):
    """A period of higher load."""

    at_s: NonNegative
    for_s: Positive
    times: Positive  # factor on the rate


class Load(Record, frozen=True, kw_only=True):
    """The rate of first queries from all clients together, without retries."""

    PLACES = ("rate",)
    rate: Positive  # queries a second
    shape: Literal["steady", "wave", "match"] = "steady"
    swing: Share = 0.2
    burst: tuple[Burst, ...] = ()

    def rate_at(self, second: float, length: float) -> float:
        """Return the rate at a second of a day of this length."""
        part = second / length
        if self.shape == "wave":
            rate = self.rate * (1 - self.swing * cos(2 * pi * part))
        elif self.shape == "match":
            peaks = sum(exp(-(((part - peak) / MATCH_PEAK_WIDTH) ** 2)) for peak in MATCH_PEAKS)
            rate = self.rate * (1 - self.swing + 2 * self.swing * min(1.0, peaks))
        else:
            rate = self.rate
        for burst in self.burst:
            if burst.at_s <= second < burst.at_s + burst.for_s:
                rate *= burst.times
        return rate

    def max_rate(self) -> float:
        """Return an upper bound of the rate."""
        factor = 1.0
        for burst in self.burst:
            factor *= max(1.0, burst.times)
        return self.rate * (1 + self.swing) * factor


class Clients(Record, frozen=True, kw_only=True):
    """How clients wait and retry."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    wait_ms: NonNegative = 100  # before a retry
    heed: Share = 0.7  # share of clients that follow the advice on when to retry
    try_share: PositiveShare = 1  # an attempt times out after at least this share of the patience
    marks: bool = True  # whether requests say that they are retries
    leave: Share = 0  # share of queries whose client leaves early


class Platform(Record, frozen=True, kw_only=True):
    """The release platform: stages, votes, and what it sends to fronts."""

    stages: tuple[Share, ...] = (0.08, 0.25, 0.6, 1.0)  # shares of the fleet
    slack: Positive = 1.2  # a stage's cap is its share times this
    least_stage_s: NonNegative = 3
    on_votes: Count = 1
    back_votes: Count = 1
    vote_life_s: Positive = 10
    boot_s: NonNegative = 2
    drain_s: NonNegative = 3
    push_s: Positive = 2  # interval at which the state is sent to fronts again
    told_ms: NonNegative = 400  # mean delay until a front learns of a change
    window_s: Positive = 3  # window in which the share of a trial is measured
    free: NonNegative = 1  # attempts in a window that the cap does not limit
    guarded: Annotated[int, Meta(ge=0)] = 2  # first stages without queries with repeat "once"
    tally_s: NonNegative = 0  # interval at which fronts get a tally; 0: never
    tally_share: Share = 0.4  # share of the attempts that the tally counts
    complaint_share: Share = 0  # share of the wrong answers that are reported
    votes_a_s: Positive = 60

    def fault(self) -> str | None:
        """Return an error text if the stages are invalid."""
        is_rising = all(a < b for a, b in pairwise(self.stages))
        if self.stages and is_rising and self.stages[-1] == 1:
            return None
        return "expected stages that rise to 1"


class Listing(Record, frozen=True, kw_only=True):
    """The delays with which the machine list reaches fronts."""

    notice_ms: NonNegative = 500  # delay until the list has a change
    spread_ms: NonNegative = 200  # further delay, drawn for each front, up to this
    grace_s: NonNegative = 1  # delay after which a draining or removed machine must get no query


class Build(Record, frozen=True, kw_only=True):
    """A build that is released during the day, and its fault."""

    PLACES = ("number",)
    number: Annotated[int, Meta(ge=2, lt=65536)]
    at_s: NonNegative
    fault_kind: Literal["none", "fails", "slower", "wrong", "drags", "under-load", "late"] = "none"
    size: NonNegative = 0  # share of failed or wrong answers, or how many times longer work takes
    profile: str = ""  # "fails" and "wrong" concern only this profile; empty: all
    after_s: NonNegative = 6  # "late": the fault begins at this age of a machine
    busy: Share = 0.5  # "under-load": the fault acts above this share of busy workers
    speed: Positive = 1

    def fault(self) -> str | None:
        """Return an error text if the entry is invalid."""
        if self.fault_kind in ("fails", "wrong") and not 0 < self.size <= 1:
            return f"expected a size above 0 and up to 1 for fault-kind {self.fault_kind!r}"
        if self.fault_kind in ("slower", "drags", "under-load", "late") and self.size <= 1:
            return f"expected a size above 1 for fault-kind {self.fault_kind!r}"
        return None


class FaultInjection(Record, frozen=True, kw_only=True):
    """A fault that is injected for a period (`trouble` in the sheet)."""

    PLACES = ("kind",)
    kind: Literal[
        "pause",
        "crash",
        "hang",
        "resets",
        "lost",
        "spoilt",
        "slow",
        "errors",
        "shared-slow",
        "drain",
        "loss",
        "replace",
        "goaway",
        "list-silent",
        "platform-silent",
        "front-crash",
        "front-stall",
    ]
    at_s: NonNegative
    for_s: Positive = 1
    group: str = ""  # empty: all groups
    part: PositiveShare = 1  # share of the group's machines, or of the fronts, that it affects
    size: NonNegative = 1  # see SHARE_FAULTS and SLOW_FAULTS

    def fault(self) -> str | None:
        """Return an error text if the entry is invalid."""
        if self.kind in SHARE_FAULTS and not 0 < self.size <= 1:
            return f"expected a size above 0 and up to 1 for '{self.kind}'"
        if self.kind in SLOW_FAULTS and self.size < 1:
            return f"expected a size of at least 1 for '{self.kind}'"
        return None


class Day(Record, frozen=True, kw_only=True):
    """All parameters of a run."""

    PLACES = ("name",)
    name: Name
    length_s: Annotated[float, Meta(gt=0, le=3600)]
    seed: int = 1
    settle_s: NonNegative = 2  # at the start; queries due then are not in the figures
    load: Load
    front: Fronts = Fronts()
    network: Network = Network()
    profile: Annotated[tuple[ProfileRow, ...], Meta(min_length=1)]
    group: Annotated[tuple[Group, ...], Meta(min_length=1)]
    cold: Cold = Cold()
    clients: Clients = Clients()
    platform: Platform = Platform()
    listing: Listing = Listing()
    build: tuple[Build, ...] = ()
    trouble: tuple[FaultInjection, ...] = ()
    tries: Count = 5  # maximum number of attempts for a query
    copies: bool = True  # hedged attempts are allowed for queries that may be repeated

    def fault(self) -> str | None:
        """Return an error text if entries contradict each other."""
        groups = [group.name for group in self.group]
        profiles = [row.name for row in self.profile]
        if name := _duplicate(groups):
            return f"expected one group {name!r}, not two"
        if name := _duplicate(profiles):
            return f"expected one profile {name!r}, not two"
        for trouble in self.trouble:
            which = f"trouble '{trouble.kind}'"
            if trouble.group and trouble.group not in groups:
                known = ", ".join(groups)
                return f"expected a group of {known} for {which}, not {trouble.group!r}"
            if trouble.at_s >= self.length_s:
                return f"expected {which} to begin before the day ends at {self.length_s:g} s"
        for build in self.build:
            if build.profile and build.profile not in profiles:
                known = ", ".join(profiles)
                return (
                    f"expected a profile of {known} for build {build.number}, not {build.profile!r}"
                )
        numbers = [build.number for build in self.build]
        if any(a >= b for a, b in pairwise(numbers)):
            return "expected builds with numbers that rise"
        if self.settle_s < self.length_s:
            return None
        return "expected settle-s to be shorter than length-s"

    @property
    def machines(self) -> int:
        """Number of machines in all groups."""
        return sum(group.machines for group in self.group)

    def changed(self, **fields: Any) -> "Day":
        """Return a copy with these fields replaced."""
        return structs.replace(self, **fields)


def _duplicate(names: list[str]) -> str | None:
    """Return the first name that occurs twice."""
    return next((name for name in names if names.count(name) > 1), None)


def read_day(path: str) -> Day:
    """Read a sheet by its path, or a shipped day by its name.

    Raises:
        SheetError: the sheet cannot be read or is invalid.
    """
    shipped = SHIPPED / f"{path}.kdl"
    return read_sheet(shipped if "/" not in path and shipped.exists() else path, "day", Day)


def shipped_days() -> list[str]:
    """Return the names of the shipped days."""
    return sorted(path.stem for path in SHIPPED.glob("*.kdl"))


__all__ = ["SECOND", "Day", "SheetError", "micros", "read_day", "shipped_days"]

"""A day of the laboratory: fleet, load, builds, faults, length and seed, as a KDL sheet gives them.

`Day` is read first. The names of the fields are those of the sheet, with dashes there; times are in
seconds, milliseconds or microseconds as the field's name says. `micros` makes whole microseconds of
seconds, the unit of all times in the laboratory.
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
MATCH_PEAKS = (0.2, 0.55, 0.85)  # of the day: before the start, at half time, after the end
MATCH_PEAK_WIDTH = 0.06  # of the day
SHARE_FAULTS = ("errors", "resets", "lost", "spoilt")  # size is the share of the jobs
SLOW_FAULTS = ("slow", "shared-slow")  # size is how many times longer work takes
SHIPPED = Path(__file__).parent / "days"


def micros(seconds: float) -> int:
    """Return seconds in whole microseconds."""
    return round(seconds * SECOND)


class Fronts(Record, frozen=True, kw_only=True):
    """The fronts of the fleet, all alike."""

    PLACES = ("count",)
    count: Count = 1
    cpu_us: NonNegative = 0  # of one core, for a query's whole way; 0: a front costs nothing
    descriptors: Annotated[int, Meta(ge=40)] = 1024
    memory_mb: Annotated[float, Meta(ge=28)] = 64


class Network(Record, frozen=True, kw_only=True):
    """The delay of packets."""

    one_way_us: NonNegative = 200
    jitter: Share = 0.2  # a packet takes up to that part longer


class ProfileRow(Record, frozen=True, kw_only=True):
    """A class of queries."""

    PLACES = ("name",)
    name: Name
    share: Positive = 1  # weight in the mix of queries
    repeat: Literal["repeatable", "once"] = "repeatable"
    aim_ms: Positive = 1000  # latency target
    patience_ms: Positive = 4000
    value: NonNegative = 1
    late_value: Share = 0  # part of the value that an answer after the target has
    work_ms: Positive = 100  # mean
    spread: Literal["fixed", "exp", "lognormal"] = "lognormal"
    cv: NonNegative = 0.8  # coefficient of variation of the work, if lognormal
    hint_cv: NonNegative = 0.3  # of the guess at the work that goes with a query

    def fault(self) -> str | None:
        """Return what is wrong with the row, if anything."""
        if self.aim_ms <= self.patience_ms:
            return None
        return f"expected patience-ms of at least aim-ms {self.aim_ms:g}"


class Group(Record, frozen=True, kw_only=True):
    """Machines of one kind that fail together."""

    PLACES = ("name",)
    name: Name
    machines: Count = 1
    workers: Count = 1
    speed: Positive = 1
    speed_cv: Annotated[float, Meta(ge=0, le=0.5)] = 0
    queue: Annotated[int, Meta(ge=0)] = 30
    connections: Count = 600
    connect_us: NonNegative = 1000  # work that a new connection costs
    cold_from: PositiveShare = 0.5  # share of its capacity that a machine starts with
    warm_s: NonNegative = 3  # until it has all
    drops: Literal["none", "queued", "all"] = "queued"  # what a cancellation or time-out stops


class Cold(Record, frozen=True, kw_only=True):
    """How much a machine that warms up stands before it collapses."""

    multiple: Positive = 2.5  # of the work that it can do in the span
    span_s: Positive = 3


class Burst(Record, frozen=True, kw_only=True):
    """A time of higher load."""

    at_s: NonNegative
    for_s: Positive
    times: Positive


class Load(Record, frozen=True, kw_only=True):
    """The rate of first queries from all clients together; retries come on top."""

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
        """Return a rate that is never exceeded."""
        factor = 1.0
        for burst in self.burst:
            factor *= max(1.0, burst.times)
        return self.rate * (1 + self.swing) * factor


class Clients(Record, frozen=True, kw_only=True):
    """How clients wait and retry."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    wait_ms: NonNegative = 100  # before a retry
    heed: Share = 0.7  # of the clients, who follow the advice on when to retry
    try_share: PositiveShare = 1  # an attempt is given up after this part of the patience at least
    marks: bool = True  # retries are marked as such
    leave: Share = 0  # of the queries, whose client leaves early


class Platform(Record, frozen=True, kw_only=True):
    """The release platform: stages, the votes that move them, and what fronts are told."""

    stages: tuple[Share, ...] = (0.08, 0.25, 0.6, 1.0)  # shares of the fleet
    slack: Positive = 1.2  # a stage's cap is so many times its share
    least_stage_s: NonNegative = 3
    on_votes: Count = 1
    back_votes: Count = 1
    vote_life_s: Positive = 10
    boot_s: NonNegative = 2
    drain_s: NonNegative = 3
    push_s: Positive = 2  # how often the state is repeated to fronts
    told_ms: NonNegative = 400  # until a front hears of a change, on average
    window_s: Positive = 3  # in which the share of a trial is measured
    free: NonNegative = 1  # attempts in a window that need no share
    guarded: Annotated[int, Meta(ge=0)] = 2  # stages that get no query with repeat "once"
    tally_s: NonNegative = 0  # how often fronts get a tally; 0: never
    tally_share: Share = 0.4  # of the attempts, that the tally counts
    complaint_share: Share = 0  # of the wrong answers, that are reported
    votes_a_s: Positive = 60

    def fault(self) -> str | None:
        """Return what is wrong with the stages, if anything."""
        is_rising = all(a < b for a, b in pairwise(self.stages))
        if self.stages and is_rising and self.stages[-1] == 1:
            return None
        return "expected stages that rise to 1"


class Listing(Record, frozen=True, kw_only=True):
    """The delays of the machine list."""

    notice_ms: NonNegative = 500  # until the list knows
    spread_ms: NonNegative = 200  # and one front later than another
    grace_s: NonNegative = 1  # after which a machine that drains or is gone is sent nothing


class Build(Record, frozen=True, kw_only=True):
    """A build offered in the course of the day, and what is wrong with it."""

    PLACES = ("number",)
    number: Annotated[int, Meta(ge=2, lt=65536)]
    at_s: NonNegative
    fault_kind: Literal["none", "fails", "slower", "wrong", "drags", "under-load", "late"] = "none"
    size: NonNegative = 0  # the share that fails or is wrong; or how many times longer work takes
    profile: str = ""  # fails or is wrong for these alone
    after_s: NonNegative = 6  # late: from this age on
    busy: Share = 0.5  # under-load: from this share of busy workers on
    speed: Positive = 1

    def fault(self) -> str | None:
        """Return what is wrong with the entry, if anything."""
        if self.fault_kind in ("fails", "wrong") and not 0 < self.size <= 1:
            return f"expected a size above 0 and up to 1 for fault-kind {self.fault_kind!r}"
        if self.fault_kind in ("slower", "drags", "under-load", "late") and self.size <= 1:
            return f"expected a size above 1 for fault-kind {self.fault_kind!r}"
        return None


class FaultInjection(Record, frozen=True, kw_only=True):
    """A fault that is injected for a time (`trouble` in the sheet)."""

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
    part: PositiveShare = 1  # of the group's machines, or of the fronts, that it takes
    size: NonNegative = 1  # see SHARE_FAULTS and SLOW_FAULTS

    def fault(self) -> str | None:
        """Return what is wrong with the entry, if anything."""
        if self.kind in SHARE_FAULTS and not 0 < self.size <= 1:
            return f"expected a size above 0 and up to 1 for '{self.kind}'"
        if self.kind in SLOW_FAULTS and self.size < 1:
            return f"expected a size of at least 1 for '{self.kind}'"
        return None


class Day(Record, frozen=True, kw_only=True):
    """All that a run is made of."""

    PLACES = ("name",)
    name: Name
    length_s: Annotated[float, Meta(gt=0, le=3600)]
    seed: int = 1
    settle_s: NonNegative = 2  # at the start, which no figure counts
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
    tries: Count = 5  # attempts for a query at the most
    copies: bool = True  # a hedged attempt may run beside the first, where a repeat is harmless

    def fault(self) -> str | None:
        """Return what does not fit together, if anything."""
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
        """Number of machines of all groups."""
        return sum(group.machines for group in self.group)

    def changed(self, **fields: Any) -> "Day":
        """Return a copy with other values for these fields."""
        return structs.replace(self, **fields)


def _duplicate(names: list[str]) -> str | None:
    """Return the first name that occurs twice."""
    return next((name for name in names if names.count(name) > 1), None)


def read_day(path: str) -> Day:
    """Read a sheet by its path, or a shipped day by its name. Raises SheetError."""
    shipped = SHIPPED / f"{path}.kdl"
    return read_sheet(shipped if "/" not in path and shipped.exists() else path, "day", Day)


def shipped_days() -> list[str]:
    """Return the names of the shipped days."""
    return sorted(path.stem for path in SHIPPED.glob("*.kdl"))


__all__ = ["SECOND", "Day", "SheetError", "micros", "read_day", "shipped_days"]

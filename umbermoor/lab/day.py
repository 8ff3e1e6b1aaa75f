"""A day of the laboratory: fleet, load, builds, troubles, length and seed, as a KDL sheet gives
them.

Times stand in seconds or milliseconds as the field's name says; ``micros`` makes whole microseconds
of them.
"""

from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, structs

from umbermoor.front.kdl_sheet import Record, SheetError, read_sheet

Least0 = Annotated[float, Meta(ge=0)]
Above0 = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Word = Annotated[str, Meta(min_length=1, max_length=64)]

SECOND = 1_000_000


def micros(seconds: float) -> int:
    return round(seconds * SECOND)


class Fronts(Record, frozen=True, kw_only=True):
    PLACES = ("count",)
    count: Count = 1
    cpu_us: Least0 = (
        0  # of one core, for a query's whole way through the front; 0: a front costs nothing
    )
    descriptors: Annotated[int, Meta(ge=40)] = 1024
    memory_mb: Annotated[float, Meta(ge=28)] = 64


class Network(Record, frozen=True, kw_only=True):
    one_way_us: Least0 = 200
    jitter: Share = 0.2  # a way takes up to that part longer


class ProfileRow(Record, frozen=True, kw_only=True):
    PLACES = ("name",)
    name: Word
    share: Above0 = 1
    repeat: Literal["repeatable", "once"] = "repeatable"
    aim_ms: Above0 = 1000
    patience_ms: Above0 = 4000
    value: Least0 = 1
    late_value: Share = 0
    work_ms: Above0 = 100
    spread: Literal["fixed", "exp", "lognormal"] = "lognormal"
    cv: Least0 = 0.8
    hint_cv: Least0 = 0.3  # how rough the hint of its cost is

    def fault(self) -> str | None:
        return (
            None
            if self.aim_ms <= self.patience_ms
            else f"expected patience-ms of at least aim-ms {self.aim_ms:g}"
        )


class Group(Record, frozen=True, kw_only=True):
    """Machines of one kind that share a fate."""

    PLACES = ("name",)
    name: Word
    machines: Count = 1
    workers: Count = 1
    speed: Above0 = 1
    speed_cv: Annotated[float, Meta(ge=0, le=0.5)] = 0
    queue: Annotated[int, Meta(ge=0)] = 30
    connections: Count = 600
    connect_us: Least0 = 1000  # work that a new connection costs
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.5
    warm_s: Least0 = 3
    drops: Literal["none", "queued", "all"] = "queued"  # what a call-off or a time-out stops


class Cold(Record, frozen=True, kw_only=True):
    multiple: Above0 = 2.5
    span_s: Above0 = 3


class Burst(Record, frozen=True, kw_only=True):
    at_s: Least0
    for_s: Above0
    times: Above0


class Load(Record, frozen=True, kw_only=True):
    """Queries asked anew in a second by all clients together; what they ask again comes on top."""

    PLACES = ("rate",)
    rate: Above0
    shape: Literal["steady", "wave", "match"] = "steady"
    swing: Share = 0.2
    burst: tuple[Burst, ...] = ()

    def at(self, second: float, length: float) -> float:
        """Queries a second at that moment."""
        from math import cos, exp, pi

        part = second / length
        if self.shape == "wave":
            rate = self.rate * (1 - self.swing * cos(2 * pi * part))
        elif self.shape == "match":  # before the start, at half time and after the end
            peaks = sum(exp(-(((part - peak) / 0.06) ** 2)) for peak in (0.2, 0.55, 0.85))
            rate = self.rate * (1 - self.swing + 2 * self.swing * min(1.0, peaks))
        else:
            rate = self.rate
        for one in self.burst:
            if one.at_s <= second < one.at_s + one.for_s:
                rate *= one.times
        return rate

    def most(self) -> float:
        factor = 1.0
        for one in self.burst:
            factor *= max(1.0, one.times)
        return self.rate * (1 + self.swing) * factor


class Clients(Record, frozen=True, kw_only=True):
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    wait_ms: Least0 = 100  # before a retry
    heed: Share = 0.7  # of the clients, who heed the advice on when to come back
    try_share: Annotated[float, Meta(gt=0, le=1)] = (
        1  # a try is given up after this part of the patience at the least
    )
    marks: bool = True  # retries are marked as such
    leave: Share = 0  # of the queries, whose client goes away early


class Platform(Record, frozen=True, kw_only=True):
    stages: tuple[Share, ...] = (0.08, 0.25, 0.6, 1.0)  # shares of the fleet
    slack: Above0 = 1.2  # caps are so many times these
    least_stage_s: Least0 = 3
    on_votes: Count = 1
    back_votes: Count = 1
    vote_life_s: Above0 = 10
    boot_s: Least0 = 2
    drain_s: Least0 = 3
    push_s: Above0 = 2
    told_ms: Least0 = 400
    window_s: Above0 = 3
    free: Least0 = 1
    guarded: Annotated[int, Meta(ge=0)] = 2
    tally_s: Least0 = 0
    tally_share: Share = 0.4
    complaint_share: Share = 0
    votes_a_s: Above0 = 60

    def fault(self) -> str | None:
        rising = all(a < b for a, b in zip(self.stages, self.stages[1:]))
        return (
            None
            if self.stages and rising and self.stages[-1] == 1
            else "expected stages that rise to 1"
        )


class Listing(Record, frozen=True, kw_only=True):
    notice_ms: Least0 = 500  # until the list knows
    spread_ms: Least0 = 200  # and one front later than another
    grace_s: Least0 = 1  # after which a machine that drains or is gone is sent nothing


class Build(Record, frozen=True, kw_only=True):
    """A build offered in the course of the day, and what is wrong with it."""

    PLACES = ("number",)
    number: Annotated[int, Meta(ge=2, lt=65536)]
    at_s: Least0
    fault_kind: Literal["none", "fails", "slower", "wrong", "drags", "under-load", "late"] = "none"
    size: Least0 = 0  # the share that fails or is wrong; or how many times the work
    profile: str = ""  # fails or is wrong for these alone
    after_s: Least0 = 6  # late: from this age on
    busy: Share = 0.5  # under-load: from this share of busy workers on
    speed: Above0 = 1

    def fault(self) -> str | None:
        if self.fault_kind in ("fails", "wrong") and not 0 < self.size <= 1:
            return f"expected a size above 0 and up to 1 for fault-kind {self.fault_kind!r}"
        if self.fault_kind in ("slower", "drags", "under-load", "late") and self.size <= 1:
            return f"expected a size above 1 for fault-kind {self.fault_kind!r}"
        return None


class Trouble(Record, frozen=True, kw_only=True):
    """Something that goes wrong for a time. ``part`` is the share of the group's machines (or of
    the fronts) it takes."""

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
    at_s: Least0
    for_s: Above0 = 1
    group: str = ""
    part: Annotated[float, Meta(gt=0, le=1)] = 1
    size: Least0 = 1  # slow, shared-slow: how many times; errors, resets, lost, spoilt: the share

    def fault(self) -> str | None:
        if self.kind in ("errors", "resets", "lost", "spoilt") and not 0 < self.size <= 1:
            return f"expected a size above 0 and up to 1 for '{self.kind}'"
        if self.kind in ("slow", "shared-slow") and self.size < 1:
            return f"expected a size of at least 1 for '{self.kind}'"
        return None


class Day(Record, frozen=True, kw_only=True):
    PLACES = ("name",)
    name: Word
    length_s: Annotated[float, Meta(gt=0, le=3600)]
    seed: int = 1
    settle_s: Least0 = 2  # at the start, which no figure counts
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
    trouble: tuple[Trouble, ...] = ()
    tries: Count = 5  # hand-offs for a query at the most
    copies: bool = True  # a second one may run beside the first, where a repeat is harmless

    def fault(self) -> str | None:
        groups, profiles = [one.name for one in self.group], [one.name for one in self.profile]
        for what, names in (("group", groups), ("profile", profiles)):
            if twice := next((one for one in names if names.count(one) > 1), None):
                return f"expected one {what} {twice!r}, not two"
        for one in self.trouble:
            if one.group and one.group not in groups:
                return f"expected a group of {', '.join(groups)} for trouble '{one.kind}', not {one.group!r}"
            if one.at_s >= self.length_s:
                return f"expected trouble '{one.kind}' to begin before the day ends at {self.length_s:g} s"
        for one in self.build:
            if one.profile and one.profile not in profiles:
                return f"expected a profile of {', '.join(profiles)} for build {one.number}, not {one.profile!r}"
        numbers = [one.number for one in self.build]
        if any(a >= b for a, b in zip(numbers, numbers[1:])):
            return "expected builds with numbers that rise"
        return (
            None
            if self.settle_s < self.length_s
            else "expected settle-s to be shorter than length-s"
        )

    @property
    def machines(self) -> int:
        return sum(one.machines for one in self.group)

    def changed(self, **fields) -> "Day":
        return structs.replace(self, **fields)


SHIPPED = Path(__file__).parent / "days"


def read_day(path: str) -> Day:
    """A sheet by its path, or a shipped day by its name. Raises SheetError."""
    shipped = SHIPPED / f"{path}.kdl"
    return read_sheet(shipped if "/" not in path and shipped.exists() else path, "day", Day)


def shipped_days() -> list[str]:
    return sorted(one.stem for one in SHIPPED.glob("*.kdl"))


__all__ = ["SECOND", "Day", "SheetError", "micros", "read_day", "shipped_days"]

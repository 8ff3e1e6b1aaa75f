"""The fleet that a plan is for, as a KDL sheet gives it: the laboratory's words for machines and
fronts, and the goal."""

from typing import Annotated

from msgspec import Meta

from umbermoor.front.kdl_sheet import Record, SheetError, read_sheet
from umbermoor.lab.day import (
    Build,
    Clients,
    Cold,
    Count,
    Fronts,
    Group,
    Listing,
    Name,
    Network,
    NonNegative,
    Platform,
    Positive,
    Share,
)


class ProfileWish(Record, frozen=True, kw_only=True):
    """What the capture does not know of a profile, or should not decide."""

    PLACES = ("name",)
    name: Name
    value: NonNegative = 1
    goal: Annotated[float, Meta(gt=0, lt=1)] | None = None  # in place of the fleet's
    work_ms: Positive | None = None  # where the capture cannot tell


class Limits(Record, frozen=True, kw_only=True):
    """Rates and costs that no machine has."""

    platform_calls_s: Positive = 60  # of all fronts together
    list_calls_s: Positive = 1000
    front_cpu_us: Positive = (
        1400  # of a core, for a query's whole way; measured, see docs/planner.md
    )
    front_base_mb: Positive = 25
    query_kb: Positive = 24  # that an open query holds in a front


class Fleet(Record, frozen=True, kw_only=True):
    PLACES = ("name",)
    name: Name
    goal: Annotated[float, Meta(gt=0, lt=1)] = (
        0.995  # the share within the target time, of every profile
    )
    growth: tuple[Positive, ...] = (1.0, 1.5, 2.0)
    front: Fronts = Fronts()
    network: Network = Network()
    group: Annotated[tuple[Group, ...], Meta(min_length=1)]
    cold: Cold = Cold()
    clients: Clients = Clients()
    platform: Platform = Platform()
    listing: Listing = Listing()
    limits: Limits = Limits()
    profile: tuple[ProfileWish, ...] = ()
    build: tuple[Build, ...] = ()  # what a bad build may do
    bad_share: Share = 0.4  # of the builds
    tries: Count = 5

    def fault(self) -> str | None:
        for what, names in (
            ("group", [one.name for one in self.group]),
            ("profile", [one.name for one in self.profile]),
        ):
            if twice := next((one for one in names if names.count(one) > 1), None):
                return f"expected one {what} {twice!r}, not two"
        if len(self.growth) != len(set(self.growth)):
            return "expected each growth once"
        return None

    @property
    def machines(self) -> int:
        return sum(one.machines for one in self.group)

    @property
    def workers(self) -> int:
        return sum(one.machines * one.workers for one in self.group)

    @property
    def capacity(self) -> float:
        """Workers at speed 1."""
        return sum(one.machines * one.workers * one.speed for one in self.group)

    def goal_of(self, name: str) -> float:
        return next(
            (one.goal for one in self.profile if one.name == name and one.goal is not None),
            self.goal,
        )


def read_fleet(path: str) -> Fleet:
    return read_sheet(path, "fleet", Fleet)


__all__ = ["Fleet", "SheetError", "read_fleet"]

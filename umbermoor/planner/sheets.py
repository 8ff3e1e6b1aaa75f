"""The schema of the KDL file that describes a fleet to plan for.

It reuses the laboratory's records for machines and fronts and adds the goal.
"""

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
    """Settings of a profile that the capture does not contain or that override it."""

    PLACES = ("name",)
    name: Name
    value: NonNegative = 1
    goal: Annotated[float, Meta(gt=0, lt=1)] | None = None  # overrides the fleet's goal
    work_ms: Positive | None = None  # replaces the estimate from the capture


class Limits(Record, frozen=True, kw_only=True):
    """Rates and costs outside the machines."""

    platform_calls_s: Positive = 60  # calls per second that the platform takes from all fronts
    list_calls_s: Positive = 1000
    # CPU time of a front for one query from start to end; measured, see docs/planner.md.
    front_cpu_us: Positive = 1400
    front_base_mb: Positive = 25
    query_kb: Positive = 24  # memory that an open query takes in a front


class Fleet(Record, frozen=True, kw_only=True):
    """A fleet: its machines, fronts, surroundings and goal."""

    PLACES = ("name",)
    name: Name
    # The share of queries within the target time that every profile must reach.
    goal: Annotated[float, Meta(gt=0, lt=1)] = 0.995
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
    build: tuple[Build, ...] = ()  # faulty builds whose rollout is simulated
    bad_share: Share = 0.4  # share of builds that are faulty
    tries: Count = 5

    def fault(self) -> str | None:
        """Return what is inconsistent between fields, or None."""
        for what, names in (
            ("group", [group.name for group in self.group]),
            ("profile", [profile.name for profile in self.profile]),
        ):
            if duplicate := next((name for name in names if names.count(name) > 1), None):
                return f"expected one {what} {duplicate!r}, not two"
        if len(self.growth) != len(set(self.growth)):
            return "expected each growth once"
        return None

    @property
    def machines(self) -> int:
        return sum(group.machines for group in self.group)

    @property
    def workers(self) -> int:
        return sum(group.machines * group.workers for group in self.group)

    @property
    def capacity(self) -> float:
        """The number of workers, weighted by speed."""
        return sum(group.machines * group.workers * group.speed for group in self.group)

    def goal_of(self, name: str) -> float:
        """Return the goal of a profile: its own or the fleet's."""
        return next(
            (
                profile.goal
                for profile in self.profile
                if profile.name == name and profile.goal is not None
            ),
            self.goal,
        )


def read_fleet(path: str) -> Fleet:
    """Read a fleet file.

    Raises:
        SheetError: The file cannot be read or is invalid.
    """
    return read_sheet(path, "fleet", Fleet)


__all__ = ["Fleet", "SheetError", "read_fleet"]

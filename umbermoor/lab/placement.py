"""The places of a fleet by group, the machines at them, and which ones a fault affects."""

from umbermoor.lab.chance import Chance, draw_sample
from umbermoor.lab.day import Day, FaultInjection, Group
from umbermoor.lab.machine import Machine
from umbermoor.lab.release import interleaved_places

# The field of `machine.ActiveFaults` that a kind of fault sets; other kinds end or drain machines.
FAULT_FIELDS = {
    "pause": "paused",
    "hang": "hang",
    "slow": "slow",
    "shared-slow": "slow",
    "errors": "errors",
    "resets": "resets",
    "lost": "lost",
    "spoilt": "spoilt",
}
SWITCHES = ("paused", "hang")  # boolean fields
NORMAL_SLOWNESS = 1.0


class Placement:
    """The fleet's places, group after group; a place is an index into `groups`."""

    def __init__(self, day: Day, chance: Chance) -> None:
        self._day, self._chance = day, chance
        self.groups: list[Group] = [group for group in day.group for _ in range(group.machines)]
        self.rollout_order = interleaved_places([group.machines for group in day.group])
        self._speeds = [
            draw_sample(chance.stream("speed", place), group.speed, "lognormal", group.speed_cv)
            for place, group in enumerate(self.groups)
        ]
        self._builds = {build.number: build for build in day.build}
        self._profiles = tuple(row.name for row in day.profile)

    def __len__(self) -> int:
        return len(self.groups)

    def make_machine(self, name: str, place: int, build: int, born: int) -> Machine:
        """Return a machine at a place that started at `born` (microseconds; 0: long ago)."""
        return Machine(
            name,
            self.groups[place],
            build,
            self._builds.get(build),
            self._profiles,
            self._speeds[place],
            born,
            self._day.cold,
            self._chance,
        )

    def affected_places(self, fault: FaultInjection) -> list[int]:
        """Return the places that a fault affects: its share of a group, at least one place.

        They are drawn at random, but are the same in each run of a day.
        """
        candidates = [
            place
            for place, group in enumerate(self.groups)
            if not fault.group or group.name == fault.group
        ]
        if not candidates:
            return []
        ranked = sorted(
            candidates,
            key=lambda place: (self._chance.at("struck", fault.kind, fault.at_s, place), place),
        )
        return sorted(ranked[: max(1, round(fault.part * len(candidates)))])


def fault_fields(fault: FaultInjection, begins: bool) -> dict[str, float | bool]:
    """Return the fields of `machine.ActiveFaults` that a fault sets when it begins or ends."""
    name = FAULT_FIELDS.get(fault.kind)
    if name is None:
        return {}
    if name in SWITCHES:
        return {name: begins}
    if begins:
        return {name: fault.size}
    return {name: NORMAL_SLOWNESS if name == "slow" else 0.0}

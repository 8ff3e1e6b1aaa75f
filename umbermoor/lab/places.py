"""Which machines a fleet has: their places by group, and what each place's machines are like."""

from umbermoor.lab.chance import Chance, drawn
from umbermoor.lab.day import Day, Group, Trouble
from umbermoor.lab.machine import Machine
from umbermoor.lab.release import spread_order


class Places:
    """The fleet's places, group after group, and the machines made for them."""

    def __init__(self, day: Day, chance: Chance) -> None:
        self._day, self._chance = day, chance
        self.groups: list[Group] = [group for group in day.group for _ in range(group.machines)]
        self.order = spread_order([group.machines for group in day.group])
        self._speeds = [
            drawn(chance.stream("speed", place), group.speed, "lognormal", group.speed_cv)
            for place, group in enumerate(self.groups)
        ]
        self._builds = {one.number: one for one in day.build}
        self._names = tuple(row.name for row in day.profile)

    def __len__(self) -> int:
        return len(self.groups)

    def make(self, name: str, place: int, build: int, born: int) -> Machine:
        fault = self._builds.get(build)
        return Machine(
            name,
            self.groups[place],
            build,
            fault,
            self._names,
            self._speeds[place],
            born,
            self._day.cold,
            self._chance,
        )

    def struck(self, trouble: Trouble, places: list[int]) -> list[int]:
        """The places of these that a trouble takes: its part of them, at least one, the same ones
        for the same day."""
        fit = [one for one in places if not trouble.group or self.groups[one].name == trouble.group]
        ranked = sorted(
            fit, key=lambda one: (self._chance.at("struck", trouble.kind, trouble.at_s, one), one)
        )
        return sorted(ranked[: max(1, round(trouble.part * len(fit)))]) if fit else []


CHANGES = {
    "pause": "paused",
    "hang": "hang",
    "slow": "slow",
    "shared-slow": "slow",
    "errors": "errors",
    "resets": "resets",
    "lost": "lost",
    "spoilt": "spoilt",
}


def plight_of(trouble: Trouble, on: bool) -> dict[str, float | bool]:
    """What a trouble sets on a machine as it begins or ends; nothing for those that take whole
    machines."""
    name = CHANGES.get(trouble.kind)
    if name is None:
        return {}
    if name in ("paused", "hang"):
        return {name: on}
    return {name: trouble.size if on else 1.0 if name == "slow" else 0.0}

"""Which builds are on trial, and how much of the traffic these get: share, turns owed, credit."""

from umbermoor.front.interface import Phase
from umbermoor.front.policy.state import CIRCLE, State
from umbermoor.front.records import Machine, Query

MOVING = (Phase.TRIAL, Phase.GOING_BACK)
MOST_OWED = 2.0  # hand-offs that the trial may catch up on


class Exposure(State):
    def _on_trial(self, build: int) -> bool:
        if self.news is None:
            return any(build > machine.build for machine in self.machines.values())
        return build > self.news.build or build == self.news.build and self.news.phase is not Phase.RELEASED

    def _regroup(self) -> None:
        circle = CIRCLE / self.charter.fronts if self.charter.may_tell else 0.0
        self.circle = circle if circle * len(self.machines) >= 4 else 0.0  # sharing fewer, it tells nothing
        ready = sorted((one for one in self.machines.values() if one.ready), key=lambda one: one.rank)
        self.sides = tuple([one for one in ready if self._on_trial(one.build) is on] for on in (False, True))
        self.tags = {machine.tag: machine.id for machine in ready} if self.circle else {}
        self.share = len(self.sides[1]) / max(1, len(self.sides[0]) + len(self.sides[1]))

    def _turn_due(self, held: Query) -> bool:
        """Whether the trial is due this query, lost turns among many fronts included. Threat: credit not full yet loses
        half of them; of few fronts, to catch up whatever waits there makes a good build late in a full fleet."""
        owed = self.owed * (self.charter.fronts > CIRCLE)
        self.owed = min(MOST_OWED, owed + self.share * (not held.hand_offs))
        return not held.hand_offs and self.random() < self.owed

    def _charge(self, held: Query, machine: Machine, times: int) -> None:
        machine.room -= times * max(held.cost, self.mean_cost)  # hints are rough, light ones most of all
        if self._on_trial(machine.build):
            self.credit[held.scope] -= times

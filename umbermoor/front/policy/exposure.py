"""Which builds are on trial, and how much of the traffic they get: share, turns due, credit."""

from umbermoor.front.interface import Phase
from umbermoor.front.policy.state import GROUP_SIZE, State
from umbermoor.front.records import Machine, Query

MOVING = (Phase.TRIAL, Phase.GOING_BACK)
MAX_TURNS_DUE = 2.0  # hand-offs that the trial may make up for


class Exposure(State):
    def _on_trial(self, build: int) -> bool:
        if self.news is None:
            return any(build > machine.build for machine in self.machines.values())
        return build > self.news.build or build == self.news.build and self.news.phase is not Phase.RELEASED

    def _regroup(self) -> None:
        share = GROUP_SIZE / self.charter.fronts if self.charter.may_tell else 0.0
        self.group_share = share if share * len(self.machines) >= 4 else 0.0  # else too few to choose from
        ready = sorted((m for m in self.machines.values() if m.ready), key=lambda machine: machine.rank)
        self.candidates = tuple([m for m in ready if self._on_trial(m.build) is new] for new in (False, True))
        self.ids_by_tag = {machine.tag: machine.id for machine in ready} if self.group_share else {}
        self.trial_share = len(self.candidates[1]) / max(1, len(self.candidates[0]) + len(self.candidates[1]))

    def _turn_due(self, query: Query) -> bool:
        """Return whether the trial takes this query. Many fronts make up for turns that lacked credit (half
        of them). Few fronts do not: in a full fleet the extra queries would make a good build late."""
        due = self.turns_due * (self.charter.fronts > GROUP_SIZE)
        self.turns_due = min(MAX_TURNS_DUE, due + self.trial_share * (not query.hand_offs))
        return not query.hand_offs and self.random() < self.turns_due

    def _charge(self, query: Query, machine: Machine, times: int) -> None:
        machine.room -= times * max(query.cost, self.mean_cost)  # hints of light queries are the worst
        if self._on_trial(machine.build):
            self.credit[query.scope] -= times

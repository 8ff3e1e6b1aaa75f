"""Guards against a controller that nobody succeeds: its zone was on no disk when all were killed."""

from tests.gateway.control.replacements import ReplacementWorld
from umbermoor.gateway.simulation import observations
from umbermoor.gateway.simulation.schedule import MARGINS, Step, parse
from umbermoor.gateway.units import MILLISECOND, SECOND

ALL_KILLED_AT = 1_100 * MILLISECOND  # soon after the founding
BACK_MS, REPLACED_AFTER_MS = 300, 400
SETTLING = round(MARGINS["settlingS"] * SECOND)
DAY = "day seed={seed} members=3 fronts=1 bear=1 long=1000\n"


class EarlyLossWorld(ReplacementWorld):
    """All controllers are killed right after the founding, and one of them is lost for good."""

    members: tuple[str, ...] = ()
    was_founded = False

    def _start_nodes(self) -> None:
        super()._start_nodes()
        self.time.after(ALL_KILLED_AT, self._kill_and_lose)
        back_at = ALL_KILLED_AT + REPLACED_AFTER_MS * MILLISECOND
        self.time.after(back_at + SETTLING, self._note_members)

    def _kill_and_lose(self) -> None:
        self.was_founded = len(self.newest_chain()) == len(self.controllers)
        for node in list(self.controllers.values())[:-1]:
            self.process_faults.kill(node, BACK_MS, power_lost=False)
        arguments = ("on", "2"), ("how", "lost"), ("lead", str(REPLACED_AFTER_MS))
        self._act(Step(0, "core_replace", arguments))

    def _note_members(self) -> None:
        nodes = filter(observations.replica_started, self.controllers.values())
        self.members = max((observations.replica_status(node).members for node in nodes), key=len)


def test_a_controller_that_is_lost_right_after_the_founding_is_succeeded():
    for seed in range(6):
        world = EarlyLossWorld(parse(DAY.format(seed=seed)))
        world.run()
        assert world.was_founded
        assert set(world.members) == set(world.controllers), seed

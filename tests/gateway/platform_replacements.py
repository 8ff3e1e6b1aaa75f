"""Permanent replacements of replica set members by a platform, in various orders of events.

They run in virtual time, see `replica_set_world`. A newcomer starts empty, is marked by the platform
as a possible successor, and runs in the zone of the member that it replaces; it may start before that
member ends. Times are microseconds.
"""

from collections.abc import Callable
from itertools import combinations

from tests.gateway.replica_set_world import ReplicaSetWorld
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.units import MILLISECOND, SECOND

SETTLING = 4 * SECOND  # the smallest `settlingS` of the deployments


class ReplacingPlatform(ReplicaSetWorld):
    """A replica set whose spares run only once the platform starts them.

    Attributes:
        gone: machines that never start again.
        expected: the members once all replacements are complete.
    """

    def __init__(self, seed: int, members: int) -> None:
        super().__init__(seed, members, spares=2 * members, with_succession=True)
        self.seed = seed
        self.gone: set[str] = set()
        self.unused = [name for name in self.names if name not in self.first]
        self.expected = set(self.first)
        for name in self.first:
            self.start(name)
        if not self.run(5 * SECOND, self.whole):
            raise InvariantViolation(Invariant.NOT_STARTED, "not founded", self.now)
        self.run(2 * SECOND)

    def start_all(self, cold: bool | None = None) -> None:
        for name in self.names:
            machine = self.machines[name]
            if not machine.member and name not in self.gone and name not in self.unused:
                self.start(name, cold)

    def _zone(self, name: str) -> int:
        return self.names.index(name) % 3

    def member(self, place: int) -> str:
        """Return a first member, chosen by the seed; different places give different members."""
        return self.first[(place + self.seed) % len(self.first)]

    def beside(self, member: str) -> str:
        """Return another first member in the same zone, or else any other first member."""
        others = [name for name in self.first if name != member]
        return next((name for name in others if self._zone(name) == self._zone(member)), others[0])

    def newcomer(self, member: str) -> str:
        """Start an empty machine that is to replace a member, and return its name."""
        name = next(name for name in self.unused if self._zone(name) == self._zone(member))
        self.unused.remove(name)
        self.start(name)
        self.expected = self.expected - {member} | {name}
        return name

    def kill(self, member: str) -> None:
        """Stop a member for good, without notice."""
        self.gone.add(member)
        self.stop(member)

    def terminate(self, member: str) -> None:
        """Ask a member to leave; it does not start again."""
        self.gone.add(member)
        self.leave(member)

    def wait(self, seconds: float) -> None:
        """Advance time, with a write every 500 ms."""
        until = self.now + round(seconds * SECOND)
        while self.now < until:
            running = [name for name in self.members() if self.machines[name].member]
            self.put(running[0], "config/a")
            self.run(min(500 * MILLISECOND, until - self.now))

    def check_settled(self) -> None:
        """Check that all newcomers have replaced their members and the chain is whole."""
        self.wait(SETTLING / SECOND)
        if set(self.members()) != self.expected or not self.whole():
            statuses = [self.machines[name].member for name in self.members()]
            raise InvariantViolation(
                Invariant.NOT_RECOVERED,
                f"members {self.members()}, expected {sorted(self.expected)}; "
                f"{[member and member.status() for member in statuses]}",
                self.now,
            )

    def close(self, lost: tuple[int, ...]) -> None:
        """Right after an acknowledgement, wipe the disks of these members and stop all."""
        call = self.calls[self.put(self.members()[-1], "config/closing")]
        self.run(SECOND, lambda: call.answered is not None)
        for place in lost:
            self.lose_disk(self.members()[place])
        for name in self.names:
            self.stop(name)
        self.run(800 * MILLISECOND)
        self.check()


def _planned(world: ReplacingPlatform) -> None:
    world.newcomer(world.member(0))
    world.wait(6)
    world.terminate(world.member(0))


def _planned_in_a_hurry(world: ReplacingPlatform) -> None:
    world.newcomer(world.member(0))
    world.wait(0.5)
    world.terminate(world.member(0))


def _planned_and_killed(world: ReplacingPlatform) -> None:
    world.newcomer(world.member(0))
    world.wait(6)
    world.kill(world.member(0))


def _planned_while_another_restarts(world: ReplacingPlatform) -> None:
    world.newcomer(world.member(0))
    world.wait(3)
    other = world.beside(world.member(0))
    world.leave(other)
    world.wait(1.5)
    world.start(other)
    world.wait(3)
    world.terminate(world.member(0))


def _planned_while_another_is_cut_off(world: ReplacingPlatform) -> None:
    world.newcomer(world.member(0))
    world.wait(3)
    world.cut_off(world.names.index(world.beside(world.member(0))) + 1)
    world.wait(6)
    world.cut.clear()
    world.wait(3)
    world.terminate(world.member(0))


def _planned_and_all_lose_power(world: ReplacingPlatform) -> None:
    world.newcomer(world.member(0))
    world.wait(3)
    world.terminate(world.member(0))
    world.run(world.rng.randrange(150) * MILLISECOND)
    for name in world.names:
        world.stop(name)
    world.run(800 * MILLISECOND)
    world.start_all(cold=False)


def _lost(newcomer_after_s: float) -> Callable[[ReplacingPlatform], None]:
    def lose(world: ReplacingPlatform) -> None:
        world.kill(world.member(0))
        world.wait(newcomer_after_s)
        world.newcomer(world.member(0))

    return lose


def _two_lost_at_once(world: ReplacingPlatform) -> None:
    for place in (0, 1):
        world.kill(world.member(place))
    world.run(SECOND)
    for place in (0, 1):
        world.newcomer(world.member(place))


def _two_planned_at_once(world: ReplacingPlatform) -> None:
    for place in (0, 1):
        world.newcomer(world.member(place))
    world.wait(6)
    for place in (0, 1):
        world.terminate(world.member(place))


def _two_lost_in_turn(world: ReplacingPlatform) -> None:
    for place, newcomer_after_s in ((0, 0.5), (1, 0.3)):
        world.kill(world.member(place))
        world.run(round(newcomer_after_s * SECOND))
        world.newcomer(world.member(place))


def _newcomer_lost_too(world: ReplacingPlatform) -> None:
    world.kill(world.member(0))
    world.wait(1)
    first = world.newcomer(world.member(0))
    world.wait(6)
    world.kill(first)
    world.wait(0.4)
    world.newcomer(first)


def _newcomer_lost_as_a_new_member(world: ReplacingPlatform) -> None:
    """All lose power just after the newcomer became a member, and it does not start again."""
    world.kill(world.member(0))
    world.wait(1)
    first = world.newcomer(world.member(0))
    world.run(4 * SECOND, lambda: first in world.members())
    world.gone.add(first)
    for name in world.names:
        world.stop(name)
    world.run(800 * MILLISECOND)
    world.start_all(cold=False)
    world.wait(1)
    world.newcomer(first)


def _back_after_all(world: ReplacingPlatform) -> None:
    """A replaced member returns with its disk; then its successor stops for good."""
    member = world.member(0)
    world.stop(member)
    world.wait(1)
    newcomer = world.newcomer(member)
    world.wait(6)
    world.start(member)
    world.wait(3)
    world.kill(newcomer)
    world.expected = world.expected - {newcomer} | {member}


ORDERS: dict[str, Callable[[ReplacingPlatform], None]] = {
    "planned": _planned,
    "planned, SIGTERM 0.5 s after the newcomer": _planned_in_a_hurry,
    "planned, and killed": _planned_and_killed,
    "planned, while another in its zone restarts": _planned_while_another_restarts,
    "planned, while another in its zone is cut off": _planned_while_another_is_cut_off,
    "planned, and all lose power in the middle": _planned_and_all_lose_power,
    "lost, a newcomer at once": _lost(0),
    "lost, a newcomer 0.4 s later": _lost(0.4),
    "lost, a newcomer 1 s later": _lost(1),
    "lost, a newcomer 5 s later": _lost(5),
    "lost, and its newcomer after it": _newcomer_lost_too,
    "lost, and its newcomer as a new member": _newcomer_lost_as_a_new_member,
    "succeeded, and back after all": _back_after_all,
    "two lost at once": _two_lost_at_once,
    "two planned at once": _two_planned_at_once,
    "two lost, one after the other": _two_lost_in_turn,
}


def play(order: str, members: int, seed: int) -> None:
    """Run a replacement, wait until it settles, and lose the tolerated number of disks.

    The seed determines which disks are lost.

    Raises:
        InvariantViolation: acknowledged data is lost, or newcomers did not replace their members.
    """
    world = ReplacingPlatform(seed, members)
    ORDERS[order](world)
    world.check_settled()
    losses = list(combinations(range(members), world.tolerated_losses))
    world.close(losses[seed % len(losses)])

"""A simulated replica set whose members change while it serves, in virtual time.

It covers newcomers, removed members, and the question which disks may be lost.
"""

import json
import random
from dataclasses import replace

from umbermoor.gateway.effects import CallResult, Status
from umbermoor.gateway.replication import replica_set
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.simulation.replica_storm import contend, inject_fault
from umbermoor.gateway.simulation.replica_world import ReplicaMachine, ReplicaWorld
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.units import MILLISECOND


class ReplicaSetWorld(ReplicaWorld):
    """A world with `spares` additional machines.

    They start with empty disks, and are members only after a change of the replica set.
    """

    def __init__(
        self,
        seed: int,
        members: int = 3,
        spares: int = 2,
        tolerated_losses: int | None = None,
        with_succession: bool = False,
        spares_may_succeed: bool = True,
    ) -> None:
        super().__init__(seed, members, tolerated_losses)
        # Machines have zones, so that learners may succeed members.
        self.with_succession = with_succession
        self.spares_may_succeed = spares_may_succeed  # the platform marks them as quorum members
        self.first = list(self.names)
        for n in range(spares):
            name = f"10.0.0.{100 + n}"
            self.machines[name] = ReplicaMachine(name, wiped=True)
        self.names = list(self.machines)
        self.sets_by_number: dict[int, ReplicaSet] = {}  # sets that have been in force
        self.newest: tuple[int, ReplicaSet] = (0, replica_set.NO_MEMBERS)
        self.changes: dict[int, Status | None] = {}
        self.refusals: list[str] = []

    def start(self, name: str, cold: bool | None = None) -> None:
        machine = self.machines[name]
        if (self.newest[0] and "members" not in machine.disk) or name not in self.first:
            cold = False
        super().start(name, cold)
        member = self.machines[name].member
        assert member
        if self.with_succession:
            context = member.context
            context.identity = replace(
                context.identity,
                zone=f"z{self.names.index(name) % 3}",
                quorum_member=self.spares_may_succeed or name in self.first,
            )

    def start_all(self, cold: bool | None = None) -> None:
        for name in self.names if self.newest[0] else self.first:
            if not self.machines[name].member:
                self.start(name, cold)

    def _look(self, machine: ReplicaMachine, member: Replica) -> None:
        super()._look(machine, member)
        epoch, sets = member.context.sets.proven
        if epoch:
            known = self.sets_by_number.setdefault(sets.number, sets)
            if known.new != sets.new:
                raise InvariantViolation(
                    Invariant.STATE_DIVERGED,
                    f"two sets with number {sets.number}: {known.new} and {sets.new}",
                    self.now,
                )
            before = self.sets_by_number.get(sets.number - 1)
            if (
                sets.number
                and before
                and (
                    sets.old not in (before.new, sets.new)
                    or _count_differing_members(before, sets) > 2
                )
            ):
                raise InvariantViolation(
                    Invariant.STATE_DIVERGED, f"{sets} follows {before}", self.now
                )
            if epoch > self.newest[0]:
                if sets.number < self.newest[1].number:
                    raise InvariantViolation(
                        Invariant.STATE_WENT_BACK,
                        f"{sets} replaced the later {self.newest[1]}",
                        self.now,
                    )
                self.newest = epoch, sets

    def machine_name(self, number: int) -> str:
        """Return the machine of that number, from 1 on: the first members, then the spares."""
        return self.names[number - 1]

    def cut_off(self, *numbers: int) -> None:
        """Partition the network: the given machines reach each other and no others."""
        apart = {self.machine_name(number) for number in numbers}
        for name in apart:
            for other in set(self.names) - apart:
                self.cut |= {(name, other), (other, name)}

    # disks that may be lost

    def machines_with_needed_disks(self) -> set[str]:
        """Return the machines whose disks may not be lost, except for `tolerated_losses` of them.

        These are the members; the machines that a change in progress still needs; and removed
        members, as long as too few of the remaining members have stored the removal.
        """
        epoch, sets = self.newest
        names = set(sets.members)
        stored = [
            json.loads(machine.disk["sets"])
            for machine in self.machines.values()
            if "sets" in machine.disk
        ]
        up_to_date = [
            machine.name
            for machine in self.machines.values()
            if "sets" in machine.disk
            and json.loads(machine.disk["sets"])[2][1] >= sets.number
            and machine.name in names
        ]
        if len(up_to_date) <= self.tolerated_losses:
            names |= set(sets.names)
        for machine in self.machines.values():
            if "sets" in machine.disk and json.loads(machine.disk["view"])[0] > epoch:
                names |= set(ReplicaSet.from_json(json.loads(machine.disk["sets"])[0]).names)
        assert stored or not epoch
        return names

    def lose_disk(self, name: str) -> bool:
        machine = self.machines[name]
        needed = self.machines_with_needed_disks()
        lost = sum(self.machines[member].wiped for member in needed)
        if name in needed and lost >= self.tolerated_losses and not machine.wiped:
            return False
        self.stop(name)
        machine.disk.clear()
        machine.wiped = True
        machine.member = None
        machine.seen = (0, 0)
        return True

    # changes

    def change(self, name: str, add: str = "", remove: str = "", dry_run: bool = False) -> int:
        """Order the change at that machine; return the number of its answer in `changes`."""
        machine = self.machines[name]
        number = -len(self.changes) - 1
        self.changes[number] = None
        assert machine.member
        self._do(machine, machine.member.change(self.now, number, add, remove, dry_run))
        return number

    def _answered(self, answer: CallResult) -> None:
        if answer.request_id >= 0:
            super()._answered(answer)
            return
        if self.changes[answer.request_id] is not None:
            raise InvariantViolation(
                Invariant.ANSWERED_TWICE, f"change {answer.request_id} was answered twice", self.now
            )
        self.changes[answer.request_id] = answer.status
        if answer.status is Status.CONFLICT:
            self.refusals.append(answer.value["why"])

    def leave(self, name: str, within: int = 2000 * MILLISECOND) -> None:
        """Send SIGTERM: the replica hands over, and ends."""
        machine = self.machines[name]
        if machine.member:
            self._do(machine, machine.member.hand_over(self.now))
            self._stop_when_handed_over(machine, machine.life, self.now + within)

    def _stop_when_handed_over(self, machine: ReplicaMachine, life: int, until: int) -> None:
        if machine.member and machine.life == life:
            if machine.member.handed_over or self.now >= until:
                self.stop(machine.name)
            else:
                self.after(
                    20 * MILLISECOND, lambda: self._stop_when_handed_over(machine, life, until)
                )

    # checks

    def members(self) -> list[str]:
        return list(self.newest[1].members)

    def whole(self) -> bool:
        names = self.members() or self.first
        running = [self.machines[name].member for name in names if self.machines[name].member]
        return len(running) == len(names) and all(
            sorted(member.status().chain) == sorted(names)
            and member.status().role not in ("out", "blank", "learner")
            and not member.degraded
            for member in running
        )

    def settle(self) -> None:
        super().settle()
        self.run(2200 * MILLISECOND)  # replicas that were told to end have ended
        self.start_all()

    def check(self) -> None:
        """Check the replica set after all faults have ended.

        The chain of all members must become healthy, hold every acknowledged write, and accept puts
        at each member.
        """
        self.settle()
        if not self.run(20_000 * MILLISECOND, self.whole):
            statuses = [
                (name, machine.member and machine.member.status(), machine.wiped)
                for name, machine in self.machines.items()
            ]
            raise InvariantViolation(
                Invariant.NOT_RECOVERED, f"not healthy: {self.newest} {statuses}", self.now
            )
        self.run(1500 * MILLISECOND)
        for name in self.members():
            for number in (self.put(name, "config/last"), self.read(name)):
                self.run(900 * MILLISECOND)
                if self.calls[number].answered is not Status.OK:
                    raise InvariantViolation(
                        Invariant.NOT_RECOVERED,
                        f"{name} answers {self.calls[number].answered} after all faults ended",
                        self.now,
                    )
        for name in self.members():
            member = self.machines[name].member
            assert member
            for key, rev in self.model.acknowledged.items():
                if member.committed[key]["rev"] < rev:
                    raise InvariantViolation(
                        Invariant.ACKNOWLEDGED_LOST,
                        f"{name} holds {member.committed[key]}, {rev} was acknowledged",
                        self.now,
                    )
        self.model.check_end(self.now)


def _count_differing_members(first: ReplicaSet, second: ReplicaSet) -> int:
    return len(set(first.members) ^ set(second.members))


def founded_replica_set_world(
    seed: int,
    members: int = 3,
    spares: int = 2,
    tolerated_losses: int | None = None,
    with_succession: bool = False,
    spares_may_succeed: bool = True,
) -> ReplicaSetWorld:
    """Return a world whose members have founded their system and whose spares run as learners."""
    world = ReplicaSetWorld(
        seed, members, spares, tolerated_losses, with_succession, spares_may_succeed
    )
    for name in world.first:
        world.start(name)
    if not world.run(5_000 * MILLISECOND, world.whole):
        raise InvariantViolation(Invariant.NOT_STARTED, "not founded", world.now)
    world.start_all()
    world.run(2500 * MILLISECOND)
    return world


def run_replica_set_storm(
    seed: int, members: int = 3, spares: int = 2, steps: int = 60, changes: int = 0
) -> ReplicaSetWorld:
    """Run random faults, calls and changes of the set for a while, then a calm period.

    With `changes`, the storm continues for up to ten times as many steps until that many changes
    have come into force. Raises InvariantViolation.
    """
    world = founded_replica_set_world(seed, members, spares, with_succession=seed % 2 == 1)
    chance = world.rng
    if seed % 3 == 0:
        contend(world, chance, steps // 4)
    severity = chance.choice((0.2, 0.4, 0.8, 1.5))
    done = 0
    while done < steps or (world.newest[1].number < changes and done < 10 * steps):
        done += 1
        for _ in range(chance.choice((0, 1, 1, 3))):
            _change_at_random(world, chance)
        if chance.random() < 0.6:
            inject_fault(world, chance, severity)
        if chance.random() < 0.1:
            world.leave(chance.choice(world.names))
        for _ in range(chance.randrange(5)):
            running = [name for name in world.names if world.machines[name].member]
            if running:
                name = chance.choice(running)
                key = chance.choice(("config/a", "config/b", "any/x"))
                world.put(name, key) if chance.random() < 0.7 else world.read(name)
            world.run(chance.randrange(60 * MILLISECOND))
        world.run(chance.choice((10, 50, 200, 1000, 2000)) * chance.randrange(MILLISECOND))
        if chance.random() < 0.35:  # a calm period: lost disks are filled, learners become ready
            world.cut.clear()
            world.loss = world.duplication = world.late = 0.0
            for machine in world.machines.values():
                machine.mode = "well"
            world.start_all()
            world.run(chance.randrange(4000 * MILLISECOND), world.whole)
            world.run(chance.randrange(1500 * MILLISECOND))
        # A removed member loses its disk and comes back as a stranger.
        if chance.random() < 0.2:
            out = [name for name in world.names if name not in world.machines_with_needed_disks()]
            if out:
                name = chance.choice(out)
                world.lose_disk(name)
                world.start(name)
        if world.with_succession and chance.random() < 0.2:
            _replace_in_zone(world, chance)
    world.check()
    return world


def _replace_in_zone(world: ReplicaSetWorld, chance: random.Random) -> None:
    """Stop or cut off a member, and start another machine in its zone, as the platform does.

    The first member may come back later.
    """
    zones = {name: place % 3 for place, name in enumerate(world.names)}
    pairs = [
        (old, new)
        for old in world.members()
        for new in world.names
        if new not in world.machines_with_needed_disks() and zones[old] == zones[new]
    ]
    if not pairs:
        return
    old, new = chance.choice(pairs)
    world.lose_disk(new)
    if chance.random() < 0.5:
        world.stop(old)
    else:
        world.cut |= {pair for other in world.names for pair in ((old, other), (other, old))}
    world.run(chance.randrange(1000, 4000) * MILLISECOND)
    if not world.machines[new].member:
        world.start(new)
    world.run(chance.randrange(500, 3000) * MILLISECOND)


def _change_at_random(world: ReplicaSetWorld, chance: random.Random) -> None:
    members = world.members()
    running = [name for name in members if world.machines[name].member]
    if not running:
        return
    strangers = [name for name in world.names if name not in members]
    add = chance.choice(strangers) if strangers and chance.random() < 0.8 else ""
    remove = chance.choice(members) if chance.random() < 0.8 else ""
    world.change(chance.choice(running), add, remove)
    if add and chance.random() < 0.15:  # the newcomer ends during the change
        world.after(chance.randrange(30 * MILLISECOND), lambda: world.stop(add))
    if chance.random() < 0.4:  # another change is ordered at about the same time
        other, place = (
            (chance.choice(("", *strangers)), chance.choice(members)),
            chance.choice(running),
        )
        world.after(
            chance.randrange(40 * MILLISECOND),
            lambda: world.machines[place].member and world.change(place, *other),
        )

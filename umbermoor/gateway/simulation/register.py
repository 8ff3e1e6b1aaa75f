"""Members of the register in virtual time, among faults, beside a plain model that tells when a
promise was broken.

Messages are lost, doubled, late, and cut one way; processes end at any step; power goes, and keeps
only what was synced; disks are wiped within `bear`, slow, hang or refuse. Everything follows from a
seed. Times are microseconds.
"""

import heapq
import json
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from umbermoor.gateway.effects import CallResult, Decision, Outcome, Send, Status, Write
from umbermoor.gateway.replication.head import Decider
from umbermoor.gateway.replication.replica import Replica

MS = 1000
TICK = 50 * MS
LATENESS = (20, 200, 2000, 8000)  # late messages are late by up to one of these, in ms


class Broken(AssertionError):
    """A promise of the register was broken."""


def judge(held: Mapping[str, Any], key: str, new: Any, epoch: int) -> Decision:
    """Revisions rise, except under keys that take whatever comes."""
    taken = key.startswith("any/") or key not in held or new["rev"] > held[key]["rev"]
    return Decision(Outcome.ACCEPTED, new) if taken else Decision(Outcome.STALE)


@dataclass
class Machine:
    name: str
    disk: dict[str, bytes] = field(default_factory=dict)
    member: Replica | None = None  # None: not running
    life: int = 0
    wiped: bool = False  # counts as lost until filled
    mode: str = "well"  # or slow, hangs, refuses
    sync: int = 2 * MS
    pending: tuple[int, dict[str, bytes | None]] | None = None
    seen: tuple[int, int] = (0, 0)
    ended: int = -(10**9)


@dataclass
class Call:
    machine: str
    began: int
    put: tuple[str, Any] | None
    floor: dict[str, int]  # per key the revision that was told before it began
    answered: Status | None = None


class Model:
    """What must hold whatever happens, slowly: every map that any member calls committed, by its
    version."""

    def __init__(self) -> None:
        self.maps: dict[tuple[int, int], str] = {}
        self.told: dict[str, int] = {}  # per key, the highest revision that an answer has told of
        self.puts = self.reads = self.later = 0

    def see(self, version: tuple[int, int], committed: dict[str, Any]) -> None:
        text = json.dumps(committed, sort_keys=True)
        if version in self.maps:
            if self.maps[version] != text:
                raise Broken(f"two maps of version {version}: {self.maps[version]} and {text}")
            return
        below = max((other for other in self.maps if other < version), default=None)
        above = min((other for other in self.maps if other > version), default=None)
        if below:
            self._grown(below, json.loads(self.maps[below]), version, committed)
        if above:
            self._grown(version, committed, above, json.loads(self.maps[above]))
        self.maps[version] = text

    def _grown(self, before: Any, old: dict[str, Any], after: Any, new: dict[str, Any]) -> None:
        for key, value in old.items():
            if key not in new or (key.startswith("config/") and new[key]["rev"] < value["rev"]):
                raise Broken(
                    f"{key} went back from {value} at {before} to {new.get(key)} at {after}"
                )

    def end(self) -> None:
        """No value that anything may follow stands again after another stood."""
        stood: dict[str, list[Any]] = {}
        for version in sorted(self.maps):
            for key, value in json.loads(self.maps[version]).items():
                if key.startswith("any/"):
                    past = stood.setdefault(key, [])
                    if not past or past[-1] != value:
                        if value in past:
                            raise Broken(f"{key} is {value} again at {version}")
                        past.append(value)


class World:
    """`members` machines, of which the first three (or fewer) are seeds; all start cold unless told
    otherwise."""

    def __init__(
        self, seed: int, members: int = 3, bear: int | None = None, judge: Decider = judge
    ) -> None:
        self.chance, self.judge = random.Random(seed), judge
        self.now = 0
        self.bear = (members - 1) // 2 if bear is None else bear
        self.machines = {f"10.0.0.{n + 1}": Machine(f"10.0.0.{n + 1}") for n in range(members)}
        self.names = list(self.machines)
        self.seeds = self.names[:3]
        self.loss = self.doubled = self.late = 0.0
        self.lateness = LATENESS
        self.swallow: Callable[[str, str, dict[str, Any]], bool] = lambda sender, to, message: False
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.model = Model()
        self.calls: dict[int, Call] = {}
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._rev = 0
        self.cold = True
        self.make: type[Replica] = Replica

    # time

    def after(self, delay: int, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self.events, (self.now + max(0, delay), self._count, act))

    def run(self, span: int, until: Callable[[], bool] | None = None) -> bool:
        """Pass that much time, or less if `until` comes to hold; whether it does."""
        end = self.now + span
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
            if until and until():
                return True
        self.now = end
        return bool(until and until())

    # machines

    def start(self, name: str, cold: bool | None = None) -> None:
        machine = self.machines[name]
        machine.life += 1
        machine.seen = (0, 0)
        machine.member = self.make(
            name,
            self.seeds,
            self.bear,
            self.cold if cold is None else cold,
            dict(machine.disk),
            self.judge,
            random.Random(self.chance.getrandbits(64)),
        )
        self._tick(machine, machine.life)

    def start_all(self, cold: bool | None = None) -> None:
        for name in self.names:
            if not self.machines[name].member:
                self.start(name, cold)

    def stop(self, name: str) -> None:
        """End its process, or its power: a write under way is on disk, or it is not."""
        machine = self.machines[name]
        if machine.member is None:
            return
        if machine.pending and machine.mode != "refuses" and self.chance.random() < 0.5:
            self._put(machine, machine.pending[1])
        machine.pending, machine.member = None, None
        machine.ended = self.now
        for call in self.calls.values():
            if call.machine == name and call.answered is None:
                call.answered = Status.UNAVAILABLE

    def lose_disk(self, name: str) -> bool:
        """Stop it and wipe its disk, if that many may be lost."""
        lost = sum(machine.wiped for machine in self.machines.values())
        machine = self.machines[name]
        if lost >= self.bear and not machine.wiped:
            return False
        self.stop(name)
        machine.disk.clear()
        machine.wiped = True
        return True

    def _put(self, machine: Machine, puts: dict[str, bytes | None]) -> None:
        for key, value in puts.items():
            if value is None:
                machine.disk.pop(key, None)
            else:
                machine.disk[key] = value
        if machine.disk.get("view"):
            machine.wiped = False

    def _tick(self, machine: Machine, life: int) -> None:
        if machine.member and machine.life == life:
            self._do(machine, machine.member.tick(self.now))
            self.after(TICK + self.chance.randrange(5 * MS), lambda: self._tick(machine, life))

    def _do(self, machine: Machine, effects: list[Any]) -> None:
        member = machine.member
        assert member
        self._look(machine, member)
        for effect in effects:
            if isinstance(effect, Send):
                self._carry(machine.name, effect)
            elif isinstance(effect, Write):
                assert machine.pending is None, "two writes at once"
                machine.pending = effect.token, dict(effect.puts)
                self._sync(machine, machine.life, effect.token)
            elif isinstance(effect, CallResult):
                self._answered(effect)

    def _sync(self, machine: Machine, life: int, token: int) -> None:
        if machine.mode == "hangs":
            self.after(100 * MS, lambda: self._sync_again(machine, life, token))
            return
        slow = 25 if machine.mode == "slow" else 1
        span = round(machine.sync * slow * self.chance.uniform(0.5, 1.5))
        self.after(span, lambda: self._synced(machine, life, token))

    def _sync_again(self, machine: Machine, life: int, token: int) -> None:
        if machine.life == life and machine.member:
            self._sync(machine, life, token)

    def _synced(self, machine: Machine, life: int, token: int) -> None:
        if machine.life != life or not machine.member or not machine.pending:
            return
        if machine.mode == "refuses":
            machine.pending = None
            self._do(machine, machine.member.write_failed(self.now, token))
        elif machine.mode == "hangs":
            self._sync(machine, life, token)
        else:
            self._put(machine, machine.pending[1])
            machine.pending = None
            self._do(machine, machine.member.written(self.now, token))

    # messages

    def _carry(self, sender: str, send: Send) -> None:
        text = json.dumps(send.message)
        if self.swallow(sender, send.to, send.message):
            return
        for _ in range(2 if self.chance.random() < self.doubled else 1):
            if self.chance.random() < self.loss:
                continue
            delay = self.chance.randrange(100, 2 * MS)
            if self.chance.random() < self.late:
                delay = self.chance.choice(self.lateness) * self.chance.randrange(MS)
            self.after(delay, lambda: self._arrive(sender, send.to, text))

    def _arrive(self, sender: str, to: str, text: str) -> None:
        machine = self.machines.get(to)
        if machine and machine.member and (sender, to) not in self.cut:
            self._do(machine, machine.member.receive(self.now, sender, json.loads(text)))

    # calls

    def put(self, name: str, key: str, value: Any = None) -> int:
        """Call it with the next revision, or that value; the number of the call."""
        self._rev += 1
        value = {"rev": self._rev, "by": name} if value is None else value
        return self._call(name, (key, value))

    def read(self, name: str) -> int:
        return self._call(name, None)

    def _call(self, name: str, put: tuple[str, Any] | None) -> int:
        machine = self.machines[name]
        number = len(self.calls) + 1
        self.calls[number] = Call(name, self.now, put, dict(self.model.told))
        assert machine.member
        if put:
            self._do(machine, machine.member.put(self.now, number, *put))
        else:
            self._do(machine, machine.member.read(self.now, number))
        return number

    def _answered(self, answer: CallResult) -> None:
        call, told = self.calls[answer.request_id], self.model.told
        if call.answered is not None:
            raise Broken(f"{call} was answered twice")
        call.answered = answer.status
        if self.now - call.began > 800 * MS:
            raise Broken(f"{call} was answered after {self.now - call.began}")
        if answer.status is not Status.OK:
            self.model.later += 1
        elif call.put:
            self.model.puts += 1
            key, value = call.put
            if key.startswith("config/"):
                told[key] = max(told.get(key, 0), value["rev"])
        else:
            self.model.reads += 1
            for key, rev in call.floor.items():
                if key not in answer.value or answer.value[key]["rev"] < rev:
                    raise Broken(
                        f"a read at {call.machine} gave {answer.value.get(key)}, though {rev} was told before"
                    )
            for key, value in answer.value.items():
                if key.startswith("config/"):
                    told[key] = max(told.get(key, 0), value["rev"])

    # what is looked at

    def _look(self, machine: Machine, member: Replica) -> None:
        if member.version < machine.seen:
            raise Broken(f"{machine.name} went back from {machine.seen} to {member.version}")
        if member.version != machine.seen:
            machine.seen = member.version
            self.model.see(member.version, member.committed)

    def whole(self) -> bool:
        """Whether all members that run are in one chain, and say so."""
        running = [machine.member for machine in self.machines.values() if machine.member]
        return all(
            sorted(member.status().chain) == sorted(member.name for member in running)
            and member.status().role not in ("out", "blank")
            and member.status().epoch == running[0].status().epoch
            for member in running
        )

    def serves(self, without: str = "") -> bool:
        """Whether some chain serves without that member."""
        return any(
            machine.member
            and machine.member.status().role == "head"
            and without not in machine.member.status().chain
            for machine in self.machines.values()
        )

    def nudge(self, name: str) -> None:
        """Have it propose a view for no reason, if it may propose at all."""
        machine = self.machines[name]
        member = machine.member
        if (
            member
            and member.context.counts
            and member.context.views.promise
            and not member.view_change.attempt
        ):
            member.view_change.propose()
            self._do(machine, member.tick(self.now))

    def settle(self) -> None:
        """Take all faults away, and start what is stopped."""
        self.loss = self.doubled = self.late = 0.0
        self.cut.clear()
        for machine in self.machines.values():
            machine.mode = "well"
        self.start_all(cold=False)

    def check(self) -> None:
        """All faults gone: the chain becomes whole, holds all that was told, and takes puts at
        every member."""
        self.settle()
        if not self.run(15_000 * MS, self.whole):
            raise Broken(
                f"not whole: {[m.member and m.member.status() for m in self.machines.values()]}"
            )
        self.run(1000 * MS)
        for name in self.names:
            for number in (self.put(name, "config/last"), self.read(name)):
                self.run(900 * MS)
                if self.calls[number].answered is not Status.OK:
                    raise Broken(f"{name} answers {self.calls[number].answered} once all is well")
        for machine in self.machines.values():
            assert machine.member
            for key, rev in self.model.told.items():
                if machine.member.committed[key]["rev"] < rev:
                    raise Broken(
                        f"{machine.name} holds {machine.member.committed[key]}, {rev} was told"
                    )
        self.model.end()


def founded(seed: int, members: int = 3, bear: int | None = None) -> World:
    """A world whose members have founded their system."""
    world = World(seed, members, bear)
    world.start_all()
    if not world.run(5_000 * MS, world.whole):
        raise Broken("not founded")
    return world


def storm(seed: int, members: int = 3, steps: int = 60, cold: bool = False) -> World:
    """Faults and calls at random for a while, then calm; raises Broken. `cold`: all stay marked as
    a new system's."""
    world = World(seed, members)
    chance = world.chance
    if chance.random() < 0.3:  # founded among faults
        world.loss, world.doubled, world.late = 0.1, 0.2, 0.1
    world.start_all()
    for _ in range(chance.randrange(30)):
        world.run(100 * MS)
        if chance.random() < 0.1:
            name = chance.choice(world.names)
            world.stop(name)
            world.start(name)
    world.start_all()
    world.loss = 0.0
    if not world.run(30_000 * MS, world.whole):
        raise Broken("not founded")
    world.cold = cold
    if seed % 2:
        _nerves(world, chance, steps // 2)
    severity = chance.choice((0.3, 1.0, 2.0))
    for _ in range(steps):
        _fault(world, chance, severity)
        for _ in range(chance.randrange(6)):
            running = [name for name in world.names if world.machines[name].member]
            if running:
                name = chance.choice(running)
                key = chance.choice(("config/a", "config/b", "config/c", "any/x"))
                world.put(name, key) if chance.random() < 0.7 else world.read(name)
            world.run(chance.randrange(60 * MS))
        world.run(chance.choice((10, 100, 400, 1500)) * chance.randrange(MS))
    world.check()
    return world


def _nerves(world: World, chance: random.Random, steps: int) -> None:
    """Views proposed again and again, by several at once, among late messages, many puts, and short
    absences."""
    for _ in range(steps):
        world.loss, world.doubled = chance.choice((0.0, 0.0, 0.1)), 0.2
        world.late, world.lateness = (
            chance.choice((0.1, 0.5)),
            chance.choice(((20,), (100,), (20, 100, 600))),
        )
        cuts = chance.choice((0, 0, 1, 2))
        world.cut = {(chance.choice(world.names), chance.choice(world.names)) for _ in range(cuts)}
        for machine in world.machines.values():
            machine.mode = chance.choice(("well", "well", "well", "slow"))
        for _ in range(6):
            running = [name for name in world.names if world.machines[name].member]
            for name in running:
                if chance.random() < 0.5:
                    world.put(name, chance.choice(("config/a", "any/x")))
                if chance.random() < 0.1:
                    world.read(name)
                if chance.random() < 0.03:
                    world.nudge(name)
            name = chance.choice(world.names)
            if chance.random() < 0.02:
                world.stop(name)
            if chance.random() < 0.03:
                world.lose_disk(name)
            if chance.random() < 0.3:
                world.start_all()
            world.run(chance.choice((2, 10, 50)) * chance.randrange(MS))
        if chance.random() < 0.4:  # a calm in which a view may be found and those lost be filled
            world.loss = world.late = 0.0
            world.cut.clear()
            world.start_all()
            world.run(chance.randrange(2500 * MS), world.whole)
    world.lateness = LATENESS


def _fault(world: World, chance: random.Random, severity: float) -> None:
    name = chance.choice(world.names)
    machine = world.machines[name]
    draw = chance.random() / severity
    if draw < 0.06:
        world.stop(name)
        if chance.random() < 0.7:
            world.after(
                chance.randrange(1000 * MS), lambda: None if machine.member else world.start(name)
            )
    elif draw < 0.10:
        if chance.random() < 0.5:
            for other in world.names:
                world.stop(other)
            if chance.random() < 0.5:
                world.lose_disk(name)
        elif world.lose_disk(name) and chance.random() < 0.7:
            world.start(name)
    elif draw < 0.16:
        world.cut.add((name, chance.choice(world.names)))
    elif draw < 0.20:
        for other in world.names:
            world.cut |= {(name, other), (other, name)}
    elif draw < 0.24:
        world.loss = chance.choice((0.0, 0.02, 0.2, 0.4))
        world.doubled = chance.choice((0.0, 0.1, 0.5))
        world.late = chance.choice((0.0, 0.05, 0.3))
    elif draw < 0.32:
        machine.mode = chance.choice(("slow", "hangs", "refuses", "slow"))
    elif draw < 0.45:
        world.cut.clear()
        world.loss = world.doubled = world.late = 0.0
    elif draw < 0.6:
        machine.mode = "well"
        world.start_all()

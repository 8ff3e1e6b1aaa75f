"""Replicas in virtual time under faults, checked against a simple reference model.

Messages are lost, duplicated, delayed or cut in one direction; processes end at any step; a power
loss keeps only synced data; disks are wiped within the tolerated losses, or their writes are slow,
hang or fail. Only the state machines run, without hosts, sockets or event loops. All randomness
comes from a seed. Times are microseconds.
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
from umbermoor.gateway.simulation.reference_model import ReferenceModel
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.units import MILLISECOND

TICK_INTERVAL = 50 * MILLISECOND
LATENESS = (20, 200, 2000, 8000)  # upper bounds in ms, one of which limits a message's delay


def rising_revisions(committed: Mapping[str, Any], key: str, new: Any, epoch: int) -> Decision:
    """Accept only increasing revisions, except under `any/` keys, which accept any value."""
    accepted = key.startswith("any/") or key not in committed or new["rev"] > committed[key]["rev"]
    return Decision(Outcome.ACCEPTED, new) if accepted else Decision(Outcome.STALE)


@dataclass
class ReplicaMachine:
    """The machine of one replica: its disk and the running incarnation. Times are microseconds.

    Attributes:
        name: address of the replica.
        disk: synced records.
        member: the running replica, or None.
        life: number of the incarnation.
        wiped: whether the disk was lost and has not been filled again.
        mode: behaviour of the disk: well, slow, hangs or refuses.
        sync: average duration of a sync on a healthy disk.
        pending: token and records of the write in progress.
        seen: the newest committed version seen in this incarnation.
        ended: time at which the last incarnation ended.
    """

    name: str
    disk: dict[str, bytes] = field(default_factory=dict)
    member: Replica | None = None
    life: int = 0
    wiped: bool = False
    mode: str = "well"
    sync: int = 2 * MILLISECOND
    pending: tuple[int, dict[str, bytes | None]] | None = None
    seen: tuple[int, int] = (0, 0)
    ended: int = -(10**9)


@dataclass
class PendingCall:
    """A call made at a replica, with the status of its answer once it has one."""

    machine: str
    began: int
    put: tuple[str, Any] | None
    floor: dict[str, int]  # by key, the highest revision reported before the call began
    answered: Status | None = None


class ReplicaWorld:
    """Machines of replicas; the first three are seeds, and all start cold by default.

    Attributes:
        rng: random generator of the world.
        tolerated_losses: number of disks that may be lost at the same time.
        loss: share of messages that are lost.
        duplication: share of messages that are duplicated.
        late: share of messages that are delayed by up to one of `lateness`.
        cut: interrupted links as pairs of sender and receiver.
        drops_message: predicate on sender, receiver and message that selects messages to drop.
    """

    def __init__(
        self,
        seed: int,
        members: int = 3,
        tolerated_losses: int | None = None,
        decider: Decider = rising_revisions,
    ) -> None:
        self.rng, self.decider = random.Random(seed), decider
        self.now = 0
        self.tolerated_losses = (members - 1) // 2 if tolerated_losses is None else tolerated_losses
        self.machines = {
            f"10.0.0.{n + 1}": ReplicaMachine(f"10.0.0.{n + 1}") for n in range(members)
        }
        self.names = list(self.machines)
        self.seeds = self.names[:3]
        self.loss = self.duplication = self.late = 0.0
        self.lateness: tuple[int, ...] = LATENESS
        self.drops_message: Callable[[str, str, dict[str, Any]], bool] = (
            lambda sender, to, message: False
        )
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.model = ReferenceModel()
        self.calls: dict[int, PendingCall] = {}
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._rev = 0
        self.cold = True
        self.replica_class: type[Replica] = Replica

    # Time

    def after(self, delay: int, act: Callable[[], None]) -> None:
        """Schedule `act` in `delay` microseconds."""
        self._count += 1
        heapq.heappush(self.events, (self.now + max(0, delay), self._count, act))

    def run(self, span: int, until: Callable[[], bool] | None = None) -> bool:
        """Advance time by `span`, or until `until` holds; return whether it holds."""
        end = self.now + span
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
            if until and until():
                return True
        self.now = end
        return bool(until and until())

    # Machines

    def start(self, name: str, cold: bool | None = None) -> None:
        """Start a new incarnation of a machine's replica."""
        machine = self.machines[name]
        machine.life += 1
        machine.seen = (0, 0)
        machine.member = self.replica_class(
            name,
            self.seeds,
            self.tolerated_losses,
            self.cold if cold is None else cold,
            dict(machine.disk),
            self.decider,
            random.Random(self.rng.getrandbits(64)),
        )
        self._tick(machine, machine.life)

    def start_all(self, cold: bool | None = None) -> None:
        """Start all replicas that are not running."""
        for name in self.names:
            if not self.machines[name].member:
                self.start(name, cold)

    def stop(self, name: str) -> None:
        """Stop a replica as by kill or power loss; a write in progress may or may not be stored."""
        machine = self.machines[name]
        if machine.member is None:
            return
        if machine.pending and machine.mode != "refuses" and self.rng.random() < 0.5:
            self._store(machine, machine.pending[1])
        machine.pending, machine.member = None, None
        machine.ended = self.now
        for call in self.calls.values():
            if call.machine == name and call.answered is None:
                call.answered = Status.UNAVAILABLE

    def lose_disk(self, name: str) -> bool:
        """Stop a replica and wipe its disk, unless that would exceed the tolerated losses."""
        lost = sum(machine.wiped for machine in self.machines.values())
        machine = self.machines[name]
        if lost >= self.tolerated_losses and not machine.wiped:
            return False
        self.stop(name)
        machine.disk.clear()
        machine.wiped = True
        return True

    def _store(self, machine: ReplicaMachine, puts: dict[str, bytes | None]) -> None:
        for key, value in puts.items():
            if value is None:
                machine.disk.pop(key, None)
            else:
                machine.disk[key] = value
        if machine.disk.get("view"):
            machine.wiped = False

    def _tick(self, machine: ReplicaMachine, life: int) -> None:
        if machine.member and machine.life == life:
            self._do(machine, machine.member.tick(self.now))
            self.after(
                TICK_INTERVAL + self.rng.randrange(5 * MILLISECOND),
                lambda: self._tick(machine, life),
            )

    def _do(self, machine: ReplicaMachine, effects: list[Any]) -> None:
        member = machine.member
        if member is None:
            raise RuntimeError(f"{machine.name} does not run")
        self._look(machine, member)
        for effect in effects:
            if isinstance(effect, Send):
                self._carry(machine.name, effect)
            elif isinstance(effect, Write):
                if machine.pending is not None:
                    raise RuntimeError(f"{machine.name} writes twice at once")
                machine.pending = effect.token, dict(effect.puts)
                self._sync(machine, machine.life, effect.token)
            elif isinstance(effect, CallResult):
                self._answered(effect)

    def _sync(self, machine: ReplicaMachine, life: int, token: int) -> None:
        if machine.mode == "hangs":
            self.after(100 * MILLISECOND, lambda: self._sync_again(machine, life, token))
            return
        slow = 25 if machine.mode == "slow" else 1
        span = round(machine.sync * slow * self.rng.uniform(0.5, 1.5))
        self.after(span, lambda: self._synced(machine, life, token))

    def _sync_again(self, machine: ReplicaMachine, life: int, token: int) -> None:
        if machine.life == life and machine.member:
            self._sync(machine, life, token)

    def _synced(self, machine: ReplicaMachine, life: int, token: int) -> None:
        if machine.life != life or not machine.member or not machine.pending:
            return
        if machine.mode == "refuses":
            machine.pending = None
            self._do(machine, machine.member.write_failed(self.now, token))
        elif machine.mode == "hangs":
            self._sync(machine, life, token)
        else:
            self._store(machine, machine.pending[1])
            machine.pending = None
            self._do(machine, machine.member.written(self.now, token))

    # Messages

    def _carry(self, sender: str, send: Send) -> None:
        text = json.dumps(send.message)
        if self.drops_message(sender, send.to, send.message):
            return
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.randrange(100, 2 * MILLISECOND)
            if self.rng.random() < self.late:
                delay = self.rng.choice(self.lateness) * self.rng.randrange(MILLISECOND)
            self.after(delay, lambda: self._arrive(sender, send.to, text))

    def _arrive(self, sender: str, to: str, text: str) -> None:
        machine = self.machines.get(to)
        if machine and machine.member and (sender, to) not in self.cut:
            self._do(machine, machine.member.receive(self.now, sender, json.loads(text)))

    # Calls

    def put(self, name: str, key: str, value: Any = None) -> int:
        """Put `value`, or one with the next revision, and return the number of the call."""
        self._rev += 1
        value = {"rev": self._rev, "by": name} if value is None else value
        return self._call(name, (key, value))

    def read(self, name: str) -> int:
        """Read at a replica; return the number of the call."""
        return self._call(name, None)

    def _call(self, name: str, put: tuple[str, Any] | None) -> int:
        machine = self.machines[name]
        number = len(self.calls) + 1
        self.calls[number] = PendingCall(name, self.now, put, dict(self.model.acknowledged))
        if machine.member is None:
            raise RuntimeError(f"{name} does not run")
        if put:
            self._do(machine, machine.member.put(self.now, number, *put))
        else:
            self._do(machine, machine.member.read(self.now, number))
        return number

    def _answered(self, answer: CallResult) -> None:
        call, reported = self.calls[answer.request_id], self.model.acknowledged
        if call.answered is not None:
            raise InvariantViolation(
                Invariant.ANSWERED_TWICE, f"{call} was answered twice", self.now
            )
        call.answered = answer.status
        if self.now - call.began > 800 * MILLISECOND:
            raise InvariantViolation(
                Invariant.NOT_ACKNOWLEDGED,
                f"{call} was answered after {self.now - call.began}",
                self.now,
            )
        if answer.status is not Status.OK:
            self.model.unavailable += 1
        elif call.put:
            self.model.puts += 1
            key, value = call.put
            if key.startswith("config/"):
                reported[key] = max(reported.get(key, 0), value["rev"])
        else:
            self.model.reads += 1
            for key, rev in call.floor.items():
                if key not in answer.value or answer.value[key]["rev"] < rev:
                    raise InvariantViolation(
                        Invariant.STALE_READ,
                        f"a read at {call.machine} gave {answer.value.get(key)}, "
                        f"though {rev} was reported before",
                        self.now,
                    )
            for key, value in answer.value.items():
                if key.startswith("config/"):
                    reported[key] = max(reported.get(key, 0), value["rev"])

    # Observations and checks

    def _look(self, machine: ReplicaMachine, member: Replica) -> None:
        if member.version < machine.seen:
            raise InvariantViolation(
                Invariant.STATE_WENT_BACK,
                f"{machine.name} went back from {machine.seen} to {member.version}",
                self.now,
            )
        if member.version != machine.seen:
            machine.seen = member.version
            self.model.see(self.now, member.version, member.committed)

    def whole(self) -> bool:
        """Whether all running members belong to one chain of one epoch and agree on it."""
        running = [machine.member for machine in self.machines.values() if machine.member]
        return all(
            sorted(member.status().chain) == sorted(member.name for member in running)
            and member.status().role not in ("out", "blank")
            and member.status().epoch == running[0].status().epoch
            for member in running
        )

    def serves(self, without: str = "") -> bool:
        """Whether some chain without that member has a head."""
        return any(
            machine.member
            and machine.member.status().role == "head"
            and without not in machine.member.status().chain
            for machine in self.machines.values()
        )

    def propose_view(self, name: str) -> None:
        """Make a replica propose a view without need, if it is allowed to propose one."""
        machine = self.machines[name]
        member = machine.member
        if (
            member
            and member.context.may_vote
            and member.context.views.promise
            and not member.view_change.attempt
        ):
            member.view_change.propose()
            self._do(machine, member.tick(self.now))

    def settle(self) -> None:
        """End all faults and start every stopped replica."""
        self.loss = self.duplication = self.late = 0.0
        self.cut.clear()
        for machine in self.machines.values():
            machine.mode = "well"
        self.start_all(cold=False)

    def check(self) -> None:
        """End all faults and check recovery. Raises InvariantViolation.

        All members must form one chain, hold everything that was reported, and accept calls.
        """
        self.settle()
        if not self.run(15_000 * MILLISECOND, self.whole):
            raise InvariantViolation(
                Invariant.NOT_RECOVERED,
                f"not whole: {[m.member and m.member.status() for m in self.machines.values()]}",
                self.now,
            )
        self.run(1000 * MILLISECOND)
        for name in self.names:
            for number in (self.put(name, "config/last"), self.read(name)):
                self.run(900 * MILLISECOND)
                if self.calls[number].answered is not Status.OK:
                    raise InvariantViolation(
                        Invariant.NOT_RECOVERED,
                        f"{name} answers {self.calls[number].answered} after all faults ended",
                        self.now,
                    )
        for machine in self.machines.values():
            if machine.member is None:
                raise RuntimeError(f"{machine.name} does not run")
            committed: Mapping[str, Any] = machine.member.committed
            for key, rev in self.model.acknowledged.items():
                if committed[key]["rev"] < rev:
                    raise InvariantViolation(
                        Invariant.ACKNOWLEDGED_LOST,
                        f"{machine.name} holds {committed[key]}, though {rev} was reported",
                        self.now,
                    )
        self.model.check_end(self.now)

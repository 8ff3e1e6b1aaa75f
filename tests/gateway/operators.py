"""Operators that race, repeat and give up calls at replicas in virtual time, under injected faults.

The history of all calls must be linearizable, and rollout records must follow one another in a valid
order. Deliberately broken programs are included to show that the checks detect them. Times are
microseconds.
"""

import json
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from umbermoor.gateway.api.decisions import (
    CONFIG_KEY,
    configuration_digest,
    configuration_record,
    decide_write,
)
from umbermoor.gateway.effects import CallResult, Decision, Outcome, Status
from umbermoor.gateway.replication.chain import Chain
from umbermoor.gateway.replication.decided_writes import DecidedWrites
from umbermoor.gateway.replication.head import Decider, Head
from umbermoor.gateway.replication.messages import PutRequest
from umbermoor.gateway.replication.put_replies import send_decision
from umbermoor.gateway.replication.reads import Reads
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.rollout.admission import order_request, stage_write
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX
from umbermoor.gateway.simulation.linearizability import NEVER, Operation, find_violation
from umbermoor.gateway.simulation.replica_storm import inject_fault
from umbermoor.gateway.simulation.replica_world import TICK_INTERVAL, ReplicaMachine, ReplicaWorld
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.units import MILLISECOND

SERVICE = ROLLOUT_KEY_PREFIX + "s"
CALL_TIMEOUT = 1000 * MILLISECOND  # after which a caller tries another member
HOST_TIMEOUT = 900 * MILLISECOND  # after which the host of a member answers 503


def body(revision, content):
    """Return a configuration; an upper-case content is the same one, written differently."""
    routes = {
        "r": {"host": "h", "prefix": f"/{content.lower()}/", "tries": 2},
        "other": {"tries": 1},
    }
    document = {"revision": f"{revision:08x}", "routes": routes, "services": {"s": {}}}
    if content.isupper():
        document = {
            key: dict(reversed(part.items())) if key == "routes" else part
            for key, part in reversed(document.items())
        }
        document["revision"] = document["revision"].upper()
        document["routes"]["other"] = {"tries": 1.0}
    return document


def value(revision, content):
    """Return the record of a configuration."""
    document = body(revision, content)
    return configuration_record(
        revision,
        json.dumps(document, indent=1 if content.isupper() else None),
        configuration_digest(document),
    )


@dataclass
class OperatorRequest:
    """A call of an operator: a put, a rollout order or a read."""

    began: int
    put: (
        tuple[int, str] | str | None
    )  # revision and content, target of a rollout, or None for a read
    then: Callable[[Any], None] | None = None
    ended: int | None = None
    result: Any = "unknown"


class Control(ReplicaWorld):
    """A replica world with operators, and processes that freeze.

    Events for a frozen process wait until it is thawed; messages are then handled before ticks.
    """

    def __init__(
        self,
        seed: int,
        members: int = 3,
        replica_class: type[Replica] = Replica,
        decider: Decider = decide_write,
    ) -> None:
        super().__init__(seed, members, decider=decider)
        self.replica_class = replica_class
        self.asked: dict[int, OperatorRequest] = {}
        self.frozen: dict[str, list[Callable[[], None]]] = {}  # deferred actions by member
        self.number = 0
        self.targets = 0

    # Frozen processes

    def freeze(self, name: str, span: int) -> None:
        machine = self.machines[name]
        if name in self.frozen or machine.member is None:
            return
        self.frozen[name], life = [], machine.life
        self.after(span, lambda: self.thaw(name, life))

    def thaw(self, name: str, life: int) -> None:
        if name in self.frozen and self.machines[name].life == life:
            for act in self.frozen.pop(name):
                act()

    def start(self, name: str, cold: bool | None = None) -> None:
        self.frozen.pop(name, None)
        super().start(name, cold)

    def stop(self, name: str) -> None:
        self.frozen.pop(name, None)
        super().stop(name)

    def _defer(self, name: str, life: int, act: Callable[[], None], last: bool = False) -> None:
        """Run `act` now, or once the process is thawed if it is still the same incarnation."""
        machine = self.machines[name]
        deferred = self.frozen.get(name)
        if deferred is None:
            act()
        else:
            deferred.insert(
                len(deferred) if last else 0,
                lambda: act() if machine.life == life and machine.member else None,
            )

    def _arrive(self, sender: str, to: str, text: str) -> None:
        if to in self.frozen and (sender, to) not in self.cut:
            arrive = super()._arrive
            self.frozen[to].append(lambda: arrive(sender, to, text))
        elif to not in self.frozen:
            super()._arrive(sender, to, text)

    def _tick(self, machine: ReplicaMachine, life: int) -> None:
        if machine.name in self.frozen and machine.life == life:
            self.after(TICK_INTERVAL, lambda: self._tick(machine, life))
        else:
            super()._tick(machine, life)

    def _synced(self, machine: ReplicaMachine, life: int, token: int) -> None:
        if machine.name in self.frozen and machine.life == life:
            self.frozen[machine.name].append(lambda: self._synced(machine, life, token))
        else:
            super()._synced(machine, life, token)

    # Calls

    def ask_config(
        self, name: str, number: int, content: str, then: Callable[[Any], None] | None = None
    ) -> OperatorRequest:
        return self._ask(
            name,
            OperatorRequest(self.now, (number, content), then),
            (CONFIG_KEY, value(number, content)),
        )

    def ask_rollout(
        self, name: str, target: str, then: Callable[[Any], None] | None = None
    ) -> OperatorRequest:
        return self._ask(
            name,
            OperatorRequest(self.now, target, then),
            (SERVICE, {"begin": order_request(target, 12, ["v1"])}),
        )

    def ask_read(self, name: str) -> OperatorRequest:
        return self._ask(name, OperatorRequest(self.now, None), None)

    def _ask(
        self, name: str, asked: OperatorRequest, put: tuple[str, Any] | None
    ) -> OperatorRequest:
        machine = self.machines[name]
        if machine.member is None:  # nobody receives the call
            asked.ended, asked.result = self.now, "unknown"
            return asked
        life = machine.life

        def arrive() -> None:
            if machine.member and machine.life == life:
                number = len(self.calls) + 1
                self.asked[number] = asked
                self._call(name, put)

        if name in self.frozen:
            self.frozen[name].append(arrive)
        else:
            arrive()
        return asked

    def _answered(self, answer: CallResult) -> None:
        call, asked = self.calls[answer.request_id], self.asked.get(answer.request_id)
        if asked is None:  # a rollout step, for which nobody waits
            call.answered = answer.status
            return
        if call.answered is not None:
            raise InvariantViolation(
                Invariant.ANSWERED_TWICE, f"{call} was answered twice", self.now
            )
        call.answered = answer.status
        if answer.status is Status.UNAVAILABLE or self.now - call.began > HOST_TIMEOUT:
            asked.ended = self.now
        elif asked.put is None:
            record = answer.value.get(CONFIG_KEY)
            asked.ended, asked.result = (
                self.now,
                record and (record["revision"], content_of(record)),
            )
        else:
            asked.ended, asked.result = self.now, answer.value.outcome.value
        if asked.then:
            asked.then(asked.result)

    # Operators

    def operate(self, until: int) -> None:
        """Run one operator: it sends an order until it gets a result or gives up, then the next one."""
        rng = self.rng
        if self.now >= until:
            return
        draw = rng.random()
        if draw < 0.2:
            self.targets += rng.random() < 0.5
            order: Any = f"v{2 + self.targets}"
        else:
            if draw < 0.7:
                self.number += rng.randrange(1, 3)
            number = max(1, self.number - (rng.randrange(4) if rng.random() < 0.3 else 0))
            order = number, rng.choice("abA")
        self._attempt(order, until, 0)

    def _attempt(self, order: Any, until: int, tries: int) -> None:
        rng, open_ = self.rng, [True]

        def then(result: Any) -> None:
            if not open_:
                return
            open_.clear()
            lost = result != "unknown" and rng.random() < 0.2  # the answer is lost: a retry follows
            if (result == "unknown" or lost) and tries < 8 and rng.random() < 0.9:
                self.after(
                    rng.randrange(400 * MILLISECOND),
                    lambda: self._attempt(order, until, tries + 1),
                )
            else:
                self.after(rng.randrange(600 * MILLISECOND), lambda: self.operate(until))

        name = rng.choice(self.names)
        if isinstance(order, str):
            self.ask_rollout(name, order, then)
        else:
            self.ask_config(name, *order, then)
        self.after(CALL_TIMEOUT, lambda: then("unknown"))

    def look(self, until: int) -> None:
        """Read at random, and put rollout steps of members that believe to be head, some delayed."""
        rng = self.rng
        if self.now >= until:
            return
        name = rng.choice(self.names)
        self.ask_read(name)
        for ip, machine in self.machines.items():
            member = machine.member
            if member is None or ip in self.frozen or not member.connected_at(self.now):
                continue
            status, record = member.status(), member.committed.get(SERVICE)
            if status.chain[:1] == (ip,) and record and record["state"] == "running":
                new = record | {"serial": record["serial"] + 1}
                if rng.random() < 0.3:
                    new["state"] = rng.choice(("settled", "reverted"))
                elif rng.random() < 0.5:
                    new["stage"] = min(3, record["stage"] + 1)
                put, life = stage_write(new, record, status.epoch), machine.life
                self.after(
                    rng.choice((0, 0, 0, 3000)) * rng.randrange(MILLISECOND),
                    lambda machine=machine, life=life, put=put: self._put_step(machine, life, put),
                )
        self.after(rng.randrange(400 * MILLISECOND), lambda: self.look(until))

    def _put_step(self, machine: ReplicaMachine, life: int, value: Any) -> None:
        if machine.member and machine.life == life and machine.name not in self.frozen:
            self._call(machine.name, (SERVICE, value))

    # Checks

    def history(self) -> list[Operation]:
        """Return the puts and the answered reads of configurations as operations."""
        operations = []
        for call in self.asked.values():
            if not isinstance(call.put, str) and (call.put is not None or call.result != "unknown"):
                number, content = call.put or (None, "")
                ended = NEVER if call.result == "unknown" else call.ended
                operations.append(
                    Operation(call.began, ended, number, content.lower(), call.result)
                )
        return operations

    def check_history(self) -> None:
        """Raise InvariantViolation if results of calls, or rollout records, contradict each other."""
        contradicting = find_violation(self.history())
        if contradicting is not None:
            raise InvariantViolation(
                Invariant.NOT_LINEARIZABLE,
                "no order of calls fits: " + "; ".join(map(str, contradicting)),
                self.now,
            )
        orders = sorted(
            (
                order
                for order in self.asked.values()
                if isinstance(order.put, str) and order.result != "unknown"
            ),
            key=lambda order: order.ended,
        )
        for n, order in enumerate(orders):
            if order.result in ("taken", "same"):
                for later in orders[n + 1 :]:
                    if (
                        later.put == order.put
                        and later.began > order.ended
                        and later.result not in ("same", "taken")
                    ):
                        raise InvariantViolation(
                            Invariant.NOT_LINEARIZABLE,
                            f"{later} was refused after {order}",
                            self.now,
                        )
                    if (
                        later.put == order.put
                        and later.result == "taken"
                        and later.began > order.ended
                    ):
                        raise InvariantViolation(
                            Invariant.NOT_LINEARIZABLE,
                            f"{later} was taken twice, {order}",
                            self.now,
                        )
        before: dict[str, Any] | None = None
        last: dict[str, Any] = {}
        for version in sorted(self.model.states):
            record = json.loads(self.model.states[version]).get(SERVICE)
            if record is None or record == before:
                continue
            if before is not None:
                self._follows(before, record)
            before, last = record, record
        acknowledged = {order.put for order in orders if order.result in ("taken", "same")}
        recorded = {target for target, _ in last.get("known", [])}
        if len(recorded) < 30 and not acknowledged <= recorded:
            raise InvariantViolation(
                Invariant.ACKNOWLEDGED_LOST,
                f"acknowledged and lost: {acknowledged - recorded}",
                self.now,
            )

    def _follows(self, before: dict[str, Any], record: dict[str, Any]) -> None:
        """Check that a rollout record may follow another, with unseen ones possibly in between."""
        if record["order"] == before["order"]:
            valid = (
                record["target"] == before["target"]
                and before["state"] == "running"
                and (record["serial"] > before["serial"] and record["stage"] >= before["stage"])
            )
        else:
            valid = record["order"] > before["order"]
        if not valid:
            raise InvariantViolation(
                Invariant.NOT_LINEARIZABLE, f"{record} after {before}", self.now
            )


def counts(world: Control) -> Counter[str]:
    """Count the calls by kind and result."""
    kinds = (
        (
            "order" if isinstance(call.put, str) else "put" if call.put else "read",
            call.result if isinstance(call.result, str) else "told",
        )
        for call in world.asked.values()
    )
    return Counter(" ".join(pair) for pair in kinds)


def content_of(record: dict[str, Any]) -> str:
    """Return the content letter of a configuration record."""
    return json.loads(record["text"])["routes"]["r"]["prefix"][1]


def storm(
    seed: int,
    members: int = 3,
    replica_class: type[Replica] = Replica,
    decider: Decider = decide_write,
    steps: int = 24,
    operators: int = 4,
) -> Control:
    """Run operators under faults, freezes and partitions of up to 20 s.

    Raises InvariantViolation.
    """
    world = Control(seed, members, replica_class, decider)
    rng = world.rng
    world.start_all()
    if not world.run(30_000 * MILLISECOND, world.whole):
        raise InvariantViolation(Invariant.NOT_STARTED, "not founded", world.now)
    world.cold = False
    until = [10**15]
    for _ in range(operators):
        world.operate(until[0])
    world.look(until[0])
    for _ in range(steps):
        draw, name = rng.random(), rng.choice(world.names)
        if draw < 0.12:
            world.freeze(name, rng.choice((300, 1500, 5000, 20_000)) * MILLISECOND)
        elif draw < 0.3:
            cut(world, name, rng.choice(("to", "from", "both")))
            if rng.random() < 0.3:
                world.run(rng.choice((1000, 20_000)) * MILLISECOND)
        elif draw < 0.45:
            world.cut.clear()
        else:
            inject_fault(world, rng, 1.0)
        world.run(rng.choice((10, 100, 400, 1500)) * rng.randrange(MILLISECOND))
    for name in list(world.frozen):
        world.thaw(name, world.machines[name].life)
    world.settle()
    if not world.run(15_000 * MILLISECOND, world.whole):
        raise InvariantViolation(
            Invariant.NOT_RECOVERED,
            f"not whole: {[m.member and m.member.status() for m in world.machines.values()]}",
            world.now,
        )
    world.run(1500 * MILLISECOND)
    for name in world.names:
        world.ask_read(name)
    world.run(1500 * MILLISECOND)
    world.check_history()
    return world


def cut(world: ReplicaWorld, name: str, direction: str) -> None:
    """Cut the links to a member, from it, or both."""
    for other in world.names:
        if other != name:
            world.cut |= (
                {(other, name)}
                if direction == "to"
                else {(name, other)}
                if direction == "from"
                else {(other, name), (name, other)}
            )


# Deliberately broken programs


def unconditional(committed: Mapping[str, Any], key: str, new: Any, epoch: int) -> Decision:
    """Compare only revisions, and accept rollout steps whatever the current record."""
    if key != CONFIG_KEY:
        value = {name: part for name, part in new.items() if name not in ("on", "epoch")}
        return (
            decide_write(committed, key, new, epoch)
            if "begin" in new
            else Decision(Outcome.ACCEPTED, value)
        )
    accepted = key not in committed or new["revision"] > committed[key]["revision"]
    return Decision(Outcome.ACCEPTED, new) if accepted else Decision(Outcome.UNCHANGED)


def forgetful(committed: Mapping[str, Any], key: str, new: Any, epoch: int) -> Decision:
    """Do not store past revisions."""
    decision = decide_write(committed, key, new, epoch)
    return (
        decision._replace(value=decision.value | {"past": ""})
        if key == CONFIG_KEY and decision.value
        else decision
    )


def unfenced(committed: Mapping[str, Any], key: str, new: Any, epoch: int) -> Decision:
    """Accept rollout steps whatever the current record and the epoch of the decision."""
    if key != CONFIG_KEY and "on" in new:
        return Decision(
            Outcome.ACCEPTED,
            {name: part for name, part in new.items() if name not in ("on", "epoch")},
        )
    return decide_write(committed, key, new, epoch)


class UnconfirmingReads(Reads):
    """Answers reads without confirmation by a majority."""

    def _conclude(self) -> None:
        for name in self._context.others():
            self._rounds.confirm(name, self._rounds.nonce)
        super()._conclude()


class WithoutReadRounds(Replica):
    """A replica whose reads are not confirmed by other members."""

    reads_class = UnconfirmingReads


class EagerChain(Chain):
    """A chain whose head acknowledges entries that only its own disk has stored."""

    def _on_synced(self, epoch: int, sequence: int) -> None:
        views = self._context.views
        if epoch == views.joined and views.chain_index == 0:
            for entry in self.pending:
                send_decision(self._context, entry.call, Decision(Outcome.ACCEPTED))
        super()._on_synced(epoch, sequence)


class WithEarlyAcknowledgements(Replica):
    """A replica whose head acknowledges too early."""

    chain_class = EagerChain


class AmnesiacHead(Head):
    """A head that decides duplicated messages again."""

    def on_put(self, sender: str, message: PutRequest) -> None:
        self._decided = DecidedWrites()
        super().on_put(sender, message)


class WithoutDecidedWrites(Replica):
    """A replica whose head forgets its decisions."""

    head_class = AmnesiacHead


# Calls at a member that is partitioned or frozen

CALLS = "put", "repeat", "read", "order", "beat"


@dataclass(frozen=True)
class ProbeResult:
    """One call at the faulty member; `at` (start) and `after` (end) count from the fault's start."""

    at: int
    call: str
    result: str  # unknown for 503 or no answer
    after: int


def run_with_fault(
    place: str, fault: str, span: int, members: int = 3, then: int = 4000 * MILLISECOND
) -> tuple[Control, list[ProbeResult]]:
    """Partition or freeze the member at a place of the chain for `span`, and record its answers.

    Operators continue at the other members; calls are made at the faulty member every 250 ms. The
    result of a "beat" (heartbeat) is immediate, as it depends only on the lease.
    """
    world = Control(members * 1000 + span // MILLISECOND, members)
    world.start_all()
    if not world.run(30_000 * MILLISECOND, world.whole):
        raise InvariantViolation(Invariant.NOT_STARTED, "not founded", world.now)
    world.cold = False
    world.run(3000 * MILLISECOND)
    chain = world.machines[world.names[0]].member.status().chain
    name = chain[{"head": 0, "middle": len(chain) // 2, "tail": -1}[place]]
    others = [other for other in world.names if other != name]
    world.ask_config(name, 1, "a")
    world.run(300 * MILLISECOND)
    world.number = 1
    began, seen, waiting = world.now, [], []
    end = began + span + then

    def elsewhere() -> None:
        world.number += 1
        world.ask_config(world.rng.choice(others), world.number, "a")
        if world.now < end:
            # slow enough that revision 1 is recognized as a repetition throughout
            world.after(800 * MILLISECOND, elsewhere)

    def here() -> None:
        at = world.now - began
        for kind in CALLS:
            if kind == "beat":
                machine = world.machines[name]
                if name not in world.frozen and machine.member:
                    seen.append(
                        ProbeResult(
                            at,
                            kind,
                            "told" if machine.member.connected_at(world.now) else "unknown",
                            at,
                        )
                    )
            elif kind == "read":
                waiting.append((at, kind, world.ask_read(name)))
            elif kind == "order":
                waiting.append((at, kind, world.ask_rollout(name, "v2")))
            else:
                if kind == "put":
                    world.number += 1
                number = world.number if kind == "put" else 1
                waiting.append((at, kind, world.ask_config(name, number, "a")))
        if world.now < end:
            world.after(250 * MILLISECOND, here)

    if fault == "frozen":
        world.freeze(name, span)
    else:
        cut(world, name, fault)
        world.after(span, world.cut.clear)
    elsewhere()
    here()
    world.run(end - began + 1500 * MILLISECOND)
    for at, kind, asked in waiting:
        result = asked.result if isinstance(asked.result, str) else "told"
        seen.append(ProbeResult(at, kind, result, (asked.ended or world.now) - began))
    world.check_history()
    return world, sorted(seen, key=lambda probe: probe.at)

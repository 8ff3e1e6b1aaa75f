"""Steps of replica_set.feature; see tests/gateway/replica_set_world.py."""

import json
from typing import Any

from behave import given, then, when

from benchmarks.second_loss import second
from tests.gateway.replica_set_world import (
    ReplicaSetWorld,
    founded_replica_set_world,
    run_replica_set_storm,
)
from umbermoor.gateway.effects import Status
from umbermoor.gateway.replication.codec import encode
from umbermoor.gateway.replication.messages import NewView
from umbermoor.gateway.units import MILLISECOND


@given(
    "storms of faults and membership changes run with seeds {first:d} to {last:d} among {members:d} members"
)
def _(context: Any, first: int, last: int, members: int) -> None:
    context.worlds = [
        run_replica_set_storm(seed, members, 2, 24) for seed in range(first, last + 1)
    ]


@then("no storm violates an invariant, over at least {changes:d} membership changes")
def _(context: Any, changes: int) -> None:
    assert all(world.model.puts for world in context.worlds)
    done = sum(world.newest[1].number for world in context.worlds)
    assert done >= changes, done


@given("a replica set of {members:d} members with {spares:d} spares")
def _(context: Any, members: int, spares: int) -> None:
    context.world = founded_replica_set_world(members, members, spares)


@when("each member is replaced by a spare while puts are made")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    context.puts = []
    finished = []

    def put() -> None:
        if finished:
            return
        context.puts.append(world.put(world.members()[len(context.puts) % 3], "config/a"))
        world.after(25 * MILLISECOND, put)

    put()
    for old, new in zip(list(world.members()), world.names[3:]):
        number = world.change(world.members()[1], new, old)
        assert world.run(
            1000 * MILLISECOND, lambda number=number: world.changes[number] is not None
        )
        assert world.changes[number] is Status.OK, world.refusals
        world.run(1500 * MILLISECOND)
    finished.append(True)
    world.run(1000 * MILLISECOND)


@then("the replica set has none of its first members, and holds every acknowledged write")
def _(context: Any) -> None:
    assert not set(context.world.members()) & set(context.world.first)
    context.world.check()


@then("at most one put per replacement was answered UNAVAILABLE")
def _(context: Any) -> None:
    """A put in transit during a view change may fail, as no replica may pass it to a second head."""
    calls = [context.world.calls[number] for number in context.puts]
    failed = [call for call in calls if call.answered is not Status.OK]
    assert len(calls) > 150 and len(failed) <= 3, failed


@given("two members are ordered to change the replica set up to {ms:d} ms apart, {times:d} times")
def _(context: Any, ms: int, times: int) -> None:
    context.worlds = []
    for seed in range(times):
        world = founded_replica_set_world(seed, 5, 2)
        context.worlds.append(world)
        world.change(world.members()[0], "10.0.0.100", world.members()[3])
        world.run(ms * MILLISECOND * seed // times)
        world.change(world.members()[-1], "10.0.0.101", world.members()[1])
        world.run(2000 * MILLISECOND)


@then("each time, every replica set followed from the one before")
def _(context: Any) -> None:
    """The world checks each replica set when it comes into force."""
    for world in context.worlds:
        assert world.newest[1].number in (1, 2), world.newest
        world.check()


@when("member {number:d} of the replica set stops for {ms:d} ms")
def _(context: Any, number: int, ms: int) -> None:
    context.world.stop(context.world.machine_name(number))
    context.world.run(ms * MILLISECOND)


@when("member {number:d} of the replica set starts")
def _(context: Any, number: int) -> None:
    context.world.start(context.world.machine_name(number))


@when("{ms:d} ms pass in the replica set")
def _(context: Any, ms: int) -> None:
    context.world.run(ms * MILLISECOND)


@when("member {number:d} of the replica set is ordered to {action:w} member {other:d}")
def _(context: Any, number: int, action: str, other: int) -> None:
    order(context, number, action, context.world.machine_name(other))


@when("member {number:d} of the replica set is ordered to add a stranger")
def _(context: Any, number: int) -> None:
    order(context, number, "add", "10.9.9.9")


@when(
    "member {number:d} of the replica set is ordered to replace member {other:d} once that is possible"
)
def _(context: Any, number: int, other: int) -> None:
    context.world.run(2000 * MILLISECOND)
    order(context, number, "replace", context.world.machine_name(other))
    assert context.world.changes[context.order] is Status.OK, context.world.refusals


def order(context: Any, number: int, action: str, member: str) -> None:
    world: ReplicaSetWorld = context.world
    add = {"add": member, "replace": "10.0.0.100"}.get(action, "")
    context.order = world.change(
        context.world.machine_name(number), add, "" if action == "add" else member
    )
    world.run(1000 * MILLISECOND, lambda: world.changes[context.order] is not None)


@then('the order is refused: "{why}"')
def _(context: Any, why: str) -> None:
    assert context.world.refusals == [why], context.world.refusals


@then("the order is done, and no member is degraded")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    assert world.changes[context.order] is Status.OK, world.refusals
    assert world.run(200 * MILLISECOND, world.whole)


@then("the replica set serves with member 2 and a spare")
def _(context: Any) -> None:
    chain = sorted([context.world.machine_name(2), "10.0.0.100"])
    assert sorted(context.world.machines[chain[0]].member.status().chain) == chain
    assert context.world.machines[chain[0]].member.degraded


@when("the spare starts with the disk of another system")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    other = founded_replica_set_world(77, 3, 1)
    world.stop("10.0.0.100")
    world.machines["10.0.0.100"].disk = dict(other.machines[other.names[0]].disk)
    world.start("10.0.0.100")


@then("no member lists the spare among its learners")
def _(context: Any) -> None:
    for name in context.world.first:
        assert context.world.machines[name].member.status().learners == ()


@then("member {number:d} of the replica set is a learner, and answers UNAVAILABLE")
def _(context: Any, number: int) -> None:
    world: ReplicaSetWorld = context.world
    member = world.machines[context.world.machine_name(number)].member
    assert member.status().role == "learner" and not member.connected
    call = world.calls[world.read(context.world.machine_name(number))]
    assert call.answered is Status.UNAVAILABLE


@when("all machines stop, and the members' disks hold the records of the previous revision")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    world.stop("10.0.0.100")
    for name in world.first:
        world.stop(name)
        disk = world.machines[name].disk
        assert json.loads(disk["members"]) == world.first
        del disk["sets"], disk["system"]


@when("all members start again")
def _(context: Any) -> None:
    for name in context.world.first:
        context.world.start(name, cold=False)


@then("the replica set is healthy within {ms:d} ms, and a spare that starts can become a member")
def _(context: Any, ms: int) -> None:
    world: ReplicaSetWorld = context.world
    assert world.run(ms * MILLISECOND, world.whole)
    world.start("10.0.0.100")
    world.run(3000 * MILLISECOND)
    order(context, 1, "replace", context.world.machine_name(2))
    assert world.changes[context.order] is Status.OK, world.refusals
    world.check()


@given('a replica set after the event "{kind}"')
def _(context: Any, kind: str) -> None:
    context.kind = kind


@then(
    "after a second loss at every {step:d} ms from {first:d} to {last:d} ms later, a majority remains and no acknowledged write is lost"
)
def _(context: Any, step: int, first: int, last: int) -> None:
    for seed, after in enumerate(range(first, last + 1, step)):
        assert second(seed, context.kind, after), after
        assert second(seed, context.kind, after, closing=True), after


@when(
    "puts are made at member {number:d} of the replica set every {every:d} ms for {ms:d} ms, "
    "and the head is told to shut down after {end:d} ms"
)
def _(context: Any, number: int, every: int, ms: int, end: int) -> None:
    world: ReplicaSetWorld = context.world
    head = world.machines[context.world.machine_name(2)].member.status().chain[0]
    assert head != context.world.machine_name(number)
    context.head, context.acks, began = head, [world.now], world.now
    answered = world._answered

    def note(answer: Any) -> None:
        answered(answer)
        if answer.status is Status.OK:
            context.acks.append(world.now)

    world._answered = note
    for at in range(0, ms, every):
        world.after(
            at * MILLISECOND, lambda: world.put(context.world.machine_name(number), "any/x")
        )
    world.after(end * MILLISECOND, lambda: world.leave(head))
    world.run(ms * MILLISECOND)
    context.ended = world.machines[head].ended - began - end * MILLISECOND


@then("the longest time without an acknowledgement was under {ms:d} ms")
def _(context: Any, ms: int) -> None:
    longest = max(later - earlier for earlier, later in zip(context.acks, context.acks[1:]))
    assert len(context.acks) > 150 and longest < ms * MILLISECOND, (len(context.acks), longest)


@then("the head ended within {ms:d} ms, and the replica set is unchanged")
def _(context: Any, ms: int) -> None:
    assert 0 < context.ended < ms * MILLISECOND, context.ended
    assert context.world.newest[1].number == 0


@when(
    "member {number:d} of the replica set has begun a change, and learns that member {other:d} has completed another"
)
def _(context: Any, number: int, other: int) -> None:
    world: ReplicaSetWorld = context.world
    machine = world.machines[context.world.machine_name(number)]
    world.drops_message = lambda sender, to, message: to == machine.name
    before = machine.member.replica_set
    world.change(machine.name, "10.0.0.101", context.world.machine_name(3))
    epoch = machine.member.view_change.attempt.epoch
    ping = encode(world.machines[context.world.machine_name(other)].member.heartbeats._next())
    newer_set = [
        epoch - 1,
        before.changed(add="10.0.0.100", remove=context.world.machine_name(3)).to_json(),
    ]
    promise = {
        "kind": "promise",
        "epoch": epoch,
        "blank": False,
        "version": [epoch - 1, 0],
        "state": {},
        "hears": [],
    }
    world._arrive(
        context.world.machine_name(other),
        machine.name,
        json.dumps({**ping, "number": 1, "sets": newer_set}),
    )
    assert machine.member.replica_set.number == 1 and machine.member.view_change.attempt.is_change
    reply = {**promise, "held": newer_set[1], "proven": newer_set}
    world._arrive(context.world.machine_name(other), machine.name, json.dumps(reply))


@then("the promise of member {other:d} makes member {number:d} abandon its change")
def _(context: Any, other: int, number: int) -> None:
    attempt = context.world.machines[context.world.machine_name(number)].member.view_change.attempt
    assert (
        not attempt.is_change
        and attempt.replica_set.number == 1
        and "10.0.0.101" not in attempt.replica_set.names
    )


@when("member {number:d} of the replica set is asked to put, and its messages to the head are lost")
def _(context: Any, number: int) -> None:
    world: ReplicaSetWorld = context.world
    lost = ("put", "append")
    world.drops_message = lambda sender, to, message: (
        sender == context.world.machine_name(number) and message["kind"] in lost
    )
    context.call = world.calls[world.put(context.world.machine_name(number), "any/x")]
    assert context.call.answered is None


@then("the put was answered UNAVAILABLE within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    assert context.world.run(ms * MILLISECOND, lambda: context.call.answered is not None)
    assert (
        context.call.answered is Status.UNAVAILABLE
        and context.world.changes[context.order] is Status.OK
    )


@when("member {number:d} of the replica set sends messages of the previous revision")
def _(context: Any, number: int) -> None:
    world, carry = context.world, context.world._carry
    newer_fields = {
        "ping": ("number", "system", "sets", "leaving"),
        "promise": ("held", "proven"),
        "newview": ("sets",),
    }

    def send_without_newer_fields(sender: str, send: Any) -> None:
        if sender == context.world.machine_name(number):
            unsent = newer_fields.get(send.message["kind"], ())
            send = send._replace(
                message={key: value for key, value in send.message.items() if key not in unsent}
            )
        carry(sender, send)

    world._carry = send_without_newer_fields


@then("the others know that member {number:d} would not decide puts as the head")
def _(context: Any, number: int) -> None:
    for name in context.world.first:
        member = context.world.machines[name].member
        assert member.head_decides
        views, last = member.context.views, context.world.machine_name(number)
        view = views.active
        views.activate(
            view._replace(chain=(last, *(other for other in view.chain if other != last)))
        )
        assert member.head_decides == (name == last), name
        views.activate(view)


@then("the replica set has the spare in the place of member {number:d}")
def _(context: Any, number: int) -> None:
    world: ReplicaSetWorld = context.world
    assert {*world.members()} == {*world.first, "10.0.0.100"} - {
        context.world.machine_name(number)
    }, world.members()


@when("all members stop, and start again")
def _(context: Any) -> None:
    for name in context.world.first:
        context.world.stop(name)
    for name in context.world.first:
        context.world.start(name)


@then("the replica set is healthy within {ms:d} ms, and takes puts")
def _(context: Any, ms: int) -> None:
    world: ReplicaSetWorld = context.world
    assert world.run(ms * MILLISECOND, world.whole)
    call = world.calls[world.put(context.world.machine_name(3), "config/a")]
    assert (
        world.run(800 * MILLISECOND, lambda: call.answered is not None)
        and call.answered is Status.OK
    )
    world.run(1500 * MILLISECOND)


@when("the spare starts with an empty disk, and no replica runs at its seeds")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    world.lose_disk("10.0.0.100")
    world.run(1500 * MILLISECOND)
    seeds, world.seeds = world.seeds, ["10.9.9.1", "10.9.9.2"]
    world.start("10.0.0.100")
    world.seeds = seeds


@when("puts are made in the replica set for {ms:d} ms")
def _(context: Any, ms: int) -> None:
    world: ReplicaSetWorld = context.world
    for at in range(0, ms, 50):
        world.after(at * MILLISECOND, lambda: world.put(context.world.machine_name(1), "config/a"))
    world.run(ms * MILLISECOND)


@then("the disk of the spare holds the committed state")
def _(context: Any) -> None:
    committed = context.world.machines[context.world.machine_name(1)].member.committed
    disk = context.world.machines["10.0.0.100"].disk
    assert committed and "view" not in disk
    assert {key: json.loads(value) for key, value in disk.items() if key.startswith("state/")} == {
        f"state/{key}": value for key, value in committed.items()
    }


@when("the spare is killed and starts again")
def _(context: Any) -> None:
    context.world.stop("10.0.0.100")
    context.world.start("10.0.0.100")
    context.world.run(300 * MILLISECOND)


@then("the spare is a learner, and no member considers it ready")
def _(context: Any) -> None:
    assert context.world.machines["10.0.0.100"].member.status().role == "learner"
    assert all(context.world.machines[name].member.learners() == [] for name in context.world.first)


@when("the disk of the spare hangs")
def _(context: Any) -> None:
    context.world.machines["10.0.0.100"].mode = "hangs"


@when("a member of a new system starts with the disk of the spare")
def _(context: Any) -> None:
    context.new = ReplicaSetWorld(9, 3, 0)
    context.new.machines["10.0.0.1"].disk = dict(context.world.machines["10.0.0.100"].disk)
    assert any(key.startswith("state/") for key in context.new.machines["10.0.0.1"].disk)
    context.new.start_all()
    assert context.new.run(3000 * MILLISECOND, context.new.whole)


@then("the map of the new system is empty")
def _(context: Any) -> None:
    for machine in context.new.machines.values():
        assert machine.member.committed == {} and not any(
            key.startswith("state/") for key in machine.disk
        )


@when(
    "member {number:d} of the replica set has proposed a view, and the promises of the others report a set without it"
)
def _(context: Any, number: int) -> None:
    world: ReplicaSetWorld = context.world
    name, context.sent = context.world.machine_name(number), []
    world.drops_message = lambda sender, to, message: (
        context.sent.append((sender, message["kind"])) or to == name
    )
    member = world.machines[name].member
    before = member.replica_set
    world.propose_view(name)
    world.run(20 * MILLISECOND)
    epoch = member.view_change.attempt.epoch
    newer_set = [epoch - 1, before.changed(add="10.0.0.100", remove=name).to_json()]
    promise = {
        "kind": "promise",
        "epoch": epoch,
        "blank": False,
        "version": [epoch - 1, 0],
        "state": {},
        "held": newer_set[1],
    }
    for other in (*(peer for peer in world.first if peer != name), "10.0.0.100"):
        hears = [heard for heard in world.names if heard != other]
        world._arrive(other, name, json.dumps({**promise, "hears": hears, "proven": newer_set}))
    world.run(300 * MILLISECOND)


@then("member {number:d} of the replica set has sent no new view")
def _(context: Any, number: int) -> None:
    assert (context.world.machine_name(number), "prepare") in context.sent
    assert (context.world.machine_name(number), "newview") not in context.sent


@when("a spare has replaced member 1, which does not know that, and the spare loses its disk")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    old, spare = context.world.machine_name(1), "10.0.0.100"
    context.world.cut_off(1)
    world.run(1500 * MILLISECOND)
    number = world.change(context.world.machine_name(2), spare, old)
    assert world.run(1000 * MILLISECOND, lambda: world.changes[number] is not None)
    assert world.changes[number] is Status.OK, world.refusals
    world.put(context.world.machine_name(2), "config/a")
    world.run(500 * MILLISECOND)
    assert world.lose_disk(spare)
    context.spare, context.set_in_force = spare, world.newest


@when("the spare learns the promises of members 1 and 2, but not the set in force")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    world.cut.clear()
    known_ping = context.world.machine_name(1), "ping"

    def is_lost(sender: str, to: str, message: dict[str, Any]) -> bool:
        is_promise = sender != context.world.machine_name(3) and message["kind"] == "learnt"
        return to == context.spare and not is_promise and (sender, message["kind"]) != known_ping

    world.cut |= {
        pair
        for name in (context.world.machine_name(2), context.world.machine_name(3))
        for pair in ((context.world.machine_name(1), name), (name, context.world.machine_name(1)))
    }
    world.drops_message = is_lost
    world.start(context.spare)
    member = world.machines[context.spare].member
    assert world.run(4000 * MILLISECOND, lambda: member.transfer.ready_to_fill)
    assert member.replica_set.number == 0


@when("the spare is sent a view in which member 1 replaces member 2")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    in_force = context.set_in_force[1].completed()
    joint = in_force.changed(
        add=context.world.machine_name(1), remove=context.world.machine_name(2)
    )
    chain = [context.world.machine_name(1), context.world.machine_name(3), context.spare]
    view = NewView(
        epoch=world.machines[context.spare].member.transfer.promise_floor + 1,
        chain=tuple(sorted(chain)),
        members=joint.names,
        replica_set=joint,
        base_version=(1, 0),
        state={},
    )
    world._arrive(context.world.machine_name(2), context.spare, json.dumps(encode(view)))
    world.run(20 * MILLISECOND)


@then("the spare has not accepted that view")
def _(context: Any) -> None:
    member = context.world.machines[context.spare].member
    assert member.context.views.joined == 0 and member.context.lifecycle.disk_lost


@when("the spare receives all messages again")
def _(context: Any) -> None:
    context.world.drops_message = lambda sender, to, message: False
    context.world.cut.clear()


@then("the set in force is healthy, and holds every acknowledged write")
def _(context: Any) -> None:
    context.world.check()
    assert context.world.newest[1].number == 1

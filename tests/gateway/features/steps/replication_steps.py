"""Steps of replication.feature: members of a chain in virtual time.

See umbermoor/gateway/simulation/replica_world.py.
"""

import json
import random
from typing import Any

from behave import given, then, when

from umbermoor.gateway.effects import Send, Status
from umbermoor.gateway.simulation.replica_storm import started_world, storm
from umbermoor.gateway.simulation.replica_world import ReplicaWorld
from umbermoor.gateway.units import MILLISECOND


def member_name(context: Any, number: int) -> str:
    return context.world.names[number - 1]


@given("fault storms {first:d} to {last:d} run against a chain of {members:d} members")
def _(context: Any, first: int, last: int, members: int) -> None:
    context.models = [storm(seed, members, 24).model for seed in range(first, last + 1)]


@then("the chain kept all its guarantees in every storm")
def _(context: Any) -> None:
    assert all(model.puts and model.reads for model in context.models)


@given("a chain of {members:d} members")
def _(context: Any, members: int) -> None:
    context.world = started_world(members, members)
    context.world.run(2000 * MILLISECOND)


@given(
    "a new chain of {members:d} members, of which only member {first:d} and member {second:d} run"
)
def _(context: Any, members: int, first: int, second: int) -> None:
    context.world = ReplicaWorld(1, members)
    context.world.start(member_name(context, first))
    context.world.start(member_name(context, second))


@then("no member has founded the system after {ms:d} ms")
def _(context: Any, ms: int) -> None:
    context.world.run(ms * MILLISECOND)
    assert not any(machine.disk for machine in context.world.machines.values())


@when("member {number:d} starts")
def _(context: Any, number: int) -> None:
    context.world.start(member_name(context, number))


@when("member {number:d} stops")
def _(context: Any, number: int) -> None:
    context.world.stop(member_name(context, number))


@when("all members lose power")
def _(context: Any) -> None:
    for name in context.world.names:
        context.world.stop(name)


@when("all members lose power, and member {number:d} its disk")
def _(context: Any, number: int) -> None:
    for name in context.world.names:
        context.world.stop(name)
    assert context.world.lose_disk(member_name(context, number))


@when("all members start within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    world = context.world
    for name in world.names:
        world.after(
            world.rng.randrange(ms * MILLISECOND),
            lambda name=name: world.start(name, cold=False),
        )
    world.run(ms * MILLISECOND)


@then("all members serve in the chain within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    assert context.world.run(ms * MILLISECOND, context.world.whole), [
        machine.member and machine.member.status() for machine in context.world.machines.values()
    ]


@then("the chain serves without member {number:d} within {ms:d} ms")
def _(context: Any, number: int, ms: int) -> None:
    assert context.world.run(
        ms * MILLISECOND, lambda: context.world.serves(member_name(context, number))
    )


@then("the chain has two members within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    world = context.world
    members = [machine.member for machine in world.machines.values()]
    assert world.run(
        ms * MILLISECOND, lambda: all(len(member.status().chain) == 2 for member in members)
    )


@then("the chain does not change for {ms:d} ms")
def _(context: Any, ms: int) -> None:
    members = [machine.member for machine in context.world.machines.values()]
    before = [member.status().epoch for member in members]
    assert not context.world.run(
        ms * MILLISECOND, lambda: [member.status().epoch for member in members] != before
    )


@when("the disk of member {number:d} {mode:w}")
def _(context: Any, number: int, mode: str) -> None:
    context.world.machines[member_name(context, number)].mode = mode


@when("the disk of member {number:d} is healthy")
def _(context: Any, number: int) -> None:
    context.world.machines[member_name(context, number)].mode = "well"


@when("the disk of every member is slow")
def _(context: Any) -> None:
    for machine in context.world.machines.values():
        machine.mode = "slow"


@when("member {number:d} is cut off")
def _(context: Any, number: int) -> None:
    name = member_name(context, number)
    context.world.cut |= {
        pair for other in context.world.names for pair in ((name, other), (other, name))
    }


@when("member {number:d} no longer receives messages from member {other:d}")
def _(context: Any, number: int, other: int) -> None:
    context.world.cut.add((member_name(context, other), member_name(context, number)))


@when("the network cuts are removed")
def _(context: Any) -> None:
    context.world.cut.clear()


@when('member {number:d} is asked to put revision {rev:d} under "{key}"')
def _(context: Any, number: int, rev: int, key: str) -> None:
    context.call = context.world.put(member_name(context, number), key, {"rev": rev})


@when("member {number:d} is asked to read")
def _(context: Any, number: int) -> None:
    context.call = context.world.read(member_name(context, number))


@then("the chain answers {code:w} within {ms:d} ms")
def _(context: Any, code: str, ms: int) -> None:
    call = context.world.calls[context.call]
    assert context.world.run(ms * MILLISECOND, lambda: call.answered is not None)
    assert call.answered is Status[code], call


def read_at(context: Any, number: int) -> dict[str, Any]:
    world, machine = context.world, context.world.machines[member_name(context, number)]
    call = world.calls[world.read(machine.name)]
    world.run(800 * MILLISECOND, lambda: call.answered is not None)
    assert call.answered is Status.OK, call
    return machine.member.committed


@then('member {number:d} reads revision {rev:d} under "{key}"')
def _(context: Any, number: int, rev: int, key: str) -> None:
    assert read_at(context, number)[key]["rev"] == rev


@then("member {number:d} reads an empty map")
def _(context: Any, number: int) -> None:
    assert read_at(context, number) == {}


@then('member {number:d} has revision {rev:d} under "{key}" on disk')
def _(context: Any, number: int, rev: int, key: str) -> None:
    assert (
        json.loads(context.world.machines[member_name(context, number)].disk[f"state/{key}"])["rev"]
        == rev
    )


@then("member {number:d} is not connected")
def _(context: Any, number: int) -> None:
    assert not context.world.machines[member_name(context, number)].member.connected


@then("member {number:d} ignores {count:d} malformed messages without an error")
def _(context: Any, number: int, count: int) -> None:
    """Messages of known kinds in which a field is missing or holds another value."""
    world, chance = context.world, random.Random(count)
    machine = world.machines[member_name(context, number)]
    recorded: list[dict[str, Any]] = []
    carry = world._carry
    world._carry = lambda sender, send: (
        recorded.append(json.loads(json.dumps(send.message))),
        carry(sender, send),
    )
    world.lose_disk(world.names[-1])
    world.start(world.names[-1], cold=False)
    for _ in range(30):
        world.put(world.names[1], "any/x", {"rev": 0})
        world.read(world.names[1])
        world.run(100 * MILLISECOND)
    kinds = {message["kind"]: message for message in recorded}
    assert len(kinds) > 12, kinds
    junk = [
        None,
        -1,
        2**70,
        1.5,
        True,
        "",
        "x" * 600,
        [],
        [1],
        [[]],
        {},
        {"": 0},
        "\ud800",
        [["a"]],
        [0, ["z"]],
    ]
    others = [*world.names, "10.9.9.9"]
    for _ in range(count):
        message = dict(kinds[chance.choice(sorted(kinds))])
        field = chance.choice(sorted(message))
        if chance.random() < 0.2:
            del message[field]
        else:
            message[field] = chance.choice(junk)
        effects = machine.member.receive(world.now, chance.choice(others), message)
        assert all(not isinstance(effect, Send) or json.dumps(effect.message) for effect in effects)
    world.start_all()
    context.world = started_world(3, 3)


def record_messages(context: Any, is_dropped: Any = lambda sender, to, message: False) -> None:
    """Record the messages sent from now on, and drop those for which `is_dropped` returns True."""
    context.sent = []

    def record_and_filter(sender: str, to: str, message: dict[str, Any]) -> bool:
        context.sent.append((context.world.now, sender, to, json.loads(json.dumps(message))))
        return is_dropped(sender, to, message)

    context.world.drops_message = record_and_filter


def send_times(context: Any, sender: str, kind: str) -> list[int]:
    return [
        now for now, who, _, message in context.sent if who == sender and message["kind"] == kind
    ]


@when(
    "member {number:d} proposes a view of which member {other:d} hears nothing, and its new view is lost"
)
def _(context: Any, number: int, other: int) -> None:
    isolated = member_name(context, other)
    context.world.run(250 * MILLISECOND)  # the proposer learns the latest epoch
    record_messages(
        context,
        lambda sender, to, message: (
            message["kind"] == "newview"
            or (to == isolated and message["kind"] in ("prepare", "refuse", "ping"))
        ),
    )
    context.world.propose_view(member_name(context, number))
    context.world.run(300 * MILLISECOND)
    assert send_times(context, member_name(context, number), "newview")


@given('the chain\'s messages of kind "{kind}" are recorded')
def _(context: Any, kind: str) -> None:
    record_messages(context)


@when(
    'member {number:d} loses its disk and starts, and of its messages only "{kind}" and "{other_kind}" arrive'
)
def _(context: Any, number: int, kind: str, other_kind: str) -> None:
    name, recorded_before = member_name(context, number), getattr(context, "sent", [])
    assert context.world.lose_disk(name)
    record_messages(
        context,
        lambda sender, to, message: sender == name and message["kind"] not in (kind, other_kind),
    )
    context.sent.extend(recorded_before)
    context.began = context.world.now
    context.world.start(name, cold=False)
    context.world.run(1400 * MILLISECOND)


@when('the recorded messages of kind "{kind}" are delivered to member {number:d} again')
def _(context: Any, kind: str, number: int) -> None:
    name = member_name(context, number)
    again = [
        (sender, message)
        for _, sender, to, message in context.sent
        if to == name and message["kind"] == kind
    ]
    assert again
    assert context.world.machines[name].member.transfer.ready_to_fill
    for sender, message in again:
        context.world._arrive(sender, name, json.dumps(message))
    context.world.run(100 * MILLISECOND)


@then("member {number:d} still counts as a member whose disk was lost")
def _(context: Any, number: int) -> None:
    machine = context.world.machines[member_name(context, number)]
    assert machine.member.status().role == "blank" and not machine.disk


@then('member {number:d} sent no "{kind}" before {early:d} ms, and the first before {late:d} ms')
def _(context: Any, number: int, kind: str, early: int, late: int) -> None:
    first = min(send_times(context, member_name(context, number), kind)) - context.began
    assert early * MILLISECOND <= first < late * MILLISECOND, first


@when("member {number:d} proposes a view, and the promises to it are delayed by {ms:d} ms")
def _(context: Any, number: int, ms: int) -> None:
    world, name = context.world, member_name(context, number)

    def late(sender: str, to: str, message: dict[str, Any]) -> bool:
        if to != name or message["kind"] != "promise":
            return False
        text = json.dumps(message)
        world.after(ms * MILLISECOND, lambda: world._arrive(sender, to, text))
        return True

    record_messages(context, late)
    propose(context, number)
    world.run(2000 * MILLISECOND)


@then('member {number:d} sent no "{kind}" for the view it proposed')
def _(context: Any, kind: str, number: int) -> None:
    sent = [
        message for _, sender, _, message in context.sent if sender == member_name(context, number)
    ]
    assert any(
        message["kind"] == "prepare" and message["epoch"] == context.epoch for message in sent
    )
    assert not any(
        message["kind"] == kind and message["epoch"] == context.epoch for message in sent
    )


@when(
    "member {number:d} proposes a view, and the disk of member {faulty:d} hangs once it has promised"
)
def _(context: Any, number: int, faulty: int) -> None:
    machine = context.world.machines[member_name(context, faulty)]

    def hang(sender: str, to: str, message: dict[str, Any]) -> bool:
        if sender == machine.name and message["kind"] == "promise":
            machine.mode = "hangs"
        return False

    record_messages(context, hang)
    propose(context, number)


@when('{ms:d} ms pass, in which every message, "{kind}" among them, is delivered twice')
def _(context: Any, ms: int, kind: str) -> None:
    context.world.duplication = 1.0
    context.world.run(ms * MILLISECOND)
    assert any(message["kind"] == kind for _, _, _, message in context.sent)


@then('member {number:d} sent no "{kind}"')
def _(context: Any, kind: str, number: int) -> None:
    assert not send_times(context, member_name(context, number), kind)


def propose(context: Any, number: int) -> None:
    name = member_name(context, number)
    context.world.propose_view(name)
    context.epoch = context.world.machines[name].member.view_change.attempt.epoch


@when("member {number:d} proposes a view")
def _(context: Any, number: int) -> None:
    record_messages(context)
    propose(context, number)
    context.world.run(300 * MILLISECOND)


@when(
    "member {number:d} proposes a view, and member {diskless:d} promises it as one whose disk was lost"
)
def _(context: Any, number: int, diskless: int) -> None:
    """Send such promises whatever the member knows: the proposer must not count them."""
    world, name, other = context.world, member_name(context, number), member_name(context, diskless)
    record_messages(context)
    propose(context, number)
    for _ in range(10):
        message = {"kind": "promise", "epoch": context.epoch, "blank": True}
        message |= {"version": [0, 0], "state": None, "hears": []}
        world._arrive(other, name, json.dumps(message))
        world.run(40 * MILLISECOND)


@then("the chain has not moved to the view of member {number:d}")
def _(context: Any, number: int) -> None:
    assert all(
        machine.member.status().epoch < context.epoch for machine in context.world.machines.values()
    )

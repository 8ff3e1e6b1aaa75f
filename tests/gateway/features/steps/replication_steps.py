"""Steps of the register's features: members in virtual time, see
umbermoor/gateway/simulation/register.py."""

import json
import random
from typing import Any

from behave import given, then, when

from umbermoor.gateway.effects import Send, Status
from umbermoor.gateway.simulation.replica_storm import started_world, storm
from umbermoor.gateway.simulation.replica_world import ReplicaWorld
from umbermoor.gateway.units import MILLISECOND


def named(context: Any, number: int) -> str:
    return context.world.names[number - 1]


@given("the chain plays storms {first:d} to {last:d} among {members:d} members")
def _(context: Any, first: int, last: int, members: int) -> None:
    context.models = [storm(seed, members, 24).model for seed in range(first, last + 1)]


@then("the chain kept every promise in each of them")
def _(context: Any) -> None:
    assert all(model.puts and model.reads for model in context.models)


@given("a chain of {members:d} members")
def _(context: Any, members: int) -> None:
    context.world = started_world(members, members)
    context.world.run(2000 * MILLISECOND)


@given("the chain of {members:d} members is new, and only member {one:d} and member {other:d} run")
def _(context: Any, members: int, one: int, other: int) -> None:
    context.world = ReplicaWorld(1, members)
    context.world.start(named(context, one))
    context.world.start(named(context, other))


@then("no member has founded anything after {ms:d} ms")
def _(context: Any, ms: int) -> None:
    context.world.run(ms * MILLISECOND)
    assert not any(machine.disk for machine in context.world.machines.values())


@when("member {number:d} starts")
def _(context: Any, number: int) -> None:
    context.world.start(named(context, number))


@when("member {number:d} stops")
def _(context: Any, number: int) -> None:
    context.world.stop(named(context, number))


@when("all members lose power")
def _(context: Any) -> None:
    for name in context.world.names:
        context.world.stop(name)


@when("all members lose power, and member {number:d} its disk")
def _(context: Any, number: int) -> None:
    for name in context.world.names:
        context.world.stop(name)
    assert context.world.lose_disk(named(context, number))


@when("all members start within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    world = context.world
    for name in world.names:
        world.after(
            world.chance.randrange(ms * MILLISECOND),
            lambda name=name: world.start(name, cold=False),
        )
    world.run(ms * MILLISECOND)


@then("the chain is whole within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    assert context.world.run(ms * MILLISECOND, context.world.whole), [
        machine.member and machine.member.status() for machine in context.world.machines.values()
    ]


@then("the chain serves without member {number:d} within {ms:d} ms")
def _(context: Any, number: int, ms: int) -> None:
    assert context.world.run(ms * MILLISECOND, lambda: context.world.serves(named(context, number)))


@then("the chain has two members within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    world = context.world
    members = [machine.member for machine in world.machines.values()]
    assert world.run(
        ms * MILLISECOND, lambda: all(len(member.status().chain) == 2 for member in members)
    )


@then("the chain stays as it is for {ms:d} ms")
def _(context: Any, ms: int) -> None:
    members = [machine.member for machine in context.world.machines.values()]
    before = [member.status().epoch for member in members]
    assert not context.world.run(
        ms * MILLISECOND, lambda: [member.status().epoch for member in members] != before
    )


@when("the disk of member {number:d} {mode:w}")
def _(context: Any, number: int, mode: str) -> None:
    context.world.machines[named(context, number)].mode = mode


@when("the disk of member {number:d} is healthy")
def _(context: Any, number: int) -> None:
    context.world.machines[named(context, number)].mode = "well"


@when("the disk of every member is slow")
def _(context: Any) -> None:
    for machine in context.world.machines.values():
        machine.mode = "slow"


@when("member {number:d} is cut off")
def _(context: Any, number: int) -> None:
    one = named(context, number)
    context.world.cut |= {
        pair for other in context.world.names for pair in ((one, other), (other, one))
    }


@when("member {number:d} no longer hears member {other:d}")
def _(context: Any, number: int, other: int) -> None:
    context.world.cut.add((named(context, other), named(context, number)))


@when("the cuts are mended")
def _(context: Any) -> None:
    context.world.cut.clear()


@when('member {number:d} is asked to put revision {rev:d} under "{key}"')
def _(context: Any, number: int, rev: int, key: str) -> None:
    context.call = context.world.put(named(context, number), key, {"rev": rev})


@when("member {number:d} is asked to read")
def _(context: Any, number: int) -> None:
    context.call = context.world.read(named(context, number))


@then("the chain answers {code:w} within {ms:d} ms")
def _(context: Any, code: str, ms: int) -> None:
    call = context.world.calls[context.call]
    assert context.world.run(ms * MILLISECOND, lambda: call.answered is not None)
    assert call.answered is Status[code], call


def read_at(context: Any, number: int) -> dict[str, Any]:
    world, machine = context.world, context.world.machines[named(context, number)]
    call = world.calls[world.read(machine.name)]
    world.run(800 * MILLISECOND, lambda: call.answered is not None)
    assert call.answered is Status.OK, call
    return machine.member.committed


@then('member {number:d} reads revision {rev:d} under "{key}"')
def _(context: Any, number: int, rev: int, key: str) -> None:
    assert read_at(context, number)[key]["rev"] == rev


@then("member {number:d} reads nothing")
def _(context: Any, number: int) -> None:
    assert read_at(context, number) == {}


@then('member {number:d} has revision {rev:d} under "{key}" on disk')
def _(context: Any, number: int, rev: int, key: str) -> None:
    assert (
        json.loads(context.world.machines[named(context, number)].disk[f"state/{key}"])["rev"]
        == rev
    )


@then("member {number:d} is not connected")
def _(context: Any, number: int) -> None:
    assert not context.world.machines[named(context, number)].member.connected


@then("member {number:d} drops {count:d} garbled messages without a fault")
def _(context: Any, number: int, count: int) -> None:
    """Messages of the right kinds in which fields are missing, or hold something else."""
    world, chance = context.world, random.Random(count)
    machine = world.machines[named(context, number)]
    heard: list[dict[str, Any]] = []
    carry = world._carry
    world._carry = lambda sender, send: (
        heard.append(json.loads(json.dumps(send.message))),
        carry(sender, send),
    )
    world.lose_disk(world.names[-1])
    world.start(world.names[-1], cold=False)
    for _ in range(30):
        world.put(world.names[1], "any/x", {"rev": 0})
        world.read(world.names[1])
        world.run(100 * MILLISECOND)
    kinds = {message["kind"]: message for message in heard}
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


def listen(context: Any, swallow: Any = lambda sender, to, message: False) -> None:
    """Note what is sent from now on, and swallow what `swallow` holds for."""
    context.sent = []

    def look(sender: str, to: str, message: dict[str, Any]) -> bool:
        context.sent.append((context.world.now, sender, to, json.loads(json.dumps(message))))
        return swallow(sender, to, message)

    context.world.swallow = look


def kinds_of(context: Any, sender: str, kind: str) -> list[int]:
    return [
        now for now, who, _, message in context.sent if who == sender and message["kind"] == kind
    ]


@when(
    "member {number:d} proposes a view of which member {one:d} learns nothing, and whose chain is not told"
)
def _(context: Any, number: int, one: int) -> None:
    ignorant = named(context, one)
    context.world.run(250 * MILLISECOND)  # it learns which epochs there were
    listen(
        context,
        lambda sender, to, message: (
            message["kind"] == "newview"
            or (to == ignorant and message["kind"] in ("prepare", "refuse", "ping"))
        ),
    )
    context.world.propose_view(named(context, number))
    context.world.run(300 * MILLISECOND)
    assert kinds_of(context, named(context, number), "newview")


@given('the chain\'s messages of kind "{kind}" are kept')
def _(context: Any, kind: str) -> None:
    listen(context)


@when(
    'member {number:d} loses its disk and starts, unheard by the others but for "{one}" and "{other}"'
)
def _(context: Any, number: int, one: str, other: str) -> None:
    name, kept = named(context, number), getattr(context, "sent", [])
    assert context.world.lose_disk(name)
    listen(
        context, lambda sender, to, message: sender == name and message["kind"] not in (one, other)
    )
    context.sent.extend(kept)
    context.began = context.world.now
    context.world.start(name, cold=False)
    context.world.run(1400 * MILLISECOND)


@when('the chain\'s messages of kind "{kind}" that were kept come to member {number:d} again')
def _(context: Any, kind: str, number: int) -> None:
    name = named(context, number)
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


@then("member {number:d} counts as one whose disk was lost still")
def _(context: Any, number: int) -> None:
    machine = context.world.machines[named(context, number)]
    assert machine.member.status().role == "blank" and not machine.disk


@then(
    'the chain\'s messages show that member {number:d} sent no "{kind}" before {early:d} ms, and one before {late:d} ms'
)
def _(context: Any, number: int, kind: str, early: int, late: int) -> None:
    first = min(kinds_of(context, named(context, number), kind)) - context.began
    assert early * MILLISECOND <= first < late * MILLISECOND, first


@when("member {number:d} proposes a view, and the promises to it come after {ms:d} ms")
def _(context: Any, number: int, ms: int) -> None:
    world, name = context.world, named(context, number)

    def late(sender: str, to: str, message: dict[str, Any]) -> bool:
        if to != name or message["kind"] != "promise":
            return False
        text = json.dumps(message)
        world.after(ms * MILLISECOND, lambda: world._arrive(sender, to, text))
        return True

    listen(context, late)
    propose(context, number)
    world.run(2000 * MILLISECOND)


@then('the chain\'s messages show no "{kind}" of member {number:d} for that')
def _(context: Any, kind: str, number: int) -> None:
    sent = [message for _, sender, _, message in context.sent if sender == named(context, number)]
    assert any(
        message["kind"] == "prepare" and message["epoch"] == context.epoch for message in sent
    )
    assert not any(
        message["kind"] == kind and message["epoch"] == context.epoch for message in sent
    )


@when(
    "member {number:d} proposes a view, and the disk of member {ill:d} hangs once it has promised"
)
def _(context: Any, number: int, ill: int) -> None:
    machine = context.world.machines[named(context, ill)]

    def hang(sender: str, to: str, message: dict[str, Any]) -> bool:
        if sender == machine.name and message["kind"] == "promise":
            machine.mode = "hangs"
        return False

    listen(context, hang)
    propose(context, number)


@when('{ms:d} ms pass in the chain, in which every "{kind}" comes twice')
def _(context: Any, ms: int, kind: str) -> None:
    context.world.doubled = 1.0
    context.world.run(ms * MILLISECOND)
    assert any(message["kind"] == kind for _, _, _, message in context.sent)


@then('the chain\'s messages show no "{kind}" of member {number:d}')
def _(context: Any, kind: str, number: int) -> None:
    assert not kinds_of(context, named(context, number), kind)


def propose(context: Any, number: int) -> None:
    name = named(context, number)
    context.world.propose_view(name)
    context.epoch = context.world.machines[name].member.view_change.attempt.epoch


@when("member {number:d} proposes a view")
def _(context: Any, number: int) -> None:
    listen(context)
    propose(context, number)
    context.world.run(300 * MILLISECOND)


@when("member {number:d} proposes a view, and member {blank:d} says it may be filled")
def _(context: Any, number: int, blank: int) -> None:
    """Whatever it really knows: the proposer must not need it."""
    world, name, other = context.world, named(context, number), named(context, blank)
    listen(context)
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

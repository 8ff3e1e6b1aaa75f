"""Steps of the register's features: members in virtual time, see tests/gateway/world.py."""

import json
import random
from typing import Any

from behave import given, then, when

from tests.gateway.world import MS, World, founded, storm
from umbermoor.gateway.effects import Code, Send


def named(context: Any, number: int) -> str:
    return context.world.names[number - 1]


@given("the chain plays storms {first:d} to {last:d} among {members:d} members")
def _(context: Any, first: int, last: int, members: int) -> None:
    context.models = [storm(seed, members).model for seed in range(first, last + 1)]


@then("the chain kept every promise in each of them")
def _(context: Any) -> None:
    assert all(model.puts and model.reads for model in context.models)


@given("a chain of {members:d} members")
def _(context: Any, members: int) -> None:
    context.world = founded(members, members)
    context.world.run(2000 * MS)


@given("the chain of {members:d} members is new, and only member {one:d} and member {other:d} run")
def _(context: Any, members: int, one: int, other: int) -> None:
    context.world = World(1, members)
    context.world.start(named(context, one))
    context.world.start(named(context, other))


@then("no member has founded anything after {ms:d} ms")
def _(context: Any, ms: int) -> None:
    context.world.run(ms * MS)
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
        world.after(world.chance.randrange(ms * MS), lambda name=name: world.start(name, cold=False))
    world.run(ms * MS)


@then("the chain is whole within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    assert context.world.run(ms * MS, context.world.whole), [
        machine.member and machine.member.story() for machine in context.world.machines.values()
    ]


@then("the chain serves without member {number:d} within {ms:d} ms")
def _(context: Any, number: int, ms: int) -> None:
    assert context.world.run(ms * MS, lambda: context.world.serves(named(context, number)))


@then("the chain has two members within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    world = context.world
    members = [machine.member for machine in world.machines.values()]
    assert world.run(ms * MS, lambda: all(len(member.story()["chain"]) == 2 for member in members))


@then("the chain stays as it is for {ms:d} ms")
def _(context: Any, ms: int) -> None:
    members = [machine.member for machine in context.world.machines.values()]
    before = [member.story()["epoch"] for member in members]
    assert not context.world.run(ms * MS, lambda: [member.story()["epoch"] for member in members] != before)


@when("the disk of member {number:d} {mode:w}")
def _(context: Any, number: int, mode: str) -> None:
    context.world.machines[named(context, number)].mode = mode


@when("the disk of member {number:d} is well")
def _(context: Any, number: int) -> None:
    context.world.machines[named(context, number)].mode = "well"


@when("the disk of every member is slow")
def _(context: Any) -> None:
    for machine in context.world.machines.values():
        machine.mode = "slow"


@when("member {number:d} is cut off")
def _(context: Any, number: int) -> None:
    one = named(context, number)
    context.world.cut |= {pair for other in context.world.names for pair in ((one, other), (other, one))}


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


@then("the chain tells {code:w} within {ms:d} ms")
def _(context: Any, code: str, ms: int) -> None:
    call = context.world.calls[context.call]
    assert context.world.run(ms * MS, lambda: call.answered is not None)
    assert call.answered is Code[code], call


def read_at(context: Any, number: int) -> dict[str, Any]:
    world, machine = context.world, context.world.machines[named(context, number)]
    call = world.calls[world.read(machine.name)]
    world.run(800 * MS, lambda: call.answered is not None)
    assert call.answered is Code.OK, call
    return machine.member.committed


@then('member {number:d} reads revision {rev:d} under "{key}"')
def _(context: Any, number: int, rev: int, key: str) -> None:
    assert read_at(context, number)[key]["rev"] == rev


@then("member {number:d} reads nothing")
def _(context: Any, number: int) -> None:
    assert read_at(context, number) == {}


@then('member {number:d} has revision {rev:d} under "{key}" on disk')
def _(context: Any, number: int, rev: int, key: str) -> None:
    assert json.loads(context.world.machines[named(context, number)].disk[f"state/{key}"])["rev"] == rev


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
    world._carry = lambda sender, send: (heard.append(json.loads(json.dumps(send.message))), carry(sender, send))
    world.lose_disk(world.names[-1])
    world.start(world.names[-1], cold=False)
    for _ in range(30):
        world.put(world.names[1], "any/x", {"rev": 0})
        world.read(world.names[1])
        world.run(100 * MS)
    kinds = {message["kind"]: message for message in heard}
    assert len(kinds) > 12, kinds
    junk = [None, -1, 2**70, 1.5, True, "", "x" * 600, [], [1], [[]], {}, {"": 0}, "\ud800", [["a"]], [0, ["z"]]]
    others = [*world.names, "10.9.9.9"]
    for _ in range(count):
        message = dict(kinds[chance.choice(sorted(kinds))])
        field = chance.choice(sorted(message))
        if chance.random() < 0.2:
            del message[field]
        else:
            message[field] = chance.choice(junk)
        effects = machine.member.message(world.now, chance.choice(others), message)
        assert all(not isinstance(effect, Send) or json.dumps(effect.message) for effect in effects)
    world.start_all()
    context.world = founded(3, 3)

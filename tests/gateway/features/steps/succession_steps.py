"""Steps of succession.feature: learners take the places of departed members."""

from typing import Any

from behave import given, then, when

from tests.gateway.platform_replacements import ORDERS, ReplacingPlatform, play
from tests.gateway.replica_set_world import ReplicaSetWorld, founded_replica_set_world
from tests.gateway.succession_mutants import MUTANTS
from umbermoor.gateway.simulation.violations import InvariantViolation
from umbermoor.gateway.units import MILLISECOND


@given("a replica set of {members:d} members with {spares:d} spares that may succeed members")
def _(context: Any, members: int, spares: int) -> None:
    context.world = founded_replica_set_world(members, members, spares, with_succession=True)


@given("a replica set of {members:d} members with {spares:d} spares that may not succeed members")
def _(context: Any, members: int, spares: int) -> None:
    context.world = founded_replica_set_world(
        members, members, spares, with_succession=True, spares_may_succeed=False
    )


@given("the spares of the replica set stop")
def _(context: Any) -> None:
    for name in context.world.names[3:]:
        context.world.stop(name)
    context.world.run(2000 * MILLISECOND)


@then(
    "within {ms:d} ms member {new:d} of the replica set is a member in the place of member {old:d}, and none is degraded"
)
def _(context: Any, ms: int, new: int, old: int) -> None:
    world: ReplicaSetWorld = context.world
    assert world.run(ms * MILLISECOND, lambda: world.newest[1].number == 1 and world.whole()), (
        world.newest
    )
    assert (
        context.world.machine_name(new) in world.members()
        and context.world.machine_name(old) not in world.members()
    )


@when("the running members of the replica set restart")
def _(context: Any) -> None:
    world: ReplicaSetWorld = context.world
    running = [name for name in world.first if world.machines[name].member]
    for name in running:
        world.stop(name)
    for name in running:
        world.start(name)


@when("member 5 starts, and the running members restart")
def _(context: Any) -> None:
    context.execute_steps("""
        When member 5 of the replica set starts
        And the running members of the replica set restart
    """)


@when("member {number:d} of the replica set is cut off")
def _(context: Any, number: int) -> None:
    context.world.cut_off(number)


@when("member {first:d} and member {second:d} of the replica set are cut off")
def _(context: Any, first: int, second: int) -> None:
    context.world.cut_off(first, second)


@when("member {number:d} of the replica set is told to shut down")
def _(context: Any, number: int) -> None:
    context.world.leave(context.world.machine_name(number))


@when("the network of the replica set is restored after {ms:d} ms")
def _(context: Any, ms: int) -> None:
    context.world.run(ms * MILLISECOND)
    context.world.cut.clear()


@when("member {number:d} of the replica set comes back")
def _(context: Any, number: int) -> None:
    world: ReplicaSetWorld = context.world
    world.cut.clear()
    if not world.machines[context.world.machine_name(number)].member:
        world.start(context.world.machine_name(number))


@then("the replica set holds every acknowledged write")
def _(context: Any) -> None:
    context.world.check()


@when("successors of both start while one member remains")
def _(context: Any) -> None:
    context.world.run(3000 * MILLISECOND)
    for number in (5, 6):
        context.world.start(context.world.machine_name(number))


@then("the members of the replica set are unchanged")
def _(context: Any) -> None:
    assert context.world.newest[1].number == 0 and context.world.members() == context.world.first


@then("each of these replacements leaves a set that tolerates the loss of its disks")
def _(context: Any) -> None:
    assert {row["order"] for row in context.table} == set(ORDERS)
    broken = []
    for row in context.table:
        for members in map(int, row["members"].split(", ")):
            for seed in range(int(row["seeds"])):
                try:
                    play(row["order"], members, seed)
                except InvariantViolation as violation:
                    broken.append(f"{row['order']}, {members} members, seed {seed}: {violation}")
    assert not broken, "\n".join(broken)


@then(
    "each of {count:d} members that end as planned, in sets of 3 and 5, was replaced before it ended"
)
def _(context: Any, count: int) -> None:
    for members in (3, 5):
        for seed in range(count // 2):
            _end_as_planned(ReplacingPlatform(seed, members))


def _end_as_planned(world: ReplacingPlatform) -> None:
    """Lose as many disks as are tolerated, right after the old process ends."""
    old = world.member(0)
    newcomer = world.newcomer(old)
    world.wait(6)
    world.terminate(old)
    assert world.run(2000 * MILLISECOND, lambda: world.machines[old].member is None)
    assert newcomer in world.members() and old not in world.members(), world.members()
    world.close(tuple(range(world.tolerated_losses)))


@then("each mutant of the succession fails its test, and the unchanged program passes all")
def _(context: Any) -> None:
    for name, mutant in MUTANTS.items():
        mutant.run_test()
        with mutant.patch():
            try:
                mutant.run_test()
            except (AssertionError, InvariantViolation):
                continue
        raise AssertionError(f"no test detects the mutant: {name}")

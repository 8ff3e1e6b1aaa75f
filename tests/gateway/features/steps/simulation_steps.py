"""Steps of simulation.feature: random and regression schedules, mutants, shrinking."""

from collections import Counter
from typing import Any

from behave import given, then, when

from tests.gateway.control import mutants
from tests.gateway.control.closing_losses import ClosingLossWorld, closing_loss_schedule
from tests.gateway.control.replacements import ReplacementWorld, replacement_schedule
from umbermoor.gateway.simulation.control_world import ControlWorld
from umbermoor.gateway.simulation.departure_schedules import departure_schedule
from umbermoor.gateway.simulation.schedule import ScheduleSyntaxError, parse
from umbermoor.gateway.simulation.schedule_generator import draw
from umbermoor.gateway.simulation.shrinking import shrink


@given("control world seeds {first:d} to {last:d}")
def _(context: Any, first: int, last: int) -> None:
    context.schedules = [draw(seed) for seed in range(first, last + 1)]


@given("departure seeds {first:d} to {last:d}")
def _(context: Any, first: int, last: int) -> None:
    context.schedules = [departure_schedule(seed) for seed in range(first, last + 1)]


@given("the regression schedules")
def _(context: Any) -> None:
    context.schedules = mutants.regression_schedules()
    assert context.schedules


@then("no schedule violates an invariant")
def _(context: Any) -> None:
    context.worlds = [ControlWorld(schedule).run() for schedule in context.schedules]


@then("runs {first:d} to {last:d} that end with a closing loss violate no invariant")
def _(context: Any, first: int, last: int) -> None:
    for seed in range(first, last + 1):
        world = ClosingLossWorld(closing_loss_schedule(seed)).run()
        assert world.faults["closing_loss"] == 1, world.faults
        counts = world.counts + world.invariants.counts
        assert counts["config 200"] > 1 and counts["wiped"], counts


@then("runs {first:d} to {last:d} in which controllers are replaced violate no invariant")
def _(context: Any, first: int, last: int) -> None:
    replaced = 0
    for seed in range(first, last + 1):
        world = ReplacementWorld(replacement_schedule(seed)).run()
        assert world.faults["closing_loss"] == 1, world.faults
        replaced += world.faults["core_replace"]
        assert world.counts["wiped"], world.counts
    assert replaced >= 2 * (last + 1 - first), replaced


@then("the schedules had faults, orders and rollouts")
def _(context: Any) -> None:
    faults = sum((world.faults for world in context.worlds), Counter())
    counts = sum((world.counts + world.invariants.counts for world in context.worlds), Counter())
    assert len(faults) >= 8, faults
    assert all(
        counts[kind]
        for kind in ("config 200", "rollout 200", "read 200", "drained", "ready", "request")
    ), counts


@then("each mutant violates its invariant, and the unchanged program violates none there")
def _(context: Any) -> None:
    schedules = mutants.mutant_schedules()
    assert set(schedules) == set(mutants.MUTANTS), set(schedules) ^ set(mutants.MUTANTS)
    for name, schedule in schedules.items():
        assert mutants.first_violation(name, [schedule]), name
        ControlWorld(schedule).run()


@then("running control world seed {seed:d} twice gives the same result")
def _(context: Any, seed: int) -> None:
    first, second = (ControlWorld(draw(seed)).run() for _ in range(2))
    assert (first.counts, first.faults, first.invariants.state.versions) == (
        second.counts,
        second.faults,
        second.invariants.state.versions,
    )


@given('a schedule of {count:d} steps that detects the mutant "{name}"')
def _(context: Any, count: int, name: str) -> None:
    context.mutant, schedule = name, mutants.mutant_schedules()[name]
    irrelevant = [
        parse(f"day seed=1\n{at} read").steps[0]
        for at in range(500, 500 + 400 * (count - len(schedule.steps)), 400)
    ]
    steps = sorted([*schedule.steps, *irrelevant], key=lambda step: step.at_ms)
    context.schedule = schedule.with_steps(steps)
    assert len(context.schedule.steps) == count


@when("the schedule is shrunk")
def _(context: Any) -> None:
    context.schedule = shrink(
        context.schedule,
        lambda schedule: mutants.first_violation(context.mutant, [schedule]) is not None,
    )


@then("{count:d} steps are left that still detect the mutant")
def _(context: Any, count: int) -> None:
    assert len(context.schedule.steps) == count, str(context.schedule)
    assert mutants.first_violation(context.mutant, [parse(str(context.schedule))])


@then('the schedule "{text}" is rejected with "{reason}"')
def _(context: Any, text: str, reason: str) -> None:
    try:
        parse(text.replace(";", "\n"))
    except ScheduleSyntaxError as error:
        assert str(error).startswith(reason), error
    else:
        raise AssertionError("the schedule was accepted")

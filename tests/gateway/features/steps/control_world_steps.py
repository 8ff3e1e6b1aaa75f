"""Steps of the control world: days drawn, kept, shrunk, and played by programs broken on
purpose."""

from collections import Counter
from pathlib import Path
from typing import Any

from behave import given, then, when

from tests.gateway.control import sabotages
from umbermoor.gateway.simulation.play import Play
from umbermoor.gateway.simulation.script import Day, draw, read, shrink

FOLDER = Path(sabotages.__file__).parent


def mutants() -> dict[str, Day]:
    """By name, the day in which each is found: the first line of its text says which one."""
    texts = [path.read_text() for path in sorted((FOLDER / "mutants").glob("*.day"))]
    return {text[2:].split(":")[0]: read(text) for text in texts}


@given("control days {first:d} to {last:d}")
def _(context: Any, first: int, last: int) -> None:
    context.days = [draw(seed) for seed in range(first, last + 1)]


@given("the control days that are kept")
def _(context: Any) -> None:
    context.days = [read(path.read_text()) for path in sorted((FOLDER / "days").glob("*.day"))]
    assert context.days


@then("no control day breaks a rule")
def _(context: Any) -> None:
    context.plays = [Play(day).run() for day in context.days]


@then("the control days met troubles, orders and roll-outs")
def _(context: Any) -> None:
    met = sum((play.met for play in context.plays), Counter())
    told = sum((play.count + play.checks.counts for play in context.plays), Counter())
    assert len(met) >= 8, met
    assert all(
        told[kind]
        for kind in ("config 200", "rollout 200", "read 200", "drained", "ready", "request")
    ), told


@then("each control world's mutant breaks its rule, and the sound program breaks none there")
def _(context: Any) -> None:
    days = mutants()
    assert set(days) == set(sabotages.SABOTAGES), set(days) ^ set(sabotages.SABOTAGES)
    for name, day in days.items():
        assert sabotages.found(name, [day]), name
        Play(day).run()


@then("playing control day {seed:d} again gives the same")
def _(context: Any, seed: int) -> None:
    one, other = (Play(draw(seed)).run() for _ in range(2))
    assert (one.count, one.met, one.checks.versions) == (
        other.count,
        other.met,
        other.checks.versions,
    )


@given('a control day of {count:d} steps in which the mutant "{name}" breaks its rule')
def _(context: Any, count: int, name: str) -> None:
    context.mutant, day = name, mutants()[name]
    more = [
        read(f"day seed=1\n{at} read").steps[0]
        for at in range(500, 500 + 400 * (count - len(day.steps)), 400)
    ]
    context.day = day.only(sorted([*day.steps, *more], key=lambda step: step.at))
    assert len(context.day.steps) == count


@when("the control day is shrunk")
def _(context: Any) -> None:
    context.day = shrink(
        context.day, lambda day: sabotages.found(context.mutant, [day]) is not None
    )


@then("{count:d} steps are left, and the mutant breaks its rule in them")
def _(context: Any, count: int) -> None:
    assert len(context.day.steps) == count, str(context.day)
    assert sabotages.found(context.mutant, [read(str(context.day))])


@then('the control day "{text}" is refused with "{why}"')
def _(context: Any, text: str, why: str) -> None:
    try:
        read(text.replace(";", "\n"))
    except ValueError as error:
        assert str(error).startswith(why), error
    else:
        raise AssertionError("it was read")

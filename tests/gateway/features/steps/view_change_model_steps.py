"""Steps of view_change_model.feature, which explores a model of the agreement on views."""

from typing import Any

from behave import given, then, when

from tests.gateway.view_change_model import (
    DISK_LOST_BEHIND_A_LATER_VIEW,
    MembershipChange,
    Rules,
    SafetyViolation,
    StateSpace,
)


@given("a model in which {changes}, and one disk is lost")
def _(context: Any, changes: str) -> None:
    parsed = []
    for change in changes.split(", then "):
        add, _, remove = change.partition(" replaces ")
        parsed.append(MembershipChange(int(add), int(remove)) if remove else MembershipChange())
    context.changes, context.start = tuple(parsed), None


@given("a model in which a disk was lost behind a later view")
def _(context: Any) -> None:
    context.changes = (MembershipChange(3, 0), MembershipChange(0, 1), MembershipChange())
    context.start = DISK_LOST_BEHIND_A_LATER_VIEW


@then("none of its {states:d} states breaks an invariant")
def _(context: Any, states: int) -> None:
    space = StateSpace(context.changes, losses=1, start=context.start)
    assert space.explore() == (states, True)


@when("the model has the mutation {mutation:w}")
def _(context: Any, mutation: str) -> None:
    context.rules = Rules(**{mutation: True})


@then("a state breaks an invariant")
def _(context: Any) -> None:
    try:
        seen = StateSpace(context.changes, 1, context.rules, context.start).explore(200_000)
    except SafetyViolation:
        return
    raise AssertionError(f"none of {seen} states breaks an invariant")

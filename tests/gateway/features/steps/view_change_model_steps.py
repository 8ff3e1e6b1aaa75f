"""Steps of view_change_model.feature: every order of steps of the agreement, as a plain model."""

from typing import Any

from behave import given, then, when

from tests.gateway.view_change_model import (
    DISK_LOST_BEHIND_A_LATER_VIEW,
    Broken,
    Order,
    Rules,
    Space,
)


@given("a small world in which {orders}, and one disk is lost")
def _(context: Any, orders: str) -> None:
    told = []
    for order in orders.split(", then "):
        add, _, remove = order.partition(" replaces ")
        told.append(Order(int(add), int(remove)) if remove else Order())
    context.orders, context.start = tuple(told), None


@given("a small world in which a disk was lost behind a later view")
def _(context: Any) -> None:
    context.orders = (Order(3, 0), Order(0, 1), Order())
    context.start = DISK_LOST_BEHIND_A_LATER_VIEW


@then("each of its {states:d} states keeps what was active")
def _(context: Any, states: int) -> None:
    space = Space(context.orders, losses=1, start=context.start)
    assert space.explore() == (states, True)


@when("it {breaks:w}")
def _(context: Any, breaks: str) -> None:
    context.rules = Rules(**{breaks: True})


@then("a state shows it")
def _(context: Any) -> None:
    try:
        seen = Space(context.orders, 1, context.rules, context.start).explore(200_000)
    except Broken:
        return
    raise AssertionError(f"{seen} states show nothing")

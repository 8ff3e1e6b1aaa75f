"""Operators: they send configurations, repeat earlier orders, send invalid ones, and read."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.operator_call import OperatorCall
from umbermoor.gateway.simulation.order_invariants import Order, OrderKind
from umbermoor.gateway.simulation.schedule import (
    REVISIONS_PER_MILLISECOND,
    Step,
    lowest_revision_at,
)
from umbermoor.gateway.simulation.virtual_network import Respond
from umbermoor.gateway.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

FEW_ROUTES = 3
# Offset from the lowest revision of a point in time, for configurations without a step
UNDRAWN_REVISION = 12
READ_DEADLINE = 6 * SECOND
REPEATED_ROLLOUT_DEADLINE = 4 * SECOND
BYTES_PER_ROUTE = 120  # approximate size of a route in a configuration


class Operators:
    """The orders sent so far, and the steps in which operators act."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self._sent: list[Order] = []
        self._on_next_acknowledgement: list[Callable[[], None]] = []
        self.steps = {
            "config": self._step_config,
            "twin": self._step_twin,
            "meet": self._step_meet,
            "again": self._step_again,
            "old": self._step_old,
            "bad": self._step_bad,
            "read": self._step_read,
        }

    def sent(self, order: Order) -> None:
        """Remember an order that may be repeated."""
        self._sent.append(order)

    def after_next_acknowledgement(self, action: Callable[[], None]) -> None:
        """Run `action` when the next configuration is acknowledged."""
        self._on_next_acknowledgement.append(action)

    # Configurations

    def send_configuration(
        self, revision: int, routes: int = FEW_ROUTES, *, first: str = ""
    ) -> None:
        """Send a configuration; `first` is the controller that is called first."""
        self._send(revision, self._world.configurations.body(revision, routes), routes, first)

    def send_new_configuration(self, *, first: str = "") -> None:
        """Send a configuration with a revision that no step uses."""
        self.send_configuration(self._new_revision(), first=first)

    def _new_revision(self) -> int:
        world = self._world
        at_ms = (world.time.now - world.traffic_begins_at) // MILLISECOND
        revision = lowest_revision_at(at_ms) + UNDRAWN_REVISION
        while world.configurations.was_sent(revision):
            revision += REVISIONS_PER_MILLISECOND
        return revision

    def _send(
        self, revision: int, body: bytes, routes: int, first: str, raced: bool = False
    ) -> None:
        world = self._world
        order = world.invariants.orders.configuration_ordered(revision, body, routes)
        order.raced = raced
        self.sent(order)
        world.counts["config"] += 1

        def answered(status: int, _: bytes) -> None:
            world.invariants.orders.order_answered(order, status)
            if status < 300:
                self._acknowledged()

        OperatorCall(world, "POST", "/Config.Replace", body, answered, first=first)

    def _acknowledged(self) -> None:
        actions, self._on_next_acknowledgement = self._on_next_acknowledgement, []
        for action in actions:
            action()

    def _step_config(self, step: Step) -> None:
        self.send_configuration(step.number("n"), step.number("routes", FEW_ROUTES))

    def _step_twin(self, step: Step) -> None:
        """Send two contents under one revision to two controllers at the same time."""
        configurations, names = self._world.configurations, list(self._world.controllers)
        revision, on = step.number("n"), step.number("on")
        body = configurations.body(revision, FEW_ROUTES)
        self._send(revision, body, FEW_ROUTES, names[on % len(names)], raced=True)
        twin = configurations.twin(revision, FEW_ROUTES)
        self._send(revision, twin, FEW_ROUTES, names[(on + 1) % len(names)], raced=True)

    def _step_meet(self, step: Step) -> None:
        """Send a change to a controller that is partitioned or has just become reachable again."""
        self.send_new_configuration(first=self._world.controller_name(step.number("on")))

    def _step_bad(self, step: Step) -> None:
        """Send an invalid configuration."""
        world, revision = self._world, step.number("n")
        body = world.configurations.invalid(revision, step.number("how"), bool(step.at_ms % 2))
        world.counts["bad"] += 1
        orders = world.invariants.orders
        self._call(
            "/Config.Replace", body, lambda status, _: orders.invalid_answered(revision, status)
        )

    def _call(self, path: str, body: bytes, on_answer: Respond) -> None:
        OperatorCall(self._world, "POST", path, body, on_answer)

    # Repetitions

    def _step_again(self, step: Step) -> None:
        """Repeat the newest order unchanged."""
        if self._sent:
            self._repeat(self._sent[-1])

    def _step_old(self, step: Step) -> None:
        """Repeat any earlier order unchanged."""
        if self._sent:
            self._repeat(self._sent[step.number("pick") % len(self._sent)])

    def _repeat(self, order: Order) -> None:
        world = self._world
        if order.kind is OrderKind.CONFIGURATION:
            world.counts["again"] += 1
            self._repeat_configuration(order)
            return
        current = world.rollouts.current(order.service)
        if current is None or current.target != order.target:
            return  # once another target was ordered, this would be a new order, not a repetition
        world.counts["again"] += 1
        self._repeat_rollout(order)

    def _repeat_configuration(self, order: Order) -> None:
        orders, revision, body = self._world.invariants.orders, order.revision, order.body
        repeated = orders.configuration_ordered(revision, body, len(body) // BYTES_PER_ROUTE)
        repeated.raced = self._world.configurations.has_twin(revision)
        self._call(
            "/Config.Replace", body, lambda status, _: orders.order_answered(repeated, status)
        )

    def _repeat_rollout(self, order: Order) -> None:
        orders, body = self._world.invariants.orders, order.body
        repeated = orders.rollout_ordered(order.service, order.target, body)
        repeated.raced = any(other.raced and other.body == body for other in orders.orders)
        OperatorCall(
            self._world,
            "POST",
            "/Rollouts.Begin",
            body,
            lambda status, _: orders.order_answered(repeated, status),
            deadline=REPEATED_ROLLOUT_DEADLINE,
        )

    # Reads

    def _step_read(self, step: Step) -> None:
        world = self._world
        world.counts["read"] += 1
        orders, reported_before = world.invariants.orders, world.configurations.newest_reported
        OperatorCall(
            world,
            "GET",
            "/Config.Read",
            b"",
            lambda status, body: orders.configuration_read(reported_before, status, body),
            deadline=READ_DEADLINE,
            answers_may_be_lost=False,
        )

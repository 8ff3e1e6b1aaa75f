"""Invariants of orders: answers to the orders of operators, and results of reads."""

import json
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.schedule import MARGINS
from umbermoor.gateway.simulation.violations import Invariant
from umbermoor.gateway.units import SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

ACKNOWLEDGEMENT_TIME = round(MARGINS["ackS"] * SECOND)
TIME_PER_ROUTE = 3000  # microseconds by which each route prolongs the allowed time
GIVEN_UP_AFTER = 29 * SECOND  # operators stop retrying about then
RUNNING = "running"  # the state of a rollout that has not ended


class OrderKind(Enum):
    """Kind of an order."""

    CONFIGURATION = "config"
    ROLLOUT = "rollout"


@dataclass
class Order:
    """An order of an operator, retried until it gets a conclusive answer.

    `raced` orders are sent concurrently with a conflicting one, so one of the two may be rejected.
    """

    kind: OrderKind
    body: bytes
    began: int
    revision: int = 0  # of a configuration
    service: str = ""  # of a rollout
    target: str = ""  # of a rollout
    extra_time: int = 0  # microseconds added to the time allowed for its acknowledgement
    raced: bool = False
    answered: bool = False
    acknowledged: bool = False

    def __str__(self) -> str:
        name = self.revision if self.kind is OrderKind.CONFIGURATION else self.name
        return f"{self.kind.value} {name}"

    @property
    def name(self) -> str:
        """The service and target of a rollout."""
        return f"{self.service} {self.target}"


@dataclass(frozen=True)
class RolloutRead:
    """A read of a rollout, with the target that was acknowledged before the read began."""

    service: str
    acknowledged_target: str | None


class OrderInvariants:
    """All orders of a run, and the checks of answers to orders and reads."""

    def __init__(self, world: "ControlWorld", counts: Counter[str]) -> None:
        self.orders: list[Order] = []
        self._world = world
        self._counts = counts
        self._targets_sent: dict[str, list[str]] = {}  # by service, in sending order
        self._target_acknowledged: dict[str, str] = {}  # newest one by service
        self._rollouts_ended: dict[tuple[str, str], str] = {}  # final state by service and target

    # Orders

    def configuration_ordered(self, revision: int, body: bytes, routes: int) -> Order:
        """Record that an operator starts to send a configuration."""
        return self._ordered(
            Order(
                OrderKind.CONFIGURATION,
                body,
                self._world.time.now,
                revision=revision,
                extra_time=routes * TIME_PER_ROUTE,
            )
        )

    def rollout_ordered(self, service: str, target: str, body: bytes) -> Order:
        """Record that an operator starts to send a rollout order."""
        targets = self._targets_sent.setdefault(service, [])
        if target not in targets:
            targets.append(target)
        now = self._world.time.now
        return self._ordered(Order(OrderKind.ROLLOUT, body, now, service=service, target=target))

    def _ordered(self, order: Order) -> Order:
        self.orders.append(order)
        return order

    def order_answered(self, order: Order, status: int) -> None:
        """Check the conclusive answer to an order."""
        order.answered = True
        self._counts[f"{order.kind.value} {status}"] += 1
        if status >= 300:
            self._rejected(order, status)
            return
        order.acknowledged = True
        if order.kind is OrderKind.CONFIGURATION:
            self._world.configurations.acknowledge(order.revision, order.body)
            return
        targets = self._targets_sent[order.service]
        newest = self._target_acknowledged.get(order.service)
        if newest is None or targets.index(order.target) > targets.index(newest):
            self._target_acknowledged[order.service] = order.target

    def _rejected(self, order: Order, status: int) -> None:
        before = any(other.body == order.body and other.acknowledged for other in self.orders)
        if not order.raced or status != 409 or before:
            self._world.fail(
                Invariant.ORDER_REJECTED,
                f"{order}: {status}{', acknowledged before' * before}",
            )

    def invalid_answered(self, revision: int, status: int) -> None:
        """Check the answer to an invalid configuration."""
        if status < 400:
            self._world.fail(
                Invariant.INVALID_ACCEPTED, f"the invalid configuration {revision} is acknowledged"
            )

    # Reads

    def configuration_read(self, reported_before: int, status: int, body: bytes) -> None:
        """Check the answer to a read.

        Args:
            reported_before: the newest revision that answers reported before the read began.
            status: the status of the answer.
            body: the body of the answer.
        """
        self._counts[f"read {status}"] += 1
        if status != 200:
            if reported_before:
                self._world.fail(
                    Invariant.ACKNOWLEDGED_LOST,
                    f"{status} to a read, though {reported_before} was reported in force",
                )
            return
        revision = int(json.loads(body)["revision"], 16)
        if revision < reported_before:
            self._world.fail(
                Invariant.STALE_READ,
                f"{revision} was read, though {reported_before} was reported before",
            )
        self.content_in_force(revision, body, "is read back")
        self._world.configurations.reported(revision)

    def content_in_force(self, revision: int, body: bytes, where: str) -> None:
        """Check a content that is in force at a controller."""
        configurations = self._world.configurations
        acknowledged = self._acknowledged(revision) if configurations.has_twin(revision) else []
        configurations.seen_in_force(revision, body, acknowledged, where)

    def _acknowledged(self, revision: int) -> list[bytes]:
        """Return the acknowledged contents of a revision."""
        return [
            order.body
            for order in self.orders
            if order.kind is OrderKind.CONFIGURATION
            and order.revision == revision
            and order.acknowledged
        ]

    def rollout_read_begins(self, service: str) -> RolloutRead:
        """Record the start of a rollout read."""
        return RolloutRead(service, self._target_acknowledged.get(service))

    def rollout_read(self, read: RolloutRead, status: int, body: bytes) -> None:
        """Check the answer to a rollout read."""
        service, acknowledged = read.service, read.acknowledged_target
        if status != 200:
            if acknowledged is not None:
                self._world.fail(
                    Invariant.ACKNOWLEDGED_LOST,
                    f"{status} to a read of the rollout of {service}, "
                    f"though {acknowledged} was acknowledged",
                )
            return
        record = json.loads(body)
        target, state, targets = record["target"], record["state"], self._targets_sent[service]
        if target not in targets or (
            acknowledged is not None and targets.index(target) < targets.index(acknowledged)
        ):
            self._world.fail(
                Invariant.STALE_READ,
                f"{service} rolls out {record}, though {acknowledged} was acknowledged",
            )
        ended = self._rollouts_ended.get((service, target))
        if ended not in (None, state):
            self._world.fail(Invariant.STALE_READ, f"{service} is {record}, and was {ended} before")
        if state != RUNNING:
            self._rollouts_ended[service, target] = state

    # Periodic checks

    def check(self) -> None:
        """Check that configurations are answered in time while the controllers can do so."""
        now, settled_since = self._world.time.now, self.settled_since()
        for order in self.orders:
            if order.answered or order.kind is not OrderKind.CONFIGURATION:
                continue
            waited = now - max(order.began, settled_since)
            overdue = waited > ACKNOWLEDGEMENT_TIME + order.extra_time
            if overdue and now - order.began < GIVEN_UP_AFTER:
                self._world.fail(
                    Invariant.NOT_ACKNOWLEDGED,
                    f"{order} has no answer since {order.began / SECOND:.3f} s",
                )

    def settled_since(self) -> int:
        """Return the time from which bounds apply: the last disturbance plus `contactS`."""
        disturbances = self._world.disturbances
        disturbed = max(disturbances.controllers_disturbed_at, disturbances.links_disturbed_at)
        return disturbed + round(MARGINS["contactS"] * SECOND)

    def check_rollouts_existed(self, existed: set[tuple[str, str]]) -> None:
        """Check that each acknowledged rollout was once in the controllers' records.

        `existed` holds the services and targets of all rollouts seen there.
        """
        for order in self.orders:
            lost = order.acknowledged and (order.service, order.target) not in existed
            if order.kind is OrderKind.ROLLOUT and lost:
                self._world.fail(
                    Invariant.ACKNOWLEDGED_LOST,
                    f"the rollout of {order.name} was acknowledged, but never recorded",
                )

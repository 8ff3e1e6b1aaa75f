"""Invariants of orders: what operators sent, what they were answered, and what reads give back."""

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
TIME_PER_ROUTE = 3000  # microseconds more that an acknowledgement may take for each route
GIVEN_UP_AFTER = 29 * SECOND  # operators retry no longer
RUNNING = "running"  # the state of a rollout that has not ended


class OrderKind(Enum):
    """What an operator asks for."""

    CONFIGURATION = "config"
    ROLLOUT = "rollout"


@dataclass
class Order:
    """An order of an operator, sent until it has a clear answer.

    `raced`: sent beside another that contradicts it, so one of the two may be rejected.
    """

    kind: OrderKind
    body: bytes
    began: int
    revision: int = 0  # of a configuration
    service: str = ""  # of a rollout
    target: str = ""  # of a rollout
    extra_time: int = 0  # microseconds more that its acknowledgement may take
    raced: bool = False
    answered: bool = False
    acknowledged: bool = False

    def __str__(self) -> str:
        name = self.revision if self.kind is OrderKind.CONFIGURATION else self.name
        return f"{self.kind.value} {name}"

    @property
    def name(self) -> str:
        """Of a rollout: its service and target."""
        return f"{self.service} {self.target}"


@dataclass(frozen=True)
class RolloutRead:
    """A read of a rollout in progress, and the target acknowledged before it began."""

    service: str
    acknowledged_target: str | None


class OrderInvariants:
    """All orders of a day, and what answers to orders and reads may be."""

    def __init__(self, world: "ControlWorld", counts: Counter[str]) -> None:
        self.orders: list[Order] = []
        self._world = world
        self._counts = counts
        self._targets_sent: dict[str, list[str]] = {}  # by service, in the order of sending
        self._target_acknowledged: dict[str, str] = {}  # by service, the newest
        self._rollouts_ended: dict[tuple[str, str], str] = {}  # state by service and target

    # Orders

    def configuration_ordered(self, revision: int, body: bytes, routes: int) -> Order:
        """An operator begins to send a configuration."""
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
        """An operator begins to send the order of a rollout."""
        targets = self._targets_sent.setdefault(service, [])
        if target not in targets:
            targets.append(target)
        now = self._world.time.now
        return self._ordered(Order(OrderKind.ROLLOUT, body, now, service=service, target=target))

    def _ordered(self, order: Order) -> Order:
        self.orders.append(order)
        return order

    def order_answered(self, order: Order, status: int) -> None:
        """An order got a clear answer."""
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
        """An invalid configuration got an answer."""
        if status < 400:
            self._world.fail(
                Invariant.INVALID_ACCEPTED, f"the invalid configuration {revision} is acknowledged"
            )

    # Reads

    def configuration_read(self, told_before: int, status: int, body: bytes) -> None:
        """A read was answered; `told_before`: the newest revision told of before it began."""
        self._counts[f"read {status}"] += 1
        if status != 200:
            if told_before:
                self._world.fail(
                    Invariant.ACKNOWLEDGED_LOST,
                    f"{status} to a read, though {told_before} was told of",
                )
            return
        revision = int(json.loads(body)["revision"], 16)
        if revision < told_before:
            self._world.fail(
                Invariant.STALE_READ,
                f"{revision} was read, though {told_before} was told of before",
            )
        self.content_in_force(revision, body, "is read back")
        self._world.configurations.told(revision)

    def content_in_force(self, revision: int, body: bytes, where: str) -> None:
        """A content is in force at a controller."""
        configurations = self._world.configurations
        acknowledged = self._acknowledged(revision) if configurations.has_twin(revision) else []
        configurations.seen_in_force(revision, body, acknowledged, where)

    def _acknowledged(self, revision: int) -> list[bytes]:
        """The contents of a revision that were acknowledged."""
        return [
            order.body
            for order in self.orders
            if order.kind is OrderKind.CONFIGURATION
            and order.revision == revision
            and order.acknowledged
        ]

    def rollout_read_begins(self, service: str) -> RolloutRead:
        """A read of a rollout begins."""
        return RolloutRead(service, self._target_acknowledged.get(service))

    def rollout_read(self, read: RolloutRead, status: int, body: bytes) -> None:
        """A read of a rollout was answered."""
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

    # Looked at all the time

    def check(self) -> None:
        """Orders are answered in time, where the controllers could."""
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
        """Since when controllers and links have been undisturbed, `contactS` included."""
        disturbances = self._world.disturbances
        disturbed = max(disturbances.controllers_at, disturbances.links_at)
        return disturbed + round(MARGINS["contactS"] * SECOND)

    def check_rollouts_existed(self, existed: set[tuple[str, str]]) -> None:
        """Each acknowledged rollout was among the controllers' records at some time."""
        for order in self.orders:
            lost = order.acknowledged and (order.service, order.target) not in existed
            if order.kind is OrderKind.ROLLOUT and lost:
                self._world.fail(
                    Invariant.ACKNOWLEDGED_LOST,
                    f"the rollout of {order.name} was acknowledged, and never was",
                )

"""Rollouts of a run: operators order them and the platform monitors their progress."""

import json
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.instances import SimulatedInstance
from umbermoor.gateway.simulation.operator_call import OperatorCall
from umbermoor.gateway.simulation.order_invariants import RUNNING
from umbermoor.gateway.simulation.schedule import Step
from umbermoor.gateway.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

FOLLOW_INTERVAL = SECOND
READ_DEADLINE = 4 * SECOND
ORDER_DEADLINE, RACED_ORDER_DEADLINE = 30 * SECOND, 2 * SECOND
REVERTED_DRAIN_AFTER = 2 * SECOND
SETTLED = "settled"
DEFAULT_FAILURE_PERCENT = 50  # share of errors among the answers of a bad version


@dataclass
class RolloutInProgress:
    """The current rollout of a service and the state that the platform keeps of it."""

    target: str
    failure_share: float  # of its requests; 0 for a good version
    ramp_s: int
    ordered_at: int
    old_instances: list[SimulatedInstance] = field(default_factory=list)
    acknowledged: bool = False
    over: bool = False

    @property
    def good(self) -> bool:
        """Whether the new version answers like the earlier one."""
        return not self.failure_share


def _failure_share(step: Step) -> float:
    """Return the share of its requests that the version of a step fails."""
    return 0.0 if step.number("good") else step.number("percent", DEFAULT_FAILURE_PERCENT) / 100


class Rollouts:
    """The rollout of each service, and the steps that order and read them."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self._current: dict[str, RolloutInProgress] = {}  # by service
        self.steps = {"rollout": self._step_rollout, "rollout_read": self._step_read}

    def current(self, service: str) -> RolloutInProgress | None:
        """Return the newest rollout of a service, whether or not it is over."""
        return self._current.get(service)

    def ordered(self, service: str) -> bool:
        """Whether a rollout of the service was ever ordered."""
        return service in self._current

    def follow(self) -> None:
        """Have the platform poll the rollouts in progress from now on."""
        for service, rollout in self._current.items():
            if rollout.acknowledged and not rollout.over:
                self._read(service)
        self._world.time.after(FOLLOW_INTERVAL, self.follow)

    # Orders

    def _step_rollout(self, step: Step) -> None:
        service, target = step.text("service"), step.text("target")
        current = self._current.get(service)
        if current is not None and not current.over:
            return  # operators order one rollout at a time
        rival = step.text("against")
        self._order(step, service, target, bool(rival))
        if rival:  # another operator orders another version of the service at the same time
            self._order(step, service, rival, True)

    def _order(self, step: Step, service: str, target: str, raced: bool) -> None:
        world, ramp_s = self._world, step.number("ramp")
        old_instances = world.instances.running(service)
        rollout = RolloutInProgress(
            target, _failure_share(step), ramp_s, world.time.now, old_instances
        )
        self._current.setdefault(service, rollout)
        if not raced or self._current[service].over:
            self._current[service] = rollout
        world.counts["rollout"] += 1
        world.instances.start_version(service, target)
        request = {"service": service, "target": target, "rampS": ramp_s}
        body = json.dumps(request).encode()
        order = world.invariants.orders.rollout_ordered(service, target, body)
        order.raced = raced
        world.operators.sent(order)

        def answered(status: int, _: bytes) -> None:
            world.invariants.orders.order_answered(order, status)
            if status == 200 and not (self._current[service].acknowledged and raced):
                self._current[service] = rollout
                rollout.acknowledged = True

        deadline = RACED_ORDER_DEADLINE if raced else ORDER_DEADLINE
        OperatorCall(world, "POST", "/Rollouts.Begin", body, answered, deadline=deadline)

    # Reads

    def _step_read(self, step: Step) -> None:
        for service in self._current:
            self._read(service)

    def _read(self, service: str) -> None:
        orders = self._world.invariants.orders
        read = orders.rollout_read_begins(service)
        self._world.counts["rollout_read"] += 1

        def answered(status: int, body: bytes) -> None:
            orders.rollout_read(read, status, body)
            rollout = self._current[service]
            if status == 200 and not rollout.over:
                record = json.loads(body)
                if record["target"] == rollout.target and record["state"] != RUNNING:
                    self._ended(service, rollout, record["state"])

        OperatorCall(
            self._world,
            "GET",
            f"/Rollouts.Read/{service}",
            b"",
            answered,
            deadline=READ_DEADLINE,
            answers_may_be_lost=False,
        )

    def _ended(self, service: str, rollout: RolloutInProgress, state: str) -> None:
        """Handle the end of a rollout: the platform removes the superseded or reverted version."""
        rollout.over = True
        self._world.counts[state] += 1
        if state == SETTLED:
            for instance in rollout.old_instances:
                instance.crash()
        else:
            for instance in self._world.instances.all:
                if instance.version == rollout.target:
                    self._world.time.after(REVERTED_DRAIN_AFTER, partial(instance.drain, 0))
        self._order_next(service, rollout.target)

    def _order_next(self, service: str, target: str) -> None:
        """Possibly order another rollout, as an operator who waited for the end of this one."""
        world = self._world
        rng = random.Random(f"next {world.schedule.seed} {target}")
        if rng.random() >= 0.5 or world.time.now >= world.faults_end_at:
            return
        arguments = {
            "service": service,
            "target": f"{target}n",
            "ramp": "6",
            "good": str(rng.randrange(2)),
        }
        step = Step(0, "rollout", tuple(arguments.items()))
        world.time.after(rng.randrange(300) * MILLISECOND, lambda: self._step_rollout(step))

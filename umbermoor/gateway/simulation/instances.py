"""Simulated instances that send heartbeats, drain, leave or crash as the user docs describe."""

import json
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Any

from umbermoor.gateway.simulation.nodes import HEARTBEAT_INTERVAL
from umbermoor.gateway.simulation.operator_call import ANSWER_TIMEOUT
from umbermoor.gateway.simulation.schedule import LEAVES_FIRST, MARGINS, SERVICES, Step
from umbermoor.gateway.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

FIRST_VERSION = "v1"
INSTANCES_PER_VERSION = 3
CAPACITY = 6
RETRY_INTERVAL = 100 * MILLISECOND
HEARTBEAT_RETRIES, DRAIN_RETRIES = 3, 6
LEAVES_UNACKNOWLEDGED_AFTER = 8 * SECOND  # from the first draining heartbeat
CRASHES_AFTER_LEAVING = 2 * SECOND


class InstanceState(Enum):
    """State that an instance reports, with the values used on the wire."""

    READY = "ready"
    DRAINING = "draining"


class SimulatedInstance:
    """An instance of a service. Times are microseconds of virtual time."""

    def __init__(self, world: "ControlWorld", number: int, service: str, version: str) -> None:
        self.id = f"i-{number:04d}"
        self.service = service
        self.version = version
        self.state = InstanceState.READY
        self.ended = False
        self.draining_at: int | None = None  # time of the first heartbeat that reported draining
        self.draining_acknowledged_at: int | None = None
        self.left_at: int | None = None
        self.leave_acknowledged_at: int | None = None
        self._world = world
        self._address = f"10.128.{number >> 8}.{number & 255}:8080"
        self._sample = 0  # number of heartbeats sent
        self._drain_ms = 0
        self._heartbeats()

    @property
    def ready(self) -> bool:
        """Whether the instance serves, does not drain and has not left."""
        return self.state is InstanceState.READY and self.left_at is None and not self.ended

    @property
    def departure_acknowledged_at(self) -> int | None:
        """When its draining or its leave was first acknowledged; None before."""
        acknowledged = self.draining_acknowledged_at, self.leave_acknowledged_at
        return min((at for at in acknowledged if at is not None), default=None)

    @property
    def waits_for_drain(self) -> bool:
        """Whether its draining has not yet been acknowledged by any controller."""
        return self.draining_acknowledged_at is None and self.left_at is None and not self.ended

    # Heartbeats

    def _heartbeats(self) -> None:
        if self.ended or self.left_at is not None:
            return
        self._send_heartbeat(HEARTBEAT_RETRIES)
        interval = HEARTBEAT_INTERVAL * self._world.rng.uniform(0.9, 1.1)
        self._world.time.after(interval, self._heartbeats)

    def _send_heartbeat(self, retries: int) -> None:
        self._sample += 1
        state = self.state
        body = {
            "service": self.service,
            "address": self._address,
            "zone": "a",
            "revision": self.version,
            "capacity": CAPACITY,
            "state": state.value,
            "warmupLeftS": 0,
            "sample": self._sample,
        }
        path = f"/Plants.Heartbeat/{self.id}"
        self._send(path, body, lambda: self._acknowledged(state), retries)

    def _acknowledged(self, state: InstanceState) -> None:
        if state is InstanceState.DRAINING and self.draining_acknowledged_at is None:
            self.draining_acknowledged_at = self._world.time.now
            self._world.invariants.instances.draining_acknowledged()
            stay = MARGINS["drainS"] * SECOND + self._drain_ms * MILLISECOND
            self._world.time.after(stay, self._leave)

    def _send(
        self,
        path: str,
        body: Any,
        on_acknowledged: Callable[[], None],
        retries: int,
        attempt: int = 0,
    ) -> None:
        """Send a call to a random controller, with retries."""
        world = self._world
        over: list[int] = []  # the status that ended the attempt, 0 for a timeout
        target = world.rng.choice(list(world.controllers))
        node, data = world.controllers[target], json.dumps(body).encode()

        def answered(status: int, _: bytes) -> None:
            if over:
                return
            over.append(status)
            if 200 <= status < 300:
                on_acknowledged()
            else:
                retry()

        def timed_out() -> None:
            if not over:
                over.append(0)
                retry()

        def retry() -> None:
            if attempt < retries and not self.ended:
                world.time.after(
                    RETRY_INTERVAL,
                    lambda: self._send(path, body, on_acknowledged, retries, attempt + 1),
                )

        world.network.call(
            world.operator_ip,
            target,
            lambda process, respond: node.handle("POST", path, data, process, respond),
            answered,
        )
        world.time.after(ANSWER_TIMEOUT, timed_out)

    # Shutdown

    def drain(self, drain_ms: int) -> None:
        """Report draining; leave `drain_ms` after the drain time that instances must observe."""
        if self.ready:
            self.state, self._drain_ms = InstanceState.DRAINING, drain_ms
            self.draining_at = self._world.time.now
            self._send_heartbeat(DRAIN_RETRIES)
            deadline = LEAVES_UNACKNOWLEDGED_AFTER + drain_ms * MILLISECOND
            self._world.time.after(deadline, self._leave)

    def leave_without_draining(self, stay_ms: int) -> None:
        """Send the leave first, and serve on for `stay_ms` longer than instances must."""
        if self.ready:
            self._send_leave(DRAIN_RETRIES)
            stay = MARGINS["drainS"] * SECOND + stay_ms * MILLISECOND
            self._world.time.after(stay, self.crash)

    def _leave(self) -> None:
        if self.left_at is None and not self.ended:
            self._send_leave(HEARTBEAT_RETRIES)
            self._world.time.after(CRASHES_AFTER_LEAVING, self.crash)

    def _send_leave(self, retries: int) -> None:
        self.left_at = self._world.time.now
        self._send(f"/Plants.Leave/{self.id}", {}, self._leave_acknowledged, retries)

    def _leave_acknowledged(self) -> None:
        self._world.invariants.instances.leave_acknowledged()
        if self.leave_acknowledged_at is None:
            self.leave_acknowledged_at = self._world.time.now
            self._world.instances.leave_acknowledged()

    def crash(self) -> None:
        """End without notice."""
        self.ended = True


class Instances:
    """All instances of a run, and the steps that start and end them."""

    def __init__(self, world: "ControlWorld") -> None:
        self.all: list[SimulatedInstance] = []
        self._world = world
        self._on_next_leave: list[Callable[[], None]] = []
        self.steps = {"leave": self._step_leave, "crash": self._step_crash, "come": self._step_come}

    def after_next_leave(self, action: Callable[[], None]) -> None:
        """Run `action` when the next leave of an instance is acknowledged."""
        self._on_next_leave.append(action)

    def leave_acknowledged(self) -> None:
        """Run the actions that wait for the acknowledgement of a leave."""
        actions, self._on_next_leave = self._on_next_leave, []
        for action in actions:
            action()

    def find(self, instance_id: str) -> SimulatedInstance | None:
        """Return the instance with that id, or None."""
        return next((instance for instance in self.all if instance.id == instance_id), None)

    def running(self, service: str) -> list[SimulatedInstance]:
        """Return the instances of a service that have not ended."""
        return [
            instance for instance in self.all if instance.service == service and not instance.ended
        ]

    def start_first(self) -> None:
        """Start the first version of every service."""
        for service in SERVICES:
            self.start_version(service, FIRST_VERSION)

    def start_version(self, service: str, version: str) -> None:
        """Start the instances of a new version."""
        for _ in range(INSTANCES_PER_VERSION):
            self._start(service, version)

    def _start(self, service: str, version: str) -> None:
        self.all.append(SimulatedInstance(self._world, len(self.all) + 1, service, version))

    def _pick(self, step: Step) -> SimulatedInstance | None:
        """Return the picked ready instance; None if it is the last one of its service."""
        ready = [instance for instance in self.all if instance.ready]
        if not ready:
            return None
        picked = ready[step.number("pick") % len(ready)]
        last = sum(other.service == picked.service for other in ready) <= 1
        return None if last else picked

    def _step_leave(self, step: Step) -> None:
        instance = self._pick(step)
        if instance is None:
            return
        if step.text("how") == LEAVES_FIRST:
            instance.leave_without_draining(step.number("stay"))
        else:
            instance.drain(step.number("stay"))

    def _step_crash(self, step: Step) -> None:
        instance = self._pick(step)
        if instance is not None:
            instance.crash()

    def _step_come(self, step: Step) -> None:
        """Start another instance of the version in service."""
        service = SERVICES[step.at_ms % 2]
        running = self.running(service) if self._world.rollouts.ordered(service) else []
        self._start(service, running[0].version if running else FIRST_VERSION)

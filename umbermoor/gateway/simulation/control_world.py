"""The control world: a whole control plane that runs in virtual time according to a schedule.

Controllers and proxies run their unmodified programs on simulated hosts; the schedule determines
operators, instances, clients and faults. All randomness comes from the seed, so a schedule produces
the same events on each run.
"""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any, NoReturn
from unittest.mock import patch

from umbermoor.gateway.server import controller_link
from umbermoor.gateway.server import events as controller_events
from umbermoor.gateway.server import proxy as proxy_program
from umbermoor.gateway.simulation import observations
from umbermoor.gateway.simulation.configurations import Configurations
from umbermoor.gateway.simulation.disk_faults import DiskFaults
from umbermoor.gateway.simulation.disturbances import Disturbances
from umbermoor.gateway.simulation.instances import Instances
from umbermoor.gateway.simulation.invariants import Invariants
from umbermoor.gateway.simulation.network_faults import NetworkFaults
from umbermoor.gateway.simulation.nodes import ControllerNode, ProxyNode
from umbermoor.gateway.simulation.operators import Operators
from umbermoor.gateway.simulation.process_faults import ProcessFaults
from umbermoor.gateway.simulation.rollouts import Rollouts
from umbermoor.gateway.simulation.schedule import Schedule, Step
from umbermoor.gateway.simulation.traffic import Traffic
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.simulation.virtual_disk import DiskMode
from umbermoor.gateway.simulation.virtual_network import VirtualHost, VirtualNetwork
from umbermoor.gateway.simulation.virtual_time import VirtualTime
from umbermoor.gateway.units import MILLISECOND, SECOND

TRAFFIC_BEGINS_AT = 9 * SECOND
FIRST_CONFIGURATION_AT = 3 * SECOND
CALM = 16 * SECOND  # between the end of all faults and the final checks
CHECK_INTERVAL = 50 * MILLISECOND
START_SPREAD_MS = 300
REQUESTS_AFTER, ROLLOUTS_FOLLOWED_AFTER = 20 * MILLISECOND, SECOND
ANSWER_LOSS = 0.08  # share of answers to operators that are lost, in runs with answer loss
CLOCK_DRIFT_PPM = 200  # maximum
SEEDS = 3  # controllers in the seed list of each node
ZONES = 3
FIRST_REVISION = 1

LogEvent = Callable[..., None]  # receives the name of a log event and its keys


def _ignore(name: str, **keys: Any) -> None:
    """Drop a log event."""


def _fault_name(step: Step) -> str:
    """Return the kind of a fault, for partitions followed by their shape."""
    return f"{step.kind}_{step.text('how', 'both')}" if step.kind == "core_cut" else step.kind


class ControlWorld:
    """One run of a schedule.

    Attributes:
        faults: number of injected faults, by kind of step.
        counts: number of other events, by kind.
        rng: random generator for the actions of operators, instances and clients.
    """

    def __init__(self, schedule: Schedule, log_event: LogEvent = _ignore) -> None:
        """Set up the world; `log_event` receives the log events of the programs."""
        seed = schedule.seed
        self.schedule = schedule
        self.time = VirtualTime()
        self.rng = random.Random(f"play {seed}")
        self.network = VirtualNetwork(self.time, random.Random(f"net {seed}"))
        self.operator_ip = "10.9.0.1"
        self.traffic_begins_at = TRAFFIC_BEGINS_AT
        self.faults_end_at = TRAFFIC_BEGINS_AT + schedule.fault_phase_ms * MILLISECOND
        self.faults: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self._log_event = log_event
        setup_rng = random.Random(f"machines {seed}")
        self.answer_loss = setup_rng.choice((0.0, ANSWER_LOSS))
        self.controllers, self.proxies = self._make_nodes(setup_rng)
        self.configurations = Configurations(seed, self.time)
        self.disturbances = Disturbances(self)
        self.invariants = Invariants(self)
        self.instances = Instances(self)
        self.rollouts = Rollouts(self)
        self.operators = Operators(self)
        self.traffic = Traffic(self)
        self.process_faults = ProcessFaults(self)
        self.network_faults = NetworkFaults(self)
        self.disk_faults = DiskFaults(self)
        self._actions = self.operators.steps | self.instances.steps | self.rollouts.steps
        self._fault_actions = (
            self.process_faults.steps | self.network_faults.steps | self.disk_faults.steps
        )

    def _make_nodes(
        self, rng: random.Random
    ) -> tuple[dict[str, ControllerNode], dict[str, ProxyNode]]:
        controller_ips = [f"10.0.0.{n + 1}" for n in range(self.schedule.members)]
        proxy_ips = [f"10.0.1.{n + 1}" for n in range(self.schedule.proxies)]
        seeds = tuple(controller_ips[:SEEDS])
        controllers = {
            ip: ControllerNode(self, self._make_host(rng, ip), seeds, f"z{n % ZONES}")
            for n, ip in enumerate(controller_ips)
        }
        proxies = {
            ip: ProxyNode(self, self._make_host(rng, ip), seeds, f"z{n % ZONES}")
            for n, ip in enumerate(proxy_ips)
        }
        return controllers, proxies

    def _make_host(self, rng: random.Random, ip: str) -> VirtualHost:
        rate = 1 + rng.uniform(-CLOCK_DRIFT_PPM, CLOCK_DRIFT_PPM) * 1e-6
        return VirtualHost(self.network, ip, rate, rng.randrange(1, 10**9))

    # The run

    def run(self) -> "ControlWorld":
        """Run the whole schedule and return the world.

        Raises InvariantViolation.
        """
        with (
            patch.object(controller_events, "event", self._log_event),
            patch.object(proxy_program, "event", self._log_event),
            patch.object(controller_link, "event", self._log_event),
        ):
            self._play()
        return self

    def _play(self) -> None:
        time = self.time
        self._start_nodes()
        time.after(FIRST_CONFIGURATION_AT, self._begin_operation)
        for step in self.schedule.steps:
            at = TRAFFIC_BEGINS_AT + max(0, step.at_ms) * MILLISECOND
            time.at(at, partial(self._act, step))
        time.after(CHECK_INTERVAL, self._check)
        time.run(TRAFFIC_BEGINS_AT)
        self.invariants.check_started()
        time.run(self.faults_end_at)
        self._end_faults()
        time.run(self.faults_end_at + CALM)
        self.invariants.check_recovered()

    def _start_nodes(self) -> None:
        for controller in self.controllers.values():
            delay = self.rng.randrange(START_SPREAD_MS) * MILLISECOND
            self.time.after(delay, partial(controller.start, cold=True))
        for proxy in self.proxies.values():
            self.time.after(self.rng.randrange(START_SPREAD_MS) * MILLISECOND, proxy.start)

    def _begin_operation(self) -> None:
        self.instances.start_first()
        self.operators.send_configuration(FIRST_REVISION)
        self.time.after(REQUESTS_AFTER, self.traffic.send_requests)
        self.time.after(ROLLOUTS_FOLLOWED_AFTER, self.rollouts.follow)

    def _check(self) -> None:
        self.disturbances.observe()
        self.invariants.check()
        self.process_faults.restart_exited()
        self.time.after(CHECK_INTERVAL, self._check)

    def _act(self, step: Step) -> None:
        """Execute a step; a fault is counted unless its action returns False (nothing was done)."""
        if step.kind in self._actions:
            self._actions[step.kind](step)
        elif step.kind in self._fault_actions:
            if self._fault_actions[step.kind](step) is not False:
                self.faults[_fault_name(step)] += 1
        else:
            raise ValueError(f"no such step: {step}")

    def _end_faults(self) -> None:
        """End all faults at once and start every stopped process."""
        self.network.heal()
        self.answer_loss = 0.0
        for node in self.controllers.values():
            node.host.disk.mode = DiskMode.HEALTHY
            if node.host.process is not None:
                self.process_faults.thaw(node.host, timers_first=True)
                node.host.process.callback_cost = 0
            node.host.timer_clock.resume()
            node.start()
        for proxy in self.proxies.values():
            if proxy.running:
                self.process_faults.thaw(proxy.host, timers_first=True)
            proxy.start()
        for ip in self.network.hosts:
            self.disturbances.disturbed(ip)

    # Used by the parts of the world

    def fail(self, invariant: Invariant, detail: str) -> NoReturn:
        """Raise InvariantViolation."""
        raise InvariantViolation(invariant, detail, self.time.now)

    def controller_name(self, number: int) -> str:
        """Return the address of the controller with that index; indexes wrap around."""
        names = list(self.controllers)
        return names[number % len(names)]

    def newest_chain(self) -> tuple[str, ...]:
        """Return the chain of the newest view known to any controller.

        If no controller knows a chain, it consists of the first controller alone.
        """
        nodes = [node for node in self.controllers.values() if node.program is not None]
        with_chain = [status for status in map(observations.replica_status, nodes) if status.chain]
        newest = max(with_chain, key=lambda status: status.epoch, default=None)
        return newest.chain if newest is not None else (self.controller_name(0),)

"""All invariants of the control world: checked periodically, after startup and at the end."""

from collections import Counter
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation import observations
from umbermoor.gateway.simulation.exposure import ExposureInvariant
from umbermoor.gateway.simulation.order_invariants import OrderInvariants
from umbermoor.gateway.simulation.proxy_invariants import InstanceInvariants, ProxyInvariants
from umbermoor.gateway.simulation.state_invariants import RolloutRecords, StateInvariants
from umbermoor.gateway.simulation.violations import Invariant
from umbermoor.gateway.units import SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

Answer = tuple[str, int, bytes]  # controller, status, body


class Invariants:
    """Runs the invariants of orders, state, proxies, instances and rollouts."""

    def __init__(self, world: "ControlWorld") -> None:
        self.counts: Counter[str] = Counter()  # observed events, by kind
        records = RolloutRecords(world)
        self.orders = OrderInvariants(world, self.counts)
        self.state = StateInvariants(world, records)
        self.proxies = ProxyInvariants(world, self.counts, records)
        self.instances = InstanceInvariants(world, self.counts)
        self.exposure = ExposureInvariant(world)
        self._world = world

    def check(self) -> None:
        """Run all periodic checks. Raises InvariantViolation."""
        errors = self._world.time.unhandled_errors
        if errors:
            self._world.fail(Invariant.UNHANDLED_ERROR, errors[0])
        self.state.check()
        self.proxies.check()
        self.orders.check()
        self.instances.check()

    def check_started(self) -> None:
        """Check that a configuration is in force and every proxy is ready when traffic begins."""
        if not self._world.configurations.newest_reported:
            self._world.fail(
                Invariant.NOT_STARTED, "no configuration is acknowledged before traffic begins"
            )
        for ip, node in self._world.proxies.items():
            if not node.ready:
                self._world.fail(Invariant.NOT_STARTED, f"{ip} is not ready when traffic begins")

    def check_recovered(self) -> None:
        """Check, after all faults ended, that each controller accepts orders and all agree."""
        world = self._world
        for ip in world.controllers:
            world.operators.send_new_configuration(first=ip)
            world.time.run(world.time.now + SECOND)
        world.time.run(world.time.now + 2 * SECOND)
        answers = self._read_everywhere()
        newest = world.configurations.newest_sent()
        self.orders.check_rollouts_existed(self.state.rollouts_seen)
        reported = world.configurations.newest_reported
        if reported != newest:
            self._not_recovered(f"{newest} is not acknowledged, {reported} is")
        self._check_reads(answers, newest)
        self._check_one_chain()
        self._count_listed_leavers()
        for ip, node in world.proxies.items():
            revision = self.proxies.in_force[ip]
            if not node.ready or revision != newest:
                self._not_recovered(f"{ip} has {revision} in force, or is not ready")

    def _not_recovered(self, detail: str) -> None:
        self._world.fail(Invariant.NOT_RECOVERED, detail)

    def _read_everywhere(self) -> list[Answer]:
        """Return the answers of the controllers to a read that arrive within a second."""
        world, answers = self._world, []
        for ip, node in world.controllers.items():

            def answered(status: int, body: bytes, ip: str = ip) -> None:
                answers.append((ip, status, body))

            world.network.call(
                world.operator_ip,
                ip,
                lambda process, respond, node=node: node.handle(  # type: ignore[misc]
                    "GET", "/Config.Read", b"", process, respond
                ),
                answered,
            )
        world.time.run(world.time.now + SECOND)
        return answers

    def _check_reads(self, answers: list[Answer], newest: int) -> None:
        content = self._world.configurations.first_body(newest)
        for ip, status, body in answers:
            if status != 200 or body != content:
                self._not_recovered(f"{ip} answers {status} to a read")
        if len(answers) < len(self._world.controllers):
            self._not_recovered(f"only {[ip for ip, *_ in answers]} answer a read")

    def _check_one_chain(self) -> None:
        nodes = self._world.controllers
        statuses = {ip: observations.replica_status(node) for ip, node in nodes.items()}
        views = {(status.epoch, status.chain) for status in statuses.values()}
        if len(views) > 1 or not all(map(observations.is_serving, statuses.values())):
            self._not_recovered(f"the chain is not whole: {statuses}")

    def _count_listed_leavers(self) -> None:
        """Count the instances that left and are still listed.

        This is no violation, because no request is sent to them.
        """
        for node in self._world.proxies.values():
            self.counts["left and still listed"] += sum(
                instance.leave_acknowledged_at is not None
                and observations.lists_instance(node, instance.id)
                for instance in self._world.instances.all
            )

"""Invariants of proxies: no regressions, draining is respected, changes arrive in time."""

from collections import Counter
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation import observations
from umbermoor.gateway.simulation.order_invariants import ACKNOWLEDGEMENT_TIME
from umbermoor.gateway.simulation.schedule import MARGINS, SERVICES
from umbermoor.gateway.simulation.state_invariants import RolloutRecords
from umbermoor.gateway.simulation.violations import Invariant
from umbermoor.gateway.units import SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld
    from umbermoor.gateway.simulation.instances import SimulatedInstance
    from umbermoor.gateway.simulation.nodes import ProxyNode

CONTACT = round(MARGINS["contactS"] * SECOND)
CONVERGENCE = round(MARGINS["convergenceS"] * SECOND)
STRETCH = round(MARGINS["stretchS"] * SECOND)
DRAIN = round(MARGINS["drainS"] * SECOND)
ACKNOWLEDGED_CHECKED = 60  # number of newest acknowledged configurations to consider


class ProxyInvariants:
    """Checks what each proxy has in force in its current incarnation."""

    def __init__(
        self, world: "ControlWorld", counts: Counter[str], records: RolloutRecords
    ) -> None:
        self.in_force: dict[str, int] = {}  # revision of the configuration by proxy
        self._world = world
        self._counts = counts
        self._records = records
        self._was_ready: set[str] = set()
        self._departing: dict[str, set[str]] = {}  # by proxy: instances known as draining or gone
        # By proxy: the newest revision that answers had reported when the proxy started
        self._reported_before_start: dict[str, int] = {}

    def started(self, ip: str) -> None:
        """Record that a proxy starts, without any state."""
        self.in_force[ip], self._departing[ip] = 0, set()
        self._was_ready.discard(ip)
        self._reported_before_start[ip] = self._world.configurations.newest_reported

    def check(self) -> None:
        """Check all running proxies."""
        for ip, node in self._world.proxies.items():
            process = node.host.process
            if node.program is not None and process is not None and not process.frozen:
                self._check_configuration(ip, node)
                self._check_ready(ip, node)
                self._check_convergence(ip)
                self._check_instances(ip, node)
                self._check_rollouts(node)

    def _check_configuration(self, ip: str, node: "ProxyNode") -> None:
        revision, before = observations.configuration_in_force(node), self.in_force[ip]
        if revision < before:
            self._world.fail(
                Invariant.PROXY_WENT_BACK,
                f"{ip} went back from configuration {before} to {revision}",
            )
        if revision != before:
            self.in_force[ip] = revision
            names = observations.route_names(node)
            self._world.configurations.routes_in_force(revision, names, ip)

    def _check_ready(self, ip: str, node: "ProxyNode") -> None:
        if not node.ready or ip in self._was_ready:
            return
        self._was_ready.add(ip)
        self._counts["ready"] += 1
        revision, reported = self.in_force[ip], self._reported_before_start[ip]
        if revision < reported:
            self._world.fail(
                Invariant.READY_WHILE_STALE,
                f"{ip} is ready with {revision}, though {reported} was in force before it started",
            )

    def _check_convergence(self, ip: str) -> None:
        disturbances, revision = self._world.disturbances, self.in_force[ip]
        due = self._acknowledged_before(CONVERGENCE)
        if revision >= due:
            return
        if disturbances.proxy_in_contact(ip):
            self._world.fail(
                Invariant.NOT_CONVERGED,
                f"{ip} has {revision} in force, {due} was acknowledged over convergenceS ago",
            )
        span = CONVERGENCE + STRETCH
        long_due = self._acknowledged_before(span)
        if revision < long_due and disturbances.quorum_throughout(ip, span + CONTACT):
            self._world.fail(
                Invariant.NOT_CONVERGED,
                f"{ip} has {revision} in force, {long_due} was acknowledged over stretchS ago",
            )

    def _acknowledged_before(self, span: int) -> int:
        """Return the newest revision acknowledged more than `span` ago, or 0 for none."""
        now = self._world.time.now
        newest = self._world.configurations.acknowledged[-ACKNOWLEDGED_CHECKED:]
        return max((revision for at, revision in newest if now - at > span), default=0)

    def _check_instances(self, ip: str, node: "ProxyNode") -> None:
        departing = self._departing[ip]
        departing.update(observations.departing_instances(node))
        for instance in self._world.instances.all:
            if observations.lists_instance(node, instance.id):
                if instance.id in departing:
                    self._world.fail(
                        Invariant.PROXY_WENT_BACK,
                        f"{ip} lists {instance.id} again after seeing it drain or leave",
                    )
                self.check_usable(ip, instance, "is listed")

    def check_usable(self, ip: str, instance: "SimulatedInstance", use: str) -> None:
        """Check that a proxy stops using an instance in time after its acknowledged departure.

        An acknowledgement binds also if the controller that gave it was not in contact.
        """
        departed_at, disturbances = instance.departure_acknowledged_at, self._world.disturbances
        if departed_at is None or not disturbances.proxy_in_contact(ip):
            return
        used_for = self._world.time.now - departed_at
        if used_for > DRAIN and not instance.ended:
            self._world.fail(
                Invariant.DRAINING_USED,
                f"{instance.id} {use} by {ip} {used_for / SECOND:.2f} s after its departure was "
                "acknowledged",
            )

    def _check_rollouts(self, node: "ProxyNode") -> None:
        for service, record in observations.rollout_records(node):
            if service in SERVICES:
                self._records.seen(service, record)


class InstanceInvariants:
    """Checks that the draining of instances is acknowledged in time."""

    def __init__(self, world: "ControlWorld", counts: Counter[str]) -> None:
        self._world = world
        self._counts = counts

    def draining_acknowledged(self) -> None:
        """Record that a controller acknowledged the draining of an instance."""
        self._counts["drained"] += 1

    def leave_acknowledged(self) -> None:
        """Record that a controller acknowledged that an instance left."""
        self._counts["left"] += 1

    def check(self) -> None:
        """Check all draining instances."""
        now, settled_since = self._world.time.now, self._world.invariants.orders.settled_since()
        for instance in self._world.instances.all:
            draining_at = instance.draining_at
            if draining_at is None or not instance.waits_for_drain:
                continue
            if now - max(draining_at, settled_since) > ACKNOWLEDGEMENT_TIME:
                self._world.fail(
                    Invariant.NOT_ACKNOWLEDGED,
                    f"{instance.id} drains unacknowledged since {draining_at / SECOND:.3f} s",
                )

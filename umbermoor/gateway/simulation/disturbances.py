"""The time at which a fault last disturbed each part of the system.

As the user documentation says, time bounds hold only for parts in contact: undisturbed for
`contactS`, with a settled set of controllers. Safety is always checked, independently of this.
"""

from itertools import combinations
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.schedule import MARGINS
from umbermoor.gateway.simulation.virtual_disk import DiskMode
from umbermoor.gateway.units import SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld
    from umbermoor.gateway.simulation.nodes import ControllerNode

NEVER = -(1 << 60)
CONTACT = round(MARGINS["contactS"] * SECOND)
SETTLING = round(MARGINS["settlingS"] * SECOND)


class Disturbances:
    """Latest disturbance of each part, as times in microseconds."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self._time = world.time
        # Latest disturbance that may cost the controllers their quorum
        self.controllers_disturbed_at = NEVER
        self.links_disturbed_at = NEVER
        self._controller_disturbed_at = dict.fromkeys(world.controllers, NEVER)
        self._pair_cut_at: dict[frozenset[str], int] = {}
        self._proxy_disturbed_at = dict.fromkeys(world.proxies, NEVER)
        # Controllers whose disk was lost, and the time of the loss
        self._wiped_at: dict[str, int] = {}

    # Reported by faults

    def disturbed(self, ip: str) -> None:
        """Record a disturbance of a machine."""
        if ip in self._controller_disturbed_at:
            self.controller_disturbed(ip)
        else:
            self.proxy_disturbed(ip)

    def controller_disturbed(self, ip: str) -> None:
        """Record a disturbance of a controller's machine."""
        self.controllers_disturbed_at = self._time.now
        if ip in self._controller_disturbed_at:  # unless the controller was removed
            self._controller_disturbed_at[ip] = self._time.now

    def controller_added(self, ip: str) -> None:
        """Record that an empty controller starts; it counts as lost until it has the state."""
        self.controllers_disturbed_at = self._controller_disturbed_at[ip] = self._time.now
        self.disk_lost(ip)

    def controller_removed(self, ip: str) -> None:
        """Record that a controller was permanently replaced by another."""
        self.controllers_disturbed_at = self._time.now
        del self._controller_disturbed_at[ip]
        self._wiped_at.pop(ip, None)

    def proxy_disturbed(self, ip: str) -> None:
        """Record a disturbance of a proxy's machine."""
        self._proxy_disturbed_at[ip] = self._time.now

    def disk_lost(self, ip: str) -> None:
        """Record that a controller lost its disk, or will find it lost when it next reads it."""
        self._wiped_at[ip] = self._time.now

    def may_lose_disk(self, ip: str) -> bool:
        """Whether this disk may be lost now without exceeding the tolerated number of losses.

        Controllers that have not yet copied the state again count as lost.
        """
        others = set(self._wiped_at) - {ip}
        return len(others) < self._world.schedule.tolerated_losses

    # Observations

    def observe(self) -> None:
        """Record which parts are currently disturbed."""
        now, network = self._time.now, self._world.network
        running = self._observe_controllers()
        if network.packet_loss:
            self.controllers_disturbed_at = self.links_disturbed_at = now
            self._proxy_disturbed_at = dict.fromkeys(self._proxy_disturbed_at, now)
        if network.any_cut():
            self.links_disturbed_at = now
        for first, second in combinations(self._controller_disturbed_at, 2):
            if not self._connected(first, second):
                self._pair_cut_at[frozenset((first, second))] = now
        with_quorum = self._with_quorum(running)
        if not with_quorum:
            self.controllers_disturbed_at = now
        self._observe_proxies(with_quorum)
        self._observe_disks(with_quorum)

    def _observe_controllers(self) -> list[str]:
        """Update the times of the controllers; return those that run and are not frozen."""
        running = []
        for ip, node in self._world.controllers.items():
            process = node.host.process
            impaired = _impaired(node)
            if process is None or impaired:
                self._controller_disturbed_at[ip] = self._time.now
            if impaired:
                self.controllers_disturbed_at = self._time.now
            if process is not None and not process.frozen:
                running.append(ip)
        return running

    def _connected(self, first: str, second: str) -> bool:
        network = self._world.network
        return not (network.is_cut(first, second) or network.is_cut(second, first))

    def _with_quorum(self, running: list[str]) -> list[str]:
        """Return the running controllers that can reach a majority of all controllers."""
        reached = {
            ip: [other for other in running if other == ip or self._connected(ip, other)]
            for ip in running
        }
        return [
            ip
            for ip, others in reached.items()
            if 2 * len(others) > len(self._controller_disturbed_at)
        ]

    def _observe_proxies(self, with_quorum: list[str]) -> None:
        for ip, node in self._world.proxies.items():
            process = node.host.process
            if (
                process is None
                or process.frozen
                or not all(self._connected(ip, controller) for controller in with_quorum)
            ):
                self._proxy_disturbed_at[ip] = self._time.now

    def _observe_disks(self, with_quorum: list[str]) -> None:
        now = self._time.now
        without_quorum = set(self._controller_disturbed_at) - set(with_quorum)
        lost = without_quorum | set(self._wiped_at)
        if self._wiped_at and len(lost) > self._world.schedule.tolerated_losses:
            self.controllers_disturbed_at = now  # more losses than tolerated: no time bound holds
        for ip, wiped_at in list(self._wiped_at.items()):
            # According to the user documentation the controller has its state again after
            # settlingS without disturbance.
            undisturbed = now - max(self.controllers_disturbed_at, wiped_at)
            if undisturbed >= SETTLING and ip in with_quorum:
                del self._wiped_at[ip]

    # Queries of the invariants

    def settled(self) -> bool:
        """Whether the controllers have been undisturbed for `contactS`."""
        return self._time.now - self.controllers_disturbed_at >= CONTACT

    def proxy_in_contact(self, ip: str) -> bool:
        """Whether a proxy has been undisturbed for `contactS` and the controllers are settled."""
        return self.settled() and self._time.now - self._proxy_disturbed_at[ip] >= CONTACT

    def quorum_throughout(self, proxy: str, span: int) -> bool:
        """Whether one majority of the controllers ran and was connected throughout `span`.

        The proxy must also have been undisturbed for that time and for at least `contactS`.
        """
        since = self._time.now - span
        if self._proxy_disturbed_at[proxy] > min(since, self._time.now - CONTACT):
            return False
        undisturbed = [ip for ip, at in self._controller_disturbed_at.items() if at < since]
        majority = len(self._controller_disturbed_at) // 2 + 1
        return any(
            all(
                self._pair_cut_at.get(frozenset(pair), NEVER) < since
                for pair in combinations(group, 2)
            )
            for group in combinations(undisturbed, majority)
        )


def _impaired(node: "ControllerNode") -> bool:
    """Whether a controller runs with a frozen or slowed process, or with a faulty disk."""
    process = node.host.process
    return process is not None and bool(
        process.frozen or process.callback_cost or node.host.disk.mode is not DiskMode.HEALTHY
    )

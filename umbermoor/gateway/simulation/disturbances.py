"""When each part of the system was last disturbed by a fault.

Bounds in time hold for those in touch, as the users' pages say: undisturbed for `contactS`, with a
settled set of controllers. Safety is checked always and does not depend on this.
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
    """Times are microseconds; a time is the latest at which that part was disturbed."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self._time = world.time
        self.controllers_at = NEVER  # of a kind that may cost the controllers their quorum
        self.links_at = NEVER
        self._controller_at = dict.fromkeys(world.controllers, NEVER)
        self._pair_at: dict[frozenset[str], int] = {}
        self._proxy_at = dict.fromkeys(world.proxies, NEVER)
        # Controllers whose disk was lost, and since when they may have been filled again
        self._wiped_at: dict[str, int] = {}

    # Reported by faults

    def disturbed(self, ip: str) -> None:
        """Something happened to a machine."""
        if ip in self._controller_at:
            self.controller_disturbed(ip)
        else:
            self.proxy_disturbed(ip)

    def controller_disturbed(self, ip: str) -> None:
        """Something happened to a controller's machine."""
        self.controllers_at = self._time.now
        if ip in self._controller_at:  # it was not removed
            self._controller_at[ip] = self._time.now

    def controller_added(self, ip: str) -> None:
        """An empty controller is about to start: it counts as lost until it is filled."""
        self.controllers_at = self._controller_at[ip] = self._time.now
        self.disk_lost(ip)

    def controller_removed(self, ip: str) -> None:
        """A controller is gone for good, and another one is there in its place."""
        self.controllers_at = self._time.now
        del self._controller_at[ip]
        self._wiped_at.pop(ip, None)

    def proxy_disturbed(self, ip: str) -> None:
        """Something happened to a proxy's machine."""
        self._proxy_at[ip] = self._time.now

    def disk_lost(self, ip: str) -> None:
        """A controller lost its disk, or will when it reads it."""
        self._wiped_at[ip] = self._time.now

    def may_lose_disk(self, ip: str) -> bool:
        """Whether its disk may be lost now: with those not filled yet, no more than tolerated."""
        others = set(self._wiped_at) - {ip}
        return len(others) < self._world.schedule.tolerated_losses

    # Observed

    def observe(self) -> None:
        """Note which parts are disturbed at present."""
        now, network = self._time.now, self._world.network
        running = self._observe_controllers()
        if network.packet_loss:
            self.controllers_at = self.links_at = now
            self._proxy_at = dict.fromkeys(self._proxy_at, now)
        if network.any_cut():
            self.links_at = now
        for one, other in combinations(self._controller_at, 2):
            if not self._connected(one, other):
                self._pair_at[frozenset((one, other))] = now
        with_quorum = self._with_quorum(running)
        if not with_quorum:
            self.controllers_at = now
        self._observe_proxies(with_quorum)
        self._observe_disks(with_quorum)

    def _observe_controllers(self) -> list[str]:
        """The controllers that run and are not frozen."""
        running = []
        for ip, node in self._world.controllers.items():
            process = node.host.process
            impaired = _impaired(node)
            if process is None or impaired:
                self._controller_at[ip] = self._time.now
            if impaired:
                self.controllers_at = self._time.now
            if process is not None and not process.frozen:
                running.append(ip)
        return running

    def _connected(self, one: str, other: str) -> bool:
        network = self._world.network
        return not (network.is_cut(one, other) or network.is_cut(other, one))

    def _with_quorum(self, running: list[str]) -> list[str]:
        """Of the running controllers, those that reach more than half of all."""
        reached = {
            one: [other for other in running if other == one or self._connected(one, other)]
            for one in running
        }
        return [
            one for one, others in reached.items() if 2 * len(others) > len(self._controller_at)
        ]

    def _observe_proxies(self, with_quorum: list[str]) -> None:
        for ip, node in self._world.proxies.items():
            process = node.host.process
            if (
                process is None
                or process.frozen
                or not all(self._connected(ip, controller) for controller in with_quorum)
            ):
                self._proxy_at[ip] = self._time.now

    def _observe_disks(self, with_quorum: list[str]) -> None:
        now = self._time.now
        without_quorum = set(self._controller_at) - set(with_quorum)
        lost = without_quorum | set(self._wiped_at)
        if self._wiped_at and len(lost) > self._world.schedule.tolerated_losses:
            self.controllers_at = now  # beyond what is tolerated no bound in time holds
        for ip, wiped_at in list(self._wiped_at.items()):
            # Filled, as far as the users' pages promise it, after settlingS without disturbance
            undisturbed = now - max(self.controllers_at, wiped_at)
            if undisturbed >= SETTLING and ip in with_quorum:
                del self._wiped_at[ip]

    # Asked by invariants

    def settled(self) -> bool:
        """Whether the controllers have been undisturbed for `contactS`."""
        return self._time.now - self.controllers_at >= CONTACT

    def controller_in_touch(self, ip: str) -> bool:
        """Whether that controller has been undisturbed, among settled others."""
        return self.settled() and self._time.now - self._controller_at[ip] >= CONTACT

    def proxy_in_touch(self, ip: str) -> bool:
        """Whether that proxy has been undisturbed, and the controllers are settled."""
        return self.settled() and self._time.now - self._proxy_at[ip] >= CONTACT

    def quorum_throughout(self, proxy: str, span: int) -> bool:
        """Whether, for `span`, more than half of the controllers ran and were connected.

        And the proxy was undisturbed, for at least `contactS`.
        """
        since = self._time.now - span
        if self._proxy_at[proxy] > min(since, self._time.now - CONTACT):
            return False
        undisturbed = [ip for ip, at in self._controller_at.items() if at < since]
        majority = len(self._controller_at) // 2 + 1
        return any(
            all(self._pair_at.get(frozenset(pair), NEVER) < since for pair in combinations(some, 2))
            for some in combinations(undisturbed, majority)
        )


def _impaired(node: "ControllerNode") -> bool:
    """Whether a controller's process is frozen or slowed down, or its disk has a fault."""
    process = node.host.process
    return process is not None and bool(
        process.frozen or process.callback_cost or node.host.disk.mode is not DiskMode.HEALTHY
    )

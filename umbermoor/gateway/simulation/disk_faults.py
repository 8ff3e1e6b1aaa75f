"""Faults of controllers' disks: slow, hanging or failing writes, corrupt records, lost disks."""

from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.nodes import ControllerNode
from umbermoor.gateway.simulation.schedule import Step
from umbermoor.gateway.simulation.virtual_disk import DiskMode
from umbermoor.gateway.units import MILLISECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld


class DiskFaults:
    """Injects disk faults."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self.steps = {
            "disk_slow": lambda step: self._impair(step, DiskMode.SLOW),
            "disk_hangs": lambda step: self._impair(step, DiskMode.HANGING),
            "disk_refuses": lambda step: self._impair(step, DiskMode.REFUSING),
            "disk_rots": self._step_corrupt,
            "wipe": self._step_wipe,
        }

    def _controller(self, step: Step) -> ControllerNode:
        return self._world.controllers[self._world.controller_name(step.number("on"))]

    def _impair(self, step: Step, mode: DiskMode) -> None:
        """Put a disk into a faulty mode for the span of the step."""
        world, host = self._world, self._controller(step).host
        host.disk.mode = mode
        world.disturbances.controller_disturbed(host.ip)

        def recover() -> None:
            host.disk.mode = DiskMode.HEALTHY
            world.disturbances.controller_disturbed(host.ip)

        world.time.after(step.number("span") * MILLISECOND, recover)

    def _step_corrupt(self, step: Step) -> bool:
        """Corrupt a record; a program that starts on this disk treats the whole disk as lost."""
        host, disturbances = self._controller(step).host, self._world.disturbances
        if not host.disk.records or not disturbances.may_lose_disk(host.ip):
            return False
        keys = sorted(host.disk.records)
        host.disk.corrupt(keys[step.number("pick") % len(keys)])
        disturbances.disk_lost(host.ip)
        return True

    def _step_wipe(self, step: Step) -> bool:
        """Cut the power of a controller and wipe its disk."""
        node = self._controller(step)
        if not self._world.disturbances.may_lose_disk(node.host.ip):
            return False
        self._world.process_faults.kill(node, step.number("back", 300), power_lost=True)
        self.wipe(node)
        return True

    def wipe(self, node: ControllerNode) -> None:
        """Wipe the disk of a controller that is not running."""
        self._world.counts["wiped"] += 1
        node.host.disk.wipe()
        self._world.disturbances.disk_lost(node.host.ip)

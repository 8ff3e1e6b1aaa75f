"""Machine and process faults: kills, power loss, restarts, freezes, slow CPUs, clock steps."""

from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.nodes import ControllerNode, ProxyNode
from umbermoor.gateway.simulation.schedule import MARGINS, Step
from umbermoor.gateway.simulation.virtual_network import VirtualHost
from umbermoor.gateway.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

GRACE = round(MARGINS["graceS"] * SECOND)  # from SIGTERM to SIGKILL
EXIT_POLL_INTERVAL = 50 * MILLISECOND
RESTART_MS = 300  # after which the platform restarts an ended process
PROXY_GRACE = 5 * SECOND
SPREAD_MS = 200  # over which the restarts after a common kill are spread


class ProcessFaults:
    """Injects process faults and, like the platform, restarts processes that ended."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self.steps = {
            "core_kill": self._step_kill,
            "core_power": self._step_power,
            "core_term": self._step_terminate,
            "herd_kill": self._step_kill_all,
            "herd_power": self._step_power_all,
            "after_ack": self._step_after_acknowledgement,
            "after_sent": self._step_after_sending,
            "freeze": self._step_freeze,
            "slow": self._step_slow,
            "clock_step": self._step_clock,
            "front_kill": self._step_kill_proxy,
            "front_term": self._step_terminate_proxy,
            "front_freeze": self._step_freeze_proxy,
        }

    def _controller(self, step: Step) -> ControllerNode:
        return self._world.controllers[self._world.controller_name(step.number("on"))]

    def _proxy(self, step: Step) -> ProxyNode:
        names = list(self._world.proxies)
        return self._world.proxies[names[step.number("on") % len(names)]]

    def kill(self, node: ControllerNode, back_ms: int, power_lost: bool) -> None:
        """Kill a controller's process, if it is running, and restart it `back_ms` later."""
        if not node.running:
            return
        self.thaw(node.host, timers_first=True)
        node.host.timer_clock.resume()
        node.kill(power_lost)
        self._world.time.after(back_ms * MILLISECOND, node.start)

    def restart_exited(self) -> None:
        """Restart each controller that has handed over and exited on its own."""
        for node in self._world.controllers.values():
            process = node.host.process
            if process is not None and not process.frozen and node.left:
                self.kill(node, RESTART_MS, power_lost=False)

    # One controller

    def _step_kill(self, step: Step) -> None:
        self.kill(self._controller(step), step.number("back", 300), power_lost=False)

    def _step_power(self, step: Step) -> None:
        self.kill(self._controller(step), step.number("back", 1500), power_lost=True)

    def _step_terminate(self, step: Step) -> None:
        """Send SIGTERM, upon which the process hands over and exits; send SIGKILL after graceS."""
        world, node = self._world, self._controller(step)
        process, kill_at = node.host.process, world.time.now + GRACE
        world.disturbances.controller_disturbed(node.host.ip)
        if process is None:
            return
        node.leave()

        def poll() -> None:
            if node.host.process is not process:
                return
            if node.left or world.time.now >= kill_at:
                self.kill(node, step.number("back", RESTART_MS), power_lost=False)
            else:
                world.time.after(EXIT_POLL_INTERVAL, poll)

        poll()

    # All controllers, or the one in a critical role

    def _step_kill_all(self, step: Step) -> None:
        self._kill_all(step, power_lost=False)

    def _step_power_all(self, step: Step) -> None:
        self._kill_all(step, power_lost=True)

    def _kill_all(self, step: Step, power_lost: bool) -> None:
        world, wiped = self._world, self._controller(step)
        wipe = step.number("wipe") and world.disturbances.may_lose_disk(wiped.host.ip)
        self._kill_all_controllers(step.number("back", 500), step.number("apart") + 1, power_lost)
        if wipe:
            world.disk_faults.wipe(wiped)

    def _kill_all_controllers(self, back_ms: int, spread_ms: int, power_lost: bool) -> None:
        for node in self._world.controllers.values():
            self.kill(node, back_ms + self._world.rng.randrange(spread_ms), power_lost)

    def _step_after_acknowledgement(self, step: Step) -> None:
        """Inject a fault right after a configuration was acknowledged."""
        world = self._world
        delay = step.number("late") * MILLISECOND
        world.operators.after_next_acknowledgement(
            lambda: world.time.after(delay, lambda: self._inject(step))
        )
        world.operators.send_new_configuration()

    def _step_after_sending(self, step: Step) -> None:
        """Inject a fault while a configuration is being processed."""
        self._world.operators.send_new_configuration()
        delay = step.number("late") * MILLISECOND
        self._world.time.after(delay, lambda: self._inject(step))

    def _inject(self, step: Step) -> None:
        how, back_ms = step.text("how"), step.number("back", 500)
        if how in ("herd_kill", "herd_power"):
            self._kill_all_controllers(back_ms, SPREAD_MS, power_lost=how == "herd_power")
        elif how in ("head", "tail"):
            chain = self._world.newest_chain()
            node = self._world.controllers[chain[0] if how == "head" else chain[-1]]
            self.kill(node, back_ms, power_lost=bool(back_ms % 2))
        else:
            self._lose_disk(self._controller(step), how, back_ms)

    def _lose_disk(self, node: ControllerNode, how: str, back_ms: int) -> None:
        if not self._world.disturbances.may_lose_disk(node.host.ip):
            return
        if how == "wipe_power":
            self._kill_all_controllers(back_ms, SPREAD_MS, power_lost=True)
        self.kill(node, back_ms, power_lost=True)
        self._world.disk_faults.wipe(node)

    # CPU and clocks

    def _freeze(self, host: VirtualHost, span_ms: int, timers_first: bool, suspend: bool) -> None:
        """Freeze a process for `span_ms`; with `suspend` the clock of its timers stops as well."""
        process = host.process
        if process is None or process.frozen:
            return
        process.frozen = True
        if suspend:
            host.timer_clock.stop()
        self._world.disturbances.disturbed(host.ip)

        def thaw() -> None:
            host.timer_clock.resume()
            if host.process is process:
                self.thaw(host, timers_first)

        self._world.time.after(span_ms * MILLISECOND, thaw)

    def thaw(self, host: VirtualHost, timers_first: bool) -> None:
        """Resume the process of a host if it is frozen."""
        if host.process is not None and host.process.frozen:
            host.process.thaw(timers_first)
            self._world.disturbances.disturbed(host.ip)

    def _step_freeze(self, step: Step) -> None:
        host = self._controller(step).host
        timers_first, suspend = bool(step.number("timers")), bool(step.number("clock"))
        self._freeze(host, step.number("span"), timers_first, suspend)

    def _step_slow(self, step: Step) -> None:
        """Give a process little CPU time for the span of the step."""
        world, host = self._world, self._controller(step).host
        process = host.process
        if process is None:
            return
        process.callback_cost = step.number("pace")
        world.disturbances.controller_disturbed(host.ip)

        def recover() -> None:
            process.callback_cost = 0
            world.disturbances.controller_disturbed(host.ip)

        world.time.after(step.number("span") * MILLISECOND, recover)

    def _step_clock(self, step: Step) -> None:
        """Step the wall clock of a machine."""
        host = self._controller(step).host
        host.clock.wall_offset += step.number("by") * MILLISECOND
        self._world.disturbances.controller_disturbed(host.ip)

    # Proxies

    def _step_kill_proxy(self, step: Step) -> None:
        node = self._proxy(step)
        if node.running:
            node.kill()
            self._world.time.after(step.number("span", 500) * MILLISECOND, node.start)

    def _step_terminate_proxy(self, step: Step) -> None:
        """Send SIGTERM to a proxy, kill it after PROXY_GRACE and then start a new process."""
        node = self._proxy(step)
        process = node.host.process
        self._world.disturbances.proxy_disturbed(node.host.ip)
        if process is None or node.program is None or process.frozen:
            return
        node.leave()

        def end() -> None:
            if node.host.process is process:
                node.kill()
                self._world.time.after(RESTART_MS * MILLISECOND, node.start)

        self._world.time.after(PROXY_GRACE, end)

    def _step_freeze_proxy(self, step: Step) -> None:
        host = self._proxy(step).host
        self._freeze(host, step.number("span", 1000), timers_first=True, suspend=False)

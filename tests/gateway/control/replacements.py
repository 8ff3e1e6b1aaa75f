"""Schedules of the control world with permanent replacements of controllers.

The steps of the replacements occur in various orders. Each schedule ends with the worst loss that
must be tolerated, see `closing_losses`.
"""

import random
from functools import partial

from tests.gateway.control.closing_losses import ORDERS, ClosingLossWorld
from umbermoor.gateway.simulation.control_world import CLOCK_DRIFT_PPM, SEEDS
from umbermoor.gateway.simulation.nodes import CONTROL_PORT, ControllerNode
from umbermoor.gateway.simulation.process_faults import EXIT_POLL_INTERVAL, GRACE
from umbermoor.gateway.simulation.schedule import Schedule, Step
from umbermoor.gateway.simulation.schedule_generator import draw
from umbermoor.gateway.simulation.virtual_network import VirtualHost
from umbermoor.gateway.units import MILLISECOND

LENGTH_MS = 42_000
PLANNED_LEAD_MS = (
    1_500,
    6_000,
    9_000,
)  # from the start of a replacement to the end of the old controller
LOST_LEAD_MS = (
    100,
    400,
    1_000,
    3_000,
)  # from the loss of the old controller to the start of its replacement
APART_MS = 15_000  # minimum time between two rounds of replacements
CLOSING_MS = 36_000, 40_000  # range of the time of the closing loss


class ReplacementWorld(ClosingLossWorld):
    """A control world with an additional kind of step, `core_replace`: a permanent replacement."""

    def __init__(self, schedule: Schedule) -> None:
        super().__init__(schedule)
        self._fault_actions["core_replace"] = self._replace
        self._replaced: set[str] = set()

    def _replace(self, step: Step) -> None:
        candidates = [ip for ip in self.controllers if ip not in self._replaced]
        old = self.controllers[candidates[step.number("on") % len(candidates)]]
        self._replaced.add(old.host.ip)
        lead = step.number("lead") * MILLISECOND
        if step.text("how") == "lost":
            old.kill(power_lost=True)
            self.disturbances.disk_lost(old.host.ip)  # until its replacement starts
            self.time.after(lead, lambda: self._start_replacement(old, lost=True))
        else:
            self._start_replacement(old, lost=False)
            end = self._cut_power if step.text("how") == "killed" else self._terminate
            self.time.after(lead, lambda: end(old))

    def _start_replacement(self, old: ControllerNode, lost: bool) -> None:
        ip = f"10.0.2.{len(self.network.hosts)}"
        rate = 1 + self.rng.uniform(-CLOCK_DRIFT_PPM, CLOCK_DRIFT_PPM) * 1e-6
        host = VirtualHost(self.network, ip, rate, self.rng.randrange(1, 10**9))
        if lost:
            self._remove(old)
        running = [name for name, node in self.controllers.items() if node.running]
        node = ControllerNode(self, host, tuple(running[:SEEDS]), old.zone)
        self.disturbances.controller_added(ip)
        self.controllers[ip] = node
        node.start()
        self._update_seeds()

    def _cut_power(self, old: ControllerNode) -> None:
        """Cut the power of a controller for good; its replacement is already running."""
        self._remove(old)
        old.kill(power_lost=True)

    def _terminate(self, old: ControllerNode) -> None:
        """Stop a controller for good: SIGTERM, then SIGKILL after GRACE."""
        self._remove(old)
        old.leave()
        self._wait_for_end(old, self.time.now + GRACE)

    def _wait_for_end(self, old: ControllerNode, kill_at: int) -> None:
        if old.left or self.time.now >= kill_at:
            old.kill(power_lost=True)
        else:
            self.time.after(EXIT_POLL_INTERVAL, partial(self._wait_for_end, old, kill_at))

    def _remove(self, old: ControllerNode) -> None:
        """Remove a controller from the callers' list, the seeds and the checks."""
        del self.controllers[old.host.ip]
        self.disturbances.controller_removed(old.host.ip)
        self._update_seeds()

    def _update_seeds(self) -> None:
        """Give the current controllers as seeds to all processes started from now on."""
        seeds = tuple(f"{ip}:{CONTROL_PORT}" for ip in list(self.controllers)[-SEEDS:])
        for node in (*self.controllers.values(), *self.proxies.values()):
            node.use_seeds(seeds)


def replacement_schedule(seed: int) -> Schedule:
    """Return random orders, two rounds of replacements and the closing loss.

    A round replaces at most as many controllers at once as losses are tolerated.
    """
    rng = random.Random(f"replacements {seed}")
    members = rng.choice((3, 5))
    losses = (members - 1) // 2
    steps = [step for step in draw(seed, members, LENGTH_MS).steps if step.kind in ORDERS]
    at_ms = rng.randrange(1_000, 3_000)
    for _ in range(2):
        at_once, first = rng.randint(1, losses), rng.randrange(members)
        for index in range(at_once):
            how = rng.choice(("planned", "planned", "killed", "lost"))
            lead_ms = rng.choice(LOST_LEAD_MS if how == "lost" else PLANNED_LEAD_MS)
            start_ms = at_ms + rng.choice((0, 0, 300))
            steps.append(_step(start_ms, "core_replace", on=first + index, how=how, lead=lead_ms))
        at_ms += APART_MS + rng.randrange(3_000)
    loss = _step(
        rng.randrange(*CLOSING_MS),
        "closing_loss",
        behind=rng.choice(("ack", "sent")),
        late=rng.choice((0, 4, 50, 200)),
        on=rng.randrange(members),
        back=rng.choice((100, 500, 1_500)),
    )
    steps = sorted([*steps, loss], key=lambda step: step.at_ms)
    return Schedule(seed, members, 3, losses, LENGTH_MS, tuple(steps))


def _step(at_ms: int, kind: str, **arguments: object) -> Step:
    return Step(at_ms, kind, tuple((name, str(value)) for name, value in arguments.items()))

"""Days of the control world on which the platform replaces controllers for good, in every order, and
which end with the worst loss that is to be borne."""

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
PLANNED_LEAD_MS = 1_500, 6_000, 9_000  # from a newcomer's start to the SIGTERM of the old one
LOST_LEAD_MS = 100, 400, 1_000, 3_000  # from the loss of the old one to its newcomer's start
APART_MS = 15_000  # from one replacement to the next
CLOSING_MS = 36_000, 40_000


class ReplacementWorld(ClosingLossWorld):
    """A control world with one more kind of step, `core_replace`: a member is replaced for good."""

    def __init__(self, schedule: Schedule) -> None:
        super().__init__(schedule)
        self._fault_actions["core_replace"] = self._replace
        self._replaced: set[str] = set()

    def _replace(self, step: Step) -> None:
        places = [ip for ip in self.controllers if ip not in self._replaced]
        old = self.controllers[places[step.number("on") % len(places)]]
        self._replaced.add(old.host.ip)
        lead = step.number("lead") * MILLISECOND
        if step.text("how") == "lost":
            old.kill(power_lost=True)
            self.disturbances.disk_lost(old.host.ip)  # until its newcomer is there
            self.time.after(lead, lambda: self._start_newcomer(old, lost=True))
        else:
            self._start_newcomer(old, lost=False)
            end = self._lose if step.text("how") == "killed" else self._terminate
            self.time.after(lead, lambda: end(old))

    def _start_newcomer(self, old: ControllerNode, lost: bool) -> None:
        ip = f"10.0.2.{len(self.network.hosts)}"
        rate = 1 + self.rng.uniform(-CLOCK_DRIFT_PPM, CLOCK_DRIFT_PPM) * 1e-6
        host = VirtualHost(self.network, ip, rate, self.rng.randrange(1, 10**9))
        if lost:
            self._forget(old)
        running = [name for name, node in self.controllers.items() if node.running]
        node = ControllerNode(self, host, tuple(running[:SEEDS]), old.zone)
        self.disturbances.controller_added(ip)
        self.controllers[ip] = node
        node.start()
        self._tell_seeds()

    def _lose(self, old: ControllerNode) -> None:
        """It loses power, and never comes back; its newcomer is there."""
        self._forget(old)
        old.kill(power_lost=True)

    def _terminate(self, old: ControllerNode) -> None:
        """SIGTERM, and SIGKILL where the grace is over; it never comes back."""
        self._forget(old)
        old.leave()
        self._wait_for_end(old, self.time.now + GRACE)

    def _wait_for_end(self, old: ControllerNode, kill_at: int) -> None:
        if old.left or self.time.now >= kill_at:
            old.kill(power_lost=True)
        else:
            self.time.after(EXIT_POLL_INTERVAL, partial(self._wait_for_end, old, kill_at))

    def _forget(self, old: ControllerNode) -> None:
        """Callers, seeds and checks know it no longer."""
        del self.controllers[old.host.ip]
        self.disturbances.controller_removed(old.host.ip)
        self._tell_seeds()

    def _tell_seeds(self) -> None:
        """Whoever starts from now on is told of controllers of this moment."""
        seeds = tuple(f"{ip}:{CONTROL_PORT}" for ip in list(self.controllers)[-SEEDS:])
        for node in (*self.controllers.values(), *self.proxies.values()):
            node.use_seeds(seeds)


def replacement_schedule(seed: int) -> Schedule:
    """Two rounds of replacements, of two at once where two losses are borne, orders, and the loss."""
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

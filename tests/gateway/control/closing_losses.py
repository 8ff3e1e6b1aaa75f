"""Schedules of the control world that end with the worst loss that must be tolerated.

Right after a configuration was sent or acknowledged, or the leave of an instance was acknowledged,
the tolerated number of controllers lose their disks; all controllers lose power, and the proxies
are killed.
"""

import random

from umbermoor.gateway.simulation.control_world import ControlWorld
from umbermoor.gateway.simulation.schedule import LEAVES_FIRST, Schedule, Step
from umbermoor.gateway.simulation.schedule_generator import draw
from umbermoor.gateway.units import MILLISECOND

LENGTH_MS = 13_000
LOSS_MS = 6_000, 12_000  # range of the time of the loss
LATE_MS = 0, 1, 4, 50, 200  # from the order or acknowledgement to the loss
BACK_MS = 100, 500, 1_500
SERVES_ON_MS = 14_000  # how long an instance that has left still serves, beyond the drain time
ORDERS = "config", "old", "bad", "again", "rollout", "read", "rollout_read", "come", "leave"


class ClosingLossWorld(ControlWorld):
    """A control world with an additional kind of step, `closing_loss`."""

    def __init__(self, schedule: Schedule) -> None:
        super().__init__(schedule)
        self._fault_actions["closing_loss"] = self._prepare_loss

    def _prepare_loss(self, step: Step) -> None:
        def schedule_loss() -> None:
            self.time.after(step.number("late") * MILLISECOND, lambda: self._lose(step))

        if step.text("behind") == "leave":
            self.instances.after_next_leave(schedule_loss)
            leave = ("pick", step.text("on")), ("stay", str(SERVES_ON_MS)), ("how", LEAVES_FIRST)
            self._act(Step(step.at_ms, "leave", leave))
        elif step.text("behind") == "ack":
            self.operators.after_next_acknowledgement(schedule_loss)
            self.operators.send_new_configuration()
        else:
            self.operators.send_new_configuration()
            schedule_loss()

    def _lose(self, step: Step) -> None:
        back_ms, first = step.number("back"), step.number("on")
        lost = [
            self.controllers[self.controller_name(first + index)]
            for index in range(self.schedule.tolerated_losses)
        ]
        wiped = [node for node in lost if self.disturbances.may_lose_disk(node.host.ip)]
        for node in self.controllers.values():
            self.process_faults.kill(node, back_ms + self.rng.randrange(200), power_lost=True)
        for proxy in self.proxies.values():
            if proxy.running:
                proxy.kill()
                self.time.after(back_ms * MILLISECOND, proxy.start)
        for node in wiped:
            self.disk_faults.wipe(node)


def closing_loss_schedule(seed: int) -> Schedule:
    """Return random orders, possibly a kill and a partition of a controller, and the loss."""
    rng = random.Random(f"closing loss {seed}")
    members = rng.choice((3, 5))
    steps = [step for step in draw(seed, members, LENGTH_MS).steps if step.kind in ORDERS]
    at_ms, member = rng.randrange(*LOSS_MS), rng.randrange(members)
    if rng.random() < 0.5:
        killed_at_ms = max(0, at_ms - rng.randrange(4_000))
        steps.append(_step(killed_at_ms, "core_kill", on=rng.randrange(members), back=600))
    if rng.random() < 0.5:
        cut_at_ms = max(0, at_ms - rng.randrange(6_000))
        other = (member + 1) % members
        steps.append(_step(cut_at_ms, "core_cut", on=member, other=other, how="out", span=2_500))
    steps.append(
        _step(
            at_ms,
            "closing_loss",
            behind=rng.choice(("ack", "sent", "leave")),
            late=rng.choice(LATE_MS),
            on=rng.randrange(members),
            back=rng.choice(BACK_MS),
        )
    )
    steps.sort(key=lambda step: step.at_ms)
    return Schedule(seed, members, 3, (members - 1) // 2, LENGTH_MS, tuple(steps))


def _step(at_ms: int, kind: str, **arguments: object) -> Step:
    return Step(at_ms, kind, tuple((name, str(value)) for name, value in arguments.items()))

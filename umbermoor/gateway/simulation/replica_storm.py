"""Storms: random faults and calls on replicas, followed by a calm in which all must recover."""

import random

from umbermoor.gateway.simulation.replica_world import LATENESS, ReplicaWorld
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.units import MILLISECOND


def started_world(seed: int, members: int = 3, tolerated_losses: int | None = None) -> ReplicaWorld:
    """Return a world whose members have formed their chain."""
    world = ReplicaWorld(seed, members, tolerated_losses)
    world.start_all()
    if not world.run(5_000 * MILLISECOND, world.whole):
        raise InvariantViolation(Invariant.NOT_STARTED, "not founded", world.now)
    return world


def storm(seed: int, members: int = 3, steps: int = 60, cold: bool = False) -> ReplicaWorld:
    """Inject random faults and calls, then end all faults and run the final checks.

    Args:
        seed: seed of the world.
        members: number of members.
        steps: number of rounds of faults and calls.
        cold: whether members are restarted with the flag of a new system.

    Raises:
        InvariantViolation: an invariant does not hold.
    """
    world = ReplicaWorld(seed, members)
    rng = world.rng
    if rng.random() < 0.3:  # the chain is formed under message faults
        world.loss, world.duplication, world.late = 0.1, 0.2, 0.1
    world.start_all()
    for _ in range(rng.randrange(30)):
        world.run(100 * MILLISECOND)
        if rng.random() < 0.1:
            name = rng.choice(world.names)
            world.stop(name)
            world.start(name)
    world.start_all()
    world.loss = 0.0
    if not world.run(30_000 * MILLISECOND, world.whole):
        raise InvariantViolation(Invariant.NOT_STARTED, "not founded", world.now)
    world.cold = cold
    if seed % 2:
        contend(world, rng, steps // 2)
    severity = rng.choice((0.3, 1.0, 2.0))
    for _ in range(steps):
        inject_fault(world, rng, severity)
        for _ in range(rng.randrange(6)):
            running = [name for name in world.names if world.machines[name].member]
            if running:
                name = rng.choice(running)
                key = rng.choice(("config/a", "config/b", "config/c", "any/x"))
                world.put(name, key) if rng.random() < 0.7 else world.read(name)
            world.run(rng.randrange(60 * MILLISECOND))
        world.run(rng.choice((10, 100, 400, 1500)) * rng.randrange(MILLISECOND))
    world.check()
    return world


def contend(world: ReplicaWorld, rng: random.Random, steps: int) -> None:
    """Have several replicas propose views concurrently.

    Meanwhile messages are delayed, puts and reads are sent, and replicas stop for short times.
    """
    for _ in range(steps):
        world.loss, world.duplication = rng.choice((0.0, 0.0, 0.1)), 0.2
        world.late, world.lateness = (
            rng.choice((0.1, 0.5)),
            rng.choice(((20,), (100,), (20, 100, 600))),
        )
        cuts = rng.choice((0, 0, 1, 2))
        world.cut = {(rng.choice(world.names), rng.choice(world.names)) for _ in range(cuts)}
        for machine in world.machines.values():
            machine.mode = rng.choice(("well", "well", "well", "slow"))
        for _ in range(6):
            running = [name for name in world.names if world.machines[name].member]
            for name in running:
                if rng.random() < 0.5:
                    world.put(name, rng.choice(("config/a", "any/x")))
                if rng.random() < 0.1:
                    world.read(name)
                if rng.random() < 0.03:
                    world.propose_view(name)
            name = rng.choice(world.names)
            if rng.random() < 0.02:
                world.stop(name)
            if rng.random() < 0.03:
                world.lose_disk(name)
            if rng.random() < 0.3:
                world.start_all()
            world.run(rng.choice((2, 10, 50)) * rng.randrange(MILLISECOND))
        if rng.random() < 0.4:  # a calm period: a view may form and lost disks may be filled again
            world.loss = world.late = 0.0
            world.cut.clear()
            world.start_all()
            world.run(rng.randrange(2500 * MILLISECOND), world.whole)
    world.lateness = LATENESS


def inject_fault(world: ReplicaWorld, rng: random.Random, severity: float) -> None:
    """Inject a random fault or end some; a higher severity injects more of them."""
    name = rng.choice(world.names)
    machine = world.machines[name]
    draw = rng.random() / severity
    if draw < 0.06:
        world.stop(name)
        if rng.random() < 0.7:
            world.after(
                rng.randrange(1000 * MILLISECOND),
                lambda: None if machine.member else world.start(name),
            )
    elif draw < 0.10:
        if rng.random() < 0.5:
            for other in world.names:
                world.stop(other)
            if rng.random() < 0.5:
                world.lose_disk(name)
        elif world.lose_disk(name) and rng.random() < 0.7:
            world.start(name)
    elif draw < 0.16:
        world.cut.add((name, rng.choice(world.names)))
    elif draw < 0.20:
        for other in world.names:
            world.cut |= {(name, other), (other, name)}
    elif draw < 0.24:
        world.loss = rng.choice((0.0, 0.02, 0.2, 0.4))
        world.duplication = rng.choice((0.0, 0.1, 0.5))
        world.late = rng.choice((0.0, 0.05, 0.3))
    elif draw < 0.32:
        machine.mode = rng.choice(("slow", "hangs", "refuses", "slow"))
    elif draw < 0.45:
        world.cut.clear()
        world.loss = world.duplication = world.late = 0.0
    elif draw < 0.6:
        machine.mode = "well"
        world.start_all()

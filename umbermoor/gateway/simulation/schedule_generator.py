"""Generates random schedules of operators' orders, instance changes and faults from a seed.

Faults occur at any time and may overlap. The order of random draws is part of the format: a seed
must give the same schedule in every release.
"""

import random
from collections.abc import Callable

from umbermoor.gateway.simulation.schedule import (
    LEAVES_FIRST,
    SERVICES,
    Schedule,
    Step,
    lowest_revision_at,
)

Weights = dict[str, int]  # by kind of step

FAILURE_PERCENTS = 50, 50, 30, 20  # of the answers of a bad version
PICKS = 1000  # an instance is picked by a number below this, modulo the number of ready ones

ORDERS: Weights = {
    "config": 8,
    "race": 2,
    "twin": 1,
    "storm": 1,
    "again": 3,
    "old": 2,
    "bad": 1,
    "rollout": 2,
    "read": 3,
    "leave": 3,
    "crash": 1,
    "come": 2,
    "rollout_read": 2,
}
PROCESS_FAULTS: Weights = {
    "core_kill": 5,
    "core_power": 3,
    "herd_kill": 3,
    "herd_power": 2,
    "after_ack": 6,
    "after_sent": 4,
    "core_term": 2,
    "roll_term": 1,
}
NETWORK_FAULTS: Weights = {"core_cut": 8, "node_cut": 3, "lossy": 2, "reset": 3, "seeds_cut": 2}
DISK_FAULTS: Weights = {
    "disk_slow": 4,
    "disk_hangs": 3,
    "disk_refuses": 3,
    "disk_rots": 2,
    "wipe": 4,
    "after_ack": 3,
}
CLOCK_FAULTS: Weights = {"freeze": 8, "clock_step": 2, "slow": 3, "herd_freeze": 1}
PROXY_FAULTS: Weights = {
    "front_kill": 4,
    "front_freeze": 3,
    "node_cut": 4,
    "front_term": 2,
    "core_kill": 2,
}
FEW_FAULTS: Weights = {"core_kill": 1, "front_kill": 1, "reset": 1}
ALL_FAULTS: Weights = {
    kind: weight
    for mix in (PROCESS_FAULTS, NETWORK_FAULTS, DISK_FAULTS, CLOCK_FAULTS, PROXY_FAULTS)
    for kind, weight in mix.items()
}
FAULT_MIXES = (
    FEW_FAULTS,
    PROCESS_FAULTS,
    NETWORK_FAULTS,
    DISK_FAULTS,
    CLOCK_FAULTS,
    PROXY_FAULTS,
    ALL_FAULTS,
    ALL_FAULTS,
    ALL_FAULTS,
)
FAULT_KINDS = tuple(ALL_FAULTS)


def draw(seed: int, members: int = 0, fault_phase_ms: int = 0) -> Schedule:
    """Generate the schedule of a seed; members and length are drawn unless given."""
    rng = random.Random(f"day {seed}")
    members = members or rng.choice((3, 3, 3, 5))
    fault_phase_ms = fault_phase_ms or rng.choice((20_000, 30_000, 45_000))
    generator = _Generator(rng, members)
    mix = rng.choice(FAULT_MIXES)
    generator.draw_orders(fault_phase_ms)
    generator.draw_faults(fault_phase_ms, mix)
    steps = sorted(generator.steps, key=lambda step: step.at_ms)
    proxies = rng.choice((1, 2, 3))
    return Schedule(seed, members, proxies, (members - 1) // 2, fault_phase_ms, tuple(steps))


class _Generator:
    """Collects the drawn steps; kinds of steps with arguments have a method of their own."""

    def __init__(self, rng: random.Random, members: int) -> None:
        self.steps: list[Step] = []
        self._rng = rng
        self._members = members
        self._revisions: set[int] = set()

    def _add(self, at_ms: int, kind: str, **arguments: object) -> None:
        texts = tuple((name, str(value)) for name, value in arguments.items())
        self.steps.append(Step(at_ms, kind, texts))

    def _revision(self, at_ms: int) -> int:
        """Return an unused revision; revisions increase with the time at which they are sent."""
        revision = lowest_revision_at(at_ms)
        while revision in self._revisions:
            revision += 1
        self._revisions.add(revision)
        return revision

    # Orders

    def draw_orders(self, until_ms: int) -> None:
        """Draw operators' orders and changes of instances at random intervals."""
        rng, at_ms = self._rng, 0
        while True:
            at_ms += round(rng.expovariate(1 / rng.choice((300, 900, 2500))))
            if at_ms >= until_ms:
                return
            kind = rng.choices(list(ORDERS), list(ORDERS.values()))[0]
            order = getattr(self, f"_order_{kind}", None)
            if order is None:
                self._add(at_ms, kind)
            else:
                order(at_ms, kind)

    def _order_config(self, at_ms: int, kind: str) -> None:
        revision = self._revision(at_ms)
        self._add(at_ms, kind, n=revision, routes=self._rng.choice((3, 3, 6, 120)))

    def _order_race(self, at_ms: int, kind: str) -> None:
        """Draw two configurations at almost the same time, in either order of revisions."""
        revisions = [self._revision(at_ms), self._revision(at_ms)]
        self._rng.shuffle(revisions)
        self._add(at_ms, "config", n=revisions[0], routes=3)
        self._add(at_ms + self._rng.randrange(0, 30), "config", n=revisions[1], routes=4)

    def _order_storm(self, at_ms: int, kind: str) -> None:
        """Draw many configurations in quick succession."""
        gap = self._rng.choice((5, 40, 150))
        for index in range(self._rng.randrange(5, 25)):
            sent_at = at_ms + index * gap
            self._add(sent_at, "config", n=self._revision(sent_at), routes=3)

    def _order_again(self, at_ms: int, kind: str) -> None:
        self._add(at_ms, kind, pick=self._rng.randrange(1000))

    _order_old = _order_again

    def _order_bad(self, at_ms: int, kind: str) -> None:
        revision = self._revision(at_ms)
        self._add(at_ms, kind, n=revision, how=self._rng.randrange(4))

    def _order_rollout(self, at_ms: int, kind: str) -> None:
        raced = {"against": f"v{at_ms}x"} if self._rng.random() < 0.25 else {}
        service = self._rng.choice(SERVICES)
        ramp = self._rng.choice((6, 12))
        good = self._rng.choice((1, 1, 0))
        target = f"v{at_ms}"
        percent = {} if good else {"percent": FAILURE_PERCENTS[at_ms % len(FAILURE_PERCENTS)]}
        self._add(
            at_ms, kind, service=service, target=target, ramp=ramp, good=good, **percent, **raced
        )

    def _order_twin(self, at_ms: int, kind: str) -> None:
        revision = self._revision(at_ms)
        self._add(at_ms, kind, n=revision, on=self._rng.randrange(self._members))

    def _order_leave(self, at_ms: int, kind: str) -> None:
        pick = self._rng.randrange(PICKS)
        how = {"how": LEAVES_FIRST} if 2 * pick >= PICKS else {}
        self._add(at_ms, kind, pick=pick, stay=self._rng.choice((0, 3000, 12000)), **how)

    def _order_crash(self, at_ms: int, kind: str) -> None:
        pick = self._rng.randrange(PICKS)
        self._add(at_ms, kind, pick=pick, stay=self._rng.choice((0, 3000, 12000)))

    # Faults

    def draw_faults(self, until_ms: int, mix: Weights) -> None:
        """Draw some faults of a mix at random times."""
        rng = self._rng
        for _ in range(rng.choice((1, 2, 4, 8, 14))):
            kind = rng.choices(list(mix), list(mix.values()))[0]
            at_ms = rng.randrange(until_ms)
            member = rng.randrange(self._members)
            FAULT_DRAWS[kind](self, at_ms, kind, member)

    def _fault_kill(self, at_ms: int, kind: str, member: int) -> None:
        self._add(at_ms, kind, on=member, back=self._rng.choice((200, 600, 1000, 4000)))

    def _fault_power(self, at_ms: int, kind: str, member: int) -> None:
        self._add(at_ms, kind, on=member, back=self._rng.choice((300, 1500, 8000)))

    def _fault_rolling_restart(self, at_ms: int, kind: str, member: int) -> None:
        gap = self._rng.choice((3000, 6000))
        for index in range(self._members):
            self._add(at_ms + index * gap, "core_term", on=index, back=300)

    def _fault_all_at_once(self, at_ms: int, kind: str, member: int) -> None:
        back, apart = self._rng.choice((100, 500, 1000)), self._rng.choice((0, 300))
        wipe = self._rng.choice((0, 0, 1)) if kind == "herd_power" else 0
        self._add(at_ms, kind, back=back, apart=apart, wipe=wipe, on=member)

    def _fault_at_order(self, at_ms: int, kind: str, member: int) -> None:
        rng = self._rng
        late = rng.choice((0, 1, 4)) if kind == "after_ack" else rng.randrange(5, 400)
        how = rng.choice(("herd_kill", "herd_power", "head", "tail", "wipe", "wipe_power"))
        back = rng.choice((100, 500, 1000, 3000))
        self._add(at_ms, kind, late=late, how=how, on=member, back=back)

    def _fault_partition(self, at_ms: int, kind: str, member: int) -> None:
        rng = self._rng
        how = rng.choice(("both", "out", "in", "pair", "group"))
        span = rng.choice((700, 2000, 6000, 20000))
        other = (member + rng.randrange(1, self._members)) % self._members
        self._add(at_ms, kind, on=member, other=other, how=how, span=span)
        if rng.random() < 0.4:
            self._add(at_ms + rng.randrange(span), "core_kill", on=member, back=300)
        if how == "group" and rng.random() < 0.6:
            # A proxy restarts while it can reach only that member.
            self._add(at_ms + rng.randrange(span), "front_kill", on=member, span=300)
        for _ in range(rng.choice((0, 0, 2, 5))):  # changes sent to the member around its return
            self._add(at_ms + span + rng.randrange(-600, 900), "meet", on=member)

    def _fault_seeds_partition(self, at_ms: int, kind: str, member: int) -> None:
        for index in range(min(3, self._members)):
            other, span = (index + 1) % self._members, self._rng.choice((3000, 8000))
            self._add(at_ms, "core_cut", on=index, other=other, how="both", span=span)

    def _fault_proxy(self, at_ms: int, kind: str, member: int) -> None:
        rng = self._rng
        proxy, how = rng.randrange(3), rng.choice(("both", "out", "in", "some"))
        self._add(at_ms, kind, on=proxy, how=how, span=rng.choice((300, 1500, 5000, 20000)))

    def _fault_packet_loss(self, at_ms: int, kind: str, member: int) -> None:
        percent = self._rng.choice((5, 20, 40))
        self._add(at_ms, kind, part=percent, span=self._rng.choice((2000, 10000)))

    def _fault_reset(self, at_ms: int, kind: str, member: int) -> None:
        self._add(at_ms, kind, on=member)

    def _fault_disk(self, at_ms: int, kind: str, member: int) -> None:
        self._add(at_ms, kind, on=member, span=self._rng.choice((300, 2000, 8000)))

    def _fault_corruption(self, at_ms: int, kind: str, member: int) -> None:
        self._add(at_ms, kind, on=member, pick=self._rng.randrange(100))

    def _fault_freeze(self, at_ms: int, kind: str, member: int) -> None:
        span = self._rng.choice((300, 1000, 3000, 8000, 20000))
        timers = self._rng.randrange(2)
        clock = self._rng.choice((0, 0, 1))
        self._add(at_ms, kind, on=member, span=span, timers=timers, clock=clock)

    def _fault_freeze_all(self, at_ms: int, kind: str, member: int) -> None:
        for index in range(self._members):
            freeze_at = at_ms + self._rng.randrange(500)
            span = self._rng.choice((1000, 3000))
            self._add(freeze_at, "freeze", on=index, span=span, timers=1)

    def _fault_clock_step(self, at_ms: int, kind: str, member: int) -> None:
        step = self._rng.choice((-3600_000, -2000, 2000, 3600_000))
        self._add(at_ms, kind, on=member, by=step)

    def _fault_slow(self, at_ms: int, kind: str, member: int) -> None:
        pace = self._rng.choice((300, 1500, 5000))
        self._add(at_ms, kind, on=member, pace=pace, span=self._rng.choice((2000, 8000)))


FAULT_DRAWS: dict[str, Callable[[_Generator, int, str, int], None]] = {
    "core_kill": _Generator._fault_kill,
    "core_term": _Generator._fault_kill,
    "core_power": _Generator._fault_power,
    "wipe": _Generator._fault_power,
    "roll_term": _Generator._fault_rolling_restart,
    "herd_kill": _Generator._fault_all_at_once,
    "herd_power": _Generator._fault_all_at_once,
    "after_ack": _Generator._fault_at_order,
    "after_sent": _Generator._fault_at_order,
    "core_cut": _Generator._fault_partition,
    "seeds_cut": _Generator._fault_seeds_partition,
    "node_cut": _Generator._fault_proxy,
    "front_kill": _Generator._fault_proxy,
    "front_freeze": _Generator._fault_proxy,
    "front_term": _Generator._fault_proxy,
    "lossy": _Generator._fault_packet_loss,
    "reset": _Generator._fault_reset,
    "disk_slow": _Generator._fault_disk,
    "disk_hangs": _Generator._fault_disk,
    "disk_refuses": _Generator._fault_disk,
    "disk_rots": _Generator._fault_corruption,
    "freeze": _Generator._fault_freeze,
    "herd_freeze": _Generator._fault_freeze_all,
    "clock_step": _Generator._fault_clock_step,
    "slow": _Generator._fault_slow,
}

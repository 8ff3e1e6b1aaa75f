"""Fleets of proxies that detect each other's failures: the bytes of each datagram, and who counts
as alive."""

from tests.gateway.air import Air, address
from tests.pins.trace import Trace

SEEDS = 40
SHORT_SEEDS = 8
MOST_PROXIES = 40


def cases(every: bool) -> list[str]:
    """Names of cases, one a seed."""
    return [str(seed) for seed in range(SEEDS if every else SHORT_SEEDS)]


def play(case: str, trace: Trace) -> None:
    """Plays a fleet among losses, cuts, stalls, ends and starts into the trace."""
    seed = int(case)
    proxies = 3 + (seed * 7) % (MOST_PROXIES - 2)
    fleet = _TracedAir(trace, seed, proxies)
    chance = fleet.chance
    fleet.start_all(min(3, proxies))
    fleet.run(5)
    for _ in range(6):
        ip = address(chance.randrange(proxies))
        fleet.loss, fleet.doubled, fleet.late = (
            chance.choice((0.0, 0.05, 0.3)),
            chance.choice((0.0, 0.1)),
            chance.choice((0.0, 0.2)),
        )
        running = fleet.places[ip].sonde is not None
        _trouble(fleet, chance.choice(("kill", "leave", "cut", "stall", "none")), ip, running)
        fleet.run(chance.choice((1.5, 4.0, 9.0)))
        fleet.cut = lambda one, other: False
        fleet.places[ip].sleeps = (0, 0)
        if fleet.places[ip].sonde is None and chance.random() < 0.7:
            fleet.start(ip, (address(chance.randrange(proxies)),))
        fleet.run(chance.choice((0.5, 3.0)))
        for detector in fleet.running():
            trace.add(fleet.now, detector.me, "alive", sorted(detector.alive()))


def _trouble(fleet: Air, kind: str, ip: str, running: bool) -> None:
    if kind == "cut":
        fleet.cut = lambda one, other: ip in (one, other)
    elif kind == "stall":
        fleet.places[ip].sleeps = (400_000, 2_500_000)
    elif kind == "kill" and running:
        fleet.kill(ip)
    elif kind == "leave" and running:
        fleet.leave(ip)


class _TracedAir(Air):
    def __init__(self, trace: Trace, seed: int, fronts: int) -> None:
        super().__init__(seed, fronts)
        self._trace = trace

    def carry(self, source: str, letters: list[tuple[str, bytes]]) -> None:
        for to, data in letters:
            self._trace.add(self.now, source, to, data)
        super().carry(source, letters)

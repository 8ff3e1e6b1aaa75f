"""Fleets of proxies that detect each other's failures: the bytes of each datagram, and who counts
as alive."""

from collections.abc import Iterable

from tests.gateway.datagram_network import DatagramNetwork, address, no_partition
from tests.pins.trace import Trace
from umbermoor.gateway.membership.messages import Datagram

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
    fleet = _TracedNetwork(trace, seed, proxies)
    chance = fleet.rng
    fleet.start_all(min(3, proxies))
    fleet.run(5)
    for _ in range(6):
        ip = address(chance.randrange(proxies))
        fleet.loss, fleet.duplication, fleet.lateness = (
            chance.choice((0.0, 0.05, 0.3)),
            chance.choice((0.0, 0.1)),
            chance.choice((0.0, 0.2)),
        )
        running = fleet.nodes[ip].detector is not None
        _trouble(fleet, chance.choice(("kill", "leave", "cut", "stall", "none")), ip, running)
        fleet.run(chance.choice((1.5, 4.0, 9.0)))
        fleet.partitioned = no_partition
        fleet.nodes[ip].tick_pauses = (0, 0)
        if fleet.nodes[ip].detector is None and chance.random() < 0.7:
            fleet.start(ip, (address(chance.randrange(proxies)),))
        fleet.run(chance.choice((0.5, 3.0)))
        for detector in fleet.running():
            trace.add(fleet.now, detector.address, "alive", sorted(detector.alive()))


def _trouble(fleet: DatagramNetwork, kind: str, ip: str, running: bool) -> None:
    if kind == "cut":
        fleet.partitioned = lambda one, other: ip in (one, other)
    elif kind == "stall":
        fleet.nodes[ip].tick_pauses = (400_000, 2_500_000)
    elif kind == "kill" and running:
        fleet.kill(ip)
    elif kind == "leave" and running:
        fleet.leave(ip)


class _TracedNetwork(DatagramNetwork):
    def __init__(self, trace: Trace, seed: int, fronts: int) -> None:
        super().__init__(seed, fronts)
        self._trace = trace

    def send_all(self, source: str, datagrams: Iterable[Datagram]) -> None:
        for to, data in datagrams:
            self._trace.add(self.now, source, to, data)
        super().send_all(source, datagrams)

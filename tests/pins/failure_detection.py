"""Fleets of proxies that detect each other's failures: traces the bytes of each datagram and the
proxies believed alive."""

from collections.abc import Iterable

from tests.gateway.datagram_network import DatagramNetwork, address, no_partition
from tests.pins.trace import Trace
from umbermoor.gateway.membership.messages import Datagram

SEEDS = 40
SHORT_SEEDS = 8
MAX_PROXIES = 40


def cases(every: bool) -> list[str]:
    """Return the names of the cases, one per seed."""
    return [str(seed) for seed in range(SEEDS if every else SHORT_SEEDS)]


def play(case: str, trace: Trace) -> None:
    """Simulate a fleet with losses, cuts, stalls, failures and starts, and trace it."""
    seed = int(case)
    proxies = 3 + (seed * 7) % (MAX_PROXIES - 2)
    fleet = _TracedNetwork(trace, seed, proxies)
    rng = fleet.rng
    fleet.start_all(min(3, proxies))
    fleet.run(5)
    for _ in range(6):
        ip = address(rng.randrange(proxies))
        fleet.loss, fleet.duplication, fleet.lateness = (
            rng.choice((0.0, 0.05, 0.3)),
            rng.choice((0.0, 0.1)),
            rng.choice((0.0, 0.2)),
        )
        running = fleet.nodes[ip].detector is not None
        _inject_fault(fleet, rng.choice(("kill", "leave", "cut", "stall", "none")), ip, running)
        fleet.run(rng.choice((1.5, 4.0, 9.0)))
        fleet.partitioned = no_partition
        fleet.nodes[ip].tick_pauses = (0, 0)
        if fleet.nodes[ip].detector is None and rng.random() < 0.7:
            fleet.start(ip, (address(rng.randrange(proxies)),))
        fleet.run(rng.choice((0.5, 3.0)))
        for detector in fleet.running():
            trace.add(fleet.now, detector.address, "alive", sorted(detector.alive()))


def _inject_fault(fleet: DatagramNetwork, kind: str, ip: str, running: bool) -> None:
    if kind == "cut":
        fleet.partitioned = lambda source, to: ip in (source, to)
    elif kind == "stall":
        fleet.nodes[ip].tick_pauses = (400_000, 2_500_000)
    elif kind == "kill" and running:
        fleet.kill(ip)
    elif kind == "leave" and running:
        fleet.leave(ip)


class _TracedNetwork(DatagramNetwork):
    def __init__(self, trace: Trace, seed: int, proxies: int) -> None:
        super().__init__(seed, proxies)
        self._trace = trace

    def send_all(self, source: str, datagrams: Iterable[Datagram]) -> None:
        for to, data in datagrams:
            self._trace.add(self.now, source, to, data)
        super().send_all(source, datagrams)

"""A simulated datagram network in virtual time, and failure detectors that run on it.

Datagrams are lost, duplicated, delayed and partitioned; proxies stop, restart and stall. The seed
determines every run. Times are whole microseconds.
"""

import dataclasses
import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from umbermoor.gateway.membership.failure_detector import FailureDetector
from umbermoor.gateway.membership.messages import Datagram

MS, SECOND = 1000, 1_000_000
TICK_INTERVAL = 100 * MS
TICK_JITTER = 20 * MS
START_TIME = 10 * SECOND
MIN_DELAY, DELAY_JITTER = 200, 3 * MS
MAX_LATENESS = 800 * MS
STOP_AFTER_LEAVE = SECOND
POLL_INTERVAL_SECONDS = 0.05


def address(number: int) -> str:
    """Return the address of the proxy with this number."""
    return f"10.0.{number // 200}.{number % 200 + 1}"


@dataclass
class Node:
    """An address, and the failure detector that runs there, if any."""

    address: str
    detector: FailureDetector | None = None
    starts: int = 0
    tick_pauses: tuple[int, int] = (0, 0)
    """Minimum and maximum time between ticks of a stalling proxy; (0, 0) if it does not stall."""
    backlog: list[tuple[str, bytes]] = field(default_factory=list)
    """Datagrams received while it was stalled: source and bytes."""
    sent: int = 0
    bytes_sent: int = 0
    largest_datagram: int = 0

    @property
    def running(self) -> FailureDetector:
        """The detector; the node must be running."""
        assert self.detector is not None, self.address
        return self.detector


def no_partition(source: str, to: str) -> bool:
    """Let every datagram pass."""
    return False


class DatagramNetwork:
    """The nodes, their clocks, and the network between them.

    Args:
        seed: the seed of all random choices.
        nodes: the number of addresses.
        loss: fraction of the datagrams that are lost.
        duplication: fraction that arrive twice.
        lateness: fraction that are late by up to MAX_LATENESS.
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        loss: float = 0.0,
        duplication: float = 0.0,
        lateness: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.loss, self.duplication, self.lateness = loss, duplication, lateness
        self.now = START_TIME
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled = 0
        self.nodes = {address(number): Node(address(number)) for number in range(nodes)}
        self.partitioned: Callable[[str, str], bool] = no_partition
        self.undelivered: list[tuple[int, str, bytes]] = []
        """Datagrams to addresses where nothing runs: time, address, bytes."""

    # Time

    def schedule(self, time: int, action: Callable[[], None]) -> None:
        """Run an action at a time; actions with the same time run in the order of scheduling."""
        self._scheduled += 1
        heapq.heappush(self._events, (time, self._scheduled, action))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + round(seconds * SECOND)
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], seconds: float) -> float | None:
        """Return the seconds until the condition holds, checked every 50 ms; None on time-out."""
        start = self.now
        while not condition():
            if self.now - start >= seconds * SECOND:
                return None
            self.run(POLL_INTERVAL_SECONDS)
        return (self.now - start) / SECOND

    # Processes

    def start(
        self, at: str, discovered: tuple[str, ...] = (), generation: int | None = None
    ) -> None:
        """Start a proxy that knows these addresses; its generation defaults to the current time."""
        node = self.nodes.setdefault(at, Node(at))
        node.starts += 1
        node.backlog.clear()
        detector = node.detector = FailureDetector(
            at,
            self.now if generation is None else generation,
            random.Random(self.rng.random()),
        )
        detector.discovered(self.now, discovered)
        first_tick = self.now + self.rng.randrange(TICK_INTERVAL)
        self.schedule(first_tick, lambda: self._tick(node, detector))

    def start_all(self, discovered: int = 3) -> None:
        """Start every proxy; each knows some random addresses, possibly its own."""
        addresses = list(self.nodes)
        for at in addresses:
            peers = self.rng.sample(addresses, min(discovered, len(addresses)))
            self.start(at, tuple(peers))

    def kill(self, at: str) -> None:
        """Stop the proxy at once."""
        self.nodes[at].detector = None

    def leave(self, at: str) -> None:
        """Make the proxy announce that it leaves, and stop it a second later."""
        node = self.nodes[at]
        detector = node.running
        self.send_all(at, detector.leave(self.now))

        def stop() -> None:
            if node.detector is detector:
                self.kill(at)

        self.schedule(self.now + STOP_AFTER_LEAVE, stop)

    def _tick(self, node: Node, detector: FailureDetector) -> None:
        if node.detector is not detector:
            return
        # The tick comes before the backlog: the worse order for a proxy that was stalled.
        self.send_all(node.address, detector.tick(self.now))
        backlog, node.backlog = node.backlog, []
        for source, data in backlog:
            self.send_all(node.address, detector.receive(self.now, source, data))
        if node.tick_pauses[1]:
            pause = self.rng.randrange(*node.tick_pauses)
        else:
            pause = TICK_INTERVAL + self.rng.randrange(TICK_JITTER)
        self.schedule(self.now + pause, lambda: self._tick(node, detector))

    # Datagrams

    def send_all(self, source: str, datagrams: Iterable[Datagram]) -> None:
        """Send datagrams; each may be lost, duplicated or late at random."""
        node = self.nodes.get(source)
        for to, data in datagrams:
            if node is not None:
                node.sent += 1
                node.bytes_sent += len(data)
                node.largest_datagram = max(node.largest_datagram, len(data))
            copies = 1 + (self.rng.random() < self.duplication)
            for _ in range(copies):
                if self.rng.random() >= self.loss:
                    self._deliver_later(source, to, data)

    def _deliver_later(self, source: str, to: str, data: bytes) -> None:
        delay = MIN_DELAY + self.rng.randrange(DELAY_JITTER)
        if self.rng.random() < self.lateness:
            delay += self.rng.randrange(MAX_LATENESS)
        self.schedule(self.now + delay, lambda: self._deliver(source, to, data))

    def _deliver(self, source: str, to: str, data: bytes) -> None:
        node = self.nodes.get(to)
        if self.partitioned(source, to):
            return
        if node is None or node.detector is None:
            self.undelivered.append((self.now, to, data))
        elif node.tick_pauses[1]:
            node.backlog.append((source, data))
        else:
            self.send_all(to, node.detector.receive(self.now, source, data))

    # Actual state and the detectors' views

    def running(self) -> list[FailureDetector]:
        """Return the running detectors."""
        return [node.detector for node in self.nodes.values() if node.detector is not None]

    def converged(self) -> bool:
        """Whether every proxy believes exactly the running proxies alive."""
        truth = tuple(sorted(detector.address for detector in self.running()))
        return all(detector.alive() == truth for detector in self.running())

    def believing_alive(self, subject: str) -> int:
        """Return how many other proxies believe the subject alive."""
        others = (other for other in self.running() if other.address != subject)
        return sum(subject in detector.alive() for detector in others)

    def counting(self, subject: str) -> int:
        """Return how many other proxies count the subject as a member, suspect or not."""
        others = (other for other in self.running() if other.address != subject)
        return sum(detector.is_member(subject) for detector in others)

    def total(self, transition: str) -> int:
        """Return the number of such transitions, summed over the running proxies."""
        counts = (
            dataclasses.asdict(detector.statistics().transitions) for detector in self.running()
        )
        return sum(count[transition] for count in counts)

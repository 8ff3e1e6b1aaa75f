"""The simulated network: hosts, reachability and delays, TCP connections, HTTP calls from outside.

A cut stalls traffic in one direction, like dropped packets. The traffic is delivered once the cut
heals, unless an endpoint has given up in the meantime.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any

from umbermoor.gateway.simulation.virtual_disk import VirtualDisk
from umbermoor.gateway.simulation.virtual_process import VirtualProcess
from umbermoor.gateway.simulation.virtual_time import VirtualClock, VirtualTime
from umbermoor.gateway.simulation.virtual_transport import RETRANSMIT_INTERVAL, VirtualTransport
from umbermoor.gateway.units import MILLISECOND, SECOND

SYN_RETRY_INTERVAL = SECOND
SHORTEST_DELAY, LONGEST_DELAY = 200, 2 * MILLISECOND  # one way

Link = tuple[str, str]  # from, to
Respond = Callable[
    [int, bytes], None
]  # status and body; status 0 means that the connection was refused
Handler = Callable[[VirtualProcess, Respond], None]


class VirtualHost:
    """A machine with an address, clocks, a disk and at most one process."""

    def __init__(
        self, network: "VirtualNetwork", ip: str, rate: float = 1.0, offset: int = 0
    ) -> None:
        self.network = network
        self.ip = ip
        self.clock = VirtualClock(
            network.time, rate, offset
        )  # keeps running while the machine is suspended
        self.timer_clock = VirtualClock(
            network.time, rate, offset
        )  # stops while the machine is suspended
        self.disk = VirtualDisk(network.time, network.rng)
        self.process: VirtualProcess | None = None
        self.powered = True
        network.hosts[ip] = self


class VirtualNetwork:
    """Reachability of and delays between hosts."""

    def __init__(self, time: VirtualTime, rng: random.Random) -> None:
        self.time = time
        self.rng = rng
        self.hosts: dict[str, VirtualHost] = {}
        self.packet_loss = 0.0  # share of packets lost on all links
        self._cuts: dict[Link, int] = {}  # number of active cuts per link

    # Cuts

    def is_cut(self, source: str, target: str) -> bool:
        """Whether the link from `source` to `target` is cut."""
        return bool(self._cuts.get((source, target)))

    def any_cut(self) -> bool:
        """Whether any link is cut."""
        return any(self._cuts.values())

    def cut(self, links: Iterable[Link]) -> Callable[[], None]:
        """Cut links and return a function that heals this cut once; cuts of a link add up."""
        links = list(links)
        self._add(links, 1)

        def heal() -> None:
            if all(self._cuts.get(link) for link in links):
                self._add(links, -1)

        return heal

    def _add(self, links: list[Link], change: int) -> None:
        for link in links:
            self._cuts[link] = self._cuts.get(link, 0) + change

    def heal(self) -> None:
        """End all cuts and packet loss."""
        self._cuts.clear()
        self.packet_loss = 0.0

    def delay(self, source: str, target: str) -> int:
        """Return the one-way delay of a packet in microseconds, including retransmissions."""
        delay = self.rng.randrange(SHORTEST_DELAY, LONGEST_DELAY)
        while self.packet_loss and self.rng.random() < self.packet_loss:
            delay += RETRANSMIT_INTERVAL
        return delay

    # Connections

    async def connect(
        self, process: VirtualProcess, factory: Callable[[], Any], ip: str, port: int
    ) -> tuple[VirtualTransport, Any]:
        """Connect a process to a listener.

        Waits as long as the target does not respond. Raises ConnectionRefusedError or
        ConnectionResetError.
        """
        attempt = _ConnectionAttempt(self, process, factory, ip, port)
        self.time.after(self.delay(process.host.ip, ip), attempt.send_syn)
        return await attempt.result

    def call(self, source: str, target: str, handle: Handler, respond: Respond) -> None:
        """Make an HTTP call from outside: `handle` runs in the process at `target`.

        Its answer is passed to `respond`, with status 0 if the connection was refused. Requests
        and answers dropped by a cut or a power loss are never delivered.
        """
        target_host = self.hosts[target]

        def arrive() -> None:
            if not target_host.powered or self.is_cut(source, target):
                return
            process = target_host.process
            if process is None:
                answer(0, b"")
                return
            process.run(lambda: handle(process, answer_if_alive(process)))

        def answer_if_alive(process: VirtualProcess) -> Respond:
            return lambda status, body: None if process.dead else answer(status, body)

        def answer(status: int, body: bytes) -> None:
            self.time.after(self.delay(target, source), lambda: arrive_back(status, body))

        def arrive_back(status: int, body: bytes) -> None:
            if not self.is_cut(target, source) and target_host.powered:
                respond(status, body)

        self.time.after(self.delay(source, target), arrive)


class _ConnectionAttempt:
    """A TCP handshake in progress."""

    def __init__(
        self,
        network: VirtualNetwork,
        process: VirtualProcess,
        factory: Callable[[], Any],
        ip: str,
        port: int,
    ) -> None:
        self.result = process.create_future()
        self._network = network
        self._process = process
        self._factory = factory
        self._ip = ip
        self._port = port

    def send_syn(self) -> None:
        """Send a SYN and repeat it until the target responds."""
        network, here, there = self._network, self._process.host.ip, self._ip
        if self.result.done() or self._process.dead:
            return
        target = network.hosts.get(there)
        unreachable = (
            target is None
            or not target.powered
            or network.is_cut(here, there)
            or network.is_cut(there, here)
        )
        if target is None or unreachable:
            network.time.after(SYN_RETRY_INTERVAL, self.send_syn)
            return
        listening = target.process
        delay = network.delay(there, here)
        if listening is None or self._port not in listening.listeners:
            refusal = ConnectionRefusedError(there)
            network.time.after(delay, lambda: self._process.run(lambda: self._fail(refusal)))
            return
        transport = self._accept(listening)
        network.time.after(delay, lambda: self._process.run(lambda: self._connected(transport)))

    def _accept(self, listening: VirtualProcess) -> VirtualTransport:
        """Create both ends of the connection and return that of the connecting process."""
        mine = VirtualTransport(self._network, self._process, self._ip)
        theirs = VirtualTransport(self._network, listening, self._process.host.ip)
        mine.peer, theirs.peer = theirs, mine
        theirs.protocol = listening.listeners[self._port]()
        listening.run(lambda: theirs.protocol.connection_made(theirs))
        return mine

    def _connected(self, transport: VirtualTransport) -> None:
        if self.result.cancelled() or transport.gone:
            transport.abort()
            self._fail(ConnectionResetError(self._ip))
            return
        transport.protocol = self._factory()
        transport.protocol.connection_made(transport)
        if not self.result.done() and not self._process.dead:
            self.result.set_result((transport, transport.protocol))

    def _fail(self, error: OSError) -> None:
        if not self.result.done() and not self._process.dead:
            self.result.set_exception(error)

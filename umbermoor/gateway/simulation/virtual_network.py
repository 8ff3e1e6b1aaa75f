"""The simulated network: hosts, who reaches whom and how fast, TCP connections, HTTP from outside.

A cut holds traffic in one direction up, as dropped packets do; it comes through once the cut heals,
unless an end has given up meanwhile.
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
Respond = Callable[[int, bytes], None]  # status and body; status 0: the connection was refused
Handler = Callable[[VirtualProcess, Respond], None]


class VirtualHost:
    """A machine: an address, clocks, a disk, and the process that runs on it, if one does."""

    def __init__(
        self, network: "VirtualNetwork", ip: str, rate: float = 1.0, offset: int = 0
    ) -> None:
        self.network = network
        self.ip = ip
        self.clock = VirtualClock(network.time, rate, offset)  # runs on during a suspension
        self.timer_clock = VirtualClock(network.time, rate, offset)  # stands still then
        self.disk = VirtualDisk(network.time, network.rng)
        self.process: VirtualProcess | None = None
        self.powered = True
        network.hosts[ip] = self


class VirtualNetwork:
    """Who reaches whom, and how fast."""

    def __init__(self, time: VirtualTime, rng: random.Random) -> None:
        self.time = time
        self.rng = rng
        self.hosts: dict[str, VirtualHost] = {}
        self.packet_loss = 0.0  # the share of packets lost, everywhere
        self._cuts: dict[Link, int] = {}  # how many cuts lie on a link

    # Cuts

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing gets from one address to the other."""
        return bool(self._cuts.get((source, target)))

    def any_cut(self) -> bool:
        """Whether any link is cut."""
        return any(self._cuts.values())

    def cut(self, links: Iterable[Link]) -> Callable[[], None]:
        """Cut links; cuts add up. What is returned takes this cut away, once."""
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
        """Take all cuts and packet loss away."""
        self._cuts.clear()
        self.packet_loss = 0.0

    def delay(self, source: str, target: str) -> int:
        """Microseconds that a packet takes one way, retransmissions included."""
        delay = self.rng.randrange(SHORTEST_DELAY, LONGEST_DELAY)
        while self.packet_loss and self.rng.random() < self.packet_loss:
            delay += RETRANSMIT_INTERVAL
        return delay

    # Connections

    async def connect(
        self, process: VirtualProcess, factory: Callable[[], Any], ip: str, port: int
    ) -> tuple[VirtualTransport, Any]:
        """Connect a process to a listener.

        Raises ConnectionRefusedError or ConnectionResetError; waits for as long as nothing answers.
        """
        attempt = _ConnectionAttempt(self, process, factory, ip, port)
        self.time.after(self.delay(process.host.ip, ip), attempt.send_syn)
        return await attempt.result

    def call(self, source: str, target: str, handle: Handler, respond: Respond) -> None:
        """An HTTP call from outside: `handle` runs in the process at `target`.

        What it answers comes back to `respond`, with status 0 where the connection was refused.
        What a cut or a loss of power swallows never comes.
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
        """Send a SYN, and again for as long as nothing answers."""
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
        """Make both ends; the one that connects is returned."""
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

"""Datagrams between fronts: the sonde's host, on the front's own address and port.

Usage, in a host with `settings` and a wall-clock start:

    sonde = Sonde(settings.ip, time.time_ns() // 1000, random.Random())
    datagrams = await listen(sonde, settings.ip, settings.port_range[0], self.now)  # OSError where the port
is taken
    ...; sonde.heard_of(self.now(), ips); sonde.count(); datagrams.leave(); datagrams.close()
"""

import asyncio
from collections.abc import Callable

from umbermoor.gateway.membership.failure_detector import Out, Sonde

TICK = 0.1  # s
MOST = 400  # datagrams taken in between two ticks; the rest of a flood is dropped unread
BACKLOG = 64 << 10  # bytes that may wait to be sent


class Datagrams(asyncio.DatagramProtocol):
    """Carries datagrams to a sonde and from it, and calls its clock."""

    def __init__(self, sonde: Sonde, port: int, now: Callable[[], int]) -> None:
        """`now`: whole microseconds, never back."""
        self.sonde, self.port, self.now = sonde, port, now
        self.transport: asyncio.DatagramTransport | None = None
        self.dropped = 0
        self._taken = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._tick()

    def datagram_received(self, data: bytes, addr) -> None:
        if self._taken >= MOST or addr[1] != self.port:
            self.dropped += 1
            return
        self._taken += 1
        self._send(self.sonde.datagram(self.now(), addr[0], data))

    def error_received(self, exc: OSError) -> None:
        """Nobody listens there, or it cannot be reached: the sonde finds out by itself."""

    def _tick(self) -> None:
        self._taken = 0
        self._timer = asyncio.get_running_loop().call_later(TICK, self._tick)
        self._send(self.sonde.tick(self.now()))

    def _send(self, out: Out) -> None:
        for ip, data in out:
            if self.transport is not None and self.transport.get_write_buffer_size() < BACKLOG:
                self.transport.sendto(data, (ip, self.port))

    def leave(self) -> None:
        """Tells the others that this front ends; ticks go on until `close`."""
        self._send(self.sonde.leave(self.now()))

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None


async def listen(sonde: Sonde, ip: str, port: int, now: Callable[[], int]) -> Datagrams:
    """Opens (ip, port) for the sonde and starts its clock. OSError where it cannot be bound."""
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(sonde, port, now), local_addr=(ip, port)
    )
    return protocol

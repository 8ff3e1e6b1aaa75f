"""Runs the failure detector on a UDP socket, at the proxy's own address and port, and a clock.

Usage, in a proxy:

    detector = FailureDetector(address, time.time_ns() // 1000, random.Random())
    membership = await listen(detector, address, port, now)  # OSError if the port is in use
    ...
    detector.discovered(now(), addresses)
    detector.member_count()
    ...
    membership.leave()
    membership.close()
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, cast

from umbermoor.gateway.membership.failure_detector import FailureDetector
from umbermoor.gateway.membership.messages import Datagram

TICK_INTERVAL_SECONDS = 0.1
MAX_DATAGRAMS_PER_TICK = 400
"""Datagrams accepted between two ticks; the rest of a flood is dropped unread."""
MAX_SEND_BUFFER_BYTES = 64 << 10
"""Datagrams are dropped while more than this is waiting to be sent."""


class MembershipEndpoint(asyncio.DatagramProtocol):
    """Carries datagrams to and from a failure detector and runs its ticks.

    Args:
        detector: the failure detector.
        port: the UDP port of all proxies.
        now: the clock, in whole microseconds; it never goes back.
    """

    def __init__(self, detector: FailureDetector, port: int, now: Callable[[], int]) -> None:
        self.detector, self.port, self.now = detector, port, now
        self.transport: asyncio.DatagramTransport | None = None
        self.dropped = 0
        self._received_since_tick = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the ticks: the socket is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._tick()

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass on a datagram, unless its source port is wrong or too many have arrived."""
        source, port = addr
        if self._received_since_tick >= MAX_DATAGRAMS_PER_TICK or port != self.port:
            self.dropped += 1
            return
        self._received_since_tick += 1
        self._send(self.detector.receive(self.now(), source, data))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer is unreachable: the failure detector notices by itself."""

    def _tick(self) -> None:
        self._received_since_tick = 0
        self._timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_SECONDS, self._tick)
        self._send(self.detector.tick(self.now()))

    def _send(self, datagrams: Iterable[Datagram]) -> None:
        for address, data in datagrams:
            if self.transport is None:
                return
            # typeshed lacks this method of asyncio's datagram transports.
            waiting = self.transport.get_write_buffer_size()  # type: ignore[attr-defined]
            if waiting < MAX_SEND_BUFFER_BYTES:
                self.transport.sendto(data, (address, self.port))

    def leave(self) -> None:
        """Announce to the other proxies that this one leaves; ticks continue until `close`."""
        self._send(self.detector.leave(self.now()))

    def close(self) -> None:
        """Stop the ticks and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None


async def listen(
    detector: FailureDetector, address: str, port: int, now: Callable[[], int]
) -> MembershipEndpoint:
    """Open the UDP socket (address, port) for the detector and start its ticks.

    Raises:
        OSError: the socket cannot be bound.
    """
    _, endpoint = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: MembershipEndpoint(detector, port, now), local_addr=(address, port)
    )
    return endpoint

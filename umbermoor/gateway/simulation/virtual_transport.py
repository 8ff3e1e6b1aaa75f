"""One end of a simulated TCP connection, at the level of detail that applications can observe.

Simulated are ordering, resets, delays by partitions, data that the kernel accepts for a frozen
process, and the time that a sender waits for an unreachable peer (TCP_USER_TIMEOUT). Segments and
windows are not simulated.
"""

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

from umbermoor.gateway.units import MILLISECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.virtual_network import VirtualNetwork
    from umbermoor.gateway.simulation.virtual_process import VirtualProcess

# Time without acknowledgement after which a connection is broken, as the programs configure it
USER_TIMEOUT = 1500 * MILLISECOND
RETRANSMIT_INTERVAL = 200 * MILLISECOND
PIPELINED_DELAY = 50  # microseconds until a write that waited for the previous one arrives
SEND_BUFFER_BYTES = 256 << 10  # in flight at most before further writes count as buffered


class _VirtualSocket:
    """Accepts any socket option."""

    def setsockopt(self, *args: Any) -> None:
        pass


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: "VirtualNetwork", process: "VirtualProcess", peer_ip: str) -> None:
        super().__init__()
        self.process = process
        self.peer: VirtualTransport | None = None
        self.protocol: Any = None
        self.gone = False  # this end has dropped the connection
        self._network = network
        self.peer_ip = peer_ip
        self._closing = False
        # Writes in flight: deadline of the acknowledgement, and the bytes or None for a FIN
        self._in_flight: deque[tuple[int, bytes | None]] = deque()
        # Whether the first write in flight arrived and is not yet acknowledged
        self._first_delivered = False
        process.transports[self] = None

    # The interface of a transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: D102
        if name == "peername":
            return self.peer_ip, 1
        return _VirtualSocket() if name == "socket" else default

    def is_closing(self) -> bool:  # noqa: D102
        return self._closing or self.gone

    def get_write_buffer_size(self) -> int:  # noqa: D102
        in_flight = sum(len(data or b"") for _, data in self._in_flight)
        return max(0, in_flight - SEND_BUFFER_BYTES)

    def write(self, data: Any) -> None:  # noqa: D102
        if not self.is_closing() and data:
            self._send(bytes(data))

    def close(self) -> None:  # noqa: D102
        if not self.is_closing():
            self._closing = True
            self._send(None)
            self.disconnect(None)

    def abort(self) -> None:  # noqa: D102
        self.drop(reset_peer=True)
        self.disconnect(None)

    # Delivery to the peer

    def _send(self, data: bytes | None) -> None:
        time = self._network.time
        self._in_flight.append((time.now + USER_TIMEOUT, data))
        if len(self._in_flight) == 1:
            time.after(self._network.delay(self.process.host.ip, self.peer_ip), self._deliver)
        time.after(USER_TIMEOUT, self._check_user_timeout)

    def _check_user_timeout(self) -> None:
        if not self.gone and self._in_flight and self._in_flight[0][0] <= self._network.time.now:
            self._forget()
            self.disconnect(TimeoutError("no acknowledgement"))

    def _forget(self) -> None:
        self.gone = True
        self._in_flight.clear()

    def _deliver(self) -> None:
        """Deliver the first write in flight and its acknowledgement if the network allows it."""
        network, here = self._network, self.process.host.ip
        if not self._in_flight or (self.process.dead and self.gone):
            return
        peer_host = network.hosts.get(self.peer_ip)
        if peer_host is None or not peer_host.powered or network.is_cut(here, self.peer_ip):
            network.time.after(RETRANSMIT_INTERVAL, self._deliver)
            return
        _, data = self._in_flight[0]
        peer = self.peer
        if peer is None or peer.gone or peer.process.dead:
            self._in_flight.clear()
            if not self.gone and not network.is_cut(self.peer_ip, here):
                self.gone = True
                self.disconnect(ConnectionResetError("reset by peer"))
            return
        if not self._first_delivered:
            self._first_delivered = True
            peer.receive(data)
        if network.is_cut(self.peer_ip, here):  # the data arrived, but the acknowledgement is lost
            network.time.after(RETRANSMIT_INTERVAL, self._deliver)
            return
        self._in_flight.popleft()
        self._first_delivered = False
        if self._in_flight:
            sent_just_now = network.time.now < self._in_flight[0][0] - USER_TIMEOUT + MILLISECOND
            delay = network.delay(here, self.peer_ip) if sent_just_now else PIPELINED_DELAY
            network.time.after(delay, self._deliver)

    def receive(self, data: bytes | None) -> None:
        """Pass bytes, or the end of the stream, to the protocol."""
        if data is None:
            self.process.run(self._end_of_stream)
            return

        def pass_on() -> None:
            if not self.is_closing():
                self.protocol.data_received(data)

        self.process.run(pass_on)

    def _end_of_stream(self) -> None:
        if not self.is_closing():
            self.protocol.eof_received()
            self.close()

    # Closing

    def disconnect(self, error: Exception | None) -> None:
        """Report the end of the connection and its cause to the protocol."""
        self.process.transports.pop(self, None)
        if self.protocol is not None:  # otherwise the process never saw the connection
            self.process.run(lambda: self.protocol.connection_lost(error))

    def reset(self) -> None:
        """Reset the connection at both ends and report that to both protocols."""
        self.drop(reset_peer=True)
        self.disconnect(ConnectionResetError("reset"))

    def drop(self, reset_peer: bool) -> None:
        """Drop the connection at this end; with `reset_peer` send a reset to the other end."""
        if self.gone:
            return
        self._forget()
        self.process.transports.pop(self, None)
        peer = self.peer
        if not reset_peer or peer is None:
            return
        here, there = self.process.host.ip, self.peer_ip

        def reset_arrives() -> None:
            if not peer.gone and not peer.process.dead and not self._network.is_cut(here, there):
                peer._forget()
                peer.disconnect(ConnectionResetError("reset by peer"))

        self._network.time.after(self._network.delay(here, there), reset_arrives)

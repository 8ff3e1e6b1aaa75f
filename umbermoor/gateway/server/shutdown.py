"""Shutdown of a controller: hands over first, so that writes continue without it."""

import asyncio

from umbermoor.gateway.server import events
from umbermoor.gateway.server.replica_host import ReplicaHost
from umbermoor.gateway.units import SECOND

MAX_HAND_OVER_S = 2.0


class Shutdown:
    """Ends the process, at once or after handing over.

    Attributes:
        requested: Set once the process should end.
    """

    def __init__(self, host: ReplicaHost, grace_us: int) -> None:
        """Create the shutdown of a controller.

        Args:
            host: The host of the replica.
            grace_us: Time between SIGTERM and the platform killing the process.
        """
        self._host = host
        self._hand_over_us = round(min(MAX_HAND_OVER_S, grace_us / 3e6) * SECOND)
        self._hand_over_until: int | None = None
        self.requested = asyncio.Event()

    def hand_over(self, now: int) -> None:
        """Leave the chain, if the other members can continue; the replica set does not change."""
        if self._hand_over_until is None:
            self._hand_over_until = now + self._hand_over_us
            self._host.carry_out(self._host.replica.hand_over(now))

    def tick(self, now: int) -> None:
        """End the process once it has handed over or the time for that is over."""
        if self._hand_over_until is None or self.requested.is_set():
            return
        replica = self._host.replica
        if replica.handed_over or now >= self._hand_over_until:
            events.event(
                "hand_over_ended", handed_over=replica.handed_over, epoch=replica.status().epoch
            )
            self.requested.set()

    def request(self) -> None:
        """End the process without handing over."""
        self.requested.set()

"""Replicates instance records that are not repeated to a majority of the controllers.

Heartbeats are repeated, so losing one does no harm. But every proxy must learn that an instance
appears, drains or leaves. Every proxy reads from a majority, so such a call is answered only once a
majority of the members stores the record.
"""

import asyncio
from typing import Any

from umbermoor.gateway.discovery.registry import InstanceRecord
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.server.peer_transport import PeerTransport
from umbermoor.gateway.server.replica_host import ReplicaHost

ACKNOWLEDGE_TIMEOUT_S = 0.7


class InstanceReplication:
    """Tracks records that wait for acknowledgements from a majority."""

    def __init__(self, host: ReplicaHost, transport: PeerTransport) -> None:
        self._host, self._transport = host, transport
        self._waiting: dict[int, tuple[set[str], asyncio.Event]] = {}

    @property
    def _replica(self) -> Replica:
        return self._host.replica

    async def replicate(self, record: InstanceRecord) -> bool:
        """Send a record to the other members.

        Returns:
            Whether a majority of the members stores it within ACKNOWLEDGE_TIMEOUT_S.
        """
        number = self._host.next_call_number()
        acknowledged = asyncio.Event()
        self._waiting[number] = {self._replica.name}, acknowledged
        message = {"kind": "told", "number": number, "entry": record.to_wire()}
        for name in self._replica.member_names:
            if name != self._replica.name:
                self._transport.send(name, message)
        try:
            if not self._has_quorum(number):
                async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S):
                    await acknowledged.wait()
            return True
        except TimeoutError:
            return False
        finally:
            del self._waiting[number]

    def acknowledge(self, sender: str, number: Any) -> None:
        """Record that a member stores the record with this number."""
        waiting = self._waiting.get(number) if isinstance(number, int) else None
        if waiting is None:
            return
        holders, acknowledged = waiting
        holders.add(sender)
        if self._has_quorum(number):
            acknowledged.set()

    def _has_quorum(self, number: int) -> bool:
        return self._replica.replica_set.quorum(self._waiting[number][0])

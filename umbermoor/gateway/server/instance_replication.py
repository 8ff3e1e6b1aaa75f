"""Replicates instance records that are not repeated to a majority of the controllers.

Heartbeats are repeated, so losing one does no harm. But every proxy must learn that an instance
appears, drains or leaves. Every proxy reads from a majority, so such a call is answered only once a
majority of the members holds the record. A departure must also outlive a restart of all
controllers, so a member holds it only once it is synced to its disk; a new instance is in memory.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from umbermoor.gateway.discovery.registry import InstanceRecord
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.server.peer_transport import PeerTransport
from umbermoor.gateway.server.registry_snapshot import RegistrySnapshot
from umbermoor.gateway.server.replica_host import ReplicaHost

ACKNOWLEDGE_TIMEOUT_S = 0.7


class InstanceReplication:
    """Tracks records that wait for acknowledgements from a majority."""

    def __init__(
        self, host: ReplicaHost, transport: PeerTransport, snapshot: RegistrySnapshot
    ) -> None:
        self._host, self._transport, self._snapshot = host, transport, snapshot
        self._waiting: dict[int, tuple[set[str], asyncio.Event]] = {}

    @property
    def _replica(self) -> Replica:
        return self._host.replica

    async def replicate(self, record: InstanceRecord) -> bool:
        """Send a record, which this controller's registry contains, to the other members.

        Returns:
            Whether a majority of the members holds it within ACKNOWLEDGE_TIMEOUT_S.
        """
        number = self._host.next_call_number()
        acknowledged = asyncio.Event()
        self._waiting[number] = set(), acknowledged
        message = {"kind": "told", "number": number, "entry": record.to_wire()}
        for name in self._replica.member_names:
            if name != self._replica.name:
                self._transport.send(name, message)
        self.when_held(record, lambda: self.acknowledge(self._replica.name, number))
        try:
            async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S):
                await acknowledged.wait()
            return True
        except TimeoutError:
            return False
        finally:
            del self._waiting[number]

    def when_held(self, record: InstanceRecord, callback: Callable[[], None]) -> None:
        """Call `callback` once this controller holds a record that was added to its registry."""
        if not record.is_departing:
            callback()
            return
        self._snapshot.when_stored(record.id, callback)

    def acknowledge(self, sender: str, number: Any) -> None:
        """Record that a member holds the record with this number."""
        waiting = self._waiting.get(number) if isinstance(number, int) else None
        if waiting is None:
            return
        holders, acknowledged = waiting
        holders.add(sender)
        if self._replica.replica_set.quorum(holders):
            acknowledged.set()

"""Preserves the registry of instances across a restart of all controllers.

The snapshot is an optimization: without it, heartbeats refill the registry. It is therefore written
only to this controller's store, beside the replica's records, and nothing waits for the write.
"""

import asyncio
import json
from typing import Any

from umbermoor.gateway.discovery.registry import (
    InstanceRecord,
    InstanceRegistry,
    record_from_wire,
)
from umbermoor.gateway.server.replica_host import ReplicaHost
from umbermoor.gateway.units import SECOND

INSTANCES_KEY = "machines"  # key of the snapshot in the store
MIN_WRITE_INTERVAL = SECOND
STALE = -1  # differs from every sequence number of a registry


def decode_snapshot(stored: bytes) -> list[InstanceRecord]:
    """Return the records in a stored snapshot, without malformed ones."""
    records = map(record_from_wire, json.loads(stored))
    return [record for record in records if record is not None]


class RegistrySnapshot:
    """Writes snapshots of one registry to the store."""

    def __init__(self, registry: InstanceRegistry, host: ReplicaHost) -> None:
        self._registry, self._host = registry, host
        self._sequence = registry.durable_sequence  # of the last written snapshot
        self._written_at = 0
        self._writing = False

    def write_again(self) -> None:
        """Have the next tick write the snapshot again, as the stored one is damaged."""
        self._sequence = STALE

    def tick(self, now: int) -> None:
        """Write a snapshot if the durable state of the registry has changed."""
        unchanged = self._registry.durable_sequence == self._sequence
        if self._writing or unchanged or now - self._written_at < MIN_WRITE_INTERVAL:
            return
        self._writing = True
        self._sequence, self._written_at = self._registry.durable_sequence, now
        snapshot = json.dumps(self._registry.snapshot(), separators=(",", ":")).encode()
        write_future = asyncio.get_running_loop().run_in_executor(
            self._host.disk, self._host.store.write, {INSTANCES_KEY: snapshot}
        )
        write_future.add_done_callback(self._written)

    def _written(self, _: Any) -> None:
        self._writing = False

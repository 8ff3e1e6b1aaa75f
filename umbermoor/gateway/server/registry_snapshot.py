"""Keeps the registry of instances over a restart of all controllers.

The snapshot is a convenience: lost, the registry is refilled by heartbeats. So it is written to
this controller's store only, beside the replica's records, and nobody waits for it.
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

INSTANCES_KEY = "machines"  # in the store
MIN_WRITE_INTERVAL = SECOND
STALE = -1  # no sequence number of a registry


def decode_snapshot(stored: bytes) -> list[InstanceRecord]:
    """The records in a stored snapshot; malformed ones are left out."""
    records = map(record_from_wire, json.loads(stored))
    return [record for record in records if record is not None]


class RegistrySnapshot:
    """The stored snapshot of one registry."""

    def __init__(self, registry: InstanceRegistry, host: ReplicaHost) -> None:
        self._registry, self._host = registry, host
        self._sequence = registry.durable_sequence  # of the registry, as it was written
        self._written_at = 0
        self._writing = False

    def write_again(self) -> None:
        """The stored snapshot is damaged."""
        self._sequence = STALE

    def tick(self, now: int) -> None:
        """Writes the snapshot if something changed that is worth keeping."""
        unchanged = self._registry.durable_sequence == self._sequence
        if self._writing or unchanged or now - self._written_at < MIN_WRITE_INTERVAL:
            return
        self._writing = True
        self._sequence, self._written_at = self._registry.durable_sequence, now
        snapshot = json.dumps(self._registry.snapshot(), separators=(",", ":")).encode()
        writing = asyncio.get_running_loop().run_in_executor(
            self._host.disk, self._host.store.write, {INSTANCES_KEY: snapshot}
        )
        writing.add_done_callback(self._written)

    def _written(self, _: Any) -> None:
        self._writing = False

"""Preserves the registry of instances across a restart of all controllers.

The snapshot is written to this controller's store, beside the replica's records. For instances that
run it is an optimization: their heartbeats would refill the registry. The departure of an instance
is not repeated, so its acknowledgement waits until the snapshot with it is synced (`stored`).
"""

import asyncio
import json
from dataclasses import dataclass

from umbermoor.gateway.discovery.registry import (
    InstanceRecord,
    InstanceRegistry,
    record_from_wire,
)
from umbermoor.gateway.server.replica_host import ReplicaHost
from umbermoor.gateway.units import SECOND

INSTANCES_KEY = "machines"  # key of the snapshot in the store
MIN_WRITE_INTERVAL = SECOND  # between two writes that nothing waits for
STALE = -1  # below every sequence number of a registry


def decode_snapshot(stored: bytes) -> list[InstanceRecord]:
    """Return the records in a stored snapshot, without malformed ones."""
    records = map(record_from_wire, json.loads(stored))
    return [record for record in records if record is not None]


@dataclass(frozen=True, slots=True)
class _Waiter:
    sequence: int  # that the snapshot must include
    stored: "asyncio.Future[None]"


class RegistrySnapshot:
    """Writes snapshots of one registry to the store, one at a time."""

    def __init__(self, registry: InstanceRegistry, host: ReplicaHost) -> None:
        self._registry, self._host = registry, host
        self._stored_sequence = registry.durable_sequence  # of the last snapshot that was synced
        self._writing_sequence: int | None = None  # of the snapshot being written
        self._written_at = 0
        self._waiters: list[_Waiter] = []

    @property
    def waiting(self) -> int:
        """The number of departures whose acknowledgement waits for this disk."""
        return len(self._waiters)

    def write_again(self) -> None:
        """Have the next tick write the snapshot again, as the stored one is damaged."""
        self._stored_sequence = STALE

    def stored(self, id: str) -> "asyncio.Future[None]":
        """Return a future that is done once the state of an instance's record is synced.

        Records that change while a snapshot is written share the next one. A refused write is
        repeated, so the future may wait for long; it is cancelled if there is no such record.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        sequence = self._registry.durable_sequence_of(id)
        if sequence is None:
            future.cancel()
        elif sequence <= self._stored_sequence:
            future.set_result(None)
        else:
            self._waiters.append(_Waiter(sequence, future))
            self._write()
        return future

    def tick(self, now: int) -> None:
        """Write a snapshot if the durable state of the registry has changed, or one is awaited."""
        if self._registry.durable_sequence == self._stored_sequence:
            return
        if self._waiters or now - self._written_at >= MIN_WRITE_INTERVAL:
            self._written_at = now
            self._write()

    def _write(self) -> None:
        if self._writing_sequence is not None:
            return
        snapshot = json.dumps(self._registry.snapshot(), separators=(",", ":")).encode()
        write = self._host.write_beside({INSTANCES_KEY: snapshot})
        if write is not None:
            self._writing_sequence = self._registry.durable_sequence
            write.add_done_callback(lambda written: self._write_ended(written.result()))

    def _write_ended(self, synced: bool) -> None:
        """Note the end of a write; the next tick repeats one that was refused."""
        sequence, self._writing_sequence = self._writing_sequence, None
        if not synced or sequence is None:
            return
        self._stored_sequence = sequence
        self._waiters = [waiter for waiter in self._waiters if not waiter.stored.done()]
        for waiter in self._waiters:
            if waiter.sequence <= sequence:
                waiter.stored.set_result(None)
        self._waiters = [waiter for waiter in self._waiters if not waiter.stored.done()]
        if self._waiters:
            self._write()

"""Preserves the registry of instances across a restart of all controllers.

The snapshot is written to this controller's store, beside the replica's records. For instances that
run it is an optimization: their heartbeats would refill the registry. The departure of an instance
is not repeated, so its acknowledgement waits until the snapshot with it is synced.
"""

import json
from collections.abc import Callable
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
    callback: Callable[[], None]


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

    def when_stored(self, id: str, callback: Callable[[], None]) -> None:
        """Call `callback` once the state of an instance's record is synced; never without a record.

        Records that change while a snapshot is written share the next one. A refused write is
        repeated, so the call may come late.
        """
        sequence = self._registry.durable_sequence_of(id)
        if sequence is None:
            return
        if sequence <= self._stored_sequence:
            callback()
            return
        self._waiters.append(_Waiter(sequence, callback))
        self._write()

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
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if waiter.sequence > sequence:
                self._waiters.append(waiter)
            else:
                waiter.callback()
        if self._waiters:
            self._write()

"""The instances known to one controller, from heartbeats and from updates of other controllers.

Records merge without a clock: the later sample wins, and the states draining and gone are final for
an incarnation of an instance. Every change gets the next sequence number of the registry, so a
reader can request the changes after the last number that it has received.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

# States of a record. Of two records with the same sample, the one with the higher state wins.
READY, SILENT, DRAINING, GONE = range(4)
STATE_NAMES = "ready", "silent", "draining", "gone"  # as shown to operators
HEARTBEAT_STATES = {"ready": READY, "draining": DRAINING}  # as named in heartbeats
SILENT_AFTER_PERIODS = 3.4  # an instance is silent after so many periods without a heartbeat
# After a disconnection a controller drops the records of instances that it has received nothing
# about for this long.
STALE_AFTER_US = 30_000_000
# How long the record of a departed instance is kept: longer than any update about it can be in
# transit.
TOMBSTONE_RETENTION_US = 40_000_000
MAX_RECORDS = 20_000
MAX_FIELD_LENGTH = 200  # characters
MAX_PORT = 65535
MAX_NUMBER = 1e15
MICROSECONDS_PER_SECOND = 1e6


@dataclass(slots=True, frozen=True)
class InstanceRecord:
    """One incarnation of an instance, as its heartbeats describe it."""

    id: str
    service: str
    address: str  # ip:port
    zone: str
    revision: str  # the version of the service that it runs
    capacity: int  # maximum number of concurrent requests
    state: int  # READY, SILENT, DRAINING or GONE
    warmup_us: int  # remaining warm-up time when this sample was sent
    sample: int  # sequence number that rises with each heartbeat

    @property
    def is_departing(self) -> bool:
        """Whether the instance drains or has left; neither is ever withdrawn."""
        return self.state >= DRAINING

    def to_wire(self) -> list[Any]:
        """Return the record in the form that controllers send to each other and to proxies."""
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.revision,
            self.capacity,
            self.state,
            self.warmup_us,
            self.sample,
        ]


WIRE_TYPES = str, str, str, str, str, int, int, int, int


def record_from_wire(value: Any) -> InstanceRecord | None:
    """Decode the result of `InstanceRecord.to_wire`; return None if it is malformed."""
    if (
        not isinstance(value, list)
        or len(value) != len(WIRE_TYPES)
        or not all(map(isinstance, value, WIRE_TYPES))
    ):
        return None
    return InstanceRecord(*value)


def record_from_heartbeat(id: str, body: Any) -> InstanceRecord | str:
    """Decode the JSON body of an instance's heartbeat.

    Returns:
        The record, or a line that describes the first error in the body.
    """
    if not isinstance(body, dict):
        return "a beat is a table"
    for key in ("service", "address", "zone", "revision"):
        if not isinstance(body.get(key), str) or not 0 < len(body[key]) <= MAX_FIELD_LENGTH:
            return f"{key}: a text is missing"
    if not _is_address(body["address"]):
        return "address: not of the form ip:port"
    if not isinstance(body.get("state"), str) or body["state"] not in HEARTBEAT_STATES:
        return "state: neither ready nor draining"
    numbers = [body.get(key, 0) for key in ("capacity", "warmupLeftS", "sample")]
    if not all(map(_is_number, numbers)):
        return "capacity, warmupLeftS, sample: not numbers from 0 on"
    capacity, warmup_s, sample = numbers
    return InstanceRecord(
        id,
        body["service"],
        body["address"],
        body["zone"],
        body["revision"],
        max(1, int(capacity)),
        HEARTBEAT_STATES[body["state"]],
        round(warmup_s * MICROSECONDS_PER_SECOND),
        int(sample),
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT


def _is_number(value: Any) -> bool:
    return (
        isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < MAX_NUMBER
    )


def superseding(old: InstanceRecord | None, new: InstanceRecord) -> InstanceRecord | None:
    """Return the join of two records of one instance, or None if that is the old record."""
    if old is None:
        return new
    if old.state == GONE:
        return None
    if new.state == GONE:
        return replace(old, state=GONE, sample=max(old.sample, new.sample))
    if old.state == DRAINING:  # a draining incarnation never becomes ready again
        return replace(new, state=DRAINING) if new.sample > old.sample else None
    if new.state == DRAINING:
        return new if new.sample >= old.sample else replace(old, state=DRAINING)
    return new if (new.sample, new.state) > (old.sample, old.state) else None


class InstanceRegistry:
    """The records of one controller, by instance id.

    Attributes:
        incarnation: Distinguishes this registry's sequence numbers from those of earlier processes.
        sequence: The sequence number of the newest change.
        urgent_sequence: The number of the newest change that must be published immediately.
        durable_sequence: The number of the newest change that should survive a restart.
    """

    def __init__(self, incarnation: int, heartbeat_period_us: int) -> None:
        self.incarnation, self._heartbeat_period_us = incarnation, heartbeat_period_us
        self.sequence = self.urgent_sequence = self.durable_sequence = 0
        self.records: dict[str, InstanceRecord] = {}
        self._sequences: dict[str, int] = {}  # sequence number of each record's last change
        # Sequence number of the last change of each record that should survive a restart
        self._durable_sequences: dict[str, int] = {}
        self._changed_at: dict[str, int] = {}  # when each record last changed in this registry (us)
        self._connected_since: int | None = None

    def observe(self, now: int, record: InstanceRecord) -> bool:
        """Merge a record from a heartbeat or a controller; return whether it had an effect."""
        old = self.records.get(record.id)
        merged = superseding(old, record)
        if merged is None or (old is None and len(self.records) >= MAX_RECORDS):
            return False
        self.records[record.id] = merged
        self.sequence += 1
        self._sequences[record.id], self._changed_at[record.id] = self.sequence, now
        if old is None or (old.state, old.address, old.service) != (
            merged.state,
            merged.address,
            merged.service,
        ):
            self.urgent_sequence = self.durable_sequence = self.sequence
            self._durable_sequences[record.id] = self.sequence
        return True

    def snapshot(self) -> list[list[Any]]:
        """Return the records that a restarted controller begins with.

        Heartbeats correct what has changed since about an instance that still sends them. One that
        has left sends none, so its tombstone is part of the snapshot.
        """
        return [record.to_wire() for record in self.records.values()]

    def durable_sequence_of(self, id: str) -> int | None:
        """Return the number of an instance's last durable change; None if it has no record."""
        return self._durable_sequences.get(id)

    def mark_gone(self, now: int, id: str) -> InstanceRecord:
        """Record that an instance announced its departure; return the record to publish."""
        old = self.records.get(id)
        gone = (
            replace(old, state=GONE) if old else InstanceRecord(id, "", "", "", "", 1, GONE, 0, 0)
        )
        self.observe(now, gone)
        return gone

    def last_changed_at(self, id: str) -> int:
        """Return when the record of a known instance last changed here, in microseconds."""
        return self._changed_at[id]

    def changes_after(self, sequence: int) -> list[list[Any]]:
        """Return the records that changed after a sequence number, newest last, in wire form."""
        changed = [(at, id) for id, at in self._sequences.items() if at > sequence]
        return [self.records[id].to_wire() for _, id in sorted(changed)]

    def tick(self, now: int, connected: bool) -> None:
        """Mark instances without heartbeats as silent, and remove old records.

        An instance becomes silent only while this controller is connected to a majority: a
        disconnected controller does not receive the heartbeats that the other controllers accept.
        """
        if not connected:
            self._connected_since = None
            return
        if self._connected_since is None:
            self._connected_since = now
            self._forget_stale(now)
        silent_after_us = round(SILENT_AFTER_PERIODS * self._heartbeat_period_us)
        for id, changed_at in list(self._changed_at.items()):
            record, unchanged_us = self.records[id], now - max(changed_at, self._connected_since)
            if record.state == READY and unchanged_us > silent_after_us:
                self.observe(now, replace(record, state=SILENT))
            elif record.state != READY and unchanged_us > TOMBSTONE_RETENTION_US:
                self._forget(id)

    def _forget_stale(self, now: int) -> None:
        """Remove old records: other controllers may already have dropped their tombstones."""
        for id, changed_at in list(self._changed_at.items()):
            if now - changed_at > STALE_AFTER_US and self.records[id].state < DRAINING:
                self._forget(id)

    def _forget(self, id: str) -> None:
        del self.records[id], self._sequences[id], self._changed_at[id]
        del self._durable_sequences[id]


def merge_records(
    records: Iterable[InstanceRecord], table: dict[str, InstanceRecord]
) -> list[InstanceRecord]:
    """Merge records into a table; return the merged records that changed it."""
    changed = []
    for record in records:
        merged = superseding(table.get(record.id), record)
        if merged is not None:
            table[record.id] = merged
            changed.append(merged)
    return changed

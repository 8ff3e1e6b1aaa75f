"""The instances that one controller knows, from heartbeats and from what other controllers sent.

Records merge without a clock: a later sample wins, and draining or leaving stands for that
incarnation of the instance. Every change gets the next sequence number of this registry, so a
reader asks for what came after the number it holds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

# States of a record; of two records with one sample the one with the higher state wins.
READY, SILENT, DRAINING, GONE = range(4)
STATE_NAMES = "ready", "silent", "draining", "gone"  # as operators read them
HEARTBEAT_STATES = {"ready": READY, "draining": DRAINING}  # as a heartbeat names them
SILENT_AFTER_PERIODS = 3.4  # heartbeat periods without a heartbeat until an instance is silent
# A controller that was cut off publishes nothing that it has not heard of for so long.
STALE_AFTER_US = 30_000_000
# How long a departed instance is remembered: longer than any update about it is under way.
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
    capacity: int  # requests at a time
    state: int  # READY, SILENT, DRAINING or GONE
    warmup_us: int  # how much longer it was warming up when this sample was sent
    sample: int  # rises with each heartbeat

    def to_wire(self) -> list[Any]:
        """The record as controllers send it to each other and to proxies."""
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
    """Decodes what `InstanceRecord.to_wire` made; None if it is malformed."""
    if (
        not isinstance(value, list)
        or len(value) != len(WIRE_TYPES)
        or not all(map(isinstance, value, WIRE_TYPES))
    ):
        return None
    return InstanceRecord(*value)


def record_from_heartbeat(id: str, body: Any) -> InstanceRecord | str:
    """Decodes the JSON body of an instance's heartbeat; returns a line that names what is wrong."""
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
    """The join of two records of one instance; None where that is the old one."""
    if old is None:
        return new
    if old.state == GONE:
        return None
    if new.state == GONE:
        return replace(old, state=GONE, sample=max(old.sample, new.sample))
    if old.state == DRAINING:  # an incarnation that drains does not become ready again
        return replace(new, state=DRAINING) if new.sample > old.sample else None
    if new.state == DRAINING:
        return new if new.sample >= old.sample else replace(old, state=DRAINING)
    return new if (new.sample, new.state) > (old.sample, old.state) else None


class InstanceRegistry:
    """The records of one controller, by instance id.

    Attributes:
        incarnation: tells this registry's sequence numbers from those of an earlier process.
        sequence: number of the newest change.
        urgent_sequence: number of the newest change that is to be published at once.
        durable_sequence: number of the newest change worth keeping over a restart.
    """

    def __init__(self, incarnation: int, heartbeat_period_us: int) -> None:
        self.incarnation, self._heartbeat_period_us = incarnation, heartbeat_period_us
        self.sequence = self.urgent_sequence = self.durable_sequence = 0
        self.records: dict[str, InstanceRecord] = {}
        self._sequences: dict[str, int] = {}  # of each record's last change
        self._changed_at: dict[str, int] = {}  # when each record last changed here (us)
        self._connected_since: int | None = None

    def observe(self, now: int, record: InstanceRecord) -> bool:
        """Takes a record of a heartbeat or of another controller; whether it changed anything."""
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
        return True

    def snapshot(self) -> list[list[Any]]:
        """What a controller that starts again begins with: the records of those not gone.

        Heartbeats correct what has changed since.
        """
        return [record.to_wire() for record in self.records.values() if record.state != GONE]

    def mark_gone(self, now: int, id: str) -> InstanceRecord:
        """Notes that an instance said that it leaves; returns what is to be told of it."""
        old = self.records.get(id)
        gone = (
            replace(old, state=GONE) if old else InstanceRecord(id, "", "", "", "", 1, GONE, 0, 0)
        )
        self.observe(now, gone)
        return gone

    def last_changed_at(self, id: str) -> int:
        """When the record of a known instance last changed here, in microseconds."""
        return self._changed_at[id]

    def changes_after(self, sequence: int) -> list[list[Any]]:
        """The records that changed after that sequence number, the newest last, for the wire."""
        changed = [(at, id) for id, at in self._sequences.items() if at > sequence]
        return [self.records[id].to_wire() for _, id in sorted(changed)]

    def tick(self, now: int, connected: bool) -> None:
        """Marks instances as silent and forgets old ones.

        Silence counts only while this controller is connected to a majority: one that is cut off
        does not hear the heartbeats that the others take.
        """
        if not connected:
            self._connected_since = None
            return
        if self._connected_since is None:
            self._connected_since = now
            self._forget_stale(now)
        silent_after = round(SILENT_AFTER_PERIODS * self._heartbeat_period_us)
        for id, changed_at in list(self._changed_at.items()):
            record, quiet = self.records[id], now - max(changed_at, self._connected_since)
            if record.state == READY and quiet > silent_after:
                self.observe(now, replace(record, state=SILENT))
            elif record.state != READY and quiet > TOMBSTONE_RETENTION_US:
                self._forget(id)

    def _forget_stale(self, now: int) -> None:
        """The others may have forgotten by now that such an instance is gone."""
        for id, changed_at in list(self._changed_at.items()):
            if now - changed_at > STALE_AFTER_US and self.records[id].state < DRAINING:
                self._forget(id)

    def _forget(self, id: str) -> None:
        del self.records[id], self._sequences[id], self._changed_at[id]


def merge_records(
    records: Iterable[InstanceRecord], table: dict[str, InstanceRecord]
) -> list[InstanceRecord]:
    """Merges records into a table; returns those that changed it, as they now are."""
    changed = []
    for record in records:
        merged = superseding(table.get(record.id), record)
        if merged is not None:
            table[record.id] = merged
            changed.append(merged)
    return changed

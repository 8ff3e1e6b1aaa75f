"""The keys and JSON contents of the records that a replica keeps on its disk.

This module alone reads and builds them. Records returned by one function must be written together,
all or none; `store` stores them. See docs/storage.md.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass

from umbermoor.gateway.effects import JsonValue
from umbermoor.gateway.replication.errors import InconsistentStateError
from umbermoor.gateway.replication.replica_set import (
    NO_MEMBERS,
    EpochSet,
    ReplicaSet,
    initial_replica_set,
)
from umbermoor.gateway.replication.view import Version, View

Records = dict[str, bytes | None]  # None removes the record

MEMBERS = "members"  # names of the replica set; during a change, of both sets
SYSTEM = "system"  # number drawn when the system was founded
# Set of the view accepted last; epoch and set of the newest view known to be active.
REPLICA_SETS = "sets"
ZONES = "zones"  # zones of the other members, as last received
PROMISE = "promise"  # the highest epoch promised
VIEW = "view"  # the view accepted last
VERSION = "version"  # version of the map
LEARNER_VERSION = "learner"  # version of a learner's map
VALUE_PREFIX = "state/"  # followed by a key of the map


def json_bytes(value: object) -> bytes:
    """Encode a value as compact JSON. Raises TypeError, ValueError and RecursionError."""
    return json.dumps(value, separators=(",", ":")).encode()


@dataclass(frozen=True, slots=True)
class StoredState:
    """The state read from disk when the process started."""

    members: tuple[str, ...]  # () if the replica was neither founded nor given the state
    accepted_set: EpochSet
    proven_set: EpochSet
    zones: dict[str, str]
    promise: int
    view: View
    last_sequence: int
    values: dict[str, JsonValue]


def load(records: Mapping[str, bytes]) -> StoredState:
    """Parse the records.

    Raises:
        InconsistentStateError: The epoch of the map's version is not that of the accepted view.
    """
    members = tuple(json.loads(records.get(MEMBERS, b"[]")))
    epoch, chain = json.loads(records.get(VIEW, b"[0,[]]"))
    version = json.loads(records.get(VERSION, b"[0,0]"))
    if version[0] != epoch:
        raise InconsistentStateError(version[0], epoch)
    first = (
        initial_replica_set(members, json.loads(records.get(SYSTEM, b"0")))
        if members
        else NO_MEMBERS
    )
    sets = json.loads(records.get(REPLICA_SETS, b"null")) or [None, 0, None]
    return StoredState(
        members=members,
        accepted_set=EpochSet(epoch, ReplicaSet.from_json(sets[0]) if sets[0] else first),
        proven_set=EpochSet.from_json(sets[1:]) if sets[2] else EpochSet(0, first),
        zones=json.loads(records.get(ZONES, b"{}")),
        promise=json.loads(records.get(PROMISE, b"0")),
        view=View(epoch, tuple(chain)),
        last_sequence=version[1],
        values={
            key.removeprefix(VALUE_PREFIX): json.loads(value)
            for key, value in records.items()
            if key.startswith(VALUE_PREFIX)
        },
    )


def value_record(key: str, value: JsonValue) -> Records:
    """Return the record of a value of the map; None removes it."""
    return {VALUE_PREFIX + key: None if value is None else json_bytes(value)}


def version_record(version: Version) -> Records:
    """Return the record of the map's version."""
    return {VERSION: json_bytes(version)}


def learner_version_record(version: Version) -> Records:
    """Return the record of the version of a learner's map."""
    return {LEARNER_VERSION: json_bytes(version)}


def promise_record(epoch: int) -> Records:
    """Return the record of the highest epoch promised."""
    return {PROMISE: json_bytes(epoch)}


def view_records(view: View) -> Records:
    """Return the records of an accepted view.

    Accepting a view also promises its epoch; its map begins at sequence number 0.
    """
    return {
        **promise_record(view.epoch),
        VIEW: json_bytes(view),
        **version_record((view.epoch, 0)),
    }


def founding_records(members: tuple[str, ...], system: int) -> Records:
    """Return the records of a founded system and its members."""
    return {MEMBERS: json_bytes(members), SYSTEM: json_bytes(system)}


def founding_removal_records() -> Records:
    """Return the records that remove a founding that failed."""
    return {MEMBERS: None, SYSTEM: None}


def replica_set_records(
    accepted: ReplicaSet, proven: EpochSet, names: tuple[str, ...], zones: Mapping[str, str]
) -> Records:
    """Return the records of the replica sets, member names and zones that a replica knows."""
    sets = [accepted.to_json(), proven.epoch, proven.replica_set.to_json()]
    return {
        REPLICA_SETS: json_bytes(sets),
        MEMBERS: json_bytes(names),
        **zones_record(zones),
    }


def zones_record(zones: Mapping[str, str]) -> Records:
    """Return the record of the zones of the other members."""
    return {ZONES: json_bytes(zones)}

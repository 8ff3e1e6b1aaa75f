"""Snapshot that a front keeps over a restart: its format, and which parts may still be used.

`write` replaces the file atomically and `load` reads it whole; the rest does no I/O.

    "UMSNAP" version:u8 length:u32 crc32:u32, then JSON
"""

from typing import Any, NamedTuple

import orjson

from umbermoor.front.sealed_files import UnusableFile, read_file, replace_file, sealed, unsealed

MAGIC, VERSION = b"UMSNAP", 1
MAX_BYTES = 4 << 20
MAX_AGE = 600_000_000  # microseconds; an older snapshot is not used at all
MAX_SPEEDS_AGE = 120_000_000  # microseconds after which the machines may have been replaced


class MachineSnapshot(NamedTuple):
    """Estimates for one machine: response time, work ahead, usual gap, failures."""

    machine: str
    build: int
    born: int
    took: float
    work: float
    gap: float
    fails: float


class Snapshot(NamedTuple):
    """What a front keeps; the field names are the keys of the stored JSON."""

    at: int  # microseconds since 1970
    name: str  # of the front
    fleet: str  # digest of the settings: a snapshot of another fleet is not used
    took: float  # `took`, `work` and `carried` are averages of the fleet
    work: float
    carried: float
    usual: tuple[float, ...]
    machines: tuple[MachineSnapshot, ...]


def pack(snapshot: Snapshot) -> bytes:
    """Serialize a snapshot."""
    return sealed(
        MAGIC,
        VERSION,
        orjson.dumps({**snapshot._asdict(), "machines": [list(one) for one in snapshot.machines]}),
    )


def unpack(data: bytes) -> Snapshot | UnusableFile:
    """Parse a serialized snapshot."""
    opened = unsealed(MAGIC, (VERSION,), data)
    if isinstance(opened, UnusableFile):
        return opened
    body = opened[1]
    try:
        given: dict[str, Any] = orjson.loads(body)
        machines = tuple(MachineSnapshot(*one) for one in given.pop("machines"))
        snapshot = Snapshot(**given, machines=machines)
        return snapshot._replace(
            usual=tuple(map(float, snapshot.usual)), at=int(snapshot.at), name=str(snapshot.name)
        )
    except (orjson.JSONDecodeError, TypeError, ValueError, KeyError) as error:
        return UnusableFile(f"cannot be read: {type(error).__name__}")


def find_mismatch(snapshot: Snapshot, now: int, name: str, fleet: str) -> UnusableFile | None:
    """Return why the snapshot must not be used by front `name` now, or None if it may."""
    if snapshot.name != name:
        return UnusableFile(f"belongs to front {snapshot.name!r}")
    if snapshot.fleet != fleet:
        return UnusableFile("belongs to a fleet with other settings")
    if not 0 <= now - snapshot.at <= MAX_AGE:
        return UnusableFile(
            f"is {(now - snapshot.at) / 1e6:.0f} s old"
            if now > snapshot.at
            else "is from the future"
        )
    return None


def usable_machines(
    snapshot: Snapshot, now: int, listed: dict[str, tuple[int, int]]
) -> list[MachineSnapshot]:
    """Return the machines that are still listed with the same build and start time.

    Args:
        memory: the snapshot; if it is too old, no machine of it is used.
        now: microseconds since 1970.
        listed: build and start time of each listed machine, by name.
    """
    if now - snapshot.at > MAX_SPEEDS_AGE:
        return []
    return [one for one in snapshot.machines if listed.get(one.machine) == (one.build, one.born)]


def write(path: str, snapshot: Snapshot) -> int:
    """Replace the file atomically. Raises OSError."""
    return replace_file(path, pack(snapshot))


def load(path: str) -> Snapshot | UnusableFile | None:
    """Return the stored snapshot, or None if there is no file."""
    data = read_file(path, MAX_BYTES)
    return unpack(data) if isinstance(data, bytes) else data

"""What a front remembers over a restart: its form, and what of it may be used. Without I/O but for
``write`` and ``load``,
which replace the file in one step and read it whole.

    "UMSNAP" version:u8 length:u32 crc32:u32, then JSON
"""

from typing import Any, NamedTuple

import orjson

from umbermoor.front.sealed_files import UnusableFile, read_file, replace_file, sealed, unsealed

MAGIC, VERSION = b"UMSNAP", 1
MAX_BYTES = 4 << 20
MAX_AGE = 600_000_000  # microseconds after which nothing of it is of use
MAX_SPEEDS_AGE = 120_000_000  # and after which machines may have become others


class MachineSnapshot(NamedTuple):
    """Of one machine: answer times, work ahead of them, usual silence, failures."""

    machine: str
    build: int
    born: int
    took: float
    work: float
    gap: float
    fails: float


class Snapshot(NamedTuple):
    at: int  # microseconds since 1970
    name: str  # of the front
    fleet: str  # what the settings say, as a sum: of another fleet nothing is taken
    took: float  # the fleet's usual ones
    work: float
    carried: float
    usual: tuple[float, ...]
    machines: tuple[MachineSnapshot, ...]


def pack(memory: Snapshot) -> bytes:
    return sealed(
        MAGIC,
        VERSION,
        orjson.dumps({**memory._asdict(), "machines": [list(one) for one in memory.machines]}),
    )


def unpack(data: bytes) -> Snapshot | UnusableFile:
    opened = unsealed(MAGIC, (VERSION,), data)
    if isinstance(opened, UnusableFile):
        return opened
    body = opened[1]
    try:
        given: dict[str, Any] = orjson.loads(body)
        machines = tuple(MachineSnapshot(*one) for one in given.pop("machines"))
        memory = Snapshot(**given, machines=machines)
        return memory._replace(
            usual=tuple(map(float, memory.usual)), at=int(memory.at), name=str(memory.name)
        )
    except (orjson.JSONDecodeError, TypeError, ValueError, KeyError) as error:
        return UnusableFile(f"cannot be read: {type(error).__name__}")


def find_mismatch(memory: Snapshot, now: int, name: str, fleet: str) -> UnusableFile | None:
    """Whether it may be used; what is wrong with it."""
    if memory.name != name:
        return UnusableFile(f"is of front {memory.name!r}")
    if memory.fleet != fleet:
        return UnusableFile("is of a fleet with other settings")
    if not 0 <= now - memory.at <= MAX_AGE:
        return UnusableFile(
            f"is {(now - memory.at) / 1e6:.0f} s old" if now > memory.at else "is of the future"
        )
    return None


def usable_machines(
    memory: Snapshot, now: int, listed: dict[str, tuple[int, int]]
) -> list[MachineSnapshot]:
    """Of the machines, those that are listed now with the same build and start, if it is not too
    old for that."""
    if now - memory.at > MAX_SPEEDS_AGE:
        return []
    return [one for one in memory.machines if listed.get(one.machine) == (one.build, one.born)]


def write(path: str, memory: Snapshot) -> int:
    """Replaces the file whole. Raises OSError."""
    return replace_file(path, pack(memory))


def load(path: str) -> Snapshot | UnusableFile | None:
    """None where there is none."""
    data = read_file(path, MAX_BYTES)
    return unpack(data) if isinstance(data, bytes) else data

"""Stores the last good machine list in a file, for a front that starts while all sources fail."""

from typing import NamedTuple

import orjson

from umbermoor.front.interface import Readiness
from umbermoor.front.membership.sources import SeenMachine
from umbermoor.front.sealed_files import UnusableFile, read_file, replace_file, sealed, unsealed

MAGIC, VERSION = b"UMLIST", 1


class SavedList(NamedTuple):
    """A machine list and the time it was saved."""

    at: int  # microseconds since 1970
    seen: tuple[SeenMachine, ...]


def pack(saved: SavedList) -> bytes:
    """Serialize a list."""
    rows = [
        [
            one.name,
            *one.address,
            int(one.readiness),
            one.build,
            one.born,
            one.zone,
            one.cell,
            one.weight,
        ]
        for one in saved.seen
    ]
    return sealed(MAGIC, VERSION, orjson.dumps({"at": saved.at, "rows": rows}))


def unpack(data: bytes) -> SavedList | UnusableFile:
    """Parse a serialized list."""
    opened = unsealed(MAGIC, (VERSION,), data)
    if isinstance(opened, UnusableFile):
        return opened
    try:
        given = orjson.loads(opened[1])
        seen = tuple(
            SeenMachine(str(name), (str(host), int(port)), Readiness(ready), *facts)
            for name, host, port, ready, *facts in given["rows"]
        )
        return SavedList(int(given["at"]), seen)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        return UnusableFile(f"cannot be read: {type(error).__name__}")


def save(path: str, saved: SavedList) -> int:
    """Replace the file atomically. Raises OSError."""
    return replace_file(path, pack(saved))


def load(path: str, now: int, keep: int) -> SavedList | UnusableFile | None:
    """Return the stored list, or None if there is no file.

    Args:
        path: path of the file.
        now: microseconds since 1970.
        keep: age in microseconds beyond which the list is not used.
    """
    data = read_file(path)
    if not isinstance(data, bytes):
        return data
    saved = unpack(data)
    if isinstance(saved, SavedList) and not 0 <= now - saved.at <= keep:
        return UnusableFile(
            f"is {(now - saved.at) / 1e6:.0f} s old, over {keep / 1e6:.0f}"
            if now > saved.at
            else "is from the future"
        )
    return saved

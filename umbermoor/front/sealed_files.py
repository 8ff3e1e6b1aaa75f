"""Small files that outlive a front: sealed with a version and a checksum, replaced in one step. A
file that is torn, garbled
or of another program is named, and never used in part."""

import os
import zlib
from struct import Struct
from typing import NamedTuple

_HEAD = Struct("<6sBII")
MOST = 64 << 20


class UnusableFile(NamedTuple):
    why: str


def sealed(magic: bytes, version: int, body: bytes) -> bytes:
    return _HEAD.pack(magic, version, len(body), zlib.crc32(body)) + body


def unsealed(
    magic: bytes, versions: tuple[int, ...], data: bytes
) -> tuple[int, bytes] | UnusableFile:
    """The version and what it holds."""
    if len(data) < _HEAD.size:
        return UnusableFile("ends within its head")
    found, version, length, checksum = _HEAD.unpack_from(data)
    if found != magic:
        return UnusableFile("is of another kind")
    if version not in versions:
        return UnusableFile(
            f"is of version {version}; this program reads {', '.join(map(str, versions))}"
        )
    body = data[_HEAD.size :]
    if len(body) != length or zlib.crc32(body) != checksum:
        return UnusableFile("is torn or garbled")
    return version, body


def replace_file(path: str, data: bytes) -> int:
    """Who is killed meanwhile leaves the old file, or the new one. Raises OSError."""
    part = path + ".part"
    with open(part, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
    return len(data)


def read_file(path: str, most: int = MOST) -> bytes | UnusableFile | None:
    """None where there is none."""
    try:
        if os.path.getsize(path) > most:
            return UnusableFile(f"is larger than {most} bytes")
        with open(path, "rb") as file:
            return file.read(most)
    except FileNotFoundError:
        return None
    except OSError as error:
        return UnusableFile(error.strerror or str(error))

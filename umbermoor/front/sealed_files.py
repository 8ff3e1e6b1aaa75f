"""Small files that outlive a front's process, with a version and a checksum, replaced atomically.

A file that is truncated, corrupt or of another program is reported and never used in part.
"""

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
    """Return the version and body, or why the data cannot be used."""
    if len(data) < _HEAD.size:
        return UnusableFile("ends within its header")
    found, version, length, checksum = _HEAD.unpack_from(data)
    if found != magic:
        return UnusableFile("is of another file type")
    if version not in versions:
        return UnusableFile(
            f"is of version {version}; this program reads {', '.join(map(str, versions))}"
        )
    body = data[_HEAD.size :]
    if len(body) != length or zlib.crc32(body) != checksum:
        return UnusableFile("is truncated or corrupt")
    return version, body


def replace_file(path: str, data: bytes) -> int:
    """Replace a file atomically: a crash leaves either the old or the new one.

    Returns:
        The number of bytes written.

    Raises:
        OSError: The file cannot be written.
    """
    part = path + ".part"
    with open(part, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
    return len(data)


def read_file(path: str, most: int = MOST) -> bytes | UnusableFile | None:
    """Return the content, None if the file does not exist, or why it cannot be used."""
    try:
        if os.path.getsize(path) > most:
            return UnusableFile(f"is larger than {most} bytes")
        with open(path, "rb") as file:
            return file.read(most)
    except FileNotFoundError:
        return None
    except OSError as error:
        return UnusableFile(error.strerror or str(error))

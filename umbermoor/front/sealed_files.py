"""Small files that outlive a front's process, with a version and a checksum, replaced atomically.

A file that is truncated, corrupt or of another program is reported and never used in part.
"""

import os
import zlib
from struct import Struct
from typing import NamedTuple

_HEADER = Struct("<6sBII")
MAX_BYTES = 64 << 20


class UnusableFile(NamedTuple):
    why: str


def sealed(magic: bytes, version: int, body: bytes) -> bytes:
    return _HEADER.pack(magic, version, len(body), zlib.crc32(body)) + body


def unsealed(
    magic: bytes, versions: tuple[int, ...], data: bytes
) -> tuple[int, bytes] | UnusableFile:
    """Return the version and body, or why the data cannot be used."""
    if len(data) < _HEADER.size:
        return UnusableFile("ends within its header")
    found, version, length, checksum = _HEADER.unpack_from(data)
    if found != magic:
        return UnusableFile("is of another file type")
    if version not in versions:
        return UnusableFile(
            f"is of version {version}; this program reads {', '.join(map(str, versions))}"
        )
    body = data[_HEADER.size :]
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


def read_file(path: str, max_bytes: int = MAX_BYTES) -> bytes | UnusableFile | None:
    """Return the content, None if the file does not exist, or why it cannot be used."""
    try:
        if os.path.getsize(path) > max_bytes:
            return UnusableFile(f"is larger than {max_bytes} bytes")
        with open(path, "rb") as file:
            return file.read(max_bytes)
    except FileNotFoundError:
        return None
    except OSError as error:
        return UnusableFile(error.strerror or str(error))

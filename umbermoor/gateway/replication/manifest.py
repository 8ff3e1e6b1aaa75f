"""How stored records prove themselves: a digest behind each value, and a manifest of them all.

The manifest holds the format, how many records there are, the sum of their digests, and the number
of the commit that wrote it, so that a record that is gone, or of another moment, is found too:
docs/storage.md.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import NamedTuple

from umbermoor.gateway.effects import UnsupportedFormatError
from umbermoor.gateway.replication.errors import DamagedRecordsError

FORMAT = 2  # 1: values alone, without digests or manifest; read, and written anew as 2
MANIFEST_KEY = b"\0manifest"
DIGEST_SIZE = 16  # bytes


class ProvenRecords(NamedTuple):
    """Records that hold together."""

    values: dict[bytes, bytes]
    digests: dict[bytes, int]  # of the records that are stored with a digest
    is_unformatted: bool  # of format 1: still to be written as this one's


def digest(key: bytes, value: bytes) -> bytes:
    """Of a record."""
    hashed = blake2b(len(key).to_bytes(2, "big") + key, digest_size=DIGEST_SIZE)
    hashed.update(value)
    return hashed.digest()


def seal(key: bytes, value: bytes) -> bytes:
    """The value with its digest behind it, as it is stored."""
    return value + digest(key, value)


def is_intact(key: bytes, sealed: bytes, expected: int) -> bool:
    """Whether a stored value is the one of that digest."""
    expected_digest = expected.to_bytes(DIGEST_SIZE, "big")
    value, stored_digest = sealed[:-DIGEST_SIZE], sealed[-DIGEST_SIZE:]
    return stored_digest == expected_digest == digest(key, value)


def digest_of(sealed: bytes) -> int:
    """The digest behind a stored value."""
    return int.from_bytes(sealed[-DIGEST_SIZE:], "big")


def make_manifest(digests: Mapping[bytes, int], commit: int) -> bytes:
    """What stands under MANIFEST_KEY beside records of these digests, written by that commit."""
    total = sum(digests.values()) % (1 << 8 * DIGEST_SIZE)
    fields = {
        "format": FORMAT,
        "txn": commit,
        "records": len(digests),
        "sum": f"{total:032x}",
    }
    return seal(MANIFEST_KEY, json.dumps(fields).encode())


def commit_of(manifest: bytes) -> int:
    """Which commit wrote that manifest; 0 if it is damaged."""
    return _field(manifest, "txn")


def _field(manifest: bytes, name: str) -> int:
    value = manifest[:-DIGEST_SIZE]
    if digest(MANIFEST_KEY, value) != manifest[-DIGEST_SIZE:]:
        return 0
    field: int = json.loads(value)[name]
    return field


def prove(path: str, records: Mapping[bytes, bytes], commit: int) -> ProvenRecords:
    """The records of the store at `path`, read in the state that `commit` left.

    Raises DamagedRecordsError; UnsupportedFormatError where a later revision wrote them.
    """
    stored = dict(records)
    manifest = stored.pop(MANIFEST_KEY, None)
    if manifest is None:
        return _prove_unformatted(stored)
    values, digests = {}, {}
    for key, sealed in stored.items():
        values[key] = sealed[:-DIGEST_SIZE]
        if digest(key, values[key]) != sealed[-DIGEST_SIZE:]:
            raise DamagedRecordsError(f"record {key!r} is not what was written")
        digests[key] = digest_of(sealed)
    stored_format = _field(manifest, "format")
    if stored_format > FORMAT:
        raise UnsupportedFormatError(
            f"{path}: format {stored_format}, and this revision reads up to {FORMAT}"
        )
    if manifest != make_manifest(digests, commit):
        raise DamagedRecordsError("records are missing, or of another moment")
    return ProvenRecords(values, digests, is_unformatted=False)


def _prove_unformatted(records: dict[bytes, bytes]) -> ProvenRecords:
    """Format 1, or nothing: all that can be said is that each value can be read."""
    for key, value in records.items():
        try:
            json.loads(value)
            key.decode()
        except ValueError:
            raise DamagedRecordsError(f"record {key!r} cannot be read") from None
    return ProvenRecords(records, {}, is_unformatted=True)

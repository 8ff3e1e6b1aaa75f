"""Verification of stored records: a digest after each value, and a manifest of all records.

The manifest holds the format, the number of records, the sum of their digests, and the number of
the commit that wrote it. It reveals records that are missing or that belong to another commit,
which the digests of single records cannot: docs/storage.md.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import NamedTuple

from umbermoor.gateway.effects import UnsupportedFormatError
from umbermoor.gateway.replication.errors import DamagedRecordsError

# Format 1 holds values without digests or a manifest. It is read, and rewritten as format 2.
FORMAT = 2
MANIFEST_KEY = b"\0manifest"
DIGEST_SIZE = 16  # bytes


class VerifiedRecords(NamedTuple):
    """Records that passed verification."""

    values: dict[bytes, bytes]
    digests: dict[bytes, int]  # empty for records of format 1, which are stored without digests
    is_format_1: bool  # the records are of format 1 and must be rewritten in this format


def digest(key: bytes, value: bytes) -> bytes:
    """Return the digest of a record."""
    hashed = blake2b(len(key).to_bytes(2, "big") + key, digest_size=DIGEST_SIZE)
    hashed.update(value)
    return hashed.digest()


def append_digest(key: bytes, value: bytes) -> bytes:
    """Return the value followed by its digest, as it is stored."""
    return value + digest(key, value)


def is_intact(key: bytes, stored_value: bytes, expected: int) -> bool:
    """Whether a stored value matches both its own stored digest and the expected one."""
    expected_digest = expected.to_bytes(DIGEST_SIZE, "big")
    value, stored_digest = stored_value[:-DIGEST_SIZE], stored_value[-DIGEST_SIZE:]
    return stored_digest == expected_digest == digest(key, value)


def stored_digest_of(stored_value: bytes) -> int:
    """Return the digest at the end of a stored value."""
    return int.from_bytes(stored_value[-DIGEST_SIZE:], "big")


def make_manifest(digests: Mapping[bytes, int], commit: int) -> bytes:
    """Return the value of MANIFEST_KEY for a `commit` that leaves records of these digests."""
    total = sum(digests.values()) % (1 << 8 * DIGEST_SIZE)
    fields = {
        "format": FORMAT,
        "txn": commit,
        "records": len(digests),
        "sum": f"{total:032x}",
    }
    return append_digest(MANIFEST_KEY, json.dumps(fields).encode())


def manifest_commit(manifest: bytes) -> int:
    """Return the number of the commit that wrote the manifest; 0 if the manifest is damaged."""
    return _manifest_field(manifest, "txn")


def _manifest_field(manifest: bytes, name: str) -> int:
    value = manifest[:-DIGEST_SIZE]
    if digest(MANIFEST_KEY, value) != manifest[-DIGEST_SIZE:]:
        return 0
    field: int = json.loads(value)[name]
    return field


def verify_records(path: str, records: Mapping[bytes, bytes], commit: int) -> VerifiedRecords:
    """Verify the records of the store at `path`, read in the state that `commit` left.

    Raises:
        DamagedRecordsError: A record is not what was written, is missing, or is of another commit.
        UnsupportedFormatError: A later revision wrote the records.
    """
    stored = dict(records)
    manifest = stored.pop(MANIFEST_KEY, None)
    if manifest is None:
        return _verify_format_1(stored)
    values, digests = {}, {}
    for key, stored_value in stored.items():
        values[key] = stored_value[:-DIGEST_SIZE]
        if digest(key, values[key]) != stored_value[-DIGEST_SIZE:]:
            raise DamagedRecordsError(f"record {key!r} is not what was written")
        digests[key] = stored_digest_of(stored_value)
    stored_format = _manifest_field(manifest, "format")
    if stored_format > FORMAT:
        raise UnsupportedFormatError(
            f"{path}: format {stored_format}, and this revision reads up to {FORMAT}"
        )
    if manifest != make_manifest(digests, commit):
        raise DamagedRecordsError("records are missing, or of another moment")
    return VerifiedRecords(values, digests, is_format_1=False)


def _verify_format_1(records: dict[bytes, bytes]) -> VerifiedRecords:
    """Check records of format 1, or an empty store: each key and value must be readable.

    Without digests, nothing more can be verified.
    """
    for key, value in records.items():
        try:
            json.loads(value)
            key.decode()
        except ValueError:
            raise DamagedRecordsError(f"record {key!r} cannot be read") from None
    return VerifiedRecords(records, {}, is_format_1=True)

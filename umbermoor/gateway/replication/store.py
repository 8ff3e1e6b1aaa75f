"""The register on disk, in LMDB: the only I/O of this package. Run it in a thread, one write at a
time.

What is held proves itself at the start: each record ends with a digest of its key and value, and
one more record, the manifest, holds the format, how many records there are, and the sum of their
digests, so that one that is gone, or of another moment, is found too. What does not hold together
is given up whole: its promises can no longer be known, so the member counts as one whose disk was
lost. A file `lost` says so until the member is filled again.

Source: LMDB copies pages on write and turns between two meta pages: pages are written and synced,
then a meta page. So a write that was torn by a loss of power leaves what the write before it left.
The meta page is synced by a call of its own (`metasync=False` and `sync`), as not every system
takes a descriptor opened for synced writes at its word. Meta pages have no digest, and the one with
the higher number is in force: so the manifest holds that number too, and where the other tree's
manifest tells of a higher one, that tree is put in force. It was synced as a whole.
"""

import errno
import json
import os
from collections.abc import Mapping
from hashlib import blake2b

import lmdb

from umbermoor.gateway.effects import UnsupportedFormatError
from umbermoor.gateway.replication import pages

FORMAT = 2  # 1: values alone, without digests or manifest; read, and written anew as 2
MANIFEST = b"\0manifest"
DIGEST = 16  # bytes behind each value
DATA, LOCK, LOST = "data.mdb", "lock.mdb", "lost"
FOUNDED = b"members"  # the record that a member has once it was founded or filled


def digest(key: bytes, value: bytes) -> bytes:
    made = blake2b(len(key).to_bytes(2, "big") + key, digest_size=DIGEST)
    made.update(value)
    return made.digest()


class Rotten(Exception):
    """What is stored does not hold together; says where."""


class Store:
    """What is synced under one directory. `lost`: why what was held there counts as lost, "" if it
    does not.

    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as path:
    ...     store = Store(path, 1 << 20)
    ...     store.write({"a": b"1", "b": b"2"}), store.write({"a": None}), store.write({"a": b"3" * (2 << 20)})
    ...     store.full, store.close()
    ...     again = Store(path, 1 << 20)
    ...     again.load(), again.lost
    ...     again.close()
    (True, True, False)
    (True, None)
    ({'b': b'2'}, '')
    """

    def __init__(self, path: str, size: int) -> None:
        """Open or create it for up to `size` bytes, pages of the tree included. Raises what the
        system tells."""
        self.path, self.size = path, size
        self.full = False  # the last write found no room
        self._digests: dict[bytes, int] = {}
        self._unformatted: dict[
            bytes, bytes
        ] = {}  # records of format 1, still to be written as this one's
        os.makedirs(path, exist_ok=True)
        sync_folder(os.path.dirname(os.path.abspath(path)))
        self.lost = ""
        if FOUNDED in self._open_sound():
            self._forgive()
        elif not self.lost and os.path.exists(self._file(LOST)):
            with open(self._file(LOST), encoding="utf-8", errors="replace") as file:
                self.lost = file.read(200) or "found at an earlier start"

    def load(self) -> dict[str, bytes]:
        """All records, found sound."""
        return {key.decode(): value for key, value in self._read().items()}

    def write(self, puts: Mapping[str, bytes | None]) -> bool:
        """All of it synced, or (False) the disk refused, or is full: then it is there as a whole,
        or not at all."""
        if not self._lmdb:
            return False
        records = dict(self._unformatted.items())
        records |= {key.encode(): value for key, value in puts.items()}
        digests = dict(self._digests)
        try:
            with self._lmdb.begin(write=True) as writing:
                for key, value in records.items():
                    if value is None:
                        writing.delete(key)
                        digests.pop(key, None)
                    else:
                        mark = digest(key, value)
                        digests[key] = int.from_bytes(mark, "big")
                        writing.put(key, value + mark)
                writing.put(MANIFEST, manifest(digests, writing.id()))
            self._digests, self._unformatted = digests, {}
            self._lmdb.sync(True)
            self.full = False
            return True
        except lmdb.PanicError:
            self._reopen()
        except lmdb.MapFullError:
            self.full = True
        except (lmdb.Error, OSError) as error:
            self.full = errno.ENOSPC in (getattr(error, "errno", 0), getattr(error, "code", 0))
        return False

    def sweep(self) -> list[str] | None:
        """The records that are no longer what was written, by the digests kept in memory; None if
        the pages no longer hang together. Beside writes, as they are, one at a time."""
        if not self._lmdb or self._unformatted:
            return []
        try:
            pages.check(self._file(DATA))
            with self._lmdb.begin() as reading:
                held = {bytes(key): bytes(value) for key, value in reading.cursor()}
        except (pages.Torn, lmdb.Error, OSError):
            return None
        held.pop(MANIFEST, None)
        if held.keys() - self._digests.keys():
            return None
        return [
            key.decode()
            for key, mark in self._digests.items()
            if not self._stands(key, held.get(key, b""), mark)
        ]

    @staticmethod
    def _stands(key: bytes, value: bytes, mark: int) -> bool:
        told = mark.to_bytes(DIGEST, "big")
        return value[-DIGEST:] == told == digest(key, value[:-DIGEST])

    def used(self) -> int:
        """Bytes of the file's pages that were ever in use."""
        return (
            (self._lmdb.info()["last_pgno"] + 1) * self._lmdb.stat()["psize"] if self._lmdb else 0
        )

    @property
    def open(self) -> bool:
        return self._lmdb is not None

    def close(self) -> None:
        if self._lmdb:
            self._lmdb.close()

    def _file(self, name: str) -> str:
        return os.path.join(self.path, name)

    def _open(self) -> None:
        self._lmdb = lmdb.open(self.path, map_size=self.size, sync=True, metasync=False, max_dbs=0)
        sync_folder(self.path)  # so that the files' names last too

    def _open_sound(self) -> dict[bytes, bytes]:
        """Opens it; what does not hold together is removed first, and a new one opened in its
        place."""
        self._lmdb: lmdb.Environment | None = None
        for fresh in (False, True):
            try:
                self._prepare()
                self._open()
                return self._read()
            except (pages.Torn, Rotten, lmdb.Error) as error:
                if fresh or (isinstance(error, lmdb.Error) and not isinstance(error, _UNSOUND)):
                    raise
                self._give_up(str(error))
        raise AssertionError("a new store is empty")

    def _prepare(self) -> None:
        """Looks at the file before LMDB does. Raises Torn."""
        path = self._file(DATA)
        if not os.path.exists(path):
            return
        if not pages.check(path):
            self._remove()
        elif (
            (first := pages.set_aside(path))
            and first[0] == MANIFEST
            and (txn := numbered(first[1]))
        ):
            with open(path, "rb") as file:
                metas = pages.read_metas(file)
            if metas and txn == metas[0].txn + 1:
                pages.put_in_force(path, txn)

    def _read(self) -> dict[bytes, bytes]:
        """The records, proved; raises Rotten."""
        assert self._lmdb
        with self._lmdb.begin() as reading:
            records = {bytes(key): bytes(value) for key, value in reading.cursor()}
            txn = reading.id()
        return self._prove(records, txn)

    def _prove(self, records: dict[bytes, bytes], txn: int) -> dict[bytes, bytes]:
        held = records.pop(MANIFEST, None)
        if held is None:
            return self._prove_plain(records)
        found, digests = {}, {}
        for key, value in records.items():
            found[key], mark = value[:-DIGEST], value[-DIGEST:]
            if digest(key, found[key]) != mark:
                raise Rotten(f"record {key!r} is not what was written")
            digests[key] = int.from_bytes(mark, "big")
        if numbered(held, "format") > FORMAT:
            raise UnsupportedFormatError(
                f"{self.path}: format {numbered(held, 'format')}, and this revision reads up to {FORMAT}"
            )
        if held != manifest(digests, txn):
            raise Rotten("records are missing, or of another moment")
        self._digests = digests
        return found

    def _prove_plain(self, records: dict[bytes, bytes]) -> dict[bytes, bytes]:
        """Format 1, or nothing: all that can be said is that each value can be read."""
        for key, value in records.items():
            try:
                json.loads(value)
                key.decode()
            except ValueError:
                raise Rotten(f"record {key!r} cannot be read") from None
        self._digests, self._unformatted = {}, dict(records)
        return records

    def _give_up(self, why: str) -> None:
        """Marked first: else one that ends in the midst would be taken for new where the system
        is."""
        self.lost = why.replace("\n", " ")
        self.close()
        self._lmdb = None
        with open(self._file(LOST), "w", encoding="utf-8") as file:
            file.write(self.lost)
            file.flush()
            os.fsync(file.fileno())
        sync_folder(self.path)
        self._remove()

    def _remove(self) -> None:
        for name in (DATA, LOCK):
            try:
                os.remove(self._file(name))
            except FileNotFoundError:
                pass
        sync_folder(self.path)

    def _forgive(self) -> None:
        try:
            os.remove(self._file(LOST))
        except FileNotFoundError:
            return
        sync_folder(self.path)

    def _reopen(self) -> None:
        """LMDB gives a file up when its meta page could not be written; what it holds then is
        looked at anew."""
        self.close()
        self._lmdb = None
        try:
            self._prepare()
            self._open()
            self._read()
        except (pages.Torn, Rotten, lmdb.Error, OSError) as error:
            self.close()
            self._lmdb, self.lost = None, f"after a refused write: {error}"


_UNSOUND = (
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.PageNotFoundError,
    lmdb.VersionMismatchError,
    lmdb.PanicError,
    lmdb.BadValsizeError,
)


FAULTS = (pages.Torn, Rotten, UnsupportedFormatError, lmdb.Error)  # what a start would find


def verify(path: str) -> tuple[int, int]:
    """Looks at what is stored under `path` as a start would, and changes nothing: how many records,
    and their bytes. A commit that is under way there may pass for a fault: look again. Raises
    FAULTS and OSError."""
    file = os.path.join(path, DATA)
    if not pages.check(file):
        return 0, 0
    held = lmdb.open(path, readonly=True, lock=False, max_dbs=0)
    try:
        with held.begin() as reading:
            records = {bytes(key): bytes(value) for key, value in reading.cursor()}
            txn = reading.id()
    finally:
        held.close()
    looking = Store.__new__(Store)
    looking.path = path
    found = looking._prove(records, txn)
    return len(found), sum(map(len, found.values()))


def manifest(digests: Mapping[bytes, int], txn: int) -> bytes:
    """What stands under MANIFEST beside records of these digests, written by that commit; digested
    as they are."""
    total = sum(digests.values()) % (1 << 8 * DIGEST)
    value = json.dumps(
        {"format": FORMAT, "txn": txn, "records": len(digests), "sum": f"{total:032x}"}
    ).encode()
    return value + digest(MANIFEST, value)


def numbered(held: bytes, field: str = "txn") -> int:
    """Which commit wrote that manifest, or another number of it; 0 if it is none."""
    value, mark = held[:-DIGEST], held[-DIGEST:]
    return json.loads(value)[field] if digest(MANIFEST, value) == mark else 0


def sync_folder(path: str) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)

"""A replica's records on disk, in LMDB: the only I/O of this package.

Run it in a thread, one write at a time. What is stored proves itself at the start (`pages`,
`manifest`). What does not hold together is given up whole: its promises can no longer be known, so
the replica counts as one whose disk was lost. A file `lost` says so until the replica is filled
again.

Source: LMDB copies pages on write and turns between two meta pages: pages are written and synced,
then a meta page. So a write that was torn by a loss of power leaves what the write before it left.
The meta page is synced by a call of its own (`metasync=False` and `sync`), as not every system
takes a descriptor opened for synced writes at its word. Meta pages have no digest, and the one with
the higher commit number is in force: so the manifest holds that number too: docs/storage.md.
"""

import errno
import os
from collections.abc import Mapping
from contextlib import suppress

import lmdb

from umbermoor.gateway.effects import UnsupportedFormatError
from umbermoor.gateway.replication import manifest, pages
from umbermoor.gateway.replication.errors import DamagedStoreError
from umbermoor.gateway.replication.manifest import MANIFEST_KEY, ProvenRecords, prove
from umbermoor.gateway.replication.stored_records import MEMBERS

DATA, LOCK, LOST = "data.mdb", "lock.mdb", "lost"  # file names
MAX_REASON_LENGTH = 200  # characters of the file LOST that are read

# What LMDB raises for a file that is damaged.
UNSOUND = (
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.PageNotFoundError,
    lmdb.VersionMismatchError,
    lmdb.PanicError,
    lmdb.BadValsizeError,
)
# What `verify` finds beside errors of the system.
STORE_ERRORS = (DamagedStoreError, UnsupportedFormatError, lmdb.Error)


class Store:
    """What is synced under one directory.

    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as path:
    ...     store = Store(path, 1 << 20)
    ...     store.write({"a": b"1", "b": b"2"}), store.write({"a": None})
    ...     store.write({"a": b"3" * (2 << 20)})
    ...     store.full, store.close()
    ...     again = Store(path, 1 << 20)
    ...     again.load(), again.lost
    ...     again.close()
    (True, True)
    False
    (True, None)
    ({'b': b'2'}, '')
    """

    def __init__(self, path: str, size: int) -> None:
        """Open or create it for up to `size` bytes, pages of the tree included.

        Raises OSError and lmdb.Error as the system tells; UnsupportedFormatError.
        """
        self.path, self.size = path, size
        self.full = False  # the last write found no room
        self.lost = ""  # why what was stored counts as lost; "": it does not
        self._lmdb: lmdb.Environment | None = None
        self._digests: dict[bytes, int] = {}
        self._unformatted: dict[bytes, bytes] = {}  # of format 1, still to be written as this one's
        os.makedirs(path, exist_ok=True)
        sync_folder(os.path.dirname(os.path.abspath(path)))
        if MEMBERS.encode() in self._open_sound():
            self._clear_lost()
        elif not self.lost:
            self.lost = self._read_lost()

    # reading and writing

    def load(self) -> dict[str, bytes]:
        """All records, found sound."""
        return {key.decode(): value for key, value in self._read().items()}

    def write(self, puts: Mapping[str, bytes | None]) -> bool:
        """Write those, None removes: whether all of it is synced.

        False: the disk refused, or is full. Then all of it is there, or nothing of it.
        """
        if not self._lmdb:
            return False
        records: dict[bytes, bytes | None] = dict(self._unformatted.items())
        records |= {key.encode(): value for key, value in puts.items()}
        try:
            self._commit(self._lmdb, records)
            self.full = False
            return True
        except lmdb.PanicError:
            self._reopen()
        except lmdb.MapFullError:
            self.full = True
        except (lmdb.Error, OSError) as error:
            self.full = errno.ENOSPC in (getattr(error, "errno", 0), getattr(error, "code", 0))
        return False

    def _commit(self, environment: lmdb.Environment, records: dict[bytes, bytes | None]) -> None:
        digests = dict(self._digests)
        with environment.begin(write=True) as transaction:
            for key, value in records.items():
                if value is None:
                    transaction.delete(key)
                    digests.pop(key, None)
                else:
                    sealed = manifest.seal(key, value)
                    digests[key] = manifest.digest_of(sealed)
                    transaction.put(key, sealed)
            transaction.put(MANIFEST_KEY, manifest.make_manifest(digests, transaction.id()))
        self._digests, self._unformatted = digests, {}
        environment.sync(True)

    def sweep(self) -> list[str] | None:
        """The records that are no longer what was written, by the digests kept in memory.

        None if the pages no longer hang together. Run it beside writes, as they are, one at a time.
        """
        if not self._lmdb or self._unformatted:
            return []
        try:
            pages.check(self._file(DATA))
            stored, _ = read_all(self._lmdb)
        except (DamagedStoreError, lmdb.Error, OSError):
            return None
        stored.pop(MANIFEST_KEY, None)
        if stored.keys() - self._digests.keys():
            return None
        return [
            key.decode()
            for key, expected in self._digests.items()
            if not manifest.is_intact(key, stored.get(key, b""), expected)
        ]

    def used(self) -> int:
        """Bytes of the file's pages that were ever in use."""
        if not self._lmdb:
            return 0
        page_count = self._lmdb.info()["last_pgno"] + 1
        return int(page_count * self._lmdb.stat()["psize"])

    @property
    def open(self) -> bool:
        """Whether it can be read and written."""
        return self._lmdb is not None

    def close(self) -> None:
        """Close the file."""
        if self._lmdb:
            self._lmdb.close()

    def _file(self, name: str) -> str:
        return os.path.join(self.path, name)

    # opening

    def _open_sound(self) -> dict[bytes, bytes]:
        """Open it; what does not hold together is removed first, and a new one made."""
        try:
            return self._open()
        except (DamagedStoreError, lmdb.Error) as error:
            if isinstance(error, lmdb.Error) and not isinstance(error, UNSOUND):
                raise
            self._give_up(str(error))
        return self._open()

    def _open(self) -> dict[bytes, bytes]:
        """Open it, and read all records. Raises DamagedStoreError and lmdb.Error."""
        self._prepare()
        self._lmdb = lmdb.open(self.path, map_size=self.size, sync=True, metasync=False, max_dbs=0)
        sync_folder(self.path)  # so that the files' names last too
        return self._read()

    def _prepare(self) -> None:
        """Look at the file before LMDB does. Raises DamagedPagesError.

        A tree that was synced as a whole, and is newer by its manifest than the one in force, is
        put in force.
        """
        path = self._file(DATA)
        if not os.path.exists(path):
            return
        if not pages.check(path):
            self._remove()
            return
        first = pages.first_record_of_other_tree(path)
        if not first or first[0] != MANIFEST_KEY:
            return
        commit = manifest.commit_of(first[1])
        if commit and commit == pages.commit_in_force(path) + 1:
            pages.put_in_force(path, commit)

    def _read(self) -> dict[bytes, bytes]:
        """The records, proved. Raises DamagedRecordsError."""
        if self._lmdb is None:
            raise DamagedStoreError("the store is not open")
        records, commit = read_all(self._lmdb)
        proven = self._prove(records, commit)
        self._digests = proven.digests
        self._unformatted = dict(proven.values) if proven.is_unformatted else {}
        return proven.values

    def _prove(self, records: dict[bytes, bytes], commit: int) -> ProvenRecords:
        return prove(self.path, records, commit)

    def _reopen(self) -> None:
        """Look at the file anew: LMDB gives it up when its meta page could not be written."""
        self._drop()
        try:
            self._open()
        except (DamagedStoreError, lmdb.Error, OSError) as error:
            self._drop()
            self.lost = f"after a refused write: {error}"

    # giving up

    def _drop(self) -> None:
        self.close()
        self._lmdb = None

    def _give_up(self, reason: str) -> None:
        """Remove what is stored, and say that it was lost.

        Said first: else one that ends in the midst would be taken for new where the system is.
        """
        self.lost = reason.replace("\n", " ")
        self._drop()
        with open(self._file(LOST), "w", encoding="utf-8") as file:
            file.write(self.lost)
            file.flush()
            os.fsync(file.fileno())
        sync_folder(self.path)
        self._remove()

    def _remove(self) -> None:
        for name in (DATA, LOCK):
            with suppress(FileNotFoundError):
                os.remove(self._file(name))
        sync_folder(self.path)

    def _read_lost(self) -> str:
        if not os.path.exists(self._file(LOST)):
            return ""
        with open(self._file(LOST), encoding="utf-8", errors="replace") as file:
            return file.read(MAX_REASON_LENGTH) or "found at an earlier start"

    def _clear_lost(self) -> None:
        try:
            os.remove(self._file(LOST))
        except FileNotFoundError:
            return
        sync_folder(self.path)


def read_all(environment: lmdb.Environment) -> tuple[dict[bytes, bytes], int]:
    """All records as they are stored, and the number of the commit that left them."""
    with environment.begin() as transaction:
        records = {bytes(key): bytes(value) for key, value in transaction.cursor()}
        return records, transaction.id()


def verify(path: str) -> tuple[int, int]:
    """Look at what is stored under `path` as a start would, and change nothing.

    Returns how many records there are, and their bytes. A commit that is under way there may pass
    for damage: look again. Raises STORE_ERRORS and OSError.
    """
    file = os.path.join(path, DATA)
    if not pages.check(file):
        return 0, 0
    environment = lmdb.open(path, readonly=True, lock=False, max_dbs=0)
    try:
        records, commit = read_all(environment)
    finally:
        environment.close()
    values = prove(path, records, commit).values
    return len(values), sum(map(len, values.values()))


def sync_folder(path: str) -> None:
    """Sync a directory, so that the names in it last."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

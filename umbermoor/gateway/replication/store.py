"""A replica's records on disk, in LMDB: the only I/O of this package.

Run the store in a thread, one write at a time. Its contents are verified when it is opened (see
`pages` and `manifest`). A store that fails verification is discarded as a whole, because the
promises in it can no longer be known; the replica then counts as one whose disk was lost. A file
named `lost` records this until the replica has been given the state again.

Source: LMDB 0.9. It copies pages on write and alternates between two meta pages: a commit writes
and syncs its pages, then a meta page. So a write that is torn by a loss of power leaves the state
of the write before it. The meta page is synced by a separate call (`metasync=False` and `sync`),
because not every system honours a descriptor that was opened for synced writes. Meta pages have no
digest, and the one with the higher commit number is current; the manifest therefore holds that
number too: docs/storage.md.
"""

import errno
import os
from collections.abc import Mapping
from contextlib import suppress

import lmdb

from umbermoor.gateway.effects import UnsupportedFormatError
from umbermoor.gateway.replication import manifest, pages
from umbermoor.gateway.replication.errors import DamagedStoreError
from umbermoor.gateway.replication.manifest import MANIFEST_KEY, VerifiedRecords, verify_records
from umbermoor.gateway.replication.stored_records import MEMBERS

DATA, LOCK, LOST = "data.mdb", "lock.mdb", "lost"  # file names
MAX_REASON_LENGTH = 200  # characters read from the file LOST

# Errors that LMDB raises for a damaged file.
DAMAGE_ERRORS = (
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.PageNotFoundError,
    lmdb.VersionMismatchError,
    lmdb.PanicError,
    lmdb.BadValsizeError,
)
# Errors that `verify` raises besides OSError.
STORE_ERRORS = (DamagedStoreError, UnsupportedFormatError, lmdb.Error)


class Store:
    """The records synced to one directory.

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
        """Open or create the store in directory `path`.

        Args:
            path: The directory.
            size: The most bytes that the file may hold, including the pages of the tree.

        Raises:
            OSError, lmdb.Error: The system cannot open or create the store.
            UnsupportedFormatError: A later revision wrote the store.
        """
        self.path, self.size = path, size
        self.full = False  # whether the last write failed for lack of space
        self.lost = ""  # reason why the stored state counts as lost; "" if it does not
        self._lmdb: lmdb.Environment | None = None
        self._digests: dict[bytes, int] = {}
        self._format_1_records: dict[bytes, bytes] = {}  # to be rewritten in the current format
        os.makedirs(path, exist_ok=True)
        sync_folder(os.path.dirname(os.path.abspath(path)))
        if MEMBERS.encode() in self._open_or_reset():
            self._remove_loss_marker()
        elif not self.lost:
            self.lost = self._read_loss_reason()

    # reading and writing

    def load(self) -> dict[str, bytes]:
        """Return all records, verified."""
        return {key.decode(): value for key, value in self._read().items()}

    def write(self, puts: Mapping[str, bytes | None]) -> bool:
        """Write records, all or none; the value None removes a record.

        Returns True once all of them are synced, and False if the disk refused or is full; then
        either all of them are stored or none.
        """
        if not self._lmdb:
            return False
        records: dict[bytes, bytes | None] = dict(self._format_1_records.items())
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
                    stored_value = manifest.append_digest(key, value)
                    digests[key] = manifest.stored_digest_of(stored_value)
                    transaction.put(key, stored_value)
            transaction.put(MANIFEST_KEY, manifest.make_manifest(digests, transaction.id()))
        self._digests, self._format_1_records = digests, {}
        environment.sync(True)

    def sweep(self) -> list[str] | None:
        """Compare the stored records with the digests kept in memory; return the damaged keys.

        Returns None if the pages or the set of records are inconsistent. Like a write, it must not
        run at the same time as another write or sweep.
        """
        if not self._lmdb or self._format_1_records:
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
        """Return the size in bytes of all pages of the file that were ever in use."""
        if not self._lmdb:
            return 0
        page_count = self._lmdb.info()["last_pgno"] + 1
        return int(page_count * self._lmdb.stat()["psize"])

    @property
    def open(self) -> bool:
        """Whether the store can be read and written."""
        return self._lmdb is not None

    def close(self) -> None:
        """Close the file."""
        if self._lmdb:
            self._lmdb.close()

    def _file(self, name: str) -> str:
        return os.path.join(self.path, name)

    # opening

    def _open_or_reset(self) -> dict[bytes, bytes]:
        """Open the store; if it is damaged, discard it and open a new one."""
        try:
            return self._open()
        except (DamagedStoreError, lmdb.Error) as error:
            if isinstance(error, lmdb.Error) and not isinstance(error, DAMAGE_ERRORS):
                raise
            self._discard(str(error))
        return self._open()

    def _open(self) -> dict[bytes, bytes]:
        """Open the store and read all records. Raises DamagedStoreError and lmdb.Error."""
        self._check_file()
        self._lmdb = lmdb.open(self.path, map_size=self.size, sync=True, metasync=False, max_dbs=0)
        sync_folder(self.path)  # makes the names of the files durable too
        return self._read()

    def _check_file(self) -> None:
        """Check the file before LMDB maps it. Raises DamagedPagesError.

        If the other tree is consistent, and its manifest shows that the commit after the current
        one wrote it, that tree is made the current one.
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
        commit = manifest.manifest_commit(first[1])
        if commit and commit == pages.current_commit(path) + 1:
            pages.make_other_tree_current(path, commit)

    def _read(self) -> dict[bytes, bytes]:
        """Read and verify the records. Raises DamagedRecordsError."""
        if self._lmdb is None:
            raise DamagedStoreError("the store is not open")
        records, commit = read_all(self._lmdb)
        verified = self._verify(records, commit)
        self._digests = verified.digests
        self._format_1_records = dict(verified.values) if verified.is_format_1 else {}
        return verified.values

    def _verify(self, records: dict[bytes, bytes], commit: int) -> VerifiedRecords:
        return verify_records(self.path, records, commit)

    def _reopen(self) -> None:
        """Close and reopen the file: LMDB refuses all use after it failed to write a meta page."""
        self._close_environment()
        try:
            self._open()
        except (DamagedStoreError, lmdb.Error, OSError) as error:
            self._close_environment()
            self.lost = f"after a refused write: {error}"

    # discarding a damaged store

    def _close_environment(self) -> None:
        self.close()
        self._lmdb = None

    def _discard(self, reason: str) -> None:
        """Remove the stored files, after recording that their contents were lost.

        The file LOST is synced first. Otherwise a process that ends between the two steps would
        start as a new replica while the system that it belonged to still exists.
        """
        self.lost = reason.replace("\n", " ")
        self._close_environment()
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

    def _read_loss_reason(self) -> str:
        if not os.path.exists(self._file(LOST)):
            return ""
        with open(self._file(LOST), encoding="utf-8", errors="replace") as file:
            return file.read(MAX_REASON_LENGTH) or "found at an earlier start"

    def _remove_loss_marker(self) -> None:
        try:
            os.remove(self._file(LOST))
        except FileNotFoundError:
            return
        sync_folder(self.path)


def read_all(environment: lmdb.Environment) -> tuple[dict[bytes, bytes], int]:
    """Return all records as stored, and the number of the commit that left them."""
    with environment.begin() as transaction:
        records = {bytes(key): bytes(value) for key, value in transaction.cursor()}
        return records, transaction.id()


def verify(path: str) -> tuple[int, int]:
    """Verify the store in directory `path` as a start would, without changing it.

    A commit in progress there can look like damage; in that case, verify again.

    Returns:
        The number of records and the total size of their values in bytes.

    Raises:
        STORE_ERRORS, OSError: The store is damaged, of a later format, or cannot be read.
    """
    file = os.path.join(path, DATA)
    if not pages.check(file):
        return 0, 0
    environment = lmdb.open(path, readonly=True, lock=False, max_dbs=0)
    try:
        records, commit = read_all(environment)
    finally:
        environment.close()
    values = verify_records(path, records, commit).values
    return len(values), sum(map(len, values.values()))


def sync_folder(path: str) -> None:
    """Sync a directory, so that the file names in it are durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

"""The register on disk, in LMDB: the only I/O of this package. Run it in a thread, one write at a time.

Source: LMDB copies pages on write and turns between two meta pages, so a write that was torn by a loss of power leaves
what the write before it left.
"""

import os
from typing import Mapping

import lmdb


class Store:
    """What is synced under one directory.

    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as path:
    ...     store = Store(path, 1 << 20)
    ...     store.write({"a": b"1", "b": b"2"}), store.write({"a": None}), store.write({"a": b"3" * (2 << 20)})
    ...     store.close()
    ...     again = Store(path, 1 << 20)
    ...     again.load()
    ...     again.close()
    (True, True, False)
    {'b': b'2'}
    """

    def __init__(self, path: str, size: int) -> None:
        """Open or create it for up to `size` bytes, pages of the tree included. Raises what the system tells."""
        os.makedirs(path, exist_ok=True)
        self._lmdb = lmdb.open(path, map_size=size, sync=True, metasync=True, max_dbs=0)
        for directory in (path, os.path.dirname(os.path.abspath(path))):  # so that the files' names last too
            handle = os.open(directory, os.O_RDONLY)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)

    def load(self) -> dict[str, bytes]:
        with self._lmdb.begin() as reading:
            return {bytes(key).decode(): bytes(value) for key, value in reading.cursor()}

    def write(self, puts: Mapping[str, bytes | None]) -> bool:
        """All of it synced, or (False) nothing done: the disk refused, or it is full."""
        try:
            with self._lmdb.begin(write=True) as writing:
                for key, value in puts.items():
                    writing.delete(key.encode()) if value is None else writing.put(key.encode(), value)
            return True
        except (lmdb.Error, OSError):
            return False

    def close(self) -> None:
        self._lmdb.close()

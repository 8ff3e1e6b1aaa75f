"""The capture's files: written in segments with a bound on disk, and read whole again."""

import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from umbermoor.front.capture.frames import Damage, Header, Row, file_head, read
from umbermoor.logs import note

log = logging.getLogger(__name__)

PREVIOUS_SUFFIX = ".1"  # the segment before the present one


class Segments:
    """Two files at most, each up to half the bound: the present one, and the one before it. A fault
    ends the capture and leaves the front as it is."""

    def __init__(self, path: str, limit: int, begin: Callable[[], bytes]) -> None:
        self._path, self._half, self._begin = path, limit // 2, begin
        self._file = None
        self._size = 0
        self.ended = False

    def write(self, data: bytes) -> None:
        if self.ended:
            return
        try:
            if self._file is not None and self._size + len(data) > self._half:
                self._file.close()
                os.replace(self._path, self._path + PREVIOUS_SUFFIX)
                self._file = None
            if self._file is None:
                self._open()
            self._file.write(data)
            self._size += len(data)
        except OSError as error:
            self._end(error)

    def _open(self) -> None:
        if os.path.exists(self._path):  # of an earlier start: kept as the segment before
            os.replace(self._path, self._path + PREVIOUS_SUFFIX)
        self._file = open(self._path, "xb", buffering=0)
        head = file_head() + self._begin()
        self._file.write(head)
        self._size = len(head)

    def _end(self, error: OSError) -> None:
        self.ended = True
        note(
            log, "capture ended", logging.WARNING, path=self._path, why=error.strerror or str(error)
        )
        self.close()

    def close(self) -> None:
        if self._file is not None:
            try:
                self._file.close()
            except OSError:
                pass
            self._file = None


class Capture(NamedTuple):
    header: Header | None
    rows: list[Row]
    damage: list[tuple[str, Damage]]  # by file

    @property
    def span(self) -> int:
        """Microseconds from the first query to the last."""
        return self.rows[-1].came - self.rows[0].came if self.rows else 0


class Unreadable(Exception):
    """One line: file, place, and what could be read."""


def read_capture(path: str) -> Capture:
    """The segment before, if there is one, and the present one; rows in order of their coming.
    Raises Unreadable where there is nothing to read at all."""
    header, rows, damage = None, [], []
    paths = [one for one in (path + PREVIOUS_SUFFIX, path) if Path(one).exists()]
    if not paths:
        raise Unreadable(f"{path}: no such file")
    for one in paths:
        try:
            data = Path(one).read_bytes()
        except OSError as error:
            raise Unreadable(f"{one}: {error.strerror}") from None
        for found in read(data):
            if isinstance(found, Header):
                if header is not None and found.profiles != header.profiles:
                    damage.append(
                        (
                            one,
                            Damage(
                                0,
                                "has other profiles than the segment before it, which is left out",
                            ),
                        )
                    )
                    rows.clear()
                header = found
            elif isinstance(found, Damage):
                damage.append((one, found))
            else:
                rows += found
    rows.sort(key=lambda row: row.came)
    if header is None:
        one, first = damage[0] if damage else (path, Damage(0, "holds no header"))
        raise Unreadable(f"{one}: byte {first.at}: {first.what}; nothing could be read")
    return Capture(header, rows, damage)


def describe_damage(damage: tuple[str, Damage], rows: int) -> str:
    path, what = damage
    return f"{path}: byte {what.at}: {what.what}; what stands before it was read, {rows} queries in all"

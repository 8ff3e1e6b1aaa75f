"""Files of a capture: written in segments with a limit on disk space, and read back whole."""

import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from umbermoor.front.capture.frames import Damage, Header, Row, file_head, read
from umbermoor.logs import note

log = logging.getLogger(__name__)

PREVIOUS_SUFFIX = ".1"  # of the previous segment's path


class Segments:
    """Writes a capture to at most two files, the current and the previous segment.

    An error ends the capture and does not affect the front.

    Args:
        path: path of the current segment.
        limit: bytes of both files together; each segment takes up to half.
        begin: returns the bytes that follow the file's head in each segment.
    """

    def __init__(self, path: str, limit: int, begin: Callable[[], bytes]) -> None:
        self._path, self._half, self._begin = path, limit // 2, begin
        self._file = None
        self._size = 0
        self.ended = False

    def write(self, data: bytes) -> None:
        """Append whole frames; start a new segment if they don't fit into the current one."""
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
        if os.path.exists(self._path):  # from an earlier run: kept as the previous segment
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
    """What was read from the files of a capture."""

    header: Header | None
    rows: list[Row]
    damage: list[tuple[str, Damage]]  # path and damage

    @property
    def span(self) -> int:
        """Microseconds from the first query to the last."""
        return self.rows[-1].came - self.rows[0].came if self.rows else 0


class Unreadable(Exception):
    """Nothing of a capture could be read; the text is one line with file, place and reason."""


def read_capture(path: str) -> Capture:
    """Read the previous segment, if there is one, and the current one; sort rows by arrival.

    Raises:
        Unreadable: there is no file, it can't be opened, or nothing in it can be read.
    """
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
    """Return a line on damaged data; `rows` is the number of queries that were read."""
    path, what = damage
    return f"{path}: byte {what.at}: {what.what}; what stands before it was read, {rows} queries in all"

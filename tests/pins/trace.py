"""A trace: what a program did, in order, as lines of text, and the digest of all of them."""

import hashlib
import json
from typing import Any, TextIO


class Trace:
    """Collects the lines of one case.

    Attributes:
        lines: How many lines were added.
    """

    def __init__(self, copy: TextIO | None = None) -> None:
        """`copy` is a stream that also gets each line as text."""
        self._hash = hashlib.sha256()
        self._copy = copy
        self.lines = 0

    def add(self, *values: Any) -> None:
        """Appends one line of values; bytes are kept byte for byte, all else as JSON."""
        line = json.dumps(values, default=_plain, separators=(",", ":"))
        self._hash.update(line.encode() + b"\n")
        self.lines += 1
        if self._copy is not None:
            self._copy.write(line + "\n")

    def digest(self) -> str:
        """The number of lines and the first half of their SHA-256, as text."""
        return f"{self.lines} {self._hash.hexdigest()[:32]}"


def _plain(value: Any) -> Any:
    if isinstance(value, (bytes, bytearray, memoryview)):
        return bytes(value).decode("latin-1")
    if isinstance(value, (set, frozenset)):
        return sorted(value)
    return dict(value)  # any other mapping

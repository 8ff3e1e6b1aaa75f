"""A trace: the actions of a program, in order, as lines of text, and the digest of the lines."""

import hashlib
import json
from typing import Any, TextIO


class Trace:
    """Collects the lines of one case.

    Attributes:
        lines: The number of lines added.
    """

    def __init__(self, copy: TextIO | None = None) -> None:
        """Create an empty trace; if `copy` is given, each line is also written to that stream."""
        self._hash = hashlib.sha256()
        self._copy = copy
        self.lines = 0

    def add(self, *values: Any) -> None:
        """Append one line of values; bytes are kept byte for byte, everything else as JSON."""
        line = json.dumps(values, default=_plain, separators=(",", ":"))
        self._hash.update(line.encode() + b"\n")
        self.lines += 1
        if self._copy is not None:
            self._copy.write(line + "\n")

    def digest(self) -> str:
        """Return the number of lines and the first half of their SHA-256, as text."""
        return f"{self.lines} {self._hash.hexdigest()[:32]}"


def _plain(value: Any) -> Any:
    if isinstance(value, (bytes, bytearray, memoryview)):
        return bytes(value).decode("latin-1")
    if isinstance(value, (set, frozenset)):
        return sorted(value)
    return dict(value)  # any other mapping

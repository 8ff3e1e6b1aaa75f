"""Whether members hold the same: digests of what is committed, compared where two are at one
version. No I/O.

At one version all members hold one map, so a difference is a fault of memory or of the program; it
is told, not mended: who is wrong can't be said by two.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

MOST = 64  # members that a difference is remembered of


def digest(committed: Mapping[str, Any]) -> str:
    text = json.dumps(committed, sort_keys=True, separators=(",", ":"))
    return blake2b(text.encode(errors="surrogatepass"), digest_size=12).hexdigest()


class DigestComparison:
    """What a member tells of its map, and what it makes of what the others tell."""

    def __init__(self) -> None:
        self.compared = 0
        self.differing: dict[
            str, tuple[int, int]
        ] = {}  # by member: the version at which it last differed
        self._own: tuple[tuple[int, int], str] = (0, 0), ""

    def message(self, version: tuple[int, int], committed: Mapping[str, Any]) -> dict[str, Any]:
        return {
            "kind": "digest",
            "version": list(version),
            "digest": self._digest(version, committed),
        }

    def differs(
        self,
        sender: str,
        message: Mapping[str, Any],
        version: tuple[int, int],
        committed: Mapping[str, Any],
    ) -> bool:
        """Whether the sender holds another map at the version that is held here."""
        if (
            message.get("version") != list(version)
            or not isinstance(message.get("digest"), str)
            or version == (0, 0)
        ):
            return False
        self.compared += 1
        if message["digest"] == self._digest(version, committed):
            self.differing.pop(sender, None)
            return False
        new = sender not in self.differing
        if new and len(self.differing) >= MOST:
            return False
        self.differing[sender] = version
        return new

    def _digest(self, version: tuple[int, int], committed: Mapping[str, Any]) -> str:
        if self._own[0] != version:
            self._own = version, digest(committed)
        return self._own[1]

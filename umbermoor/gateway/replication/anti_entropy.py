"""Whether replicas hold the same: digests of what is committed, compared at one version. No I/O.

At one version all replicas hold one map, so a difference is a fault of memory or of the program; it
is told, not repaired: who is wrong can't be said by two.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b

from umbermoor.gateway.effects import JsonObject, JsonValue
from umbermoor.gateway.replication.view import Version

MAX_DIFFERING = 64  # replicas that a difference is remembered of
DIGEST_SIZE = 12  # bytes
NO_VERSION: Version = (0, 0)


def digest(committed: Mapping[str, JsonValue]) -> str:
    """Of a map, whatever the order of its keys."""
    text = json.dumps(committed, sort_keys=True, separators=(",", ":"))
    return blake2b(text.encode(errors="surrogatepass"), digest_size=DIGEST_SIZE).hexdigest()


class DigestComparison:
    """What a replica tells of its map, and what it makes of what the others tell."""

    def __init__(self) -> None:
        self.compared = 0
        self.differing: dict[str, Version] = {}  # by replica: the version at which it last differed
        self._own: tuple[Version, str] = (NO_VERSION, "")

    def message(self, version: Version, committed: Mapping[str, JsonValue]) -> JsonObject:
        """What to send to the others, as JSON."""
        return {
            "kind": "digest",
            "version": list(version),
            "digest": self._digest(version, committed),
        }

    def differs(
        self,
        sender: str,
        message: Mapping[str, JsonValue],
        version: Version,
        committed: Mapping[str, JsonValue],
    ) -> bool:
        """Whether it is news that the sender holds another map at the version that is held here."""
        if message.get("version") != list(version) or version == NO_VERSION:
            return False
        if not isinstance(message.get("digest"), str):
            return False
        self.compared += 1
        if message["digest"] == self._digest(version, committed):
            self.differing.pop(sender, None)
            return False
        is_new = sender not in self.differing
        if is_new and len(self.differing) >= MAX_DIFFERING:
            return False
        self.differing[sender] = version
        return is_new

    def _digest(self, version: Version, committed: Mapping[str, JsonValue]) -> str:
        if self._own[0] != version:
            self._own = version, digest(committed)
        return self._own[1]

"""Comparison of digests of the committed map between replicas at the same version. No I/O.

All replicas hold the same map at the same version, so a difference means a memory fault or a bug.
It is reported, not repaired, because two replicas cannot tell which of them is wrong.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b

from umbermoor.gateway.effects import JsonObject, JsonValue
from umbermoor.gateway.replication.view import Version

MAX_DIFFERING = 64  # replicas for which a difference is remembered
DIGEST_SIZE = 12  # bytes
NO_VERSION: Version = (0, 0)


def digest(committed: Mapping[str, JsonValue]) -> str:
    """Return the digest of a map; the order of its keys does not matter."""
    text = json.dumps(committed, sort_keys=True, separators=(",", ":"))
    return blake2b(text.encode(errors="surrogatepass"), digest_size=DIGEST_SIZE).hexdigest()


class DigestComparison:
    """Builds this replica's digest messages and compares received ones with its own map."""

    def __init__(self) -> None:
        self.compared = 0
        self.differing: dict[str, Version] = {}  # replica -> version at which it last differed
        self._cached_digest: tuple[Version, str] = (NO_VERSION, "")

    def message(self, version: Version, committed: Mapping[str, JsonValue]) -> JsonObject:
        """Return the digest message to send to the other replicas, as a JSON object."""
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
        """Compare a received digest with the map held here.

        Returns True only the first time that the sender is found to hold another map at the same
        version. Messages for another version, or without a valid digest, are ignored.
        """
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
        if self._cached_digest[0] != version:
            self._cached_digest = version, digest(committed)
        return self._cached_digest[1]

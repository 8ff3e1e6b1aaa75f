"""What a member knows of the others by their pings: who is heard, how steadily, and who hears whom.

Times are whole microseconds.
"""

from dataclasses import dataclass, field
from typing import Any

from umbermoor.gateway.replication.view import MOST, Version

SILENT = 700_000  # a gap in hearing that ends a steady time
STEADY = 1_000_000  # heard for so long, one outside may be taken into the chain


@dataclass(slots=True)
class Peer:
    """One other member, as its last ping tells it."""

    last: int
    since: int  # heard without a gap, in one life and well
    ping: dict[str, Any]
    joined: int = 0  # the epoch that it was last heard to be in, well
    joined_at: int = 0
    zone: str = ""  # as last told

    @property
    def committed(self) -> Version:
        return tuple(self.ping["committed"])


@dataclass(slots=True)
class Peers:
    me: str
    most: int = 2 * MOST
    _all: dict[str, Peer] = field(default_factory=dict)

    def hear(self, now: int, sender: str, ping: dict[str, Any]) -> bool:
        """Take a ping in, an older one than the last not; whether the sender is new, or newly
        started."""
        peer = self._all.get(sender)
        if peer is None:
            if len(self._all) >= self.most and not self._forgot(now):
                return False
            peer = self._all[sender] = Peer(now, now, ping)
            new = True
        else:
            new = peer.ping["life"] != ping["life"]
            if not new and ping["beat"] <= peer.ping["beat"]:
                return False
            if new or now - peer.last > SILENT or not ping["well"]:
                peer.since = now
            new = new or now - peer.last > SILENT
            peer.last, peer.ping = now, ping
        peer.zone = ping.get("zone", peer.zone)
        if (
            ping["well"] and ping["joined"] >= peer.joined
        ):  # a lower one is of an earlier life, or newly started
            peer.joined, peer.joined_at = ping["joined"], now
        return new

    def _forgot(self, now: int) -> bool:
        """Whether one that is silent could be forgotten for another."""
        silent = next((who for who, peer in self._all.items() if now - peer.last > SILENT), None)
        return silent is not None and self._all.pop(silent) is not None

    def adopt(self, who: str, peer: Peer) -> None:
        self._all.setdefault(who, peer)

    def drop(self, names: tuple[str, ...]) -> None:
        self._all = {who: peer for who, peer in self._all.items() if who not in names}

    def keep(self, members: tuple[str, ...]) -> None:
        """Forget all others."""
        self._all = {who: peer for who, peer in self._all.items() if who in members}

    def heard(self, now: int, within: int = SILENT) -> dict[str, Peer]:
        return {who: peer for who, peer in self._all.items() if now - peer.last <= within}

    def names(self) -> tuple[str, ...]:
        return tuple(self._all)

    def get(self, who: str) -> Peer | None:
        return self._all.get(who)

    def mutual(self, now: int, one: str, other: str) -> bool:
        """Whether the two hear each other, as far as is known here."""
        return self._hears(now, one, other) and self._hears(now, other, one)

    def _hears(self, now: int, one: str, other: str) -> bool:
        if one == other:
            return True
        peer = self._all.get(other if one == self.me else one)
        if peer is None or now - peer.last > SILENT:
            return False
        return one == self.me or other in peer.ping["hears"]

    def highest(self) -> int:
        """The highest epoch that any was heard to have promised."""
        return max((peer.ping["promise"] for peer in self._all.values()), default=0)

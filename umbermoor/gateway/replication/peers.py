"""What a replica knows about others from their heartbeats: who is heard, how steadily, and by whom.

Times are whole microseconds.
"""

from dataclasses import dataclass, field

from umbermoor.gateway.replication.messages import Heartbeat
from umbermoor.gateway.replication.replica_set import MAX_MEMBERS
from umbermoor.gateway.replication.timing import HEARD_TIMEOUT
from umbermoor.gateway.replication.view import Version


@dataclass(slots=True)
class Peer:
    """Another replica, as described by its last heartbeat."""

    heard_at: int
    steady_since: int  # since when heard without a gap, in one incarnation, with a healthy disk
    heartbeat: Heartbeat
    joined: int = 0  # the epoch that it last reported, with a healthy disk
    joined_at: int = 0
    zone: str = ""  # as last reported

    @property
    def committed(self) -> Version:
        """The version that the peer knows to be committed."""
        return self.heartbeat.committed

    @property
    def can_join(self) -> bool:
        """Whether the peer holds its state, or may be given it."""
        return not self.heartbeat.disk_lost or self.heartbeat.ready_to_fill

    def update(self, now: int, heartbeat: Heartbeat) -> bool:
        """Record a newer heartbeat; return whether the peer restarted or came back since."""
        is_restarted = self.heartbeat.incarnation != heartbeat.incarnation
        is_back = now - self.heard_at > HEARD_TIMEOUT
        if is_restarted or is_back or not heartbeat.disk_healthy:
            self.steady_since = now
        self.heard_at, self.heartbeat = now, heartbeat
        return is_restarted or is_back

    def note_epoch(self, now: int) -> None:
        """Record the epoch that the peer has joined.

        A lower epoch than the recorded one comes from an earlier incarnation and is ignored.
        """
        if self.heartbeat.disk_healthy and self.heartbeat.joined >= self.joined:
            self.joined, self.joined_at = self.heartbeat.joined, now

    def note_zone(self) -> None:
        """Record the zone of the peer, if the heartbeat carries it."""
        if self.heartbeat.zone is not None:
            self.zone = self.heartbeat.zone


@dataclass(slots=True)
class Peers:
    """A bounded table of other replicas, by name."""

    own_name: str
    capacity: int = 2 * MAX_MEMBERS
    _peers: dict[str, Peer] = field(default_factory=dict)

    def record(self, now: int, sender: str, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat, unless it is older than the last one or the table is full.

        Returns whether the sender is new, restarted, or back after a silence.
        """
        peer = self._peers.get(sender)
        if peer is None:
            if len(self._peers) >= self.capacity and not self._evict_silent(now):
                return False
            peer = self._peers[sender] = Peer(now, now, heartbeat)
            is_new = True
        elif _is_outdated(peer.heartbeat, heartbeat):
            return False
        else:
            is_new = peer.update(now, heartbeat)
        peer.note_zone()
        peer.note_epoch(now)
        return is_new

    def _evict_silent(self, now: int) -> bool:
        silent = next(
            (name for name, peer in self._peers.items() if now - peer.heard_at > HEARD_TIMEOUT),
            None,
        )
        return silent is not None and self._peers.pop(silent) is not None

    def adopt(self, name: str, peer: Peer) -> None:
        """Add a peer from another table, unless it is in this one already."""
        self._peers.setdefault(name, peer)

    def forget(self, names: tuple[str, ...]) -> None:
        """Remove the named peers."""
        self._peers = {name: peer for name, peer in self._peers.items() if name not in names}

    def keep_only(self, names: tuple[str, ...]) -> None:
        """Remove all peers but the named ones."""
        self._peers = {name: peer for name, peer in self._peers.items() if name in names}

    def heard(self, now: int, within: int = HEARD_TIMEOUT) -> dict[str, Peer]:
        """Return the peers whose last heartbeat is no older than `within`."""
        return {name: peer for name, peer in self._peers.items() if now - peer.heard_at <= within}

    def names(self) -> tuple[str, ...]:
        """Return the names of all peers in the table, whether heard lately or not."""
        return tuple(self._peers)

    def get(self, name: str) -> Peer | None:
        """Return the peer of that name, or None."""
        return self._peers.get(name)

    def in_contact(self, now: int, first: str, second: str) -> bool:
        """Whether the two replicas hear each other, as far as is known here."""
        return self._hears(now, first, second) and self._hears(now, second, first)

    def _hears(self, now: int, listener: str, speaker: str) -> bool:
        if listener == speaker:
            return True
        peer = self._peers.get(speaker if listener == self.own_name else listener)
        if peer is None or now - peer.heard_at > HEARD_TIMEOUT:
            return False
        return listener == self.own_name or speaker in peer.heartbeat.hears

    def highest_promise(self) -> int:
        """Return the highest epoch that any peer reported to have promised."""
        return max((peer.heartbeat.promise for peer in self._peers.values()), default=0)


def _is_outdated(last: Heartbeat, heartbeat: Heartbeat) -> bool:
    return last.incarnation == heartbeat.incarnation and heartbeat.sequence <= last.sequence


class Exclusions:
    """Replicas that are left out of the next views, and until when."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, int] = {}

    def exclude(self, name: str, until: int) -> None:
        """Leave the replica out until the given time."""
        self._until[name] = until

    def readmit(self, name: str) -> None:
        """Allow the replica in the next view again, because it is back."""
        self._until.pop(name, None)

    def is_excluded(self, name: str, now: int) -> bool:
        """Whether the replica is to be left out now."""
        return self._until.get(name, 0) > now

    def expire(self, now: int) -> None:
        """Remove the exclusions whose time is over."""
        self._until = {name: until for name, until in self._until.items() if until > now}

    def names(self) -> frozenset[str]:
        """Return all excluded replicas that have neither expired nor been readmitted."""
        return frozenset(self._until)

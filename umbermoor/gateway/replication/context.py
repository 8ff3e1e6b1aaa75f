"""What the parts of a replica share: identity, clock, outbox, disk, and what is known."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from umbermoor.gateway.replication.leases import Contact
from umbermoor.gateway.replication.lifecycle import Lifecycle
from umbermoor.gateway.replication.outbox import Outbox
from umbermoor.gateway.replication.peers import Peers
from umbermoor.gateway.replication.replicated_map import ReplicatedMap
from umbermoor.gateway.replication.set_state import SetState
from umbermoor.gateway.replication.stored_records import StoredState
from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.replication.view_state import ViewState
from umbermoor.gateway.replication.write_queue import WriteQueue, do_nothing

MAX_LEARNERS = 8  # strangers that want to be members, known at once


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this replica is."""

    name: str  # its IP address
    seeds: tuple[str, ...]  # the same in the same order everywhere; the first of them founds
    tolerated_losses: int  # disks that may be lost at once
    zone: str
    quorum_member: bool  # it counts, by the platform's word: as a newcomer it may succeed a member
    incarnation: int  # drawn when the process started

    @property
    def is_founder(self) -> bool:
        """Whether it founds a new system."""
        return bool(self.seeds) and self.seeds[0] == self.name


class Context:
    """The shared state; each field of its parts is written by the methods of its own class only."""

    def __init__(
        self,
        identity: Identity,
        stored: StoredState,
        cold_start: bool,
        rng: random.Random,
    ) -> None:
        self.identity, self.rng = identity, rng
        self.name = identity.name  # asked for at each message: no property
        self.now = 0  # microseconds of the host's monotonic clock, as of the present input
        self.started_at = -1  # when the first input came; -1: none has
        self.outbox = Outbox(identity.name)
        self.disk = WriteQueue()
        self.lifecycle = Lifecycle(self.disk, cold_start, bool(stored.members))
        self.sets = SetState(self.disk, self.lifecycle, stored)
        self.views = ViewState(identity.name, self.disk, stored)
        self.map = ReplicatedMap(stored)
        self.peers = Peers(identity.name)  # members
        self.learners = Peers(identity.name, MAX_LEARNERS)
        self.contact = Contact()
        self.sets.subscribe(self._sort_peers)
        if self.lifecycle.cold_start and self.map.values:  # of a learner of another system
            self.disk.enqueue(self.map.clear(), "emptied", do_nothing)

    def _sort_peers(self) -> None:
        """Members may have become learners' peers, and the other way round."""
        names = self.sets.names
        for name in names:
            if peer := self.learners.get(name):
                self.peers.adopt(name, peer)
        self.peers.keep_only(names)
        self.learners.forget(names)

    def advance(self, now: int) -> int:
        """An input comes at that time; how long after the last one, in microseconds."""
        if self.started_at < 0:
            self.started_at = self.now = now
        elapsed = now - self.now
        self.now = max(self.now, now)
        return elapsed

    @property
    def is_member(self) -> bool:
        """Whether it is a member: no learner, no stranger, nor one that was taken out."""
        return self.name in self.sets.names

    @property
    def is_usable(self) -> bool:
        """Whether it is a member and has its disk."""
        return self.is_member and not self.lifecycle.disk_lost

    @property
    def may_vote(self) -> bool:
        """Whether it may be one of a majority.

        Not one whose disk was lost, nor a founder that has not found all others new.
        """
        is_founding = self.identity.is_founder and not self.views.promise
        return self.is_usable and self.lifecycle.membership_synced and not is_founding

    @property
    def accepted_version(self) -> Version:
        """Of the map as written here."""
        return self.views.accepted.epoch, self.map.last_sequence

    @property
    def committed_sequence(self) -> int:
        """Up to where the writes of the view joined are committed; -1: it is not active yet."""
        epoch, sequence = self.map.version
        return sequence if 0 < self.views.joined == epoch else -1

    def others(self) -> list[str]:
        """The other members."""
        return [name for name in self.sets.names if name != self.name]

    def hears(self) -> tuple[str, ...]:
        """Whom it hears, members and learners, sorted."""
        heard: Sequence[str] = (*self.peers.heard(self.now), *self.learners.heard(self.now))
        return tuple(sorted(heard))

    def hears_serving(self, within: int) -> bool:
        """Whether one of the active chain was heard so lately, in microseconds."""
        epoch = self.views.active.epoch
        return any(
            peer.heartbeat.serving and peer.heartbeat.joined == epoch
            for peer in self.peers.heard(self.now, within).values()
        )

    def in_contact(self, first: str, second: str) -> bool:
        """Whether the two hear each other, as far as is known here."""
        return self.peers.in_contact(self.now, first, second)

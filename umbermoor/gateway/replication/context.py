"""The state that the parts of a replica share: identity, clock, outbox, disk and peers."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from umbermoor.gateway.replication.leases import LeaseProofs
from umbermoor.gateway.replication.lifecycle import Lifecycle
from umbermoor.gateway.replication.outbox import Outbox
from umbermoor.gateway.replication.peers import Peers
from umbermoor.gateway.replication.replicated_map import ReplicatedMap
from umbermoor.gateway.replication.set_state import SetState
from umbermoor.gateway.replication.stored_records import StoredState
from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.replication.view_state import ViewState
from umbermoor.gateway.replication.write_queue import WriteQueue, do_nothing

MAX_LEARNERS = 8  # non-members that are tracked at the same time


@dataclass(frozen=True, slots=True)
class Identity:
    """The name and the configuration of this replica."""

    name: str  # its IP address
    seeds: tuple[str, ...]  # same order on all replicas; the first one founds the system
    tolerated_losses: int  # number of disks that may be lost at once
    zone: str
    quorum_member: bool  # set by the platform: as a newcomer it may replace a member
    incarnation: int  # drawn when the process started

    @property
    def is_founder(self) -> bool:
        """Whether this replica founds a new system."""
        return bool(self.seeds) and self.seeds[0] == self.name


class Context:
    """The shared state. Only a class's own methods write the fields of that class."""

    def __init__(
        self,
        identity: Identity,
        stored: StoredState,
        cold_start: bool,
        rng: random.Random,
    ) -> None:
        self.identity, self.rng = identity, rng
        self.name = identity.name  # read for each message, so not a property
        self.now = 0  # time of the current input on the host's monotonic clock; us
        self.started_at = -1  # time of the first input; -1: there was none yet
        self.outbox = Outbox(identity.name)
        self.disk = WriteQueue()
        self.lifecycle = Lifecycle(self.disk, cold_start, bool(stored.members))
        self.sets = SetState(self.disk, self.lifecycle, stored)
        self.views = ViewState(identity.name, self.disk, stored)
        self.map = ReplicatedMap(stored)
        self.peers = Peers(identity.name)  # members
        self.learners = Peers(identity.name, MAX_LEARNERS)
        self.lease_proofs = LeaseProofs()
        self.sets.subscribe(self._update_peer_tables)
        if self.lifecycle.cold_start and self.map.values:  # left by a learner of another system
            self.disk.enqueue(self.map.clear(), "emptied", do_nothing)

    def _update_peer_tables(self) -> None:
        """Move peers between the tables of members and learners after a change of the members."""
        names = self.sets.names
        for name in names:
            if peer := self.learners.get(name):
                self.peers.adopt(name, peer)
        self.peers.keep_only(names)
        self.learners.forget(names)

    def advance(self, now: int) -> int:
        """Set the clock to the time of an input; return the microseconds since the last one."""
        if self.started_at < 0:
            self.started_at = self.now = now
        elapsed = now - self.now
        self.now = max(self.now, now)
        return elapsed

    @property
    def is_member(self) -> bool:
        """Whether this replica is a member, and not a learner, a stranger or a removed member."""
        return self.name in self.sets.names

    @property
    def is_usable(self) -> bool:
        """Whether this replica is a member and has its disk."""
        return self.is_member and not self.lifecycle.disk_lost

    @property
    def may_vote(self) -> bool:
        """Whether this replica may count towards a majority.

        A replica whose disk was lost does not count, nor does a founder that has not yet confirmed
        that all other replicas are new.
        """
        is_founding = self.identity.is_founder and not self.views.promise
        return self.is_usable and self.lifecycle.membership_synced and not is_founding

    @property
    def accepted_version(self) -> Version:
        """The version of the map as written here."""
        return self.views.accepted.epoch, self.map.last_sequence

    @property
    def committed_sequence(self) -> int:
        """The sequence number up to which the writes of the joined view are committed.

        -1 if the view is not active yet.
        """
        epoch, sequence = self.map.version
        return sequence if 0 < self.views.joined == epoch else -1

    def others(self) -> list[str]:
        """Return the other members."""
        return [name for name in self.sets.names if name != self.name]

    def hears(self) -> tuple[str, ...]:
        """Return the names of the members and learners that this replica hears, sorted."""
        heard: Sequence[str] = (*self.peers.heard(self.now), *self.learners.heard(self.now))
        return tuple(sorted(heard))

    def hears_serving_chain(self, within: int) -> bool:
        """Whether a member of the active chain was heard within that many microseconds."""
        epoch = self.views.active.epoch
        return any(
            peer.heartbeat.serving and peer.heartbeat.joined == epoch
            for peer in self.peers.heard(self.now, within).values()
        )

    def in_contact(self, first: str, second: str) -> bool:
        """Whether the two replicas hear each other, as far as is known here."""
        return self.peers.in_contact(self.now, first, second)

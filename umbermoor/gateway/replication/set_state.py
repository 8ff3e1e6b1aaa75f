"""The replica sets that this replica knows: those of the last accepted and the newest active view.

Source: joint consensus, see `replica_set`; docs/replication.md.
"""

from collections.abc import Callable, Mapping

from umbermoor.gateway.replication.lifecycle import Lifecycle
from umbermoor.gateway.replication.replica_set import EpochSet, ReplicaSet, initial_replica_set
from umbermoor.gateway.replication.stored_records import (
    Records,
    StoredState,
    founding_records,
    replica_set_records,
    zones_record,
)
from umbermoor.gateway.replication.view import View
from umbermoor.gateway.replication.write_queue import Callback, WriteQueue, do_nothing


class SetState:
    """The replica sets, and the zones of the other members, as stored on disk."""

    def __init__(self, disk: WriteQueue, lifecycle: Lifecycle, stored: StoredState) -> None:
        self._disk, self._lifecycle = disk, lifecycle
        self._listeners: list[Callable[[], None]] = []
        self.accepted = stored.accepted_set
        self.proven = stored.proven_set  # of the newest view known to be active
        self.zones = stored.zones
        self.current = self._find_current()  # the set in force, as far as is known here
        self.names = self.current.names

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener whenever `names` has changed."""
        self._listeners.append(listener)

    def _find_current(self) -> ReplicaSet:
        if self.accepted.epoch > self.proven.epoch:
            return self.accepted.replica_set
        return self.proven.replica_set.completed()

    def _refresh(self) -> None:
        self.current = self._find_current()
        if self.current.names == self.names:
            return
        self.names = self.current.names
        for listener in self._listeners:
            listener()

    def store_initial_set(
        self, members: tuple[str, ...], system: int, zones: Mapping[str, str], then: Callback
    ) -> None:
        """Write the first set to disk, and call `then` once it is synced.

        The zones of the other members are written with it: one of them may be lost before it has
        told them again.
        """
        first = initial_replica_set(members, system)
        self.zones = dict(zones)
        self.accepted = self.accepted._replace(replica_set=first)
        self.proven = EpochSet(0, first)
        self._refresh()
        records = founding_records(self.names, first.system)
        if self.zones:
            records |= zones_record(self.zones)
        self._disk.enqueue(records, "members", then)

    def adopt_without_disk(self, proven: EpochSet) -> None:
        """Adopt a set reported by others, while nothing is stored on disk."""
        self.proven = proven
        self._refresh()

    def correct_system(self, system: int) -> None:
        """Replace the system number by the number of the members' system.

        Needed where this replica founded a system of its own, which did not take effect.
        """
        replica_set = self.proven.replica_set._replace(system=system)
        self.proven = self.proven._replace(replica_set=replica_set)
        self._refresh()

    def record_proven(self, epoch: int, replica_set: ReplicaSet) -> None:
        """Record that the view of that epoch, newer than `proven`, is active with that set."""
        has_changed = replica_set.number != self.proven.replica_set.number
        self.proven = EpochSet(epoch, replica_set)
        if has_changed and self._may_write():
            self._disk.enqueue(self.records(), "sets", do_nothing)
        self._refresh()

    def accept(self, view: View, replica_set: ReplicaSet) -> None:
        """Record the set of an accepted view; the caller writes `records` along with the view."""
        self.accepted = EpochSet(view.epoch, replica_set)
        self._refresh()

    def records(self) -> Records:
        """Return the records that store the present state on disk."""
        return replica_set_records(self.accepted.replica_set, self.proven, self.names, self.zones)

    def store_zones(self, zones: Mapping[str, str]) -> None:
        """Update the zones of the other members, and write them to disk if they changed.

        A departed member can then be succeeded by a learner in its zone, even after a restart of
        the replicas that heard its zone.
        """
        if self.update_zones(zones) and self._may_write():
            self._disk.enqueue(zones_record(self.zones), "zones", do_nothing)

    def update_zones(self, zones: Mapping[str, str]) -> bool:
        """Update the zones without writing them; return whether they changed."""
        has_changed = zones != self.zones
        self.zones = dict(zones)
        return has_changed

    def _may_write(self) -> bool:
        return not self._lifecycle.disk_lost and self._lifecycle.membership_synced

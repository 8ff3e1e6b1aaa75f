"""Which replica sets this replica knows: of the view accepted last, and of the newest one active.

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
    """The sets, and the zones of the other members; kept on disk."""

    def __init__(self, disk: WriteQueue, lifecycle: Lifecycle, stored: StoredState) -> None:
        self._disk, self._lifecycle = disk, lifecycle
        self._listeners: list[Callable[[], None]] = []
        self.accepted = stored.accepted_set
        self.proven = stored.proven_set  # of the newest view known to be active
        self.zones = stored.zones
        self.current = self._find_current()  # who counts, as far as is known here
        self.names = self.current.names

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Have it called whenever `names` has changed."""
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

    def found(self, members: tuple[str, ...], system: int, then: Callback) -> None:
        """Write down the first set, and call `then` once it is synced."""
        first = initial_replica_set(members, system)
        self.accepted = self.accepted._replace(replica_set=first)
        self.proven = EpochSet(0, first)
        self._refresh()
        self._disk.enqueue(founding_records(self.names, first.system), "members", then)

    def meet(self, proven: EpochSet) -> None:
        """Learn of the system, with nothing on disk."""
        self.proven = proven
        self._refresh()

    def correct_system(self, system: int) -> None:
        """The members belong to a system of that number: what was founded here came to nothing."""
        replica_set = self.proven.replica_set._replace(system=system)
        self.proven = self.proven._replace(replica_set=replica_set)
        self._refresh()

    def prove(self, epoch: int, replica_set: ReplicaSet) -> None:
        """The view of that epoch, newer than `proven`, is active and carries that set."""
        is_other = replica_set.number != self.proven.replica_set.number
        self.proven = EpochSet(epoch, replica_set)
        if is_other and self._has_disk():
            self._disk.enqueue(self.records(), "sets", do_nothing)
        self._refresh()

    def accept(self, view: View, replica_set: ReplicaSet) -> None:
        """A view was accepted that carries that set; `records` are to be written with it."""
        self.accepted = EpochSet(view.epoch, replica_set)
        self._refresh()

    def records(self) -> Records:
        """What is to be on disk of all this."""
        return replica_set_records(self.accepted.replica_set, self.proven, self.names, self.zones)

    def remember_zones(self, zones: Mapping[str, str]) -> None:
        """Keep where the other members run.

        One that is gone may then be succeeded in its zone, also after a restart of those who heard
        it.
        """
        if self.note_zones(zones) and self._has_disk():
            self._disk.enqueue(zones_record(self.zones), "zones", do_nothing)

    def note_zones(self, zones: Mapping[str, str]) -> bool:
        """The same, where `records` are to be written anyway; whether they differ from before."""
        is_other = zones != self.zones
        self.zones = dict(zones)
        return is_other

    def _has_disk(self) -> bool:
        return not self._lifecycle.disk_lost and self._lifecycle.membership_synced

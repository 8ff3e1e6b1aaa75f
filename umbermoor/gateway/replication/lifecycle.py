"""How a replica starts: cold, with its disk, or after its disk was lost.

A cold replica belongs to a system that is yet to be founded. One whose disk was lost counts for
nothing until it is given the state, as its promises can no longer be known: docs/storage.md.
"""

from umbermoor.gateway.replication.stored_records import no_founding_records
from umbermoor.gateway.replication.write_queue import WriteQueue, do_nothing


class Lifecycle:
    """Whether this replica is cold, has lost its disk, and has its membership on disk."""

    __slots__ = ("_disk", "cold_start", "disk_lost", "membership_synced")

    def __init__(self, disk: WriteQueue, cold_start: bool, has_members: bool) -> None:
        self._disk = disk
        self.cold_start = cold_start and not has_members
        self.disk_lost = not cold_start and not has_members
        self.membership_synced = has_members  # who the members are is synced

    def found(self) -> None:
        """The system is founded; its members are being written."""
        self.cold_start = False

    def founding_synced(self) -> None:
        """They are on disk."""
        self.membership_synced = True

    def fill_from_others(self) -> None:
        """There is a system already: this replica is one of it whose disk is empty."""
        self.cold_start, self.disk_lost = False, True

    def void_founding(self) -> None:
        """The system was founded before, when this disk was another: the new one must not be."""
        self.disk_lost, self.membership_synced = True, False
        self._disk.enqueue(no_founding_records(), "members", do_nothing)

    def view_synced(self) -> None:
        """A view and its state are on disk: whatever was lost is filled."""
        self.disk_lost, self.membership_synced = False, True

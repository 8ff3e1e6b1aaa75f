"""How a replica starts: cold, with its disk, or after its disk was lost.

A cold replica belongs to a system that has not been founded yet. A replica whose disk was lost does
not count until it is given the state, because its promises can no longer be known: docs/storage.md.
"""

from umbermoor.gateway.replication.stored_records import founding_removal_records
from umbermoor.gateway.replication.write_queue import WriteQueue, do_nothing


class Lifecycle:
    """Whether this replica is cold, has lost its disk, and has synced its membership."""

    __slots__ = ("_disk", "cold_start", "disk_lost", "membership_synced")

    def __init__(self, disk: WriteQueue, cold_start: bool, has_members: bool) -> None:
        self._disk = disk
        self.cold_start = cold_start and not has_members
        self.disk_lost = not cold_start and not has_members
        self.membership_synced = has_members  # whether the list of members is synced

    def begin_founding(self) -> None:
        """Note that the system is founded and its members are being written."""
        self.cold_start = False

    def founding_synced(self) -> None:
        """Note that the members are synced to disk."""
        self.membership_synced = True

    def join_existing_system(self) -> None:
        """Note that a system exists already, which this replica joins with an empty disk."""
        self.cold_start, self.disk_lost = False, True

    def void_founding(self) -> None:
        """Void the new founding: the system was founded before this disk was replaced."""
        self.disk_lost, self.membership_synced = True, False
        self._disk.enqueue(founding_removal_records(), "members", do_nothing)

    def view_synced(self) -> None:
        """Note that an accepted view and its state are synced: the disk is complete."""
        self.disk_lost, self.membership_synced = False, True

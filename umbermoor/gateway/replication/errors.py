"""Errors of the replication package. Results of calls are values of `umbermoor.gateway.effects`."""


class ReplicationError(Exception):
    """Base class of this package's errors."""


class InconsistentStateError(ReplicationError, ValueError):
    """Stored records contradict each other, so the replica must not start from them."""

    def __init__(self, stored_epoch: int, view_epoch: int) -> None:
        super().__init__(f"a version of epoch {stored_epoch} was stored in view {view_epoch}")
        self.stored_epoch = stored_epoch
        self.view_epoch = view_epoch


class DamagedStoreError(ReplicationError):
    """The stored data is damaged, so the disk counts as lost."""


class DamagedPagesError(DamagedStoreError):
    """Pages of the file differ from what a commit left; the message says where."""


class DamagedRecordsError(DamagedStoreError):
    """Records differ from what was written; the message says which."""

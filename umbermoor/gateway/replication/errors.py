"""Errors of the replication package. Outcomes of calls are values: `umbermoor.gateway.effects`."""


class ReplicationError(Exception):
    """Base of this package's errors."""


class InconsistentStateError(ReplicationError, ValueError):
    """Stored records contradict each other: the replica must not start on them."""

    def __init__(self, stored_epoch: int, view_epoch: int) -> None:
        super().__init__(f"a version of epoch {stored_epoch} was stored in view {view_epoch}")
        self.stored_epoch = stored_epoch
        self.view_epoch = view_epoch


class DamagedStoreError(ReplicationError):
    """What is stored does not hold together: it counts as lost."""


class DamagedPagesError(DamagedStoreError):
    """The file's pages are not what a commit left; says where."""


class DamagedRecordsError(DamagedStoreError):
    """The records are not what was written; says which."""

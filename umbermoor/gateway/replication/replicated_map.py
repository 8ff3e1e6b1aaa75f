"""The map that all members replicate: as written locally, and as known to be committed."""

from collections.abc import Mapping

from umbermoor.gateway.effects import JsonValue
from umbermoor.gateway.replication.messages import Entry
from umbermoor.gateway.replication.stored_records import (
    Records,
    StoredState,
    value_record,
)
from umbermoor.gateway.replication.view import Version


class ReplicatedMap:
    """The written and the committed state of the map.

    `values` is the state on disk once the queued writes are synced; `committed` is the state that
    reads return.
    """

    def __init__(self, stored: StoredState) -> None:
        self.values = stored.values
        self.last_sequence = stored.last_sequence  # last write in `values`, in the accepted view
        self.committed: dict[str, JsonValue] = {}
        self.version: Version = (0, 0)  # of `committed`

    def apply(self, entry: Entry) -> Records:
        """Apply the next entry to `values`; return the records to write to disk."""
        self.last_sequence += 1
        _put(self.values, entry)
        return value_record(entry.key, entry.value)

    def commit(self, entry: Entry) -> None:
        """Apply a committed entry to `committed`; the caller sets `commit_version` afterwards."""
        _put(self.committed, entry)

    def commit_version(self, version: Version) -> None:
        """Set the version of `committed`, once all entries up to it have been committed."""
        self.version = version

    def begin_view(self, values: Mapping[str, JsonValue]) -> None:
        """Start an accepted view, whose map begins with `values`."""
        self.values = dict(values)
        self.last_sequence = 0

    def fill(self, values: Mapping[str, JsonValue]) -> None:
        """Replace `values` by the committed state that a learner received."""
        self.values = dict(values)

    def clear(self) -> Records:
        """Empty `values`; return the records that remove them from disk."""
        records: Records = {}
        for key in self.values:
            records |= value_record(key, None)
        self.values = {}
        return records

    def activate(self, epoch: int) -> None:
        """Mark the accepted view as active: the state that it began with is committed."""
        self.committed, self.version = dict(self.values), (epoch, 0)

    def adopt(self, version: Version, committed: Mapping[str, JsonValue]) -> None:
        """Replace the committed state by a newer one received from another replica."""
        self.committed, self.version = dict(committed), version

    def diff_records(self, values: Mapping[str, JsonValue]) -> Records:
        """Return the records whose write turns the map on disk into `values`."""
        records: Records = {}
        for key in self.values:
            if key not in values:
                records |= value_record(key, None)
        for key, value in values.items():
            if key not in self.values or self.values[key] != value:
                records |= value_record(key, value)
        return records


def _put(values: dict[str, JsonValue], entry: Entry) -> None:
    if entry.value is None:
        values.pop(entry.key, None)
    else:
        values[entry.key] = entry.value

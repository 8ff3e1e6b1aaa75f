"""The map that all members hold: as written here, and as known to be committed."""

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
    """Two states of one map. `values` is, or will next be, on disk."""

    def __init__(self, stored: StoredState) -> None:
        self.values = stored.values
        self.last_sequence = stored.last_sequence  # of the writes in `values`, in the view accepted
        self.committed: dict[str, JsonValue] = {}
        self.version: Version = (0, 0)  # of `committed`

    def apply(self, entry: Entry) -> Records:
        """Write the next entry; what is to be put on disk."""
        self.last_sequence += 1
        _put(self.values, entry)
        return value_record(entry.key, entry.value)

    def commit(self, entry: Entry) -> None:
        """An entry is committed; `commit_version` says up to where."""
        _put(self.committed, entry)

    def commit_version(self, version: Version) -> None:
        """All writes up to there are committed."""
        self.version = version

    def begin_view(self, values: Mapping[str, JsonValue]) -> None:
        """A view is accepted, whose map begins as that."""
        self.values = dict(values)
        self.last_sequence = 0

    def fill(self, values: Mapping[str, JsonValue]) -> None:
        """A learner writes down what is committed."""
        self.values = dict(values)

    def clear(self) -> Records:
        """Give up what is on disk; what is to be removed there."""
        records: Records = {}
        for key in self.values:
            records |= value_record(key, None)
        self.values = {}
        return records

    def activate(self, epoch: int) -> None:
        """The view accepted is active: what it began with is committed."""
        self.committed, self.version = dict(self.values), (epoch, 0)

    def adopt(self, version: Version, committed: Mapping[str, JsonValue]) -> None:
        """Take over what others know to be committed."""
        self.committed, self.version = dict(committed), version

    def diff_records(self, values: Mapping[str, JsonValue]) -> Records:
        """What is to be put on disk for `values` to become those."""
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

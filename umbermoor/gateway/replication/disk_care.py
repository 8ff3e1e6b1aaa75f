"""Rewrites of values already on disk, to probe a slow disk or to repair a damaged record."""

from collections.abc import Iterable, Sequence

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.stored_records import VALUE_PREFIX, Records, value_record
from umbermoor.gateway.replication.write_queue import do_nothing


def probe_disk(context: Context) -> None:
    """Test whether a disk that was slow still is, by writing what a view change would write.

    Does so only while this replica serves no view, so that no caller waits for the write.
    """
    lifecycle = context.lifecycle
    if context.views.serving or lifecycle.disk_lost or not lifecycle.membership_synced:
        return
    if context.disk.begin_probe(context.now):
        context.disk.enqueue(_records(context, context.map.values), "probe", do_nothing)


def repair_records(context: Context, records: Sequence[str]) -> bool:
    """Write the given records again from the values held in memory.

    Returns False, and writes nothing, if one of them is not a value of the map.
    """
    keys = [record.removeprefix(VALUE_PREFIX) for record in records]
    for key, record in zip(keys, records):
        if key == record or key not in context.map.values:
            return False
    context.disk.enqueue(_records(context, keys), "mend", do_nothing)
    return True


def _records(context: Context, keys: Iterable[str]) -> Records:
    records: Records = {}
    for key in keys:
        records |= value_record(key, context.map.values[key])
    return records

"""Steps of store.feature; see tests/gateway/store_faults.py for the injected faults."""

import asyncio
import json
import os
import random
import tempfile
from contextlib import suppress
from typing import Any
from unittest.mock import patch

import lmdb
from behave import given, then, when

from tests.gateway import store_faults
from umbermoor.gateway.config.node_settings import parse_node_settings
from umbermoor.gateway.effects import UnsupportedFormatError
from umbermoor.gateway.replication import pages
from umbermoor.gateway.replication.anti_entropy import DigestComparison
from umbermoor.gateway.replication.errors import DamagedPagesError, DamagedRecordsError
from umbermoor.gateway.replication.manifest import (
    DIGEST_SIZE,
    MANIFEST_KEY,
    VerifiedRecords,
    digest,
)
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.replication.store import DATA, Store
from umbermoor.gateway.replication.view_change import ViewChange
from umbermoor.gateway.simulation.replica_storm import storm
from umbermoor.gateway.simulation.violations import InvariantViolation

OLD = {
    "members": b'["a","b","c"]',
    "promise": b"16384",
    "view": b'[16384,["a","b"]]',
    "version": b"[16384,3]",
    "state/config": b'{"revision":7,"text":"{}"}',
    "machines": b"[]",
}
SETTINGS = """
nodeName = "core-1"
role = "controller"
machineClass = "core"
ip = "127.0.0.1"
zone = "z"
portRange = [7620,7620]
seeds = ["127.0.0.1:8649"]
coldStart = true
dataDir = "{path}"
[envelope]
diskMb = 16
"""


def folder(context: Any) -> str:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    return temporary.name


@then(
    "a store that is interrupted at each step of {count:d} writes, drawn with seed {seed:d}, holds the state before or after the write"
)
def _(context: Any, count: int, seed: int) -> None:
    assert store_faults.crash_at_each_step(folder(context), random.Random(seed), count) > 10 * count


@then(
    "interruptions at each step reveal a store that does not sync its pages before their meta page"
)
def _(context: Any) -> None:
    """Build files as if a commit wrote its meta page first, so that pages of the tree are missing."""
    chance = random.Random(5)
    caught = 0
    for before, old_state, after, new_state in store_faults.random_writes(
        os.path.join(folder(context), "run"), chance, 10
    ):
        meta = {
            place: after[place : place + store_faults.PAGE]
            for place in (0, store_faults.PAGE)
            if after[place : place + store_faults.PAGE] != before[place : place + store_faults.PAGE]
        }
        ((place, page),) = meta.items()
        found, lost = store_faults.open_copy(
            folder(context), before[:place] + page + before[place + store_faults.PAGE :]
        )
        assert lost or found in (old_state, new_state)
        caught += bool(lost)
    assert caught == 10


@then("each of {count:d} bit flips, drawn with seed {seed:d}, is found by the store or harmless")
def _(context: Any, count: int, seed: int) -> None:
    found, harmless = store_faults.flip_bits(folder(context), random.Random(seed), count)
    assert found > count // 20 and harmless


class WithoutChecksums(Store):
    """A store that verifies no digests."""

    def _verify(self, records: dict[bytes, bytes], commit: int) -> VerifiedRecords:
        records.pop(MANIFEST_KEY, None)
        values = {key: value[:-DIGEST_SIZE] for key, value in records.items()}
        return VerifiedRecords(values, {}, is_format_1=False)


class WithoutManifest(Store):
    """A store that verifies each record, but neither the manifest nor the tree not current."""

    def _check_file(self) -> None:
        if os.path.exists(self._file(DATA)) and not pages.check(self._file(DATA)):
            self._remove()

    def _verify(self, records: dict[bytes, bytes], commit: int) -> VerifiedRecords:
        records.pop(MANIFEST_KEY, None)
        values = {key: value[:-DIGEST_SIZE] for key, value in records.items()}
        if any(digest(key, values[key]) != value[-DIGEST_SIZE:] for key, value in records.items()):
            raise DamagedRecordsError("a record")
        return VerifiedRecords(values, {}, is_format_1=False)


@then("bit flips reveal a store that {broken}")
def _(context: Any, broken: str) -> None:
    if broken == "does not look at the pages":
        # LMDB would follow the damaged offset and a signal would kill the process. So the step does
        # not open the file with LMDB, but requires that the walk over the pages finds the damage.
        *_, (_, _, data, _) = store_faults.random_writes(
            os.path.join(folder(context), "run"), random.Random(1), 30
        )
        path = os.path.join(folder(context), DATA)
        with open(path, "wb") as file:
            file.write(data)
        with open(path, "rb") as file:
            metas = pages.read_metas(file)
        assert metas and pages.check(path)
        root_offset = metas[0].roots[1] * store_faults.PAGE
        with open(path, "r+b") as file:
            file.seek(root_offset + 16)
            file.write(b"\xff\xff")
        with suppress(DamagedPagesError):
            pages.check(path)
            raise AssertionError("a node outside its page was not found")
        return
    kind = {
        "skips the checksums": WithoutChecksums,
        "does not look at the manifest": WithoutManifest,
    }[broken]
    caught = 0
    for seed in range(20):
        try:
            store_faults.flip_bits(folder(context), random.Random(seed), 150, kind)
        except (AssertionError, lmdb.Error, ValueError):
            caught += 1
    assert caught


@then("a store of which only the first bytes were written counts as new, however many they are")
def _(context: Any) -> None:
    lmdb.open(path := folder(context), map_size=store_faults.SIZE).close()
    made = store_faults.read_file(path)
    assert len(made) == 2 * store_faults.PAGE
    for count in range(0, len(made) + 1, 512):
        for data in (
            made[:count],
            made[:count].ljust(len(made), b"\0"),
            bytes(count) + made[count:],
        ):
            assert store_faults.open_copy(folder(context), data) == ({}, "")


@given("a store written by the revision before")
def _(context: Any) -> None:
    context.path = folder(context)
    env = lmdb.open(context.path, map_size=store_faults.SIZE)
    with env.begin(write=True) as writing:
        for key, value in OLD.items():
            writing.put(key.encode(), value)
    env.close()


@then("the store holds what that revision wrote, and does not count as lost")
def _(context: Any) -> None:
    store = Store(context.path, store_faults.SIZE)
    assert store.load() == OLD and not store.lost
    store.close()


@then("after one more write the store finds a damaged record")
def _(context: Any) -> None:
    store = Store(context.path, store_faults.SIZE)
    assert store.write({"version": b"[16384,4]"})
    store.close()
    data = store_faults.read_file(context.path)
    assert store_faults.open_copy(folder(context), data) == (OLD | {"version": b"[16384,4]"}, "")
    place = data.rindex(b'"revision":7')
    corrupted = data[: place + 11] + b"8" + data[place + 12 :]
    found, lost = store_faults.open_copy(folder(context), corrupted)
    assert found == {} and "state/config" in lost


@given("a store of a later format")
def _(context: Any) -> None:
    context.path = folder(context)
    with patch("umbermoor.gateway.replication.manifest.FORMAT", 3):
        store = Store(context.path, store_faults.SIZE)
        assert store.write(dict(OLD))
        store.close()


@then("opening the store fails with its format named, and its file is unchanged")
def _(context: Any) -> None:
    before = store_faults.read_file(context.path)
    try:
        Store(context.path, store_faults.SIZE)
    except UnsupportedFormatError as error:
        assert "format 3" in str(error)
    else:
        raise AssertionError("the store was opened")
    assert store_faults.read_file(context.path) == before


@given("a store with a damaged record")
def _(context: Any) -> None:
    context.path = folder(context)
    store = Store(context.path, store_faults.SIZE)
    assert store.write(dict(OLD))
    store.close()
    path = os.path.join(context.path, DATA)
    data = bytearray(store_faults.read_file(context.path))
    data[data.index(b'"revision":7') + 11] ^= 1
    with open(path, "wb") as file:
        file.write(data)


@then("the store counts as lost, also when it is opened again")
def _(context: Any) -> None:
    for _ in range(2):
        store = Store(context.path, store_faults.SIZE)
        assert store.load() == {} and "state/config" in store.lost
        store.close()


@when("a member that was given the state writes it to the store")
def _(context: Any) -> None:
    store = Store(context.path, store_faults.SIZE)
    assert store.write(dict(OLD))
    store.close()


@then("the store no longer counts as lost when it is opened again")
def _(context: Any) -> None:
    store = Store(context.path, store_faults.SIZE)
    assert store.load() == OLD and not store.lost
    store.close()


@then("a controller with that store and coldStart set counts its disk as lost and founds nothing")
def _(context: Any) -> None:
    from umbermoor.gateway.server.controller import Controller

    settings = parse_node_settings(SETTINGS.format(path=context.path).encode())
    assert settings.cold_start
    core = Controller(settings, random.Random(1))
    for now in range(0, 5_000_000, 50_000):
        assert not core.replica.tick(now)
    assert (
        core.replica.status().role == "blank"
        and not core.replica.connected
        and not core.replica.member_names
    )
    core.store.close()


@given("a store whose meta page could not be written")
def _(context: Any) -> None:
    context.store = Store(folder(context), store_faults.SIZE)
    assert context.store.write(dict(OLD))
    context.add_cleanup(context.store.close)


@then("the next write to the store fails, and the one after it succeeds")
def _(context: Any) -> None:
    store, environment = context.store, context.store._lmdb

    class PanickingEnvironment:
        """An LMDB environment that failed to write a meta page."""

        def begin(self, write: bool = False) -> Any:
            raise lmdb.PanicError("mdb_txn_begin")

        def close(self) -> None:
            environment.close()

    store._lmdb = PanickingEnvironment()
    assert not store.write({"version": b"[16384,4]"})
    assert store.open and store.write({"version": b"[16384,5]"})
    assert store.load() == OLD | {"version": b"[16384,5]"}


@given("a store with little space")
def _(context: Any) -> None:
    context.store = Store(folder(context), 1 << 20)
    context.add_cleanup(context.store.close)


@then(
    "the store refuses a write that does not fit, reports that it is full, and takes the write once a record was removed"
)
def _(context: Any) -> None:
    store, value = context.store, json.dumps("x" * 400_000).encode()
    assert store.write({"a": value}) and not store.full
    assert not store.write({"b": value, "c": value}) and store.full
    assert store.load() == {"a": value}
    assert store.write({"a": None})
    assert store.write({"b": value}) and not store.full
    assert store.load() == {"b": value}


TEXT = json.dumps({"revision": "00000007", "services": {}, "routes": {}, "note": "x" * 3000})


@given("a controller whose disk holds a configuration")
def _(context: Any) -> None:
    from umbermoor.gateway.server.controller import Controller

    context.path = folder(context)
    store = Store(context.path, store_faults.SIZE)
    assert store.write(OLD | {"state/config": json.dumps({"revision": 7, "text": TEXT}).encode()})
    store.close()
    context.core = Controller(
        parse_node_settings(SETTINGS.format(path=context.path).encode()), random.Random(1)
    )
    context.add_cleanup(context.core.store.close)


def overwrite(context: Any, place: int, data: bytes) -> None:
    with open(os.path.join(context.path, DATA), "r+b") as file:
        file.seek(place)
        file.write(data)


@when("a bit of the configuration flips on the controller's disk")
def _(context: Any) -> None:
    data = store_faults.read_file(context.path)
    overwrite(context, data.rindex(b"xxxx"), b"y")


@when("a bit of the view flips on the controller's disk")
def _(context: Any) -> None:
    data = store_faults.read_file(context.path)
    overwrite(context, data.rindex(b'[16384,["a"') + 1, b"2")


@when("a page is overwritten on the controller's disk")
def _(context: Any) -> None:
    with open(os.path.join(context.path, DATA), "rb") as file:
        metas = pages.read_metas(file)
    overwrite(context, metas[0].roots[1] * store_faults.PAGE, b"\xff" * store_faults.PAGE)


@when("the controller's next sweep is due")
def _(context: Any) -> None:
    from umbermoor.gateway.server.store_sweep import SWEEP_INTERVAL

    core = context.core

    async def sweep() -> None:
        core.sweep.tick(core.clock() + SWEEP_INTERVAL)
        while core.sweep.running or core.replica.context.disk.is_writing:
            await asyncio.sleep(0)

    asyncio.run(asyncio.wait_for(sweep(), 20))


@then("the controller has repaired one record, and its disk holds what was written")
def _(context: Any) -> None:
    assert context.core.sweep.repaired == 1 and context.core.sweep.completed == 1
    assert not context.core.shutdown.requested.is_set()
    assert context.core.store.sweep() == []
    found, lost = store_faults.open_copy(folder(context), store_faults.read_file(context.path))
    assert not lost and json.loads(found["state/config"]) == {"revision": 7, "text": TEXT}


@then("the controller shuts down, and a start on its disk counts the disk as lost")
def _(context: Any) -> None:
    assert context.core.shutdown.requested.is_set() and not context.core.sweep.repaired
    found, lost = store_faults.open_copy(folder(context), store_faults.read_file(context.path))
    assert lost and not found


@then("after {count:d} changes of 60 kB and of 20 roll-outs the store is below {most:d} MB")
def _(context: Any, count: int, most: int) -> None:
    store, chance = Store(folder(context), 150 << 20), random.Random(1)
    text = "x" * 60_000
    for number in range(count):
        puts = {
            "state/config": b'{"n": %d, "text": "%s"}' % (number, text.encode()),
            "version": b"[64, %d]" % number,
        }
        if number % 3 == 0:
            puts[f"state/rollout/s{chance.randrange(20)}"] = b'{"order": %d}' % number
        assert store.write(puts)
    assert store.used() < most << 20, store.used()
    assert len(store.load()) == 22
    store.close()


@then("a controller answers a pull from any version with exactly the roll-outs that changed since")
def _(context: Any) -> None:
    """Compare the answers with a model that remembers the roll-outs of every version."""
    from umbermoor.gateway.server.controller import Controller

    chance = random.Random(2)
    core = Controller(parse_node_settings(SETTINGS.format(path=folder(context)).encode()), chance)
    history: list[tuple[tuple[int, int], dict[str, Any]]] = [((0, 0), {})]
    epoch, seq = 64, 0
    for number in range(200):
        records = dict(history[-1][1])
        epoch, seq = (
            (epoch + 64, 0) if chance.random() < 0.1 else (epoch, seq + chance.randrange(1, 3))
        )
        for _ in range(chance.choice((0, 1, 3))):
            records[f"rollout/s{chance.randrange(6)}"] = {
                "order": 1,
                "serial": number,
                "target": "v2",
                "from": ["v1"],
                "rampS": 10,
                "state": "running",
                "stage": 0,
                "elapsed": 0.0,
                "why": "",
            }
        history.append(((epoch, seq), records))
        if chance.random() < 0.3:
            continue  # the controller never sees this version
        committed = records | {"config": {"revision": number, "text": "{}"}}
        core.replica.context.map.adopt((epoch, seq), committed)
        core.host.carry_out([])
        for version, old_records in history:
            changes = core.publisher.history.changes_since(version)
            assert old_records | changes == records, (version, changes)
            if version == (epoch, seq):
                assert not changes
    core.store.close()


class OwnStateViewChange(ViewChange):
    """A view change that ignores the state that the promises carry, and uses its own."""

    def _decide(self, attempt: Any) -> None:
        attempt.promises = {
            name: promise
            if name == self._context.name or promise.disk_lost
            else promise._replace(version=(0, 0), state=None)
            for name, promise in attempt.promises.items()
        }
        super()._decide(attempt)


class OwnStateReplica(Replica):
    """A replica that proposes views from its own state alone."""

    view_change_class = OwnStateViewChange


@then("storms find within {seeds:d} seeds that members propose views without the others' state")
def _(context: Any, seeds: int) -> None:
    with patch("umbermoor.gateway.simulation.replica_world.Replica", OwnStateReplica):
        for seed in range(seeds):
            try:
                storm(seed, 3, 60)
            except InvariantViolation:
                return
    raise AssertionError("no storm found a violation")


@then("a comparison of digests reports only members that differ at the same version")
def _(context: Any) -> None:
    values = {"config": {"revision": 1, "text": "{}"}, "rollout/a": {"order": 1}}
    same = json.loads(json.dumps(dict(reversed(values.items()))))
    flipped = json.loads(json.dumps(values).replace('"order": 1', '"order": 3'))
    message = json.loads(json.dumps(DigestComparison().message((64, 2), values)))
    equal = DigestComparison()
    assert (
        not equal.differs("a", message, (64, 2), same)
        and equal.compared == 1
        and not equal.differing
    )
    assert not equal.differs("a", message, (64, 3), flipped) and equal.compared == 1
    other = DigestComparison()
    assert other.differs("a", message, (64, 2), flipped) and other.differing == {"a": (64, 2)}
    assert not other.differs("a", message, (64, 2), flipped), "it is reported once"
    for junk in (
        {},
        {"version": 1, "digest": "x"},
        {"version": [64, 2], "digest": [1]},
        {"version": [0, 0], "digest": ""},
    ):
        assert not other.differs("b", junk, (64, 2), values) and not DigestComparison().differs(
            "b", junk, (0, 0), {}
        )
    assert (
        not other.differs("a", DigestComparison().message((64, 4), values), (64, 4), same)
        and not other.differing
    )

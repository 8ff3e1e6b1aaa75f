"""Steps of the store's features, see tests/gateway/stores.py."""

import json
import os
import random
import tempfile
from contextlib import suppress
from typing import Any
from unittest.mock import patch

import lmdb
from behave import given, then, when

from tests.gateway import stores
from umbermoor.gateway.almanac.papers import papers_from
from umbermoor.gateway.barograph import pages
from umbermoor.gateway.barograph.store import DATA, DIGEST, MANIFEST, Later, Store, digest

OLD = {"members": b'["a","b","c"]', "promise": b"16384", "view": b'[16384,["a","b"]]', "version": b"[16384,3]",
       "state/config": b'{"revision":7,"text":"{}"}', "machines": b"[]"}
SETTINGS = """
nodeName = "core-1"
role = "barograph"
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
    held = tempfile.TemporaryDirectory()
    context.add_cleanup(held.cleanup)
    return held.name


@then("a store that ends at each step of {count:d} changes, drawn by {seed:d}, holds what was written before or after")
def _(context: Any, count: int, seed: int) -> None:
    assert stores.play(folder(context), random.Random(seed), count) > 10 * count


@then("a store that does not sync its pages before their meta page is caught by the ends at each step")
def _(context: Any) -> None:
    """As if a commit wrote the meta page first: then a state in between has the meta page and lacks pages."""
    chance = random.Random(5)
    caught = 0
    for before, held, after, now in stores.run_of_changes(os.path.join(folder(context), "run"), chance, 10):
        meta = {place: after[place : place + stores.PAGE] for place in (0, stores.PAGE)
                if after[place : place + stores.PAGE] != before[place : place + stores.PAGE]}
        ((place, page),) = meta.items()
        found, lost = stores.opened(folder(context), before[:place] + page + before[place + stores.PAGE :])
        assert lost or found in (held, now)
        caught += bool(lost)
    assert caught == 10


@then("of {count:d} flipped bits drawn by {seed:d}, each is found by the store or does no harm")
def _(context: Any, count: int, seed: int) -> None:
    found, harmless = stores.rot(folder(context), random.Random(seed), count)
    assert found > count // 20 and harmless


class Trusting(Store):
    """Skips the checksums."""

    def _prove(self, records: dict[bytes, bytes], txn: int) -> dict[bytes, bytes]:
        records.pop(MANIFEST, None)
        return {key: value[:-DIGEST] for key, value in records.items()}


class Unnumbered(Store):
    """Proves each record, and does not look at the manifest, nor at the tree that is set aside."""

    def _prepare(self) -> None:
        if os.path.exists(self._file(DATA)) and not pages.check(self._file(DATA)):
            self._remove()

    def _prove(self, records: dict[bytes, bytes], txn: int) -> dict[bytes, bytes]:
        records.pop(MANIFEST, None)
        if any(digest(key, value[:-DIGEST]) != value[-DIGEST:] for key, value in records.items()):
            raise pages.Torn("a record")
        return {key: value[:-DIGEST] for key, value in records.items()}


@then("a store that {broken} is caught by flipped bits")
def _(context: Any, broken: str) -> None:
    if broken == "does not look at the pages":
        # LMDB itself would end the process by a signal, so what is asked is that the walk finds what LMDB would follow.
        *_, (_, _, data, _) = stores.run_of_changes(os.path.join(folder(context), "run"), random.Random(1), 30)
        path = os.path.join(folder(context), DATA)
        with open(path, "wb") as file:
            file.write(data)
        with open(path, "rb") as file:
            metas = pages.read_metas(file)
        assert metas and pages.check(path)
        at = metas[0].roots[1] * stores.PAGE
        with open(path, "r+b") as file:
            file.seek(at + 16)
            file.write(b"\xff\xff")
        with suppress(pages.Torn):
            pages.check(path)
            raise AssertionError("a node outside of its page was not seen")
        return
    kind = {"skips the checksums": Trusting, "does not look at the manifest": Unnumbered}[broken]
    caught = 0
    for seed in range(20):
        try:
            stores.rot(folder(context), random.Random(seed), 150, kind)
        except (AssertionError, lmdb.Error, ValueError):
            caught += 1
    assert caught


@then("a store of which only the first bytes were written is new, whatever their number")
def _(context: Any) -> None:
    lmdb.open(path := folder(context), map_size=stores.SIZE).close()
    made = stores.image(path)
    assert len(made) == 2 * stores.PAGE
    for count in range(0, len(made) + 1, 512):
        for data in (made[:count], made[:count].ljust(len(made), b"\0"), bytes(count) + made[count:]):
            assert stores.opened(folder(context), data) == ({}, "")


@given("a store as the revision before wrote it")
def _(context: Any) -> None:
    context.path = folder(context)
    env = lmdb.open(context.path, map_size=stores.SIZE)
    with env.begin(write=True) as writing:
        for key, value in OLD.items():
            writing.put(key.encode(), value)
    env.close()


@then("the store holds what that revision wrote, and is not lost")
def _(context: Any) -> None:
    store = Store(context.path, stores.SIZE)
    assert store.load() == OLD and not store.lost
    store.close()


@then("after one more write the store proves itself")
def _(context: Any) -> None:
    store = Store(context.path, stores.SIZE)
    assert store.write({"version": b"[16384,4]"})
    store.close()
    data = stores.image(context.path)
    assert stores.opened(folder(context), data) == (OLD | {"version": b"[16384,4]"}, "")
    place = data.rindex(b'"revision":7')
    spoilt = data[: place + 11] + b"8" + data[place + 12 :]
    found, lost = stores.opened(folder(context), spoilt)
    assert found == {} and "state/config" in lost


@given("a store that says that it is of a later format")
def _(context: Any) -> None:
    context.path = folder(context)
    with patch("umbermoor.gateway.barograph.store.FORMAT", 3):
        store = Store(context.path, stores.SIZE)
        assert store.write(dict(OLD))
        store.close()


@then("the store is refused with its format named, and its file is as it was")
def _(context: Any) -> None:
    before = stores.image(context.path)
    try:
        Store(context.path, stores.SIZE)
    except Later as error:
        assert "format 3" in str(error)
    else:
        raise AssertionError("it was taken")
    assert stores.image(context.path) == before


@given("a store of which a record is rotten")
def _(context: Any) -> None:
    context.path = folder(context)
    store = Store(context.path, stores.SIZE)
    assert store.write(dict(OLD))
    store.close()
    path = os.path.join(context.path, DATA)
    data = bytearray(stores.image(context.path))
    data[data.index(b'"revision":7') + 11] ^= 1
    with open(path, "wb") as file:
        file.write(data)


@then("the store is lost, also when it is opened again")
def _(context: Any) -> None:
    for _ in range(2):
        store = Store(context.path, stores.SIZE)
        assert store.load() == {} and "state/config" in store.lost
        store.close()


@when("the store gets what a filled member writes")
def _(context: Any) -> None:
    store = Store(context.path, stores.SIZE)
    assert store.write(dict(OLD))
    store.close()


@then("the store is no longer lost when it is opened again")
def _(context: Any) -> None:
    store = Store(context.path, stores.SIZE)
    assert store.load() == OLD and not store.lost
    store.close()


@then("the core on that store, marked cold, is blank and no founder")
def _(context: Any) -> None:
    from umbermoor.gateway.mast.core import Core

    papers = papers_from(SETTINGS.format(path=context.path).encode())
    assert papers.cold
    core = Core(papers, random.Random(1))
    for now in range(0, 5_000_000, 50_000):
        assert not core.member.tick(now)
    assert core.member.story()["role"] == "blank" and not core.member.connected and not core.member.everyone
    core.store.close()


@given("a store whose meta page could not be written")
def _(context: Any) -> None:
    context.store = Store(folder(context), stores.SIZE)
    assert context.store.write(dict(OLD))
    context.add_cleanup(context.store.close)


@then("the next write to the store is refused, and the one after it is done")
def _(context: Any) -> None:
    store, held = context.store, context.store._lmdb

    class Panics:
        """LMDB after a meta page that could not be written."""

        def begin(self, write: bool = False) -> Any:
            raise lmdb.PanicError("mdb_txn_begin")

        def close(self) -> None:
            held.close()

    store._lmdb = Panics()
    assert not store.write({"version": b"[16384,4]"})
    assert store.open and store.write({"version": b"[16384,5]"})
    assert store.load() == OLD | {"version": b"[16384,5]"}


@given("a store with little room")
def _(context: Any) -> None:
    context.store = Store(folder(context), 1 << 20)
    context.add_cleanup(context.store.close)


@then("the store refuses what does not fit as full, and takes it once something was removed")
def _(context: Any) -> None:
    store, value = context.store, json.dumps("x" * 400_000).encode()
    assert store.write({"a": value}) and not store.full
    assert not store.write({"b": value, "c": value}) and store.full
    assert store.load() == {"a": value}
    assert store.write({"a": None})
    assert store.write({"b": value}) and not store.full
    assert store.load() == {"b": value}

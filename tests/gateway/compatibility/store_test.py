"""Stores written by 496b6e6 can be opened, verified, written to, served and exported."""

import asyncio
import json
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.gateway.compatibility.this_revision import FIXTURES
from tests.gateway.compatibility.writes import WRITES
from umbermoor.gateway.cli.main import main as command
from umbermoor.gateway.local.gateway import LocalGateway
from umbermoor.gateway.local.node import ZONES, Node, free_addresses
from umbermoor.gateway.replication import pages
from umbermoor.gateway.replication.store import Store

STORES = FIXTURES / "stores"
EXPECTED = json.loads((FIXTURES / "stores.json").read_text())
CONTROLLERS = tuple(name for name in EXPECTED if name != "written")
NETWORK = CONTROLLERS[0].rpartition(".")[0]
SIZE = 8 << 20


def copy_store(name: str, folder: Path) -> Path:
    """Copy a store of the fixtures to `folder`, and return the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(STORES / name / "data.mdb", folder / "data.mdb")
    return folder


@pytest.mark.parametrize("name", EXPECTED)
def test_a_stored_store_holds_its_records(name: str, tmp_path: Path) -> None:
    store = Store(str(copy_store(name, tmp_path)), SIZE)
    held = {key: value.decode() for key, value in store.load().items()}
    assert not store.lost and store.sweep() == []
    store.close()
    assert held == EXPECTED[name]["held"]


@pytest.mark.parametrize("name", EXPECTED)
def test_the_pages_of_a_stored_store_are_consistent(name: str) -> None:
    path = STORES / name / "data.mdb"
    assert pages.check(str(path))
    with path.open("rb") as file:
        newest, older = pages.read_metas(file)
    assert newest.txn == older.txn + 1


@pytest.mark.parametrize("name", EXPECTED)
def test_a_stored_store_is_verified(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = copy_store(name, tmp_path)
    assert command(["state", "verify", str(folder)]) == 0
    records, size = EXPECTED[name]["records"], EXPECTED[name]["size"]
    assert capsys.readouterr().out == f"{folder}: sound, {records} records of {size} bytes\n"
    assert (folder / "data.mdb").read_bytes() == (STORES / name / "data.mdb").read_bytes()


def test_the_same_writes_leave_the_same_file(tmp_path: Path) -> None:
    store = Store(str(tmp_path), SIZE)
    assert all(store.write(puts) for puts in WRITES)
    store.close()
    written = (STORES / "written" / "data.mdb").read_bytes()
    assert (tmp_path / "data.mdb").read_bytes() == written


def test_a_stored_store_can_be_written_to(tmp_path: Path) -> None:
    folder = str(copy_store(CONTROLLERS[0], tmp_path))
    store = Store(folder, SIZE)
    assert store.write({"version": b"[60033,2]"})
    store.close()
    again = Store(folder, SIZE)
    held = {key: value.decode() for key, value in again.load().items()}
    again.close()
    assert held == EXPECTED[CONTROLLERS[0]]["held"] | {"version": "[60033,2]"}


async def with_controllers(folder: Path, act: Callable[[LocalGateway], Awaitable[None]]) -> None:
    """Start a controller on a copy of each store, call `act` once they serve, and stop them."""
    gateway = LocalGateway(folder, NETWORK, free_addresses()[1])
    for zone, address in zip(ZONES, CONTROLLERS, strict=False):
        node = Node(f"core-{zone}", "controller", address, zone)
        copy_store(address, folder / f"{node.name}.data")
        gateway.nodes.append(node)
    try:
        for node in gateway.nodes:
            await gateway.start_node(node, cold=False)
        await gateway.wait_for_chain(len(CONTROLLERS))
        await act(gateway)
    finally:
        await gateway.stop()


def test_controllers_started_on_stored_stores_serve_and_export(tmp_path: Path) -> None:
    held = EXPECTED[CONTROLLERS[0]]["held"]
    text = json.loads(held["state/config"])["text"]
    instances = {entry[0] for entry in json.loads(held["machines"])}

    async def act(gateway: LocalGateway) -> None:
        at = [word for place in gateway.control_addresses for word in ("--at", place)]

        async def run(*words: str) -> None:
            assert await asyncio.to_thread(command, [*words, *at]) == 0, words

        await run("configuration", "read", "--to", str(tmp_path / "read"))
        await run("state", "export", str(tmp_path / "export"))
        assert (tmp_path / "read").read_text() == text
        exported = json.loads((tmp_path / "export").read_text())
        assert exported["configuration"] == text
        assert set(exported["rollouts"]) == {"almanac"}
        assert exported["rollouts"]["almanac"]["target"] == "v2"
        stories = await gateway.statuses()
        assert len(stories) == len(CONTROLLERS)
        for story in stories.values():
            assert story["replicaSet"]["number"] == json.loads(held["sets"])[0][1]
            assert story["instances"] >= len(instances)
        await gateway.put_configuration(4)
        await gateway.check_configuration(4)

    asyncio.run(with_controllers(tmp_path, act))

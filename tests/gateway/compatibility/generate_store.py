"""Writes the stores of two controllers by running a gateway of 496b6e6 on loopback.

Usage, with a checkout of that revision (`git worktree add --detach FOLDER 496b6e6`):

    PYTHONPATH=FOLDER python tests/gateway/compatibility/generate_store.py

Three controllers take three configurations, one after another, a roll-out and the registrations of
six instances; then one controller is replaced, so that there were two replica sets. The stores are
those of two controllers of the second one, a majority, after they ended. The names of modules here
are those of that revision.
"""

import asyncio
import json
import shutil
import signal
import sys
import tempfile
from pathlib import Path

from umbermoor.gateway.barograph.store import Store, verify
from umbermoor.gateway.logbook.caller import Caller, Told
from umbermoor.gateway.plot.local import SERVICE, ZONES, Node, Plot, _free, _signal
from writes import WRITES

FIXTURES = Path(__file__).parents[1] / "fixtures"
NETWORK = "127.44.5"  # of the addresses that the stores name
CONFIGURATIONS = 3


def call(plot: Plot, method: str, path: str, body: object = None) -> dict:
    """A call's answer."""
    data = b"" if body is None else json.dumps(body).encode()
    told = Caller(plot.controls, 12.0).call(method, path, data)
    assert isinstance(told, Told) and told.done, told
    return json.loads(told.body or b"{}")


async def roll_out(plot: Plot) -> None:
    """Moves the service to a second version."""
    order = {"service": SERVICE, "target": "v2", "rampS": 5, "key": "order-1"}
    await asyncio.to_thread(call, plot, "POST", "/Rollouts.Begin", order)
    for machine in plot.machines_of("v2"):
        await machine.start()
    counts = asyncio.get_running_loop().time() + 6
    while asyncio.get_running_loop().time() < counts:
        for front in plot.fronts:
            await plot.request(front)
        await asyncio.sleep(0.05)
    plot.say(str(await asyncio.to_thread(call, plot, "GET", f"/Rollouts.Read/{SERVICE}")))


async def replace(plot: Plot, old: Node) -> Node:
    """Puts a new controller in the place of an old one."""
    new = Node("core-new", "barograph", f"{NETWORK}.51", old.zone)
    plot.nodes.append(new)
    await plot.start(new, cold=False)

    async def ready() -> bool:
        told = await asyncio.to_thread(call, plot, "GET", "/Members")
        return bool(told["learners"].get(new.ip))

    await plot.until("the new one ready", ready)
    change = {"add": new.ip, "remove": old.ip}
    plot.say(str(await asyncio.to_thread(call, plot, "POST", "/Members.Change", change)))
    _signal(old.process, signal.SIGTERM)
    await old.process.wait()
    old.process = None
    await plot.chain(3)
    await asyncio.sleep(2.0)  # the list of instances is stored once a second
    return new


async def play(plot: Plot) -> None:
    """All that the stores are to hold."""
    for number, zone in enumerate(ZONES):
        plot.nodes.append(Node(f"core-{zone}", "barograph", f"{NETWORK}.{11 + number}", zone))
    for number, zone in enumerate(ZONES[:2]):
        plot.nodes.append(Node(f"front-{zone}", "vane", f"{NETWORK}.{21 + number}", zone))
    for node in plot.nodes:
        await plot.start(node, cold=True)
    await plot.chain(3)
    for machine in plot.machines_of("v1"):
        await machine.start()
    for revision in range(1, CONFIGURATIONS + 1):
        await plot.put(revision)
    await plot.ready()
    await roll_out(plot)
    new = await replace(plot, plot.cores[0])
    kept = [plot.cores[1], new]
    await plot.end()
    for node in kept:
        folder = FIXTURES / "stores" / node.ip
        folder.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(plot.folder / f"{node.name}.data" / "data.mdb", folder / "data.mdb")


def expected(folder: Path) -> dict:
    """What this revision finds in a store, looked at in a copy."""
    with tempfile.TemporaryDirectory() as copy:
        shutil.copyfile(folder / "data.mdb", Path(copy) / "data.mdb")
        records, size = verify(copy)
        store = Store(copy, 8 << 20)
        held = {key: value.decode() for key, value in store.load().items()}
        store.close()
    return {"records": records, "size": size, "held": held}


def write_page_by_page() -> None:
    """A store that took WRITES, one after another."""
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder, 8 << 20)
        for puts in WRITES:
            assert store.write(puts)
        store.close()
        target = FIXTURES / "stores" / "written"
        target.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(Path(folder) / "data.mdb", target / "data.mdb")


async def main() -> int:
    """Plays it in a temporary folder, and says what the stores hold."""
    with tempfile.TemporaryDirectory() as folder:
        plot = Plot(Path(folder), NETWORK, _free()[1])
        try:
            await play(plot)
        finally:
            if not plot.ending:
                await plot.end()
    write_page_by_page()
    found = {folder.name: expected(folder) for folder in sorted((FIXTURES / "stores").iterdir())}
    (FIXTURES / "stores.json").write_text(json.dumps(found, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

"""Writes the stores of two controllers by running a gateway of 496b6e6 on loopback.

Usage, with a checkout of that revision (`git worktree add --detach FOLDER 496b6e6`):

    PYTHONPATH=FOLDER python tests/gateway/compatibility/generate_store.py

Three controllers receive three configurations in sequence, a roll-out, and the registrations of six
instances; then one controller is replaced, so that the stores contain two replica sets. The stores
are taken from two controllers of the second set, which are a majority of it, after they ended. The
modules imported here have the names of that revision.
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
NETWORK = "127.44.5"  # network of the addresses in the stores
CONFIGURATIONS = 3


def call(plot: Plot, method: str, path: str, body: object = None) -> dict:
    """Make a call that must succeed, and return its JSON answer."""
    data = b"" if body is None else json.dumps(body).encode()
    told = Caller(plot.controls, 12.0).call(method, path, data)
    assert isinstance(told, Told) and told.done, told
    return json.loads(told.body or b"{}")


async def roll_out(plot: Plot) -> None:
    """Roll the service out to a second version."""
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
    """Replace a controller by a new one, and return the new one."""
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
    """Perform all changes that the stores must contain, and copy the stores to the fixtures."""
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
    """Return what this revision finds in a copy of a store."""
    with tempfile.TemporaryDirectory() as copy:
        shutil.copyfile(folder / "data.mdb", Path(copy) / "data.mdb")
        records, size = verify(copy)
        store = Store(copy, 8 << 20)
        held = {key: value.decode() for key, value in store.load().items()}
        store.close()
    return {"records": records, "size": size, "held": held}


def write_page_by_page() -> None:
    """Write the fixture of a store to which WRITES were applied in sequence."""
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder, 8 << 20)
        for puts in WRITES:
            assert store.write(puts)
        store.close()
        target = FIXTURES / "stores" / "written"
        target.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(Path(folder) / "data.mdb", target / "data.mdb")


async def main() -> int:
    """Run the gateway in a temporary folder, and write the stores and their expected contents."""
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

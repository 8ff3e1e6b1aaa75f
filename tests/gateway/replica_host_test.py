"""What the host of a replica does at the end of its process."""

import asyncio
from types import SimpleNamespace

from umbermoor.gateway.effects import Write
from umbermoor.gateway.server.replica_host import ReplicaHost


def nothing(*args):
    pass


def test_a_write_behind_the_close_of_the_disk_is_neither_made_nor_an_error():
    written = []
    host = ReplicaHost(
        SimpleNamespace(version=(0, 0), stored=nothing),
        SimpleNamespace(write=lambda puts: written.append(puts) or True),
        SimpleNamespace(send=nothing),
        lambda: 0,
        last_call_number=0,
        on_commit=nothing,
        on_effects=nothing,
        on_store_lost=nothing,
        invariants=SimpleNamespace(),
    )
    host.close()

    async def receive_late():
        host.carry_out([Write(1, {"promise": b"7"})])

    asyncio.run(receive_late())
    assert written == []

"""The replica host after it was closed."""

import asyncio
from types import SimpleNamespace

from umbermoor.gateway.effects import Write
from umbermoor.gateway.server.replica_host import ReplicaHost


def do_nothing(*args):
    pass


def test_write_after_close_is_dropped_without_error():
    written = []
    host = ReplicaHost(
        SimpleNamespace(version=(0, 0), stored=do_nothing),
        SimpleNamespace(write=lambda puts: written.append(puts) or True),
        SimpleNamespace(send=do_nothing),
        lambda: 0,
        last_call_number=0,
        on_commit=do_nothing,
        on_effects=do_nothing,
        on_store_lost=do_nothing,
        invariants=SimpleNamespace(),
    )
    host.close()

    async def receive_late():
        host.carry_out([Write(1, {"promise": b"7"})])

    asyncio.run(receive_late())
    assert written == []

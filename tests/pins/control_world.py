"""Runs of the control world: every frame, synced record, HTTP answer and attempt with its time.

The hooks are at the virtual network and disks, below the programs: a frame is traced when it is
passed to TCP, a record when it is synced, a call of an operator or instance when its answer arrives.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from tests.pins.trace import Trace
from tests.pins.wire_forms import frame_form
from umbermoor.gateway.server.client_connection import PendingRequest
from umbermoor.gateway.simulation import traffic
from umbermoor.gateway.simulation.control_world import ControlWorld
from umbermoor.gateway.simulation.schedule_generator import draw
from umbermoor.gateway.simulation.virtual_disk import VirtualDisk
from umbermoor.gateway.simulation.virtual_network import Handler, Respond, VirtualNetwork
from umbermoor.gateway.simulation.virtual_transport import VirtualTransport

FIRST_SEED = 1000
DAYS = 100  # for each number of members
SHORT_DAYS = {3: 6, 5: 2}  # by number of members


def cases(every: bool) -> list[str]:
    """Return the names of the cases, `members/seed`."""
    counts = dict.fromkeys(SHORT_DAYS, DAYS) if every else SHORT_DAYS
    return [
        f"{members}/{seed}"
        for members, count in counts.items()
        for seed in range(FIRST_SEED, FIRST_SEED + count)
    ]


def play(case: str, trace: Trace) -> None:
    """Record the run of a case in the trace."""
    members, seed = map(int, case.split("/"))
    world = ControlWorld(draw(seed, members))
    with _recorded(trace, world):
        world.run()
    trace.add("troubles", sorted(world.faults.items()))
    trace.add("counts", sorted((world.counts + world.invariants.counts).items()))


@contextmanager
def _recorded(trace: Trace, world: ControlWorld) -> Iterator[None]:
    write, sync, call = VirtualTransport.write, VirtualDisk.write, VirtualNetwork.call
    request_sent, time = world.traffic.request_sent, world.time
    disks = {id(host.disk): ip for ip, host in world.network.hosts.items()}

    def traced_write(transport: VirtualTransport, data: bytes) -> None:
        sender = transport.process.host.ip
        trace.add(time.now, sender, transport.peer_ip, *frame_form(bytes(data)))
        write(transport, data)

    def traced_sync(disk: VirtualDisk, puts: dict[str, bytes | None]) -> bool:
        done = sync(disk, puts)
        trace.add(time.now, disks[id(disk)], "disk", puts, done)
        return done

    def traced_call(
        network: VirtualNetwork, source: str, target: str, handle: Handler, respond: Respond
    ) -> None:
        def answered(status: int, body: bytes) -> None:
            trace.add(time.now, target, "http", status, body)
            respond(status, body)

        call(network, source, target, handle, answered)

    def traced_attempt(proxy: str, entry: Any, attempt: Any) -> None:
        trace.add(time.now, proxy, "attempt", entry.id)
        request_sent(proxy, entry, attempt)

    def traced_answer(
        pending: PendingRequest, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        trace.add(time.now, "client", status, body, headers)
        pending.response = status, body, headers

    with (
        patch.object(VirtualTransport, "write", traced_write),
        patch.object(VirtualDisk, "write", traced_sync),
        patch.object(VirtualNetwork, "call", traced_call),
        patch.object(world.traffic, "request_sent", traced_attempt),
        patch.object(traffic.SimulatedClient, "respond", staticmethod(traced_answer)),
    ):
        yield

"""Days of the control world: every frame, synced record, HTTP answer and attempt, with its time.

Hooked at the virtual network and disks, below the hosts: a frame is seen as it is handed to TCP, a
record as it is synced, a call of an operator or machine as its answer comes back.

A virtual process holds the ends of its connections in a set, whose order is that of addresses in
memory; it decides in which order resets are drawn when the process is killed. The pins put a
collection in its place that keeps the order in which ends were made.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from tests.pins.trace import Trace
from tests.pins.wire_forms import frame_form
from umbermoor.gateway.server.client_connection import PendingRequest
from umbermoor.gateway.simulation import virtual
from umbermoor.gateway.simulation.play import Play, Slot
from umbermoor.gateway.simulation.script import draw

FIRST_SEED = 1000
DAYS = 100  # of each size
SHORT_DAYS = {3: 6, 5: 2}  # by number of members


def cases(every: bool) -> list[str]:
    """Names of cases, `members/seed`."""
    counts = dict.fromkeys(SHORT_DAYS, DAYS) if every else SHORT_DAYS
    return [
        f"{members}/{seed}"
        for members, count in counts.items()
        for seed in range(FIRST_SEED, FIRST_SEED + count)
    ]


def play(case: str, trace: Trace) -> None:
    """Plays one day into the trace."""
    members, seed = map(int, case.split("/"))
    day = Play(draw(seed, members))
    with _recorded(trace, day):
        day.run()
    trace.add("troubles", sorted(day.met.items()))
    trace.add("counts", sorted((day.count + day.checks.counts).items()))


class _OrderedSet(dict[Any, None]):
    """A set in the order of adding."""

    def add(self, item: Any) -> None:
        self[item] = None

    def discard(self, item: Any) -> None:
        self.pop(item, None)


@contextmanager
def _recorded(trace: Trace, day: Play) -> Iterator[None]:
    write, sync, call = virtual.End.write, virtual.Disk.write, virtual.Net.call
    make_process = virtual.Process.__init__
    arrives = day.arrives
    disks = {id(box.disk): ip for ip, box in day.net.boxes.items()}

    def ordered_process(process: virtual.Process, machine: virtual.Box) -> None:
        make_process(process, machine)
        process.ends = _OrderedSet()

    def traced_write(end: virtual.End, data: bytes) -> None:
        sender = end.process.machine.ip
        trace.add(day.time.now, sender, end.peer, *frame_form(bytes(data)))
        write(end, data)

    def traced_sync(disk: virtual.Disk, puts: dict[str, bytes | None]) -> bool:
        done = sync(disk, puts)
        trace.add(day.time.now, disks[id(disk)], "disk", puts, done)
        return done

    def traced_call(
        net: virtual.Net,
        source: str,
        to: str,
        request: Callable[..., None],
        told: Callable[[int, bytes], None],
    ) -> None:
        def answered(status: int, body: bytes) -> None:
            trace.add(day.time.now, to, "http", status, body)
            told(status, body)

        call(net, source, to, request, answered)

    def traced_attempt(front: str, instance: Any, attempt: Any) -> None:
        trace.add(day.time.now, front, "attempt", instance.entry.id)
        arrives(front, instance, attempt)

    def traced_answer(
        pending: PendingRequest, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        trace.add(day.time.now, "client", status, body, headers)
        pending.response = status, body, headers

    with (
        patch.object(virtual.Process, "__init__", ordered_process),
        patch.object(virtual.End, "write", traced_write),
        patch.object(virtual.Disk, "write", traced_sync),
        patch.object(virtual.Net, "call", traced_call),
        patch.object(day, "arrives", traced_attempt),
        patch.object(Slot, "respond", staticmethod(traced_answer)),
    ):
        yield

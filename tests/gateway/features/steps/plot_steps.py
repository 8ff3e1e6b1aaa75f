"""Steps of plot.feature: one stand-in machine on loopback, and a core that notes what it says."""

import asyncio
import json

from behave import given, then, when

from umbermoor.gateway.cli.control_client import ControlResponse
from umbermoor.gateway.local.machines import Machine, Make
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Reader, Response
from umbermoor.http1.writer import write_request

HOST = "127.0.0.1"
GONE = 0.02  # s until a client goes away
REST = 0.2  # s: longer than any work here


class Notes:
    """Stands for the caller of the core."""

    def __init__(self) -> None:
        self.said: list[str] = []

    def call(
        self, method: str, path: str, body: bytes = b"", first: str | None = None
    ) -> ControlResponse:
        beat = json.loads(body) if body else None
        self.said.append(f"{beat['state']} {beat['sample']}" if beat else "leave")
        return ControlResponse(200, b"", "core", 1)


@given(
    "a plot machine with {slots:d} slot, a queue of {queue:d}, room for {room:d} connections, and work of {ms:d} ms"
)
def _(context, slots, queue, room, ms):
    context.runner_ = asyncio.Runner()
    context.add_cleanup(context.runner_.close)
    make = Make(
        "a",
        "north",
        capacity=slots,
        queue=queue,
        saturation=room,
        work_s=ms / 1000,
        period_s=60,
        drain_s=0,
    )
    context.machine, context.notes = Machine("i-1", make, HOST, ()), Notes()
    context.machine._caller = context.notes
    assert context.runner_.run(context.machine.start())


async def meet(machine: Machine):
    return await asyncio.open_connection(HOST, int(machine.address.rpartition(":")[2]))


async def ask(machine: Machine, words: str, away: bool = False) -> Response | None:
    method, path, *headers = words.split()
    incoming, outgoing = await meet(machine)
    outgoing.write(write_request(method, path, HOST, dict(one.split("=") for one in headers)))
    try:
        if away:
            await asyncio.sleep(GONE)
            return None
        reader, found = Reader(Buffers(1 << 20), responses=True), []
        while not found and (data := await incoming.read(1 << 16)):
            found = reader.feed(data)
        return found[0]
    finally:
        outgoing.close()


def asked(context, count: int, words: str) -> None:
    async def together():
        return await asyncio.gather(*(ask(context.machine, words) for _ in range(count)))

    context.answers = context.runner_.run(together())


@when('a plot machine is asked "{words}"')
def _(context, words):
    asked(context, 1, words)


@when('a plot machine is asked "{words}" by {count:d} at once')
def _(context, words, count):
    asked(context, count, words)


@when('a plot machine is asked "{words}" by a client that goes away')
def _(context, words):
    context.runner_.run(ask(context.machine, words, away=True))
    context.runner_.run(asyncio.sleep(REST))


@when("a plot machine is met by {count:d} connections")
def _(context, count):
    async def met():
        lines = [await meet(context.machine) for _ in range(count)]
        await asyncio.sleep(GONE)
        context.kept = len(context.machine.lines)
        for _, outgoing in lines:
            outgoing.close()
        await asyncio.sleep(GONE)

    context.runner_.run(met())


@when("a plot machine drains, and is asked meanwhile")
def _(context):
    async def drained():
        draining = asyncio.ensure_future(context.machine.drain())
        await asyncio.sleep(GONE)
        context.answers = [await ask(context.machine, "GET /a x-attempt-id=7")]
        await draining

    context.runner_.run(drained())


@then('a plot machine answers {status:d} with headers "{has}" and without "{lacks}"')
def _(context, status, has, lacks):
    [answer] = context.answers
    assert answer.status == status, answer
    assert (
        set(has.lower().split()) <= set(answer.headers) and lacks.lower() not in answer.headers
    ), answer


@then('a plot machine answered "{statuses}"')
def _(context, statuses):
    assert sorted(str(one.status) for one in context.answers) == statuses.split(), context.answers


@then('a plot machine answered "{statuses}" and closed behind it')
def _(context, statuses):
    assert [(str(one.status), one.keep_alive) for one in context.answers] == [(statuses, False)], (
        context.answers
    )


@then("a plot machine says of each 503 that it has not run")
def _(context):
    assert all("x-not-executed" in one.headers for one in context.answers if one.status == 503), (
        context.answers
    )


@then("a plot machine has run {count:d} and has all its slots")
def _(context, count):
    assert (context.machine.served, context.machine.running) == (count, 0)


@then("a plot machine keeps {count:d} of them")
def _(context, count):
    assert context.kept == count, context.kept


@then('a plot machine has said "{text}"')
def _(context, text):
    assert context.notes.said == text.split(", "), context.notes.said


@then("a plot machine is gone")
def _(context):
    try:
        context.runner_.run(meet(context.machine))
    except ConnectionRefusedError:
        return
    raise AssertionError("it still listens")

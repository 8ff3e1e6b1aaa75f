"""Steps of local_gateway.feature: one stand-in instance, and a controller that notes its calls."""

import asyncio
import json

from behave import given, then, when

from umbermoor.gateway.cli.control_client import ControlResponse
from umbermoor.gateway.local.instance import InstanceSettings, LocalInstance
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
    "a local instance with {slots:d} slot, a queue of {queue:d}, room for {room:d} connections, and work of {ms:d} ms"
)
def _(context, slots, queue, room, ms):
    context.runner_ = asyncio.Runner()
    context.add_cleanup(context.runner_.close)
    settings = InstanceSettings(
        "a",
        "north",
        capacity=slots,
        queue=queue,
        max_connections=room,
        work_s=ms / 1000,
        heartbeat_interval_s=60,
        drain_s=0,
    )
    context.instance, context.notes = LocalInstance("i-1", settings, HOST, ()), Notes()
    context.instance.control_client = context.notes
    assert context.runner_.run(context.instance.start())


async def meet(instance: LocalInstance):
    return await asyncio.open_connection(HOST, int(instance.address.rpartition(":")[2]))


async def ask(instance: LocalInstance, words: str, away: bool = False) -> Response | None:
    method, path, *headers = words.split()
    incoming, outgoing = await meet(instance)
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
        return await asyncio.gather(*(ask(context.instance, words) for _ in range(count)))

    context.answers = context.runner_.run(together())


@when('a local instance is asked "{words}"')
def _(context, words):
    asked(context, 1, words)


@when('a local instance is asked "{words}" by {count:d} at once')
def _(context, words, count):
    asked(context, count, words)


@when('a local instance is asked "{words}" by a client that goes away')
def _(context, words):
    context.runner_.run(ask(context.instance, words, away=True))
    context.runner_.run(asyncio.sleep(REST))


@when("a local instance is met by {count:d} connections")
def _(context, count):
    async def met():
        lines = [await meet(context.instance) for _ in range(count)]
        await asyncio.sleep(GONE)
        context.kept = len(context.instance.connections)
        for _, outgoing in lines:
            outgoing.close()
        await asyncio.sleep(GONE)

    context.runner_.run(met())


@when("a local instance drains, and is asked meanwhile")
def _(context):
    async def drained():
        draining = asyncio.ensure_future(context.instance.drain())
        await asyncio.sleep(GONE)
        context.answers = [await ask(context.instance, "GET /a x-attempt-id=7")]
        await draining

    context.runner_.run(drained())


@then('a local instance answers {status:d} with headers "{has}" and without "{lacks}"')
def _(context, status, has, lacks):
    [answer] = context.answers
    assert answer.status == status, answer
    assert (
        set(has.lower().split()) <= set(answer.headers) and lacks.lower() not in answer.headers
    ), answer


@then('a local instance answered "{statuses}"')
def _(context, statuses):
    assert sorted(str(one.status) for one in context.answers) == statuses.split(), context.answers


@then('a local instance answered "{statuses}" and closed behind it')
def _(context, statuses):
    assert [(str(one.status), one.keep_alive) for one in context.answers] == [(statuses, False)], (
        context.answers
    )


@then("a local instance says of each 503 that it has not run")
def _(context):
    assert all("x-not-executed" in one.headers for one in context.answers if one.status == 503), (
        context.answers
    )


@then("a local instance has run {count:d} and has all its slots")
def _(context, count):
    assert (context.instance.served, context.instance.in_progress) == (count, 0)


@then("a local instance keeps {count:d} of them")
def _(context, count):
    assert context.kept == count, context.kept


@then('a local instance has said "{text}"')
def _(context, text):
    assert context.notes.said == text.split(", "), context.notes.said


@then("a local instance is gone")
def _(context):
    try:
        context.runner_.run(meet(context.instance))
    except ConnectionRefusedError:
        return
    raise AssertionError("it still listens")

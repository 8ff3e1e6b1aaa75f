"""Steps of local_gateway.feature: a stand-in instance, and a client that records its calls."""

import asyncio
import json

from behave import given, then, when

from umbermoor.gateway.cli.control_client import ControlResponse
from umbermoor.gateway.local.instance import InstanceSettings, LocalInstance
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Reader, Response
from umbermoor.http1.writer import write_request

HOST = "127.0.0.1"
DISCONNECT_AFTER_S = 0.02  # after which a client disconnects
SETTLE_S = 0.2  # longer than any work in these scenarios


class RecordingControlClient:
    """Stand-in for the control client that records the instance's calls."""

    def __init__(self) -> None:
        self.reports: list[str] = []

    def call(
        self, method: str, path: str, body: bytes = b"", first: str | None = None
    ) -> ControlResponse:
        heartbeat = json.loads(body) if body else None
        self.reports.append(f"{heartbeat['state']} {heartbeat['sample']}" if heartbeat else "leave")
        return ControlResponse(200, b"", "core", 1)


@given(
    "a local instance with {slots:d} slot, a queue of {queue:d}, at most {connections:d} connections, and work of {ms:d} ms"
)
def _(context, slots, queue, connections, ms):
    context.runner_ = asyncio.Runner()
    context.add_cleanup(context.runner_.close)
    settings = InstanceSettings(
        "a",
        "north",
        capacity=slots,
        queue=queue,
        max_connections=connections,
        work_s=ms / 1000,
        heartbeat_interval_s=60,
        drain_s=0,
    )
    context.instance, context.client = (
        LocalInstance("i-1", settings, HOST, ()),
        RecordingControlClient(),
    )
    context.instance.control_client = context.client
    assert context.runner_.run(context.instance.start())


async def connect(instance: LocalInstance):
    return await asyncio.open_connection(HOST, int(instance.address.rpartition(":")[2]))


async def request(instance: LocalInstance, text: str, disconnect: bool = False) -> Response | None:
    method, path, *headers = text.split()
    incoming, outgoing = await connect(instance)
    outgoing.write(write_request(method, path, HOST, dict(header.split("=") for header in headers)))
    try:
        if disconnect:
            await asyncio.sleep(DISCONNECT_AFTER_S)
            return None
        reader, responses = Reader(Buffers(1 << 20), responses=True), []
        while not responses and (data := await incoming.read(1 << 16)):
            responses = reader.feed(data)
        return responses[0]
    finally:
        outgoing.close()


def send_concurrently(context, count: int, text: str) -> None:
    async def send_all():
        return await asyncio.gather(*(request(context.instance, text) for _ in range(count)))

    context.answers = context.runner_.run(send_all())


@when('a local instance gets the request "{text}"')
def _(context, text):
    send_concurrently(context, 1, text)


@when('a local instance gets the request "{text}" from {count:d} clients at once')
def _(context, text, count):
    send_concurrently(context, count, text)


@when('a local instance gets the request "{text}" from a client that disconnects')
def _(context, text):
    context.runner_.run(request(context.instance, text, disconnect=True))
    context.runner_.run(asyncio.sleep(SETTLE_S))


@when("{count:d} connections to a local instance are opened")
def _(context, count):
    async def open_connections():
        connections = [await connect(context.instance) for _ in range(count)]
        await asyncio.sleep(DISCONNECT_AFTER_S)
        context.kept = len(context.instance.connections)
        for _, outgoing in connections:
            outgoing.close()
        await asyncio.sleep(DISCONNECT_AFTER_S)

    context.runner_.run(open_connections())


@when("a local instance drains, and gets a request meanwhile")
def _(context):
    async def request_while_draining():
        draining = asyncio.ensure_future(context.instance.drain())
        await asyncio.sleep(DISCONNECT_AFTER_S)
        context.answers = [await request(context.instance, "GET /a x-attempt-id=7")]
        await draining

    context.runner_.run(request_while_draining())


@then('a local instance answers {status:d} with headers "{has}" and without "{lacks}"')
def _(context, status, has, lacks):
    [answer] = context.answers
    assert answer.status == status, answer
    assert (
        set(has.lower().split()) <= set(answer.headers) and lacks.lower() not in answer.headers
    ), answer


@then('a local instance answered "{statuses}"')
def _(context, statuses):
    assert sorted(str(answer.status) for answer in context.answers) == statuses.split(), (
        context.answers
    )


@then('a local instance answered "{statuses}" and closed the connection')
def _(context, statuses):
    assert [(str(answer.status), answer.keep_alive) for answer in context.answers] == [
        (statuses, False)
    ], context.answers


@then("a local instance marks each 503 as not executed")
def _(context):
    assert all(
        "x-not-executed" in answer.headers for answer in context.answers if answer.status == 503
    ), context.answers


@then("a local instance has executed {count:d} requests and has all its slots free")
def _(context, count):
    assert (context.instance.served, context.instance.in_progress) == (count, 0)


@then("a local instance keeps {count:d} of them")
def _(context, count):
    assert context.kept == count, context.kept


@then('a local instance has reported "{text}"')
def _(context, text):
    assert context.client.reports == text.split(", "), context.client.reports


@then("a local instance no longer listens")
def _(context):
    try:
        context.runner_.run(connect(context.instance))
    except ConnectionRefusedError:
        return
    raise AssertionError("the instance still accepts connections")

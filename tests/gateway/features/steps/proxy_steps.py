"""A proxy on 127.0.0.1 before scripted instances: what the client gets, and how often a request ran."""

import asyncio
import random
import socket

from behave import given, then, when

from tests.gateway.loopback_proxy import (
    BEHAVIORS,
    LOOPBACK_ADDRESS,
    TIMEOUT_S,
    Loopback,
    reset,
)
from tests.gateway.proxy_inputs import settings_text
from umbermoor.gateway.balancing.request import RequestState
from umbermoor.gateway.config.node_settings import parse_node_settings
from umbermoor.gateway.server.proxy import Proxy
from umbermoor.http1.reader import Response


@given("a proxy on loopback before {many:d} instances")
def _(context, many):
    context.loopback = Loopback(many)
    context.add_cleanup(context.loopback.end)


@when("a proxy's instances take no connections any more")
def _(context):
    async def scenario():
        for server in context.loopback.instances.servers:
            server.close()
            await server.wait_closed()

    context.loopback.run(scenario())


@when("a proxy's client sends a request that is {kind}, and instances do this in turn: {behaviors}")
def _(context, kind, behaviors):
    loopback, hangs = context.loopback, "hangs" in behaviors

    async def scenario():
        loopback.instances.behaviors = (
            [behaviors] if behaviors in BEHAVIORS else behaviors.split(", ")
        )
        context.client = await loopback.client()
        context.client.send(
            "first", kind, b"", "x", None, *(["X-Time-Remaining: 1500"] if hangs else [])
        )
        return await context.client.answer()

    context.kind, context.found = kind, loopback.run(scenario())


@then(
    "a proxy's client got {status:d}, and the request came to instances {came:d} times and ran {ran:d} times"
)
def _(context, status, came, ran):
    loopback, found = context.loopback, context.found
    assert isinstance(found, Response) and found.status == status, found
    if status == 200:
        context.client.own(found, "first", context.kind)
    elif status in (502, 503, 504):
        assert found.body == b"" and "x-server-seal" not in found.headers, found
    assert (status == 503) == ("retry-after" in found.headers), found
    assert [id for _, id, _ in loopback.instances.came] == ["first"] * came, loopback.instances.came
    assert loopback.instances.ran == ["first"] * ran, loopback.instances.ran
    assert not loopback.proxy.requests.active
    for _, _, request in loopback.instances.came:
        assert request.headers["x-target-instance"] in ("i-0", "i-1")
        assert 0 < int(request.headers["x-time-remaining"]) <= 5000


@then("a proxy's client gets its own answer to the next request on that connection")
def _(context):
    async def scenario():
        for number in range(3):
            context.client.send(f"next{number}", "safe")
            context.client.own(await context.client.answer(), f"next{number}")

    context.loopback.run(scenario())


@when(
    "a proxy's client sends {many:d} requests that are {kind} one after the other, and instances do this in turn: {behaviors}"
)
def _(context, many, kind, behaviors):
    loopback = context.loopback
    context.kind, context.found, context.ids = kind, [], [f"r{number}" for number in range(many)]

    async def scenario():
        loopback.instances.behaviors = behaviors.split(", ")
        context.client = await loopback.client()
        for id in context.ids:
            context.client.send(id, kind)
            context.found.append(await context.client.answer())

    loopback.run(scenario())


@when(
    "a proxy's client sends {many:d} requests that are {kind} behind one another, and instances do this in turn: {behaviors}"
)
@when(
    "a proxy's client sends {many:d} requests that are {kind} behind one another, and instances answer the last first once all are there"
)
def _(context, many, kind, behaviors=None):
    loopback = context.loopback
    context.kind, context.ids = kind, [f"r{number}" for number in range(many)]

    async def scenario():
        if behaviors is None:
            loopback.instances.together, loopback.instances.want = [], many
        else:
            loopback.instances.behaviors = behaviors.split(", ")
        context.client = await loopback.client()
        for id in context.ids:
            context.client.send(id, kind)
        context.found = [await context.client.answer() for _ in context.ids]

    loopback.run(scenario())


@then("a proxy's client got its own answer to each, and each ran once")
def _(context):
    for id, found in zip(context.ids, context.found):
        context.client.own(found, id, context.kind)
    assert sorted(context.loopback.instances.ran) == sorted(context.ids), (
        context.loopback.instances.ran
    )


@then("a proxy without configuration, and one without instances, refuses and sends nothing")
def _(context):
    loopback = context.loopback

    async def scenario():
        client, kept = await loopback.client(), loopback.proxy.requests.routes
        loopback.proxy.requests.routes = None
        client.send("early", "unsafe")
        first = await client.answer()
        loopback.proxy.requests.routes, instances = kept, dict(loopback.proxy.instances.by_id)
        for id in instances:
            loopback.proxy.instances.forget(id)
        client.send("early too", "unsafe")
        for found in (first, await client.answer()):
            assert found.status == 503 and float(found.headers["retry-after"]) > 0, found
        assert not loopback.instances.came and not loopback.proxy.requests.active

    loopback.run(scenario())


@then(
    "a proxy's client that sends {many:d} GETs to an unsafe route behind one another has them worked at one by one"
)
def _(context, many):
    loopback = context.loopback

    async def scenario():
        loopback.instances.behaviors = ["slow"] * many
        client = await loopback.client()
        for number in range(many):
            client.send(f"r{number}", "unsafe", b"", "x", "GET")
        for number in range(many):
            client.own(await client.answer(), f"r{number}", "unsafe")
        assert loopback.instances.most_busy == 1 and loopback.instances.ran == [
            f"r{number}" for number in range(many)
        ]

    loopback.run(scenario())


@then("a proxy's instances had one request at a time, in the client's order")
def _(context):
    assert (
        context.loopback.instances.most_busy == 1 and context.loopback.instances.ran == context.ids
    )


@then("a proxy passes a body on unchanged, by length and in chunks, of {least:d} to {most:d} bytes")
def _(context, least, most):
    loopback, rng = context.loopback, random.Random(8)
    sizes = [least, 1, 5, 4095, 4096, 4097, 70_000, most]

    async def scenario():
        client = await loopback.client()
        for size in sizes:
            body = rng.randbytes(size)
            chunks, at = b"", 0
            while at < size:
                part = body[at : at + rng.randint(1, max(1, size // 3))]
                at += len(part)
                chunks += b"%x;odd=1\r\n%s\r\n" % (len(part), part)
            for coded in (False, True):
                id = f"{size}{coded}"
                sent = chunks + b"0\r\nTrailer: x\r\n\r\n" if coded else body
                lines = ["Transfer-Encoding: chunked"] if coded else []
                client.send(id, "unsafe", b"", "x", "PUT", *(lines or [f"Content-Length: {size}"]))
                for place in range(0, len(sent), 1 + len(sent) // 3):
                    client.writer.write(sent[place : place + 1 + len(sent) // 3])
                    await client.writer.drain()
                client.own(await client.answer(), id, "unsafe")
                request = loopback.instances.came[-1][2]
                assert request.method == "PUT" and request.body == body, (
                    size,
                    coded,
                    len(request.body),
                )
                assert "transfer-encoding" not in request.headers

    loopback.run(scenario())


@then("a proxy passes method, path, query and headers on, but for those of one connection")
def _(context):
    loopback = context.loopback

    async def scenario():
        client = await loopback.client()
        path = "a%2Fb/../c;d=1?q=%20&r=/safe/#x"
        client.send(
            "one",
            "unsafe",
            b"",
            path,
            "DELETE",
            "X-Own: 1, 2",
            "X-Own: 3",
            "Keep-Alive: timeout=9",
            "Connection: keep-alive",
            "TE: trailers",
            "Proxy-Connection: x",
            "X-Target-Instance: i-9",
            "X-Time-Remaining: 1500",
            "Accept-Encoding: identity",
        )
        client.own(await client.answer(), "one", "unsafe", path)
        request = loopback.instances.came[-1][2]
        assert (request.method, request.target, request.body) == (
            "DELETE",
            f"/unsafe/{path}",
            b"",
        ), request
        left = int(request.headers.pop("x-time-remaining"))
        assert 0 < left <= 1500, left
        assert request.headers == {
            "host": "h",
            "x-attempt-id": "one",
            "x-own": "1, 2, 3",
            "accept-encoding": "identity",
            "x-target-instance": "i-0",
        }, request.headers
        client.send("two", "none", b"")
        found = await client.answer()
        assert found.status == 404 and loopback.instances.ran[-1] == "one", (
            found,
            loopback.instances.ran,
        )

    loopback.run(scenario())


@then("a proxy's client that leaves while an instance hangs leaves nothing behind")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.behaviors = ["hangs"]
        client = await loopback.client()
        client.send("gone", "safe")
        await loopback.until(lambda: loopback.instances.came)
        (going,) = loopback.proxy.requests.active
        reset(client.writer)
        await loopback.until(
            lambda: not loopback.proxy.requests.active and not loopback.proxy.clients.connections
        )
        assert going.lifecycle.state is RequestState.FINISHED and (
            going.timer is None or going.timer.cancelled()
        )
        assert not going.lifecycle.in_flight  # nobody works at it any more
        await loopback.until(lambda: "gone" in loopback.instances.over)
        other = await loopback.client()
        for number in range(3):
            other.send(f"other{number}", "safe")
            other.own(await other.answer(), f"other{number}")
        assert [id for _, id, _ in loopback.instances.came].count("gone") == 1

    loopback.run(scenario())


@then(
    "a proxy counts nothing as under way at an instance that never answers, once the time of its request is over"
)
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.behaviors = ["hangs"]
        client = await loopback.client()
        client.send("dark", "unsafe")
        found = await client.answer()
        assert found.status == 504, found
        instances, rollouts = (
            loopback.proxy.instances.by_id.values(),
            loopback.proxy.rollouts.services,
        )
        assert sum(instance.load.in_flight for instance in instances) == 1
        await loopback.until(lambda: not any(instance.load.in_flight for instance in instances))
        assert not any(rollout.in_flight for rollout in rollouts.values())

    loopback.run(scenario())


@then("a proxy ends with that error, and does not go on deaf to updates")
def _(context):
    with socket.socket() as free:
        free.bind((LOOPBACK_ADDRESS, 0))
        port = free.getsockname()[1]
    settings = parse_node_settings(
        (
            settings_text(port)
            + f'''
[listen]
front = "{LOOPBACK_ADDRESS}:0"
ready = "{LOOPBACK_ADDRESS}:0"
'''
        ).encode()
    )
    proxy = Proxy(settings, random.Random(3))

    def broken(now):
        raise AssertionError("an invariant")

    proxy.controllers.subscriber.due_pulls = broken

    async def scenario():
        async with asyncio.timeout(TIMEOUT_S):
            await proxy.serve()

    try:
        asyncio.run(scenario())
    except AssertionError as error:
        assert str(error) == "an invariant"
    else:
        raise AssertionError("it went on")


@when(
    "a proxy's client sends two unsafe requests at once, with {time_ms:d} ms for each, and instances hang"
)
def _(context, time_ms):
    loopback = context.loopback
    loopback.instances.behaviors = ["hangs", "hangs"]

    async def scenario():
        client = await loopback.client()
        began = loopback.clock()
        for id in ("first", "second"):
            client.send(id, "unsafe", b"", "x", None, f"X-Time-Remaining: {time_ms}")
        context.found = [await client.answer() for _ in range(2)]
        context.taken_s = loopback.clock() - began
        context.time_ms = time_ms

    loopback.run(scenario())


@then(
    "a proxy's client got both final answers within {bound_ms:d} ms, and no instance was told of more time than was left"
)
def _(context, bound_ms):
    assert context.taken_s <= bound_ms / 1000, context.taken_s
    assert [found.status for found in context.found] == [504, 503], context.found
    told = [int(one.headers["x-time-remaining"]) for _, _, one in context.loopback.instances.came]
    assert len(told) == 1 and told[0] <= context.time_ms, told

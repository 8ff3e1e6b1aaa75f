"""A proxy on 127.0.0.1 with scripted instances: responses, and how often a request ran."""

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


@given("a proxy on loopback with {many:d} instances")
def _(context, many):
    context.loopback = Loopback(many)
    context.add_cleanup(context.loopback.end)


@when("a proxy's instances stop accepting connections")
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
        return await context.client.next_response()

    context.kind, context.response = kind, loopback.run(scenario())


@then(
    "a proxy's client got {status:d}, and instances received the request {came:d} times and ran it {ran:d} times"
)
def _(context, status, came, ran):
    loopback, response = context.loopback, context.response
    assert isinstance(response, Response) and response.status == status, response
    if status == 200:
        context.client.assert_own_response(response, "first", context.kind)
    elif status in (502, 503, 504):
        assert response.body == b"" and "x-server-seal" not in response.headers, response
    assert (status == 503) == ("retry-after" in response.headers), response
    assert [id for _, id, _ in loopback.instances.received] == ["first"] * came, (
        loopback.instances.received
    )
    assert loopback.instances.executed == ["first"] * ran, loopback.instances.executed
    assert not loopback.proxy.requests.active
    for _, _, request in loopback.instances.received:
        assert request.headers["x-target-instance"] in ("i-0", "i-1")
        assert 0 < int(request.headers["x-time-remaining"]) <= 5000


@then("a proxy's client gets its own response to the next request on that connection")
def _(context):
    async def scenario():
        for number in range(3):
            context.client.send(f"next{number}", "safe")
            context.client.assert_own_response(
                await context.client.next_response(), f"next{number}"
            )

    context.loopback.run(scenario())


@when(
    "a proxy's client sends {many:d} requests that are {kind} one after the other, and instances do this in turn: {behaviors}"
)
def _(context, many, kind, behaviors):
    loopback = context.loopback
    context.kind, context.responses, context.ids = (
        kind,
        [],
        [f"r{number}" for number in range(many)],
    )

    async def scenario():
        loopback.instances.behaviors = behaviors.split(", ")
        context.client = await loopback.client()
        for id in context.ids:
            context.client.send(id, kind)
            context.responses.append(await context.client.next_response())

    loopback.run(scenario())


@when(
    "a proxy's client pipelines {many:d} requests that are {kind}, and instances do this in turn: {behaviors}"
)
@when(
    "a proxy's client pipelines {many:d} requests that are {kind}, and instances answer in reverse order once all have arrived"
)
def _(context, many, kind, behaviors=None):
    loopback = context.loopback
    context.kind, context.ids = kind, [f"r{number}" for number in range(many)]

    async def scenario():
        if behaviors is None:
            loopback.instances.batch, loopback.instances.batch_size = [], many
        else:
            loopback.instances.behaviors = behaviors.split(", ")
        context.client = await loopback.client()
        for id in context.ids:
            context.client.send(id, kind)
        context.responses = [await context.client.next_response() for _ in context.ids]

    loopback.run(scenario())


@then("a proxy's client got its own response to each, and each ran once")
def _(context):
    for id, response in zip(context.ids, context.responses):
        context.client.assert_own_response(response, id, context.kind)
    assert sorted(context.loopback.instances.executed) == sorted(context.ids), (
        context.loopback.instances.executed
    )


@then(
    "a proxy without configuration, and one without instances, rejects requests and sends nothing"
)
def _(context):
    loopback = context.loopback

    async def scenario():
        client, routes = await loopback.client(), loopback.proxy.requests.routes
        loopback.proxy.requests.routes = None
        client.send("early", "unsafe")
        first = await client.next_response()
        loopback.proxy.requests.routes, instances = routes, dict(loopback.proxy.instances.by_id)
        for id in instances:
            loopback.proxy.instances.forget(id)
        client.send("early too", "unsafe")
        for response in (first, await client.next_response()):
            assert response.status == 503 and float(response.headers["retry-after"]) > 0, response
        assert not loopback.instances.received and not loopback.proxy.requests.active

    loopback.run(scenario())


@then(
    "a proxy's client that sends {many:d} pipelined GETs to an unsafe route has them processed one at a time"
)
def _(context, many):
    loopback = context.loopback

    async def scenario():
        loopback.instances.behaviors = ["slow"] * many
        client = await loopback.client()
        for number in range(many):
            client.send(f"r{number}", "unsafe", b"", "x", "GET")
        for number in range(many):
            client.assert_own_response(await client.next_response(), f"r{number}", "unsafe")
        assert loopback.instances.max_in_progress == 1 and loopback.instances.executed == [
            f"r{number}" for number in range(many)
        ]

    loopback.run(scenario())


@then("a proxy's instances processed one request at a time, in the client's order")
def _(context):
    assert (
        context.loopback.instances.max_in_progress == 1
        and context.loopback.instances.executed == context.ids
    )


@then(
    "a proxy forwards a body unchanged, with a length and in chunks, of {least:d} to {most:d} bytes"
)
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
                client.assert_own_response(await client.next_response(), id, "unsafe")
                request = loopback.instances.received[-1][2]
                assert request.method == "PUT" and request.body == body, (
                    size,
                    coded,
                    len(request.body),
                )
                assert "transfer-encoding" not in request.headers

    loopback.run(scenario())


@then("a proxy forwards method, path, query and headers, except hop-by-hop headers")
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
        client.assert_own_response(await client.next_response(), "one", "unsafe", path)
        request = loopback.instances.received[-1][2]
        assert (request.method, request.target, request.body) == (
            "DELETE",
            f"/unsafe/{path}",
            b"",
        ), request
        remaining_ms = int(request.headers.pop("x-time-remaining"))
        assert 0 < remaining_ms <= 1500, remaining_ms
        assert request.headers == {
            "host": "h",
            "x-attempt-id": "one",
            "x-own": "1, 2, 3",
            "accept-encoding": "identity",
            "x-target-instance": "i-0",
        }, request.headers
        client.send("two", "none", b"")
        response = await client.next_response()
        assert response.status == 404 and loopback.instances.executed[-1] == "one", (
            response,
            loopback.instances.executed,
        )

    loopback.run(scenario())


@then("a proxy holds no state for a client that left while an instance hung")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.behaviors = ["hangs"]
        client = await loopback.client()
        client.send("gone", "safe")
        await loopback.wait_until(lambda: loopback.instances.received)
        (active,) = loopback.proxy.requests.active
        reset(client.writer)
        await loopback.wait_until(
            lambda: not loopback.proxy.requests.active and not loopback.proxy.clients.connections
        )
        assert active.lifecycle.state is RequestState.FINISHED and (
            active.timer is None or active.timer.cancelled()
        )
        assert not active.lifecycle.in_flight  # no attempt is in progress any more
        await loopback.wait_until(lambda: "gone" in loopback.instances.disconnected_ids)
        other = await loopback.client()
        for number in range(3):
            other.send(f"other{number}", "safe")
            other.assert_own_response(await other.next_response(), f"other{number}")
        assert [id for _, id, _ in loopback.instances.received].count("gone") == 1

    loopback.run(scenario())


@then(
    "a proxy counts nothing as in flight at an instance that never responds, once the request's deadline has passed"
)
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.behaviors = ["hangs"]
        client = await loopback.client()
        client.send("dark", "unsafe")
        response = await client.next_response()
        assert response.status == 504, response
        instances, rollouts = (
            loopback.proxy.instances.by_id.values(),
            loopback.proxy.rollouts.services,
        )
        assert sum(instance.load.in_flight for instance in instances) == 1
        await loopback.wait_until(
            lambda: not any(instance.load.in_flight for instance in instances)
        )
        assert not any(rollout.in_flight for rollout in rollouts.values())

    loopback.run(scenario())


@then("a proxy ends with that error instead of running on without updates")
def _(context):
    with socket.socket() as probe:
        probe.bind((LOOPBACK_ADDRESS, 0))
        port = probe.getsockname()[1]
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
        raise AssertionError("the proxy did not end")


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
        context.responses = [await client.next_response() for _ in range(2)]
        context.elapsed_s = loopback.clock() - began
        context.time_ms = time_ms

    loopback.run(scenario())


@then(
    "a proxy's client got both final responses within {bound_ms:d} ms, and no instance was told more time than was left"
)
def _(context, bound_ms):
    assert context.elapsed_s <= bound_ms / 1000, context.elapsed_s
    assert [response.status for response in context.responses] == [504, 503], context.responses
    times_told_ms = [
        int(request.headers["x-time-remaining"])
        for _, _, request in context.loopback.instances.received
    ]
    assert len(times_told_ms) == 1 and times_told_ms[0] <= context.time_ms, times_told_ms

"""A proxy after SIGTERM: which requests it still starts, and how it answers the others."""

import asyncio

from behave import given, then, when

from tests.gateway.loopback_proxy import Loopback, ServingLoopback


@when("a proxy's client has a request in progress, and the proxy starts to drain")
def _(context):
    loopback = context.loopback
    loopback.instances.behaviors = ["when released"]

    async def scenario():
        context.client = await loopback.client()
        context.client.send("first", "safe")
        await loopback.wait_until(lambda: loopback.instances.received)
        loopback.proxy.drain()

    loopback.run(scenario())


@when("that client pipelines another request after it")
def _(context):
    loopback = context.loopback

    async def scenario():
        context.client.send("second", "safe")
        await context.client.writer.drain()
        # This request on another connection arrives later, so once it is answered, the proxy has
        # read the pipelined one.
        other = await loopback.client()
        other.send("other", "safe")
        other.assert_own_response(await other.next_response(), "other")

    loopback.run(scenario())


@then("a draining proxy answers the first, closes, and has not started the other")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.released.set()
        response = await context.client.next_response()
        context.client.assert_own_response(response, "first")
        assert not response.keep_alive, response
        assert await context.client.next_response() is None
        assert sorted(id for _, id, _ in loopback.instances.received) == ["first", "other"]

    loopback.run(scenario())


@when("a proxy's client has sent half of a request, and the proxy starts to drain")
def _(context):
    loopback = context.loopback
    head = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\nContent-Length: 4\r\n\r\n"

    async def scenario():
        context.client = await loopback.client()
        context.client.writer.write(head.encode() + b"bo")
        connections = loopback.proxy.clients.connections
        await loopback.wait_until(
            lambda: any(connection.reader.mid_message for connection in connections)
        )
        loopback.proxy.drain()

    loopback.run(scenario())


@when("the rest of that request arrives {seconds:g} seconds later")
def _(context, seconds):
    context.loopback.clock_offset_s += seconds
    context.client.writer.write(b"dy")


@when("a proxy's client has connected, and the proxy has drained for {seconds:g} seconds")
def _(context, seconds):
    loopback = context.loopback

    async def scenario():
        context.client = await loopback.client()
        await loopback.wait_until(lambda: loopback.proxy.clients.connections)
        loopback.proxy.drain()

    loopback.run(scenario())
    loopback.clock_offset_s += seconds


@when("that client sends the head of a request with Expect: 100-continue")
def _(context):
    context.client.writer.write(
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\n"
        b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    )


@then("a draining proxy rejects it with 503, and no instance received it")
def _(context):
    loopback = context.loopback

    async def scenario():
        response = await context.client.next_response()
        assert response is not None and response.status == 503, response
        assert float(response.headers["retry-after"]) > 0 and not response.keep_alive, response
        assert await context.client.next_response() is None
        assert not loopback.instances.received

    loopback.run(scenario())


@given("a draining proxy with {grace:g} seconds of grace period and instances that hang")
def _(context, grace):
    context.loopback = ServingLoopback(2, grace)
    context.add_cleanup(context.loopback.end)


@then(
    "a proxy that ends answers 504 to requests that may have run, 503 to partial ones, and closes"
)
def _(context):
    loopback: Loopback = context.loopback
    loopback.instances.behaviors = ["hangs"] * 3  # one more for the hedge

    async def scenario():
        clients = {kind: await loopback.client() for kind in ("safe", "unsafe", "partial")}
        for kind in ("safe", "unsafe"):
            clients[kind].send(kind, kind)
        clients["partial"].writer.write(b"POST /unsafe/x HTTP/1.1\r\nHost")
        await loopback.wait_until(lambda: len(loopback.instances.received) == 2)
        loopback.proxy.drain()
        await asyncio.wait_for(loopback.serving, loopback.timeout_s)
        assert not any(loopback.proxy.clients.audit.unanswered.values())
        responses = {kind: await client.next_response() for kind, client in clients.items()}
        statuses = {kind: response and response.status for kind, response in responses.items()}
        assert statuses == {"safe": 504, "unsafe": 504, "partial": 503}, statuses
        assert all(not response.keep_alive for response in responses.values())
        assert [await client.next_response() for client in clients.values()] == [None] * 3

    loopback.run(scenario())

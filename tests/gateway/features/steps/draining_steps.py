"""A proxy that got SIGTERM: what it still begins, and what it answers at its end."""

import asyncio

from behave import given, then, when

from tests.gateway.loopback_proxy import Loopback, ServingLoopback


@when("a proxy's client has a request under way, and the proxy is told to drain")
def _(context):
    loopback = context.loopback
    loopback.instances.behaviors = ["when released"]

    async def scenario():
        context.client = await loopback.client()
        context.client.send("first", "safe")
        await loopback.until(lambda: loopback.instances.came)
        loopback.proxy.drain()

    loopback.run(scenario())


@when("that client sends another request behind it")
def _(context):
    loopback = context.loopback

    async def scenario():
        context.client.send("second", "safe")
        await context.client.writer.drain()
        # A request on another connection that is answered now came to the proxy after it.
        other = await loopback.client()
        other.send("other", "safe")
        other.own(await other.answer(), "other")

    loopback.run(scenario())


@then("a proxy that drains answers the first, closes, and has not begun the other")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.released.set()
        found = await context.client.answer()
        context.client.own(found, "first")
        assert not found.keep_alive, found
        assert await context.client.answer() is None
        assert sorted(id for _, id, _ in loopback.instances.came) == ["first", "other"]

    loopback.run(scenario())


@when("a proxy's client has sent half of a request, and the proxy is told to drain")
def _(context):
    loopback = context.loopback
    head = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\nContent-Length: 4\r\n\r\n"

    async def scenario():
        context.client = await loopback.client()
        context.client.writer.write(head.encode() + b"bo")
        connections = loopback.proxy.clients.connections
        await loopback.until(lambda: any(one.reader.mid_message for one in connections))
        loopback.proxy.drain()

    loopback.run(scenario())


@when("the rest of that request comes {seconds:g} seconds later")
def _(context, seconds):
    context.loopback.clock_offset_s += seconds
    context.client.writer.write(b"dy")


@when("a proxy's client has connected, and the proxy has drained for {seconds:g} seconds")
def _(context, seconds):
    loopback = context.loopback

    async def scenario():
        context.client = await loopback.client()
        await loopback.until(lambda: loopback.proxy.clients.connections)
        loopback.proxy.drain()

    loopback.run(scenario())
    loopback.clock_offset_s += seconds


@when("that client sends the head of a request that waits for 100")
def _(context):
    context.client.writer.write(
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\n"
        b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    )


@then("a proxy that drains rejects it with 503, and no instance got it")
def _(context):
    loopback = context.loopback

    async def scenario():
        found = await context.client.answer()
        assert found is not None and found.status == 503, found
        assert float(found.headers["retry-after"]) > 0 and not found.keep_alive, found
        assert await context.client.answer() is None
        assert not loopback.instances.came

    loopback.run(scenario())


@given("a draining proxy with {grace:g} seconds of grace before instances that hang")
def _(context, grace):
    context.loopback = ServingLoopback(2, grace)
    context.add_cleanup(context.loopback.end)


@then("a proxy that ends answers 504 to what may have run, 503 to what was not whole, and closes")
def _(context):
    loopback: Loopback = context.loopback
    loopback.instances.behaviors = ["hangs"] * 3  # one for the hedge

    async def scenario():
        clients = {kind: await loopback.client() for kind in ("safe", "unsafe", "partial")}
        for kind in ("safe", "unsafe"):
            clients[kind].send(kind, kind)
        clients["partial"].writer.write(b"POST /unsafe/x HTTP/1.1\r\nHost")
        await loopback.until(lambda: len(loopback.instances.came) == 2)
        loopback.proxy.drain()
        await asyncio.wait_for(loopback.serving, loopback.timeout_s)
        assert not any(loopback.proxy.clients.audit.unanswered.values())
        found = {kind: await client.answer() for kind, client in clients.items()}
        statuses = {kind: answer and answer.status for kind, answer in found.items()}
        assert statuses == {"safe": 504, "unsafe": 504, "partial": 503}, statuses
        assert all(not answer.keep_alive for answer in found.values())
        assert [await client.answer() for client in clients.values()] == [None] * 3

    loopback.run(scenario())

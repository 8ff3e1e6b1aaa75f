"""Which connections to scripted instances a proxy on 127.0.0.1 reuses."""

from behave import then

from tests.gateway.loopback_proxy import build_response

BYTES_ON_IDLE_CONNECTION = {
    "a complete old response": lambda request: build_response(request),
    "a part of a response": lambda request: (
        b"HTTP/1.1 500 \r\nX-A: "
    ),  # the first line of the next response would become the value of X-A
    "an interim response": lambda request: b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "an empty line": lambda request: b"\r\n",
    "the instance's FIN": None,
}


@then(
    "a proxy whose idle connection received {what} sends the next request on another, and its client gets its own response"
)
def _(context, what):
    loopback = context.loopback

    async def scenario():
        client = await loopback.client()
        for round in range(3):
            client.send(f"r{round}", "unsafe")
            client.assert_own_response(await client.next_response(), f"r{round}", "unsafe")
            (connection,) = loopback.proxy.pool.idle["i-0"]
            if BYTES_ON_IDLE_CONNECTION[what]:
                loopback.instances.writers[-1].write(
                    BYTES_ON_IDLE_CONNECTION[what](loopback.instances.received[-1][2])
                )
            else:
                loopback.instances.writers[-1].close()
            await loopback.wait_until(
                lambda connection=connection: connection.transport.is_closing()
            )
        assert [number for number, _, _ in loopback.instances.received] == [0, 1, 2]
        assert loopback.instances.executed == ["r0", "r1", "r2"]

    loopback.run(scenario())


@then("a proxy's client got 200 and then 502, and each request was received once")
def _(context):
    assert [response.status for response in context.responses] == [200, 502], context.responses
    assert [id for _, id, _ in context.loopback.instances.received] == context.ids


@then("a proxy whose only instance is full retries on a new connection")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.behaviors = ["well", "full", "well"]
        client = await loopback.client()
        for id in ("a", "b"):
            client.send(id, "unsafe")
            client.assert_own_response(await client.next_response(), id, "unsafe")
        assert [(number, id) for number, id, _ in loopback.instances.received] == [
            (0, "a"),
            (0, "b"),
            (1, "b"),
        ]

    loopback.run(scenario())


@then(
    "a proxy's client that sends the same id {many:d} times has the requests sent on {connection_count:d} connections"
)
def _(context, many, connection_count):
    loopback = context.loopback

    async def scenario():
        client, before = await loopback.client(), len(loopback.instances.received)
        for _ in range(many):
            client.send("same", "unsafe")
            client.assert_own_response(await client.next_response(), "same", "unsafe")
        assert (
            len({number for number, _, _ in loopback.instances.received[before:]})
            == connection_count
        )

    loopback.run(scenario())


@then("a proxy that got a 421 has no connection left to that instance")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.batch, loopback.instances.batch_size = [], 2
        clients = [await loopback.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.send(f"r{number}", "safe")
        for number, client in enumerate(clients):
            client.assert_own_response(await client.next_response(), f"r{number}", "safe")
        assert len(loopback.proxy.pool.idle["i-0"]) == 2
        loopback.instances.batch, loopback.instances.behaviors = None, ["another instance"]
        clients[0].send("r2", "unsafe")
        response = await clients[0].next_response()
        assert response.status == 503 and loopback.instances.executed == ["r0", "r1"], response
        assert not loopback.proxy.pool.idle and not loopback.proxy.instances.by_id

    loopback.run(scenario())


@then("a proxy sent the first 2 on one connection and the third on another")
def _(context):
    first, second, third = [number for number, _, _ in context.loopback.instances.received]
    assert first == second != third, (first, second, third)

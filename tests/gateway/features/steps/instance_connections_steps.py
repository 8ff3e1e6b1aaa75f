"""Connections that a proxy on 127.0.0.1 keeps to scripted instances, and those it uses no more."""

from behave import then

from tests.gateway.loopback_proxy import answer

BYTES_ON_IDLE_CONNECTION = {
    "a whole old answer": lambda request: answer(request),
    "a part of an answer": lambda request: (
        b"HTTP/1.1 500 \r\nX-A: "
    ),  # the next one's first line would be its value
    "an interim answer": lambda request: b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "an empty line": lambda request: b"\r\n",
    "the instance's end": None,
}


@then(
    "a proxy whose kept connection got {what} sends the next request on another, and its client gets its own answer"
)
def _(context, what):
    loopback = context.loopback

    async def scenario():
        client = await loopback.client()
        for round in range(3):
            client.send(f"r{round}", "unsafe")
            client.own(await client.answer(), f"r{round}", "unsafe")
            (connection,) = loopback.proxy.pool.idle["i-0"]
            if BYTES_ON_IDLE_CONNECTION[what]:
                loopback.instances.writers[-1].write(
                    BYTES_ON_IDLE_CONNECTION[what](loopback.instances.came[-1][2])
                )
            else:
                loopback.instances.writers[-1].close()
            await loopback.until(lambda connection=connection: connection.transport.is_closing())
        assert [number for number, _, _ in loopback.instances.came] == [0, 1, 2]
        assert loopback.instances.ran == ["r0", "r1", "r2"]

    loopback.run(scenario())


@then("a proxy's client got 200 and then 502, and each came once")
def _(context):
    assert [found.status for found in context.found] == [200, 502], context.found
    assert [id for _, id, _ in context.loopback.instances.came] == context.ids


@then("a proxy whose one instance is full asks it again on a new connection")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.behaviors = ["well", "full", "well"]
        client = await loopback.client()
        for id in ("a", "b"):
            client.send(id, "unsafe")
            client.own(await client.answer(), id, "unsafe")
        assert [(number, id) for number, id, _ in loopback.instances.came] == [
            (0, "a"),
            (0, "b"),
            (1, "b"),
        ]

    loopback.run(scenario())


@then("a proxy's client that sends one id {many:d} times has them on {lines:d} connections")
def _(context, many, lines):
    loopback = context.loopback

    async def scenario():
        client, before = await loopback.client(), len(loopback.instances.came)
        for _ in range(many):
            client.send("same", "unsafe")
            client.own(await client.answer(), "same", "unsafe")
        assert len({number for number, _, _ in loopback.instances.came[before:]}) == lines

    loopback.run(scenario())


@then("a proxy that was answered 421 has no connection left to that instance")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.together, loopback.instances.want = [], 2
        clients = [await loopback.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.send(f"r{number}", "safe")
        for number, client in enumerate(clients):
            client.own(await client.answer(), f"r{number}", "safe")
        assert len(loopback.proxy.pool.idle["i-0"]) == 2
        loopback.instances.together, loopback.instances.behaviors = None, ["another instance"]
        clients[0].send("r2", "unsafe")
        found = await clients[0].answer()
        assert found.status == 503 and loopback.instances.ran == ["r0", "r1"], found
        assert not loopback.proxy.pool.idle and not loopback.proxy.instances.by_id

    loopback.run(scenario())


@then("a proxy sent the first 2 on one connection and the third on another")
def _(context):
    first, second, third = [number for number, _, _ in context.loopback.instances.came]
    assert first == second != third, (first, second, third)

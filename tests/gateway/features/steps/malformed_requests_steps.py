"""Malformed and partial requests from untrusted clients to a proxy on 127.0.0.1."""

import random

from behave import then, when

from umbermoor.http1.reader import Response

MALFORMED_INPUTS = {
    "a huge head": b"GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Long: " + b"x" * 70_000,
    "garbage": b"\x16\x03\x01\x02\0\x01\0\r\n\r\n",
    "two lengths": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "a length and chunks": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n0\r\n\r\nGET /safe/smuggled HTTP/1.1\r\n\r\n",
    "garbled chunks": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n",
    "an odd coding": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "too large a body": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n",
    "a header over two lines": b"GET /safe/x HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n 2\r\n\r\n",
    "two hosts": b"GET /safe/x HTTP/1.1\r\nHost: h\r\nHost: h\r\nX-Attempt-Id: a\r\n\r\n",
    "no host": b"GET /safe/x HTTP/1.1\r\nX-Attempt-Id: a\r\n\r\n",
    "two ids": b"GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Attempt-Id: b\r\n\r\n",
    "no id": b"GET /safe/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    "an empty id": b"GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: \r\nConnection: close\r\n\r\n",
    "a space before a colon": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length : 3\r\n\r\n"
    b"abc",
    "bare line ends": b"GET /safe/x HTTP/1.1\nHost: h\nX-Attempt-Id: a\n\nGET /safe/y HTTP/1.1\r\nHost: h\r\n\r\n",
    "a bare end in a header": b"GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-A: 1\nX-B: 2\r\n\r\n",
    "control characters": b"GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-A: \x0b\r\n\r\n",
    "a garbled trailer": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\nGET /safe/y HTTP/1.1\r\n\r\n",
    "a bare end in a chunk": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n1;\n\r\nx\r\n0\r\n\r\n",
    "a sign in a length": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: +3\r\n\r\nabc",
    "a list of lengths": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 3, 3\r\n\r\nabc",
    "chunks in HTTP/1.0": b"POST /safe/x HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\n\r\n",
    "a connect": b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n\r\n",
    "an absolute target": b"GET http://h/safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nConnection: close\r\n\r\n",
    "two codings": b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "half a head, and waits": b"GET /safe/x HTTP/1.1\r\nHost: h\r\n",
}


@when("a proxy's untrusted client sends {what}")
def _(context, what):
    loopback = context.loopback

    async def scenario():
        client = await loopback.client()
        client.writer.write(MALFORMED_INPUTS[what])
        if "waits" in what:
            await loopback.wait_until(
                lambda: any(
                    connection.reader.mid_message
                    for connection in loopback.proxy.clients.connections
                )
            )
            for connection in list(
                loopback.proxy.clients.connections
            ):  # at a later time of its clock
                connection.sweep(
                    loopback.proxy.clients.clock() + 1,
                    loopback.proxy.clients.header_timeout_s,
                    loopback.proxy.clients.idle_timeout_s,
                )
                assert not connection.transport.is_closing()
                connection.sweep(
                    loopback.proxy.clients.clock() + 60,
                    loopback.proxy.clients.header_timeout_s,
                    loopback.proxy.clients.idle_timeout_s,
                )
        return await client.next_response(), await client.next_response()

    context.responses = loopback.run(scenario())


@then(
    "a proxy's untrusted client gets {status:d} and is disconnected, no instance receives anything, and others are served"
)
def _(context, status):
    loopback, (response, following) = context.loopback, context.responses
    assert (
        isinstance(response, Response)
        and (response.status, response.keep_alive) == (status, False)
        and following is None
    ), context.responses
    assert not loopback.instances.received

    async def scenario():
        client = await loopback.client()
        client.send("other", "unsafe")
        client.assert_own_response(await client.next_response(), "other", "unsafe")
        client.writer.close()
        await loopback.wait_until(lambda: not loopback.proxy.clients.connections)
        assert loopback.proxy.buffers.in_use == 0

    loopback.run(scenario())


@then(
    "a proxy releases all memory of {many:d} untrusted clients that sent partial requests and left"
)
def _(context, many):
    loopback, rng = context.loopback, random.Random(2)
    whole = (
        b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Long: "
        + b"x" * 5000
        + b"\r\nContent-Length: 9000\r\n\r\n"
        + b"y" * 8999
    )

    async def scenario():
        clients = [await loopback.client() for _ in range(many)]
        for client in clients:
            client.writer.write(whole[: rng.randint(1, len(whole))])
            await client.writer.drain()
        await loopback.wait_until(
            lambda: (
                sum(
                    connection.reader.mid_message
                    for connection in loopback.proxy.clients.connections
                )
                == many
            )
        )
        assert loopback.proxy.buffers.in_use >= many
        for client in clients:
            if rng.random() < 0.5:
                client.writer.close()
            else:
                client.writer.transport.abort()
        await loopback.wait_until(lambda: not loopback.proxy.clients.connections)
        assert loopback.proxy.buffers.in_use == 0 and not loopback.instances.received

    loopback.run(scenario())


@then("a proxy's client gets its own response despite invalid numbers in its headers")
def _(context):
    async def scenario():
        client = await context.loopback.client()
        for number, value in enumerate(("\xb2", "-1", "", "1e9", "9" * 5000, "5.5", " 900 ")):
            client.send(f"odd{number}", "safe", b"", "x", "GET", f"X-Time-Remaining: {value}")
            client.assert_own_response(await client.next_response(), f"odd{number}")

    context.loopback.run(scenario())

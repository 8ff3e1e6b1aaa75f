"""Client connections to a proxy on 127.0.0.1: how they close, and clients that do not read."""

import asyncio
import socket
import time

from behave import then

from tests.gateway.loopback_proxy import (
    BEHAVIORS,
    LOOPBACK_ADDRESS,
    TIMEOUT_S,
    Client,
    build_response,
)
from umbermoor.gateway.server.client_connection import ClientConnection
from umbermoor.gateway.server.slow_readers import abort_slow_readers
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import MessageLimits, Reader


@then("a draining proxy keeps reading after its FIN, and its client gets the complete response")
def _(context):
    loopback = context.loopback

    async def scenario():
        client = await loopback.client()
        loopback.proxy.drain()
        client.send("last", "unsafe")
        await loopback.wait_until(
            lambda: any(connection.fin_sent for connection in loopback.proxy.clients.connections)
        )
        (connection,) = loopback.proxy.clients.connections
        for number in range(
            50
        ):  # in transit at the FIN: left unread, it would cause a reset that discards the response
            client.send(f"late{number}", "unsafe", b"x" * 2000)
            await client.writer.drain()
        connection.sweep(loopback.proxy.clients.clock() + 0.1, 3, 15)
        response = await client.next_response()
        client.assert_own_response(response, "last", "unsafe")
        assert not response.keep_alive and await client.next_response() is None
        assert loopback.instances.executed == ["last"] and loopback.proxy.clients.connections
        connection.sweep(loopback.proxy.clients.clock() + 60, 3, 15)
        await loopback.wait_until(lambda: not loopback.proxy.clients.connections)

    loopback.run(scenario())


@then("a proxy reads for half a second after its FIN, even if its client keeps sending")
def _(context):
    loopback = context.loopback

    async def scenario():
        client = await loopback.client()
        client.writer.write(b"garbage\r\n\r\n")
        await loopback.wait_until(
            lambda: any(connection.fin_sent for connection in loopback.proxy.clients.connections)
        )
        (connection,) = loopback.proxy.clients.connections
        began = loopback.proxy.clients.clock()
        loopback.proxy.clients.clock = lambda: began + 0.6
        try:
            connection.data_received(b"x")
            connection.sweep(loopback.proxy.clients.clock(), 3, 15)
        finally:
            loopback.proxy.clients.clock = time.monotonic
        assert connection.transport.is_closing()

    loopback.run(scenario())


@then(
    "a proxy that answers a client that has just left closes the connection, and its sweeps continue"
)
def _(context):
    loopback = context.loopback

    async def connection_of_departed_client(data, begun):
        """Return a client's connection once `begun` holds; its FIN has arrived but is not read yet."""
        client = socket.create_connection((LOOPBACK_ADDRESS, loopback.port))
        client.sendall(data)
        await loopback.wait_until(
            lambda: any(begun(connection) for connection in loopback.proxy.clients.connections)
        )
        (connection,) = loopback.proxy.clients.connections
        client.close()
        return connection

    async def scenario():
        whole = (
            b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n"
        )
        loopback.proxy.drain()
        loopback.instances.behaviors = ["hangs"]
        connection = await connection_of_departed_client(
            whole, lambda connection: connection.pending
        )
        connection.respond(connection.pending[0], 504, b"", {})
        assert connection.transport.is_closing()
        await loopback.wait_until(lambda: not loopback.proxy.clients.connections)
        connection = await connection_of_departed_client(
            whole[:20], lambda connection: connection.request_began_at is not None
        )
        connection.sweep(loopback.proxy.clients.clock() + 60, 3, 15)
        assert connection.transport.is_closing()
        await loopback.wait_until(lambda: not loopback.proxy.clients.connections)

    loopback.run(scenario())


@then("a proxy's client that expects 100 gets it once, and its own response")
def _(context):
    loopback = context.loopback

    async def scenario():
        client = await loopback.client()
        head = (
            "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {}\r\nExpect: 100-continue\r\n"
            "Content-Length: 4\r\n\r\n"
        )
        for id in ("a", "b"):
            client.writer.write(head.format(id).encode())
            async with asyncio.timeout(TIMEOUT_S):
                assert await client.stream.readexactly(25) == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert not loopback.instances.received or loopback.instances.received[-1][1] != id
            client.writer.write(b"bo")
            await client.writer.drain()
            client.writer.write(b"dy")
            client.assert_own_response(await client.next_response(), id, "unsafe")
            assert loopback.instances.received[-1][2].body == b"body"
        client.writer.write(
            head.format("c").encode() + b"body"
        )  # it sends the body at once, and gets no 100
        client.assert_own_response(await client.next_response(), "c", "unsafe")

    loopback.run(scenario())


@then("a proxy starts no more requests for a client that does not read, and continues once it does")
def _(context):
    loopback, large = context.loopback, b"y" * 300_000

    async def scenario():
        make = BEHAVIORS["well"]
        BEHAVIORS["well"] = lambda request: build_response(request, 200, large), False, True
        try:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect((LOOPBACK_ADDRESS, loopback.port))
            before, many = len(loopback.instances.received), 200
            stream, writer = await asyncio.open_connection(sock=sock)
            writer.transport.pause_reading()
            client = Client(stream, writer)
            loopback.opened.add(client)
            client.reader = Reader(
                Buffers(64 << 20), responses=True, limits=MessageLimits(body_bytes=2 << 20)
            )
            for number in range(many):
                client.send(f"big{number}", "safe")
            await loopback.wait_until(
                lambda: any(
                    connection.writing_paused
                    and connection.reading_paused
                    and not any(pending.started for pending in connection.pending)
                    for connection in loopback.proxy.clients.connections
                )
            )
            for _ in range(1000):
                await asyncio.sleep(0)
            begun = len(loopback.instances.received) - before
            assert begun <= 40, begun
            writer.transport.resume_reading()
            for number in range(many):
                response = await client.next_response()
                assert response.status == 200 and response.body == large, (number, response.status)
                assert response.headers["x-attempt-id"] == f"big{number}", number
        finally:
            BEHAVIORS["well"] = make

    loopback.run(scenario())


@then("a proxy aborts clients that do not read, those with the largest buffers first")
def _(context):
    class Transport:
        def __init__(self, size):
            self.size, self.aborted = size, False

        def get_write_buffer_size(self):
            return self.size

        def abort(self):
            self.aborted = True

    connections = []
    for size, slow in ((500, True), (9000, False), (3000, True), (2000, True), (100, True)):
        connection = ClientConnection(context.loopback.proxy.clients)
        connection.transport, connection.writing_paused = Transport(size), slow
        connections.append(connection)
    assert abort_slow_readers(connections, 6000) == 0 and abort_slow_readers(connections, 1000) == 2
    assert [connection.transport.aborted for connection in connections] == [
        False,
        False,
        True,
        True,
        False,
    ]
    now = context.loopback.proxy.clients.clock()
    connections[0].last_activity, connections[0].unread_bytes = now - 31, 500 + 4096
    connections[0].sweep(now, 3, 15)
    assert not connections[0].transport.aborted  # it has read some bytes
    connections[0].sweep(now + 31, 3, 15)
    assert connections[0].transport.aborted


@then("a proxy aborts a client that keeps sending and does not read")
def _(context):
    class Transport:
        def __init__(self):
            self.aborted = False

        def get_write_buffer_size(self):
            return 100_000

        def is_closing(self):
            return self.aborted

        def pause_reading(self):
            pass

        def abort(self):
            self.aborted = True

    began = context.loopback.proxy.clients.clock()
    connection = ClientConnection(context.loopback.proxy.clients)
    connection.transport, connection.closing = Transport(), True
    connection.pause_writing()
    context.loopback.proxy.clients.clock = lambda: began + 40
    try:
        connection.data_received(b"x")
        connection.sweep(began + 41, 3, 15)
    finally:
        context.loopback.proxy.clients.clock = time.monotonic
    assert connection.transport.aborted


@then("a proxy's client that sends Connection: close gets its response, and the connection closes")
def _(context):
    async def scenario():
        client = await context.loopback.client()
        client.send("last", "safe", b"", "x", "GET", "Connection: close")
        client.send("never", "safe")
        response = await client.next_response()
        client.assert_own_response(response, "last")
        assert not response.keep_alive and await client.next_response() is None
        assert context.loopback.instances.executed == ["last"]

    context.loopback.run(scenario())


@then(
    "a proxy's client that half-closes after a request gets the response only if it cannot repeat the request"
)
def _(context):
    loopback = context.loopback

    async def scenario():
        for kind, answered in (("unsafe", True), ("safe", False)):
            loopback.instances.released.clear()
            loopback.instances.behaviors = ["when released"]
            came = len(loopback.instances.received)
            client = await loopback.client()
            client.send(f"{kind}0", kind)
            client.send(f"{kind}1", kind)
            await loopback.wait_until(lambda came=came: len(loopback.instances.received) > came)
            client.writer.write_eof()
            await loopback.next_departure()
            loopback.instances.released.set()
            if answered:
                client.assert_own_response(await client.next_response(), f"{kind}0", kind)
            assert (
                await client.next_response() is None
            )  # and nothing else before the connection closes

    loopback.run(scenario())


@then("a draining proxy answers a new request with Connection: close")
def _(context):
    async def scenario():
        client = await context.loopback.client()
        client.send("before", "safe")
        client.assert_own_response(await client.next_response(), "before")
        context.loopback.proxy.drain()
        client.send("after", "unsafe")
        response = await client.next_response()
        client.assert_own_response(response, "after", "unsafe")
        assert not response.keep_alive and await client.next_response() is None

    context.loopback.run(scenario())

"""Values of a configuration on connections that were open before it: see the table in
docs/gateway.md, "From when a value is in force".

Guards against the fault of docs/incidents/review-7-limits.md: a kept connection went on refusing
requests by the limits of the moment at which it was opened, and `headerBytes` was never read.
"""

import asyncio
import json

import pytest

from tests.gateway.loopback_proxy import Loopback
from tests.gateway.proxy_inputs import configuration
from umbermoor.gateway.server import client_connections
from umbermoor.gateway.server.client_connections import MAX_BODY_BYTES, MAX_HEAD_BYTES
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, MessageLimits, Reader, Request

SMALL, LARGE = 2_000, 24_000  # bytes of a body
SHORT, LONG = 8_000, 20_000  # bytes of a header field
CHUNK = 10_000  # bytes
NARROW, WIDE = 16_384, 65_536  # bytes; LARGE and LONG lie between them
OK, UNAVAILABLE = 200, (502, 503, 504)
REQUEST_TIMEOUT, BODY_TOO_LARGE, HEAD_TOO_LARGE = 408, 413, 431


class System(Loopback):
    """A proxy with two instances, and configurations for it."""

    def __init__(self):
        self.revision = 1
        super().__init__(2)

    def configure(self, envelope=None, kinds=("safe", "unsafe"), **route):
        """Apply a configuration; `route` replaces values of all routes."""
        self.revision += 1
        body = configuration(self.revision, kinds) | {"envelope": envelope or {}}
        for table in body["routes"].values():
            table.update(route)
        self.proxy.controllers.take_configuration({"kind": "body", "text": json.dumps(body)})
        assert self.proxy.requests.routes.revision == self.revision

    def pass_time(self, seconds):
        """Move the proxy's clock, and close what has been idle or slow for too long."""
        self.clock_offset_s += seconds
        self.proxy.clients.sweep()


@pytest.fixture
def system():
    started = System()
    yield started
    started.end()


async def order(client, size, kind="unsafe"):
    """Send a request with a body of `size` bytes; return the status, None if it closed."""
    client.send("a", kind, b"x" * size, "x", "POST")
    response = await client.next_response()
    return None if response is None else response.status


async def long_head(client, size):
    """Send a request with a header field of `size` bytes; return the status."""
    client.send("a", "safe", b"", "x", None, f"X-Long: {'y' * size}")
    response = await client.next_response()
    return None if response is None else response.status


# Sizes


@pytest.mark.parametrize(
    ("key", "send", "size", "refused"),
    [
        ("bodyBytes", order, LARGE, BODY_TOO_LARGE),
        ("headerBytes", long_head, LONG, HEAD_TOO_LARGE),
    ],
)
class TestSizes:
    def test_a_raised_limit_holds_for_kept_connections(self, system, key, send, size, refused):
        async def play():
            system.configure({key: NARROW})
            kept = [await system.client() for _ in range(3)]
            assert [await order(client, SMALL) for client in kept] == [OK] * 3
            system.configure({key: WIDE})
            assert [await send(client, size) for client in kept] == [OK] * 3
            assert await send(await system.client(), size) == OK

        system.run(play())

    def test_a_lowered_limit_holds_for_kept_connections(self, system, key, send, size, refused):
        async def play():
            system.configure({key: WIDE})
            kept = [await system.client() for _ in range(3)]
            assert [await send(client, size) for client in kept] == [OK] * 3
            system.configure({key: NARROW})
            assert [await send(client, size) for client in kept] == [refused] * 3
            assert await send(await system.client(), size) == refused

        system.run(play())

    def test_a_limit_that_moves_to_and_fro_is_obeyed_each_time(
        self, system, key, send, size, refused
    ):
        async def play():
            for number in range(6):
                kept = await system.client()
                assert await order(kept, SMALL) == OK
                system.configure({key: (WIDE, NARROW)[number % 2]})
                assert await send(kept, size) == (OK, refused)[number % 2]

        system.run(play())

    def test_it_decides_on_each_request_behind_another(self, system, key, send, size, refused):
        async def play():
            system.configure({key: NARROW})
            client = await system.client()
            client.send("a")
            system.configure({key: WIDE})
            field = f"X-Long: {'y' * (size if key == 'headerBytes' else 0)}"
            body = b"x" * (size if key == "bodyBytes" else 0)
            for _ in range(3):
                client.send("b", "safe", body, "x", "POST", field)
            assert [(await client.next_response()).status for _ in range(4)] == [OK] * 4
            system.configure({key: NARROW})
            client.send("a")
            client.send("b", "safe", body, "x", "POST", field)
            client.send("c")
            assert [(await client.next_response()).status for _ in range(2)] == [OK, refused]
            assert await client.next_response() is None

        system.run(play())


def chunks(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize(("before", "after"), [(WIDE, NARROW), (NARROW, WIDE)], ids=["down", "up"])
def test_a_body_that_is_under_way_keeps_the_limit_of_its_head(system, before, after, chunked):
    async def play():
        system.configure({"bodyBytes": before})
        client = await system.client()
        size = 3 * CHUNK
        length = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        head = f"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n{length}\r\n\r\n"
        part = chunks(CHUNK) if chunked else b"x" * CHUNK
        client.writer.write(head.encode() + part)
        [connection] = system.proxy.clients.connections
        await system.wait_until(lambda: connection.reader.mid_message or connection.closing)
        system.configure({"bodyBytes": after})
        client.writer.write(part + part + (b"0\r\n\r\n" if chunked else b""))
        status = (await client.next_response()).status
        assert status == (OK if before == WIDE else BODY_TOO_LARGE)
        assert len(system.instances.executed) == (status == OK)  # never in part
        assert all(len(request.body) == size for _, _, request in system.instances.received)
        if status == OK:
            assert await order(client, LARGE) == BODY_TOO_LARGE

    system.run(play())


@pytest.mark.parametrize(("after", "status"), [(WIDE, OK), (4_096, HEAD_TOO_LARGE)])
def test_a_head_that_is_under_way_has_the_limit_of_its_end(system, after, status):
    async def play():
        system.configure({"headerBytes": NARROW})
        client = await system.client()
        client.writer.write(
            b"GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Long: " + b"y" * SHORT
        )
        await system.wait_until(
            lambda: any(one.reader.mid_message for one in system.proxy.clients.connections)
        )
        system.configure({"headerBytes": after})
        client.writer.write(b"y" * SHORT + b"\r\n\r\n")
        assert (await client.next_response()).status == status

    system.run(play())


def test_the_bounds_of_the_program_hold_where_they_are_lower_and_are_logged(system, monkeypatch):
    logged = []
    monkeypatch.setattr(
        client_connections, "event", lambda name, **keys: logged.append((name, keys["key"]))
    )
    clients = system.proxy.clients
    for _ in range(2):  # once, unless the values change
        system.configure({"headerBytes": 1 << 30, "bodyBytes": 64 << 20})
    assert clients.message_limits == MessageLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES)
    assert logged == [("client_limit_lower", "headerBytes"), ("client_limit_lower", "bodyBytes")]
    system.configure({"headerBytes": -1, "bodyBytes": 0})
    assert clients.message_limits == MessageLimits(0, 0)
    system.configure({})
    assert clients.message_limits.head_bytes == 16_384
    assert len(logged) == 3  # the default of bodyBytes is above the bound too


def test_a_bound_below_the_default_limits_is_logged_with_the_first_configuration(monkeypatch):
    """Guards against a silent bound under the most usual configuration, that of the defaults."""
    logged = []
    monkeypatch.setattr(client_connections, "event", lambda name, **keys: logged.append(keys))
    started = System()
    started.end()
    assert logged == [
        {"key": "bodyBytes", "configured": 64 << 20, "in_force": MAX_BODY_BYTES},
    ]


# Times


@pytest.mark.parametrize(("before", "after", "is_open"), [(4, 20, True), (20, 4, False)])
def test_the_idle_time_in_force_holds_for_kept_connections(system, before, after, is_open):
    async def play():
        system.configure({"idleS": before})
        client = await system.client()
        assert await order(client, SMALL) == OK
        system.configure({"idleS": after})
        system.pass_time(10)
        assert await order(client, SMALL) == (OK if is_open else None)

    system.run(play())


@pytest.mark.parametrize(("before", "after", "status"), [(2, 20, OK), (20, 2, REQUEST_TIMEOUT)])
def test_the_header_time_in_force_holds_for_a_head_under_way(system, before, after, status):
    async def play():
        system.configure({"headerS": before})
        client = await system.client()
        assert await order(client, SMALL) == OK
        client.writer.write(b"GET /safe/x HTTP/1.1\r\nHost: h\r\n")
        await system.wait_until(
            lambda: any(one.reader.mid_message for one in system.proxy.clients.connections)
        )
        system.configure({"headerS": after})
        system.pass_time(8)
        client.writer.write(b"X-Attempt-Id: a\r\n\r\n")
        assert (await client.next_response()).status == status

    system.run(play())


@pytest.mark.parametrize(("before", "after"), [(0.2, 4), (4, 0.2)])
def test_the_timeout_of_a_route_holds_for_kept_connections(system, before, after):
    async def play():
        system.configure(horizonS=before)
        client = await system.client()
        assert await order(client, SMALL) == OK
        system.configure(horizonS=after)
        system.instances.behaviors = ["when released"] * 2
        answer = asyncio.create_task(order(client, SMALL))
        await asyncio.sleep(0.6)
        assert answer.done() == (after < before)
        system.instances.released.set()
        status = await answer
        assert status == OK if after > before else status in UNAVAILABLE

    system.run(play())


@pytest.mark.parametrize(("before", "after"), [(1, 2), (2, 1)])
def test_the_tries_of_a_route_hold_for_kept_connections(system, before, after):
    async def play():
        system.configure(tries=before, horizonS=0.5)
        client = await system.client()
        assert await order(client, SMALL, "safe") == OK
        system.configure(tries=after, horizonS=0.5)
        system.instances.behaviors = ["no seal", "well"]  # a failure, then a sound response
        status = await order(client, SMALL, "safe")
        assert status == OK if after > before else status in UNAVAILABLE

    system.run(play())


# The reader alone


@pytest.mark.parametrize("cut", range(0, 6_200, 100))
def test_limits_that_move_at_any_byte_leave_whole_messages_or_one_fault(cut):
    wide, narrow = MessageLimits(8_192, 8_192), MessageLimits(512, 512)
    message = (
        b"POST / HTTP/1.1\r\nA: %s\r\nContent-Length: 2000\r\n\r\n" % (b"y" * 1_000) + b"x" * 2_000
    )
    stream = message + message
    for first, second in ((wide, narrow), (narrow, wide), (wide, wide)):
        reader = Reader(Buffers(1 << 20), limits=first)
        found = reader.feed(stream[:cut])
        reader.limits = second
        found += reader.feed(stream[cut:])
        assert all(isinstance(one, Request) and len(one.body) == 2_000 for one in found[:-1])
        assert isinstance(found[-1], Request | Fault)
        if first == second:
            assert len(found) == 2
            assert isinstance(found[-1], Request)

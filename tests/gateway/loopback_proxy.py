"""A proxy on 127.0.0.1 with scripted instances.

The tests wait for conditions, with an upper time limit, instead of for fixed times.
"""

import asyncio
import json
import random
import socket
import struct
import time
from itertools import count
from weakref import WeakSet

from tests.gateway.proxy_inputs import (
    CONTROLLER_ADDRESS,
    configuration,
    instances_update,
    settings_text,
)
from umbermoor.gateway.config.node_settings import parse_node_settings
from umbermoor.gateway.discovery.registry import READY, InstanceRecord
from umbermoor.gateway.server.proxy import Proxy
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import MessageLimits, Reader, Request, Response
from umbermoor.http1.writer import write_response

LOOPBACK_ADDRESS = "127.0.0.1"
TIMEOUT_S = 20  # for what takes milliseconds, to allow for slow machines


def build_response(request, status=200, body=None, **headers):
    """Return the bytes of a complete response; a header that is None is left out."""
    body = f"body of {request.headers['x-attempt-id']}".encode() if body is None else body
    fields = {
        "X_Attempt_Id": request.headers["x-attempt-id"],
        "X_Server_Seal": f"seal {request.target}",
        **headers,
    }
    return write_response(
        status,
        body,
        headers={
            name.replace("_", "-"): value for name, value in fields.items() if value is not None
        },
    )


def build_head(request, *lines):
    """Return the bytes of a response head with additional header lines."""
    return "\r\n".join(
        [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {request.headers['x-attempt-id']}",
            f"X-Server-Seal: seal {request.target}",
            *lines,
            "",
            "",
        ]
    ).encode()


def response_body(request):
    """Return the body that belongs to this request only."""
    return f"body of {request.headers['x-attempt-id']}".encode()


REFUSED_HEADERS = {"X_Not_Executed": "1", "X_Server_Seal": None}
# By name: the bytes of the response, whether the connection closes then (None: it is reset), and
# whether the request is executed.
BEHAVIORS = {
    "well": (build_response, False, True),
    "slow": (build_response, False, True),
    "when released": (build_response, False, True),
    "by chunks": (
        lambda request: (
            build_head(request, "Transfer-Encoding: chunked")
            + b"4\r\nbody\r\n%x\r\n%s\r\n0\r\n\r\n"
            % (len(response_body(request)) - 4, response_body(request)[4:])
        ),
        False,
        True,
    ),
    "until it closes": (lambda request: build_head(request) + response_body(request), True, True),
    "early hints": (
        lambda request: b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + build_response(request),
        False,
        True,
    ),
    "not found": (lambda request: build_response(request, 404), False, True),
    "full": (lambda request: build_response(request, 503, b"", **REFUSED_HEADERS), False, False),
    "full when released": (
        lambda request: build_response(request, 503, b"", **REFUSED_HEADERS),
        False,
        False,
    ),
    "full without id": (
        lambda request: build_response(request, 503, b"", X_Attempt_Id=None, **REFUSED_HEADERS),
        False,
        False,
    ),
    "400 without id": (
        lambda request: build_response(request, 400, b"", X_Attempt_Id=None, **REFUSED_HEADERS),
        False,
        False,
    ),
    "full until it closes": (
        lambda request: build_head(request, "X-Not-Executed: 1").replace(b"200 OK", b"503 Full"),
        True,
        False,
    ),
    "no id": (lambda request: build_response(request, X_Attempt_Id=None), False, True),
    "two ids": (
        lambda request: build_head(request, "X-Attempt-Id: other", "Content-Length: 0"),
        False,
        True,
    ),
    "two seals": (
        lambda request: build_head(request, "X-Server-Seal: other", "Content-Length: 0"),
        False,
        True,
    ),
    "well, says it is not run": (
        lambda request: build_response(request, X_Not_Executed="1"),
        False,
        True,
    ),
    "another protocol": (
        lambda request: (
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n" + build_response(request)
        ),
        False,
        True,
    ),
    "answers half a request": (
        lambda request: build_response(request, 408, b"", Connection="close"),
        True,
        True,
    ),
    "another instance": (
        lambda request: build_response(request, 421, b"", X_Server_Seal=None),
        False,
        False,
    ),
    "cut short": (lambda request: build_response(request)[:-3], True, True),
    "chunks cut short": (
        lambda request: build_head(request, "Transfer-Encoding: chunked") + b"4\r\nbody\r\n",
        True,
        True,
    ),
    "closes": (lambda request: b"", True, True),
    "resets": (lambda request: b"", None, True),
    "garbage": (lambda request: b"\x16\x03\x01 no answer at all\r\n\r\n", False, True),
    "no seal": (lambda request: build_response(request, X_Server_Seal=None), False, True),
    "encoded": (lambda request: build_response(request, Content_Encoding="gzip"), False, True),
    "fails": (lambda request: build_response(request, 500), False, True),
    "bare 503": (lambda request: build_response(request, 503, b""), False, True),
    "bare 429": (lambda request: build_response(request, 429, b""), False, True),
    "bare 408": (lambda request: build_response(request, 408, b""), False, True),
    "hangs": (lambda request: b"", False, True),
    "closes behind it": (build_response, True, True),
    "twice": (lambda request: 2 * build_response(request), False, True),
    "garbage behind it": (
        lambda request: build_response(request) + b"\0\1\2 more\r\n\r\n",
        False,
        True,
    ),
    "part of one behind it": (
        lambda request: build_response(request) + build_response(request)[:40],
        False,
        True,
    ),
    "odd figures": (
        lambda request: build_response(
            request, Keep_Alive="timeout=\xb2, timeout=" + "9" * 5000, X_Load_Level="\xb2,0,8"
        ),
        False,
        True,
    ),
}


def reset(writer):
    """Reset a connection instead of closing it."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class ScriptedInstances:
    """Instances that follow a script of behaviors in turn, and then answer normally."""

    def __init__(self):
        self.behaviors, self.received, self.executed, self.in_progress = [], [], [], 0
        self.max_in_progress, self.connection_numbers, self.servers, self.records = (
            0,
            count(),
            [],
            [],
        )
        self.last_requests: dict[int, Request] = {}  # by connection
        self.unanswered: dict[int, str] = {}  # id of the unanswered request by connection
        self.disconnected_ids: set[str] = set()  # ids whose connection closed before the response
        self.writers: list = []
        self.open_writers: set = set()  # of all open connections
        self.released = asyncio.Event()  # behaviors "when released" wait for it
        self.batch: list | None = None
        self.batch_size = 0

    async def start(self, instance_count):
        for number in range(instance_count):
            server = await asyncio.start_server(self.serve, LOOPBACK_ADDRESS, 0)
            self.servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self.records.append(
                InstanceRecord(
                    f"i-{number}", "s", f"{LOOPBACK_ADDRESS}:{port}", "z", "v1", 8, READY, 0, 1
                )
            )

    async def serve(self, stream, writer):
        number, reader = (
            next(self.connection_numbers),
            Reader(Buffers(64 << 20), limits=MessageLimits(1 << 20, 1 << 20)),
        )
        self.open_writers.add(writer)
        try:
            while data := await stream.read(1 << 16):
                for request in reader.feed(data):
                    assert isinstance(request, Request), request
                    self.in_progress += 1
                    self.max_in_progress = max(self.max_in_progress, self.in_progress)
                    keep_open = await self.handle_request(number, request, writer)
                    self.in_progress -= 1
                    if not keep_open:
                        return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if (unanswered := self.unanswered.pop(number, None)) is not None:
                self.disconnected_ids.add(unanswered)
            reader.drop()
            self.open_writers.discard(writer)
            writer.close()

    async def handle_request(self, number, request, writer):
        id = request.headers["x-attempt-id"]
        self.received.append((number, id, request))
        if self.batch is not None:
            self.executed.append(id)
            self.batch.append((request, writer))
            if len(self.batch) == self.batch_size:
                for earlier, earlier_writer in reversed(self.batch):
                    earlier_writer.write(build_response(earlier))
                    await earlier_writer.drain()
            return True
        behavior = self.behaviors.pop(0) if self.behaviors else "well"
        previous = self.last_requests.get(number)
        self.last_requests[number] = request
        self.unanswered[number] = id
        if behavior.startswith("the old"):
            writer.write(
                (
                    build_response(previous)
                    if "response" in behavior
                    else build_response(previous, 503, b"", **REFUSED_HEADERS)
                )
                + build_response(request)
            )
            self.executed.append(id)
            return True
        self.writers.append(writer)
        if behavior.endswith("when released"):
            await self.released.wait()
        if behavior == "slow":
            await asyncio.sleep(0.01)
        make_response, closes, executes = BEHAVIORS[behavior]
        if executes:
            self.executed.append(id)
        if response := make_response(request):
            writer.write(response)
            await writer.drain()
            del self.unanswered[number]
        if closes is None:
            reset(writer)
        return closes is False


class Client:
    """A client connection to the proxy."""

    def __init__(self, stream, writer):
        self.stream, self.writer = stream, writer
        self.reader = Reader(
            Buffers(64 << 20), responses=True, limits=MessageLimits(body_bytes=1 << 20)
        )
        self.responses: list = []

    def send(self, id, kind="safe", body=b"", path="x", method=None, *lines):
        method = method or ("GET" if kind == "safe" else "POST")
        text = "\r\n".join(
            [f"{method} /{kind}/{path} HTTP/1.1", "Host: h", f"X-Attempt-Id: {id}", *lines, ""]
        )
        if method == "POST" and not any(line.startswith("Transfer") for line in lines):
            text += f"Content-Length: {len(body)}\r\n"
        self.writer.write(text.encode("latin-1") + b"\r\n" + body)

    async def next_response(self):
        """Return the next response; None if the connection closed."""
        async with asyncio.timeout(TIMEOUT_S):
            while not self.responses:
                try:
                    data = await self.stream.read(1 << 16)
                except ConnectionError:
                    return None
                if not data:
                    return None
                self.responses += self.reader.feed(data)
            return self.responses.pop(0)

    def assert_own_response(self, response, id, kind="safe", path="x"):
        assert isinstance(response, Response) and response.status == 200, response
        assert (
            response.body == f"body of {id}".encode() and response.headers["x-attempt-id"] == id
        ), response
        assert response.headers["x-server-seal"] == f"seal /{kind}/{path}", response


class Loopback:
    """A proxy with its scripted instances, in its own event loop."""

    def __init__(self, instance_count):
        self.runner, self.instance_count = asyncio.Runner(), instance_count
        self.clock_offset_s = 0.0  # added to the proxy's clock
        self.departed = 0  # departures that `next_departure` has seen
        self.opened: WeakSet[Client] = WeakSet()  # one that is not used any more closes by itself
        self.run(self.start())

    def run(self, scenario):
        async def bounded():
            async with asyncio.timeout(3 * TIMEOUT_S):
                return await scenario

        return self.runner.run(bounded())

    async def start(self):
        with socket.socket() as free:
            free.bind((LOOPBACK_ADDRESS, 0))
            port = free.getsockname()[1]
        self.proxy = self.make_proxy(port)
        self.instances = ScriptedInstances()
        await self.instances.start(self.instance_count)
        self.deliver_update([record.to_wire() for record in self.instances.records])
        self.proxy.controllers.take_configuration(
            {"kind": "body", "text": json.dumps(configuration())}
        )
        await self.listen()

    def make_proxy(self, port):
        settings = parse_node_settings(settings_text(port).encode())
        return Proxy(settings, random.Random(3), clock=self.clock)

    def clock(self):
        return time.monotonic() + self.clock_offset_s

    async def listen(self):
        self.server = await asyncio.get_running_loop().create_server(
            self.proxy.clients.accept, LOOPBACK_ADDRESS, 0
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def deliver_update(self, records):
        """Pass the proxy a controller update with these records, in wire form."""
        connection = type("Connection", (), {"peer": CONTROLLER_ADDRESS})
        self.proxy.controllers.receive(connection, instances_update(1, records))
        assert self.proxy.instances.by_id

    async def client(self):
        client = Client(*await asyncio.open_connection(LOOPBACK_ADDRESS, self.port))
        self.opened.add(client)
        return client

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)

    async def next_departure(self):
        """Wait until the proxy has noticed that another client left."""
        requests = self.proxy.requests.departures.requests
        await self.wait_until(lambda: sum(requests.values()) > self.departed)
        self.departed = sum(requests.values())

    def abort_streams(self):
        """Abort the open connections of clients and instances, before their event loop ends."""
        for writer in (*(client.writer for client in self.opened), *self.instances.open_writers):
            writer.transport.abort()

    def end(self):
        async def close():
            self.server.close()
            for server in self.instances.servers:
                server.close()
            self.abort_streams()
            for connection in list(self.proxy.clients.connections):
                connection.transport.abort()
            for connections in list(self.proxy.pool.idle.values()):
                for connection in list(connections):
                    connection.transport.abort()
            await asyncio.sleep(0)

        self.runner.run(close())
        self.runner.close()
        assert not self.proxy.invariants.total(), self.proxy.invariants.counts()


class ServingLoopback(Loopback):
    """A proxy that runs like the real program: with ticks, readiness, and a drain at the end."""

    timeout_s = TIMEOUT_S

    def __init__(self, instance_count, grace_s):
        self.grace_s = grace_s
        super().__init__(instance_count)

    def make_proxy(self, port):
        with socket.socket() as free:
            free.bind((LOOPBACK_ADDRESS, 0))
            self.port = free.getsockname()[1]
        text = settings_text(port, graceS=self.grace_s)
        listen = (
            f'[listen]\nfront = "{LOOPBACK_ADDRESS}:{self.port}"\nready = "{LOOPBACK_ADDRESS}:0"\n'
        )
        settings = parse_node_settings((text + listen).encode())
        return Proxy(settings, random.Random(3), clock=self.clock)

    async def listen(self):
        self.serving = asyncio.get_running_loop().create_task(self.proxy.serve())
        await self.wait_until(lambda: self.accepts())

    def accepts(self):
        with socket.socket() as probe:
            return not probe.connect_ex((LOOPBACK_ADDRESS, self.port))

    def end(self):
        async def close():
            self.serving.cancel()
            await asyncio.wait([self.serving])
            for server in self.instances.servers:
                server.close()
            self.abort_streams()
            await asyncio.sleep(0)

        self.runner.run(close())
        self.runner.close()
        assert not self.proxy.invariants.total(), self.proxy.invariants.counts()

"""A vane on 127.0.0.1 with machines that do as they are told; waits are for what happens, within
bounds."""

import asyncio
import json
import random
import socket
import struct
import time
import zlib
from itertools import count

from behave import given, then, when

from umbermoor.gateway.balancing.request import RequestState
from umbermoor.gateway.config.node_settings import parse_node_settings
from umbermoor.gateway.discovery.registry import READY, InstanceRecord
from umbermoor.gateway.server import peer_transport as posts
from umbermoor.gateway.server.client_connection import ClientConnection, abort_slow_readers
from umbermoor.gateway.server.peer_transport import COMPRESSED_FLAG, encode_frame
from umbermoor.gateway.server.proxy import Proxy
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Reader, Request, Response
from umbermoor.http1.writer import write_response

HERE = "127.0.0.1"
BOUND = 20  # s: a wait for what comes in milliseconds, on whatever machine
SETTINGS = """
nodeName = "front-1"
role = "my-front"
machineClass = "front"
ip = "127.0.0.1"
zone = "z"
portRange = [{port},{port}]
seeds = ["127.0.0.9:8649"]
margins = ["retryRatio=100"]
[envelope]
memoryMb = 64
"""
ROUTES = {
    "revision": "00000001",
    "services": {"s": {}},
    "routes": {
        kind: {
            "host": "h",
            "prefix": f"/{kind}/",
            "kind": kind,
            "horizonS": 5,
            "service": "s",
            "tries": 2,
        }
        for kind in ("safe", "unsafe")
    },
}


def answer(request, status=200, body=None, **headers):
    body = f"body of {request.headers['x-attempt-id']}".encode() if body is None else body
    told = {
        "X_Attempt_Id": request.headers["x-attempt-id"],
        "X_Server_Seal": f"seal {request.target}",
        **headers,
    }
    return write_response(
        status,
        body,
        headers={
            name.replace("_", "-"): value for name, value in told.items() if value is not None
        },
    )


def head(request, *lines):
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


def body_of(request):
    return f"body of {request.headers['x-attempt-id']}".encode()


FULL = {"X_Not_Executed": "1", "X_Server_Seal": None}
MANNERS = {  # what is sent, whether the connection ends then, whether the request runs
    "well": (answer, False, True),
    "slow": (answer, False, True),
    "by chunks": (
        lambda one: (
            head(one, "Transfer-Encoding: chunked")
            + b"4\r\nbody\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body_of(one)) - 4, body_of(one)[4:])
        ),
        False,
        True,
    ),
    "until it closes": (lambda one: head(one) + body_of(one), True, True),
    "early hints": (
        lambda one: b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer(one),
        False,
        True,
    ),
    "not found": (lambda one: answer(one, 404), False, True),
    "full": (lambda one: answer(one, 503, b"", **FULL), False, False),
    "full without id": (lambda one: answer(one, 503, b"", X_Attempt_Id=None, **FULL), False, False),
    "400 without id": (lambda one: answer(one, 400, b"", X_Attempt_Id=None, **FULL), False, False),
    "full until it closes": (
        lambda one: head(one, "X-Not-Executed: 1").replace(b"200 OK", b"503 Full"),
        True,
        False,
    ),
    "no id": (lambda one: answer(one, X_Attempt_Id=None), False, True),
    "two ids": (lambda one: head(one, "X-Attempt-Id: other", "Content-Length: 0"), False, True),
    "two seals": (lambda one: head(one, "X-Server-Seal: other", "Content-Length: 0"), False, True),
    "well, says it is not run": (lambda one: answer(one, X_Not_Executed="1"), False, True),
    "another protocol": (
        lambda one: b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n" + answer(one),
        False,
        True,
    ),
    "answers half a request": (lambda one: answer(one, 408, b"", Connection="close"), True, True),
    "another machine": (lambda one: answer(one, 421, b"", X_Server_Seal=None), False, False),
    "cut short": (lambda one: answer(one)[:-3], True, True),
    "chunks cut short": (
        lambda one: head(one, "Transfer-Encoding: chunked") + b"4\r\nbody\r\n",
        True,
        True,
    ),
    "closes": (lambda one: b"", True, True),
    "resets": (lambda one: b"", None, True),
    "garbage": (lambda one: b"\x16\x03\x01 no answer at all\r\n\r\n", False, True),
    "no seal": (lambda one: answer(one, X_Server_Seal=None), False, True),
    "encoded": (lambda one: answer(one, Content_Encoding="gzip"), False, True),
    "fails": (lambda one: answer(one, 500), False, True),
    "bare 503": (lambda one: answer(one, 503, b""), False, True),
    "bare 429": (lambda one: answer(one, 429, b""), False, True),
    "bare 408": (lambda one: answer(one, 408, b""), False, True),
    "hangs": (lambda one: b"", False, True),
    "closes behind it": (answer, True, True),
    "twice": (lambda one: 2 * answer(one), False, True),
    "garbage behind it": (lambda one: answer(one) + b"\0\1\2 more\r\n\r\n", False, True),
    "part of one behind it": (lambda one: answer(one) + answer(one)[:40], False, True),
    "odd figures": (
        lambda one: answer(
            one, Keep_Alive="timeout=\xb2, timeout=" + "9" * 5000, X_Load_Level="\xb2,0,8"
        ),
        False,
        True,
    ),
}


def reset(writer):
    """Breaks a connection off, rather than ending it."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class Machines:
    """Machines that do in turn what they were told, and after that are well."""

    def __init__(self):
        self.manners, self.came, self.ran, self.busy = [], [], [], 0
        self.most_busy, self.numbers, self.servers, self.entries = 0, count(), [], []
        self.last: dict[int, Request] = {}  # by connection
        self.writers: list = []
        self.together: list | None = None
        self.want = 0

    async def start(self, many):
        for number in range(many):
            server = await asyncio.start_server(self.serve, HERE, 0)
            self.servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self.entries.append(
                InstanceRecord(f"i-{number}", "s", f"{HERE}:{port}", "z", "v1", 8, READY, 0, 1)
            )

    async def serve(self, stream, writer):
        number, reader = next(self.numbers), Reader(Buffers(64 << 20), max_body_bytes=1 << 20)
        try:
            while data := await stream.read(1 << 16):
                for request in reader.feed(data):
                    assert isinstance(request, Request), request
                    self.busy += 1
                    self.most_busy = max(self.most_busy, self.busy)
                    go_on = await self.act(number, request, writer)
                    self.busy -= 1
                    if not go_on:
                        return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            reader.drop()
            writer.close()

    async def act(self, number, request, writer):
        id = request.headers["x-attempt-id"]
        self.came.append((number, id, request))
        if self.together is not None:
            self.ran.append(id)
            self.together.append((request, writer))
            if len(self.together) == self.want:
                for one, other in reversed(self.together):
                    other.write(answer(one))
                    await other.drain()
            return True
        manner = self.manners.pop(0) if self.manners else "well"
        old = self.last.get(number)
        self.last[number] = request
        if manner.startswith("the old"):
            writer.write(
                (answer(old) if "answer" in manner else answer(old, 503, b"", **FULL))
                + answer(request)
            )
            self.ran.append(id)
            return True
        self.writers.append(writer)
        if manner == "slow":
            await asyncio.sleep(0.01)
        make, ends, runs = MANNERS[manner]
        if runs:
            self.ran.append(id)
        writer.write(make(request))
        await writer.drain()
        if ends is None:
            reset(writer)
        return ends is False


class Client:
    """A client's connection."""

    def __init__(self, stream, writer):
        self.stream, self.writer = stream, writer
        self.reader = Reader(Buffers(64 << 20), responses=True, max_body_bytes=1 << 20)
        self.held: list = []

    def send(self, id, kind="safe", body=b"", path="x", method=None, *lines):
        method = method or ("GET" if kind == "safe" else "POST")
        text = "\r\n".join(
            [f"{method} /{kind}/{path} HTTP/1.1", "Host: h", f"X-Attempt-Id: {id}", *lines, ""]
        )
        if method == "POST" and not any(line.startswith("Transfer") for line in lines):
            text += f"Content-Length: {len(body)}\r\n"
        self.writer.write(text.encode("latin-1") + b"\r\n" + body)

    async def answer(self):
        """The next answer; None where the connection ended."""
        async with asyncio.timeout(BOUND):
            while not self.held:
                try:
                    data = await self.stream.read(1 << 16)
                except ConnectionError:
                    return None
                if not data:
                    return None
                self.held += self.reader.feed(data)
            return self.held.pop(0)

    def own(self, found, id, kind="safe", path="x"):
        assert isinstance(found, Response) and found.status == 200, found
        assert found.body == f"body of {id}".encode() and found.headers["x-attempt-id"] == id, found
        assert found.headers["x-server-seal"] == f"seal /{kind}/{path}", found


class Loopback:
    """A vane with its machines, in an event loop of its own."""

    def __init__(self, many):
        self.runner, self.many = asyncio.Runner(), many
        self.run(self.start())

    def run(self, story):
        async def bounded():
            async with asyncio.timeout(3 * BOUND):
                return await story

        return self.runner.run(bounded())

    async def start(self):
        with socket.socket() as free:
            free.bind((HERE, 0))
            port = free.getsockname()[1]
        self.front = Proxy(
            parse_node_settings(SETTINGS.format(port=port).encode()), random.Random(3)
        )
        self.machines = Machines()
        await self.machines.start(self.many)
        self.tell([entry.to_wire() for entry in self.machines.entries])
        self.front.controllers.take_configuration({"kind": "body", "text": json.dumps(ROUTES)})
        self.server = await asyncio.get_running_loop().create_server(
            self.front.clients.accept, HERE, 0
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, machines):
        line = type("Line", (), {"peer": "127.0.0.9"})
        self.front.controllers.receive(
            line,
            {
                "kind": "news",
                "life": 1,
                "number": 1,
                "machines": machines,
                "register": [0, 0],
                "keys": {},
                "everyone": ["127.0.0.9"],
                "head": "127.0.0.9",
                "firm": True,
                "revision": 0,
            },
        )
        assert self.front.instances.by_id

    async def client(self):
        return Client(*await asyncio.open_connection(HERE, self.port))

    async def until(self, holds):
        async with asyncio.timeout(BOUND):
            while not holds():
                await asyncio.sleep(0.005)

    def end(self):
        async def close():
            self.server.close()
            for server in self.machines.servers:
                server.close()
            for line in list(self.front.clients.connections):
                line.transport.abort()
            for lines in list(self.front.pool.idle.values()):
                for line in list(lines):
                    line.transport.abort()
            await asyncio.sleep(0)

        self.runner.run(close())
        self.runner.close()


@given("a vane on loopback before {many:d} machines")
def _(context, many):
    context.here = Loopback(many)
    context.add_cleanup(context.here.end)


@when("a vane's machines take no connections any more")
def _(context):
    async def story():
        for server in context.here.machines.servers:
            server.close()
            await server.wait_closed()

    context.here.run(story())


@when("a vane's client sends a request that is {kind}, and machines do this in turn: {manners}")
def _(context, kind, manners):
    here, hangs = context.here, "hangs" in manners

    async def story():
        here.machines.manners = [manners] if manners in MANNERS else manners.split(", ")
        context.client = await here.client()
        context.client.send(
            "first", kind, b"", "x", None, *(["X-Time-Remaining: 1500"] if hangs else [])
        )
        return await context.client.answer()

    context.kind, context.found = kind, here.run(story())


@then(
    "a vane's client got {status:d}, and the request came to machines {came:d} times and ran {ran:d} times"
)
def _(context, status, came, ran):
    here, found = context.here, context.found
    assert isinstance(found, Response) and found.status == status, found
    if status == 200:
        context.client.own(found, "first", context.kind)
    elif status in (502, 503, 504):
        assert found.body == b"" and "x-server-seal" not in found.headers, found
    assert (status == 503) == ("retry-after" in found.headers), found
    assert [id for _, id, _ in here.machines.came] == ["first"] * came, here.machines.came
    assert here.machines.ran == ["first"] * ran, here.machines.ran
    assert not here.front.requests.active
    for _, _, request in here.machines.came:
        assert request.headers["x-target-instance"] in ("i-0", "i-1")
        assert 0 < int(request.headers["x-time-remaining"]) <= 5000


@then("a vane's client gets its own answer to the next request on that connection")
def _(context):
    async def story():
        for number in range(3):
            context.client.send(f"next{number}", "safe")
            context.client.own(await context.client.answer(), f"next{number}")

    context.here.run(story())


@when(
    "a vane's client sends {many:d} requests that are {kind} one after the other, and machines do this in turn: "
    "{manners}"
)
def _(context, many, kind, manners):
    here = context.here
    context.kind, context.found, context.ids = kind, [], [f"r{number}" for number in range(many)]

    async def story():
        here.machines.manners = manners.split(", ")
        context.client = await here.client()
        for id in context.ids:
            context.client.send(id, kind)
            context.found.append(await context.client.answer())

    here.run(story())


@when(
    "a vane's client sends {many:d} requests that are {kind} behind one another, and machines do this in turn: "
    "{manners}"
)
@when(
    "a vane's client sends {many:d} requests that are {kind} behind one another, and machines answer the last first "
    "once all are there"
)
def _(context, many, kind, manners=None):
    here = context.here
    context.kind, context.ids = kind, [f"r{number}" for number in range(many)]

    async def story():
        if manners is None:
            here.machines.together, here.machines.want = [], many
        else:
            here.machines.manners = manners.split(", ")
        context.client = await here.client()
        for id in context.ids:
            context.client.send(id, kind)
        context.found = [await context.client.answer() for _ in context.ids]

    here.run(story())


@then("a vane's client got its own answer to each, and each ran once")
def _(context):
    for id, found in zip(context.ids, context.found):
        context.client.own(found, id, context.kind)
    assert sorted(context.here.machines.ran) == sorted(context.ids), context.here.machines.ran


RESTING = {
    "a whole old answer": lambda one: answer(one),
    "a part of an answer": lambda one: (
        b"HTTP/1.1 500 \r\nX-A: "
    ),  # the next one's first line would be its value
    "an interim answer": lambda one: b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "an empty line": lambda one: b"\r\n",
    "the machine's end": None,
}


@then(
    "a vane whose kept connection got {what} sends the next request on another, and its client gets its own answer"
)
def _(context, what):
    here = context.here

    async def story():
        client = await here.client()
        for round in range(3):
            client.send(f"r{round}", "unsafe")
            client.own(await client.answer(), f"r{round}", "unsafe")
            (line,) = here.front.pool.idle["i-0"]
            if RESTING[what]:
                here.machines.writers[-1].write(RESTING[what](here.machines.came[-1][2]))
            else:
                here.machines.writers[-1].close()
            await here.until(lambda line=line: line.transport.is_closing())
        assert [number for number, _, _ in here.machines.came] == [0, 1, 2]
        assert here.machines.ran == ["r0", "r1", "r2"]

    here.run(story())


@then("a vane's client got 200 and then 502, and each came once")
def _(context):
    assert [found.status for found in context.found] == [200, 502], context.found
    assert [id for _, id, _ in context.here.machines.came] == context.ids


@then("a vane without configuration, and one without machines, refuses and sends nothing")
def _(context):
    here = context.here

    async def story():
        client, kept = await here.client(), here.front.requests.routes
        here.front.requests.routes = None
        client.send("early", "unsafe")
        first = await client.answer()
        here.front.requests.routes, instances = kept, dict(here.front.instances.by_id)
        for id in instances:
            here.front.instances.forget(id)
        client.send("early too", "unsafe")
        for found in (first, await client.answer()):
            assert found.status == 503 and float(found.headers["retry-after"]) > 0, found
        assert not here.machines.came and not here.front.requests.active

    here.run(story())


@then("a vane whose one machine is full asks it again on a new connection")
def _(context):
    here = context.here

    async def story():
        here.machines.manners = ["well", "full", "well"]
        client = await here.client()
        for id in ("a", "b"):
            client.send(id, "unsafe")
            client.own(await client.answer(), id, "unsafe")
        assert [(number, id) for number, id, _ in here.machines.came] == [
            (0, "a"),
            (0, "b"),
            (1, "b"),
        ]

    here.run(story())


@then("a vane's client that sends one id {many:d} times has them on {lines:d} connections")
def _(context, many, lines):
    here = context.here

    async def story():
        client, before = await here.client(), len(here.machines.came)
        for _ in range(many):
            client.send("same", "unsafe")
            client.own(await client.answer(), "same", "unsafe")
        assert len({number for number, _, _ in here.machines.came[before:]}) == lines

    here.run(story())


@then("a vane that was answered 421 has no connection left to that machine")
def _(context):
    here = context.here

    async def story():
        here.machines.together, here.machines.want = [], 2
        clients = [await here.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.send(f"r{number}", "safe")
        for number, client in enumerate(clients):
            client.own(await client.answer(), f"r{number}", "safe")
        assert len(here.front.pool.idle["i-0"]) == 2
        here.machines.together, here.machines.manners = None, ["another machine"]
        clients[0].send("r2", "unsafe")
        found = await clients[0].answer()
        assert found.status == 503 and here.machines.ran == ["r0", "r1"], found
        assert not here.front.pool.idle and not here.front.instances.by_id

    here.run(story())


@then(
    "a vane's client that sends {many:d} GETs to an unsafe route behind one another has them worked at one by one"
)
def _(context, many):
    here = context.here

    async def story():
        here.machines.manners = ["slow"] * many
        client = await here.client()
        for number in range(many):
            client.send(f"r{number}", "unsafe", b"", "x", "GET")
        for number in range(many):
            client.own(await client.answer(), f"r{number}", "unsafe")
        assert here.machines.most_busy == 1 and here.machines.ran == [
            f"r{number}" for number in range(many)
        ]

    here.run(story())


@then("a vane that leaves reads on behind its end, and its client gets the answer whole")
def _(context):
    here = context.here

    async def story():
        client = await here.client()
        here.front.clients.draining = True
        client.send("last", "unsafe")
        await here.until(lambda: any(line.end_sent for line in here.front.clients.connections))
        (line,) = here.front.clients.connections
        for number in range(
            50
        ):  # on its way when the end came: unread, it would reset what the client has not read
            client.send(f"late{number}", "unsafe", b"x" * 2000)
            await client.writer.drain()
        line.sweep(here.front.clients.clock() + 0.1, 3, 15)
        found = await client.answer()
        client.own(found, "last", "unsafe")
        assert not found.keep_alive and await client.answer() is None
        assert here.machines.ran == ["last"] and here.front.clients.connections
        line.sweep(here.front.clients.clock() + 60, 3, 15)
        await here.until(lambda: not here.front.clients.connections)

    here.run(story())


@then("a vane reads on behind its end for half a second, whatever its client goes on sending")
def _(context):
    here = context.here

    async def story():
        client = await here.client()
        client.writer.write(b"garbage\r\n\r\n")
        await here.until(lambda: any(line.end_sent for line in here.front.clients.connections))
        (line,) = here.front.clients.connections
        began = here.front.clients.clock()
        here.front.clients.clock = lambda: began + 0.6
        try:
            line.data_received(b"x")
            line.sweep(here.front.clients.clock(), 3, 15)
        finally:
            here.front.clients.clock = time.monotonic
        assert line.transport.is_closing()

    here.run(story())


@then(
    "a vane that answers a client, gone in that moment, has closed the connection, and its clock goes on"
)
def _(context):
    here = context.here

    async def gone(data, begun):
        """Its line, once that has begun; the client's end has come, and is not read yet."""
        client = socket.create_connection((HERE, here.port))
        client.sendall(data)
        await here.until(lambda: any(begun(line) for line in here.front.clients.connections))
        (line,) = here.front.clients.connections
        client.close()
        return line

    async def story():
        whole = (
            b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n"
        )
        here.front.clients.draining, here.machines.manners = True, ["hangs"]
        line = await gone(whole, lambda one: one.pending)
        line.respond(line.pending[0], 504, b"", {})
        assert line.transport.is_closing()
        await here.until(lambda: not here.front.clients.connections)
        line = await gone(whole[:20], lambda one: one.request_began_at is not None)
        line.sweep(here.front.clients.clock() + 60, 3, 15)
        assert line.transport.is_closing()
        await here.until(lambda: not here.front.clients.connections)

    here.run(story())


@then("a vane's client that expects 100 gets it once, and its own answer")
def _(context):
    here = context.here

    async def story():
        client = await here.client()
        head = (
            "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {}\r\nExpect: 100-continue\r\n"
            "Content-Length: 4\r\n\r\n"
        )
        for id in ("a", "b"):
            client.writer.write(head.format(id).encode())
            async with asyncio.timeout(BOUND):
                assert await client.stream.readexactly(25) == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert not here.machines.came or here.machines.came[-1][1] != id
            client.writer.write(b"bo")
            await client.writer.drain()
            client.writer.write(b"dy")
            client.own(await client.answer(), id, "unsafe")
            assert here.machines.came[-1][2].body == b"body"
        client.writer.write(
            head.format("c").encode() + b"body"
        )  # it does not wait, and is not told
        client.own(await client.answer(), "c", "unsafe")

    here.run(story())


@then("a vane begins nothing more for a client that does not read, and serves it once it does")
def _(context):
    here, large = context.here, b"y" * 300_000

    async def story():
        make = MANNERS["well"]
        MANNERS["well"] = lambda one: answer(one, 200, large), False, True
        try:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect((HERE, here.port))
            before, many = len(here.machines.came), 200
            stream, writer = await asyncio.open_connection(sock=sock)
            writer.transport.pause_reading()
            client = Client(stream, writer)
            client.reader = Reader(Buffers(64 << 20), responses=True, max_body_bytes=2 << 20)
            for number in range(many):
                client.send(f"big{number}", "safe")
            await here.until(
                lambda: any(
                    line.writing_paused
                    and line.reading_paused
                    and not any(pending.started for pending in line.pending)
                    for line in here.front.clients.connections
                )
            )
            for _ in range(1000):
                await asyncio.sleep(0)
            begun = len(here.machines.came) - before
            assert begun <= 40, begun
            writer.transport.resume_reading()
            for number in range(many):
                found = await client.answer()
                assert found.status == 200 and found.body == large, (number, found.status)
                assert found.headers["x-attempt-id"] == f"big{number}", number
        finally:
            MANNERS["well"] = make

    here.run(story())


@then("a vane breaks off clients that do not read, those that hold most first")
def _(context):
    class Transport:
        def __init__(self, size):
            self.size, self.aborted = size, False

        def get_write_buffer_size(self):
            return self.size

        def abort(self):
            self.aborted = True

    lines = []
    for size, slow in ((500, True), (9000, False), (3000, True), (2000, True), (100, True)):
        line = ClientConnection(context.here.front.clients)
        line.transport, line.writing_paused = Transport(size), slow
        lines.append(line)
    assert abort_slow_readers(lines, 6000) == 0 and abort_slow_readers(lines, 1000) == 2
    assert [line.transport.aborted for line in lines] == [False, False, True, True, False]
    now = context.here.front.clients.clock()
    lines[0].last_activity, lines[0].unread_bytes = now - 31, 500 + 4096
    lines[0].sweep(now, 3, 15)
    assert not lines[0].transport.aborted  # it took some
    lines[0].sweep(now + 31, 3, 15)
    assert lines[0].transport.aborted


@then("a vane breaks off a client that goes on sending and does not read")
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

    began = context.here.front.clients.clock()
    line = ClientConnection(context.here.front.clients)
    line.transport, line.closing = Transport(), True
    line.pause_writing()
    context.here.front.clients.clock = lambda: began + 40
    try:
        line.data_received(b"x")
        line.sweep(began + 41, 3, 15)
    finally:
        context.here.front.clients.clock = time.monotonic
    assert line.transport.aborted


@then("a vane sent the first 2 on one connection and the third on another")
def _(context):
    first, second, third = [number for number, _, _ in context.here.machines.came]
    assert first == second != third, (first, second, third)


@then("a vane's machines had one request at a time, in the client's order")
def _(context):
    assert context.here.machines.most_busy == 1 and context.here.machines.ran == context.ids


@then("a vane passes a body on unchanged, by length and in chunks, of {least:d} to {most:d} bytes")
def _(context, least, most):
    here, dice = context.here, random.Random(8)
    sizes = [least, 1, 5, 4095, 4096, 4097, 70_000, most]

    async def story():
        client = await here.client()
        for size in sizes:
            body = dice.randbytes(size)
            chunks, at = b"", 0
            while at < size:
                part = body[at : at + dice.randint(1, max(1, size // 3))]
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
                request = here.machines.came[-1][2]
                assert request.method == "PUT" and request.body == body, (
                    size,
                    coded,
                    len(request.body),
                )
                assert "transfer-encoding" not in request.headers

    here.run(story())


@then("a vane passes method, path, query and headers on, but for those of one connection")
def _(context):
    here = context.here

    async def story():
        client = await here.client()
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
        request = here.machines.came[-1][2]
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
        assert found.status == 404 and here.machines.ran[-1] == "one", (found, here.machines.ran)

    here.run(story())


@then("a vane's client that asks to close gets its answer and the end")
def _(context):
    async def story():
        client = await context.here.client()
        client.send("last", "safe", b"", "x", "GET", "Connection: close")
        client.send("never", "safe")
        found = await client.answer()
        client.own(found, "last")
        assert not found.keep_alive and await client.answer() is None
        assert context.here.machines.ran == ["last"]

    context.here.run(story())


@then("a vane's client that sends its end behind a request gets its answer and the end")
def _(context):
    async def story():
        client = await context.here.client()
        client.send("end0", "safe")
        client.send("end1", "safe")
        client.writer.write_eof()
        client.own(await client.answer(), "end0")
        client.own(await client.answer(), "end1")
        assert await client.answer() is None

    context.here.run(story())


@then("a vane that leaves answers what comes, and says that it closes")
def _(context):
    async def story():
        client = await context.here.client()
        client.send("before", "safe")
        client.own(await client.answer(), "before")
        context.here.front.clients.draining = True
        client.send("after", "unsafe")
        found = await client.answer()
        client.own(found, "after", "unsafe")
        assert not found.keep_alive and await client.answer() is None

    context.here.run(story())


@then("a vane's client that leaves while a machine hangs leaves nothing behind")
def _(context):
    here = context.here

    async def story():
        here.machines.manners = ["hangs"]
        client = await here.client()
        client.send("gone", "safe")
        await here.until(lambda: here.machines.came)
        (going,) = here.front.requests.active
        reset(client.writer)
        await here.until(
            lambda: not here.front.requests.active and not here.front.clients.connections
        )
        assert going.lifecycle.state is RequestState.FINISHED and (
            going.timer is None or going.timer.cancelled()
        )
        assert going.lifecycle.in_flight  # it is worked at still, and now that breaks
        here.machines.writers[0].transport.abort()
        await here.until(lambda: not going.lifecycle.in_flight)
        other = await here.client()
        for number in range(3):
            other.send(f"other{number}", "safe")
            other.own(await other.answer(), f"other{number}")
        assert [id for _, id, _ in here.machines.came].count("gone") == 1

    here.run(story())


@then(
    "a vane counts nothing as under way at a machine that never answers, once the time of its request is over"
)
def _(context):
    here = context.here

    async def story():
        here.machines.manners = ["hangs"]
        client = await here.client()
        client.send("dark", "unsafe")
        found = await client.answer()
        assert found.status == 504, found
        instances, rollouts = here.front.instances.by_id.values(), here.front.rollouts.services
        assert sum(instance.load.in_flight for instance in instances) == 1
        await here.until(lambda: not any(instance.load.in_flight for instance in instances))
        assert not any(rollout.in_flight for rollout in rollouts.values())

    here.run(story())


STRANGE = {
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


@when("a vane's stranger sends {what}")
def _(context, what):
    here = context.here

    async def story():
        client = await here.client()
        client.writer.write(STRANGE[what])
        if "waits" in what:
            await here.until(
                lambda: any(line.reader.mid_message for line in here.front.clients.connections)
            )
            for line in list(here.front.clients.connections):  # its clock, later
                line.sweep(
                    here.front.clients.clock() + 1,
                    here.front.clients.header_timeout_s,
                    here.front.clients.idle_timeout_s,
                )
                assert not line.transport.is_closing()
                line.sweep(
                    here.front.clients.clock() + 60,
                    here.front.clients.header_timeout_s,
                    here.front.clients.idle_timeout_s,
                )
        return await client.answer(), await client.answer()

    context.found = here.run(story())


@then(
    "a vane's stranger gets {status:d} and the end, no machine gets anything, and others are served"
)
def _(context, status):
    here, (found, more) = context.here, context.found
    assert (
        isinstance(found, Response)
        and (found.status, found.keep_alive) == (status, False)
        and more is None
    ), context.found
    assert not here.machines.came

    async def story():
        client = await here.client()
        client.send("other", "unsafe")
        client.own(await client.answer(), "other", "unsafe")
        client.writer.close()
        await here.until(lambda: not here.front.clients.connections)
        assert here.front.buffers.in_use == 0

    here.run(story())


@then("a vane gives all memory back of {many:d} strangers who sent halves and left")
def _(context, many):
    here, dice = context.here, random.Random(2)
    whole = (
        b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Long: "
        + b"x" * 5000
        + b"\r\nContent-Length: 9000\r\n\r\n"
        + b"y" * 8999
    )

    async def story():
        clients = [await here.client() for _ in range(many)]
        for client in clients:
            client.writer.write(whole[: dice.randint(1, len(whole))])
            await client.writer.drain()
        await here.until(
            lambda: sum(line.reader.mid_message for line in here.front.clients.connections) == many
        )
        assert here.front.buffers.in_use >= many
        for client in clients:
            if dice.random() < 0.5:
                client.writer.close()
            else:
                client.writer.transport.abort()
        await here.until(lambda: not here.front.clients.connections)
        assert here.front.buffers.in_use == 0 and not here.machines.came

    here.run(story())


@then("a vane's client gets its own answer to odd figures in its headers")
def _(context):
    async def story():
        client = await context.here.client()
        for number, odd in enumerate(("\xb2", "-1", "", "1e9", "9" * 5000, "5.5", " 900 ")):
            client.send(f"odd{number}", "safe", b"", "x", "GET", f"X-Time-Remaining: {odd}")
            client.own(await client.answer(), f"odd{number}")

    context.here.run(story())


def framed(body, pressed=False):
    return (len(body) | (COMPRESSED_FLAG if pressed else 0)).to_bytes(4, "big") + body


@then("a vane's post ends the lines of strangers who send garbled frames")
def _(context):
    here = context.here
    garbled = [
        b"\xff" * 64,
        (posts.MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        framed(b""),
        framed(b"{"),
        framed(b"[]"),
        framed(b"7"),
        framed(b"\xff\xfe"),
        framed(b"[" * 100_000),
        framed(b'{"a":' * 100_000),
        framed(b"no", True),
        framed(zlib.compress(b"{}" + b" " * posts.MAX_FRAME_BYTES), True),
        framed(zlib.compress(b"{}")[:-1] + b"\0", True),
        b"GET / HTTP/1.1\r\n\r\n",
    ]

    async def story():
        await here.front.controllers.peers.listen()
        for data in garbled:
            stream, writer = await asyncio.open_connection(HERE, here.front.controllers.peers.port)
            writer.write(data)
            async with asyncio.timeout(BOUND):
                try:
                    assert await stream.read(1) == b"", data[:20]
                except ConnectionError:
                    pass
            writer.close()
        await here.until(lambda: not here.front.controllers.peers.incoming)

    here.run(story())


@then("a vane's post takes messages of odd kinds from strangers, and nothing comes of them")
def _(context):
    here, front = context.here, context.here.front
    entry = InstanceRecord("evil", "s", f"{HERE}:1", "z", "v1", 8, READY, 0, 1).to_wire()
    news = {
        "kind": "news",
        "life": 1,
        "number": 9,
        "machines": [entry],
        "register": [9, 9],
        "keys": {},
        "firm": True,
        "everyone": [HERE],
        "head": HERE,
        "revision": 99,
    }
    odd = [
        {},
        {"kind": None},
        {"kind": []},
        {"kind": {}},
        {"kind": "pull"},
        news,
        {"kind": "body", "text": 1e999},
        {"kind": "body", "text": json.dumps({**ROUTES, "revision": "0000ffff", "routes": {}})},
        {"kind": "news"},
        {"kind": "told", "entry": entry},
        {"kind": "reports", "reports": [None]},
    ]

    async def story():
        stream, writer = await asyncio.open_connection(HERE, front.controllers.peers.port)
        taken, receive = [], front.controllers.peers._on_message
        front.controllers.peers._on_message = lambda line, message: (
            taken.append(message),
            receive(line, message),
        )
        data = b"".join(map(encode_frame, odd))
        for place in range(0, len(data), 100):
            writer.write(data[place : place + 100])
            await writer.drain()
        await here.until(lambda: len(taken) == len(odd))
        writer.close()
        assert (
            "evil" not in front.instances.by_id
            and front.requests.routes.revision == 1
            and front.controllers.subscriber.version == (0, 0)
        )
        assert (
            front.controllers.subscriber.members == ("127.0.0.9",)
            and front.controllers.subscriber.newest_revision == 0
        )
        client = await here.client()
        client.send("well", "unsafe")
        client.own(await client.answer(), "well", "unsafe")

    here.run(story())


@then("a vane's post holds a bounded number of lines, and of bytes partly read")
def _(context):
    here, front, kept = (
        context.here,
        context.here.front,
        (posts.MAX_CONNECTIONS, posts.MAX_BUFFERED_BYTES),
    )

    async def story():
        posts.MAX_CONNECTIONS, posts.MAX_BUFFERED_BYTES = 10, 5 << 20
        pairs = [
            await asyncio.open_connection(HERE, front.controllers.peers.port) for _ in range(14)
        ]
        ended = [asyncio.ensure_future(stream.read(1)) for stream, _ in pairs]
        await here.until(
            lambda: (
                sum(one.done() for one in ended) >= 4
                and len(front.controllers.peers.incoming) == 10
            )
        )
        left = [writer for one, (_, writer) in zip(ended, pairs) if not one.done()]
        assert len(left) == 10 and all(
            one.exception() or not one.result() for one in ended if one.done()
        )
        part = (2 << 20).to_bytes(4, "big") + b"x" * (1 << 20)
        for writer in left:
            writer.write(part)
        await here.until(lambda: len(front.controllers.peers.incoming) <= 5)
        assert (
            sum(len(line._buffer) for line in front.controllers.peers.incoming)
            == front.controllers.peers.buffered_bytes
            <= posts.MAX_BUFFERED_BYTES
        )
        for _, writer in pairs:
            writer.close()
        await here.until(lambda: not front.controllers.peers.incoming)
        assert front.controllers.peers.buffered_bytes == 0
        await asyncio.gather(*ended, return_exceptions=True)

    try:
        here.run(story())
    finally:
        posts.MAX_CONNECTIONS, posts.MAX_BUFFERED_BYTES = kept


@then("a vane ends with that error, and does not go on deaf to news")
def _(context):
    with socket.socket() as free:
        free.bind((HERE, 0))
        port = free.getsockname()[1]
    settings = parse_node_settings(
        (
            SETTINGS.format(port=port)
            + f'''
[listen]
front = "{HERE}:0"
ready = "{HERE}:0"
'''
        ).encode()
    )
    front = Proxy(settings, random.Random(3))

    def broken(now):
        raise AssertionError("an invariant")

    front.controllers.subscriber.due_pulls = broken

    async def story():
        async with asyncio.timeout(BOUND):
            await front.serve()

    try:
        asyncio.run(story())
    except AssertionError as error:
        assert str(error) == "an invariant"
    else:
        raise AssertionError("it went on")

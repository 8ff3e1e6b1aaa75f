"""A deterministic simulation of the real proxy between fake clients, instances and network.

There are two clients with two requests each, and one or two instances, without sockets and without
a real clock. Each step is one move, picked from all that may happen at that point, so that a list
of picks is one interleaving and can be replayed. The fake instances are simple: they parse requests
by hand and count executions by id.

`play(picks)` runs one interleaving. `interleavings(max_faults)` yields all interleavings with up to
`max_faults` moves other than the regular one, at any step.
"""

import asyncio
import gc
import json
import logging
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from itertools import chain

from tests.gateway.proxy_inputs import (
    CONTROLLER_ADDRESS,
    ROUTE_KINDS,
    configuration,
    instances_update,
    settings_text,
)
from umbermoor.gateway.balancing.attempt_outcomes import REJECTION_STATUSES
from umbermoor.gateway.config.node_settings import parse_node_settings
from umbermoor.gateway.discovery.registry import DRAINING, GONE, READY, InstanceRecord
from umbermoor.gateway.server.client_connection import ClientConnection
from umbermoor.gateway.server.proxy import Proxy

SETTINGS = parse_node_settings(settings_text().encode())
KINDS = ROUTE_KINDS
ROUTE_TIMEOUT_S = 1.0  # s


def routes(revision: int, kinds: Sequence[str]) -> dict:
    return {"kind": "body", "text": json.dumps(configuration(revision, kinds, ROUTE_TIMEOUT_S))}


class RuleBroken(AssertionError):
    """A rule that the proxy must keep was broken."""


def require(holds: object, *details: object) -> None:
    if not holds:
        raise RuleBroken(*details)


class Loop(asyncio.BaseEventLoop):
    """An event loop whose time advances only by `advance`, with connections made by the world."""

    def __init__(self, world: "World") -> None:
        super().__init__()
        self.world, self.current_time = world, 1000.0
        self.slow_callback_duration = 1e9
        self.errors: list[dict] = []
        self.set_exception_handler(lambda loop, context: self.errors.append(context))

    def time(self) -> float:
        return self.current_time

    async def create_connection(self, make_protocol, host, port, **_):
        pending = PendingConnect(self, make_protocol, f"{host}:{port}")
        self.world.pending.append(pending)
        return await pending.future

    def run_ready(self) -> None:
        """Run all callbacks that are ready."""
        while self._ready:
            for _ in range(len(self._ready)):
                handle = self._ready.popleft()
                if not handle._cancelled:
                    handle._run()

    def has_timers(self) -> bool:
        return any(not handle._cancelled for handle in self._scheduled)

    def advance(self) -> None:
        """Advance the time to the next timer and make it ready."""
        due = min(handle._when for handle in self._scheduled if not handle._cancelled)
        self.current_time = max(self.current_time, due)
        late = [handle for handle in self._scheduled if handle._when <= self.current_time]
        self._scheduled = [handle for handle in self._scheduled if handle._when > self.current_time]
        for handle in sorted(late, key=lambda handle: handle._when):
            handle._scheduled = False
            if not handle._cancelled:
                self._ready.append(handle)

    def _timer_handle_cancelled(self, handle) -> None:
        pass


class PendingConnect:
    """A connection that is being opened."""

    def __init__(self, loop: Loop, make_protocol: Callable, address: str) -> None:
        self.future, self.make_protocol, self.address = loop.create_future(), make_protocol, address

    @property
    def is_done(self) -> bool:
        return self.future.done()


class Socket:
    def setsockopt(self, *_) -> None:
        pass


class Transport:
    """A fake of asyncio's transport for one protocol of the proxy.

    Written data is in `outgoing` until it is delivered, and in `unsent_bytes` as long as the kernel
    has not accepted it.
    """

    def __init__(self, loop: Loop, protocol) -> None:
        self.loop, self.protocol = loop, protocol
        self.outgoing, self.unsent_bytes = bytearray(), bytearray()
        self.blocked = self.closing = self.eof_written = self.lost = False
        self.written = 0

    def get_extra_info(self, name):
        return Socket()

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return len(self.unsent_bytes)

    def write(self, data):
        if not self.closing and not self.eof_written:
            taken = (
                len(data) // 2
                if self.blocked and not self.unsent_bytes
                else 0
                if self.blocked
                else len(data)
            )
            self.outgoing += data[:taken]
            self.unsent_bytes += data[taken:]
            self.written += len(data)

    def flush(self):
        self.outgoing += self.unsent_bytes
        self.unsent_bytes.clear()
        self.blocked = False
        if self.closing:
            self.notify_lost(None)

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def write_eof(self):
        self.eof_written = True

    def close(self):
        if not self.closing:
            self.closing = True
            if not self.unsent_bytes:
                self.loop.call_soon(self.notify_lost, None)

    def abort(self):
        self.closing = True
        self.unsent_bytes.clear()
        self.loop.call_soon(self.notify_lost, None)

    def notify_lost(self, error):
        if not self.lost:
            self.closing = self.lost = True
            self.protocol.connection_lost(error)

    # Actions of the other side

    def feed(self, data: bytes) -> None:
        if not self.closing:
            for part in self.loop.world.cut(data):
                if not self.closing:
                    self.protocol.data_received(part)
                    self.loop.run_ready()

    def send_fin(self) -> None:
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def reset(self) -> None:
        self.unsent_bytes.clear()
        self.notify_lost(ConnectionResetError())


class ReceivedRequest:
    """A request as an instance received it."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.path, _ = first.split(" ")
        self.headers, self.body, self.id = headers, body, headers["x-attempt-id"]

    def make_response(self, status: int = 200, **changed) -> bytes:
        body = changed.pop("body", f"body of {self.id}" if status == 200 else "").encode()
        headers = {
            "X-Attempt-Id": self.id,
            "X-Server-Seal": f"seal of {self.id}",
            "Content-Length": str(len(body)),
        }
        headers.update((name.replace("_", "-"), value) for name, value in changed.items())
        lines = [f"{name}: {value}" for name, value in headers.items() if value is not None]
        return "\r\n".join([f"HTTP/1.1 {status} Said", *lines, "", ""]).encode() + body


class FakeConnection:
    """The instance's side of a connection."""

    def __init__(self, fake_instance: "FakeInstance", transport: Transport) -> None:
        self.fake_instance, self.transport = fake_instance, transport
        self.buffer = bytearray()
        self.queue: list[ReceivedRequest] = []
        self.current_request: ReceivedRequest | None = None  # started
        self.unsent = b""  # rest of a partly sent response
        self.previous_request: ReceivedRequest | None = None
        self.unresponsive = self.has_surplus = False  # has_surplus: it sent unrequested bytes

    def send_unrequested(self, data: bytes) -> None:
        self.transport.feed(data)
        self.has_surplus = True

    def deliver(self, count: int | None = None) -> None:
        """Receive up to `count` bytes and parse complete requests."""
        part = bytes(self.transport.outgoing[:count])
        del self.transport.outgoing[: len(part)]
        if self.unresponsive:
            return
        self.buffer += part
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            first, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {
                name.lower(): value for name, _, value in (line.partition(": ") for line in lines)
            }
            size = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + size:
                return
            self.queue.append(
                ReceivedRequest(first, headers, bytes(self.buffer[end + 4 : end + 4 + size]))
            )
            del self.buffer[: end + 4 + size]


class FakeInstance:
    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number, self.incarnation = world, number, 0
        self.address = f"10.0.0.{number}:80"
        self.connections: list[FakeConnection] = []
        self.drained = False

    @property
    def id(self) -> str:
        return f"i-{self.number}-{self.incarnation}"

    def entry(self, state) -> dict:
        return InstanceRecord(
            self.id, "s", self.address, "z", "v1", 8, state, 0, self.incarnation + 1
        ).to_wire()


class Client:
    """A client that sends two requests and checks the responses that it gets."""

    def __init__(self, world: "World", number: int, kind: str) -> None:
        self.world, self.kind = world, kind
        self.ids = [f"{kind}{number}{place}" for place in range(2)]
        self.sent = self.answered = 0
        self.buffer, self.connected, self.finished = bytearray(), True, False
        self.proxy_connection = ClientConnection(world.proxy.clients)
        self.transport = Transport(world.loop, self.proxy_connection)
        self.proxy_connection.connection_made(self.transport)

    def request(self, place: int) -> bytes:
        method, body = (
            ("GET", b"") if self.kind == "safe" else ("POST", f"for {self.ids[place]}".encode())
        )
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        return (
            f"{method} /{self.kind}/{place} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {self.ids[place]}\r\n{length}\r\n"
        ).encode() + body

    def send(self) -> None:
        self.sent += 1
        self.transport.feed(self.request(self.sent - 1))

    def read(self) -> None:
        """Parse and check the responses that the proxy has written."""
        self.buffer += self.transport.outgoing
        self.transport.outgoing.clear()
        while self.connected and self.buffer:
            end = self.buffer.find(b"\r\n\r\n")
            require(end >= 0, "MIXED: bytes that are not a response", bytes(self.buffer))
            first, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
            require(first.startswith("HTTP/1.1 "), "MIXED: bytes that are not a response", first)
            headers = dict(line.split(": ", 1) for line in lines)
            headers = {name.lower(): value for name, value in headers.items()}
            size = int(headers["content-length"])
            require(
                len(self.buffer) >= end + 4 + size, "MIXED: truncated response", bytes(self.buffer)
            )
            body = bytes(self.buffer[end + 4 : end + 4 + size])
            del self.buffer[: end + 4 + size]
            require(self.answered < self.sent, "MIXED: a response without a pending request")
            self.check_response(self.ids[self.answered], int(first.split(" ")[1]), headers, body)
            self.answered += 1
            self.finished = self.finished or headers.get("connection") == "close"

    def check_response(self, id: str, status: int, headers: dict[str, str], body: bytes) -> None:
        self.world.event_counts[f"client got {status}"] += 1
        if "x-attempt-id" in headers or status == 200:
            require(
                headers.get("x-attempt-id") == id,
                "MIXED: the response to another request",
                id,
                headers,
            )
            require(
                (id, status) in self.world.sent_responses,
                "MIXED: no instance sent this response",
                id,
                status,
            )
            require(
                status != 200
                or (
                    body == f"body of {id}".encode()
                    and headers.get("x-server-seal") == f"seal of {id}"
                ),
                "MIXED: not the response of the instance",
                id,
                headers,
                body,
            )
        if status in REJECTION_STATUSES:
            require(self.world.executions[id] == 0, "REFUSED: it was executed", id, status)
            self.world.rejected_ids.add(id)


class World:
    def __init__(
        self,
        pick: Callable[[int], int],
        cut: Callable[[bytes], Iterator[bytes]] | None = None,
        order: Sequence[str] = KINDS,
        instance_count: int = 2,
    ) -> None:
        """Create a world.

        Args:
            pick: Returns the number of the next move; 0 is the regular one.
            cut: Splits data into the parts in which it arrives; None leaves it whole.
            order: The kinds of the clients' requests. If followed by "late", clients send their
                second request once everything else is done; otherwise they pipeline it.
            instance_count: Number of instances.
        """
        self.pick, self.cut = pick, cut or (lambda data: iter((data,)))
        self.loop = Loop(self)
        self.pending: list[PendingConnect] = []
        self.executions, self.event_counts, self.sent_responses, self.rejected_ids = (
            Counter(),
            Counter(),
            set(),
            set(),
        )
        self.used_moves: set[str] = set()
        self.send_second_late = "late" in order
        self.moves, self.names = 0, []
        asyncio.events._set_running_loop(self.loop)
        try:
            self.proxy = Proxy(SETTINGS, random.Random(1), clock=self.loop.time)
            self.fake_instances = [FakeInstance(self, number) for number in range(instance_count)]
            self.number = 0
            self.send_update([fake_instance.entry(READY) for fake_instance in self.fake_instances])
            self.proxy.controllers.take_configuration(routes(1, KINDS))
            self.clients = [Client(self, number, kind) for number, kind in enumerate(order[:2])]
            self.expected_requests = {
                id: (client.kind, place)
                for client in self.clients
                for place, id in enumerate(client.ids)
            }
        finally:
            asyncio.events._set_running_loop(None)

    def send_update(self, fake_instances: list[dict]) -> None:
        self.number += 1
        self.proxy.controllers.receive(
            type("Line", (), {"peer": CONTROLLER_ADDRESS}),
            instances_update(self.number, fake_instances),
        )

    # Moves: each is a name and a function

    def regular_moves(self) -> Iterator[tuple[str, Callable]]:
        """Yield the moves without faults, the regular next one first."""
        if not self.send_second_late:
            yield from self.send_moves()
        for pending in self.pending:
            if not pending.is_done:
                yield "opens", lambda pending=pending: self.open_connection(pending)
        for connection in self.connections():
            if connection.transport.outgoing:
                yield "arrives", connection.deliver
            if connection.unsent and not connection.transport.closing:
                yield "the rest arrives", lambda connection=connection: self.send_rest(connection)
            elif connection.current_request is not None and not connection.unresponsive:
                yield (
                    "answers",
                    lambda connection=connection: self.respond(
                        connection, connection.current_request.make_response()
                    ),
                )
            elif connection.queue and not connection.unresponsive:
                yield "begins", lambda connection=connection: self.begin_request(connection)
        if self.send_second_late:
            yield from self.send_moves()
        if self.loop.has_timers():
            yield "time passes", self.loop.advance

    def send_moves(self) -> Iterator[tuple[str, Callable]]:
        for client in self.clients:
            if (
                client.sent < 2
                and client.connected
                and not client.finished
                and not client.transport.closing
            ):
                yield "sends", client.send

    def fault_moves(self) -> Iterator[tuple[str, Callable]]:
        for pending in self.pending:
            if not pending.is_done:
                yield (
                    "refused",
                    lambda pending=pending: pending.future.set_exception(ConnectionRefusedError()),
                )
                yield (
                    "opens, kernel accepts half",
                    lambda pending=pending: self.open_connection(pending, "half"),
                )
                yield (
                    "opens and resets",
                    lambda pending=pending: self.open_connection(pending, "reset"),
                )
                yield (
                    "opens and sends data",
                    lambda pending=pending: self.open_connection(pending, "sends data"),
                )
        for connection in self.connections():
            yield from self.connection_faults(connection)
        for client in self.clients:
            if client.connected and not client.transport.closing:
                yield (
                    "client resets",
                    lambda client=client: self.disconnect(client, client.transport.reset),
                )
                if client.sent and not client.proxy_connection.fin_received:
                    yield "client half-closes", lambda client=client: self.half_close(client)
                if client.sent < 2:
                    yield "client sends half, resets", lambda client=client: self.send_half(client)
        yield from self.membership_moves()

    def connection_faults(self, connection: FakeConnection) -> Iterator[tuple[str, Callable]]:
        transport = connection.transport
        if transport.outgoing:
            yield "half arrives, resets", lambda: self.deliver_half(connection, transport.reset)
            yield (
                "half arrives, begins, resets",
                lambda: self.execute_partial(connection, transport.reset),
            )
            yield (
                "half arrives, begins, closes",
                lambda: self.execute_partial(connection, transport.send_fin),
            )
            yield (
                "nothing arrives, resets",
                lambda: (connection.transport.outgoing.clear(), transport.reset()),
            )
            yield "nothing arrives, silence", lambda: self.stop_responding(connection)
        if not transport.closing and not transport.blocked:
            yield "kernel accepts no more", lambda: setattr(transport, "stuck", True)
        if transport.blocked:
            yield "kernel accepts the rest", transport.flush
        if transport.closing:
            return
        yield "resets", transport.reset
        yield "closes", transport.send_fin
        if (
            connection.unsent
        ):  # no bytes are inserted into a partly sent response: only the seal could reveal them
            return
        yield "sends garbage", lambda: connection.send_unrequested(b"\x16\x03\x01 garbage\r\n\r\n")
        yield (
            "sends a partial response",
            lambda: connection.send_unrequested(b"HTTP/1.1 404 Not\r\nX-A: "),
        )
        yield (
            "sends 100",
            lambda: (
                transport.feed
                if connection.queue or connection.current_request or transport.outgoing
                else connection.send_unrequested
            )(b"HTTP/1.1 100 Continue\r\n\r\n"),
        )
        if connection.previous_request is not None:
            yield (
                "repeats the old response",
                lambda: connection.send_unrequested(connection.previous_request.make_response()),
            )
            yield (
                "repeats the old rejection",
                lambda: connection.send_unrequested(
                    connection.previous_request.make_response(503, X_Not_Executed="1")
                ),
            )
            yield (
                "sends a rejection without id",
                lambda: connection.send_unrequested(
                    connection.previous_request.make_response(
                        503, X_Not_Executed="1", X_Attempt_Id=None
                    )
                ),
            )
        yield (
            "sends a response with an unknown id",
            lambda: connection.send_unrequested(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: nobody\r\nX-Server-Seal: x\r\nContent-Length: 0\r\n\r\n"
            ),
        )
        if connection.unresponsive:
            return
        yield from self.response_moves(connection)

    def response_moves(self, connection: FakeConnection) -> Iterator[tuple[str, Callable]]:
        transport = connection.transport
        if connection.queue and connection.current_request is None:
            request = connection.queue[0]
            for status in (503, 429, 400):
                yield (
                    f"rejects {status}",
                    lambda status=status: self.reject(
                        connection,
                        request.make_response(status, X_Not_Executed="1", X_Server_Seal=None),
                    ),
                )
            yield (
                "rejects twice",
                lambda: self.reject(
                    connection,
                    2 * request.make_response(503, X_Not_Executed="1"),
                    lambda: setattr(connection, "spoilt", True),
                ),
            )
            yield (
                "rejects, no length",
                lambda: self.reject(
                    connection,
                    request.make_response(503, X_Not_Executed="1", Content_Length=None),
                    transport.send_fin,
                ),
            )
            yield (
                "421",
                lambda: self.reject(connection, request.make_response(421, X_Server_Seal=None)),
            )
            yield "begins, resets", lambda: (self.begin_request(connection), transport.reset())
            yield "begins, closes", lambda: (self.begin_request(connection), transport.send_fin())
            yield (
                "begins, silence",
                lambda: (self.begin_request(connection), self.stop_responding(connection)),
            )
        elif connection.current_request is not None and not connection.unsent:
            request = connection.current_request
            whole = request.make_response()
            for name, answer in (
                ("500", request.make_response(500)),
                ("404", request.make_response(404)),
                ("504", request.make_response(504)),
                ("bare 503", request.make_response(503)),
                ("bare 408", request.make_response(408)),
                ("no seal", request.make_response(X_Server_Seal=None)),
                ("encoded", request.make_response(Content_Encoding="gzip")),
                ("claims not to have run", request.make_response(X_Not_Executed="1")),
                ("no id", request.make_response(X_Attempt_Id=None)),
                ("closing", request.make_response(Connection="close")),
                ("101", request.make_response(101)),
                ("twice", 2 * whole),
                ("a byte behind", whole + b"H"),
                ("a part behind", whole + b"HTTP/1.1 404 Not\r\nX-A: "),
                ("garbage behind", whole + b"\0\1 garbage\r\n\r\n"),
                ("103 first", b"HTTP/1.1 103 Early Hints\r\n\r\n" + whole),
            ):
                yield (
                    f"answers: {name}",
                    lambda answer=answer, name=name: self.respond(
                        connection, answer, name == "twice" or "behind" in name
                    ),
                )
            for name, count in (
                ("a byte", 1),
                ("half a head", 40),
                ("half a body", len(whole) - 3),
            ):
                yield (
                    f"answers {name}, waits",
                    lambda count=count: self.send_part(connection, whole, count),
                )
                yield (
                    f"answers {name}, resets",
                    lambda count=count: (
                        self.send_part(connection, whole, count),
                        transport.reset(),
                    ),
                )
                yield (
                    f"answers {name}, closes",
                    lambda count=count: (
                        self.send_part(connection, whole, count),
                        transport.send_fin(),
                    ),
                )
            yield (
                "answers without length, closes",
                lambda: (
                    self.respond(connection, request.make_response(Content_Length=None)),
                    transport.send_fin(),
                ),
            )
            yield (
                "answers without length, cut",
                lambda: (
                    self.respond(connection, request.make_response(Content_Length=None)[:-3]),
                    transport.send_fin(),
                ),
            )

    def membership_moves(self) -> Iterator[tuple[str, Callable]]:
        for fake_instance in self.fake_instances:
            name = f"drained {fake_instance.number}"
            if (
                name not in self.used_moves
                and not fake_instance.drained
                and not fake_instance.incarnation
            ):
                yield (
                    name,
                    lambda fake_instance=fake_instance, name=name: self.drain(
                        fake_instance, name, DRAINING
                    ),
                )
                yield (
                    f"gone {fake_instance.number}",
                    lambda fake_instance=fake_instance, name=name: self.drain(
                        fake_instance, name, GONE
                    ),
                )
            name = f"restarted {fake_instance.number}"
            if name not in self.used_moves:
                yield (
                    name,
                    lambda fake_instance=fake_instance, name=name: self.restart(
                        fake_instance, name
                    ),
                )
        if "route" not in self.used_moves:
            yield (
                "route dropped",
                lambda: (
                    self.used_moves.add("route"),
                    self.proxy.controllers.take_configuration(routes(2, ["safe"])),
                ),
            )
        if "sigterm" not in self.used_moves:
            yield "sigterm", lambda: (self.used_moves.add("sigterm"), self.proxy.drain())

    # Implementation of the moves

    def connections(self) -> list[FakeConnection]:
        return list(
            chain.from_iterable(fake_instance.connections for fake_instance in self.fake_instances)
        )

    def open_connection(self, pending: PendingConnect, how: str = "") -> None:
        protocol = pending.make_protocol()
        transport = Transport(self.loop, protocol)
        protocol.connection_made(transport)
        fake_instance = next(
            fake for fake in self.fake_instances if fake.address == pending.address
        )
        fake_instance.connections.append(FakeConnection(fake_instance, transport))
        pending.future.set_result((transport, protocol))
        if how == "half":
            transport.blocked = True
        elif how == "reset":
            transport.reset()
        elif how == "sends data":
            transport.feed(
                b"HTTP/1.1 408 Too Slow\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )

    def begin_request(self, connection: FakeConnection) -> None:
        request = connection.queue.pop(0)
        target = request.headers.get("x-target-instance")
        if target != connection.fake_instance.id:
            connection.transport.feed(request.make_response(421, X_Server_Seal=None))
            connection.previous_request = request
            return
        connection.current_request = request
        self.execute(request)

    def execute(self, request: ReceivedRequest) -> None:
        require(request.id in self.expected_requests, "UNASKED", request.id)
        kind, place = self.expected_requests[request.id]
        body = b"" if kind == "safe" else f"for {request.id}".encode()
        require(
            (request.method, request.path, request.body)
            == ("GET" if kind == "safe" else "POST", f"/{kind}/{place}", body),
            "UNASKED: changed",
            request.method,
            request.path,
            request.body,
        )
        self.count_execution(request.id)

    def count_execution(self, id: str) -> None:
        self.executions[id] += 1
        self.event_counts["runs"] += 1
        require(self.expected_requests[id][0] == "safe" or self.executions[id] == 1, "TWICE", id)
        require(id not in self.rejected_ids, "REFUSED: it was executed afterwards", id)

    def respond(self, connection: FakeConnection, data: bytes, surplus: bool = False) -> None:
        request, connection.current_request, connection.previous_request = (
            connection.current_request,
            None,
            connection.current_request,
        )
        self.sent_responses.add((request.id, int(data.split(b" ")[1])))
        if b"103" in data[:12]:
            self.sent_responses.add((request.id, 200))
        connection.transport.feed(data)
        connection.has_surplus = connection.has_surplus or surplus

    def send_part(self, connection: FakeConnection, data: bytes, count: int) -> None:
        connection.unsent = data[count:]
        connection.transport.feed(data[:count])

    def send_rest(self, connection: FakeConnection) -> None:
        rest, connection.unsent = connection.unsent, b""
        request, connection.current_request, connection.previous_request = (
            connection.current_request,
            None,
            connection.current_request,
        )
        self.sent_responses.add((request.id, 200))
        connection.transport.feed(rest)

    def reject(
        self, connection: FakeConnection, data: bytes, then: Callable = lambda: None
    ) -> None:
        connection.previous_request = connection.queue.pop(0)
        connection.transport.feed(data)
        then()

    def stop_responding(self, connection: FakeConnection) -> None:
        connection.unresponsive = True
        connection.transport.outgoing.clear()

    def deliver_half(self, connection: FakeConnection, then: Callable) -> None:
        connection.deliver(self.partial_size(connection))
        connection.transport.outgoing.clear()
        then()

    def partial_size(self, connection: FakeConnection) -> int:
        size = len(connection.transport.outgoing)
        return size if connection.transport.unsent_bytes else size // 2

    def execute_partial(self, connection: FakeConnection, then: Callable) -> None:
        """Execute a request before all of it has arrived, if its head names an id."""
        text = bytes(connection.transport.outgoing).decode("latin-1").lower()
        id = text[: self.partial_size(connection)].partition("x-attempt-id: ")[2]
        id = id.partition("\r\n")[0] if "\r\n" in id else ""
        self.deliver_half(connection, lambda: None)
        if id:
            self.count_execution(id)
        then()

    def disconnect(self, client: Client, then: Callable) -> None:
        client.connected = False
        then()

    def half_close(self, client: Client) -> None:
        client.finished = True
        client.transport.send_fin()

    def send_half(self, client: Client) -> None:
        client.connected = False
        client.transport.feed(client.request(client.sent)[:-4])
        client.transport.reset()

    def drain(self, fake_instance: FakeInstance, name: str, state) -> None:
        self.used_moves.add(name)
        fake_instance.drained = True
        self.send_update([fake_instance.entry(state)])

    def restart(self, fake_instance: FakeInstance, name: str) -> None:
        """Replace the process by a new one at the same address, without telling the proxy."""
        self.used_moves.add(name)
        for connection in fake_instance.connections:
            connection.unresponsive = True
            connection.transport.reset()
        fake_instance.incarnation += 1

    # Running

    def play(self, max_moves: int = 400) -> None:
        """Run moves until none is left.

        Raises:
            RuleBroken: A rule was broken, or the run did not end.
        """
        asyncio.events._set_running_loop(self.loop)
        try:
            while self.moves < max_moves and self.step():
                self.check()
            require(self.moves < max_moves, "the run does not end")
            self.check_end()
        finally:
            asyncio.events._set_running_loop(None)

    def step(self) -> bool:
        moves = list(self.regular_moves())
        if not moves:
            return False
        at = self.pick(0)
        if at:
            moves += self.fault_moves()
            at %= len(moves)
        self.moves += 1
        name, move = moves[at]
        self.names.append(name)
        self.event_counts[name] += 1
        before = {
            connection: (connection.transport.written, connection.has_surplus)
            for connection in self.connections()
        }
        draining = [fake_instance for fake_instance in self.fake_instances if fake_instance.drained]
        self.loop.current_time += 0.001
        move()
        self.loop.run_ready()
        for connection in self.connections():
            written, had_surplus = before.get(connection, (0, False))
            if connection.transport.written > written:
                require(
                    connection.fake_instance not in draining,
                    "DRAIN: sent to an instance known to drain",
                )
                require(not had_surplus, "MIXED: a connection with surplus bytes is reused")
        return True

    def count_moves(self) -> int:
        return sum(1 for _ in chain(self.regular_moves(), self.fault_moves()))

    def check(self) -> None:
        require(not self.loop.errors, "an unhandled error", self.loop.errors)
        for client in self.clients:
            client.read()
            if client.kind == "safe":
                self.check_departure(client)
        self.pending = [pending for pending in self.pending if not pending.is_done]

    def check_departure(self, client: Client) -> None:
        """Check that no attempt is in progress for a client that has left."""
        if not (client.transport.closing or client.proxy_connection.fin_received):
            return
        unanswered = client.ids[client.answered : client.sent]
        for connection in self.connections():
            attempt = connection.transport.protocol.attempt
            require(
                attempt is None or attempt.id not in unanswered,
                "GONE: an attempt is still in progress",
                client,
            )

    def check_end(self) -> None:
        proxy = self.proxy
        for client in self.clients:
            if client.connected and not client.transport.closing and not client.finished:
                require(
                    client.answered == client.sent,
                    "LOST: no response",
                    client.ids,
                    client.answered,
                    client.sent,
                )
        require(not proxy.requests.active, "requests are still active")
        require(
            not proxy.invariants.total(), "an invariant was violated", proxy.invariants.counts()
        )
        require(
            all(not instance.load.in_flight for instance in proxy.instances.by_id.values()),
            "attempts are still counted as in flight",
        )
        require(
            proxy.buffers.in_use
            == sum(len(line.reader._received._buffers) for line in self.open_protocols()),
            "buffers were not released",
        )

    def open_protocols(self):
        return [client.proxy_connection for client in self.clients] + [
            connection.transport.protocol
            for connection in self.connections()
            if not connection.transport.lost
        ]


def play(
    picks: Sequence[int], order: Sequence[str] = KINDS, cut=None, instance_count: int = 2
) -> World:
    """Run one interleaving; after its picks, all moves are regular.

    Raises:
        RuleBroken: A rule was broken; its arguments include the picks and the names of the moves.
    """
    remaining_picks = list(reversed(picks))
    world = World(
        lambda _: remaining_picks.pop() if remaining_picks else 0, cut, order, instance_count
    )
    try:
        world.play()
    except RuleBroken as broken:
        raise RuleBroken(*broken.args, list(picks), world.names) from None
    finally:
        world.loop.close()
    return world


def branches(
    picks: Sequence[int], order: Sequence[str] = KINDS, instance_count: int = 2
) -> list[int]:
    """Return the number of possible moves at each step of an interleaving."""
    remaining_picks, counts = list(reversed(picks)), []
    world: World

    def pick(_):
        counts.append(world.count_moves())
        return remaining_picks.pop() if remaining_picks else 0

    world = World(pick, None, order, instance_count)
    world.play()
    world.loop.close()
    return counts


def interleavings(
    max_faults: int,
    order: Sequence[str] = KINDS,
    instance_count: int = 2,
    every: int = 1,
    start: int = 0,
) -> Iterator[tuple[int, ...]]:
    """Yield all interleavings with up to `max_faults` picks other than the regular one.

    Of those with exactly `max_faults`, only one in `every` is yielded.
    """
    seen = start

    def with_more_faults(picks: tuple[int, ...], faults_left: int) -> Iterator[tuple[int, ...]]:
        nonlocal seen
        counts = branches(picks, order, instance_count)
        for place in range(len(picks), len(counts)):
            for at in range(1, counts[place]):
                seen += 1
                longer = (*picks, *([0] * (place - len(picks))), at)
                if faults_left > 1 or seen % every == 0:
                    yield longer
                if faults_left > 1:
                    yield from with_more_faults(longer, faults_left - 1)

    yield ()
    if max_faults:
        yield from with_more_faults((), max_faults)


def explore(
    all_picks: Iterator[Sequence[int]],
    order: Sequence[str] = KINDS,
    cut=None,
    instance_count: int = 2,
) -> tuple[int, Counter]:
    """Run interleavings; return their number and the count of each event."""
    logging.disable(logging.INFO)
    event_counts: Counter = Counter()
    number = 0
    gc.disable()
    try:
        for number, picks in enumerate(all_picks, 1):
            event_counts.update(play(picks, order, cut, instance_count).event_counts)
            if number % 500 == 0:
                gc.collect()
    finally:
        gc.enable()
        logging.disable(logging.NOTSET)
    return number, event_counts

"""Measurements of the state machines in this process: processor time, bytes and memory by size.

Every measure is a row of `MEASURES`: a cost in `unit` as a function of `dimension`, measured
`REPEATS` times at each size. Times are processor time of this process, not wall time. No port is
opened and no file is written. A function marked with `@measure` gives its row its name, which is
also its key in benchmarks/capacity.json and in the page's template.
"""

import gc
import json
import random
import subprocess
import sys
import time
import tracemalloc
import zlib
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

from tests.gateway.datagram_network import DatagramNetwork
from umbermoor.gateway.balancing.attempt_outcomes import AttemptOutcome
from umbermoor.gateway.balancing.instances import Instances
from umbermoor.gateway.balancing.request import Relay, RequestLifecycle
from umbermoor.gateway.balancing.retry_budget import RetryBudget
from umbermoor.gateway.config.configuration import check, decode
from umbermoor.gateway.discovery.registry import (
    InstanceRecord,
    InstanceRegistry,
    record_from_heartbeat,
)
from umbermoor.gateway.distribution.deltas import apply_delta, encode_delta, text_digest
from umbermoor.gateway.distribution.publisher import Publisher
from umbermoor.gateway.distribution.subscriber import Subscriber
from umbermoor.gateway.effects import Decision, Outcome, Send, Write
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.rollout.admission import first_record, order_request
from umbermoor.gateway.rollout.coordinator import RolloutCoordinator
from umbermoor.gateway.rollout.observer import RolloutObserver
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX, AttemptResult
from umbermoor.gateway.routing.route_table import RouteTable
from umbermoor.gateway.server.http_messages import request_bytes, response_bytes
from umbermoor.gateway.server.peer_transport import encode_frame
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Reader as HttpReader

REPEATS = 3
SECOND = 1_000_000
MIN_REPEAT_S = 0.12  # least processor time of one repeat
HEARTBEAT_PERIOD_US = 3 * SECOND // 2


class Measure(NamedTuple):
    name: str
    description: str
    unit: str  # us, bytes
    dimension: str  # what grows
    sizes: Sequence[int]
    samples: Callable[[int], Iterator[float]]  # yields one value per repeat


MEASURES: list[Measure] = []


def measure(description: str, unit: str, dimension: str, sizes: Sequence[int]):
    def register(samples: Callable[[int], Iterator[float]]) -> Callable[[int], Iterator[float]]:
        MEASURES.append(Measure(samples.__name__, description, unit, dimension, sizes, samples))
        return samples

    return register


def cpu_time(operation: Callable[[], Any], repeats: int = REPEATS) -> Iterator[float]:
    """Yield the processor time of one operation in microseconds, `repeats` times."""
    operation()
    gc.collect()
    gc.disable()
    try:
        batch, started_at = 0, time.process_time()
        while time.process_time() - started_at < MIN_REPEAT_S / 4:
            operation()
            batch += 1
        for _ in range(repeats):
            started_at, count = time.process_time(), 0
            while time.process_time() - started_at < MIN_REPEAT_S:
                for _ in range(batch):
                    operation()
                count += batch
            yield (time.process_time() - started_at) * 1e6 / count
    finally:
        gc.enable()


def reference_work_time() -> float:
    """Return the processor time of a fixed piece of work in microseconds, the lowest of five.

    It shows how fast the computer is at the time of a measurement."""
    work, shortest = [[index, str(index)] for index in range(1_000)], float("inf")
    for _ in range(5):
        started_at = time.process_time()
        json.loads(json.dumps(work))
        shortest = min(shortest, time.process_time() - started_at)
    return shortest * 1e6


def memory_per_item(make: Callable[[], Any], size: int) -> Iterator[float]:
    """Yield the memory that the result of `make` takes, in bytes for each of its `size` items."""
    for _ in range(REPEATS):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        yield (tracemalloc.get_traced_memory()[0] - before) / size
        tracemalloc.stop()
        del made


def heartbeat_body(index: int, sample: int, service: str = "") -> bytes:
    """Return the body of a machine's heartbeat.

    Names are as long as on the users' pages, addresses are scattered, and a service has 20
    machines."""
    scattered = index * 2654435761 >> 4
    return json.dumps(
        {
            "service": service or f"huvo{scattered % (index // 20 + 1):04d}a",
            "address": f"10.{scattered >> 16 & 255}.{scattered >> 8 & 255}.{scattered & 255}:8080",
            "zone": f"zone-{scattered % 15}",
            "revision": "v1",
            "capacity": 6,
            "state": "ready",
            "warmupLeftS": 0,
            "sample": sample,
        },
        separators=(",", ":"),
    ).encode()


def heartbeat_head(index: int, length: int) -> bytes:
    return (
        f"POST /Plants.Heartbeat/i-{index:08x} HTTP/1.1\r\nHost: 127.0.0.1:8080\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def instance_records(count: int, service: str = "") -> list[InstanceRecord]:
    """Return the records of machines that have run for different times."""
    return [
        record_from_heartbeat(
            f"i-{index * 2654435761 % (1 << 32):08x}",
            json.loads(heartbeat_body(index, index * 7919 % 50_000, service)),
        )
        for index in range(count)
    ]


def registry(count: int) -> InstanceRegistry:
    result = InstanceRegistry(1, HEARTBEAT_PERIOD_US)
    for entry in instance_records(count):
        result.observe(0, entry)
    return result


def configuration(routes: int, revision: int = 7) -> bytes:
    """Return a configuration with 26 routes per service, the ratio of 110,000 to 4,200."""
    rng = random.Random(routes)
    services = [f"huvo{index:04d}a" for index in range(max(2, routes // 26))]
    table = {}
    for index in range(routes):
        route = {
            "host": f"h{rng.getrandbits(24):06x}.example",
            "prefix": f"/p{rng.getrandbits(24):06x}/",
            "kind": rng.choice(("safe", "unsafe")),
            "horizonS": 0.6,
            "setpointS": 0.25,
            "priority": rng.randrange(3),
            "tries": 2,
        }
        first, second = rng.choice(services), rng.choice(services)
        if index % 5 or first == second:
            route["service"] = first
        else:
            route["mix"] = [{"service": first, "gain": 90}, {"service": second, "gain": 10}]
        table[f"r-{rng.getrandbits(40):010x}"] = route
    return json.dumps(
        {
            "revision": f"{revision:08x}",
            "routes": table,
            "services": {
                name: {"probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}
                for name in services
            },
            "envelope": {"headerBytes": 16384, "bodyBytes": 67108864, "headerS": 3, "idleS": 15},
        },
        separators=(",", ":"),
    ).encode()


MACHINE_COUNTS = (100, 1_000, 5_000, 20_000)
ROUTE_COUNTS = (400, 1_400, 10_000, 110_000)


# Heartbeats, and the machines that a member holds


@measure("a beat read, checked and taken", "us", "machines held", MACHINE_COUNTS)
def beat(size: int) -> Iterator[float]:
    filled, sample = registry(size), iter(range(100_000, 1 << 40))
    ids, counter = list(filled.records), iter(range(1 << 40))

    def operation() -> None:
        index = next(counter) % size
        filled.observe(
            0, record_from_heartbeat(ids[index], json.loads(heartbeat_body(index, next(sample))))
        )

    yield from cpu_time(operation)


@measure("a machine in a member's memory", "bytes", "machines held", MACHINE_COUNTS)
def machine_held(size: int) -> Iterator[float]:
    yield from memory_per_item(lambda: registry(size), size)


@measure("the look for silent machines, each 50 ms", "us", "machines held", MACHINE_COUNTS)
def silent_look(size: int) -> Iterator[float]:
    filled = registry(size)
    yield from cpu_time(lambda: filled.tick(1, True))


@measure(
    "the machines kept on disk, once a second where one came or went",
    "us",
    "machines held",
    MACHINE_COUNTS,
)
def machines_saved(size: int) -> Iterator[float]:
    filled = registry(size)
    yield from cpu_time(lambda: json.dumps(filled.snapshot(), separators=(",", ":")).encode())


@measure("the machines kept on disk, bytes a write", "bytes", "machines held", MACHINE_COUNTS)
def machines_saved_bytes(size: int) -> Iterator[float]:
    yield from [len(json.dumps(registry(size).snapshot(), separators=(",", ":")))] * REPEATS


# Pulls


def update_message(machines: list[list[Any]]) -> dict[str, Any]:
    return {
        "kind": "news",
        "life": 1,
        "number": 1 << 30,
        "machines": machines,
        "register": [35392, 7],
        "keys": {},
        "everyone": ["10.1.0.18", "10.2.0.45", "10.3.0.42"],
        "head": "10.1.0.18",
        "firm": True,
        "revision": 12,
        "fronts": ["10.1.0.15", "10.1.0.16", "10.2.0.15", "10.2.0.16", "10.3.0.15", "10.3.0.16"],
    }


@measure("a pull without news, found and framed", "us", "machines held", MACHINE_COUNTS)
def pull_quiet(size: int) -> Iterator[float]:
    filled = registry(size)
    yield from cpu_time(lambda: encode_frame(update_message(filled.changes_after(filled.sequence))))


@measure(
    "a pull when every machine beat since, found, framed and pressed",
    "us",
    "machines held",
    MACHINE_COUNTS,
)
def pull_all(size: int) -> Iterator[float]:
    filled = registry(size)
    yield from cpu_time(lambda: encode_frame(update_message(filled.changes_after(0))))


@measure(
    "a pull's answer when every machine beat since, bytes on the wire",
    "bytes",
    "machines told",
    MACHINE_COUNTS,
)
def pull_all_bytes(size: int) -> Iterator[float]:
    yield from [len(encode_frame(update_message(registry(size).changes_after(0))))] * REPEATS


@measure(
    "a pull's answer when every machine beat since, bytes before pressing",
    "bytes",
    "machines told",
    MACHINE_COUNTS,
)
def pull_all_raw(size: int) -> Iterator[float]:
    yield from [
        len(json.dumps(update_message(registry(size).changes_after(0)), separators=(",", ":")))
    ] * REPEATS


@measure(
    "waiting pulls looked through, for each look", "us", "fronts that wait", (10, 100, 400, 7_700)
)
def pulls_looked_through(size: int) -> Iterator[float]:
    publisher = Publisher()
    for connection in range(size):
        publisher.add_pull(
            0, connection, {"life": 1, "number": 1 << 30, "register": [35392, 7], "revision": 12}
        )
    yield from cpu_time(lambda: publisher.take_due(1, 1, 5, (35392, 7), 12))


def pull_request() -> dict[str, Any]:
    subscriber = Subscriber(["10.1.0.18"])
    subscriber.version = (35392, 7)
    return subscriber.make_pull(0, "10.1.0.18")


@measure(
    "a pull without news where entries stand in the order of their numbers (trial of a way)",
    "us",
    "machines held",
    MACHINE_COUNTS,
)
def pull_quiet_ordered(size: int) -> Iterator[float]:
    ordered = dict(enumerate(registry(size).records.values()))

    def operation() -> None:
        changed = []
        for number in reversed(ordered):
            if number <= size:
                break
            changed.append(ordered[number].to_wire())
        encode_frame(update_message(changed))

    yield from cpu_time(operation)


@measure(
    "the look for silent machines where they stand in the order heard (trial of a way)",
    "us",
    "machines held",
    MACHINE_COUNTS,
)
def silent_look_ordered(size: int) -> Iterator[float]:
    heard = dict.fromkeys(registry(size).records, 0)

    def operation() -> None:
        for last_heard in heard.values():
            if 1 - last_heard < HEARTBEAT_PERIOD_US:
                break

    yield from cpu_time(operation)


@measure(
    "a beat by the front's own parser: read, checked, taken, answered (trial of a way)",
    "us",
    "machines held",
    MACHINE_COUNTS,
)
def beat_parsed(size: int) -> Iterator[float]:
    filled, sample, reader = (
        registry(size),
        iter(range(100_000, 1 << 40)),
        HttpReader(Buffers(8 << 20)),
    )
    counter = iter(range(1 << 40))

    def operation() -> None:
        index = next(counter) % size
        body = heartbeat_body(index, next(sample))
        received = reader.feed(heartbeat_head(index, len(body)) + body)[0]
        filled.observe(
            0, record_from_heartbeat(received.target.rpartition("/")[2], json.loads(received.body))
        )
        response_bytes(200, b"", {}, 15)

    yield from cpu_time(operation)


# Fronts


@measure(
    "news of every machine read and taken in by a front", "us", "machines told", MACHINE_COUNTS
)
def news_taken(size: int) -> Iterator[float]:
    """Measure each repeat with later samples; the member's part is not counted."""
    subscriber, instances, samples = (
        Subscriber(["10.1.0.18"]),
        Instances("zone-1"),
        iter(range(100_000, 1 << 40)),
    )
    message = update_message([entry.to_wire() for entry in instance_records(size)])
    for index in range(REPEATS + 1):
        spent, times = 0.0, 0
        while spent < MIN_REPEAT_S:
            sample = next(samples)
            for fields in message["machines"]:
                fields[8] = sample
            text = json.dumps(message)
            started_at = time.process_time()
            instances.update(
                0, subscriber.receive_update(0, "10.1.0.18", json.loads(text)).instances
            )
            spent, times = spent + time.process_time() - started_at, times + 1
        if index:
            yield spent * 1e6 / times


@measure("a machine in a front's memory", "bytes", "machines held", MACHINE_COUNTS)
def machine_at_front(size: int) -> Iterator[float]:
    text = json.dumps(update_message([entry.to_wire() for entry in instance_records(size)]))

    def make() -> Any:
        subscriber, instances = Subscriber(["10.1.0.18"]), Instances("zone-1")
        instances.update(0, subscriber.receive_update(0, "10.1.0.18", json.loads(text)).instances)
        return subscriber, instances

    yield from memory_per_item(make, size)


@measure("a route in a front's memory", "bytes", "routes", ROUTE_COUNTS)
def route_held(size: int) -> Iterator[float]:
    body = configuration(size)
    yield from memory_per_item(lambda: RouteTable(json.loads(body)), size)


@measure("a request's route found", "us", "routes", ROUTE_COUNTS)
def route_found(size: int) -> Iterator[float]:
    routes = RouteTable(json.loads(configuration(size)))
    targets = [(route.host, route.prefix + "a/b?c=d") for route in routes][:500]
    counter = iter(range(1 << 40))

    def operation() -> None:
        routes.find(*targets[next(counter) % len(targets)])

    yield from cpu_time(operation)


REQUEST = (
    b"GET /p0001/2f HTTP/1.1\r\nHost: h0001.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\n"
    b"X-Time-Remaining: 600\r\nUser-Agent: caller\r\nAccept: */*\r\n\r\n"
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41d07be2a35f68\r\n"
    b"X-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"X-Load-Level: 3,0,8\r\nContent-Length: 512\r\n\r\n" + b"x" * 512
)


@measure(
    "a request's way: read, decided, written on, answer read and noted",
    "us",
    "machines of its service",
    (5, 20, 100, 500, 2_000),
)
def request(size: int) -> Iterator[float]:
    routes = RouteTable(
        {
            "revision": "00000007",
            "services": {"a": {}},
            "routes": {
                "r": {
                    "host": "h0001.example",
                    "prefix": "/p0001/",
                    "kind": "safe",
                    "horizonS": 0.6,
                    "service": "a",
                    "tries": 2,
                }
            },
        }
    )
    instances, observer, budget = (
        Instances("zone-1"),
        RolloutObserver(),
        RetryBudget(0.2, 10 * SECOND),
    )
    instances.update(0, instance_records(size, service="a"))
    observer.confirm(0)
    observer.update_instances(
        0,
        "a",
        [
            (candidate.id, candidate.entry.revision, candidate.listed_at)
            for candidate in instances.of_service("a")
        ],
    )
    buffers, rng, clock = Buffers(8 << 20), random.Random(1), iter(range(0, 1 << 60, 4000))
    client, upstream = HttpReader(buffers), HttpReader(buffers, responses=True)

    def operation() -> None:
        now = next(clock)
        observer.confirm(now)
        received = client.feed(REQUEST)[0]
        route = routes.find(received.headers["host"], received.target.partition("?")[0])
        service = route.service_for(rng.random())
        lifecycle = RequestLifecycle(
            service, route.idempotent, route.max_attempts, now + route.timeout_us
        )
        budget.request_arrived(now)
        observer.request_received(now, service)
        version = observer.choose_version(now, service, rng.random())
        instance = instances.choose(
            now, service, version, (), lifecycle.tried, rng.random, lifecycle.deadline - now
        )
        lifecycle.attempt_started(now, 1, instance, 200_000)
        instance.attempt_started(now)
        observer.attempt_sent(now, service, instance.entry.revision)
        request_bytes(received, instance.id, 590)
        answer = upstream.feed(RESPONSE)[0]
        instance.attempt_ended()
        instance.load_reported(now, answer.headers["x-load-level"])
        instances.responded(now, instance, 30_000)
        observer.attempt_ended(
            now,
            service,
            "v1",
            instance.id,
            instance.listed_at,
            True,
            AttemptResult.SUCCESS,
            False,
        )
        lifecycle.attempt_ended(1, AttemptOutcome.COMPLETE, answer)
        assert isinstance(lifecycle.next_step(now), Relay)

    yield from cpu_time(operation)


@measure("budgets of second tries shared out, each second", "us", "services", (40, 400, 4_200))
def budgets_shared(size: int) -> Iterator[float]:
    budgets = [RetryBudget(0.2, 10 * SECOND) for _ in range(size)]

    def operation() -> None:
        for budget in budgets:
            budget.share_slack(SECOND, 58, 100)

    yield from cpu_time(operation)


@measure("a service's budget in a front's memory", "bytes", "services", (40, 400, 4_200))
def budget_held(size: int) -> Iterator[float]:
    yield from memory_per_item(lambda: [RetryBudget(0.2, 10 * SECOND) for _ in range(size)], size)


@measure(
    "a tenant held as a table's row (no code of the product has tenants)",
    "bytes",
    "tenants",
    (1_000, 30_000, 680_000),
)
def tenant_as_row(size: int) -> Iterator[float]:
    yield from memory_per_item(
        lambda: {f"t-{index:07x}": (index % 110_000, 0.0) for index in range(size)}, size
    )


@measure(
    "a tenant held as 16 bytes of one sorted run (trial of a way)",
    "bytes",
    "tenants",
    (1_000, 30_000, 680_000),
)
def tenant_packed(size: int) -> Iterator[float]:
    yield from memory_per_item(lambda: bytearray(16 * size), size)


# Configuration changes


@measure("a configuration read and checked at the member asked", "us", "routes", ROUTE_COUNTS)
def change_checked(size: int) -> Iterator[float]:
    body = configuration(size)

    def operation() -> None:
        assert check(decode(body)) is None

    yield from cpu_time(operation)


@measure("a configuration's bytes, as sent", "bytes", "routes", ROUTE_COUNTS)
def change_bytes(size: int) -> Iterator[float]:
    yield from [len(configuration(size))] * REPEATS


@measure("the same, pressed as to a front", "bytes", "routes", ROUTE_COUNTS)
def change_pressed(size: int) -> Iterator[float]:
    yield from [len(encode_frame({"kind": "body", "text": configuration(size).decode()}))] * REPEATS


@measure("a configuration opened and in force at a front", "us", "routes", ROUTE_COUNTS)
def change_at_front(size: int) -> Iterator[float]:
    data = zlib.compress(
        json.dumps({"kind": "body", "text": configuration(size).decode()}).encode(), 1
    )
    yield from cpu_time(lambda: RouteTable(json.loads(json.loads(zlib.decompress(data))["text"])))


@measure(
    "what a front holds at most while a configuration comes into force, a route",
    "bytes",
    "routes",
    ROUTE_COUNTS,
)
def change_peak(size: int) -> Iterator[float]:
    text = configuration(size).decode()
    data = encode_frame({"kind": "body", "text": text})
    for _ in range(REPEATS):
        old = RouteTable(json.loads(text))
        gc.collect()
        tracemalloc.start()
        RouteTable(json.loads(json.loads(zlib.decompress(data[4:]))["text"]))
        yield tracemalloc.get_traced_memory()[1] / size
        tracemalloc.stop()
        del old


DELTA_ROUTE_COUNTS = (400, 1_400, 10_000, 40_000)  # above, the text is too long for `encode_delta`


def config_versions(size: int) -> tuple[str, str]:
    """Return a configuration, and the same with one route moved to another service."""
    old = configuration(size).decode()
    body = json.loads(old)
    body["revision"] = "00000008"
    next(route for route in body["routes"].values() if "service" in route)["service"] = list(
        body["services"]
    )[-1]
    return old, json.dumps(body, separators=(",", ":"))


@measure(
    "the difference of a configuration with one route changed, bytes as sent",
    "bytes",
    "routes",
    DELTA_ROUTE_COUNTS,
)
def change_delta_bytes(size: int) -> Iterator[float]:
    yield from [
        len(encode_frame({"kind": "body", "text": encode_delta(*config_versions(size))}))
    ] * REPEATS


@measure("the same, made", "us", "routes", DELTA_ROUTE_COUNTS)
def change_delta(size: int) -> Iterator[float]:
    old, new = config_versions(size)
    yield from cpu_time(lambda: encode_delta(old, new))


@measure("the same, applied and proven", "us", "routes", DELTA_ROUTE_COUNTS)
def change_applied(size: int) -> Iterator[float]:
    old, new = config_versions(size)
    made, digest = encode_delta(old, new), text_digest(new)

    def operation() -> None:
        assert apply_delta(old, made, digest) == new

    yield from cpu_time(operation)


@measure(
    "one route's difference alone, bytes before pressing (trial of a way)",
    "bytes",
    "routes",
    ROUTE_COUNTS,
)
def difference_bytes(size: int) -> Iterator[float]:
    name, route = next(iter(json.loads(configuration(size))["routes"].items()))
    yield from [
        len(encode_frame({"kind": "part", "base": 11, "revision": 12, "routes": {name: route}}))
    ] * REPEATS


ROUTES_PER_BLOCK = 64  # routes that are compressed together


def compressed_blocks(size: int) -> list[bytes]:
    routes = list(json.loads(configuration(size))["routes"].items())
    return [
        zlib.compress(
            json.dumps(
                dict(routes[index : index + ROUTES_PER_BLOCK]), separators=(",", ":")
            ).encode(),
            6,
        )
        for index in range(0, size, ROUTES_PER_BLOCK)
    ]


@measure(
    "a route held pressed in blocks of 64, opened when asked for (trial of a way)",
    "bytes",
    "routes",
    ROUTE_COUNTS,
)
def route_pressed(size: int) -> Iterator[float]:
    hosts = [route["host"] for route in json.loads(configuration(size))["routes"].values()]

    def make() -> Any:
        return compressed_blocks(size), {
            hash(host) & 0xFFFFFFFF: index // ROUTES_PER_BLOCK for index, host in enumerate(hosts)
        }

    yield from memory_per_item(make, size)


@measure("a block of 64 routes opened (trial of a way)", "us", "routes", ROUTE_COUNTS[:3])
def route_opened(size: int) -> Iterator[float]:
    block, services = compressed_blocks(size)[0], {"a": {}}
    yield from cpu_time(
        lambda: RouteTable(
            {
                "revision": "00000007",
                "services": services,
                "routes": json.loads(zlib.decompress(block)),
            }
        )
    )


def accept_write(current: Any, key: str, value: Any, epoch: int) -> Decision:
    return Decision(Outcome.ACCEPTED, value)


class ImmediateNetwork:
    """Replicas whose messages arrive immediately and whose writes are synced immediately.

    `bytes` counts the encoded messages while `counting_bytes` is set."""

    def __init__(self, members: int) -> None:
        names = [f"10.0.0.{index + 1}" for index in range(members)]
        self.members = {
            name: Replica(
                name, names, (members - 1) // 2, True, {}, accept_write, random.Random(index)
            )
            for index, name in enumerate(names)
        }
        self.now, self.bytes, self.count, self.pending, self.answers = 0, 0, 0, deque(), 0
        self.counting_bytes = False
        while not all(
            member.connected and member.status().role != "out" for member in self.members.values()
        ):
            self.run(50_000)
            assert self.now < 60 * SECOND

    def deliver(self, name: str, effects: list[Any]) -> None:
        self.pending.extend((name, effect) for effect in effects)
        while self.pending:
            sender, effect = self.pending.popleft()
            if isinstance(effect, Send):
                self.count += 1
                data = (
                    encode_frame({"kind": "chain", "body": effect.message})
                    if self.counting_bytes
                    else b""
                )
                self.bytes += len(data)
                message = json.loads(json.dumps(effect.message))
                self.pending.extend(
                    (effect.to, follow_up)
                    for follow_up in self.members[effect.to].receive(self.now, sender, message)
                )
            elif isinstance(effect, Write):
                self.pending.extend(
                    (sender, follow_up)
                    for follow_up in self.members[sender].written(self.now, effect.token)
                )
            else:
                self.answers += 1

    def run(self, span: int) -> None:
        for _ in range(span // 50_000):
            self.now += 50_000
            for name, member in self.members.items():
                self.deliver(name, member.tick(self.now))

    def put(self, value: Any) -> None:
        name = list(self.members)[1]
        self.deliver(name, self.members[name].put(self.now, 1, "config", value))


MEMBER_COUNTS = (3, 5, 9)


@measure("the members' own talk: bytes a member a second", "bytes", "members", MEMBER_COUNTS)
def chain_idle_bytes(size: int) -> Iterator[float]:
    for _ in range(REPEATS):
        network = ImmediateNetwork(size)
        network.counting_bytes, network.bytes = True, 0
        network.run(10 * SECOND)
        yield network.bytes / size / 10


@measure("the members' own talk: processor time a member a second", "us", "members", MEMBER_COUNTS)
def chain_idle(size: int) -> Iterator[float]:
    network = ImmediateNetwork(size)
    for total in cpu_time(lambda: network.run(SECOND)):
        yield total / size


@measure(
    "a change of 1,400 routes along the chain: bytes a member", "bytes", "members", MEMBER_COUNTS
)
def chain_change_bytes(size: int) -> Iterator[float]:
    text = configuration(1_400).decode()
    for index in range(REPEATS):
        network = ImmediateNetwork(size)
        network.counting_bytes, network.bytes = True, 0
        network.put({"revision": index, "text": text})
        assert network.answers == 1
        yield network.bytes / size


@measure(
    "a change along a chain of three: processor time a member", "us", "routes", (400, 1_400, 10_000)
)
def chain_change(size: int) -> Iterator[float]:
    network, text, counter = ImmediateNetwork(3), configuration(size).decode(), iter(range(1 << 40))
    for total in cpu_time(lambda: network.put({"revision": next(counter), "text": text})):
        yield total / 3


# Probes and votes

FRONT_COUNTS = (16, 64, 200, 400)


def converged_group(size: int) -> DatagramNetwork:
    """Proxies whose failure detectors know each other."""
    if size not in CONVERGED:
        network = CONVERGED[size] = DatagramNetwork(1, size)
        network.start_all()
        network.run_until(network.converged, 60)
        network.run(40)
    return CONVERGED[size]


CONVERGED: dict[int, DatagramNetwork] = {}


@measure("probes between fronts: bytes a front sends a second", "bytes", "fronts", FRONT_COUNTS)
def probe_bytes(size: int) -> Iterator[float]:
    network = converged_group(size)
    for _ in range(REPEATS):
        before = sum(node.bytes_sent for node in network.nodes.values())
        network.run(4)
        yield (sum(node.bytes_sent for node in network.nodes.values()) - before) / size / 4


@measure("probes between fronts: processor time a front a second", "us", "fronts", FRONT_COUNTS)
def probe_time(size: int) -> Iterator[float]:
    network = converged_group(size)
    for _ in range(REPEATS):
        started_at = time.process_time()
        network.run(4)
        yield (time.process_time() - started_at) * 1e6 / size / 4


@measure("a front known to a front, in its memory", "bytes", "fronts", FRONT_COUNTS[:3])
def front_known(size: int) -> Iterator[float]:
    tracemalloc.start()
    for _ in range(REPEATS):
        gc.collect()
        before = tracemalloc.get_traced_memory()[0]
        network = DatagramNetwork(1, size)
        network.start_all()
        network.run_until(network.converged, 60)
        gc.collect()
        yield (tracemalloc.get_traced_memory()[0] - before) / size / size
        del network
    tracemalloc.stop()


def rollout_report(front: int, count: int) -> dict[str, Any]:
    return {
        "service": "a",
        "target": "v2",
        "order": 1,
        "stage": 0,
        "since": 1,
        "elapsed": 1.0,
        "vote": None,
        "counts": {"trial": [count, count, 0], "base": [20 * count, 20 * count, 0]},
        "each": {f"i-{front:08x}": [count, 0]},
        "before": 3,
        "asked": 20 * count,
        "listed": [10, 2],
    }


@measure(
    "a front's report of a roll-out taken by the head", "us", "fronts that report", (16, 64, 256)
)
def report_taken(size: int) -> Iterator[float]:
    rollouts, counter = RolloutCoordinator(), iter(range(1 << 40))
    rollouts.apply_record(0, "a", first_record(None, order_request("v2", 60.0, ["v1"])))

    def operation() -> None:
        index = next(counter)
        rollouts.receive_report(
            index, f"10.0.{index % size}", rollout_report(index % size, index // size)
        )
        if index % size == 0:
            rollouts.tick(index)

    yield from cpu_time(operation)


@measure(
    "all roll-outs' records told to a front, bytes on the wire",
    "bytes",
    "services with a record",
    (40, 400, 4_200),
)
def records_told(size: int) -> Iterator[float]:
    record = first_record(None, order_request("v2", 60.0, ["v1"]))
    keys = {
        f"{ROLLOUT_KEY_PREFIX}huvo{index:04d}a": {**record, "elapsed": index * 7919 % 900 / 7}
        for index in range(size)
    }
    yield from [len(encode_frame({**update_message([]), "keys": keys}))] * REPEATS


@measure("the head's look at a roll-out, each 50 ms", "us", "fronts that report", (16, 64, 256))
def rollout_look(size: int) -> Iterator[float]:
    rollouts = RolloutCoordinator()
    rollouts.apply_record(0, "a", first_record(None, order_request("v2", 60.0, ["v1"])))
    for index in range(size):
        rollouts.receive_report(0, f"10.0.{index}", rollout_report(index, 1))
    yield from cpu_time(lambda: rollouts.tick(1))


# Figures that do not depend on the size


def message_sizes() -> dict[str, int]:
    """Return the lengths in bytes of messages that do not depend on the system's size.

    Headers of TCP and IP are not counted."""
    body = heartbeat_body(1, 4)
    record = instance_records(1)[0].to_wire()
    route = list(json.loads(configuration(400))["routes"].items())[1]
    return {
        "beat request": len(heartbeat_head(1, len(body))) + len(body),
        "pull request": len(encode_frame(pull_request())),
        "pull answer without news": len(encode_frame(update_message([]))),
        "a roll-out's report": len(
            encode_frame({"kind": "reports", "reports": [rollout_report(1, 9)]})
        ),
        "a machine told, not pressed": len(json.dumps(record, separators=(",", ":"))) + 1,
        "a route sent": len(json.dumps(route).encode()),
        "a route in a frame, not pressed": len(json.dumps(configuration(1_400).decode())) // 1_400,
    }


def process_memory() -> dict[str, int]:
    """Return the resident memory in bytes of an idle process that has loaded all its modules."""
    found = {}
    for role, module in (("front", "mast.front"), ("core member", "mast.core")):
        code = (
            f"import umbermoor.gateway.{module}, re, gc; gc.collect();"
            "print(re.search('VmRSS:\\s+(\\d+)', open('/proc/self/status').read())[1])"
        )
        if role == "core member":
            code = "import hypercorn.asyncio, hypercorn.config, cerberus;" + code
        found[role] = 1024 * int(
            subprocess.run(
                [sys.executable, "-c", code], capture_output=True, text=True, check=True
            ).stdout
        )
    return found


def limits() -> dict[str, float]:
    """Return the limits that the code sets, read from its constants."""
    from umbermoor.gateway.api import http_api
    from umbermoor.gateway.discovery import registry as registry_module
    from umbermoor.gateway.distribution import deltas, subscriber
    from umbermoor.gateway.membership import member_table, probes
    from umbermoor.gateway.replication import replica_set, requests, timing
    from umbermoor.gateway.rollout import coordinator
    from umbermoor.gateway.server import controller, peer_transport, update_publisher

    return {
        "lines of a member or front": peer_transport.MAX_CONNECTIONS,
        "frame": peer_transport.MAX_FRAME_BYTES,
        "text of a difference": deltas.MAX_TEXT_BYTES,
        "call's body": http_api.MAX_BODY_BYTES,
        "partly read": peer_transport.MAX_BUFFERED_BYTES,
        "machines of a member": registry_module.MAX_RECORDS,
        "silent after periods": registry_module.SILENT_AFTER_PERIODS,
        "fronts known to a front": member_table.MAX_MEMBERS,
        "probe period": probes.PROBE_INTERVAL,
        "fronts that report": coordinator.MAX_PROXIES,
        "members": replica_set.MAX_MEMBERS,
        "pull kept": subscriber.LONG_POLL_TIMEOUT_US,
        "pulls apart": subscriber.PULL_INTERVAL_US,
        "calls under way": requests.MAX_CALLS,
        "members' ping": timing.HEARTBEAT_INTERVAL,
        "report renewed": 250_000,
        "tick": round(controller.TICK_INTERVAL_S * SECOND),
        "told together": round(update_publisher.BATCH_DELAY_S * SECOND),
    }


def run(
    only: Sequence[str], print_line: Callable[[str], None], smallest: bool = False
) -> dict[str, Any]:
    """Run the named measures, or all.

    With `smallest` each runs only at its smallest size, to check that it works."""
    results = {}
    for definition in MEASURES:
        if only and definition.name not in only:
            continue
        rows = []
        for size in definition.sizes[:1] if smallest else definition.sizes:
            before = reference_work_time()
            values = [round(value, 3) for value in definition.samples(size)]
            rows.append(
                {
                    "size": size,
                    "values": values,
                    "pace": round(max(before, reference_work_time()), 1),
                }
            )
        results[definition.name] = {
            "what": definition.description,
            "unit": definition.unit,
            "size": definition.dimension,
            "rows": rows,
        }
        print_line(
            f"{definition.name}: "
            + "; ".join(
                f"{row['size']}: {min(row['values']):.4g} to {max(row['values']):.4g}"
                for row in rows
            )
        )
    return results


__all__ = ["MEASURES", "limits", "process_memory", "run", "message_sizes"]

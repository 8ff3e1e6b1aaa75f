"""The state machines run alone in this process: processor time, bytes and memory of each thing said
or held, by size.

Every measure is a row of `MEASURES`: what it costs in `unit`, over `size`. Processor time of this
process, not wall time; `REPEATS` times each. Nothing listens, nothing is written.
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
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX
from umbermoor.gateway.routing.route_table import RouteTable
from umbermoor.gateway.server.http_messages import request_bytes, response_bytes
from umbermoor.gateway.server.peer_transport import encode_frame
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Reader as Http

REPEATS = 3
SECOND = 1_000_000
LEAST_S = 0.12  # processor time that one repeat takes at least
PERIOD = 3 * SECOND // 2


class Measure(NamedTuple):
    name: str
    what: str
    unit: str  # us, bytes
    size: str  # what grows
    sizes: Sequence[int]
    of: Callable[[int], Iterator[float]]  # yields a value for each repeat


MEASURES: list[Measure] = []


def measure(what: str, unit: str, size: str, sizes: Sequence[int]):
    def declared(of: Callable[[int], Iterator[float]]) -> Callable[[int], Iterator[float]]:
        MEASURES.append(Measure(of.__name__, what, unit, size, sizes, of))
        return of

    return declared


def timed(act: Callable[[], Any], repeats: int = REPEATS) -> Iterator[float]:
    """Processor time of one act in us, `repeats` times."""
    act()
    gc.collect()
    gc.disable()
    try:
        times, began = 0, time.process_time()
        while time.process_time() - began < LEAST_S / 4:
            act()
            times += 1
        for _ in range(repeats):
            began, count = time.process_time(), 0
            while time.process_time() - began < LEAST_S:
                for _ in range(times):
                    act()
                count += times
            yield (time.process_time() - began) * 1e6 / count
    finally:
        gc.enable()


def pace() -> float:
    """Processor time of a fixed piece of work in us, least of five: how fast this machine is just
    now."""
    work, least = [[at, str(at)] for at in range(1_000)], float("inf")
    for _ in range(5):
        began = time.process_time()
        json.loads(json.dumps(work))
        least = min(least, time.process_time() - began)
    return least * 1e6


def held(make: Callable[[], Any], size: int) -> Iterator[float]:
    """Bytes that what is made holds, for one of `size`."""
    for _ in range(REPEATS):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        yield (tracemalloc.get_traced_memory()[0] - before) / size
        tracemalloc.stop()
        del made


def beat_body(at: int, sample: int, service: str = "") -> bytes:
    """A machine's beat, with names as long as the users' pages show; addresses scattered, 20
    machines a service."""
    spot = at * 2654435761 >> 4
    return json.dumps(
        {
            "service": service or f"huvo{spot % (at // 20 + 1):04d}a",
            "address": f"10.{spot >> 16 & 255}.{spot >> 8 & 255}.{spot & 255}:8080",
            "zone": f"zone-{spot % 15}",
            "revision": "v1",
            "capacity": 6,
            "state": "ready",
            "warmupLeftS": 0,
            "sample": sample,
        },
        separators=(",", ":"),
    ).encode()


def beat_head(at: int, length: int) -> bytes:
    return (
        f"POST /Plants.Heartbeat/i-{at:08x} HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nContent-Type: application/json\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def entries(count: int, service: str = "") -> list[InstanceRecord]:
    """Machines that have run for different times."""
    return [
        record_from_heartbeat(
            f"i-{at * 2654435761 % (1 << 32):08x}",
            json.loads(beat_body(at, at * 7919 % 50_000, service)),
        )
        for at in range(count)
    ]


def registry(count: int) -> InstanceRegistry:
    one = InstanceRegistry(1, PERIOD)
    for entry in entries(count):
        one.observe(0, entry)
    return one


def configuration(routes: int, revision: int = 7) -> bytes:
    """A configuration with 26 routes a service, as 110,000 routes over 4,200 services have."""
    chance = random.Random(routes)
    services = [f"huvo{at:04d}a" for at in range(max(2, routes // 26))]
    table = {}
    for at in range(routes):
        route = {
            "host": f"h{chance.getrandbits(24):06x}.example",
            "prefix": f"/p{chance.getrandbits(24):06x}/",
            "kind": chance.choice(("safe", "unsafe")),
            "horizonS": 0.6,
            "setpointS": 0.25,
            "priority": chance.randrange(3),
            "tries": 2,
        }
        one, other = chance.choice(services), chance.choice(services)
        if at % 5 or one == other:
            route["service"] = one
        else:
            route["mix"] = [{"service": one, "gain": 90}, {"service": other, "gain": 10}]
        table[f"r-{chance.getrandbits(40):010x}"] = route
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


MACHINES = (100, 1_000, 5_000, 20_000)
ROUTES = (400, 1_400, 10_000, 110_000)


# A beat and the machines a member holds


@measure("a beat read, checked and taken", "us", "machines held", MACHINES)
def beat(size: int) -> Iterator[float]:
    one, sample = registry(size), iter(range(100_000, 1 << 40))
    ids, turn = list(one.records), iter(range(1 << 40))

    def act() -> None:
        at = next(turn) % size
        one.observe(0, record_from_heartbeat(ids[at], json.loads(beat_body(at, next(sample)))))

    yield from timed(act)


@measure("a machine in a member's memory", "bytes", "machines held", MACHINES)
def machine_held(size: int) -> Iterator[float]:
    yield from held(lambda: registry(size), size)


@measure("the look for silent machines, each 50 ms", "us", "machines held", MACHINES)
def silent_look(size: int) -> Iterator[float]:
    one = registry(size)
    yield from timed(lambda: one.tick(1, True))


@measure(
    "the machines kept on disk, once a second where one came or went",
    "us",
    "machines held",
    MACHINES,
)
def machines_saved(size: int) -> Iterator[float]:
    one = registry(size)
    yield from timed(lambda: json.dumps(one.snapshot(), separators=(",", ":")).encode())


@measure("the machines kept on disk, bytes a write", "bytes", "machines held", MACHINES)
def machines_saved_bytes(size: int) -> Iterator[float]:
    yield from [len(json.dumps(registry(size).snapshot(), separators=(",", ":")))] * REPEATS


# A pull


def news(machines: list[list[Any]]) -> dict[str, Any]:
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


@measure("a pull without news, found and framed", "us", "machines held", MACHINES)
def pull_quiet(size: int) -> Iterator[float]:
    one = registry(size)
    yield from timed(lambda: encode_frame(news(one.changes_after(one.sequence))))


@measure(
    "a pull when every machine beat since, found, framed and pressed",
    "us",
    "machines held",
    MACHINES,
)
def pull_all(size: int) -> Iterator[float]:
    one = registry(size)
    yield from timed(lambda: encode_frame(news(one.changes_after(0))))


@measure(
    "a pull's answer when every machine beat since, bytes on the wire",
    "bytes",
    "machines told",
    MACHINES,
)
def pull_all_bytes(size: int) -> Iterator[float]:
    yield from [len(encode_frame(news(registry(size).changes_after(0))))] * REPEATS


@measure(
    "a pull's answer when every machine beat since, bytes before pressing",
    "bytes",
    "machines told",
    MACHINES,
)
def pull_all_raw(size: int) -> Iterator[float]:
    yield from [
        len(json.dumps(news(registry(size).changes_after(0)), separators=(",", ":")))
    ] * REPEATS


@measure(
    "waiting pulls looked through, for each look", "us", "fronts that wait", (10, 100, 400, 7_700)
)
def pulls_looked_through(size: int) -> Iterator[float]:
    publisher = Publisher()
    for line in range(size):
        publisher.add_pull(
            0, line, {"life": 1, "number": 1 << 30, "register": [35392, 7], "revision": 12}
        )
    yield from timed(lambda: publisher.take_due(1, 1, 5, (35392, 7), 12))


def pull_request() -> dict[str, Any]:
    subscriber = Subscriber(["10.1.0.18"])
    subscriber.version = (35392, 7)
    return subscriber.make_pull(0, "10.1.0.18")


@measure(
    "a pull without news where entries stand in the order of their numbers (trial of a way)",
    "us",
    "machines held",
    MACHINES,
)
def pull_quiet_ordered(size: int) -> Iterator[float]:
    ordered = dict(enumerate(registry(size).records.values()))

    def act() -> None:
        found = []
        for number in reversed(ordered):
            if number <= size:
                break
            found.append(ordered[number].to_wire())
        encode_frame(news(found))

    yield from timed(act)


@measure(
    "the look for silent machines where they stand in the order heard (trial of a way)",
    "us",
    "machines held",
    MACHINES,
)
def silent_look_ordered(size: int) -> Iterator[float]:
    heard = dict.fromkeys(registry(size).records, 0)

    def act() -> None:
        for at in heard.values():
            if 1 - at < PERIOD:
                break

    yield from timed(act)


@measure(
    "a beat by the front's own parser: read, checked, taken, answered (trial of a way)",
    "us",
    "machines held",
    MACHINES,
)
def beat_parsed(size: int) -> Iterator[float]:
    one, sample, reader = registry(size), iter(range(100_000, 1 << 40)), Http(Buffers(8 << 20))
    turn = iter(range(1 << 40))

    def act() -> None:
        at = next(turn) % size
        body = beat_body(at, next(sample))
        asked = reader.feed(beat_head(at, len(body)) + body)[0]
        one.observe(
            0, record_from_heartbeat(asked.target.rpartition("/")[2], json.loads(asked.body))
        )
        response_bytes(200, b"", {}, 15)

    yield from timed(act)


# A front


@measure("news of every machine read and taken in by a front", "us", "machines told", MACHINES)
def news_taken(size: int) -> Iterator[float]:
    """Each time with later samples; the member's part is not counted."""
    subscriber, instances, later = (
        Subscriber(["10.1.0.18"]),
        Instances("zone-1"),
        iter(range(100_000, 1 << 40)),
    )
    message = news([entry.to_wire() for entry in entries(size)])
    for at in range(REPEATS + 1):
        spent, times = 0.0, 0
        while spent < LEAST_S:
            sample = next(later)
            for told in message["machines"]:
                told[8] = sample
            text = json.dumps(message)
            began = time.process_time()
            instances.update(
                0, subscriber.receive_update(0, "10.1.0.18", json.loads(text)).instances
            )
            spent, times = spent + time.process_time() - began, times + 1
        if at:
            yield spent * 1e6 / times


@measure("a machine in a front's memory", "bytes", "machines held", MACHINES)
def machine_at_front(size: int) -> Iterator[float]:
    told = json.dumps(news([entry.to_wire() for entry in entries(size)]))

    def make() -> Any:
        subscriber, instances = Subscriber(["10.1.0.18"]), Instances("zone-1")
        instances.update(0, subscriber.receive_update(0, "10.1.0.18", json.loads(told)).instances)
        return subscriber, instances

    yield from held(make, size)


@measure("a route in a front's memory", "bytes", "routes", ROUTES)
def route_held(size: int) -> Iterator[float]:
    body = configuration(size)
    yield from held(lambda: RouteTable(json.loads(body)), size)


@measure("a request's route found", "us", "routes", ROUTES)
def route_found(size: int) -> Iterator[float]:
    routes = RouteTable(json.loads(configuration(size)))
    some = [(route.host, route.prefix + "a/b?c=d") for route in routes][:500]
    turn = iter(range(1 << 40))

    def act() -> None:
        routes.find(*some[next(turn) % len(some)])

    yield from timed(act)


REQUEST = (
    b"GET /p0001/2f HTTP/1.1\r\nHost: h0001.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\n"
    b"X-Time-Remaining: 600\r\nUser-Agent: caller\r\nAccept: */*\r\n\r\n"
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
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
    instances, trials, budget = (
        Instances("zone-1"),
        RolloutObserver(),
        RetryBudget(0.2, 10 * SECOND),
    )
    instances.update(0, entries(size, service="a"))
    trials.confirm(0)
    trials.update_instances(
        0, "a", [(one.id, one.entry.revision, one.listed_at) for one in instances.of_service("a")]
    )
    buffers, chance, clock = Buffers(8 << 20), random.Random(1), iter(range(0, 1 << 60, 4000))
    client, back = Http(buffers), Http(buffers, responses=True)

    def act() -> None:
        now = next(clock)
        trials.confirm(now)
        asked = client.feed(REQUEST)[0]
        route = routes.find(asked.headers["host"], asked.target.partition("?")[0])
        service = route.service_for(chance.random())
        lifecycle = RequestLifecycle(
            service, route.idempotent, route.max_attempts, now + route.timeout_us
        )
        budget.request_arrived(now)
        trials.request_received(now, service)
        side = trials.choose_version(now, service, chance.random())
        instance = instances.choose(
            now, service, side, (), lifecycle.tried, chance.random, lifecycle.deadline - now
        )
        lifecycle.attempt_started(now, 1, instance, 200_000)
        instance.attempt_started(now)
        trials.attempt_sent(now, service, instance.entry.revision)
        request_bytes(asked, instance.id, 590)
        answer = back.feed(RESPONSE)[0]
        instance.attempt_ended()
        instance.load_reported(now, answer.headers["x-load-level"])
        instances.responded(now, instance, 30_000)
        trials.attempt_ended(
            now, service, "v1", instance.id, instance.listed_at, True, False, False
        )
        lifecycle.attempt_ended(1, AttemptOutcome.COMPLETE, answer)
        assert isinstance(lifecycle.next_step(now), Relay)

    yield from timed(act)


@measure("budgets of second tries shared out, each second", "us", "services", (40, 400, 4_200))
def budgets_shared(size: int) -> Iterator[float]:
    budgets = [RetryBudget(0.2, 10 * SECOND) for _ in range(size)]

    def act() -> None:
        for budget in budgets:
            budget.share_slack(SECOND, 58, 100)

    yield from timed(act)


@measure("a service's budget in a front's memory", "bytes", "services", (40, 400, 4_200))
def budget_held(size: int) -> Iterator[float]:
    yield from held(lambda: [RetryBudget(0.2, 10 * SECOND) for _ in range(size)], size)


@measure(
    "a tenant held as a table's row (no code of the product has tenants)",
    "bytes",
    "tenants",
    (1_000, 30_000, 680_000),
)
def tenant_as_row(size: int) -> Iterator[float]:
    yield from held(lambda: {f"t-{at:07x}": (at % 110_000, 0.0) for at in range(size)}, size)


@measure(
    "a tenant held as 16 bytes of one sorted run (trial of a way)",
    "bytes",
    "tenants",
    (1_000, 30_000, 680_000),
)
def tenant_packed(size: int) -> Iterator[float]:
    yield from held(lambda: bytearray(16 * size), size)


# A change


@measure("a configuration read and checked at the member asked", "us", "routes", ROUTES)
def change_checked(size: int) -> Iterator[float]:
    body = configuration(size)

    def act() -> None:
        assert check(decode(body)) is None

    yield from timed(act)


@measure("a configuration's bytes, as sent", "bytes", "routes", ROUTES)
def change_bytes(size: int) -> Iterator[float]:
    yield from [len(configuration(size))] * REPEATS


@measure("the same, pressed as to a front", "bytes", "routes", ROUTES)
def change_pressed(size: int) -> Iterator[float]:
    yield from [len(encode_frame({"kind": "body", "text": configuration(size).decode()}))] * REPEATS


@measure("a configuration opened and in force at a front", "us", "routes", ROUTES)
def change_at_front(size: int) -> Iterator[float]:
    data = zlib.compress(
        json.dumps({"kind": "body", "text": configuration(size).decode()}).encode(), 1
    )
    yield from timed(lambda: RouteTable(json.loads(json.loads(zlib.decompress(data))["text"])))


@measure(
    "what a front holds at most while a configuration comes into force, a route",
    "bytes",
    "routes",
    ROUTES,
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


TEXTS = (400, 1_400, 10_000, 40_000)  # beyond, a text is longer than a difference is made for


def changed(size: int) -> tuple[str, str]:
    """A configuration, and the same with one route moved to another service."""
    old = configuration(size).decode()
    body = json.loads(old)
    body["revision"] = "00000008"
    next(one for one in body["routes"].values() if "service" in one)["service"] = list(
        body["services"]
    )[-1]
    return old, json.dumps(body, separators=(",", ":"))


@measure(
    "the difference of a configuration with one route changed, bytes as sent",
    "bytes",
    "routes",
    TEXTS,
)
def change_delta_bytes(size: int) -> Iterator[float]:
    yield from [len(encode_frame({"kind": "body", "text": encode_delta(*changed(size))}))] * REPEATS


@measure("the same, made", "us", "routes", TEXTS)
def change_delta(size: int) -> Iterator[float]:
    old, new = changed(size)
    yield from timed(lambda: encode_delta(old, new))


@measure("the same, applied and proven", "us", "routes", TEXTS)
def change_applied(size: int) -> Iterator[float]:
    old, new = changed(size)
    made, digest = encode_delta(old, new), text_digest(new)

    def act() -> None:
        assert apply_delta(old, made, digest) == new

    yield from timed(act)


@measure(
    "one route's difference alone, bytes before pressing (trial of a way)",
    "bytes",
    "routes",
    ROUTES,
)
def difference_bytes(size: int) -> Iterator[float]:
    name, route = next(iter(json.loads(configuration(size))["routes"].items()))
    yield from [
        len(encode_frame({"kind": "part", "base": 11, "revision": 12, "routes": {name: route}}))
    ] * REPEATS


BLOCK = 64  # routes pressed together


def blocks(size: int) -> list[bytes]:
    routes = list(json.loads(configuration(size))["routes"].items())
    return [
        zlib.compress(json.dumps(dict(routes[at : at + BLOCK]), separators=(",", ":")).encode(), 6)
        for at in range(0, size, BLOCK)
    ]


@measure(
    "a route held pressed in blocks of 64, opened when asked for (trial of a way)",
    "bytes",
    "routes",
    ROUTES,
)
def route_pressed(size: int) -> Iterator[float]:
    hosts = [route["host"] for route in json.loads(configuration(size))["routes"].values()]

    def make() -> Any:
        return blocks(size), {hash(host) & 0xFFFFFFFF: at // BLOCK for at, host in enumerate(hosts)}

    yield from held(make, size)


@measure("a block of 64 routes opened (trial of a way)", "us", "routes", ROUTES[:3])
def route_opened(size: int) -> Iterator[float]:
    one, services = blocks(size)[0], {"a": {}}
    yield from timed(
        lambda: RouteTable(
            {
                "revision": "00000007",
                "services": services,
                "routes": json.loads(zlib.decompress(one)),
            }
        )
    )


def taken(held: Any, key: str, value: Any, epoch: int) -> Decision:
    return Decision(Outcome.ACCEPTED, value)


class Wire:
    """Members whose messages arrive at once and whose disks sync at once; bytes and processor time
    by kind."""

    def __init__(self, members: int) -> None:
        names = [f"10.0.0.{at + 1}" for at in range(members)]
        self.members = {
            name: Replica(name, names, (members - 1) // 2, True, {}, taken, random.Random(at))
            for at, name in enumerate(names)
        }
        self.now, self.bytes, self.count, self.open, self.answers = 0, 0, 0, deque(), 0
        self.weighing = False
        while not all(
            one.connected and one.status().role != "out" for one in self.members.values()
        ):
            self.run(50_000)
            assert self.now < 60 * SECOND

    def carry(self, name: str, effects: list[Any]) -> None:
        self.open.extend((name, effect) for effect in effects)
        while self.open:
            sender, effect = self.open.popleft()
            if isinstance(effect, Send):
                self.count += 1
                data = (
                    encode_frame({"kind": "chain", "body": effect.message})
                    if self.weighing
                    else b""
                )
                self.bytes += len(data)
                message = json.loads(json.dumps(effect.message))
                self.open.extend(
                    (effect.to, one)
                    for one in self.members[effect.to].receive(self.now, sender, message)
                )
            elif isinstance(effect, Write):
                self.open.extend(
                    (sender, one) for one in self.members[sender].written(self.now, effect.token)
                )
            else:
                self.answers += 1

    def run(self, span: int) -> None:
        for _ in range(span // 50_000):
            self.now += 50_000
            for name, member in self.members.items():
                self.carry(name, member.tick(self.now))

    def put(self, value: Any) -> None:
        name = list(self.members)[1]
        self.carry(name, self.members[name].put(self.now, 1, "config", value))


MEMBERS = (3, 5, 9)


@measure("the members' own talk: bytes a member a second", "bytes", "members", MEMBERS)
def chain_idle_bytes(size: int) -> Iterator[float]:
    for _ in range(REPEATS):
        wire = Wire(size)
        wire.weighing, wire.bytes = True, 0
        wire.run(10 * SECOND)
        yield wire.bytes / size / 10


@measure("the members' own talk: processor time a member a second", "us", "members", MEMBERS)
def chain_idle(size: int) -> Iterator[float]:
    wire = Wire(size)
    for one in timed(lambda: wire.run(SECOND)):
        yield one / size


@measure("a change of 1,400 routes along the chain: bytes a member", "bytes", "members", MEMBERS)
def chain_change_bytes(size: int) -> Iterator[float]:
    text = configuration(1_400).decode()
    for at in range(REPEATS):
        wire = Wire(size)
        wire.weighing, wire.bytes = True, 0
        wire.put({"revision": at, "text": text})
        assert wire.answers == 1
        yield wire.bytes / size


@measure(
    "a change along a chain of three: processor time a member", "us", "routes", (400, 1_400, 10_000)
)
def chain_change(size: int) -> Iterator[float]:
    wire, text, turn = Wire(3), configuration(size).decode(), iter(range(1 << 40))
    for one in timed(lambda: wire.put({"revision": next(turn), "text": text})):
        yield one / 3


# Probes and votes

FRONTS = (16, 64, 200, 400)


def converged_group(size: int) -> DatagramNetwork:
    """Proxies whose failure detectors know each other."""
    if size not in CONVERGED:
        network = CONVERGED[size] = DatagramNetwork(1, size)
        network.start_all()
        network.run_until(network.converged, 60)
        network.run(40)
    return CONVERGED[size]


CONVERGED: dict[int, DatagramNetwork] = {}


@measure("probes between fronts: bytes a front sends a second", "bytes", "fronts", FRONTS)
def probe_bytes(size: int) -> Iterator[float]:
    network = converged_group(size)
    for _ in range(REPEATS):
        before = sum(node.bytes_sent for node in network.nodes.values())
        network.run(4)
        yield (sum(node.bytes_sent for node in network.nodes.values()) - before) / size / 4


@measure("probes between fronts: processor time a front a second", "us", "fronts", FRONTS)
def probe_time(size: int) -> Iterator[float]:
    network = converged_group(size)
    for _ in range(REPEATS):
        began = time.process_time()
        network.run(4)
        yield (time.process_time() - began) * 1e6 / size / 4


@measure("a front known to a front, in its memory", "bytes", "fronts", FRONTS[:3])
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


def report(front: int, count: int) -> dict[str, Any]:
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
    steps, turn = RolloutCoordinator(), iter(range(1 << 40))
    steps.apply_record(0, "a", first_record(None, order_request("v2", 60.0, ["v1"])))

    def act() -> None:
        at = next(turn)
        steps.receive_report(at, f"10.0.{at % size}", report(at % size, at // size))
        if at % size == 0:
            steps.tick(at)

    yield from timed(act)


@measure(
    "all roll-outs' records told to a front, bytes on the wire",
    "bytes",
    "services with a record",
    (40, 400, 4_200),
)
def records_told(size: int) -> Iterator[float]:
    record = first_record(None, order_request("v2", 60.0, ["v1"]))
    keys = {
        f"{ROLLOUT_KEY_PREFIX}huvo{at:04d}a": {**record, "elapsed": at * 7919 % 900 / 7}
        for at in range(size)
    }
    yield from [len(encode_frame({**news([]), "keys": keys}))] * REPEATS


@measure("the head's look at a roll-out, each 50 ms", "us", "fronts that report", (16, 64, 256))
def rollout_look(size: int) -> Iterator[float]:
    steps = RolloutCoordinator()
    steps.apply_record(0, "a", first_record(None, order_request("v2", 60.0, ["v1"])))
    for at in range(size):
        steps.receive_report(0, f"10.0.{at}", report(at, 1))
    yield from timed(lambda: steps.tick(1))


# Of one size


def sizes_said() -> dict[str, int]:
    """Bytes of what is said whatever the size; heads of TCP and IP not counted."""
    body = beat_body(1, 4)
    told = entries(1)[0].to_wire()
    route = list(json.loads(configuration(400))["routes"].items())[1]
    return {
        "beat request": len(beat_head(1, len(body))) + len(body),
        "pull request": len(encode_frame(pull_request())),
        "pull answer without news": len(encode_frame(news([]))),
        "a roll-out's report": len(encode_frame({"kind": "reports", "reports": [report(1, 9)]})),
        "a machine told, not pressed": len(json.dumps(told, separators=(",", ":"))) + 1,
        "a route sent": len(json.dumps(route).encode()),
        "a route in a frame, not pressed": len(json.dumps(configuration(1_400).decode())) // 1_400,
    }


def processes() -> dict[str, int]:
    """Bytes in memory of a process that has all its modules loaded and nothing to do."""
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
    """Bounds that the code sets, as they stand in it."""
    from umbermoor.gateway.api import http_api
    from umbermoor.gateway.discovery import registry as screen
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
        "machines of a member": screen.MAX_RECORDS,
        "silent after periods": screen.SILENT_AFTER_PERIODS,
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


def run(only: Sequence[str], say: Callable[[str], None], smallest: bool = False) -> dict[str, Any]:
    """Plays the measures named, or all; `smallest`: at the smallest size alone, to see that they
    run."""
    found = {}
    for one in MEASURES:
        if only and one.name not in only:
            continue
        rows = []
        for size in one.sizes[:1] if smallest else one.sizes:
            before = pace()
            values = [round(value, 3) for value in one.of(size)]
            rows.append({"size": size, "values": values, "pace": round(max(before, pace()), 1)})
        found[one.name] = {"what": one.what, "unit": one.unit, "size": one.size, "rows": rows}
        say(
            f"{one.name}: "
            + "; ".join(
                f"{row['size']}: {min(row['values']):.4g} to {max(row['values']):.4g}"
                for row in rows
            )
        )
    return found


__all__ = ["MEASURES", "limits", "processes", "run", "sizes_said"]

"""Steps of catching_up.feature; see tests/gateway/long_world.py for members in virtual time."""

import json
import random
from typing import Any

from behave import given, then, when

from tests.gateway.long_world import SECOND, LongWorld, configuration, started_long_world
from umbermoor.gateway.config.node_settings import parse_node_settings
from umbermoor.gateway.distribution.deltas import (
    MIN_TEXT_LENGTH,
    TEXT_KEY,
    DeltaChannel,
    DeltaCodec,
    MissingTextError,
    TextCache,
    apply_delta,
    encode_delta,
    text_digest,
)
from umbermoor.gateway.distribution.messages import PullRequest
from umbermoor.gateway.distribution.publisher import Publisher
from umbermoor.gateway.distribution.subscriber import (
    LONG_POLL_TIMEOUT_US,
    PULL_TIMEOUT_US,
    Subscriber,
)
from umbermoor.gateway.replication.write_queue import WriteQueue
from umbermoor.gateway.server.proxy import Proxy
from umbermoor.gateway.units import MILLISECOND

SETTINGS = """
nodeName = "front-1"
role = "proxy"
machineClass = "front"
ip = "127.0.0.1"
zone = "z"
portRange = [7620,7620]
seeds = ["127.0.0.9:8649"]
"""


@given("steady changes of {size:d} bytes at {members:d} members, one every {ms:d} ms")
def _(context: Any, members: int, size: int, ms: int) -> None:
    rates: dict[str, int] = {"rate": 1_300_000, "size": size, "disk": 35_000_000} if size else {}
    context.world = started_long_world(7 + members, members, **rates)
    context.world.stream.epochs.clear()
    context.world.start_changes(ms * MILLISECOND)
    context.world.run(2 * SECOND)


@when("under steady changes member {faulty:d} {trouble}")
def _(context: Any, faulty: int, trouble: str) -> None:
    world: LongWorld = context.world
    name = context.faulty = world.names[faulty - 1]
    if trouble == "loses its disk":
        assert world.lose_disk(name)
        world.run(500 * MILLISECOND)
        world.start(name, cold=False)
    elif trouble == "restarts" or trouble.startswith("is away"):
        world.stop(name)
        world.run(500 * MILLISECOND if trouble == "restarts" else 1000 * world.streaming)
        world.start(name, cold=False)
    else:
        world.machines[name].mode = {"hangs": "hangs", "refuses": "refuses"}.get(
            trouble.split()[-1], "slow"
        )
        world.run(20 * SECOND)
        world.machines[name].mode = "well"


@then(
    "under steady changes no change waited for more than {wait:d} ms, in at most {views:d} views, and all members are healthy"
)
def _(context: Any, wait: int, views: int) -> None:
    stream = context.world.stream
    assert max(stream.waits) <= wait * MILLISECOND, max(stream.waits)
    assert len(stream.epochs) <= views, stream.epochs
    context.world.check()


@then("under steady changes that member is back within {back:d} ms")
def _(context: Any, back: int) -> None:
    world: LongWorld = context.world
    assert world.run(back * MILLISECOND, lambda: not world.behind(context.faulty))
    world.streaming = 0
    world.run(3 * SECOND)
    assert world.stream.acknowledged == world.stream.sent


@when("under steady changes every disk is 30 times slower")
def _(context: Any) -> None:
    for machine in context.world.machines.values():
        machine.mode = "slow"
    context.world.run(20 * SECOND)


@then("under steady changes the chain keeps all members")
def _(context: Any) -> None:
    world: LongWorld = context.world
    assert len(world.stream.epochs) == 1 and world.stream.acknowledged >= 8, world.stream
    assert max(world.stream.waits) < 5 * SECOND, max(world.stream.waits)


@when("under steady changes every disk was slow three times, and the head is killed")
def _(context: Any) -> None:
    world: LongWorld = context.world
    for rest in (4, 4, 0.5):  # seconds; if a disk is slow again soon, it counts as slow for longer
        for machine in world.machines.values():
            machine.mode, machine.sync = "slow", 15 * MILLISECOND
        world.run(2 * SECOND)
        for machine in world.machines.values():
            machine.mode, machine.sync = "well", 2 * MILLISECOND
        world.run(round(rest * SECOND))
    members = [machine.member for machine in world.machines.values()]
    later = world.now + 3 * SECOND
    healthy = [member.name for member in members if member.context.disk.healthy(later)]
    assert not healthy, healthy
    world.stop(members[0].status().chain[0])


@then("the steady changes are acknowledged again within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    world: LongWorld = context.world
    told = world.stream.acknowledged
    assert world.run(ms * MILLISECOND, lambda: world.stream.acknowledged >= told + 3), world.stream
    world.check()


@then("a disk that is slow in every fifth write is healthy for a shrinking part of the time")
def _(context: Any) -> None:
    """The disk is slow in two consecutive writes of ten, so about every third second."""
    disk, now, healthy = WriteQueue(), 0, []
    for number in range(1200):
        disk.enqueue({"a": b"1"}, "any", lambda: None)
        write = disk.start(now)
        assert write
        now += 600 * MILLISECOND if number % 10 < 2 else 20 * MILLISECOND
        disk.written(now, write.token)
        for _ in range(10):
            healthy.append(disk.healthy(now))
            now += 30 * MILLISECOND
    half = len(healthy) // 2
    assert sum(healthy[:half]) < 0.2 * half and not any(healthy[half:]), (
        sum(healthy[:half]),
        sum(healthy[half:]),
        half,
    )


@then(
    "one changed route of {routes:d} is sent in at most {max_bytes:d} bytes, and is decoded byte for byte"
)
def _(context: Any, routes: int, max_bytes: int) -> None:
    old, new = configuration(routes, 1), configuration(routes, 2, routes // 2)
    delta = encode_delta(old, new)
    assert len(delta) <= max_bytes, len(delta)
    assert apply_delta(old, delta, text_digest(new)) == new
    assert apply_delta(new, delta, text_digest(new)) != old


@then(
    "over {count:d} histories two members decode exactly what the other sent, despite lost frames and restarts"
)
def _(context: Any, count: int) -> None:
    received = received_short = 0
    for seed in range(count):
        chance = random.Random(seed)
        channels = {"a": DeltaChannel(), "b": DeltaChannel()}
        text = "".join(chr(chance.randrange(32, 0x2000)) for _ in range(3 * MIN_TEXT_LENGTH))
        in_transit: list[tuple[str, str, dict[str, Any], dict[str, Any] | None]] = []
        for _ in range(120):
            sender, to = chance.choice(("ab", "ba"))
            place, length = chance.randrange(len(text)), chance.randrange(40)
            put = chance.choice(("x", "longer, ", "\ud800")) * (length // 8)
            text = text[:place] + put + text[place + length // 2 :]
            text = text if len(text) >= MIN_TEXT_LENGTH else text * 3
            message = {
                "kind": "append",
                "entries": [["config", {"text": text, "revision": place}, "a", 1, 2]],
            }
            for frame in channels[sender].send(to, message):
                in_transit.append(
                    (sender, to, frame, message if frame["kind"] == "chain" else None)
                )
            while in_transit and chance.random() < 0.8:
                origin, receiver, frame, original = in_transit.pop(0)
                wire = json.dumps(frame)
                if chance.random() < 0.1:
                    continue
                body, replies = channels[receiver].receive(origin, True, json.loads(wire))
                in_transit.extend((receiver, origin, reply, None) for reply in replies)
                if body is not None:
                    assert body == original, seed
                    received, received_short = (
                        received + 1,
                        received_short + (len(wire) < MIN_TEXT_LENGTH),
                    )
            if chance.random() < 0.03:
                restarted, other = chance.choice(("ab", "ba"))
                channels[restarted] = DeltaChannel()
                channels[other].connection_lost(restarted)
    assert received > 30 * count and received_short > 20 * count, (received, received_short)


@then("a member that announces no texts is sent whole texts, and its whole texts are accepted")
def _(context: Any) -> None:
    channel, text = DeltaChannel(), "route, " * MIN_TEXT_LENGTH
    for number in range(3):
        message = {"kind": "put", "value": {"text": text + str(number)}}
        *greetings, frame = channel.send("old", message)
        assert frame == {"kind": "chain", "body": message} and all(
            greeting["kind"] == "holds" for greeting in greetings
        )
        assert channel.receive("old", True, json.loads(json.dumps(frame))) == (message, [])


@then("deltas that are corrupted in any part have no effect")
def _(context: Any) -> None:
    chance = random.Random(1)
    old, new = configuration(40, 1), configuration(40, 2, 7)
    delta, digest = encode_delta(old, new), text_digest(new)
    for _ in range(2000):
        place = chance.randrange(len(delta))
        garbled = (
            delta[:place]
            + chance.choice("AbC9+/=\u00e9") * chance.randrange(3)
            + delta[place + 1 :]
        )
        assert apply_delta(old, garbled, digest) in (None, new)
    codec, base = DeltaCodec(), TextCache().add(old)
    codec.texts.add(old)
    for junk in (
        None,
        1,
        [],
        [1],
        [digest],
        [digest, base],
        [digest, base, 5],
        [digest, base, ""],
        [[digest], base, delta],
        [digest, [base], delta],
        [digest, "x", delta],
        [digest[:-1], base, delta],
        {},
        "x" * 5000,
    ):
        try:
            codec.decode("a", {"put": {TEXT_KEY: junk}})
            raise AssertionError(junk)
        except MissingTextError:
            pass
    assert codec.decode("a", {"put": {TEXT_KEY: [digest, base, delta]}}) == {"put": new}


@given("a proxy in which a configuration of 40 routes is in force")
def _(context: Any) -> None:
    context.proxy = Proxy(parse_node_settings(SETTINGS.encode()), random.Random(1))
    context.configuration = configuration(40, 1)
    context.proxy.controllers.take_configuration({"kind": "body", "text": context.configuration})
    assert context.proxy.requests.routes.revision == 1


def next_pull(context: Any) -> dict[str, Any]:
    subscriber = context.proxy.controllers.subscriber
    (name,) = subscriber.sources
    offered_revision = subscriber.revision + 1
    subscriber.receive_update(
        10**9 * offered_revision,
        name,
        {
            "life": 7,
            "number": 0,
            "machines": [],
            "register": [1, offered_revision],
            "keys": {},
            "everyone": [name],
            "firm": True,
            "revision": offered_revision,
            "head": name,
            "fronts": [],
        },
    )
    return subscriber.make_pull(10**9 * offered_revision, name)


@when("the proxy receives the next configuration as a delta")
def _(context: Any) -> None:
    new, held = configuration(40, 2, 9), DeltaCodec()
    pull = next_pull(context)
    assert pull["want"] and pull["base"] == held.texts.add(context.configuration)
    context.change = held.make_delta(pull["base"], new)
    context.proxy.controllers.take_configuration({"kind": "body", "delta": context.change})
    context.configuration = new


@then("the next configuration is in force in the proxy")
def _(context: Any) -> None:
    assert (
        context.proxy.requests.routes.revision == 2
        and context.proxy.controllers.configuration_text == context.configuration
    )


@when("the proxy receives the same delta again, because it asked another member too")
def _(context: Any) -> None:
    context.proxy.controllers.take_configuration({"kind": "body", "delta": context.change})


@then(
    "the next configuration is in force in the proxy, and the one after it may be sent as a delta"
)
def _(context: Any) -> None:
    assert (
        context.proxy.requests.routes.revision == 2
        and context.proxy.controllers.configuration_text == context.configuration
    )
    assert next_pull(context)["base"] == text_digest(context.configuration)


@when("the proxy receives deltas that are malformed or have another base")
def _(context: Any) -> None:
    held = DeltaCodec()
    change = held.make_delta(held.texts.add(configuration(41, 1)), configuration(40, 3))
    for delta in (
        change,
        change[:2],
        None,
        "x",
        [change[0], context.proxy.controllers.subscriber.base_digest, change[2]],
    ):
        context.proxy.controllers.take_configuration({"kind": "body", "delta": delta})
        assert context.proxy.requests.routes.revision == 2


@then("the proxy requests the whole configuration, and applies it")
def _(context: Any) -> None:
    pull = next_pull(context)
    assert pull["want"] and "base" not in pull
    context.proxy.controllers.take_configuration({"kind": "body", "text": configuration(40, 3)})
    assert context.proxy.requests.routes.revision == 3 and next_pull(context)[
        "base"
    ] == text_digest(context.proxy.controllers.configuration_text)


class PullSimulation:
    """A proxy that pulls updates from members, in steps of 10 ms; the network has no delay."""

    def __init__(self, members: int, silent: int) -> None:
        self.names = [f"m{n}" for n in range(members)]
        self.reader, self.now = Subscriber(self.names), 0
        self.publishers = {name: Publisher() for name in self.names}
        first = self.reader._primary()
        self.silent = (
            {first, *[name for name in self.names if name != first][: silent - 1]}
            if silent
            else set()
        )
        self.version, self.urgent_version, self.revision = (1, 0), (1, 0), 1
        self.outdated: set[str] = set()
        self.updates: list[tuple[int, str, tuple[int, int]]] = []
        self.reader.revision = 1
        self.run(2 * PULL_TIMEOUT_US)

    def run(self, span: int) -> None:
        for _ in range(span // 10_000):
            self.now += 10_000
            for name in self.reader.due_pulls(self.now):
                pull = json.loads(json.dumps(self.reader.make_pull(self.now, name)))
                if name not in self.silent:
                    self.publishers[name].add_pull(self.now, name, pull)
            for name, publisher in self.publishers.items():
                known = (
                    ((1, 0), (1, 0), 1)
                    if name in self.outdated
                    else (self.version, self.urgent_version, self.revision)
                )
                for _, _ in publisher.take_due(self.now, 7, 0, known[0], known[2], known[1]):
                    self.updates.append((self.now, name, known[0]))
                    self.reader.receive_update(
                        self.now,
                        name,
                        {
                            "life": 7,
                            "number": 0,
                            "machines": [],
                            "register": list(known[0]),
                            "keys": {},
                            "everyone": self.names,
                            "firm": True,
                            "revision": known[2],
                            "head": "m0",
                            "fronts": [],
                        },
                    )
                    self.reader.revision = max(self.reader.revision, known[2])


@given("a proxy that pulls from {members:d} members, of which {silent:d} do not answer")
def _(context: Any, members: int, silent: int) -> None:
    context.simulation = PullSimulation(members, silent)


@when("the members learn of {news}")
def _(context: Any, news: str) -> None:
    simulation: PullSimulation = context.simulation
    simulation.updates.clear()
    simulation.version = (1, 1)
    if news == "a roll-out":
        simulation.urgent_version = (1, 1)
    else:
        simulation.revision = 2
    if "but for" in news:
        simulation.outdated = {simulation.reader._primary()}
    context.since = simulation.now


@then(
    "the proxy first learns of it within {ms:d} ms, and from {count:d} members within {late:d} ms"
)
def _(context: Any, ms: int, late: int, count: int) -> None:
    simulation: PullSimulation = context.simulation
    simulation.run(late * MILLISECOND)
    heard = [(at, name) for at, name, version in simulation.updates if version == (1, 1)]
    assert heard[0][0] - context.since <= ms * MILLISECOND, heard
    assert len({name for _, name in heard}) == count, heard


@then("the proxy learns of it from all members that answer within {ms:d} ms, or no longer needs it")
def _(context: Any, ms: int) -> None:
    simulation: PullSimulation = context.simulation
    simulation.run(ms * MILLISECOND)
    assert simulation.reader.version == (1, 1) and simulation.reader.revision == simulation.revision
    assert {name for _, name, _ in simulation.updates} == set(simulation.names) - simulation.silent


class BodyPullSimulation(PullSimulation):
    """A PullSimulation with configuration bodies.

    A member that is asked sends the body if it runs and has a newer configuration than the proxy.
    """

    def __init__(
        self, members: int, gone: int, behind: int, lost: bool, chance: random.Random
    ) -> None:
        self.gone: set[str] = set()
        self.lost, self.tick = lost, chance.randrange(5)
        super().__init__(members, 0)
        self.reader.salt = chance.getrandbits(32)
        chance.shuffle(self.names)
        self.gone, self.outdated = {*self.names[:gone]}, {*self.names[gone : gone + behind]}
        self.run(chance.randrange(200, 300) * 10_000)

    def run(self, span: int) -> None:
        for _ in range(span // 10_000):
            self.now += 10_000
            for name in (
                self.reader.due_pulls(self.now) if self.now // 10_000 % 5 == self.tick else ()
            ):
                self.pull(name)
            for name, publisher in self.publishers.items():
                known = (
                    ((1, 0), (1, 0), 1)
                    if name in self.outdated
                    else (self.version, self.urgent_version, self.revision)
                )
                for _, pull in publisher.take_due(self.now, 7, 0, known[0], known[2], known[1]):
                    self.answer(name, pull, *known)

    def pull(self, name: str) -> None:
        pull = self.reader.make_pull(self.now, name)
        if name in self.gone:
            self.reader.pull_failed(self.now, name)
        else:
            self.publishers[name].add_pull(self.now, name, pull)

    def answer(
        self, name: str, pull: PullRequest, version: tuple[int, int], _: Any, revision: int
    ) -> None:
        if name in self.gone:
            return
        heard = self.reader.receive_update(
            self.now,
            name,
            {
                "life": 7,
                "number": 0,
                "machines": [],
                "register": list(version),
                "keys": {},
                "everyone": self.names,
                "firm": name not in self.outdated,
                "revision": revision,
                "head": "m0",
                "fronts": [],
            },
        )
        if pull.wants_body and revision > pull.revision:
            self.reader.revision = revision
        if heard is not None and heard.wants_body:
            if self.lost:
                self.lost, self.gone = False, self.gone | {name}
            self.pull(name)


@then(
    "a proxy that asks {members:d} members, {gone} gone and {behind} behind, holds the newer of two configurations "
    "within {ms:d} ms, {condition}"
)
def _(context: Any, members: int, gone: str, behind: str, ms: int, condition: str) -> None:
    chance = random.Random(5)
    for _ in range(100):
        simulation = BodyPullSimulation(
            members, int(gone), int(behind), "lost" in condition, chance
        )
        for version in ((1, 1), (1, 2)):
            simulation.version, simulation.revision = version, 1 + version[1]
            simulation.run(100 * MILLISECOND)
        simulation.run((ms - 100) * MILLISECOND)
        assert simulation.reader.revision == 3, (
            simulation.reader.revision,
            simulation.gone,
            simulation.outdated,
        )


@then("a member's pull is not answered early for a configuration, and requests no body")
def _(context: Any) -> None:
    reader, publisher = Subscriber(["a", "b", "c"], "a"), Publisher()
    for name in reader.due_pulls(0):
        pull = reader.make_pull(0, name)
        assert not pull["first"]
        publisher.add_pull(0, name, pull | {"life": 7})
    assert not publisher.take_due(LONG_POLL_TIMEOUT_US - 1, 7, 0, (1, 1), 2, (0, 0))
    assert len(publisher.take_due(LONG_POLL_TIMEOUT_US, 7, 0, (1, 1), 2, (0, 0))) == 2
    for name in ("b", "c"):
        heard = reader.receive_update(
            LONG_POLL_TIMEOUT_US,
            name,
            {
                "life": 7,
                "number": 0,
                "machines": [],
                "register": [1, 1],
                "keys": {},
                "everyone": ["a", "b", "c"],
                "firm": True,
                "revision": 2,
                "head": "b",
                "fronts": [],
            },
        )
        assert (
            heard is not None
            and not heard.wants_body
            and "want" not in reader.make_pull(2 * LONG_POLL_TIMEOUT_US, name)
        )

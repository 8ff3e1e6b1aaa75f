"""Steps of catching up: see tests/gateway/long_world.py for members in virtual time."""

import json
import random
from typing import Any

from behave import given, then, when

from tests.gateway.long_world import SECOND, LongWorld, configuration, streamed
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


@given("a long world of {members:d} members, with a change of {size:d} bytes each {ms:d} ms")
def _(context: Any, members: int, size: int, ms: int) -> None:
    more: dict[str, int] = {"rate": 1_300_000, "size": size, "disk": 35_000_000} if size else {}
    context.long = streamed(7 + members, members, **more)
    context.long.stream.epochs.clear()
    context.long.flow(ms * MILLISECOND)
    context.long.run(2 * SECOND)


@when("in the long world member {ill:d} {trouble}")
def _(context: Any, ill: int, trouble: str) -> None:
    world: LongWorld = context.long
    name = context.ill = world.names[ill - 1]
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
    "in the long world no change waited more than {wait:d} ms, in at most {views:d} views, and all is healthy"
)
def _(context: Any, wait: int, views: int) -> None:
    stream = context.long.stream
    assert max(stream.waits) <= wait * MILLISECOND, max(stream.waits)
    assert len(stream.epochs) <= views, stream.epochs
    context.long.check()


@then("in the long world that member is back within {back:d} ms")
def _(context: Any, back: int) -> None:
    world: LongWorld = context.long
    assert world.run(back * MILLISECOND, lambda: not world.behind(context.ill))
    world.streaming = 0
    world.run(3 * SECOND)
    assert world.stream.told == world.stream.sent


@when("in the long world every disk is 30 times slower")
def _(context: Any) -> None:
    for machine in context.long.machines.values():
        machine.mode = "slow"
    context.long.run(20 * SECOND)


@then("in the long world the chain stays whole")
def _(context: Any) -> None:
    world: LongWorld = context.long
    assert len(world.stream.epochs) == 1 and world.stream.told >= 8, world.stream
    assert max(world.stream.waits) < 5 * SECOND, max(world.stream.waits)


@when("in the long world every disk was slow three times, and the head is killed")
def _(context: Any) -> None:
    world: LongWorld = context.long
    for rest in (4, 4, 0.5):  # s; slow again soon after, a disk counts as slow for longer
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


@then("in the long world changes are acknowledged again within {ms:d} ms")
def _(context: Any, ms: int) -> None:
    world: LongWorld = context.long
    told = world.stream.told
    assert world.run(ms * MILLISECOND, lambda: world.stream.told >= told + 3), world.stream
    world.check()


@then(
    "a disk that is slow in every fifth write only is well for a shorter and shorter part of the time"
)
def _(context: Any) -> None:
    """Slow in two writes after another of ten, each third second, tried as a member tries it."""
    disk, now, well = WriteQueue(), 0, []
    for number in range(1200):
        disk.enqueue({"a": b"1"}, "any", lambda: None)
        write = disk.start(now)
        assert write
        now += 600 * MILLISECOND if number % 10 < 2 else 20 * MILLISECOND
        disk.written(now, write.token)
        for _ in range(10):
            well.append(disk.healthy(now))
            now += 30 * MILLISECOND
    half = len(well) // 2
    assert sum(well[:half]) < 0.2 * half and not any(well[half:]), (
        sum(well[:half]),
        sum(well[half:]),
        half,
    )


@then(
    "one changed route of {routes:d} is told by at most {most:d} bytes, and comes out byte for byte"
)
def _(context: Any, routes: int, most: int) -> None:
    old, new = configuration(routes, 1), configuration(routes, 2, routes // 2)
    made = encode_delta(old, new)
    assert len(made) <= most, len(made)
    assert apply_delta(old, made, text_digest(new)) == new
    assert apply_delta(new, made, text_digest(new)) != old


@then(
    "over {count:d} histories two members take just what the other sent, with frames lost and lives renewed"
)
def _(context: Any, count: int) -> None:
    came = short = 0
    for seed in range(count):
        chance = random.Random(seed)
        ends = {"a": DeltaChannel(), "b": DeltaChannel()}
        text = "".join(chr(chance.randrange(32, 0x2000)) for _ in range(3 * MIN_TEXT_LENGTH))
        on_way: list[tuple[str, str, dict[str, Any], dict[str, Any] | None]] = []
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
            for frame in ends[sender].send(to, message):
                on_way.append((sender, to, frame, message if frame["kind"] == "chain" else None))
            while on_way and chance.random() < 0.8:
                one, other, frame, meant = on_way.pop(0)
                wire = json.dumps(frame)
                if chance.random() < 0.1:
                    continue
                body, replies = ends[other].receive(one, True, json.loads(wire))
                on_way.extend((other, one, reply, None) for reply in replies)
                if body is not None:
                    assert body == meant, seed
                    came, short = came + 1, short + (len(wire) < MIN_TEXT_LENGTH)
            if chance.random() < 0.03:
                renewed, other = chance.choice(("ab", "ba"))
                ends[renewed] = DeltaChannel()
                ends[other].connection_lost(renewed)
    assert came > 30 * count and short > 20 * count, (came, short)


@then("one that never greets is sent texts whole, and its whole texts are taken")
def _(context: Any) -> None:
    ours, text = DeltaChannel(), "route, " * MIN_TEXT_LENGTH
    for number in range(3):
        message = {"kind": "put", "value": {"text": text + str(number)}}
        *greetings, frame = ours.send("old", message)
        assert frame == {"kind": "chain", "body": message} and all(
            one["kind"] == "holds" for one in greetings
        )
        assert ours.receive("old", True, json.loads(json.dumps(frame))) == (message, [])


@then("changes that are garbled in any part come to nothing")
def _(context: Any) -> None:
    chance = random.Random(1)
    old, new = configuration(40, 1), configuration(40, 2, 7)
    made, digest = encode_delta(old, new), text_digest(new)
    for _ in range(2000):
        place = chance.randrange(len(made))
        garbled = (
            made[:place] + chance.choice("AbC9+/=\u00e9") * chance.randrange(3) + made[place + 1 :]
        )
        assert apply_delta(old, garbled, digest) in (None, new)
    packer, base = DeltaCodec(), TextCache().add(old)
    packer.texts.add(old)
    for junk in (
        None,
        1,
        [],
        [1],
        [digest],
        [digest, base],
        [digest, base, 5],
        [digest, base, ""],
        [[digest], base, made],
        [digest, [base], made],
        [digest, "x", made],
        [digest[:-1], base, made],
        {},
        "x" * 5000,
    ):
        try:
            packer.decode("a", {"put": {TEXT_KEY: junk}})
            raise AssertionError(junk)
        except MissingTextError:
            pass
    assert packer.decode("a", {"put": {TEXT_KEY: [digest, base, made]}}) == {"put": new}


@given("a front in which a configuration of 40 routes is in force")
def _(context: Any) -> None:
    context.front = Proxy(parse_node_settings(SETTINGS.encode()), random.Random(1))
    context.configuration = configuration(40, 1)
    context.front.controllers.take_configuration({"kind": "body", "text": context.configuration})
    assert context.front.requests.routes.revision == 1


def wanted(context: Any) -> dict[str, Any]:
    pulls = context.front.controllers.subscriber
    (name,) = pulls.sources
    offered = pulls.revision + 1
    pulls.receive_update(
        10**9 * offered,
        name,
        {
            "life": 7,
            "number": 0,
            "machines": [],
            "register": [1, offered],
            "keys": {},
            "everyone": [name],
            "firm": True,
            "revision": offered,
            "head": name,
            "fronts": [],
        },
    )
    return pulls.make_pull(10**9 * offered, name)


@when("the front is told the next one by what it changes")
def _(context: Any) -> None:
    new, held = configuration(40, 2, 9), DeltaCodec()
    pull = wanted(context)
    assert pull["want"] and pull["base"] == held.texts.add(context.configuration)
    context.change = held.make_delta(pull["base"], new)
    context.front.controllers.take_configuration({"kind": "body", "delta": context.change})
    context.configuration = new


@then("the next one is in force in the front")
def _(context: Any) -> None:
    assert (
        context.front.requests.routes.revision == 2
        and context.front.controllers.configuration_text == context.configuration
    )


@when("the front is told that one again, as another member was asked for it too")
def _(context: Any) -> None:
    context.front.controllers.take_configuration({"kind": "body", "delta": context.change})


@then("the next one is in force in the front, and the one after it may be told by what it changes")
def _(context: Any) -> None:
    assert (
        context.front.requests.routes.revision == 2
        and context.front.controllers.configuration_text == context.configuration
    )
    assert wanted(context)["base"] == text_digest(context.configuration)


@when("the front is told one by what it changes against another base")
def _(context: Any) -> None:
    held = DeltaCodec()
    change = held.make_delta(held.texts.add(configuration(41, 1)), configuration(40, 3))
    for told in (
        change,
        change[:2],
        None,
        "x",
        [change[0], context.front.controllers.subscriber.base_digest, change[2]],
    ):
        context.front.controllers.take_configuration({"kind": "body", "delta": told})
        assert context.front.requests.routes.revision == 2


@then("the front asks for the whole, and takes it")
def _(context: Any) -> None:
    pull = wanted(context)
    assert pull["want"] and "base" not in pull
    context.front.controllers.take_configuration({"kind": "body", "text": configuration(40, 3)})
    assert context.front.requests.routes.revision == 3 and wanted(context)["base"] == text_digest(
        context.front.controllers.configuration_text
    )


class Told:
    """A front's reader and members that tell, in steps of 10 ms; the network takes no time."""

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
        self.version, self.pressing, self.revision = (1, 0), (1, 0), 1
        self.ignorant: set[str] = set()
        self.heard: list[tuple[int, str, tuple[int, int]]] = []
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
                    if name in self.ignorant
                    else (self.version, self.pressing, self.revision)
                )
                for _, _ in publisher.take_due(self.now, 7, 0, known[0], known[2], known[1]):
                    self.heard.append((self.now, name, known[0]))
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


@given("a front that pulls from {members:d} members, of which {silent:d} do not answer")
def _(context: Any, members: int, silent: int) -> None:
    context.told = Told(members, silent)


@when("the members learn of {what}")
def _(context: Any, what: str) -> None:
    told: Told = context.told
    told.heard.clear()
    told.version = (1, 1)
    if what == "a roll-out":
        told.pressing = (1, 1)
    else:
        told.revision = 2
    if "but for" in what:
        told.ignorant = {told.reader._primary()}
    context.since = told.now


@then("the front hears it first within {ms:d} ms, and within {late:d} ms from {count:d} members")
def _(context: Any, ms: int, late: int, count: int) -> None:
    told: Told = context.told
    told.run(late * MILLISECOND)
    heard = [(at, name) for at, name, version in told.heard if version == (1, 1)]
    assert heard[0][0] - context.since <= ms * MILLISECOND, heard
    assert len({name for _, name in heard}) == count, heard


@then("the front hears it from all members that answer within {ms:d} ms or needs it no more")
def _(context: Any, ms: int) -> None:
    told: Told = context.told
    told.run(ms * MILLISECOND)
    assert told.reader.version == (1, 1) and told.reader.revision == told.revision
    assert {name for _, name, _ in told.heard} == set(told.names) - told.silent


class Asking(Told):
    """The same with bodies: they come from the one that was asked, if it has what the front lacks,
    and lives."""

    def __init__(
        self, members: int, gone: int, behind: int, lost: bool, chance: random.Random
    ) -> None:
        self.gone: set[str] = set()
        self.lost, self.tick = lost, chance.randrange(5)
        super().__init__(members, 0)
        self.reader.salt = chance.getrandbits(32)
        chance.shuffle(self.names)
        self.gone, self.ignorant = {*self.names[:gone]}, {*self.names[gone : gone + behind]}
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
                    if name in self.ignorant
                    else (self.version, self.pressing, self.revision)
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
                "firm": name not in self.ignorant,
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
    "a front that asks {members:d} members, {gone} gone and {behind} behind, holds the newer of two configurations "
    "within {ms:d} ms, {what}"
)
def _(context: Any, members: int, gone: str, behind: str, ms: int, what: str) -> None:
    chance = random.Random(5)
    for _ in range(100):
        asking = Asking(members, int(gone), int(behind), "lost" in what, chance)
        for version in ((1, 1), (1, 2)):
            asking.version, asking.revision = version, 1 + version[1]
            asking.run(100 * MILLISECOND)
        asking.run((ms - 100) * MILLISECOND)
        assert asking.reader.revision == 3, (asking.reader.revision, asking.gone, asking.ignorant)


@then(
    "a member's own pull is not answered for a configuration before its time, and asks for no body"
)
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

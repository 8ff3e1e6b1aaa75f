"""Subscribers and publishers in virtual time, among lost and late messages, restarts and a member
cut off."""

import heapq
import json
import random
from dataclasses import replace
from itertools import count as counting

from behave import then

from tests.gateway.proxy_inputs import CONTROLLER_ADDRESS, configuration, instances_update
from umbermoor.gateway.discovery.registry import (
    DRAINING,
    GONE,
    READY,
    InstanceRecord,
    InstanceRegistry,
    merge_records,
)
from umbermoor.gateway.distribution.publisher import Publisher
from umbermoor.gateway.distribution.subscriber import (
    FORGET_AFTER_US,
    LONG_POLL_TIMEOUT_US,
    Subscriber,
)

MS = 1000
TICK = 50 * MS
NAMES = "a", "b", "c"
FAULTS_END_AT = 20_000 * MS  # faults until then; afterwards the same time without


class Source:
    """A member as far as it publishes updates; what it answers is what the member's host answers."""

    def __init__(self, name, life):
        self.name = name
        self.version, self.keys, self.revision, self.firm = (0, 0), {}, 0, True
        self.start(life)

    def start(self, life):
        self.registry, self.publisher = InstanceRegistry(life, 1_500 * MS), Publisher()

    def answers(self, now):
        registry = self.registry
        for line, pull in self.publisher.take_due(
            now, registry.incarnation, registry.urgent_sequence, self.version, self.revision
        ):
            known = pull.sequence if pull.incarnation == registry.incarnation else -1
            yield (
                line,
                {
                    "kind": "news",
                    "life": registry.incarnation,
                    "number": registry.sequence,
                    "machines": registry.changes_after(known),
                    "register": list(self.version),
                    "keys": self.keys if pull.version != self.version else {},
                    "everyone": list(NAMES),
                    "head": "a",
                    "firm": self.firm,
                    "revision": self.revision,
                },
            )


class UpdateExchange:
    """Three members, one subscriber, and the faults between them."""

    def __init__(self, seed, what):
        self.rng, self.what, self.now = random.Random(seed), what, 0
        self.lives, self.order = counting(1), counting()
        self.members = {name: Source(name, next(self.lives)) for name in NAMES}
        self.subscriber = Subscriber([*NAMES])
        self.in_flight: list = []  # (when, order, what is called with the message, the message)
        self.truth: dict[str, InstanceRecord] = {}
        self.version, self.keys = (0, 0), {}
        self.cut: str | None = None
        self.confirmed_at = dict.fromkeys(
            NAMES, -(10**18)
        )  # when a confirmed answer of a member's came

    def has_fault(self, fault):
        return self.now < FAULTS_END_AT and self.what in (fault, "all of these")

    def carry(self, name, message, receive):
        if name == self.cut or (self.has_fault("lost answers") and self.rng.random() < 0.2):
            return
        late = self.rng.randint(1, 20) * MS
        if self.has_fault("late answers") and self.rng.random() < 0.3:
            late += self.rng.randint(0, 5000) * MS
        heapq.heappush(
            self.in_flight,
            (self.now + late, next(self.order), receive, json.loads(json.dumps(message))),
        )

    def heard(self, name, message):
        subscriber, rng = self.subscriber, self.rng
        before, held = (
            (subscriber.version, subscriber.revision, subscriber.newest_revision),
            dict(subscriber.instances),
        )
        heard = subscriber.receive_update(self.now, name, message)
        assert heard is not None
        if message["firm"]:
            self.confirmed_at[name] = self.now
        assert (subscriber.version, subscriber.revision, subscriber.newest_revision) >= before
        assert subscriber.version >= before[0] and subscriber.newest_revision >= before[2]
        for id, entry in held.items():
            new = subscriber.instances[id]
            assert new.sample >= entry.sample and (
                entry.state < DRAINING or new.state >= entry.state
            )
        assert {entry.id for entry in heard.instances} == {
            id for id, entry in subscriber.instances.items() if held.get(id) != entry
        }
        if heard.wants_body and rng.random() < 0.9:  # the body of the configuration came
            subscriber.revision = subscriber.newest_revision

    def happen(self):
        rng, members = self.rng, self.members
        if rng.random() < 0.3:  # a heartbeat, or a departure, at one member
            id = f"m{rng.randrange(9)}"
            old = self.truth.get(id)
            entry = InstanceRecord(
                id,
                "s",
                f"10.0.0.{len(id)}:80",
                "z",
                "v1",
                4,
                READY,
                0,
                old.sample + 1 if old else 1,
            )
            if (old and old.state >= DRAINING) or rng.random() < 0.05:
                entry = replace(entry, state=GONE if old and rng.random() < 0.3 else DRAINING)
            if not old or old.state != GONE:
                merge_records([entry], self.truth)
                if entry.state == GONE:
                    self.truth[id] = replace(self.truth[id], state=GONE)
                for name in rng.sample(NAMES, 2):  # what the members replicate reaches a majority
                    members[name].registry.observe(self.now, entry)
        if rng.random() < 0.05:
            self.version = self.version[0] + (rng.random() < 0.2), self.version[1] + 1
            self.keys = {**self.keys, f"k{rng.randrange(3)}": {"n": self.version[1]}}
            for name in rng.sample(NAMES, 2):
                self.pass_on(members[name])
        if rng.random() < 0.03:
            for name in rng.sample(NAMES, 2):
                members[name].revision = self.version[1]
        if self.has_fault("restarts") and rng.random() < 0.02:
            members[rng.choice(NAMES)].start(
                next(self.lives)
            )  # its instances are forgotten, its disk is not
        if self.has_fault("one cut off") and rng.random() < 0.02:
            self.cut = rng.choice((*NAMES, None))
        if self.now >= FAULTS_END_AT:
            self.cut = None
        for one in members.values():
            one.firm = one.name != self.cut

    def pass_on(self, member):
        member.version, member.keys = self.version, self.keys

    def settle(self):
        """Members replicated to each other, and instances sent heartbeats, as they do in time."""
        for member in self.members.values():
            self.pass_on(member)
            member.revision = max(one.revision for one in self.members.values())
            for entry in self.truth.values():
                member.registry.observe(self.now, entry)

    def play(self):
        subscriber, settled = self.subscriber, False
        while self.now < 2 * FAULTS_END_AT:
            self.now += TICK
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, receive, message = heapq.heappop(self.in_flight)
                receive(message)
            if self.now < FAULTS_END_AT:
                self.happen()
            elif not settled:
                self.happen()
                self.settle()
                settled = True
            for name in subscriber.due_pulls(self.now):
                pull, member = subscriber.make_pull(self.now, name), self.members[name]
                self.carry(
                    name,
                    pull,
                    lambda message, one=member: one.publisher.add_pull(self.now, "reader", message),
                )
            for name, member in self.members.items():
                for _, update in member.answers(self.now):
                    self.carry(name, update, lambda message, name=name: self.heard(name, message))
            for when in (self.now - 500 * MS, self.now - 2_000 * MS, self.now - 6_000 * MS):
                plain = sum(at >= when for at in self.confirmed_at.values())
                assert subscriber.confirmed_since(when) == (plain >= 2), (self.now, when)


@then(
    "a subscriber among {what} ends with all there is and never goes back, over {count:d} histories"
)
def _(context, what, count):
    gone = 0
    for seed in range(count):
        exchange = UpdateExchange(seed, what)
        exchange.play()
        subscriber = exchange.subscriber
        assert subscriber.instances.keys() == exchange.truth.keys(), seed
        for id, entry in exchange.truth.items():
            assert subscriber.instances[id].state == entry.state, (seed, id)
            assert entry.state == GONE or subscriber.instances[id] == entry, (
                seed,
                subscriber.instances[id],
                entry,
            )
            gone += entry.state == GONE
        assert subscriber.version == exchange.version and subscriber.records == exchange.keys, seed
        assert (
            subscriber.revision
            == subscriber.newest_revision
            == max(one.revision for one in exchange.members.values())
        ), seed
    assert gone


def update(subscriber, now, name, **odd):
    source = subscriber.sources.get(name)
    return {
        "kind": "news",
        "life": 7,
        "number": source.sequence if source else 0,
        "machines": [],
        "register": [0, 0],
        "keys": {},
        "everyone": ["a", "b", "c"],
        "head": "a",
        "firm": True,
        "revision": 0,
        **odd,
    }


@then(
    "a subscriber counts as confirmed exactly when a plain count says a majority was heard, over {count:d} histories"
)
def _(context, count):
    sure = 0
    for seed in range(count):
        rng, now = random.Random(seed), 0
        everyone = [f"m{number}" for number in range(rng.choice((1, 2, 3, 4, 5)))]
        me = rng.choice(("", everyone[0]))  # a proxy, or a member
        subscriber, confirmed, heard = Subscriber(everyone[:2], me), False, {}
        for _ in range(40):
            now += rng.randint(1, 900) * MS
            name, firm = rng.choice([*everyone, "stranger"]), rng.random() < 0.6
            known = name in subscriber.sources
            found = subscriber.receive_update(
                now, name, update(subscriber, now, name, everyone=everyone, firm=firm)
            )
            assert (found is not None) == known
            if known and firm:
                confirmed, heard[name] = True, now
            when = now - rng.randint(0, 3000) * MS
            plain = sum(at >= when for at in heard.values()) + (me in everyone)
            assert subscriber.confirmed_since(when) == (confirmed and plain > len(everyone) / 2), (
                seed
            )
            sure += subscriber.confirmed_since(when)
    assert sure > count


@then("a subscriber is left as it was by answers garbled in any field")
def _(context):
    entry = InstanceRecord("m", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1).to_wire()
    odd = None, "x", [], {}, -1e999, 1e999, [1], ["x", "y"], [1e999, 0]
    for field in ("life", "number", "register", "keys", "everyone", "revision"):
        for value in odd:
            subscriber = Subscriber(NAMES)
            message = update(subscriber, 0, "a", **{field: value})
            try:  # what cannot be read must not raise either
                found = subscriber.receive_update(0, "a", message)
            except OverflowError as error:
                raise AssertionError((field, value)) from error
            if found is None:
                assert (
                    subscriber.version,
                    subscriber.newest_revision,
                    subscriber.instances,
                    subscriber.knows_members,
                ) == (
                    (0, 0),
                    0,
                    {},
                    False,
                )
                assert subscriber.sources["a"].sequence == 0 and not subscriber.confirmed_since(0)
            broken = dict(message)
            del broken[field]
            assert subscriber.receive_update(0, "a", broken) is None
    subscriber = Subscriber(NAMES)
    for bad in (
        [],
        "m",
        [*entry[:-1], "1"],
        [*entry, 1],
        [None, *entry[1:]],
        [*entry[:6], 1.5, *entry[7:]],
    ):
        assert (
            subscriber.receive_update(0, "a", update(subscriber, 0, "a", machines=[bad])).instances
            == []
        )
    assert subscriber.receive_update(0, "a", update(subscriber, 0, "a", machines=7)).instances == []
    assert (
        subscriber.receive_update(0, "stranger", update(subscriber, 0, "a", machines=[entry]))
        is None
        and not subscriber.instances
    )
    assert [
        one.id
        for one in subscriber.receive_update(
            0, "a", update(subscriber, 0, "a", machines=[[], entry])
        ).instances
    ] == ["m"]


@then("a subscriber gets its answer while strangers pull with garbled numbers")
def _(context):
    good = {"kind": "pull", "life": 7, "number": 0, "register": [0, 0], "revision": 0}
    member = Source("a", 7)
    member.registry.observe(0, InstanceRecord("m", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1))
    member.revision = 3
    for field in ("life", "number", "register", "revision"):
        for value in (None, "x", "0", [], {}, 1e999, -1e999, ["0", "0"], [1e999, 0], [0], 2.5):
            for extra in ({}, {"want": True}):
                member.publisher.add_pull(0, "stranger", {**good, **extra, field: value})
                member.publisher.add_pull(0, "reader", dict(good))
                found = dict(member.answers(LONG_POLL_TIMEOUT_US))
                assert found["reader"]["machines"] and not member.publisher.waiting, (field, value)
                member.publisher.add_pull(0, "stranger", {**good, **extra, field: value})
                for _, kept in member.publisher.take_due(
                    LONG_POLL_TIMEOUT_US, 7, 0, (0, 0), 3
                ):  # what a host reckons with is whole
                    assert kept.revision < 4 and kept.sequence < 4 and len(kept.version) == 2, kept


@then(
    "a subscriber holds no instance that has not been ready for a minute, and those that came back"
)
def _(context):
    subscriber, second = Subscriber(["m"]), 1_000_000

    def deliver(now, number, *machines):
        subscriber.receive_update(
            now,
            "m",
            {
                "life": 1,
                "number": number,
                "register": [0, 0],
                "keys": {},
                "everyone": ["m"],
                "head": "m",
                "firm": True,
                "revision": 0,
                "machines": [
                    [id, "s", "1:1", "z", "v1", 1, state, 0, sample]
                    for id, state, sample in machines
                ],
            },
        )

    deliver(second, 1, ("stays", 0, 1), ("leaves", 0, 1), ("sleeps", 0, 1))
    deliver(2 * second, 2, ("leaves", 3, 2), ("sleeps", 1, 1))
    deliver(3 * second, 3, ("sleeps", 0, 2))
    assert (
        subscriber.forget_departed(2 * second + FORGET_AFTER_US) == []
        and len(subscriber.instances) == 3
    )
    assert subscriber.forget_departed(2 * second + FORGET_AFTER_US + 1) == ["leaves"]
    assert (
        sorted(subscriber.instances) == ["sleeps", "stays"]
        and subscriber.forget_departed(1000 * second) == []
    )


@then(
    "a subscriber that stalled counts answers to pulls from before as not confirmed, and takes their facts"
)
def _(context):
    subscriber = Subscriber(NAMES)
    for name in NAMES:
        subscriber.make_pull(0, name)
    assert subscriber.receive_update(100 * MS, "a", update(subscriber, 0, "a")).confirmed
    subscriber.mark_stalled()
    later, entry = (
        20_000 * MS,
        InstanceRecord("m", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1).to_wire(),
    )
    for name in "bc":
        heard = subscriber.receive_update(
            later,
            name,
            update(
                subscriber,
                later,
                name,
                machines=[entry],
                register=[5, 1],
                keys={"k": 1},
                head="old",
            ),
        )
        assert (
            not heard.confirmed
            and not subscriber.confirmed_since(later)
            and subscriber.head != "old"
        )
    assert subscriber.instances["m"].state == READY and subscriber.records == {
        "k": 1
    }  # committed once, it holds
    for name in NAMES:
        subscriber.make_pull(later, name)
        assert subscriber.receive_update(
            later + MS, name, update(subscriber, later, name, register=[5, 1])
        ).confirmed
    assert subscriber.confirmed_since(later)


@then("a subscriber takes a later replica set also from one that was taken out, and no earlier one")
def _(context):
    subscriber = Subscriber(["a", "b", "c"])
    subscriber.receive_update(0, "a", update(subscriber, 0, "a"))
    subscriber.receive_update(1, "b", update(subscriber, 1, "b", everyone=["b", "c", "d"], set=1))
    assert set(subscriber.sources) == {"b", "c", "d"}
    subscriber.receive_update(2, "c", update(subscriber, 2, "c"))
    subscriber.receive_update(3, "c", update(subscriber, 3, "c", firm=False, everyone=["x"], set=1))
    assert subscriber.members == ("b", "c", "d")
    subscriber.receive_update(
        4, "b", update(subscriber, 4, "b", firm=False, everyone=["c", "d", "e"], set=2)
    )
    assert subscriber.members == ("c", "d", "e") and not subscriber.confirmed_since(0)


@then(
    "a subscriber that has received nothing for {s:d} s asks its seeds again, those named later too"
)
def _(context, s):
    subscriber = Subscriber(["a", "b", "c"])
    assert set(subscriber.due_pulls(0)) == {"a", "b", "c"}
    subscriber.receive_update(1, "a", update(subscriber, 1, "a", everyone=["d", "e", "f"], set=4))
    subscriber.add_seed("g")
    for name in subscriber.due_pulls(2):
        subscriber.make_pull(2, name)
    assert set(subscriber.sources) == {"d", "e", "f"}
    assert set(subscriber.due_pulls(s * 1000 * MS)) == {"a", "b", "c", "d", "e", "f", "g"}
    subscriber.receive_update(
        s * 1000 * MS, "g", update(subscriber, s * 1000 * MS, "g", everyone=["g", "h", "i"], set=7)
    )
    assert set(subscriber.sources) == {"g", "h", "i"}


@then("a subscriber asks one for no configuration whose update takes it out of the replica set")
def _(context):
    subscriber = Subscriber(["a", "b", "c"])
    later = update(subscriber, 0, "a", everyone=["b", "c", "d"], set=1, revision=5)
    assert not subscriber.receive_update(0, "a", later).wants_body and "a" not in subscriber.sources
    assert subscriber.newest_revision == 5
    assert subscriber.receive_update(1, "b", update(subscriber, 1, "b", revision=5)).wants_body


def offer(loopback, number, revision):
    """A controller tells the proxy that it holds a revision; the pulls that it is sent at once."""
    sent = []
    loopback.proxy.controllers.peers.send = lambda address, message: sent.append(message)
    connection = type("Connection", (), {"peer": CONTROLLER_ADDRESS})
    update = instances_update(number, []) | {"revision": revision}
    loopback.proxy.controllers.receive(connection, update)
    return sent


@then(
    "a proxy that has revision {held:d} in force and is told of revision {offered:d} in that moment asks for it at once"
)
def _(context, held, offered):
    loopback = context.loopback
    assert [pull.get("want") for pull in offer(loopback, 2, held)] == [True]
    body = {"kind": "body", "text": json.dumps(configuration(held))}
    loopback.proxy.controllers.take_configuration(body)
    assert loopback.proxy.requests.routes.revision == held
    assert [pull.get("want") for pull in offer(loopback, 3, offered)] == [True]


@then("a proxy that waits for revision {offered:d} asks no other controller meanwhile")
def _(context, offered):
    assert offer(context.loopback, 4, offered) == []

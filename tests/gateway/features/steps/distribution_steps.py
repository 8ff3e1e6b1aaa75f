"""Subscribers and publishers in virtual time, with lost and late messages, restarts and a member
that is disconnected."""

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
FAULTS_END_AT = 20_000 * MS  # faults occur before this time; the same time without faults follows


class FakeMember:
    """A member that publishes updates; it answers pulls as the host of a member does."""

    def __init__(self, name, incarnation):
        self.name = name
        self.version, self.records, self.revision, self.confirmed = (0, 0), {}, 0, True
        self.start(incarnation)

    def start(self, incarnation):
        self.registry, self.publisher = InstanceRegistry(incarnation, 1_500 * MS), Publisher()

    def answers(self, now):
        registry = self.registry
        for connection, pull in self.publisher.take_due(
            now, registry.incarnation, registry.urgent_sequence, self.version, self.revision
        ):
            known_sequence = pull.sequence if pull.incarnation == registry.incarnation else -1
            yield (
                connection,
                {
                    "kind": "news",
                    "life": registry.incarnation,
                    "number": registry.sequence,
                    "machines": registry.changes_after(known_sequence),
                    "register": list(self.version),
                    "keys": self.records if pull.version != self.version else {},
                    "everyone": list(NAMES),
                    "head": "a",
                    "firm": self.confirmed,
                    "revision": self.revision,
                },
            )


class UpdateExchange:
    """A simulation of three members, one subscriber, and faults between them."""

    def __init__(self, seed, fault_kind):
        self.rng, self.fault_kind, self.now = random.Random(seed), fault_kind, 0
        self.incarnations, self.message_numbers = counting(1), counting()
        self.members = {name: FakeMember(name, next(self.incarnations)) for name in NAMES}
        self.subscriber = Subscriber([*NAMES])
        self.in_flight: list = []  # (delivery time, order, receiver, message)
        self.expected_instances: dict[str, InstanceRecord] = {}
        self.version, self.records = (0, 0), {}
        self.disconnected: str | None = None
        # When the last confirmed answer of each member arrived.
        self.confirmed_at = dict.fromkeys(NAMES, -(10**18))

    def has_fault(self, fault):
        return self.now < FAULTS_END_AT and self.fault_kind in (fault, "all faults")

    def send(self, name, message, receive):
        if name == self.disconnected or (
            self.has_fault("lost messages") and self.rng.random() < 0.2
        ):
            return
        delay = self.rng.randint(1, 20) * MS
        if self.has_fault("late messages") and self.rng.random() < 0.3:
            delay += self.rng.randint(0, 5000) * MS
        heapq.heappush(
            self.in_flight,
            (
                self.now + delay,
                next(self.message_numbers),
                receive,
                json.loads(json.dumps(message)),
            ),
        )

    def receive_answer(self, name, message):
        subscriber, rng = self.subscriber, self.rng
        before, instances_before = (
            (subscriber.version, subscriber.revision, subscriber.newest_revision),
            dict(subscriber.instances),
        )
        update = subscriber.receive_update(self.now, name, message)
        assert update is not None
        if message["firm"]:
            self.confirmed_at[name] = self.now
        assert (subscriber.version, subscriber.revision, subscriber.newest_revision) >= before
        assert subscriber.version >= before[0] and subscriber.newest_revision >= before[2]
        for id, record in instances_before.items():
            new = subscriber.instances[id]
            assert new.sample >= record.sample and (
                record.state < DRAINING or new.state >= record.state
            )
        assert {record.id for record in update.instances} == {
            id for id, record in subscriber.instances.items() if instances_before.get(id) != record
        }
        if update.wants_body and rng.random() < 0.9:  # the body of the configuration arrives
            subscriber.revision = subscriber.newest_revision

    def cause_random_events(self):
        rng, members = self.rng, self.members
        if rng.random() < 0.3:  # a heartbeat or a departure of one instance
            id = f"m{rng.randrange(9)}"
            old = self.expected_instances.get(id)
            record = InstanceRecord(
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
                record = replace(record, state=GONE if old and rng.random() < 0.3 else DRAINING)
            if not old or old.state != GONE:
                merge_records([record], self.expected_instances)
                if record.state == GONE:
                    self.expected_instances[id] = replace(self.expected_instances[id], state=GONE)
                for name in rng.sample(NAMES, 2):  # replicated records reach a majority
                    members[name].registry.observe(self.now, record)
        if rng.random() < 0.05:
            self.version = self.version[0] + (rng.random() < 0.2), self.version[1] + 1
            self.records = {**self.records, f"k{rng.randrange(3)}": {"n": self.version[1]}}
            for name in rng.sample(NAMES, 2):
                self.replicate_to(members[name])
        if rng.random() < 0.03:
            for name in rng.sample(NAMES, 2):
                members[name].revision = self.version[1]
        if self.has_fault("member restarts") and rng.random() < 0.02:
            # A restart loses the instances, but not what is on disk.
            members[rng.choice(NAMES)].start(next(self.incarnations))
        if self.has_fault("one member disconnected") and rng.random() < 0.02:
            self.disconnected = rng.choice((*NAMES, None))
        if self.now >= FAULTS_END_AT:
            self.disconnected = None
        for member in members.values():
            member.confirmed = member.name != self.disconnected

    def replicate_to(self, member):
        member.version, member.records = self.version, self.records

    def synchronize(self):
        """Bring all members up to date, as replication and heartbeats do in time."""
        for member in self.members.values():
            self.replicate_to(member)
            member.revision = max(other.revision for other in self.members.values())
            for record in self.expected_instances.values():
                member.registry.observe(self.now, record)

    def run(self):
        subscriber, settled = self.subscriber, False
        while self.now < 2 * FAULTS_END_AT:
            self.now += TICK
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, receive, message = heapq.heappop(self.in_flight)
                receive(message)
            if self.now < FAULTS_END_AT:
                self.cause_random_events()
            elif not settled:
                self.cause_random_events()
                self.synchronize()
                settled = True
            for name in subscriber.due_pulls(self.now):
                pull, member = subscriber.make_pull(self.now, name), self.members[name]
                self.send(
                    name,
                    pull,
                    lambda message, member=member: member.publisher.add_pull(
                        self.now, "reader", message
                    ),
                )
            for name, member in self.members.items():
                for _, update in member.answers(self.now):
                    self.send(
                        name, update, lambda message, name=name: self.receive_answer(name, message)
                    )
            for since in (self.now - 500 * MS, self.now - 2_000 * MS, self.now - 6_000 * MS):
                expected_count = sum(
                    confirmed_at >= since for confirmed_at in self.confirmed_at.values()
                )
                assert subscriber.confirmed_since(since) == (expected_count >= 2), (self.now, since)


@then("a subscriber with {fault} converges and never goes back, in {count:d} random histories")
def _(context, fault, count):
    gone_count = 0
    for seed in range(count):
        exchange = UpdateExchange(seed, fault)
        exchange.run()
        subscriber = exchange.subscriber
        assert subscriber.instances.keys() == exchange.expected_instances.keys(), seed
        for id, record in exchange.expected_instances.items():
            assert subscriber.instances[id].state == record.state, (seed, id)
            assert record.state == GONE or subscriber.instances[id] == record, (
                seed,
                subscriber.instances[id],
                record,
            )
            gone_count += record.state == GONE
        assert subscriber.version == exchange.version and subscriber.records == exchange.records, (
            seed
        )
        assert (
            subscriber.revision
            == subscriber.newest_revision
            == max(member.revision for member in exchange.members.values())
        ), seed
    assert gone_count


def update_message(subscriber, now, name, **fields):
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
        **fields,
    }


@then(
    "a subscriber is confirmed exactly if a reference count finds answers of a majority, in {count:d} random histories"
)
def _(context, count):
    confirmed_count = 0
    for seed in range(count):
        rng, now = random.Random(seed), 0
        members = [f"m{number}" for number in range(rng.choice((1, 2, 3, 4, 5)))]
        own_address = rng.choice(("", members[0]))  # a proxy or a member
        subscriber, knows_members, confirmed_at = Subscriber(members[:2], own_address), False, {}
        for _ in range(40):
            now += rng.randint(1, 900) * MS
            name, confirmed_answer = rng.choice([*members, "stranger"]), rng.random() < 0.6
            is_known = name in subscriber.sources
            update = subscriber.receive_update(
                now,
                name,
                update_message(subscriber, now, name, everyone=members, firm=confirmed_answer),
            )
            assert (update is not None) == is_known
            if is_known and confirmed_answer:
                knows_members, confirmed_at[name] = True, now
            since = now - rng.randint(0, 3000) * MS
            expected_count = sum(answered_at >= since for answered_at in confirmed_at.values()) + (
                own_address in members
            )
            assert subscriber.confirmed_since(since) == (
                knows_members and expected_count > len(members) / 2
            ), seed
            confirmed_count += subscriber.confirmed_since(since)
    assert confirmed_count > count


@then("a subscriber is not changed by answers that are malformed in any field")
def _(context):
    wire_record = InstanceRecord("m", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1).to_wire()
    malformed_values = None, "x", [], {}, -1e999, 1e999, [1], ["x", "y"], [1e999, 0]
    for field in ("life", "number", "register", "keys", "everyone", "revision"):
        for value in malformed_values:
            subscriber = Subscriber(NAMES)
            message = update_message(subscriber, 0, "a", **{field: value})
            try:  # a malformed answer must not raise an exception either
                update = subscriber.receive_update(0, "a", message)
            except OverflowError as error:
                raise AssertionError((field, value)) from error
            if update is None:
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
            incomplete = dict(message)
            del incomplete[field]
            assert subscriber.receive_update(0, "a", incomplete) is None
    subscriber = Subscriber(NAMES)
    for malformed_record in (
        [],
        "m",
        [*wire_record[:-1], "1"],
        [*wire_record, 1],
        [None, *wire_record[1:]],
        [*wire_record[:6], 1.5, *wire_record[7:]],
    ):
        assert (
            subscriber.receive_update(
                0, "a", update_message(subscriber, 0, "a", machines=[malformed_record])
            ).instances
            == []
        )
    assert (
        subscriber.receive_update(0, "a", update_message(subscriber, 0, "a", machines=7)).instances
        == []
    )
    assert (
        subscriber.receive_update(
            0, "stranger", update_message(subscriber, 0, "a", machines=[wire_record])
        )
        is None
        and not subscriber.instances
    )
    assert [
        record.id
        for record in subscriber.receive_update(
            0, "a", update_message(subscriber, 0, "a", machines=[[], wire_record])
        ).instances
    ] == ["m"]


@then("a subscriber gets its answer while other connections send malformed pulls")
def _(context):
    valid_pull = {"kind": "pull", "life": 7, "number": 0, "register": [0, 0], "revision": 0}
    member = FakeMember("a", 7)
    member.registry.observe(0, InstanceRecord("m", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1))
    member.revision = 3
    for field in ("life", "number", "register", "revision"):
        for value in (None, "x", "0", [], {}, 1e999, -1e999, ["0", "0"], [1e999, 0], [0], 2.5):
            for extra in ({}, {"want": True}):
                member.publisher.add_pull(0, "stranger", {**valid_pull, **extra, field: value})
                member.publisher.add_pull(0, "reader", dict(valid_pull))
                answers = dict(member.answers(LONG_POLL_TIMEOUT_US))
                assert answers["reader"]["machines"] and not member.publisher.waiting, (
                    field,
                    value,
                )
                member.publisher.add_pull(0, "stranger", {**valid_pull, **extra, field: value})
                # Pulls that are passed to the host are well formed.
                for _, pull in member.publisher.take_due(LONG_POLL_TIMEOUT_US, 7, 0, (0, 0), 3):
                    assert pull.revision < 4 and pull.sequence < 4 and len(pull.version) == 2, pull


@then(
    "a subscriber forgets an instance that has not been ready for a minute, and keeps one that became ready again"
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
    "a subscriber that was stalled counts answers to earlier pulls as not confirmed, but applies their records"
)
def _(context):
    subscriber = Subscriber(NAMES)
    for name in NAMES:
        subscriber.make_pull(0, name)
    assert subscriber.receive_update(100 * MS, "a", update_message(subscriber, 0, "a")).confirmed
    subscriber.mark_stalled()
    later, wire_record = (
        20_000 * MS,
        InstanceRecord("m", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1).to_wire(),
    )
    for name in "bc":
        update = subscriber.receive_update(
            later,
            name,
            update_message(
                subscriber,
                later,
                name,
                machines=[wire_record],
                register=[5, 1],
                keys={"k": 1},
                head="old",
            ),
        )
        assert (
            not update.confirmed
            and not subscriber.confirmed_since(later)
            and subscriber.head != "old"
        )
    # Committed records are applied even from an answer that may be old.
    assert subscriber.instances["m"].state == READY and subscriber.records == {"k": 1}
    for name in NAMES:
        subscriber.make_pull(later, name)
        assert subscriber.receive_update(
            later + MS, name, update_message(subscriber, later, name, register=[5, 1])
        ).confirmed
    assert subscriber.confirmed_since(later)


@then("a subscriber accepts a later replica set even from a removed member, and no earlier one")
def _(context):
    subscriber = Subscriber(["a", "b", "c"])
    subscriber.receive_update(0, "a", update_message(subscriber, 0, "a"))
    subscriber.receive_update(
        1, "b", update_message(subscriber, 1, "b", everyone=["b", "c", "d"], set=1)
    )
    assert set(subscriber.sources) == {"b", "c", "d"}
    subscriber.receive_update(2, "c", update_message(subscriber, 2, "c"))
    subscriber.receive_update(
        3, "c", update_message(subscriber, 3, "c", firm=False, everyone=["x"], set=1)
    )
    assert subscriber.members == ("b", "c", "d")
    subscriber.receive_update(
        4, "b", update_message(subscriber, 4, "b", firm=False, everyone=["c", "d", "e"], set=2)
    )
    assert subscriber.members == ("c", "d", "e") and not subscriber.confirmed_since(0)


@then(
    "a subscriber that has received nothing for {seconds:d} s pulls from its seeds again, including those added later"
)
def _(context, seconds):
    subscriber = Subscriber(["a", "b", "c"])
    assert set(subscriber.due_pulls(0)) == {"a", "b", "c"}
    subscriber.receive_update(
        1, "a", update_message(subscriber, 1, "a", everyone=["d", "e", "f"], set=4)
    )
    subscriber.add_seed("g")
    for name in subscriber.due_pulls(2):
        subscriber.make_pull(2, name)
    assert set(subscriber.sources) == {"d", "e", "f"}
    assert set(subscriber.due_pulls(seconds * 1000 * MS)) == {"a", "b", "c", "d", "e", "f", "g"}
    subscriber.receive_update(
        seconds * 1000 * MS,
        "g",
        update_message(subscriber, seconds * 1000 * MS, "g", everyone=["g", "h", "i"], set=7),
    )
    assert set(subscriber.sources) == {"g", "h", "i"}


@then(
    "a subscriber requests no configuration from a member whose update removes it from the replica set"
)
def _(context):
    subscriber = Subscriber(["a", "b", "c"])
    later = update_message(subscriber, 0, "a", everyone=["b", "c", "d"], set=1, revision=5)
    assert not subscriber.receive_update(0, "a", later).wants_body and "a" not in subscriber.sources
    assert subscriber.newest_revision == 5
    assert subscriber.receive_update(
        1, "b", update_message(subscriber, 1, "b", revision=5)
    ).wants_body


def offer(loopback, number, revision):
    """Offer a revision to the proxy; return the pulls that the proxy sends immediately."""
    sent = []
    loopback.proxy.controllers.peers.send = lambda address, message: sent.append(message)
    connection = type("Connection", (), {"peer": CONTROLLER_ADDRESS})
    update = instances_update(number, []) | {"revision": revision}
    loopback.proxy.controllers.receive(connection, update)
    return sent


@then(
    "a proxy that has just applied revision {applied:d} and is offered revision {offered:d} requests it immediately"
)
def _(context, applied, offered):
    loopback = context.loopback
    assert [pull.get("want") for pull in offer(loopback, 2, applied)] == [True]
    body = {"kind": "body", "text": json.dumps(configuration(applied))}
    loopback.proxy.controllers.take_configuration(body)
    assert loopback.proxy.requests.routes.revision == applied
    assert [pull.get("want") for pull in offer(loopback, 3, offered)] == [True]


@then("a proxy that waits for revision {offered:d} requests it from no other controller")
def _(context, offered):
    assert offer(context.loopback, 4, offered) == []

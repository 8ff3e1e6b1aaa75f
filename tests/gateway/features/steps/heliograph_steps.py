"""Readers and publishers of news in virtual time, among lost and late messages, new lives and a member
cut off."""

import heapq
import json
import random
from dataclasses import replace
from itertools import count as counting

from behave import then

from umbermoor.gateway.discovery.registry import (
    DRAINING,
    GONE,
    READY,
    InstanceRecord,
    InstanceRegistry,
    merge_records,
)
from umbermoor.gateway.distribution.publisher import Publisher
from umbermoor.gateway.distribution.subscriber import LONG_POLL_TIMEOUT_US, Subscriber

MS = 1000
TICK = 50 * MS
NAMES = "a", "b", "c"
TROUBLE = 20_000 * MS  # so long things go wrong; then the same time of calm


class Source:
    """A member as far as its news go; what it answers is what the member's host answers."""

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


class Hills:
    """Three members, one reader, and what goes wrong between them."""

    def __init__(self, seed, what):
        self.dice, self.what, self.now = random.Random(seed), what, 0
        self.lives, self.order = counting(1), counting()
        self.members = {name: Source(name, next(self.lives)) for name in NAMES}
        self.reader = Subscriber([*NAMES])
        self.row: list = []  # (when, order, what is called with the message, the message)
        self.truth: dict[str, InstanceRecord] = {}
        self.version, self.keys = (0, 0), {}
        self.cut: str | None = None
        self.firm_at = dict.fromkeys(NAMES, -(10**18))  # when a firm answer of a member's came

    def has(self, trouble):
        return self.now < TROUBLE and self.what in (trouble, "all of these")

    def carry(self, name, message, receive):
        if name == self.cut or (self.has("lost answers") and self.dice.random() < 0.2):
            return
        late = self.dice.randint(1, 20) * MS
        if self.has("late answers") and self.dice.random() < 0.3:
            late += self.dice.randint(0, 5000) * MS
        heapq.heappush(
            self.row, (self.now + late, next(self.order), receive, json.loads(json.dumps(message)))
        )

    def heard(self, name, message):
        reader, dice = self.reader, self.dice
        before, held = (
            (reader.version, reader.revision, reader.newest_revision),
            dict(reader.instances),
        )
        heard = reader.receive_update(self.now, name, message)
        assert heard is not None
        if message["firm"]:
            self.firm_at[name] = self.now
        assert (reader.version, reader.revision, reader.newest_revision) >= before
        assert reader.version >= before[0] and reader.newest_revision >= before[2]
        for id, entry in held.items():
            new = reader.instances[id]
            assert new.sample >= entry.sample and (
                entry.state < DRAINING or new.state >= entry.state
            )
        assert {entry.id for entry in heard.instances} == {
            id for id, entry in reader.instances.items() if held.get(id) != entry
        }
        if heard.wants_body and dice.random() < 0.9:  # the body of the configuration came
            reader.revision = reader.newest_revision

    def happen(self):
        dice, members = self.dice, self.members
        if dice.random() < 0.3:  # a beat, or a word of leaving, at one member
            id = f"m{dice.randrange(9)}"
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
            if (old and old.state >= DRAINING) or dice.random() < 0.05:
                entry = replace(entry, state=GONE if old and dice.random() < 0.3 else DRAINING)
            if not old or old.state != GONE:
                merge_records([entry], self.truth)
                if entry.state == GONE:
                    self.truth[id] = replace(self.truth[id], state=GONE)
                for name in dice.sample(
                    NAMES, 2
                ):  # what is told among the members reaches a majority
                    members[name].registry.observe(self.now, entry)
        if dice.random() < 0.05:
            self.version = self.version[0] + (dice.random() < 0.2), self.version[1] + 1
            self.keys = {**self.keys, f"k{dice.randrange(3)}": {"n": self.version[1]}}
            for name in dice.sample(NAMES, 2):
                self.pass_on(members[name])
        if dice.random() < 0.03:
            for name in dice.sample(NAMES, 2):
                members[name].revision = self.version[1]
        if self.has("new lives") and dice.random() < 0.02:
            members[dice.choice(NAMES)].start(
                next(self.lives)
            )  # its machines are forgotten, its disk is not
        if self.has("one cut off") and dice.random() < 0.02:
            self.cut = dice.choice((*NAMES, None))
        if self.now >= TROUBLE:
            self.cut = None
        for one in members.values():
            one.firm = one.name != self.cut

    def pass_on(self, member):
        member.version, member.keys = self.version, self.keys

    def settle(self):
        """Members told each other, and machines beat on, as they do in time."""
        for member in self.members.values():
            self.pass_on(member)
            member.revision = max(one.revision for one in self.members.values())
            for entry in self.truth.values():
                member.registry.observe(self.now, entry)

    def play(self):
        reader, settled = self.reader, False
        while self.now < 2 * TROUBLE:
            self.now += TICK
            while self.row and self.row[0][0] <= self.now:
                _, _, receive, message = heapq.heappop(self.row)
                receive(message)
            if self.now < TROUBLE:
                self.happen()
            elif not settled:
                self.happen()
                self.settle()
                settled = True
            for name in reader.due_pulls(self.now):
                pull, member = reader.make_pull(self.now, name), self.members[name]
                self.carry(
                    name,
                    pull,
                    lambda message, one=member: one.publisher.add_pull(self.now, "reader", message),
                )
            for name, member in self.members.items():
                for _, news in member.answers(self.now):
                    self.carry(name, news, lambda message, name=name: self.heard(name, message))
            for when in (self.now - 500 * MS, self.now - 2_000 * MS, self.now - 6_000 * MS):
                plain = sum(at >= when for at in self.firm_at.values())
                assert reader.confirmed_since(when) == (plain >= 2), (self.now, when)


@then(
    "a reader of news among {what} ends with all there is and never goes back, over {count:d} histories"
)
def _(context, what, count):
    gone = 0
    for seed in range(count):
        hills = Hills(seed, what)
        hills.play()
        reader = hills.reader
        assert reader.instances.keys() == hills.truth.keys(), seed
        for id, entry in hills.truth.items():
            assert reader.instances[id].state == entry.state, (seed, id)
            assert entry.state == GONE or reader.instances[id] == entry, (
                seed,
                reader.instances[id],
                entry,
            )
            gone += entry.state == GONE
        assert reader.version == hills.version and reader.records == hills.keys, seed
        assert (
            reader.revision
            == reader.newest_revision
            == max(one.revision for one in hills.members.values())
        ), seed
    assert gone


def news(reader, now, name, **odd):
    source = reader.sources.get(name)
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
    "a reader of news counts as firm exactly when a plain count says a majority was heard, over {count:d} histories"
)
def _(context, count):
    sure = 0
    for seed in range(count):
        dice, now = random.Random(seed), 0
        everyone = [f"m{number}" for number in range(dice.choice((1, 2, 3, 4, 5)))]
        me = dice.choice(("", everyone[0]))  # a front, or a member
        reader, told, heard = Subscriber(everyone[:2], me), False, {}
        for _ in range(40):
            now += dice.randint(1, 900) * MS
            name, firm = dice.choice([*everyone, "stranger"]), dice.random() < 0.6
            known = name in reader.sources
            found = reader.receive_update(
                now, name, news(reader, now, name, everyone=everyone, firm=firm)
            )
            assert (found is not None) == known
            if known and firm:
                told, heard[name] = True, now
            when = now - dice.randint(0, 3000) * MS
            plain = sum(at >= when for at in heard.values()) + (me in everyone)
            assert reader.confirmed_since(when) == (told and plain > len(everyone) / 2), seed
            sure += reader.confirmed_since(when)
    assert sure > count


@then("a reader of news is left as it was by answers garbled in any field")
def _(context):
    entry = InstanceRecord("m", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1).to_wire()
    odd = None, "x", [], {}, -1e999, 1e999, [1], ["x", "y"], [1e999, 0]
    for field in ("life", "number", "register", "keys", "everyone", "revision"):
        for value in odd:
            reader = Subscriber(NAMES)
            message = news(reader, 0, "a", **{field: value})
            try:  # what cannot be read must not raise either
                found = reader.receive_update(0, "a", message)
            except OverflowError as error:
                raise AssertionError((field, value)) from error
            if found is None:
                assert (
                    reader.version,
                    reader.newest_revision,
                    reader.instances,
                    reader.knows_members,
                ) == (
                    (0, 0),
                    0,
                    {},
                    False,
                )
                assert reader.sources["a"].sequence == 0 and not reader.confirmed_since(0)
            broken = dict(message)
            del broken[field]
            assert reader.receive_update(0, "a", broken) is None
    reader = Subscriber(NAMES)
    for bad in (
        [],
        "m",
        [*entry[:-1], "1"],
        [*entry, 1],
        [None, *entry[1:]],
        [*entry[:6], 1.5, *entry[7:]],
    ):
        assert reader.receive_update(0, "a", news(reader, 0, "a", machines=[bad])).instances == []
    assert reader.receive_update(0, "a", news(reader, 0, "a", machines=7)).instances == []
    assert (
        reader.receive_update(0, "stranger", news(reader, 0, "a", machines=[entry])) is None
        and not reader.instances
    )
    assert [
        one.id
        for one in reader.receive_update(
            0, "a", news(reader, 0, "a", machines=[[], entry])
        ).instances
    ] == ["m"]


@then("a reader of news gets its answer while strangers pull with garbled numbers")
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
    "a reader of news holds no machine that has not been ready for a minute, and those that came back"
)
def _(context):
    from umbermoor.gateway.distribution.subscriber import FORGET_AFTER_US
    from umbermoor.gateway.distribution.subscriber import Subscriber as Pulls

    pulls, second = Pulls(["m"]), 1_000_000

    def told(now, number, *machines):
        pulls.receive_update(
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

    told(second, 1, ("stays", 0, 1), ("leaves", 0, 1), ("sleeps", 0, 1))
    told(2 * second, 2, ("leaves", 3, 2), ("sleeps", 1, 1))
    told(3 * second, 3, ("sleeps", 0, 2))
    assert pulls.forget_departed(2 * second + FORGET_AFTER_US) == [] and len(pulls.instances) == 3
    assert pulls.forget_departed(2 * second + FORGET_AFTER_US + 1) == ["leaves"]
    assert (
        sorted(pulls.instances) == ["sleeps", "stays"]
        and pulls.forget_departed(1000 * second) == []
    )


@then(
    "a reader of news that stood still counts answers to pulls from before as not firm, and takes their facts"
)
def _(context):
    reader = Subscriber(NAMES)
    for name in NAMES:
        reader.make_pull(0, name)
    assert reader.receive_update(100 * MS, "a", news(reader, 0, "a")).confirmed
    reader.mark_stalled()
    later, entry = (
        20_000 * MS,
        InstanceRecord("m", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1).to_wire(),
    )
    for name in "bc":
        heard = reader.receive_update(
            later,
            name,
            news(reader, later, name, machines=[entry], register=[5, 1], keys={"k": 1}, head="old"),
        )
        assert not heard.confirmed and not reader.confirmed_since(later) and reader.head != "old"
    assert reader.instances["m"].state == READY and reader.records == {
        "k": 1
    }  # committed once, it holds
    for name in NAMES:
        reader.make_pull(later, name)
        assert reader.receive_update(
            later + MS, name, news(reader, later, name, register=[5, 1])
        ).confirmed
    assert reader.confirmed_since(later)


@then("a reader of news takes a later set also from one that was taken out, and no earlier one")
def _(context):
    reader = Subscriber(["a", "b", "c"])
    reader.receive_update(0, "a", news(reader, 0, "a"))
    reader.receive_update(1, "b", news(reader, 1, "b", everyone=["b", "c", "d"], set=1))
    assert set(reader.sources) == {"b", "c", "d"}
    reader.receive_update(2, "c", news(reader, 2, "c"))
    reader.receive_update(3, "c", news(reader, 3, "c", firm=False, everyone=["x"], set=1))
    assert reader.members == ("b", "c", "d")
    reader.receive_update(4, "b", news(reader, 4, "b", firm=False, everyone=["c", "d", "e"], set=2))
    assert reader.members == ("c", "d", "e") and not reader.confirmed_since(0)


@then(
    "a reader of news to whom nobody has spoken for {s:d} s asks its seeds again, those named later too"
)
def _(context, s):
    reader = Subscriber(["a", "b", "c"])
    assert set(reader.due_pulls(0)) == {"a", "b", "c"}
    reader.receive_update(1, "a", news(reader, 1, "a", everyone=["d", "e", "f"], set=4))
    reader.add_seed("g")
    for name in reader.due_pulls(2):
        reader.make_pull(2, name)
    assert set(reader.sources) == {"d", "e", "f"}
    assert set(reader.due_pulls(s * 1000 * MS)) == {"a", "b", "c", "d", "e", "f", "g"}
    reader.receive_update(
        s * 1000 * MS, "g", news(reader, s * 1000 * MS, "g", everyone=["g", "h", "i"], set=7)
    )
    assert set(reader.sources) == {"g", "h", "i"}

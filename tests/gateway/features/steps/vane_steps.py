"""One request's life and the choice of machines, beside plain models of the rules."""

import random
from itertools import product

from behave import then

from umbermoor.gateway.balancing.instances import Plant, Plants
from umbermoor.gateway.balancing.request import ANSWER_MARGIN, Exchange, Fate, Relay, Told, Wait
from umbermoor.gateway.discovery.registry import (
    DRAINING,
    GONE,
    READY,
    SILENT,
    InstanceRecord,
    merge_records,
)

MS = 1000
UNRUN = {Fate.FULL, Fate.WRONG, Fate.UNSENT}
ENDS = [
    (Fate.WHOLE, 200),
    (Fate.WHOLE, 500),
    (Fate.FULL, 503),
    (Fate.WRONG, 421),
    (Fate.UNSENT, 0),
    (Fate.BROKEN, 0),
    (Fate.SPOILT, 200),
]


def machine(id, revision="v1", state=READY, sample=1, capacity=4, service="s"):
    return InstanceRecord(
        id, service, f"10.0.0.1:{1000 + hash(id) % 1000}", "z", revision, capacity, state, 0, sample
    )


def plain_course(safe, tries, ends):
    """What becomes of a request whose attempts end like that one after the other: how many are
    made, the answer."""
    met = []
    while True:
        fates = [fate for fate, _ in met]
        good = [
            place
            for place, (fate, status) in enumerate(met)
            if fate is Fate.WHOLE and (status < 500 or not safe)
        ]
        failed = [
            place
            for place, (fate, status) in enumerate(met)
            if fate is Fate.WHOLE and place not in good
        ]
        arrived = sum(fate is not Fate.UNSENT for fate in fates)
        may = arrived < tries and len(met) - arrived <= 4 and (safe or UNRUN.issuperset(fates))
        if good:
            return len(met), ("relay", good[0])
        if may and len(met) < len(ends):
            met.append(ends[len(met)])
        elif may:
            return len(met) + 1, ("hangs", None)
        elif failed:
            return len(met), ("relay", failed[-1])
        else:
            return len(met), ("told", 503 if UNRUN.issuperset(fates) else 502)


def course(safe, tries, ends):
    """The same by the real one, driven as its host does."""
    now, due, made, told = 0, 1000 * MS, 0, []
    exchange = Exchange("s", safe, tries, now, due)
    while not told:
        if exchange.answer is None and exchange.may_go_on(now):
            exchange.attempt(now, made, Plant(machine(f"m{made}"), 0), due)
            made += 1
            if made <= len(ends):
                fate, status = ends[made - 1]
                now += MS
                exchange.ended(made - 1, fate, made - 1, status)
                continue
        step = exchange.rest(now)
        if isinstance(step, Wait):
            assert now < step.until <= due - ANSWER_MARGIN, step
            now = step.until
        else:
            told.append(
                ("relay", step.answer) if isinstance(step, Relay) else ("told", step.status)
            )
        if exchange.out and told == [("told", 504)]:
            told = [("hangs", None)]
    return made, told[0]


@then(
    "an exchange that is {kind} with {tries:d} tries ends as the plain rules say, whatever its fates"
)
def _(context, kind, tries):
    safe = kind == "safe"
    rows = [ends for count in range(5) for ends in product(ENDS, repeat=count)]
    rows += [
        ((Fate.UNSENT, 0),) * many + ends for many in (4, 5) for ends in product(ENDS, repeat=2)
    ]
    for ends in rows:
        found, wanted = course(safe, tries, ends), plain_course(safe, tries, ends)
        assert found == wanted, (ends, found, wanted)
        used = ends[: found[0]]
        assert sum(fate is not Fate.UNSENT for fate, _ in used) <= tries
        assert safe or sum(fate not in UNRUN for fate, _ in used) <= 1
        assert found[1] != ("told", 503) or all(fate in UNRUN for fate, _ in used)


@then("an exchange that is {kind} keeps its promises over {count:d} courses drawn by chance")
def _(context, kind, count):
    safe, overlapped, answered = kind == "safe", 0, 0
    for seed in range(count):
        dice = random.Random(seed)
        tries, due = dice.randint(1, 4), dice.choice((60, 300, 1000)) * MS
        exchange, now, number = Exchange("s", safe, tries, 0, due), 0, 0
        under_way, ended, told, whole_at = {}, [], [], None  # number: when and how it ends
        while not told:
            while exchange.answer is None and exchange.may_go_on(now) and dice.random() < 0.9:
                hedge = dice.choice((5, 50, 400)) * MS
                exchange.attempt(now, number, Plant(machine(f"m{number}"), 0), hedge)
                under_way[number] = now + dice.choice((1, 20, 200, 5000)) * MS, dice.choice(ENDS)
                number += 1
                assert safe or len(under_way) == 1
                overlapped += len(under_way) > 1
            assert len(under_way) <= 2
            step = exchange.rest(now)
            if isinstance(step, Wait):
                ends = sorted((at, one) for one, (at, _) in under_way.items())
                assert step.until > now
                if ends and ends[0][0] <= step.until:
                    now, one = ends[0]
                    fate, status = under_way.pop(one)[1]
                    ended.append((fate, status, one))
                    assert exchange.ended(one, fate, one, status) is not None
                    assert exchange.ended(one, fate, one, status) is None  # told twice
                    if fate is Fate.WHOLE and status < 500 and whole_at is None:
                        whole_at = one
                else:
                    now = (
                        step.until if dice.random() < 0.5 else dice.randint(now, step.until)
                    )  # or woken early
            else:
                told.append(step)
        (step,) = told
        assert now <= due
        arrived = len(under_way) + sum(fate is not Fate.UNSENT for fate, _, _ in ended)
        assert arrived <= tries, seed
        if not safe:
            assert len(under_way) + sum(fate not in UNRUN for fate, _, _ in ended) <= 1, seed
        if isinstance(step, Told) and step.status in (429, 503, 408, 421):
            assert not under_way and all(fate in UNRUN for fate, _, _ in ended), seed
        if whole_at is not None:
            assert isinstance(step, Relay) and step.answer == whole_at, seed
            answered += 1
        if isinstance(step, Relay):
            assert any(one == step.answer and fate is Fate.WHOLE for fate, _, one in ended)
    assert answered > count // 20 and (overlapped > count // 20) == safe, (answered, overlapped)


@then(
    "a vane told news in any order chooses only among machines that a plain list allows, over {count:d} histories"
)
def _(context, count):
    chosen = refused = 0
    for seed in range(count):
        dice, now = random.Random(seed), 0
        plants, held, left = Plants(), {}, set()
        plain: dict[str, tuple[str, str]] = {}  # id: service, revision, of those that may be chosen
        gone: list[Plant] = []
        for _ in range(80):
            now += dice.randint(1, 300) * MS
            number = dice.randrange(8)
            entry = machine(
                f"m{number}",
                dice.choice(("v1", "v2")),
                dice.choices((READY, SILENT, DRAINING, GONE), (12, 4, 1, 1))[0],
                dice.randint(1, 30),
                dice.randint(1, 9),
                "st"[number % 2],
            )
            was = {one.id: one for service in ("s", "t") for one in plants.listed(service)}
            news = merge_records([entry], held)
            dropped = plants.take(now, news)
            gone += dropped
            told = held[entry.id]
            if not news:
                assert not dropped
            elif told.state in (DRAINING, GONE):
                left.add(told.id)
                assert [one.id for one in dropped] == [one for one in plain if one == told.id]
                plain.pop(told.id, None)
            elif told.id in plain or (told.state == READY and told.id not in left):
                plain[told.id] = told.service, told.revision
            assert all(not plants.may(now, was[one.id]) for one in dropped)
            service, revision = dice.choice(("s", "t")), dice.choice(("v1", "v2"))
            only = {f"m{dice.randrange(8)}" for _ in range(3)} if dice.random() < 0.2 else set()
            one = plants.choose(now, service, revision, only, (), dice.random, 1e18)
            allowed = {
                id
                for id, place in plain.items()
                if place == (service, revision) and (not only or id in only)
            }
            if one is None:
                refused += 1
                assert all(
                    plants.by_id[id].rest_until > now and plants.by_id[id].open for id in allowed
                ), seed
                continue
            chosen += 1
            assert (
                one.id in allowed
                and plants.may(now, one)
                and not any(one is other for other in gone)
            ), seed
            assert not (one.rest_until > now and one.open), seed
            plants.sent(now, one)
            what = dice.random()
            if what < 0.5:
                plants.back(one)
                plants.answered(now, one, dice.randint(1, 100) * MS)
            elif what < 0.7:
                plants.back(one)
                plants.failed(now, one, dice.random() < 0.5)
            elif what < 0.8:
                plants.full(now, one)
            elif what < 0.83:
                plants.wrong(one)
                plain.pop(one.id)
                gone.append(one)
    assert chosen > 10 * count and refused > count


@then(
    "a vane spreads {count:d} requests over {machines:d} equal machines to within {part:d} of a hundred"
)
def _(context, count, machines, part):
    dice, plants, now = random.Random(5), Plants(), 0
    plants.take(now, [machine(f"m{number}") for number in range(machines)])
    got, out = dict.fromkeys(plants.by_id, 0), []
    for _ in range(count):
        now += 5 * MS
        while out and out[0][0] <= now:
            _, one = out.pop(0)
            plants.back(one)
            plants.answered(now, one, 100 * MS)
        one = plants.choose(now, "s", "v1", (), (), dice.random, 1e18)
        plants.sent(now, one)
        got[one.id] += 1
        out.append((now + 100 * MS, one))
        loads = [plant.open for plant in plants.by_id.values()]
        assert max(loads) - min(loads) <= 3, loads  # 20 are under way over 8
    fair = count / machines
    assert all(abs(one - fair) < fair * part / 100 for one in got.values()), got


@then(
    "a vane sends a machine in a row of failures one request at a time at the most until it answers"
)
def _(context):
    plants, now = Plants(), 0
    plants.take(now, [machine("bad"), machine("good")])
    bad = plants.by_id["bad"]
    plants.sent(now, bad)
    plants.back(bad)
    plants.failed(now, bad, True)  # nothing there took the connection
    rest = bad.rest_until
    assert rest > now
    plants.sent(now, bad)  # one is out: no more until it is back or the rest is over
    for at in range(now, rest, 10 * MS):
        assert plants.choose(at, "s", "v1", (), (), lambda: 0.0, 1e18).id == "good"
        assert plants.choose(at, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is None
    assert plants.choose(rest, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is bad
    plants.back(bad)
    rests = []
    for _ in range(9):
        plants.failed(now, bad, True)
        rests.append(bad.rest_until - now)
    assert rests == sorted(rests) and rests[-1] <= 3_000 * MS, rests
    plants.answered(now, bad, 50 * MS)
    assert (
        bad.rest_until <= now
        and plants.choose(now, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is bad
    )


@then('a vane takes the load "{text}" for {load}')
def _(context, text, load):
    plants = Plants()
    plants.take(0, [machine("m")])
    plant = plants.by_id["m"]
    plants.load_told(0, plant, text)
    assert plant.load(0) == (0.0 if load == "nothing" else float(load)), plant.load(0)

"""One request's life and the choice of machines, beside plain models of the rules."""

import random
from itertools import product
from typing import NamedTuple

from behave import then

from umbermoor.gateway.balancing.attempt_outcomes import AttemptOutcome
from umbermoor.gateway.balancing.instance import Instance
from umbermoor.gateway.balancing.instances import Instances
from umbermoor.gateway.balancing.request import (
    RESPONSE_MARGIN_US,
    Relay,
    RequestLifecycle,
    Respond,
    Wait,
)
from umbermoor.gateway.discovery.registry import (
    DRAINING,
    GONE,
    READY,
    SILENT,
    InstanceRecord,
    merge_records,
)

MS = 1000


class Answer(NamedTuple):
    """A response as far as a request's life looks at it, told apart by the number of its attempt."""

    status: int
    number: int


NOT_EXECUTED = {AttemptOutcome.REJECTED, AttemptOutcome.MISDIRECTED, AttemptOutcome.CONNECT_FAILED}
ENDS = [
    (AttemptOutcome.COMPLETE, 200),
    (AttemptOutcome.COMPLETE, 500),
    (AttemptOutcome.REJECTED, 503),
    (AttemptOutcome.MISDIRECTED, 421),
    (AttemptOutcome.CONNECT_FAILED, 0),
    (AttemptOutcome.TRUNCATED, 0),
    (AttemptOutcome.PROTOCOL_ERROR, 200),
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
        outcomes = [outcome for outcome, _ in met]
        good = [
            place
            for place, (outcome, status) in enumerate(met)
            if outcome is AttemptOutcome.COMPLETE and (status < 500 or not safe)
        ]
        failed = [
            place
            for place, (outcome, status) in enumerate(met)
            if outcome is AttemptOutcome.COMPLETE and place not in good
        ]
        arrived = sum(outcome is not AttemptOutcome.CONNECT_FAILED for outcome in outcomes)
        may = (
            arrived < tries
            and len(met) - arrived <= 4
            and (safe or NOT_EXECUTED.issuperset(outcomes))
        )
        if good:
            return len(met), ("relay", good[0])
        if may and len(met) < len(ends):
            met.append(ends[len(met)])
        elif may:
            return len(met) + 1, ("hangs", None)
        elif failed:
            return len(met), ("relay", failed[-1])
        else:
            return len(met), ("told", 503 if NOT_EXECUTED.issuperset(outcomes) else 502)


def course(safe, tries, ends):
    """The same by the real one, driven as its host does."""
    now, due, made, told = 0, 1000 * MS, 0, []
    lifecycle = RequestLifecycle("s", safe, tries, due)
    while not told:
        if lifecycle.may_attempt(now):
            lifecycle.attempt_started(now, made, Instance(machine(f"m{made}"), 0), due)
            made += 1
            if made <= len(ends):
                outcome, status = ends[made - 1]
                now += MS
                lifecycle.attempt_ended(made - 1, outcome, Answer(status, made - 1))
                continue
        step = lifecycle.next_step(now)
        if isinstance(step, Wait):
            assert now < step.until <= due - RESPONSE_MARGIN_US, step
            now = step.until
        else:
            told.append(
                ("relay", step.response.number)
                if isinstance(step, Relay)
                else ("told", step.status)
            )
        if lifecycle.in_flight and told == [("told", 504)]:
            told = [("hangs", None)]
    return made, told[0]


@then(
    "a request that is {kind} with {tries:d} tries ends as the plain rules say, whatever its outcomes"
)
def _(context, kind, tries):
    safe = kind == "safe"
    rows = [ends for count in range(5) for ends in product(ENDS, repeat=count)]
    rows += [
        ((AttemptOutcome.CONNECT_FAILED, 0),) * many + ends
        for many in (4, 5)
        for ends in product(ENDS, repeat=2)
    ]
    for ends in rows:
        found, wanted = course(safe, tries, ends), plain_course(safe, tries, ends)
        assert found == wanted, (ends, found, wanted)
        used = ends[: found[0]]
        assert sum(outcome is not AttemptOutcome.CONNECT_FAILED for outcome, _ in used) <= tries
        assert safe or sum(outcome not in NOT_EXECUTED for outcome, _ in used) <= 1
        assert found[1] != ("told", 503) or all(outcome in NOT_EXECUTED for outcome, _ in used)


@then("a request that is {kind} keeps its promises over {count:d} courses drawn by chance")
def _(context, kind, count):
    safe, overlapped, answered = kind == "safe", 0, 0
    for seed in range(count):
        dice = random.Random(seed)
        tries, due = dice.randint(1, 4), dice.choice((60, 300, 1000)) * MS
        lifecycle, now, number = RequestLifecycle("s", safe, tries, due), 0, 0
        under_way, ended, told, whole_at = {}, [], [], None  # number: when and how it ends
        while not told:
            while lifecycle.may_attempt(now) and dice.random() < 0.9:
                hedge = dice.choice((5, 50, 400)) * MS
                lifecycle.attempt_started(now, number, Instance(machine(f"m{number}"), 0), hedge)
                under_way[number] = now + dice.choice((1, 20, 200, 5000)) * MS, dice.choice(ENDS)
                number += 1
                assert safe or len(under_way) == 1
                overlapped += len(under_way) > 1
            assert len(under_way) <= 2
            step = lifecycle.next_step(now)
            if isinstance(step, Wait):
                ends = sorted((at, one) for one, (at, _) in under_way.items())
                assert step.until > now
                if ends and ends[0][0] <= step.until:
                    now, one = ends[0]
                    outcome, status = under_way.pop(one)[1]
                    ended.append((outcome, status, one))
                    assert lifecycle.attempt_ended(one, outcome, Answer(status, one)) is not None
                    assert (
                        lifecycle.attempt_ended(one, outcome, Answer(status, one)) is None
                    )  # told twice
                    if outcome is AttemptOutcome.COMPLETE and status < 500 and whole_at is None:
                        whole_at = one
                else:
                    now = (
                        step.until if dice.random() < 0.5 else dice.randint(now, step.until)
                    )  # or woken early
            else:
                told.append(step)
        (step,) = told
        assert now <= due
        arrived = len(under_way) + sum(
            outcome is not AttemptOutcome.CONNECT_FAILED for outcome, _, _ in ended
        )
        assert arrived <= tries, seed
        if not safe:
            assert (
                len(under_way) + sum(outcome not in NOT_EXECUTED for outcome, _, _ in ended) <= 1
            ), seed
        if isinstance(step, Respond) and step.status in (429, 503, 408, 421):
            assert not under_way and all(outcome in NOT_EXECUTED for outcome, _, _ in ended), seed
        if whole_at is not None:
            assert isinstance(step, Relay) and step.response.number == whole_at, seed
            answered += 1
        if isinstance(step, Relay):
            assert any(
                one == step.response.number and outcome is AttemptOutcome.COMPLETE
                for outcome, _, one in ended
            )
    assert answered > count // 20 and (overlapped > count // 20) == safe, (answered, overlapped)


@then(
    "a proxy told news in any order chooses only among machines that a plain list allows, over {count:d} histories"
)
def _(context, count):
    chosen = refused = 0
    for seed in range(count):
        dice, now = random.Random(seed), 0
        instances, held, left = Instances(), {}, set()
        plain: dict[str, tuple[str, str]] = {}  # id: service, revision, of those that may be chosen
        gone: list[Instance] = []
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
            was = {one.id: one for service in ("s", "t") for one in instances.of_service(service)}
            news = merge_records([entry], held)
            dropped = instances.update(now, news)
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
            assert all(not instances.is_listed(was[one.id]) for one in dropped)
            service, revision = dice.choice(("s", "t")), dice.choice(("v1", "v2"))
            only = {f"m{dice.randrange(8)}" for _ in range(3)} if dice.random() < 0.2 else set()
            one = instances.choose(now, service, revision, only, (), dice.random, 1e18)
            allowed = {
                id
                for id, place in plain.items()
                if place == (service, revision) and (not only or id in only)
            }
            if one is None:
                refused += 1
                assert all(
                    instances.by_id[id].ejection.ejected_until > now
                    and instances.by_id[id].load.in_flight
                    for id in allowed
                ), seed
                continue
            chosen += 1
            assert (
                one.id in allowed
                and instances.is_listed(one)
                and not any(one is other for other in gone)
            ), seed
            assert not (one.ejection.ejected_until > now and one.load.in_flight), seed
            one.attempt_started(now)
            what = dice.random()
            if what < 0.5:
                one.attempt_ended()
                instances.responded(now, one, dice.randint(1, 100) * MS)
            elif what < 0.7:
                one.attempt_ended()
                one.ejection.failure(now, dice.random() < 0.5)
            elif what < 0.8:
                one.rejected(now)
            elif what < 0.83:
                instances.misdirected(one)
                plain.pop(one.id)
                gone.append(one)
    assert chosen > 10 * count and refused > count


@then(
    "a proxy spreads {count:d} requests over {machines:d} equal machines to within {part:d} of a hundred"
)
def _(context, count, machines, part):
    dice, instances, now = random.Random(5), Instances(), 0
    instances.update(now, [machine(f"m{number}") for number in range(machines)])
    got, out = dict.fromkeys(instances.by_id, 0), []
    for _ in range(count):
        now += 5 * MS
        while out and out[0][0] <= now:
            _, one = out.pop(0)
            one.attempt_ended()
            instances.responded(now, one, 100 * MS)
        one = instances.choose(now, "s", "v1", (), (), dice.random, 1e18)
        one.attempt_started(now)
        got[one.id] += 1
        out.append((now + 100 * MS, one))
        loads = [instance.load.in_flight for instance in instances.by_id.values()]
        assert max(loads) - min(loads) <= 3, loads  # 20 are under way over 8
    fair = count / machines
    assert all(abs(one - fair) < fair * part / 100 for one in got.values()), got


@then(
    "a proxy sends a machine in a row of failures one request at a time at the most until it answers"
)
def _(context):
    instances, now = Instances(), 0
    instances.update(now, [machine("bad"), machine("good")])
    bad = instances.by_id["bad"]
    bad.attempt_started(now)
    bad.attempt_ended()
    bad.ejection.failure(now, True)  # nothing there took the connection
    rest = bad.ejection.ejected_until
    assert rest > now
    bad.attempt_started(now)  # one is out: no more until it is back or the rest is over
    for at in range(now, rest, 10 * MS):
        assert instances.choose(at, "s", "v1", (), (), lambda: 0.0, 1e18).id == "good"
        assert instances.choose(at, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is None
    assert instances.choose(rest, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is bad
    bad.attempt_ended()
    rests = []
    for _ in range(9):
        bad.ejection.failure(now, True)
        rests.append(bad.ejection.ejected_until - now)
    assert rests == sorted(rests) and rests[-1] <= 3_000 * MS, rests
    instances.responded(now, bad, 50 * MS)
    assert (
        bad.ejection.ejected_until <= now
        and instances.choose(now, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is bad
    )


@then('a proxy takes the load "{text}" for {load}')
def _(context, text, load):
    instances = Instances()
    instances.update(0, [machine("m")])
    instance = instances.by_id["m"]
    instance.load_reported(0, text)
    assert instance.load.at(0) == (0.0 if load == "nothing" else float(load)), instance.load.at(0)


@then(
    "an attempt that is abandoned late makes its machine slower for the choice, and one that is abandoned early changes nothing"
)
def _(context):
    instances = Instances()
    instances.update(0, [machine("slow"), machine("other")])
    slow, other = instances.by_id["slow"], instances.by_id["other"]
    instances.abandoned(slow, 900 * MS)  # nothing to compare with yet
    instances.responded(0, other, 100 * MS)
    slow.ejection.failure(0, False)
    before = slow.relative_service_time, slow.last_response_at
    instances.abandoned(slow, 90 * MS)
    assert (slow.relative_service_time, slow.last_response_at) == before
    for _ in range(5):
        instances.abandoned(slow, 900 * MS)
    assert before[0] < slow.relative_service_time <= 4 and slow.last_response_at == before[1]
    assert slow.ejection.consecutive_failures == 1  # it neither failed nor answered
    assert instances.service_times["s"].mean_us == 100 * MS
    assert instances.choose(0, "s", "v1", (), (), lambda: 0.5, 1e18) is other

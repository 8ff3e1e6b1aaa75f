"""The lifecycle of a request and the choice of instances, compared with reference models."""

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


class FakeResponse(NamedTuple):
    """The parts of a response that a request's lifecycle uses, with the number of its attempt."""

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


def instance_record(id, revision="v1", state=READY, sample=1, capacity=4, service="s"):
    return InstanceRecord(
        id, service, f"10.0.0.1:{1000 + hash(id) % 1000}", "z", revision, capacity, state, 0, sample
    )


def reference_run(idempotent, max_attempts, ends):
    """Reference implementation: a request whose attempts end one after the other as in `ends`.

    Returns the number of attempts and the result.
    """
    ended = []
    while True:
        outcomes = [outcome for outcome, _ in ended]
        to_relay = [
            index
            for index, (outcome, status) in enumerate(ended)
            if outcome is AttemptOutcome.COMPLETE and (status < 500 or not idempotent)
        ]
        failed = [
            index
            for index, (outcome, status) in enumerate(ended)
            if outcome is AttemptOutcome.COMPLETE and index not in to_relay
        ]
        sent = sum(outcome is not AttemptOutcome.CONNECT_FAILED for outcome in outcomes)
        may_retry = (
            sent < max_attempts
            and len(ended) - sent <= 4
            and (idempotent or NOT_EXECUTED.issuperset(outcomes))
        )
        if to_relay:
            return len(ended), ("relay", to_relay[0])
        if may_retry and len(ended) < len(ends):
            ended.append(ends[len(ended)])
        elif may_retry:
            return len(ended) + 1, ("hangs", None)
        elif failed:
            return len(ended), ("relay", failed[-1])
        else:
            return len(ended), ("respond", 503 if NOT_EXECUTED.issuperset(outcomes) else 502)


def lifecycle_run(idempotent, max_attempts, ends):
    """Run the same request through `RequestLifecycle`, driven as the request handler does."""
    now, deadline, attempt_count, results = 0, 1000 * MS, 0, []
    lifecycle = RequestLifecycle("s", idempotent, max_attempts, deadline)
    while not results:
        if lifecycle.may_attempt(now):
            lifecycle.attempt_started(
                now, attempt_count, Instance(instance_record(f"m{attempt_count}"), 0), deadline
            )
            attempt_count += 1
            if attempt_count <= len(ends):
                outcome, status = ends[attempt_count - 1]
                now += MS
                lifecycle.attempt_ended(
                    attempt_count - 1, outcome, FakeResponse(status, attempt_count - 1)
                )
                continue
        step = lifecycle.next_step(now)
        if isinstance(step, Wait):
            assert now < step.until <= deadline - RESPONSE_MARGIN_US, step
            now = step.until
        else:
            results.append(
                ("relay", step.response.number)
                if isinstance(step, Relay)
                else ("respond", step.status)
            )
        if lifecycle.in_flight and results == [("respond", 504)]:
            results = [("hangs", None)]
    return attempt_count, results[0]


@then(
    "a request that is {kind} with {max_attempts:d} attempts ends as a reference implementation says, for all outcomes"
)
def _(context, kind, max_attempts):
    idempotent = kind == "safe"
    sequences = [ends for count in range(5) for ends in product(ENDS, repeat=count)]
    sequences += [
        ((AttemptOutcome.CONNECT_FAILED, 0),) * failures + ends
        for failures in (4, 5)
        for ends in product(ENDS, repeat=2)
    ]
    for ends in sequences:
        actual, expected = (
            lifecycle_run(idempotent, max_attempts, ends),
            reference_run(idempotent, max_attempts, ends),
        )
        assert actual == expected, (ends, actual, expected)
        used = ends[: actual[0]]
        assert (
            sum(outcome is not AttemptOutcome.CONNECT_FAILED for outcome, _ in used) <= max_attempts
        )
        assert idempotent or sum(outcome not in NOT_EXECUTED for outcome, _ in used) <= 1
        assert actual[1] != ("respond", 503) or all(outcome in NOT_EXECUTED for outcome, _ in used)


@then("a request that is {kind} keeps its guarantees in {count:d} random runs")
def _(context, kind, count):
    idempotent, overlapped, relayed_count = kind == "safe", 0, 0
    for seed in range(count):
        rng = random.Random(seed)
        max_attempts, deadline = rng.randint(1, 4), rng.choice((60, 300, 1000)) * MS
        lifecycle, now, number = RequestLifecycle("s", idempotent, max_attempts, deadline), 0, 0
        # `in_flight`: when and how each attempt ends, by number.
        in_flight, ended, final_steps, first_success = {}, [], [], None
        while not final_steps:
            while lifecycle.may_attempt(now) and rng.random() < 0.9:
                hedge_after_us = rng.choice((5, 50, 400)) * MS
                lifecycle.attempt_started(
                    now, number, Instance(instance_record(f"m{number}"), 0), hedge_after_us
                )
                in_flight[number] = now + rng.choice((1, 20, 200, 5000)) * MS, rng.choice(ENDS)
                number += 1
                assert idempotent or len(in_flight) == 1
                overlapped += len(in_flight) > 1
            assert len(in_flight) <= 2
            step = lifecycle.next_step(now)
            if isinstance(step, Wait):
                next_ends = sorted(
                    (ends_at, ended_number) for ended_number, (ends_at, _) in in_flight.items()
                )
                assert step.until > now
                if next_ends and next_ends[0][0] <= step.until:
                    now, ended_number = next_ends[0]
                    outcome, status = in_flight.pop(ended_number)[1]
                    ended.append((outcome, status, ended_number))
                    assert (
                        lifecycle.attempt_ended(
                            ended_number, outcome, FakeResponse(status, ended_number)
                        )
                        is not None
                    )
                    # A second report of the same end is ignored.
                    assert (
                        lifecycle.attempt_ended(
                            ended_number, outcome, FakeResponse(status, ended_number)
                        )
                        is None
                    )
                    if (
                        outcome is AttemptOutcome.COMPLETE
                        and status < 500
                        and first_success is None
                    ):
                        first_success = ended_number
                else:
                    # Half of the time the request is woken early.
                    now = step.until if rng.random() < 0.5 else rng.randint(now, step.until)
            else:
                final_steps.append(step)
        (step,) = final_steps
        assert now <= deadline
        sent = len(in_flight) + sum(
            outcome is not AttemptOutcome.CONNECT_FAILED for outcome, _, _ in ended
        )
        assert sent <= max_attempts, seed
        if not idempotent:
            assert (
                len(in_flight) + sum(outcome not in NOT_EXECUTED for outcome, _, _ in ended) <= 1
            ), seed
        if isinstance(step, Respond) and step.status in (429, 503, 408, 421):
            assert not in_flight and all(outcome in NOT_EXECUTED for outcome, _, _ in ended), seed
        if first_success is not None:
            assert isinstance(step, Relay) and step.response.number == first_success, seed
            relayed_count += 1
        if isinstance(step, Relay):
            assert any(
                ended_number == step.response.number and outcome is AttemptOutcome.COMPLETE
                for outcome, _, ended_number in ended
            )
    assert relayed_count > count // 20 and (overlapped > count // 20) == idempotent, (
        relayed_count,
        overlapped,
    )


@then(
    "a proxy that receives updates in any order chooses only instances that a reference list allows, in {count:d} random histories"
)
def _(context, count):
    chosen = none_chosen = 0
    for seed in range(count):
        rng, now = random.Random(seed), 0
        instances, records, departed = Instances(), {}, set()
        # Service and revision of each instance that may be chosen, by id.
        allowed_versions: dict[str, tuple[str, str]] = {}
        removed_instances: list[Instance] = []
        for _ in range(80):
            now += rng.randint(1, 300) * MS
            number = rng.randrange(8)
            entry = instance_record(
                f"m{number}",
                rng.choice(("v1", "v2")),
                rng.choices((READY, SILENT, DRAINING, GONE), (12, 4, 1, 1))[0],
                rng.randint(1, 30),
                rng.randint(1, 9),
                "st"[number % 2],
            )
            before = {
                instance.id: instance
                for service in ("s", "t")
                for instance in instances.of_service(service)
            }
            changed = merge_records([entry], records)
            dropped = instances.update(now, changed)
            removed_instances += dropped
            record = records[entry.id]
            if not changed:
                assert not dropped
            elif record.state in (DRAINING, GONE):
                departed.add(record.id)
                assert [instance.id for instance in dropped] == [
                    id for id in allowed_versions if id == record.id
                ]
                allowed_versions.pop(record.id, None)
            elif record.id in allowed_versions or (
                record.state == READY and record.id not in departed
            ):
                allowed_versions[record.id] = record.service, record.revision
            assert all(not instances.is_listed(before[instance.id]) for instance in dropped)
            service, revision = rng.choice(("s", "t")), rng.choice(("v1", "v2"))
            only = {f"m{rng.randrange(8)}" for _ in range(3)} if rng.random() < 0.2 else set()
            instance = instances.choose(now, service, revision, only, (), rng.random, 1e18)
            allowed = {
                id
                for id, version in allowed_versions.items()
                if version == (service, revision) and (not only or id in only)
            }
            if instance is None:
                none_chosen += 1
                assert all(
                    instances.by_id[id].ejection.ejected_until > now
                    and instances.by_id[id].load.in_flight
                    for id in allowed
                ), seed
                continue
            chosen += 1
            assert (
                instance.id in allowed
                and instances.is_listed(instance)
                and not any(instance is removed for removed in removed_instances)
            ), seed
            assert not (instance.ejection.ejected_until > now and instance.load.in_flight), seed
            instance.attempt_started(now)
            result = rng.random()
            if result < 0.5:
                instance.attempt_ended()
                instances.responded(now, instance, rng.randint(1, 100) * MS)
            elif result < 0.7:
                instance.attempt_ended()
                instance.ejection.failure(now, rng.random() < 0.5)
            elif result < 0.8:
                instance.rejected(now)
            elif result < 0.83:
                instances.misdirected(instance)
                allowed_versions.pop(instance.id)
                removed_instances.append(instance)
    assert chosen > 10 * count and none_chosen > count


@then(
    "a proxy spreads {count:d} requests over {instances:d} equal instances to within {percent:d} percent"
)
def _(context, count, instances, percent):
    rng, proxy_instances, now = random.Random(5), Instances(), 0
    proxy_instances.update(now, [instance_record(f"m{number}") for number in range(instances)])
    requests_sent, in_flight = dict.fromkeys(proxy_instances.by_id, 0), []
    for _ in range(count):
        now += 5 * MS
        while in_flight and in_flight[0][0] <= now:
            _, chosen = in_flight.pop(0)
            chosen.attempt_ended()
            proxy_instances.responded(now, chosen, 100 * MS)
        chosen = proxy_instances.choose(now, "s", "v1", (), (), rng.random, 1e18)
        chosen.attempt_started(now)
        requests_sent[chosen.id] += 1
        in_flight.append((now + 100 * MS, chosen))
        loads = [instance.load.in_flight for instance in proxy_instances.by_id.values()]
        assert max(loads) - min(loads) <= 3, loads  # 20 in flight over 8 instances
    fair = count / instances
    assert all(abs(sent - fair) < fair * percent / 100 for sent in requests_sent.values()), (
        requests_sent
    )


@then("a proxy has at most one request in flight to an ejected instance until it responds")
def _(context):
    instances, now = Instances(), 0
    instances.update(now, [instance_record("bad"), instance_record("good")])
    bad = instances.by_id["bad"]
    bad.attempt_started(now)
    bad.attempt_ended()
    bad.ejection.failure(now, True)  # the connection failed
    ejected_until = bad.ejection.ejected_until
    assert ejected_until > now
    bad.attempt_started(now)  # one is in flight: no other until it ends or the ejection does
    for at in range(now, ejected_until, 10 * MS):
        assert instances.choose(at, "s", "v1", (), (), lambda: 0.0, 1e18).id == "good"
        assert instances.choose(at, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is None
    assert instances.choose(ejected_until, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is bad
    bad.attempt_ended()
    ejections_us = []
    for _ in range(9):
        bad.ejection.failure(now, True)
        ejections_us.append(bad.ejection.ejected_until - now)
    assert ejections_us == sorted(ejections_us) and ejections_us[-1] <= 3_000 * MS, ejections_us
    instances.responded(now, bad, 50 * MS)
    assert (
        bad.ejection.ejected_until <= now
        and instances.choose(now, "s", "v1", {"bad"}, (), lambda: 0.0, 1e18) is bad
    )


@then('a proxy reads the load report "{header}" as {expected}')
def _(context, header, expected):
    instances = Instances()
    instances.update(0, [instance_record("m")])
    instance = instances.by_id["m"]
    instance.load_reported(0, header)
    assert instance.load.at(0) == (0.0 if expected == "nothing" else float(expected)), (
        instance.load.at(0)
    )


@then(
    "an attempt that is abandoned late raises the estimate of its instance, and one that is abandoned early changes nothing"
)
def _(context):
    instances = Instances()
    instances.update(0, [instance_record("slow"), instance_record("other")])
    slow, other = instances.by_id["slow"], instances.by_id["other"]
    instances.abandoned(slow, 900 * MS)  # there is no mean service time to compare with yet
    instances.responded(0, other, 100 * MS)
    slow.ejection.failure(0, False)
    before = slow.relative_service_time, slow.last_response_at
    instances.abandoned(slow, 90 * MS)
    assert (slow.relative_service_time, slow.last_response_at) == before
    for _ in range(5):
        instances.abandoned(slow, 900 * MS)
    assert before[0] < slow.relative_service_time <= 4 and slow.last_response_at == before[1]
    # An abandoned attempt counts neither as a failure nor as a response.
    assert slow.ejection.consecutive_failures == 1
    assert instances.service_times["s"].mean_us == 100 * MS
    assert instances.choose(0, "s", "v1", (), (), lambda: 0.5, 1e18) is other

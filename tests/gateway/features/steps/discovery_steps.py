"""The instance registries of members and proxies, compared with reference models."""

import random
from dataclasses import replace

from behave import then

from umbermoor.gateway.discovery.registry import (
    DRAINING,
    GONE,
    MAX_RECORDS,
    READY,
    SILENT,
    SILENT_AFTER_PERIODS,
    InstanceRecord,
    InstanceRegistry,
    merge_records,
    record_from_wire,
)

PERIOD = 1_500_000


def random_records(rng, id):
    """Return the records of one instance in order: heartbeats, then perhaps draining and gone."""
    records, state = [], READY
    leaves = rng.random() < 0.6
    for sample in range(1, rng.randint(2, 9)):
        if leaves and rng.random() < 0.2:
            state = DRAINING
        elif state == DRAINING and rng.random() < 0.1:
            state = READY  # this must have no effect: draining is final
        records.append(
            InstanceRecord(
                id,
                "s",
                "10.0.0.1:80",
                "z",
                rng.choice(("v1", "v2")),
                rng.randint(1, 9),
                state,
                rng.randrange(3),
                sample,
            )
        )
        if state == READY and rng.random() < 0.2:  # a member marked it as silent
            records.append(replace(records[-1], state=SILENT))
    if leaves and rng.random() < 0.5:
        records.append(replace(records[-1], state=GONE))
    return records


def comparable(table):
    """Return a table in comparable form: of a gone instance, only the state counts."""
    return {id: record if record.state != GONE else GONE for id, record in table.items()}


@then(
    "the registry converges in {count:d} random histories with records reordered, duplicated, and lost and repeated"
)
def _(context, count):
    final_states = set()
    for seed in range(count):
        rng = random.Random(seed)
        histories = [random_records(rng, f"m{number}") for number in range(3)]
        records = [record for history in histories for record in history]
        expected = {}
        # In order and without repetition: the last record wins, and draining and gone are final.
        for history in histories:
            last = max(history, key=lambda record: (record.sample, record.state))
            final_state = max(
                (record.state for record in history if record.state >= DRAINING), default=last.state
            )
            expected[last.id] = replace(last, state=final_state)
        final_states.update(record.state for record in expected.values())
        tables = []
        for _ in range(6):
            delivered = records + rng.choices(records, k=len(records))
            rng.shuffle(delivered)
            merged, lost = {}, []
            registry = InstanceRegistry(1, PERIOD)
            for record in delivered:
                if rng.random() < 0.3:
                    lost.append(record)
                    continue
                merge_records([record], merged)
                registry.observe(0, record)
            repeated = lost + records
            rng.shuffle(repeated)
            for record in repeated:
                merge_records([record_from_wire(record.to_wire())], merged)
                registry.observe(0, record)
            assert comparable(merged) == comparable(registry.records) == comparable(expected), (
                seed,
                merged,
                expected,
            )
            sequence = registry.sequence
            assert merge_records(records, merged) == [] and not any(
                registry.observe(0, record) for record in records
            )
            assert registry.sequence == sequence
            tables.append(merged)
        first, second = dict(tables[0]), dict(tables[1])
        merge_records(list(tables[1].values()), first)
        merge_records(list(tables[0].values()), second)
        assert comparable(first) == comparable(second)
    assert final_states == {READY, SILENT, DRAINING, GONE}, final_states


@then(
    "the registry never lets an instance return from draining or gone in {count:d} random histories"
)
def _(context, count):
    for seed in range(count):
        rng, registry, final_states = random.Random(seed), InstanceRegistry(1, PERIOD), {}
        for step in range(60):
            now = step * 100_000
            id = f"m{rng.randrange(4)}"
            if rng.random() < 0.05:
                registry.mark_gone(now, id)
                final_states[id] = GONE
            else:
                state = rng.choices((READY, SILENT, DRAINING), (10, 3, 1))[0]
                registry.observe(
                    now,
                    InstanceRecord(
                        id, "s", "10.0.0.1:80", "z", "v1", 4, state, 0, rng.randrange(99)
                    ),
                )
                if state == DRAINING:
                    final_states.setdefault(id, DRAINING)
            registry.tick(now, rng.random() < 0.9)
            for final_id, state in final_states.items():
                assert registry.records[final_id].state == state, (seed, final_id)


@then(
    "the registry lists the changes after any sequence number as a reference log does in {count:d} random histories"
)
def _(context, count):
    for seed in range(count):
        rng, registry, log = random.Random(seed), InstanceRegistry(1, PERIOD), []
        urgent_sequence = 0
        for step in range(50):
            id = f"m{rng.randrange(6)}"
            before = registry.records.get(id)
            sequence = registry.sequence
            if rng.random() < 0.1:
                registry.mark_gone(step, id)
            else:
                registry.observe(
                    step,
                    InstanceRecord(
                        id,
                        "s",
                        "10.0.0.1:80",
                        "z",
                        "v1",
                        4,
                        rng.choice((READY, SILENT, DRAINING)),
                        0,
                        step if rng.random() < 0.5 else rng.randrange(50),
                    ),
                )
            after = registry.records[id]
            assert registry.sequence == sequence + (after != before)
            if after != before:
                log.append((registry.sequence, after))
                if before is None or before.state != after.state:
                    urgent_sequence = registry.sequence
            assert registry.urgent_sequence == urgent_sequence
        for after_sequence in range(-1, registry.sequence + 2):
            last_changes = {record.id: (sequence, record) for sequence, record in log}
            expected = [
                record.to_wire()
                for sequence, record in sorted(last_changes.values(), key=lambda change: change[0])
                if sequence > after_sequence
            ]
            assert registry.changes_after(after_sequence) == expected, (seed, after_sequence)


@then(
    "the registry marks the same instances silent as a reference model in {count:d} random histories"
)
def _(context, count):
    silent_count = not_marked_count = 0
    for seed in range(count):
        rng, registry = random.Random(seed), InstanceRegistry(1, PERIOD)
        step, silent_after_us = 100_000, round(SILENT_AFTER_PERIODS * PERIOD)
        heartbeats: dict[str, int] = {}
        expected_silent: set[str] = set()
        connected, connected_since = False, None
        for tick in range(300):
            now = tick * step
            if rng.random() < 0.02:
                connected = not connected
            for number in range(4):
                id = f"m{number}"
                if rng.random() < (0.06 if number else 0.01):
                    registry.observe(
                        now,
                        InstanceRecord(id, "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, tick + 1),
                    )
                    heartbeats[id] = now
                    expected_silent.discard(id)
            registry.tick(now, connected)
            connected_since = (
                None if not connected else now if connected_since is None else connected_since
            )
            for id, heartbeat_at in heartbeats.items():
                if connected and now - max(heartbeat_at, connected_since) > silent_after_us:
                    expected_silent.add(id)
                not_marked_count += (
                    not connected
                    and now - heartbeat_at > silent_after_us
                    and id not in expected_silent
                )
            assert {
                id for id, record in registry.records.items() if record.state == SILENT
            } == expected_silent, (seed, now)
            silent_count += len(expected_silent)
    assert silent_count > 10 * count and not_marked_count > count, (silent_count, not_marked_count)


@then(
    "a registry that receives {received:d} instances keeps {kept:d} and still accepts updates of those"
)
def _(context, received, kept):
    registry = InstanceRegistry(1, PERIOD)
    records = [
        InstanceRecord(f"m{number}", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1)
        for number in range(received)
    ]
    assert (
        sum(registry.observe(0, record) for record in records)
        == kept
        == MAX_RECORDS
        == len(registry.records)
    )
    assert (
        registry.observe(1, replace(records[0], sample=2))
        and registry.mark_gone(2, "m1").state == GONE
    )
    assert not registry.observe(3, replace(records[-1], sample=2))


@then(
    "the registry of a member reconnected after {seconds:d} s lists only instances updated in that time and departing ones"
)
def _(context, seconds):
    registry, second = InstanceRegistry(1, PERIOD), 1_000_000
    registry.tick(0, True)
    for id, state in ("a", READY), ("b", READY), ("c", DRAINING), ("d", GONE), ("e", SILENT):
        registry.observe(0, InstanceRecord(id, "s", "10.0.0.1:80", "z", "v1", 1, state, 0, 1))
    for now in range(0, seconds * second, second // 2):
        registry.tick(now, False)
    # A heartbeat reaches this member during the disconnection.
    registry.observe(
        (seconds - 1) * second, InstanceRecord("b", "s", "10.0.0.1:80", "z", "v1", 1, READY, 0, 9)
    )
    registry.tick(seconds * second, True)
    assert [record[0] for record in registry.changes_after(-1)] == ["c", "d", "b"]

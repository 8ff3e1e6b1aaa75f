"""What members and fronts hold of the machines, beside plain models."""

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


def life_of(dice, id):
    """What one machine says in its life, in order: beats, at last of draining and leaving,
    perhaps."""
    told, state = [], READY
    leaves = dice.random() < 0.6
    for sample in range(1, dice.randint(2, 9)):
        if leaves and dice.random() < 0.2:
            state = DRAINING
        elif state == DRAINING and dice.random() < 0.1:  # it changes its mind: there is no way back
            state = READY
        told.append(
            InstanceRecord(
                id,
                "s",
                "10.0.0.1:80",
                "z",
                dice.choice(("v1", "v2")),
                dice.randint(1, 9),
                state,
                dice.randrange(3),
                sample,
            )
        )
        if state == READY and dice.random() < 0.2:  # a member took it for silent
            told.append(replace(told[-1], state=SILENT))
    if leaves and dice.random() < 0.5:
        told.append(replace(told[-1], state=GONE))
    return told


def shown(table):
    """What counts of a table: of what is gone, that it is."""
    return {id: entry if entry.state != GONE else GONE for id, entry in table.items()}


@then(
    "the screen ends alike over {count:d} lives told in any order, doubled, and lost and told again"
)
def _(context, count):
    ends = set()
    for seed in range(count):
        dice = random.Random(seed)
        lives = [life_of(dice, f"m{number}") for number in range(3)]
        said = [entry for life in lives for entry in life]
        plain = {}
        for life in lives:  # in order, once: the last one holds, and leaving stands
            last = max(life, key=lambda entry: (entry.sample, entry.state))
            worst = max(
                (entry.state for entry in life if entry.state >= DRAINING), default=last.state
            )
            plain[last.id] = replace(last, state=worst)
        ends.update(entry.state for entry in plain.values())
        tables = []
        for _ in range(6):
            row = said + dice.choices(said, k=len(said))
            dice.shuffle(row)
            held, lost = {}, []
            registry = InstanceRegistry(1, PERIOD)
            for entry in row:
                if dice.random() < 0.3:
                    lost.append(entry)
                    continue
                merge_records([entry], held)
                registry.observe(0, entry)
            again = lost + said
            dice.shuffle(again)
            for entry in again:
                merge_records([record_from_wire(entry.to_wire())], held)
                registry.observe(0, entry)
            assert shown(held) == shown(registry.records) == shown(plain), (seed, held, plain)
            number = registry.sequence
            assert merge_records(said, held) == [] and not any(
                registry.observe(0, entry) for entry in said
            )
            assert registry.sequence == number
            tables.append(held)
        one, other = dict(tables[0]), dict(tables[1])
        merge_records(list(tables[1].values()), one)
        merge_records(list(tables[0].values()), other)
        assert shown(one) == shown(other)
    assert ends == {READY, SILENT, DRAINING, GONE}, ends


@then("the screen never lets a machine of {count:d} histories back from leaving")
def _(context, count):
    for seed in range(count):
        dice, registry, left = random.Random(seed), InstanceRegistry(1, PERIOD), {}
        for step in range(60):
            now = step * 100_000
            id = f"m{dice.randrange(4)}"
            if dice.random() < 0.05:
                registry.mark_gone(now, id)
                left[id] = GONE
            else:
                state = dice.choices((READY, SILENT, DRAINING), (10, 3, 1))[0]
                registry.observe(
                    now,
                    InstanceRecord(
                        id, "s", "10.0.0.1:80", "z", "v1", 4, state, 0, dice.randrange(99)
                    ),
                )
                if state == DRAINING:
                    left.setdefault(id, DRAINING)
            registry.tick(now, dice.random() < 0.9)
            for one, state in left.items():
                assert registry.records[one].state == state, (seed, one)


@then("the screen tells after any number what a plain log of {count:d} histories tells")
def _(context, count):
    for seed in range(count):
        dice, registry, log = random.Random(seed), InstanceRegistry(1, PERIOD), []
        urgent = 0
        for step in range(50):
            id = f"m{dice.randrange(6)}"
            before = registry.records.get(id)
            number = registry.sequence
            if dice.random() < 0.1:
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
                        dice.choice((READY, SILENT, DRAINING)),
                        0,
                        step if dice.random() < 0.5 else dice.randrange(50),
                    ),
                )
            after = registry.records[id]
            assert registry.sequence == number + (after != before)
            if after != before:
                log.append((registry.sequence, after))
                if before is None or before.state != after.state:
                    urgent = registry.sequence
            assert registry.urgent_sequence == urgent
        for known in range(-1, registry.sequence + 2):
            last = {entry.id: (number, entry) for number, entry in log}
            wanted = [
                entry.to_wire()
                for number, entry in sorted(last.values(), key=lambda one: one[0])
                if number > known
            ]
            assert registry.changes_after(known) == wanted, (seed, known)


@then("the screen finds silence where a plain watch over {count:d} histories finds it")
def _(context, count):
    found = kept = 0
    for seed in range(count):
        dice, registry = random.Random(seed), InstanceRegistry(1, PERIOD)
        step, limit = 100_000, round(SILENT_AFTER_PERIODS * PERIOD)
        beats: dict[str, int] = {}
        silent: set[str] = set()
        connected, since = False, None
        for tick in range(300):
            now = tick * step
            if dice.random() < 0.02:
                connected = not connected
            for number in range(4):
                id = f"m{number}"
                if dice.random() < (0.06 if number else 0.01):
                    registry.observe(
                        now,
                        InstanceRecord(id, "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, tick + 1),
                    )
                    beats[id] = now
                    silent.discard(id)
            registry.tick(now, connected)
            since = None if not connected else now if since is None else since
            for id, at in beats.items():
                if connected and now - max(at, since) > limit:
                    silent.add(id)
                kept += not connected and now - at > limit and id not in silent
            assert {
                id for id, entry in registry.records.items() if entry.state == SILENT
            } == silent, (seed, now)
            found += len(silent)
    assert found > 10 * count and kept > count, (found, kept)


@then("the screen told of {many:d} machines holds {most:d} and still takes news of those")
def _(context, many, most):
    registry = InstanceRegistry(1, PERIOD)
    entries = [
        InstanceRecord(f"m{number}", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1)
        for number in range(many)
    ]
    assert (
        sum(registry.observe(0, entry) for entry in entries)
        == most
        == MAX_RECORDS
        == len(registry.records)
    )
    assert (
        registry.observe(1, replace(entries[0], sample=2))
        and registry.mark_gone(2, "m1").state == GONE
    )
    assert not registry.observe(3, replace(entries[-1], sample=2))


@then(
    "the screen of a member back after {seconds:d} s tells no machine that it did not hear of meanwhile, and those "
    "that leave"
)
def _(context, seconds):
    registry, second = InstanceRegistry(1, PERIOD), 1_000_000
    registry.tick(0, True)
    for id, state in ("a", READY), ("b", READY), ("c", DRAINING), ("d", GONE), ("e", SILENT):
        registry.observe(0, InstanceRecord(id, "s", "10.0.0.1:80", "z", "v1", 1, state, 0, 1))
    for now in range(0, seconds * second, second // 2):
        registry.tick(now, False)
    registry.observe(
        (seconds - 1) * second, InstanceRecord("b", "s", "10.0.0.1:80", "z", "v1", 1, READY, 0, 9)
    )  # it beat here
    registry.tick(seconds * second, True)
    assert [one[0] for one in registry.changes_after(-1)] == ["c", "d", "b"]

"""Steps of conditional_writes.feature: the decision of puts alone, and by members in virtual time."""

import asyncio
import json
import random
from collections import Counter
from types import SimpleNamespace

from behave import given, then

from tests.gateway import operators
from tests.gateway.operators import CALLS, body, counts, run_with_fault, storm, value
from umbermoor.gateway.api.decisions import CONFIG_KEY, MAX_PAST_REVISIONS, decide_write
from umbermoor.gateway.api.http_api import ApiRequest
from umbermoor.gateway.discovery.registry import InstanceRegistry
from umbermoor.gateway.effects import CallResult, Decision, Outcome, Status
from umbermoor.gateway.replication.leases import LEASE
from umbermoor.gateway.rollout.admission import first_record, order_request, stage_write
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX, supersedes
from umbermoor.gateway.server.rollout_calls import RolloutCalls
from umbermoor.gateway.simulation.linearizability import NEVER, Operation, find_violation
from umbermoor.gateway.simulation.replica_world import ReplicaWorld
from umbermoor.gateway.simulation.violations import InvariantViolation
from umbermoor.gateway.units import MILLISECOND


def put(held, key, new, epoch=5):
    decision = decide_write(held, key, new, epoch)
    assert (decision.value is not None) == (decision.outcome is Outcome.ACCEPTED)
    if decision.outcome is Outcome.ACCEPTED:
        held[key] = json.loads(json.dumps(decision.value))
    return decision


@then("putting configurations {puts} gives {outcomes}")
def _(context, puts, outcomes):
    held = {}
    found = [
        put(held, CONFIG_KEY, value(int(item[:-1]), item[-1])).outcome.value
        for item in puts.split()
    ]
    assert found == outcomes.split(), found
    last = max(puts.split(), key=lambda item: int(item[:-1]))
    assert json.loads(held[CONFIG_KEY]["text"])["routes"]["r"]["prefix"] == f"/{last[-1]}/"


@then(
    "of {count:d} configurations the last {known:d} are recognized, in at most {most:d} bytes besides the text"
)
def _(context, count, known, most):
    held = {}
    for number in range(1, count + 1):
        assert put(held, CONFIG_KEY, value(number, "a")).outcome is Outcome.ACCEPTED
    assert known == MAX_PAST_REVISIONS + 1
    for number in range(1, count + 1):
        found = [put(held, CONFIG_KEY, value(number, content)).outcome.value for content in "ab"]
        assert found == (["same", "clash"] if number > count - known else ["older", "older"]), (
            number,
            found,
        )
    assert len(json.dumps(held[CONFIG_KEY])) - len(json.dumps(held[CONFIG_KEY]["text"])) <= most


@then("malformed puts are conflicts, and none raises an error")
def _(context):
    chance = random.Random(1)
    junk = [
        None,
        -1,
        2**70,
        1.5,
        True,
        "",
        "x",
        [],
        [1],
        [[]],
        {},
        {"a": 1},
        "[" * 9000,
        "{",
        "\ud800",
    ]
    record = first_record(None, order_request("v2", 12, ["v1"]))
    for held in {}, {CONFIG_KEY: value(5, "a"), ROLLOUT_KEY_PREFIX + "s": record}:
        for _ in range(3000):
            key, put_value = chance.choice(
                (
                    (CONFIG_KEY, value(6, "b")),
                    (ROLLOUT_KEY_PREFIX + "s", record | {"begin": order_request("v3", 1, [])}),
                    (ROLLOUT_KEY_PREFIX + "s", stage_write(record | {"serial": 1}, record, 5)),
                    ("other", {}),
                )
            )
            if chance.random() < 0.2:
                put_value = chance.choice(junk)
            else:
                for _ in range(chance.choice((1, 2))):
                    put_value[chance.choice([*put_value, "begin", "on"])] = chance.choice(junk)
            decide_write(held, key, put_value, 5)
        for key, malformed in (
            (CONFIG_KEY, 7),
            (CONFIG_KEY, {}),
            (CONFIG_KEY, {"revision": "5", "text": "{}"}),
            (ROLLOUT_KEY_PREFIX + "s", None),
            (CONFIG_KEY, {"revision": 2**40, "text": "{}"}),
            (CONFIG_KEY, {"revision": 9, "text": "no JSON"}),
        ):
            assert decide_write(held, key, malformed, 5).outcome is Outcome.CONFLICT, (
                key,
                malformed,
            )


@then("ordering roll-outs {orders} gives {outcomes}")
def _(context, orders, outcomes):
    held, found, key = {CONFIG_KEY: value(1, "a")}, [], ROLLOUT_KEY_PREFIX + "s"
    for order in orders.split():
        if order[0] == "!":
            held[key]["state"] = order[1:]
            continue
        target, _, name = order.partition("#")
        found.append(
            put(held, key, {"begin": order_request(target, 12, ["v1"], name)}).outcome.value
        )
    assert found == outcomes.split(), found
    assert (
        decide_write(
            {CONFIG_KEY: value(1, "a")},
            ROLLOUT_KEY_PREFIX + "t",
            {"begin": order_request("v2", 12, [])},
            5,
        ).outcome
        is Outcome.NOT_FOUND
    )


@then("a stage decided {when} comes out as {outcome}")
def _(context, when, outcome):
    first = first_record(None, order_request("v2", 12, ["v1"])) | {"serial": 3}
    held, on, epoch = {ROLLOUT_KEY_PREFIX + "s": first}, first, 5
    if "epoch" in when:
        epoch += 1 if "later" in when else -1
    elif when == "on an earlier record":
        on = first | {"serial": 2}
    elif "earlier head" in when:  # it stored the whole put of a member of this revision
        held[ROLLOUT_KEY_PREFIX + "s"] = on = first | {"begin": order_request("v2", 12, ["v1"])}
    elif "order" in when:
        held[ROLLOUT_KEY_PREFIX + "s"] = first_record(
            first | {"state": "settled"}, order_request("v3", 12, [])
        )
    elif "reverted" in when:
        held[ROLLOUT_KEY_PREFIX + "s"] = first | {"state": "reverted"}
    new = on | {"serial": on["serial"] + 1, "stage": 1}
    assert put(held, ROLLOUT_KEY_PREFIX + "s", stage_write(new, on, epoch)).outcome.value == outcome
    if outcome == "taken":
        new.pop("begin", None)
        assert held[ROLLOUT_KEY_PREFIX + "s"] == new  # nothing but the record is stored


class HostWithEarlierHead:
    """The host of a controller whose head is of the earlier revision.

    That head stores a put that is newer than the record, and answers every put as accepted.
    """

    def __init__(self, record):
        self.replica = SimpleNamespace(
            committed={ROLLOUT_KEY_PREFIX + "s": record}, head_decides=False, put=self.put
        )

    def is_connected(self):
        return True

    def put(self, now, number, key, new):
        if supersedes(new, self.replica.committed[key]):
            self.replica.committed[key] = new
        return CallResult(number, Status.OK, Decision(Outcome.ACCEPTED))

    async def call(self, put):
        return put(0, 1)


@then(
    "a controller with such a head answers an order of {target} with {status:d}, and v2 stays in progress"
)
def _(context, target, status):
    record = first_record(None, order_request("v2", 12, ["v1"])) | {"serial": 3, "stage": 1}
    host = HostWithEarlierHead(record)
    calls = RolloutCalls(InstanceRegistry(1, 1_500_000), host)
    response = asyncio.run(
        calls.begin(
            ApiRequest("", json.dumps({"service": "s", "target": target, "rampS": 12}).encode())
        )
    )
    assert response.status == status, response
    assert host.replica.committed[ROLLOUT_KEY_PREFIX + "s"] == record, host.replica.committed


@given("the members of a chain have stores of the earlier revision")
def _(context):
    context.stored = json.dumps(body(5, "a"))
    record = first_record(None, order_request("v2", 12, ["v1"]))
    del record["known"]
    stored = {
        "members": ["10.0.0.1", "10.0.0.2", "10.0.0.3"],
        "promise": 17001,
        "version": [17001, 2],
        "view": [17001, ["10.0.0.1", "10.0.0.2", "10.0.0.3"]],
        "state/rollout/s": record,
        "state/config": {"revision": 5, "text": context.stored},
    }
    world = context.world = ReplicaWorld(1, decider=decide_write)
    for machine in world.machines.values():
        machine.disk = {key: json.dumps(content).encode() for key, content in stored.items()}
    world.start_all(cold=False)
    assert world.run(5_000 * MILLISECOND, world.whole)


@then("each member answers puts as if this revision had written the stores")
def _(context):
    world = context.world

    def status_of_put(name, key, new):
        number = world.put(name, key, new)
        world.run(900 * MILLISECOND)
        return world.calls[number].answered

    for name in world.names:
        assert status_of_put(name, CONFIG_KEY, value(5, "A")) is Status.OK
        assert status_of_put(name, CONFIG_KEY, value(5, "b")) is Status.CONFLICT
        assert (
            status_of_put(name, ROLLOUT_KEY_PREFIX + "s", {"begin": order_request("v2", 9, [])})
            is Status.OK
        )
        assert (
            status_of_put(name, ROLLOUT_KEY_PREFIX + "s", {"begin": order_request("v3", 9, [])})
            is Status.CONFLICT
        )
    read = world.read(world.names[0])
    world.run(900 * MILLISECOND)
    assert world.calls[read].answered is Status.OK
    assert world.machines[world.names[0]].member.committed[CONFIG_KEY] == {
        "revision": 5,
        "text": context.stored,
    }
    assert status_of_put(world.names[1], CONFIG_KEY, value(6, "b")) is Status.OK
    assert (
        status_of_put(world.names[2], CONFIG_KEY, value(5, "b")) is Status.CONFLICT
        and status_of_put(world.names[2], CONFIG_KEY, value(5, "a")) is Status.OK
    )


@then("the linearizability checker finds {history} {verdict:w}")
def _(context, history, verdict):
    ops = []
    for item in history.split(", "):
        span, what, answer = item.split()
        began, ended = span.split("-")
        if what == "read":
            ops.append(
                Operation(
                    int(began),
                    int(ended),
                    None,
                    "",
                    None if answer == "-" else (int(answer[0]), answer[1]),
                )
            )
        else:
            unknown = answer == "?"
            ops.append(
                Operation(
                    int(began),
                    NEVER if unknown else int(ended),
                    int(what[0]),
                    what[1],
                    "unknown" if unknown else answer,
                )
            )
    assert (find_violation(ops) is None) == (verdict == "sound"), find_violation(ops)


@then("the answers of {members:d} members are consistent in storms {first:d} to {last:d}")
def _(context, members, first, last):
    answers = sum((counts(storm(seed, members)) for seed in range(first, last + 1)), Counter())
    assert all(
        answers[kind] > 20
        for kind in (
            "put taken",
            "put same",
            "put clash",
            "put older",
            "read told",
            "order taken",
            "order same",
            "order clash",
        )
    ), answers


@then('storms find the defect "{how}" within {count:d} seeds')
def _(context, how, count):
    broken = getattr(operators, how)
    for seed in range(count):
        try:
            storm(
                seed,
                3,
                **({"replica_class": broken} if isinstance(broken, type) else {"decider": broken}),
            )
        except InvariantViolation:
            return
    raise AssertionError(f"{how} was not found in {count} seeds")


@then(
    'the {place:w} with fault "{way}" for {seconds:d} s answers nothing beyond its lease, and everything again '
    "soon after"
)
def _(context, place, way, seconds):
    end = seconds * 1000 * MILLISECOND
    _, seen = run_with_fault(place, way, end)
    for call in CALLS:
        answered = [item for item in seen if item.call == call and item.result != "unknown"]
        within = LEASE if call == "beat" else 50 * MILLISECOND  # calls already in progress
        assert all(item.after <= within or item.after >= end for item in answered), (call, answered)
        after = [item for item in seen if item.call == call and item.at >= end + 1000 * MILLISECOND]
        assert after and all(item.result != "unknown" for item in after), (call, after)
        assert call != "repeat" or {item.result for item in answered} == {"same"}
    assert way != "frozen" or all(
        item.result == "unknown" for item in seen if item.call == "beat" and item.at == end
    )

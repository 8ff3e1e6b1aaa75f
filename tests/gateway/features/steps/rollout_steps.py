"""Steps of rollout.feature: fleets simulated by benchmarks/rollouts.py, and single proxies and
coordinators."""

import json
from typing import Any

from behave import given, then, when

from benchmarks.rollouts import Fleet
from umbermoor.gateway.api.http_api import ApiRequest, ApiResponse
from umbermoor.gateway.effects import Outcome, Status
from umbermoor.gateway.rollout import SECOND, RolloutCoordinator, RolloutObserver
from umbermoor.gateway.rollout.admission import decide_begin, order_request
from umbermoor.gateway.rollout.records import AttemptResult, RecordDocument
from umbermoor.gateway.server.call_results import HTTP_STATUS
from umbermoor.gateway.server.rollout_calls import BeginRequest

RAMP = 12.0
SERVICE = "maps"


@given("a rollout of a version that is {kind}, simulated with seeds {first:d} to {last:d}")
def _(context: Any, kind: str, first: int, last: int) -> None:
    context.outcomes = [Fleet(kind, seed, ramp=RAMP).play() for seed in range(first, last + 1)]


@given(
    "a simulated rollout in which {dose:g} of the answers are {kind}, with seeds {first:d} to {last:d}"
)
def _(context: Any, kind: str, dose: float, first: int, last: int) -> None:
    context.outcomes = [
        Fleet(kind, seed, ramp=RAMP, dose=dose).play() for seed in range(first, last + 1)
    ]


@given(
    "a simulated rollout at {requests:d} requests/s in which only {dose:g} of the answers are {kind}, with seeds {first:d} to {last:d}"
)
def _(context: Any, requests: int, kind: str, dose: float, first: int, last: int) -> None:
    context.outcomes = [
        Fleet(kind, seed, 3, requests, RAMP, True, 4, dose, 0.0).play()
        for seed in range(first, last + 1)
    ]


@then("the rollout is {state} by the end of its ramp in each simulation")
def _(context: Any, state: str) -> None:
    for outcome in context.outcomes:
        assert outcome.state == state and outcome.after <= RAMP, outcome


@then("the rollout kept its exposure limit in each simulation")
def _(context: Any) -> None:
    for outcome in context.outcomes:
        assert outcome.received and outcome.trial <= 0.1 * outcome.asked + 50, outcome


@then(
    "the rollout sent no attempt to the version later than {span:g} s after the 50th bad response"
)
def _(context: Any, span: float) -> None:
    for outcome in context.outcomes:
        assert outcome.fiftieth is None or outcome.last_sent <= outcome.fiftieth + span, outcome


@then("the rollout left no attempts at the old instances")
def _(context: Any) -> None:
    assert all(outcome.strays == 0 for outcome in context.outcomes), context.outcomes


def record(stage: int, state: str = "running", serial: int = 0) -> dict[str, Any]:
    return {
        "order": 1,
        "serial": serial,
        "target": "v2",
        "from": ["v1"],
        "rampS": RAMP,
        "state": state,
        "stage": stage,
        "elapsed": 4.0,
        "why": "",
    }


def update_instances(context: Any) -> None:
    context.proxy.confirm(context.now)
    context.proxy.update_instances(context.now, SERVICE, context.instances)


def chosen_versions(context: Any, requests: int = 200) -> list[str | None]:
    """Return the versions of a number of requests, each sent and answered successfully at once."""
    versions = []
    for i in range(requests):
        context.now += 2000
        context.proxy.request_received(context.now, SERVICE)
        version = context.proxy.choose_version(context.now, SERVICE, i * 0.618 % 1)
        assert context.proxy.may_send(context.now, SERVICE, version)
        context.proxy.attempt_sent(context.now, SERVICE, version)
        context.proxy.attempt_ended(
            context.now, SERVICE, version, f"{version}-0", 0, True, AttemptResult.SUCCESS, False
        )
        versions.append(version)
    return versions


@given("proxy F that lists {number:d} instances of {revision}")
def _(context: Any, number: int, revision: str) -> None:
    context.now, context.proxy = 10 * SECOND, RolloutObserver()
    context.instances = [(f"{revision}-{i}", revision, 0) for i in range(number)]
    update_instances(context)


@given("proxy F also lists {number:d} instances of {revision}")
@when("proxy F also lists {number:d} instances of {revision}")
def _(context: Any, number: int, revision: str) -> None:
    context.instances += [(f"{revision}-{i}", revision, 0) for i in range(number)]
    update_instances(context)


@when("proxy F learns of an order for v2 at stage {stage:d}")
def _(context: Any, stage: int) -> None:
    context.proxy.apply_record(context.now, SERVICE, record(stage))


@when("proxy F learns that the order is reverted")
def _(context: Any) -> None:
    context.proxy.apply_record(context.now, SERVICE, record(3, "reverted", 1))


@when("proxy F gets no update for {span:d} ms")
def _(context: Any, span: int) -> None:
    context.now += span * 1000


@when("proxy F sees {number:d} attempts at v2 fail")
def _(context: Any, number: int) -> None:
    for _ in range(number):
        context.proxy.attempt_sent(context.now, SERVICE, "v2")
        context.proxy.attempt_ended(
            context.now, SERVICE, "v2", "v2-0", 0, False, AttemptResult.ERROR_RESPONSE, False
        )


@when(
    "{early:d} attempts of proxy F at v2 are abandoned before the target time, and {late:d} after it"
)
def _(context: Any, early: int, late: int) -> None:
    for in_time, number in ((True, early), (False, late)):
        for _ in range(number):
            context.proxy.attempt_sent(context.now, SERVICE, "v2")
            context.proxy.attempt_abandoned(
                context.now, SERVICE, "v2", "v2-0", 0, in_time, retry=False
            )


@then(
    "proxy F has counted {late:d} late outcomes of the trial, none failed, and has nothing in flight"
)
def _(context: Any, late: int) -> None:
    state = context.proxy.services[SERVICE]
    trial = state.outcomes.trial
    assert (trial.total, trial.good, trial.failed) == (late, 0, 0), trial
    assert not state.failures and not state.in_flight


@then("proxy F sends every request to {version}, and may send none to {other}")
def _(context: Any, version: str, other: str) -> None:
    assert set(chosen_versions(context)) == {version}
    assert not context.proxy.may_send(context.now, SERVICE, other)


@then("proxy F sends {least:d} to {most:d} of {requests:d} requests to v2")
def _(context: Any, least: int, most: int, requests: int) -> None:
    assert least <= chosen_versions(context, requests).count("v2") <= most


def begin(context: Any, target: str, ramp: float) -> RecordDocument | Status:
    """Decide on an order as /Rollouts.Begin does, given the coordinator's record.

    Returns the record to write; OK if nothing changes; CONFLICT or INVALID.
    """
    body = json.dumps({"service": SERVICE, "target": target, "rampS": ramp}).encode()
    request = BeginRequest.decode(ApiRequest("", body))
    if isinstance(request, ApiResponse):
        assert request.status == HTTP_STATUS[Status.INVALID], request
        return Status.INVALID
    progress = context.coordinator.orders.get(request.service)
    last = progress.record.document if progress else None
    order = order_request(request.target, request.ramp_s, ["v1"], request.key)
    decision = decide_begin(last, order, lambda: True)
    if decision.outcome is Outcome.ACCEPTED:
        return decision.value
    return {Outcome.UNCHANGED: Status.OK, Outcome.CONFLICT: Status.CONFLICT}[decision.outcome]


@given("a rollout coordinator without orders")
def _(context: Any) -> None:
    context.now, context.coordinator = 0, RolloutCoordinator()


@then("the rollout coordinator answers {code} to an order for {target} after one for v2")
def _(context: Any, code: str, target: str) -> None:
    context.coordinator.apply_record(0, SERVICE, begin(context, "v2", RAMP))
    assert begin(context, target, RAMP) is Status[code]


@then("the rollout coordinator answers {code} to an order for {target} again")
def _(context: Any, code: str, target: str) -> None:
    assert begin(context, target, RAMP) is Status[code]


@then("the rollout coordinator answers {code} to an order with a ramp of {ramp:g} s")
def _(context: Any, code: str, ramp: float) -> None:
    assert begin(context, "v2", ramp) is Status[code]


@given("a rollout coordinator that leads an order for v2, and {proxies:d} proxies that report")
def _(context: Any, proxies: int) -> None:
    context.now, context.coordinator, context.by_instance = 5 * SECOND, RolloutCoordinator(), {}
    context.coordinator.apply_record(context.now, SERVICE, record(0))
    for proxy in range(1, proxies + 1):
        report(context, proxy, "b-1", 0, 0)


def report(context: Any, proxy: int, instance: str, bad: int, number: int) -> None:
    context.now += 20_000
    counts = context.by_instance.setdefault(proxy, {})
    counts[instance] = [number, bad]
    total, total_bad = (sum(count[i] for count in counts.values()) for i in range(2))
    context.coordinator.receive_report(
        context.now,
        f"proxy-{proxy}",
        {
            "service": SERVICE,
            "target": "v2",
            "order": 1,
            "stage": 0,
            "since": 1,
            "elapsed": 4.0,
            "vote": None,
            "counts": {"trial": [total, total - total_bad, total_bad], "base": [300, 298, 2]},
            "before": 3,
            "asked": 300,
            "each": {name: list(count) for name, count in counts.items()},
            "listed": [8, 8],
        },
    )


@when("proxy {proxy:d} reports that {bad:d} of {number:d} outcomes of instance {instance} were bad")
def _(context: Any, proxy: int, bad: int, number: int, instance: str) -> None:
    report(context, proxy, instance, bad, number)


def state(context: Any) -> str:
    context.now += SECOND // 4
    puts = context.coordinator.tick(context.now)
    return puts[-1][1]["state"] if puts else "running"


@then("the rollout coordinator keeps the rollout running")
def _(context: Any) -> None:
    assert state(context) == "running"


@then("the rollout coordinator reverts the rollout")
def _(context: Any) -> None:
    assert state(context) == "reverted"

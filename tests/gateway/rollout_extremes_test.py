"""Rollouts whose numbers lie at the end of their range, or outside of it.

Guards against the fault of docs/incidents/review-4-leaders.md: an estimate above 1, stored in the
record of an order, ended each controller that led.
"""

import json
import math
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.extreme_rollouts import (
    RAMP_S,
    BadVersions,
    Extreme,
    ExtremeFleet,
    Fault,
    MovedTargetFleet,
)
from tests.gateway.control.replacements import ReplacementWorld
from umbermoor.gateway.api.http_api import ApiRequest, ApiResponse
from umbermoor.gateway.rollout import SECOND, RolloutCoordinator, RolloutObserver
from umbermoor.gateway.rollout.admission import decide_begin, first_record, order_request
from umbermoor.gateway.rollout.baseline import Baseline
from umbermoor.gateway.rollout.judgement import log_likelihood_ratio
from umbermoor.gateway.rollout.records import (
    MAX_SECONDS,
    AttemptResult,
    BaselineShares,
    InvalidRecordError,
    RolloutRecord,
)
from umbermoor.gateway.rollout.reports import InvalidReportError, ProxyReport
from umbermoor.gateway.rollout.stages import FINAL_STAGE
from umbermoor.gateway.server.rollout_calls import BeginRequest
from umbermoor.gateway.simulation.schedule import parse
from umbermoor.gateway.units import MILLISECOND

SERVICE = "maps"
HUGE = 10**400  # JSON has no limit; as a float it overflows
STORED = first_record(None, order_request("v2", 12, ["v1"])) | {
    "stage": FINAL_STAGE,
    "elapsed": 9.1,
}
EXTREMES = [Extreme(*case) for case in product(BadVersions, Fault)]


def named(extreme):
    return f"{extreme.versions.value} {extreme.fault.value}"


# Simulated rollouts


@pytest.mark.parametrize("extreme", EXTREMES, ids=named)
def test_an_order_ends_by_its_term_though_all_answers_are_bad(extreme):
    for seed in range(3):
        outcome = ExtremeFleet(extreme, seed, calm=True).play()
        assert (outcome.state, outcome.after <= RAMP_S) == (extreme.expected_state, True), outcome


@pytest.mark.parametrize("extreme", EXTREMES, ids=named)
def test_restarts_and_a_new_leader_meet_bad_answers_without_an_end(extreme):
    for seed in range(2):
        assert ExtremeFleet(extreme, seed).play().state == extreme.expected_state


def test_a_setpoint_that_moves_during_an_order_speaks_against_no_version():
    """Guards against sound versions sent back because both were late from some moment on."""
    for seed in range(8):
        outcome = MovedTargetFleet("good", seed, calm=True).play()
        assert (outcome.state, outcome.after <= RAMP_S) == ("settled", True), outcome
    for seed in range(4):
        outcome = MovedTargetFleet("errors", seed, calm=True).play()
        assert (outcome.state, outcome.after <= RAMP_S) == ("reverted", True), outcome


def test_the_latency_target_of_a_route_stays_until_its_order_has_ended():
    proxy, targets = RolloutObserver(), []
    for record, configured in (
        (None, 250_000),
        (STORED, 100_000),
        (STORED, 50_000),
        (STORED | {"serial": 1, "state": "settled"}, 50_000),
        (STORED | {"order": 2}, 70_000),
    ):
        proxy.apply_record(0, SERVICE, record)
        targets.append(proxy.latency_target(SERVICE, "route", configured))
    assert targets == [250_000, 100_000, 100_000, 50_000, 70_000]


def with_shares_above_1(record):
    """Return a record as earlier revisions wrote it where nearly all outcomes were bad."""
    return record | {"base": [1.002, 1.003, 1.003]} if "base" in record else record


@pytest.mark.parametrize("versions", [BadVersions.OLD, BadVersions.BOTH])
def test_a_stored_share_above_1_does_not_keep_an_order_from_ending(versions):
    extreme = Extreme(versions, Fault.LATE)
    for seed in range(2):
        outcome = ExtremeFleet(extreme, seed, change_record=with_shares_above_1).play()
        assert outcome.state == "settled", outcome


class ShareAboveOneWorld(ReplacementWorld):
    """All controllers are killed in the last stage of a rollout, and find such a record then."""

    killed = 0

    def _check(self):
        super()._check()
        nodes = list(self.controllers.values())
        stored = [node.host.disk.records.get(f"state/rollout/{SERVICE}", b"") for node in nodes]
        if not self.killed and all(b"1.002" in record for record in stored):
            for node in nodes:
                self.process_faults.kill(node, 300, power_lost=False)
                self.killed += 1


def test_controllers_that_find_a_share_above_1_on_their_disks_end_the_order(monkeypatch):
    decide = RolloutCoordinator.tick

    def decide_as_before(coordinator, now):
        return [
            (service, with_shares_above_1(record)) for service, record in decide(coordinator, now)
        ]

    monkeypatch.setattr(RolloutCoordinator, "tick", decide_as_before)
    day = "day seed=5 members=3 fronts=2 bear=1 long=30000"
    order = "1000 rollout service=maps target=v2 ramp=6 good=1"
    world = ShareAboveOneWorld(parse(f"{day}\n{order}\n"))
    world.run()  # raises if a process ends by itself
    assert world.killed == len(world.controllers)
    assert world.counts["settled"] >= 1


# Single values


@pytest.mark.parametrize("outcomes", [1, 7, 50, 3000])
@pytest.mark.parametrize("bad_share", [0.0, 0.5, 0.97, 1.0])
def test_each_estimate_of_a_share_lies_from_0_to_1(outcomes, bad_share):
    baseline = Baseline(0.02, 20.0)
    baseline.add(1000, outcomes, round(outcomes * bad_share))
    shares = baseline.final_estimate(), baseline.mean(), baseline.current(), baseline.highest()
    assert all(0 <= share <= 1 for share in shares), shares


def test_without_good_outcomes_to_lose_no_outcome_is_evidence():
    assert log_likelihood_ratio(1.0, 0.6, outcomes=100, bad=100) == 0.0
    assert log_likelihood_ratio(0.95, 0.6, outcomes=100, bad=95) < 0
    assert log_likelihood_ratio(0.05, 0.6, outcomes=100, bad=95) > 0


@pytest.mark.parametrize(
    ("stored", "read"),
    [
        ({"rampS": HUGE}, {"rampS": MAX_SECONDS}),
        ({"rampS": -3}, {"rampS": 1e-6}),
        ({"elapsed": math.inf}, {"elapsed": MAX_SECONDS}),
        ({"stage": 9}, {"stage": FINAL_STAGE}),
        ({"base": [1.002, -0.1, HUGE]}, {"base": [1.0, 0.0, 1.0]}),
        ({"base": [math.nan, 0.1, 0.1]}, {"base": None}),
        ({"base": [0.1]}, {"base": None}),
        ({"base": [0.01, 0.0, 1], "other": 7}, {"base": [0.01, 0.0, 1], "other": 7}),
    ],
    ids=str,
)
def test_a_stored_number_out_of_range_is_read_as_the_nearest_and_written_so(stored, read):
    record = RolloutRecord.read(STORED | stored)
    assert record.document == STORED | stored
    ramp_and_stage = record.ramp_seconds, record.stage
    assert ramp_and_stage == tuple((STORED | read)[key] for key in ("rampS", "stage"))
    assert record.elapsed_seconds == (STORED | read)["elapsed"]
    following = record.next({}, 10.0).document
    assert following == STORED | read | {"serial": 1, "elapsed": 10.0}


@pytest.mark.parametrize(
    "key", ["order", "serial", "target", "from", "rampS", "state", "stage", "elapsed"]
)
@pytest.mark.parametrize("value", [None, {}, math.nan])
def test_a_record_with_a_value_of_another_type_has_no_effect(key, value):
    for user in (RolloutCoordinator(), RolloutObserver()):
        with pytest.raises(InvalidRecordError, match=key):
            user.apply_record(0, SERVICE, STORED | {key: value})
        user.apply_record(0, SERVICE, STORED)
        with pytest.raises(InvalidRecordError, match=key):
            user.apply_record(0, SERVICE, STORED | {"serial": 1, key: value})


@pytest.mark.parametrize("ramp", ["0", "-1", "1e999", "NaN", "true", '"12"', str(HUGE), "1e10"])
def test_a_ramp_time_that_no_order_may_have_is_refused_by_its_name(ramp):
    body = f'{{"service": "maps", "target": "v2", "rampS": {ramp}}}'.encode()
    response = BeginRequest.decode(ApiRequest("", body))
    assert isinstance(response, ApiResponse)
    assert response.status == 422
    assert "rampS" in json.loads(response.body)["error"]
    with pytest.raises(ValueError):  # noqa: PT011
        decide_begin(None, order_request("v2", json.loads(ramp), ["v1"]), lambda: True)


def report(since=1, trial=(0, 0, 0), base=(0, 0, 0), each=None, answers=None, **changed):
    document = {
        "service": SERVICE,
        "target": "v2",
        "order": 1,
        "stage": FINAL_STAGE,
        "since": since,
        "elapsed": 9.0,
        "vote": None,
        "counts": {"trial": list(trial), "base": list(base)},
        "before": 0,
        "asked": 300,
        "each": each or {},
        "listed": [8, 8],
    }
    return document | ({} if answers is None else {"answers": answers}) | changed


@pytest.mark.parametrize(
    "changed",
    [
        {"trial": (1, -1, 0)},
        {"trial": (1, 1, 1)},
        {"trial": (HUGE, 0, 0)},
        {"base": (1.0, 0, 0)},
        {"base": (True, 0, 0)},
        {"base": ()},
        {"each": {"i": [3, 4]}},
        {"each": [3]},
        {"stage": 7},
        {"since": "x"},
        {"elapsed": math.inf},
        {"elapsed": -1.0},
        {"vote": "maybe"},
        {"before": "3"},
        {"asked": None},
        {"listed": [1]},
        {"listed": [1, -1]},
        {"answers": {"trial": {"i": [2, 2, 1]}, "base": [0, 0, 0]}},
        {"answers": {"trial": {}, "base": [1, 0, math.nan]}},
    ],
    ids=str,
)
def test_a_report_with_a_number_that_is_none_is_refused(changed):
    with pytest.raises(InvalidReportError):
        ProxyReport.read(report(**changed))


@pytest.mark.parametrize(
    "later",
    [
        {"base": (12, 2, 0)},  # ten outcomes that were good are bad now
        {"base": (12, 13, 0)},
        {"each": {"i": [2, 2]}},
        {"trial": (3, 3, 0)},
    ],
    ids=str,
)
def test_counts_that_do_not_continue_the_earlier_ones_are_ignored(later):
    coordinator = RolloutCoordinator()
    coordinator.apply_record(0, SERVICE, STORED | {"stage": 0})
    earlier = {"trial": (4, 4, 0), "base": (10, 10, 0), "each": {"i": [4, 1]}}
    coordinator.receive_report(1, "proxy", report(**earlier))
    with_later = earlier | later
    if with_later["base"] == (12, 13, 0):
        with pytest.raises(InvalidReportError):
            coordinator.receive_report(2, "proxy", report(**with_later))
    else:
        coordinator.receive_report(2, "proxy", report(**with_later))
    test = coordinator.orders[SERVICE].test
    assert (test.baseline.outcomes, test.baseline.bad, test.trial.total) == (10, 0, 4)


# Whatever is read, no input ends the process

shares = st.one_of(st.floats(0, 1), st.sampled_from([1.0, 1.002, 0.0, math.inf, HUGE, -1]))
ramps = st.one_of(st.floats(), st.sampled_from([HUGE, 1e-300, 12, 0, MAX_SECONDS]))


@st.composite
def counts(draw):
    """Draw outcomes and the bad ones among them; mostly all, or none."""
    total = draw(st.sampled_from([0, 1, 9, 400, 1 << 53]))
    return total, draw(st.sampled_from([0, total // 2, total]))


@st.composite
def reports(draw):
    (trial, trial_bad), (base, base_bad) = draw(counts()), draw(counts())
    errors = draw(st.booleans())
    return report(
        since=draw(st.integers(0, 2)),
        trial=(trial, trial - trial_bad, trial_bad if errors else 0),
        base=(base, base - base_bad, base_bad if errors else 0),
        each={"i": [trial, trial_bad]},
        answers={
            "trial": {"i": [trial, trial_bad * errors, trial_bad * (not errors)]},
            "base": [base, base_bad * errors, base_bad * (not errors)],
        },
        elapsed=draw(st.sampled_from([0.0, 9.0, MAX_SECONDS])),
        listed=[draw(st.integers(0, 3)), draw(st.integers(0, 3))],
        stage=draw(st.integers(-1, FINAL_STAGE)),
    )


@settings(max_examples=300, deadline=None)
@given(
    ramp=ramps,
    base=st.lists(shares, min_size=3, max_size=3),
    stage=st.integers(0, 9),
    received=st.lists(st.tuples(st.sampled_from("abc"), reports()), max_size=8),
)
def test_no_record_and_no_report_ends_a_tick(ramp, base, stage, received):
    coordinator, observer, now = RolloutCoordinator(), RolloutObserver(), 20 * SECOND
    record = STORED | {"rampS": ramp, "base": base, "stage": stage}
    observer.update_instances(now, SERVICE, [("i", "v2", 0), ("j", "v1", 0)])
    try:
        coordinator.apply_record(now, SERVICE, record)
        observer.apply_record(now, SERVICE, record)
    except InvalidRecordError:
        return
    for proxy, document in received:
        now += 300 * MILLISECOND
        coordinator.receive_report(now, proxy, document)
        for _, written in coordinator.tick(now):
            coordinator.apply_record(now, SERVICE, json.loads(json.dumps(written)))
            observer.apply_record(now, SERVICE, written)
        for result in AttemptResult:
            observer.request_received(now, SERVICE)
            version = observer.choose_version(now, SERVICE, 0.01)
            observer.attempt_sent(now, SERVICE, version)
            observer.attempt_ended(now, SERVICE, version, "i", 0, False, result, False)
        assert len(observer.reports(now)) <= 1
    progress = coordinator.orders[SERVICE]
    assert BaselineShares.read(progress.record.document) is not None

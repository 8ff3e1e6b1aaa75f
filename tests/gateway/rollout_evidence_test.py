"""The evidence of a rollout: the earlier version's share of bad outcomes, and the excess over it.

Guards against the fault of docs/incidents/review-2-exposure.md: a version that failed few of its
requests was counted as good.
"""

import random

import pytest

from umbermoor.gateway.rollout.baseline import Baseline
from umbermoor.gateway.rollout.coordinator import REVERT_EVIDENCE
from umbermoor.gateway.rollout.excess import SourceCount, evidence, evidence_without_faulty, exceeds
from umbermoor.gateway.rollout.reports import ResponseCounts
from umbermoor.gateway.rollout.responses import ResponseTest
from umbermoor.gateway.units import MILLISECOND

STEP = 20 * MILLISECOND


def play(baseline_share, trial_share, seed, steps=450, late=False, is_backlog=False):
    """Return a test after responses of both versions at 340 requests/s, 4 % of them to the trial."""
    rng, test, share_of_trial = random.Random(seed), ResponseTest(), 0.04
    for step in range(steps):
        now = step * STEP
        for instance in ("b-0", "b-1"):
            trial = ResponseCounts()
            for _ in range(rng.random() < 7 * share_of_trial / 2):
                bad = rng.random() < trial_share(step)
                trial.add(bad and not late, bad and late)
            test.add_trial(now, instance, trial, is_backlog)
        baseline = ResponseCounts()
        for _ in range(7):
            bad = rng.random() < baseline_share(step)
            baseline.add(bad and not late, bad and late)
        test.add_baseline(now, baseline, is_backlog)
        test.evaluate_pending(now, no_baseline=False)
    return test


def test_few_errors_are_evidence_where_the_earlier_version_has_none():
    found = [play(lambda _: 0, lambda _: 0.05, seed).evidence(2) for seed in range(100)]
    assert sum(one >= REVERT_EVIDENCE for one in found) >= 90


def test_late_responses_are_evidence_too():
    found = [play(lambda _: 0, lambda _: 0.1, seed, late=True).evidence(2) for seed in range(100)]
    assert sum(one >= REVERT_EVIDENCE for one in found) >= 95


@pytest.mark.parametrize("share", [0.004, 0.02, 0.1, 0.3])
def test_failures_that_both_versions_share_are_no_evidence(share):
    found = [play(lambda _: share, lambda _: share, seed).evidence(2) for seed in range(200)]
    assert sum(one >= REVERT_EVIDENCE for one in found) <= 2


def test_failures_that_begin_at_both_versions_at_once_are_no_evidence():
    def share(step):
        return 0.3 if step > 300 else 0.0

    found = [play(share, share, seed).evidence(2) for seed in range(200)]
    assert sum(one >= REVERT_EVIDENCE for one in found) <= 4


def test_one_bad_response_is_no_evidence():
    assert evidence(SourceCount(1, 1, 0.0)) == 0.0


def test_an_instance_that_fails_by_itself_is_left_out_unless_it_is_the_only_one():
    counts = [SourceCount(40, 20, 0.1), SourceCount(40, 0, 0.1)]
    assert evidence_without_faulty(counts, sources=2) == 0.0
    assert evidence_without_faulty(counts, sources=1) > REVERT_EVIDENCE
    few = [SourceCount(100, 4, 0.02), SourceCount(100, 0, 0.02)]
    assert evidence_without_faulty(few, sources=2) > REVERT_EVIDENCE


def test_bad_outcomes_exceed_the_expected_ones_whatever_their_share():
    assert exceeds(SourceCount(100_000, 20, 0), 20)
    assert not exceeds(SourceCount(100_000, 19, 0), 20)
    assert not exceeds(SourceCount(1000, 230, 200), 20)  # two standard deviations are 28


def test_the_last_estimate_of_the_baseline_stays():
    baseline = Baseline(0.0, 1.0)
    for step in range(200):
        baseline.add(step * STEP, 10, 3)
    baseline.freeze()
    before = baseline.current()
    assert 0.3 <= before < 0.35
    baseline.add(300 * STEP, 100, 0)
    assert baseline.current() == before


def test_a_backlog_does_not_count_as_recent():
    baseline = Baseline(0.0, 1.0)
    baseline.add(0, 1000, 0, is_backlog=True)
    for step in range(100):
        baseline.add(step * STEP, 10, 3)
    assert baseline.mean() > 0.25
    assert baseline.since_order() < 0.2
    assert baseline.highest() >= baseline.mean()

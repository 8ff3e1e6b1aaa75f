"""A short soak test: real processes under overlapping faults, with invariants checked.

The long form is `python -m benchmarks.soak --seeds 40`.
"""

import asyncio

import pytest

from benchmarks.soak.world import run_day

SECONDS = 8


# 3 and 9 inject no faults into the controllers. All answers are late of both versions that are rolled
# out in 2; all are errors of the new version in 3, of the old one in 9 and 16.
@pytest.mark.parametrize("seed", [2, 3, 8, 9, 16])
def test_overlapping_faults_violate_no_invariant(seed, tmp_path):
    result = asyncio.run(run_day(seed, SECONDS, tmp_path / "day"))
    assert result.broken == [], result.line()
    assert result.requests["answered 200"] > 100, result.line()
    assert result.acknowledged > 3, result.line()
    refused = result.requests["answered 413"] + result.requests["answered 431"]
    assert refused > 0, result.line()  # by the lower of the client limits
    assert result.requests["left"] > 50 and result.probes > 20, result.line()

"""The short form of the soak: real processes under overlapping faults, with the invariants on.

The long one: `python -m benchmarks.soak --seeds 40`.
"""

import asyncio

import pytest

from benchmarks.soak.world import run_day

SECONDS = 8


@pytest.mark.parametrize("seed", [2, 3, 8, 9])  # 3 and 9 leave the controllers alone
def test_a_day_of_overlapping_faults_breaks_nothing(seed, tmp_path):
    result = asyncio.run(run_day(seed, SECONDS, tmp_path / "day"))
    assert result.broken == [], result.line()
    assert result.requests["answered 200"] > 100, result.line()
    assert result.acknowledged > 3, result.line()
    assert result.requests["left"] > 50 and result.probes > 20, result.line()

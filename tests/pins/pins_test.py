"""The short form of the pins; see `tests.pins.__main__`."""

import pytest

from tests.pins.runner import SUBJECTS, play_all


@pytest.mark.parametrize("subject", SUBJECTS)
def test_behaviour_is_what_was_recorded(subject):
    results = list(play_all([subject], every=False))
    assert results
    assert [result for result in results if not result.same] == []

"""Figures of a day: shares by profile, endings by second, and latencies in HDR histograms."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from umbermoor.lab.day import SECOND, Day, micros
from umbermoor.lab.demand import Journey

PERCENTILES = (50, 90, 99, 99.9)
LONGEST = 120 * SECOND  # microseconds; longer latencies count as this
SIGNIFICANT_DIGITS = 3  # of the histograms
NEVER_ASKED = "never asked"


class Measure:
    """Counts first queries when they end; those due in the first `settle_s` only in the series."""

    def __init__(self, day: Day) -> None:
        self._day = day
        count = len(day.profile)
        self._asked = [0] * count  # this and the following: by profile
        self._achieved_values = [0.0] * count
        self._in_time = [0] * count
        self._times = [HdrHistogram(1, LONGEST, SIGNIFICANT_DIGITS) for _ in range(count)]
        self._endings: list[Counter[str]] = [Counter() for _ in range(count)]
        self._tries = 0
        self._seconds: dict[int, Counter[str]] = {}

    def count(self, journey: Journey) -> None:
        """Count a query that has ended, with all its retries."""
        profile, due = journey.arrival.profile, journey.arrival.at
        aim = micros(journey.row.aim_ms / 1000)
        is_in_time = bool(journey.served_at) and journey.served_at - due <= aim
        ending = _ending(journey, is_in_time)
        self._seconds.setdefault(due // SECOND, Counter())[ending] += 1
        if due < micros(self._day.settle_s):
            return
        self._asked[profile] += 1
        self._achieved_values[profile] += journey.achieved_value()
        self._in_time[profile] += is_in_time and not journey.is_wrong
        self._endings[profile][ending] += 1
        self._tries += journey.tries
        if journey.served_at:
            self._times[profile].record_value(min(LONGEST, max(1, journey.served_at - due)))

    def figures(self) -> dict[str, Any]:
        """Return the figures of all queries and of each profile, with the keys of the JSON."""
        possible = achieved = 0.0
        for profile, row in enumerate(self._day.profile):
            possible += self._asked[profile] * row.value
            achieved += self._achieved_values[profile] * row.value
        total = sum(self._asked)
        return {
            "asked": total,
            "tries_a_query": _share(self._tries, total),
            "service": _share(achieved, possible),
            "in_time": _share(sum(self._in_time), total),
            "profiles": {
                row.name: self._profile_figures(profile)
                for profile, row in enumerate(self._day.profile)
            },
        }

    def _profile_figures(self, profile: int) -> dict[str, Any]:
        asked, times = self._asked[profile], self._times[profile]
        percentiles = {}
        if times.get_total_count():
            for percentile in PERCENTILES:
                value = times.get_value_at_percentile(percentile)
                percentiles[f"p{percentile:g}"] = round(value / 1000, 2)
        return {
            "asked": asked,
            "in_time": _share(self._in_time[profile], asked),
            "service": _share(self._achieved_values[profile], asked),
            "endings": dict(sorted(self._endings[profile].items())),
            "ms": percentiles,
        }

    def series(self) -> list[dict[str, int]]:
        """Return the endings by the second in which the first query was due."""
        return [
            dict(sorted(self._seconds.get(second, Counter()).items()))
            for second in range(max(self._seconds, default=-1) + 1)
        ]


def _ending(journey: Journey, is_in_time: bool) -> str:
    if journey.is_wrong:
        return "wrong"
    if is_in_time:
        return "in time"
    if journey.served_at:
        return "late"
    return journey.results[-1].value if journey.results else NEVER_ASKED


def _share(part: float, whole: float) -> float:
    return round(part / whole, 6) if whole else 0.0

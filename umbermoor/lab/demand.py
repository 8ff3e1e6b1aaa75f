"""The clients' demand, without I/O: an open loop of first queries, and each query's retries.

A query's time counts from the moment when it was due, however slow the answers to earlier queries
were. Slow answers therefore neither slow down the load nor hide delays (no coordinated omission).
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from umbermoor.lab.chance import Chance, draw_sample, poisson_times
from umbermoor.lab.day import Clients, Day, ProfileRow, micros


class Arrival(NamedTuple):
    """A first query of the open loop, with the time at which it is due."""

    at: int  # microseconds from the day's start
    number: int
    profile: int
    work: float  # microseconds of one worker at speed 1
    hint: int  # the client's estimate of the work


class AttemptResult(Enum):
    """The result of an attempt as its client sees it."""

    DONE = "done"
    DENIED = "denied"
    ABANDONED = "abandoned"
    GAVE_UP = "gave up"  # its patience was over, or it left early
    LOST = "lost"  # the connection ended without an answer


def generate_arrivals(day: Day, chance: Chance) -> Iterator[Arrival]:
    """Yield the first queries of the whole day in order of their time."""
    times, mix = chance.stream("arrivals"), chance.stream("mix")
    rows = day.profile
    sources = [chance.stream("work", row.name) for row in rows]
    shares, total = [], 0.0
    for row in rows:
        total += row.share
        shares.append(total)
    for number, at in enumerate(
        poisson_times(
            times,
            day.load.max_rate(),
            lambda second: day.load.rate_at(second, day.length_s),
            day.length_s,
        )
    ):
        pick = mix.random() * total
        profile = next(
            index for index, share in enumerate(shares) if pick < share or index == len(rows) - 1
        )
        row, source = rows[profile], sources[profile]
        work = draw_sample(source, row.work_ms * 1000, row.spread, row.cv)
        hint = draw_sample(source, work, "lognormal", row.hint_cv) if row.hint_cv else work
        yield Arrival(micros(at), number, profile, work, max(1, round(hint)))


@dataclass(slots=True)
class Journey:
    """A first query and all its attempts, from the arrival to the last result."""

    arrival: Arrival
    row: ProfileRow
    tries: int = 0
    served_at: int = 0  # time of the successful answer; 0: none
    is_wrong: bool = False  # the answer had wrong content
    ended_at: int = 0  # time at which no further attempt followed; 0: it is open
    results: list[AttemptResult] = field(default_factory=list)

    @property
    def due(self) -> int:
        """Time at which the client's patience is over, in microseconds from the day's start."""
        return self.arrival.at + micros(self.row.patience_ms / 1000)

    def patience(self, clients: Clients, chance: Chance) -> int:
        """Return how long the client waits for the current attempt, in microseconds."""
        share = clients.try_share + (1 - clients.try_share) * chance.at(
            "patience", self.arrival.number, self.tries
        )
        return micros(share * self.row.patience_ms / 1000)

    def leaves_after(self, clients: Clients, chance: Chance) -> int | None:
        """Return after how many microseconds the client leaves early, or None if it does not."""
        if (
            not clients.leave
            or chance.at("leaves", self.arrival.number, self.tries) >= clients.leave
        ):
            return None
        return round(
            chance.at("left after", self.arrival.number, self.tries) * self.row.aim_ms * 1000
        )

    def attempt_ended(
        self, now: int, result: AttemptResult, wait: int, clients: Clients, chance: Chance
    ) -> int | None:
        """Record the result of an attempt; return when the next one begins, or None after the last.

        Args:
            now: microseconds from the day's start.
            result: how the attempt ended.
            wait: the front's advice on when to retry, in microseconds; 0: none.
            clients: how clients retry.
            chance: decides whether this client follows the advice.
        """
        self.results.append(result)
        if result is AttemptResult.DONE:
            self.served_at = self.ended_at = now
            return None
        is_retry_safe = (
            result in (AttemptResult.DENIED, AttemptResult.LOST) or self.row.repeat == "repeatable"
        )
        if self.tries > clients.retries or not is_retry_safe:
            self.ended_at = now
            return None
        pause = micros(clients.wait_ms / 1000)
        if wait and chance.at("heeds", self.arrival.number, self.tries) < clients.heed:
            pause = max(pause, wait)
        return now + max(1, pause)

    def achieved_value(self) -> float:
        """Return the part of the query's value that was achieved, from 0 to 1."""
        if not self.served_at or self.is_wrong:
            return 0.0
        is_late = self.served_at - self.arrival.at > micros(self.row.aim_ms / 1000)
        return self.row.late_value if is_late else 1.0

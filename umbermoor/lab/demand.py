"""What clients ask, without I/O: an open loop of first queries, and each one's journey through its
tries.

A journey begins when its first query was due, whatever the tries before it took: a slow answer
slows nothing and hides nothing (no coordinated omission).
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from umbermoor.lab.chance import Chance, draw_sample, thinned
from umbermoor.lab.day import Clients, Day, ProfileRow, micros


class Arrival(NamedTuple):
    """A first query as it is due."""

    at: int
    number: int
    profile: int
    work: float  # microseconds of one worker at speed 1
    hint: int


class Kind(Enum):
    """How a try ended for its client."""

    DONE = "done"
    DENIED = "denied"
    ABANDONED = "abandoned"
    GAVE_UP = "gave up"  # its time was up, or it left
    LOST = "lost"  # the connection ended without an answer


def generate_arrivals(day: Day, chance: Chance) -> Iterator[Arrival]:
    """The whole day's first queries in turn; microseconds from the day's start."""
    times, mix = chance.stream("arrivals"), chance.stream("mix")
    rows = day.profile
    sources = [chance.stream("work", row.name) for row in rows]
    shares, total = [], 0.0
    for row in rows:
        total += row.share
        shares.append(total)
    for number, at in enumerate(
        thinned(
            times, day.load.max_rate(), lambda s: day.load.rate_at(s, day.length_s), day.length_s
        )
    ):
        pick = mix.random() * total
        profile = next(
            place for place, share in enumerate(shares) if pick < share or place == len(rows) - 1
        )
        row, source = rows[profile], sources[profile]
        work = draw_sample(source, row.work_ms * 1000, row.spread, row.cv)
        hint = draw_sample(source, work, "lognormal", row.hint_cv) if row.hint_cv else work
        yield Arrival(micros(at), number, profile, work, max(1, round(hint)))


@dataclass(slots=True)
class Journey:
    """One arrival and its tries. ``next_try`` says when it asks again."""

    arrival: Arrival
    row: ProfileRow
    tries: int = 0
    served: int = 0  # when it was done
    wrong: bool = False
    ended: int = 0
    endings: list[Kind] = field(default_factory=list)

    @property
    def due(self) -> int:
        """When the whole patience is over."""
        return self.arrival.at + micros(self.row.patience_ms / 1000)

    def patience(self, clients: Clients, chance: Chance) -> int:
        """How long this try waits, in microseconds."""
        part = clients.try_share + (1 - clients.try_share) * chance.at(
            "patience", self.arrival.number, self.tries
        )
        return micros(part * self.row.patience_ms / 1000)

    def leaves(self, clients: Clients, chance: Chance) -> int | None:
        """After how long the client goes away though it could wait; None: it does not."""
        if (
            not clients.leave
            or chance.at("leaves", self.arrival.number, self.tries) >= clients.leave
        ):
            return None
        return round(
            chance.at("left after", self.arrival.number, self.tries) * self.row.aim_ms * 1000
        )

    def over(self, now: int, kind: Kind, wait: int, clients: Clients, chance: Chance) -> int | None:
        """A try has ended; when the next one begins, if there is one."""
        self.endings.append(kind)
        if kind is Kind.DONE:
            self.served = self.ended = now
            return None
        harmless = kind in (Kind.DENIED, Kind.LOST) or self.row.repeat == "repeatable"
        if self.tries > clients.retries or not harmless:
            self.ended = now
            return None
        pause = micros(clients.wait_ms / 1000)
        if wait and chance.at("heeds", self.arrival.number, self.tries) < clients.heed:
            pause = max(pause, wait)
        return now + max(1, pause)

    def worth(self) -> float:
        """What became of its value, from 0 to 1."""
        if not self.served or self.wrong:
            return 0.0
        late = self.served - self.arrival.at > micros(self.row.aim_ms / 1000)
        return self.row.late_value if late else 1.0

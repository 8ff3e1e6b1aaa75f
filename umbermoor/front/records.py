"""What one front remembers: plain records of machines, queries and outcomes. Nothing is decided
here."""

from dataclasses import dataclass, field, replace
from hashlib import blake2b
from math import exp, log
from struct import Struct
from zlib import crc32

from umbermoor.front.interface import NEVER_RAN, Ending


def rank(machine: str, front: int) -> float:
    """A front's order of the machines, known to its peers: those that rank one high share it."""
    return int.from_bytes(blake2b(machine.encode(), key=front.to_bytes(2)).digest()[:2]) / 65536


@dataclass(slots=True)
class Fading:
    """A sum that loses weight with time."""

    span: float
    total: float = 0.0
    since: int = 0

    def at(self, now: int) -> float:
        return self.total * exp((self.since - now) / self.span)

    def add(self, now: int, amount: float) -> None:
        self.total, self.since = self.at(now) + amount, now


@dataclass(slots=True)
class Slope:
    """How far the logarithm of one figure follows that of another, from 0 (not at all) to 1; least
    squares over pairs that lose weight with each that comes, held to 1 by some that stand for
    good."""

    kept: float  # of a pair's weight, with each one more
    held: float  # the weight of what stands for 1
    sums: list[float] = field(default_factory=lambda: [0.0] * 5)  # n, x, y, xx, xy

    def add(self, given: float, came: float) -> None:
        x, y = log(max(1.0, given)), log(max(1.0, came))
        self.sums = [
            one * self.kept + more for one, more in zip(self.sums, (1.0, x, y, x * x, x * y))
        ]

    def value(self) -> float:
        n, x, y, xx, xy = self.sums
        both, alone = (xy - x * y / n, xx - x * x / n) if n else (0.0, 0.0)
        return min(1.0, max(0.0, (both + self.held) / (alone + self.held)))


@dataclass(slots=True)
class Machine:
    """All that this front knows of one machine."""

    id: str
    build: int
    zone: int
    cell: int
    ready: bool
    born: int
    listed: int
    room_at: int
    rank: float  # its place in this front's order, from 0 to 1
    room: float  # work that it may be sent while cold
    # answer times, and the work that stood before those answers, both losing weight with time
    took: float = 0.0
    work: float = 0.0
    updated_at: int = 0
    failure_rate: float = 0.0
    row: int = 0  # failures since the last answer
    gap: float = 0.0  # usual silence between answers while it holds work
    silent_since: int | None = None
    open: int = 0
    out_since: int = 0  # when those that are open were sent, summed
    load: float = 0.0  # expected work of the hand-offs it holds
    others: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # and of a peer's there, and when it was told
    users: list[int] | None = None  # the peers that share it

    def fade(self, now: int, span: float, longer: float = 1.0) -> None:
        """What was seen of it loses weight; failures so many times more slowly."""
        part, fails = (
            exp((self.updated_at - now) / span),
            exp((self.updated_at - now) / (span * longer)),
        )
        self.took, self.work, self.failure_rate, self.updated_at = (
            self.took * part,
            self.work * part,
            self.failure_rate * fails,
            now,
        )

    def heard(self, now: int, weight: float, usual: float) -> float:
        """Notes an answer; how long it had been silent."""
        gap = usual if self.silent_since is None else now - self.silent_since
        if self.silent_since is not None:
            self.gap += (gap - self.gap) * (weight if self.gap else 1.0)
        self.silent_since = now
        return gap

    @property
    def tag(self) -> bytes:
        """Its name among peers."""
        return crc32(self.id.encode()).to_bytes(4)


@dataclass(slots=True)
class HandOff:
    machine: Machine
    sent: int
    ahead: float  # the query's own expected work and that which the machine held already
    ending: Ending | None = None


@dataclass(slots=True)
class Query:
    profile: int
    scope: int  # what its exposure is counted under
    key: str | None
    came: int
    due: int
    cost: float
    hint: int | None
    hand_offs: list[HandOff] = field(default_factory=list)
    scored: set[int] = field(default_factory=set)
    ended: bool = False
    copy_at: int = 0

    def without(self, number: int) -> "Query":
        """As it stood before that hand-off."""
        return replace(
            self, hand_offs=[one for at, one in enumerate(self.hand_offs) if at != number]
        )

    @property
    def errors(self) -> int:
        return sum(hand_off.ending is Ending.ERROR for hand_off in self.hand_offs)

    @property
    def ran(self) -> HandOff | None:
        """The first hand-off that is not known not to have run."""
        return next(
            (hand_off for hand_off in self.hand_offs if hand_off.ending not in NEVER_RAN), None
        )


@dataclass(slots=True)
class Pace:
    """Answer times of one side, and the work expected of those queries."""

    took: float = 0.0
    work: float = 0.0
    n: int = 0

    def add(self, took: int, work: float, n: int = 1) -> None:
        self.took, self.work, self.n = self.took + took, self.work + work, self.n + n

    def mean(self) -> float:
        return self.took / self.work if self.work else 0.0

    def __repr__(self) -> str:
        return f"{self.n} pace {self.mean():.2f}"


@dataclass(slots=True)
class Score:
    """Outcomes of one side: how many, how many were done within the target time, how many did not
    fail."""

    n: float = 0
    good: float = 0
    sound: float = 0

    def join(self, other: "Score", weight: float = 1.0) -> "Score":
        return Score(
            *(
                mine + weight * more
                for mine, more in (
                    (self.n, other.n),
                    (self.good, other.good),
                    (self.sound, other.sound),
                )
            )
        )

    def __repr__(self) -> str:
        return f"{self.n:.0f} good {self.mean():.2f} sound {self.mean(True):.2f}"

    def mean(self, released: bool = False) -> float:
        return (self.sound if released else self.good) / self.n if self.n else 0.0


@dataclass(slots=True)
class Contrast:
    """Both sides over the same time. Threat: a general slowdown that looks like a bad build; also
    bursts. Past stages are folded in with the earlier build's mean of each weighted by the new
    one's outcomes in it, as its share grows."""

    new: Score = field(default_factory=Score)
    earlier: Score = field(default_factory=Score)


class Pool:
    """What was seen of a stage, here and by peers that passed a half of theirs on (push-sum: in
    time each front holds its part of the whole). Also answer times of late, over the work expected
    of them, which outlast the stage."""

    __slots__ = ("sums",)
    FORM = Struct("<cHB10f")
    MARK = b"\x02"

    def __init__(self, took: float = 0.0, answers: float = 0.0) -> None:
        # Part of the fleet; how few outcomes make up the new side; then times, answers, and both
        # scores.
        self.sums = [1.0, 0.0, took, answers, *[0.0] * 6]

    def add(self, new: bool, n: float, good: float, sound: float, clump: float = 0.0) -> None:
        self.sums[1] += (n + clump) * new
        for at, amount in enumerate((n, good, sound), 4 if new else 7):
            self.sums[at] += amount

    def answered(self, took: float, kept: float, over: float) -> None:
        """So much time over so much work, or over so many answers where none tells the work of
        each."""
        self.sums[2:4] = self.sums[2] * kept + took, self.sums[3] * kept + over

    def pace(self) -> float:
        return self.sums[2] / self.sums[3] if self.sums[3] > 0 else 0.0

    def next_stage(self) -> "Pool":
        return Pool(*self.sums[2:4])

    def contrast(self, fronts: int) -> Contrast:
        """Both sides at all fronts, but no more of them than outcomes that made up these sums."""
        part, clump, _, _, n, *_ = self.sums
        factor = min(fronts / part, n / clump) if clump > 0 else 1.0
        scores = [factor * amount for amount in self.sums[4:]]
        return Contrast(Score(*scores[:3]), Score(*scores[3:]))

    def half(self, build: int, stage: int, kept: float) -> bytes:
        """Halves all; the other half, as a message."""
        self.sums = [
            amount * part for amount, part in zip(self.sums, (0.5, 0.25, kept, kept, *[0.5] * 6))
        ]
        return self.FORM.pack(self.MARK, build, stage, *self.sums)

    def take(self, message: bytes, build: int, stage: int) -> None:
        if len(message) == self.FORM.size and message[:1] == self.MARK:
            _, *place = self.FORM.unpack(message)
            if (
                place[:2] == [build, stage]
                and place[2] > 0
                and all(abs(amount) < 1e12 for amount in place[2:])
            ):
                self.sums = [mine + theirs for mine, theirs in zip(self.sums, place[2:])]

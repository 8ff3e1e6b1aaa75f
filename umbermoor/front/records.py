"""The records that a front keeps of machines, queries and outcomes, without any decisions."""

from dataclasses import dataclass, field, replace
from hashlib import blake2b
from math import exp, log
from struct import Struct
from zlib import crc32

from umbermoor.front.interface import NEVER_RAN, Ending


def rank(machine: str, front: int) -> float:
    """Return the machine's place, from 0 to 1, in a front's order; low places are preferred.

    Peers can compute it as well: the fronts that place a machine low share it.
    """
    return int.from_bytes(blake2b(machine.encode(), key=front.to_bytes(2)).digest()[:2]) / 65536


@dataclass(slots=True)
class DecayingSum:
    """A sum that decays exponentially with the time constant `span`, in microseconds."""

    span: float
    total: float = 0.0
    since: int = 0

    def at(self, now: int) -> float:
        """Return the sum as decayed by `now`."""
        return self.total * exp((self.since - now) / self.span)

    def add(self, now: int, amount: float) -> None:
        """Add an amount at `now`."""
        self.total, self.since = self.at(now) + amount, now


@dataclass(slots=True)
class LogSlope:
    """The slope of the regression of one value's logarithm on another's, from 0 to 1.

    Least squares over pairs whose weight decays with each new pair, with a prior of slope 1.
    """

    decay: float  # factor on the weight of earlier pairs per new pair
    prior_weight: float  # as a sum of squares of x about its mean
    sums: list[float] = field(default_factory=lambda: [0.0] * 5)  # n, x, y, xx, xy

    def add(self, expected: float, actual: float) -> None:
        """Add a pair."""
        x, y = log(max(1.0, expected)), log(max(1.0, actual))
        self.sums = [
            total * self.decay + new for total, new in zip(self.sums, (1.0, x, y, x * x, x * y))
        ]

    def value(self) -> float:
        """Return the slope."""
        n, x, y, xx, xy = self.sums
        covariance, variance = (xy - x * y / n, xx - x * x / n) if n else (0.0, 0.0)
        return min(1.0, max(0.0, (covariance + self.prior_weight) / (variance + self.prior_weight)))


@dataclass(slots=True)
class Machine:
    """What this front knows of a machine. Times are in microseconds."""

    id: str
    build: int
    zone: int
    cell: int
    ready: bool
    born: int
    listed: int
    room_at: int
    rank: float  # see rank()
    room: float  # work that it may be sent while cold, as of room_at
    # answer times, and the work ahead of those answers (their own included), both decaying
    took: float = 0.0
    work: float = 0.0
    updated_at: int = 0
    failure_rate: float = 0.0
    failures_in_row: int = 0  # at most MAX_FAILURE_RUN
    gap: float = 0.0  # usual time between answers while hand-offs are open
    silent_since: int | None = None  # last answer, or first hand-off since idle; None when idle
    open: int = 0  # number of open hand-offs
    sent_sum: int = 0  # sum of their send times
    load: float = 0.0  # sum of their expected work
    peer_loads: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # by peer: when it reported its load there, and the load
    sharers: list[int] | None = None  # the peers that share it; None until computed

    def decay(self, now: int, span: float, failure_factor: float = 1.0) -> None:
        """Decay the sums by `span` (a time constant), the failure rate `failure_factor` slower."""
        part, fails = (
            exp((self.updated_at - now) / span),
            exp((self.updated_at - now) / (span * failure_factor)),
        )
        self.took, self.work, self.failure_rate, self.updated_at = (
            self.took * part,
            self.work * part,
            self.failure_rate * fails,
            now,
        )

    def record_answer(self, now: int, weight: float, usual: float) -> float:
        """Record an answer and return how long the machine had been silent, `usual` if idle."""
        gap = usual if self.silent_since is None else now - self.silent_since
        if self.silent_since is not None:
            self.gap += (gap - self.gap) * (weight if self.gap else 1.0)
        self.silent_since = now
        return gap

    @property
    def tag(self) -> bytes:
        """The machine's identification in load messages."""
        return crc32(self.id.encode()).to_bytes(4)


@dataclass(slots=True)
class HandOff:
    """One hand-off of a query to a machine."""

    machine: Machine
    sent: int
    ahead: float  # expected work: the query's own and that of hand-offs open at the machine
    ending: Ending | None = None  # None while open


@dataclass(slots=True)
class Query:
    """A query that this front has taken."""

    profile: int
    scope: int  # index of the credit for exposure to the trial
    key: str | None
    arrived_at: int
    due: int
    cost: float  # expected work
    hint: int | None  # the client's estimate of the work
    hand_offs: list[HandOff] = field(default_factory=list)
    scored_builds: set[int] = field(default_factory=set)
    ended: bool = False
    copy_at: int = 0  # when a second copy may be sent; 0: never

    def without(self, number: int) -> "Query":
        """Return a copy of the query that lacks one hand-off."""
        return replace(
            self, hand_offs=[one for at, one in enumerate(self.hand_offs) if at != number]
        )

    @property
    def errors(self) -> int:
        """The number of hand-offs that ended in an error."""
        return sum(hand_off.ending is Ending.ERROR for hand_off in self.hand_offs)

    @property
    def first_run(self) -> HandOff | None:
        """The first hand-off that has run, or may have."""
        return next(
            (hand_off for hand_off in self.hand_offs if hand_off.ending not in NEVER_RAN), None
        )


@dataclass(slots=True)
class Pace:
    """Sums of one side's answer times and of the expected work of those queries."""

    took: float = 0.0
    work: float = 0.0
    n: int = 0

    def add(self, took: int, work: float, n: int = 1) -> None:
        """Add n answers by their total time and work."""
        self.took, self.work, self.n = self.took + took, self.work + work, self.n + n

    def mean(self) -> float:
        """Return the time per expected work; 0 without answers."""
        return self.took / self.work if self.work else 0.0

    def __repr__(self) -> str:
        return f"{self.n} pace {self.mean():.2f}"


@dataclass(slots=True)
class Score:
    """Outcomes of one side: their number, those answered within the target time (`good`), and those
    that did not fail (`sound`)."""

    n: float = 0
    good: float = 0
    sound: float = 0

    def join(self, other: "Score", weight: float = 1.0) -> "Score":
        """Return the sum of this score and another one by weight."""
        return Score(
            *(
                mine + weight * theirs
                for mine, theirs in (
                    (self.n, other.n),
                    (self.good, other.good),
                    (self.sound, other.sound),
                )
            )
        )

    def __repr__(self) -> str:
        return f"{self.n:.0f} good {self.mean():.2f} sound {self.mean(True):.2f}"

    def mean(self, released: bool = False) -> float:
        """Return the share of good outcomes, of sound ones if released; 0 without outcomes."""
        return (self.sound if released else self.good) / self.n if self.n else 0.0


@dataclass(slots=True)
class Contrast:
    """The new and the earlier build over the same time, so that a general slowdown or a burst does
    not look like a bad build.

    As the new build's share grows from stage to stage, the earlier build's mean of each past stage
    is weighted by the number of the new build's outcomes in that stage.
    """

    new: Score = field(default_factory=Score)
    earlier: Score = field(default_factory=Score)


class Pool:
    """Outcomes of a stage, of this front and of peers that sent half of their sums.

    By this push-sum protocol each front comes to hold its part of the fleet's sums. Also holds
    decaying sums of answer times and of the work expected of them, which outlast the stage.
    """

    __slots__ = ("sums",)
    FORM = Struct("<cHB10f")
    MARK = b"\x02"

    def __init__(self, took: float = 0.0, answers: float = 0.0) -> None:
        # The push-sum weight (a part of the fleet); the sum of squares of the new side's weights;
        # answer times; answers; the new score; the earlier one.
        self.sums = [1.0, 0.0, took, answers, *[0.0] * 6]

    def add(self, new: bool, n: float, good: float, sound: float, squares: float = 0.0) -> None:
        """Add outcomes to the new or the earlier side; `squares`: of weights that n lacks."""
        self.sums[1] += (n + squares) * new
        for at, amount in enumerate((n, good, sound), 4 if new else 7):
            self.sums[at] += amount

    def add_answer(self, took: float, decay: float, amount: float) -> None:
        """Add answer time for an amount of work, or of answers if the work of each is unknown."""
        self.sums[2:4] = self.sums[2] * decay + took, self.sums[3] * decay + amount

    def pace(self) -> float:
        """Return the answer time per work or answer; 0 if there was none."""
        return self.sums[2] / self.sums[3] if self.sums[3] > 0 else 0.0

    def next_stage(self) -> "Pool":
        """Return a pool that keeps the answer times alone."""
        return Pool(*self.sums[2:4])

    def contrast(self, fronts: int) -> Contrast:
        """Return both sides as scaled up to all fronts.

        The scale is bounded so that n is at most the effective number of the new side's outcomes:
        the square of the sum of their weights over the sum of squares.
        """
        part, squares, _, _, n, *_ = self.sums
        factor = min(fronts / part, n / squares) if squares > 0 else 1.0
        scores = [factor * amount for amount in self.sums[4:]]
        return Contrast(Score(*scores[:3]), Score(*scores[3:]))

    def half(self, build: int, stage: int, decay: float) -> bytes:
        """Halve the sums, multiply answer times by `decay`, and return the result as a message."""
        self.sums = [
            amount * part for amount, part in zip(self.sums, (0.5, 0.25, decay, decay, *[0.5] * 6))
        ]
        return self.FORM.pack(self.MARK, build, stage, *self.sums)

    def merge(self, message: bytes, build: int, stage: int) -> None:
        """Add the sums of a peer's message; ignore a malformed one or one of another stage."""
        if len(message) == self.FORM.size and message[:1] == self.MARK:
            _, *place = self.FORM.unpack(message)
            if (
                place[:2] == [build, stage]
                and place[2] > 0
                and all(abs(amount) < 1e12 for amount in place[2:])
            ):
                self.sums = [mine + theirs for mine, theirs in zip(self.sums, place[2:])]

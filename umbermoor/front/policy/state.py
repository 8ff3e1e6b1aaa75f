"""What a front holds for its decisions, and the measures that several of them go by."""

import random
from collections import defaultdict, deque
from math import exp

from umbermoor.front.interface import Charter, Decision
from umbermoor.front.records import Contrast, Fading, Machine, Pace, Pool, Query, Slope

SECOND = 1_000_000
HORIZON = 20 * SECOND  # the queries expected in this time are the paper's N
FRESH = 3 * SECOND  # outcomes of machines listed more recently do not count, unless warm before
LEAST, FIRST_MEAN = 10, 0.9  # outcomes below which nothing is judged by its mean; the earlier build's until then
CIRCLE = 10  # fronts that share a machine and tell each other their open work; to all it grows as a square
FLEET, FEW = 0.98, 10  # what is seen of the fleet loses this with each outcome, or is that of so many, if few
HINTS, TRUSTED = 0.995, 10.0  # what is seen of hints loses this with each; until so many bore them out, trusted
LEARN = 0.2  # weight of the newest outcome in a machine's averages
DONE_IN = 5 * SECOND  # the time over which work done is averaged
MOST = 0.2  # so many errors done well elsewhere, for one that was not, lay them all on the machines
ENOUGH = 2  # errors from so many machines show that the query itself is at fault: no further hand-off
BEAT = SECOND // 5  # how often a front looks around when nothing else happens
EARLY = 15_000  # a useless hand-off ends this long before the target time, so that the answer is in time


class State:
    def __init__(self, charter: Charter) -> None:
        self.charter = charter
        self.random = random.Random(charter.seed).random
        self.machines: dict[str, Machine] = {}
        self.sides: tuple[list[Machine], list[Machine]] = [], []  # those ready: of released builds, on trial
        self.queries: dict[str, Query] = {}
        self.todo, self.later = deque[str](), list[tuple[int, str]]()  # queries to settle, and when to again
        self.outbox: deque[Decision] = deque()  # what only needs to be passed on
        self.usual_work = [row.target / 5 for row in charter.profiles]  # expected work where no hint comes
        self.best = max((row.value for row in charter.profiles), default=1.0)
        self.took = self.work = 1.0 * SECOND  # the fleet's usual ones
        self.kept, self.out, self.out_since = FLEET, 0, 0  # hand-offs out, and the times of sending, summed
        self.gap, self.failing, self.mean_cost = SECOND / 2.0, 0.0, max(self.usual_work, default=0.0)
        self.started = self.watch_at = self.news = self.slow_since = None  # since when machines are slow
        self.hints = Slope(HINTS, TRUSTED)  # how far answer times follow what clients guess
        self.arrivals, self.done_work = Fading(HORIZON / 2), Fading(DONE_IN)
        self.faulty, self.wrongs, self.in_row = Fading(HORIZON), Fading(HORIZON), 0  # whose fault errors were
        self.copies, self.alarm, self.watch_failures, self.complaints, self.praised = 1.0, 0, 0, 0, 0
        self.credit: dict[int, float] = defaultdict(float)  # hand-offs to the trial still free
        self.fresh, self.share = min(FRESH, charter.warm_within), 0.0  # machines on trial
        self.base, self.staged, self.told_late = (0.0, 0.0), 0, charter.tallied_every  # answer times before; its start
        self.owed = 0.0  # hand-offs that these are due by their share
        self.tags: dict[bytes, str] = {}  # ids of machines that are ready by their names among peers
        self.circle = self.peak_work_rate = 0.0  # part of the fronts that share a machine; the most one did
        self.tallied = bool(charter.tallied_every) and charter.fronts > CIRCLE and not charter.may_tell
        self.pooled = charter.may_tell and charter.fronts > CIRCLE  # a few fill n* with their own traffic
        self.fleet = self.pooled or self.tallied  # n is what all saw
        self.answered: set[str] = set()  # keys that the trial has answered, where they may not go back
        self.past_stages, self.stage, self.paces = Contrast(), Pool(), (Pace(), Pace())
        self.mine = Pool()  # this front's own answer times, where others are counted too
        self.blamed = self.asked_at = self.vote_after = self.stood_at = self.judged_at = self.passed_at = 0
        self.standing = self.noted = self.asked = None  # votes: build, stage, verdict

    def _drop(self, machine: str) -> None:
        if known := self.machines.pop(machine, None):  # threat: what is out there never ends, and looks slow
            self.out, self.out_since = self.out - known.open, self.out_since - known.out_since

    def _new(self, build: int) -> bool:
        return self.news is not None and build >= self.news.build

    def _expected(self, now: int) -> float:
        return 2 * self.arrivals.at(now) / (1 - exp((self.started - now - 1) / (HORIZON / 2)))

    def _warmth(self, now: int, machine: Machine) -> float:
        """The part of its capacity that the machine has by now at the least; 1 when it is warm."""
        grown = (now - machine.born) / max(1, self.charter.warm_within) if machine.born else 1.0
        return self.charter.cold_from + (1 - self.charter.cold_from) * min(1.0, max(0.0, grown))

"""The state of a front's decision module, and estimates that several policies use. Times: microseconds."""

import random
from collections import defaultdict, deque
from math import exp

from umbermoor.front.interface import Charter, Decision
from umbermoor.front.records import Contrast, DecayingSum, LogSlope, Machine, Pace, Pool, Query

SECOND = 1_000_000
HORIZON = 20 * SECOND  # the number of queries expected in this time is the paper's N
SETTLING_TIME = 3 * SECOND  # outcomes of machines listed more recently are no evidence (warm_within if less)
MIN_OUTCOMES, PRIOR_MEAN = 10, 0.9  # outcomes needed to use a mean; the earlier build's mean until then
GROUP_SIZE = 10  # fronts per machine that exchange its load (among all: n^2 messages); more are many fronts
FLEET_DECAY, MIN_FLEET_MEMORY = 0.98, 10  # decay of the fleet's sums per outcome; fewest outcomes they cover
HINT_DECAY, HINT_PRIOR = 0.995, 10.0  # decay of the sums per hint; weight of the prior that hints are right
LEARNING_RATE = 0.2  # weight of the newest outcome in a machine's averages
WORK_SPAN = 5 * SECOND  # time constant of the sum of work done
FAULT_RATIO = 0.2  # errors that succeed elsewhere over those that repeat: above this, machines are at fault
MAX_ERRORS = 2  # errors from this many machines show that the query itself is at fault: no further hand-off
TICK = SECOND // 5  # longest time between calls to decide while queries are open or a trial runs
ANSWER_MARGIN = 15_000  # without late value a hand-off ends this long before the target time, to answer by it


class State:
    def __init__(self, charter: Charter) -> None:
        self.charter = charter
        self.random = random.Random(charter.seed).random
        self.machines: dict[str, Machine] = {}
        self.candidates: tuple[list[Machine], list[Machine]] = [], []  # ready machines: steady, on trial
        self.queries: dict[str, Query] = {}
        self.todo, self.scheduled = deque[str](), list[tuple[int, str]]()  # queries to settle now; later
        self.outbox: deque[Decision] = deque()  # decisions already made
        self.usual_work = [row.target / 5 for row in charter.profiles]  # expected work without a hint
        self.max_value = max((row.value for row in charter.profiles), default=1.0)
        self.took = self.work = 1.0 * SECOND  # fleet's answer times and the work ahead of them, decaying
        self.decay, self.open, self.sent_sum = FLEET_DECAY, 0, 0  # open hand-offs; sum of send times
        self.gap, self.fleet_failures, self.mean_cost = SECOND / 2.0, 0.0, max(self.usual_work, default=0.0)
        self.started = self.watch_at = self.news = self.slow_since = None  # slow_since: start of a slowdown
        self.hint_slope = LogSlope(HINT_DECAY, HINT_PRIOR)  # how far answer times follow hints
        self.arrivals, self.done_work = DecayingSum(HORIZON / 2), DecayingSum(WORK_SPAN)
        self.query_errors, self.machine_errors, self.error_run = DecayingSum(HORIZON), DecayingSum(HORIZON), 0
        self.copy_credit, self.wake_at, self.watch_fails, self.complaints, self.earlier_ok = 1.0, 0, 0, 0, 0
        self.credit: dict[int, float] = defaultdict(float)  # hand-offs that the cap still allows the trial
        self.settling, self.trial_share = min(SETTLING_TIME, charter.warm_within), 0.0
        self.baselines, self.stage_began_at, self.tally_age = (0.0, 0.0), 0, charter.tallied_every
        self.turns_due = 0.0  # hand-offs due to the trial by its share
        self.ids_by_tag: dict[bytes, str] = {}  # ids of ready machines by their tags in peers' messages
        self.group_share = self.peak_work_rate = 0.0  # share of fronts that use one machine
        self.by_tallies = bool(charter.tallied_every) and charter.fronts > GROUP_SIZE and not charter.may_tell
        self.by_pool = charter.may_tell and charter.fronts > GROUP_SIZE  # few fronts fill n* by themselves
        self.fleet_wide = self.by_pool or self.by_tallies  # n counts outcomes of all fronts
        self.answered_keys: set[str] = set()  # by the new build; an earlier one may not get them
        self.past_stages, self.stage, self.paces = Contrast(), Pool(), (Pace(), Pace())
        self.own_pool = Pool()  # this front's own answer times; stage may count other fronts' too
        self.earlier_bad = self.vote_sent_at = self.vote_after = self.voted_at = self.judged_at = self.pooled_at = 0
        self.standing_vote = self.noted_vote = self.pending_vote = None  # votes: build, stage, verdict

    def _remove_machine(self, machine: str) -> None:
        if known := self.machines.pop(machine, None):  # its open hand-offs may never end and would look slow
            self.open, self.sent_sum = self.open - known.open, self.sent_sum - known.sent_sum

    def _is_new(self, build: int) -> bool:
        return self.news is not None and build >= self.news.build

    def _expected(self, now: int) -> float:
        return 2 * self.arrivals.at(now) / (1 - exp((self.started - now - 1) / (HORIZON / 2)))

    def _warmth(self, now: int, machine: Machine) -> float:
        """Return the least share of its capacity that the machine has by now; 1 when it is warm."""
        grown = (now - machine.born) / max(1, self.charter.warm_within) if machine.born else 1.0
        return self.charter.cold_from + (1 - self.charter.cold_from) * min(1.0, max(0.0, grown))

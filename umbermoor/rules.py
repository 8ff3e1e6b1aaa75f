"""Every decision of one front: which machine takes a query, what is given up on, and how to vote on a build.

A host makes one Front from its Charter, reports what it sees (that only takes note), and calls decide(now)
until it answers None. Calls: umbermoor/interface.py; reasons: docs/design.md. Times: whole microseconds."""

import heapq
import random
from collections import defaultdict, deque
from math import exp, log, sqrt
from typing import Sequence

from umbermoor.ground.testroll import needed, posterior, spread
from umbermoor.interface import (Charter, Control, Decision, Do, Ending, Entry, Group, Listing, News, Phase,
                                 Repeat, Verdict)
from umbermoor.records import Contrast, Fading, HandOff, Machine, Pace, Pool, Query, Score, Slope, rank

SECOND = 1_000_000
MOVING = (Phase.TRIAL, Phase.GOING_BACK)
ORDER = {Phase.TRIAL: 0, Phase.RELEASED: 1, Phase.GOING_BACK: 2, Phase.WITHDRAWN: 3}

SIGMA = 0.05  # how far apart the true means of two builds are expected to lie
MARGIN = 0.02  # the fixed part of the lead that the earlier build needs for a vote back
WIDE = 0.06  # where n is the fleet's, twice for lateness: what new machines have against them stays at any n
LONE = 3  # times s/sqrt(n) added where a lone vote, and so a freak draw, sends a build back; elsewhere 2
HORIZON = 20 * SECOND  # the queries expected in this time are the paper's N
FIRST_MEAN = 0.9  # the earlier build's mean until it has LEAST outcomes
LEAST = 10  # outcomes below which nothing is judged by its mean
PATIENT = 4 * SECOND  # a stage is judged this long after its newest machine was listed, short of n* or not
FRESH = 3 * SECOND  # outcomes of machines listed more recently do not count, unless warm before
SURE = 0.965  # a mean above this is taken for this, so that s never vanishes and no lone lateness decides
SOUND = 0.985  # and so that of those that did not fail: judged by itself, as failures drown in lateness
DRAGGED = 1.4  # machines that take this many times as long as before the trial hold up the release
SLOWER = 1.3  # a build whose warm machines take so many times as long, less 2/sqrt(n) of it, goes back
HOLD = 8 * SECOND  # a release held up for this long goes back
LINGER = 14 * SECOND  # and so does a released build once that lasts so long: no passing trouble
TALLIES = 0.6  # what is known of answer times by the platform's counts loses this with each of them
FELT = 0.2  # a slowness while fewer of the machines are on trial has another cause
BRIEF = 2.5  # both are shorter where target times are, as troubles are; this over 1 s is the factor
RENEW = 0.7  # a vote is cast again after this share of its life

TALE = b"\x01"  # version of the messages
PASS_EVERY = SECOND // 4  # how often a front passes half of what it holds of the stage on to a peer
GRAIN = 10_000.0  # work that one step in a message stands for
CIRCLE = 10  # fronts that share a machine and tell each other their open work; to all it grows as a square
REACH = 4 * SECOND  # a front uses as many machines as it takes queries in this time, to learn of any
MOST_OWED = 2.0  # hand-offs that the trial may catch up on
TRUST = SECOND // 2  # what a peer told of a machine longer ago than this says nothing
RECENT = 4  # what was seen of a machine loses its weight in so many target times
FLEET = 0.98  # what is seen of the whole fleet loses this with each outcome
FEW = 10  # or is that of so many outcomes, where a target time brings no more of them
LEAN = 2.0  # a machine's pace leans on the fleet's as if that many usual queries had been seen
HINTS = 0.995  # what is seen of hints against answer times loses this with each
TRUSTED = 10.0  # until then they are trusted, as if so many answers that differ e-fold had borne them out
LEARN = 0.2  # weight of the newest outcome in a machine's averages
DOUBT = 0.5  # silence counts against a machine from this phi on, tenfold for each 1 of phi
ROW = 2  # each of so many failures in a row doubles the time they count: a front meets machines seldom
FAILING = 100.0  # a machine that fails all seems this many times further away
COLD_PART = 0.7  # part of the pressure allowed on a cold machine that this front uses of its own share
DONE_IN = 5 * SECOND  # the time over which work done is averaged
CROWD = 0.8  # no hand-off where the waiting and a usual query take this part of the time left
YIELD = 1 / 3  # less of it by this power of a query's value, as a part of the most valuable one's
MOST = 0.2  # so many errors done well elsewhere, for one that was not, lay them all on the machines
ENOUGH = 2  # errors from so many machines show that the query itself is at fault: no further hand-off
COPIES = 0.05  # second copies sent, as a share of the queries taken
COPY_AT = 3.0  # a copy goes out after this many times the time expected
BEAT = SECOND // 5  # how often a front looks around when nothing else happens
ASK_APART = 10_000  # fronts that start together ask for the list this far apart on average
EARLY = 15_000  # a useless hand-off ends this long before the target time, so that the answer is in time


class Front:
    def __init__(self, charter: Charter) -> None:
        self.charter = charter
        self.random = random.Random(charter.seed).random
        self.machines: dict[str, Machine] = {}
        self.sides: tuple[list[Machine], list[Machine]] = [], []  # those ready: of released builds, on trial
        self.queries: dict[str, Query] = {}
        self.todo: deque[str] = deque()
        self.later: list[tuple[int, str]] = []
        self.outbox: deque[Decision] = deque()  # what only needs to be passed on
        self.usual = [row.target / 5 for row in charter.profiles]  # expected work where no hint comes
        self.best = max((row.value for row in charter.profiles), default=1.0)
        self.took = self.work = 1.0 * SECOND  # the fleet's usual ones
        self.kept, self.out, self.out_since = FLEET, 0, 0  # hand-offs out, and the times of sending, summed
        self.gap, self.failing, self.mean_cost = SECOND / 2.0, 0.0, max(self.usual, default=0.0)
        self.started = self.watch_at = self.news = self.slow_since = None  # since when machines are slow
        self.hints = Slope(HINTS, TRUSTED)  # how far answer times follow what clients guess
        self.arrivals, self.done_work = Fading(HORIZON / 2), Fading(DONE_IN)
        self.faulty, self.wrongs, self.in_row = Fading(HORIZON), Fading(HORIZON), 0  # whose fault errors were
        self.copies, self.alarm, self.watch_failures, self.complaints, self.praised = 1.0, 0, 0, 0, 0
        self.credit: dict[int, float] = defaultdict(float)  # hand-offs to the trial still free
        self.fresh, self.share = min(FRESH, charter.warm_within), 0.0  # machines on trial
        self.base, self.staged = (0.0, 0.0), 0  # answer times before; when the stage began
        self.owed = 0.0  # hand-offs that these are due by their share
        self.tags: dict[bytes, str] = {}  # ids of machines that are ready by their names among peers
        self.circle = self.carried = 0.0  # part of the fronts that share a machine; the most one did
        self.tallied, self.told_late = bool(charter.tallied_every), charter.tallied_every
        self.tallied = self.tallied and charter.fronts > CIRCLE and not charter.may_tell
        self.pooled = charter.may_tell and charter.fronts > CIRCLE  # a few fill n* with their own traffic
        self.fleet = self.pooled or self.tallied  # n is what all saw
        self.answered: set[str] = set()  # keys that the trial has answered, where they may not go back
        self.trial, self.stage, self.paces = Contrast(), Pool(), (Pace(), Pace())  # past stages; present one
        self.mine = Pool()  # this front's own answer times, where others are counted too
        self.blamed = self.asked_at = self.vote_after = self.stood_at = self.judged_at = self.passed_at = 0
        self.standing = self.noted = self.asked = None  # votes: build, stage, verdict

    def take_query(self, now: int, query: str, profile: int, key: str | None, due: int, cost: int | None,
                   repeated: bool) -> None:
        scope = profile if self.charter.cap_by_profile else 0
        # Threat: rough hints; where only light ones pass, all seems slow for its work, and ever fewer pass.
        held = self.hints.value() if self.fleet else 1.0
        worth = self.mean_cost * (cost / self.mean_cost) ** held if cost else self.usual[profile]
        self.queries[query] = Query(profile, scope, key, now, due, worth, cost)
        self.todo.append(query)
        self.mean_cost += ((cost or worth) - self.mean_cost) * LEARN / 10
        self.arrivals.add(now, 1)
        cap = self.news.cap if self.news and self.news.phase in MOVING else self.charter.stage_caps[0]
        self.credit[scope] = min(self.charter.free_hand_offs, self.credit[scope] + cap)
        self.copies = min(5.0, self.copies + COPIES)

    def hand_off_ended(self, now: int, query: str, number: int, machine: str, ending: Ending, took: int,
                       closed: bool) -> None:
        held = self.queries.get(query)
        hand_off = held.hand_offs[number] if held and number < len(held.hand_offs) else None
        if hand_off is None or hand_off.ending is not None:
            return
        hand_off.ending = ending
        self._learn(now, held, hand_off, ending, took)
        self._score(now, held, hand_off, ending, took)
        if closed or held.ended:
            self._end(query, held)
        else:
            self.todo.append(query)

    def stream_started(self, now: int, query: str, number: int) -> None:
        if held := self.queries.get(query):
            held.due = 1 << 62

    def client_left(self, now: int, query: str) -> None:
        if held := self.queries.get(query):
            self._end(query, held)

    def list_news(self, now: int, kind: Listing, entries: Sequence[Entry]) -> None:
        if kind is Listing.FAILED:
            self.watch_failures += 1
            self.watch_at = now + round(min(8, 2 ** self.watch_failures / 2) * SECOND * (0.5 + self.random()))
            return
        self.watch_failures *= kind is Listing.CACHED
        if kind is not Listing.CHANGES:
            named = {entry.machine for entry in entries}
            for id in [id for id in self.machines if id not in named]:
                self._drop(id)
        for entry in entries:
            known = self.machines.get(entry.machine)
            if not entry.readiness:
                self._drop(entry.machine)
            elif known and (known.build, known.born) == (entry.build, entry.born):
                known.ready = entry.readiness == 1
            else:
                self._drop(entry.machine)
                listed = entry.born if kind is Listing.CACHED else now
                place = rank(entry.machine, self.charter.me)
                room = -self.random() * self.mean_cost  # threat: many fronts, a query each
                known = Machine(*entry[:4], entry.readiness == 1, entry.born, listed, now, place, room)
                self.machines[known.id] = known
        self._regroup()

    def _drop(self, machine: str) -> None:
        if known := self.machines.pop(machine, None):  # threat: what is out there never ends, and looks slow
            self.out, self.out_since = self.out - known.open, self.out_since - known.out_since

    def _count(self, machine: Machine, one: int, sent: int) -> None:
        machine.open, machine.out_since = machine.open + one, machine.out_since + one * sent
        if self.machines.get(machine.id) is machine:
            self.out, self.out_since = self.out + one, self.out_since + one * sent

    def release_news(self, now: int, news: News) -> None:
        if news.answers_vote:
            cast, self.asked = self.asked, None
            if news.ending is not Ending.OK:
                if news.ending is not Ending.TIMEOUT:
                    turn = self._turn(cast[2] if cast else Verdict.NONE)
                    self.vote_after = now + round(2 * BEAT * (1 + self.random())) + turn
                return
            self.standing, self.stood_at = cast, now
        old = self.news
        if old and (news.build, ORDER[news.phase], news.stage) < (old.build, ORDER[old.phase], old.stage):
            if news.build == old.build:  # stale, but a cap once told binds
                self.news = old._replace(cap=min(old.cap, news.cap))
            return
        if old is None or news.build != old.build:
            self.trial, self.slow_since = Contrast(), None  # threat: a base slowed by the last build
            if old is None or old.phase is Phase.RELEASED or not any(self.base):
                self.base = self.stage.pace(), self.mine.pace()
        if old is None or (old.build, old.phase, old.stage) != (news.build, news.phase, news.stage):
            self.trial = self._sight()[1] if old and old.build == news.build else Contrast()
            self.stage, self.complaints, self.staged = self.stage.next(), 0, now - news.age
            if not self.tallied or old is None or old.build != news.build:
                self.paces = Pace(), Pace()  # both sides
        if old is None or news.build != old.build or news.cap < old.cap:
            self.credit.clear()
            self.owed = 0.0
        if news.phase not in (Phase.TRIAL, Phase.RELEASED) or not old or news.build != old.build:
            self.answered.clear()
        self.news = news
        self._regroup()

    def tally(self, now: int, build: int, profile: int, counted: int, lost: int, took: int, age: int) -> None:
        """Where many fronts cannot tell each other anything, they judge on what the platform counted."""
        self.told_late = min(age, 2 * self.charter.tallied_every)
        if self.tallied and not (self._new(build) and self.news.phase is Phase.TRIAL):
            # Threat: a build that slows all, seen late, by answers in time alone: what is lost took long.
            late = self.charter.profiles[profile].target // 2 * lost
            self.stage.answered(took * (counted - lost) + late, TALLIES, counted)
        if self.tallied and self.news and self.news.phase is Phase.TRIAL:
            ended = now - age  # threat: machines listed after that took no part in what was counted
            listed = [one.listed for one in self.machines.values() if one.build == build and one.listed < ended]
            settled = ended - max(listed, default=ended)
            if settled >= self.fresh:
                self.stage.add(self._new(build), counted, counted - lost, counted - lost)
            if settled >= self.fresh + self.charter.tallied_every and counted > lost:  # none of it was cold
                self.paces[self._new(build)].add(took * (counted - lost), self.usual[profile] * (counted - lost),
                                                 counted - lost)

    def complaint(self, now: int, machine: str, profile: int, age: int) -> None:
        """Threat: wrong answers look done. One told stands for those that are not; a false one does too."""
        known = self.machines.get(machine)
        if known and self.news and self.charter.complaint_share and now - age - known.listed >= self.fresh:
            new = self._new(known.build)
            self.complaints, self.blamed = self.complaints + new, self.blamed + (not new)  # one may be false
            alone = self.complaints < 2 and self.charter.votes_back < 2 or self.news.phase is not Phase.TRIAL
            weight = 1.0 if alone else 1 / self.charter.complaint_share
            self.stage.add(new, 0, -weight, -weight, weight * weight * self.pooled)

    def probe_ended(self, now: int, machine: str, ending: Ending, load: Sequence[float] | None) -> None:
        """Not used: probes have not paid their price."""

    def peer_told(self, now: int, peer: int, payload: bytes) -> None:
        """A peer's open work at a machine, or half of what it holds. What is garbled says nothing."""
        if self.news:
            self.stage.take(payload, self.news.build, self.news.stage)
        known = self.machines.get(self.tags.get(payload[1:5], ""))
        if known and payload[:1] == TALE and len(payload) == 6 and 0 <= peer < self.charter.fronts:
            known.others[peer] = (now, payload[5] * GRAIN)

    def woken(self, now: int) -> None:
        """Nothing to note: to be asked for decisions is all."""

    def _learn(self, now: int, held: Query, hand_off: HandOff, ending: Ending, took: int) -> None:
        machine = hand_off.machine
        self._count(machine, -1, hand_off.sent)
        machine.load = max(0.0, machine.load - held.cost) if machine.open else 0.0
        self._tell(machine)
        tried = self._new(machine.build) and self.news.phase is Phase.TRIAL
        if ending is Ending.OK or took > self._paced(now, machine) * hand_off.ahead:  # at least that slow
            machine.took, machine.work = machine.took + took, machine.work + hand_off.ahead
            self.took, self.work = self.took * self.kept + took, self.work * self.kept + hand_off.ahead
            # Threat: answer times alone, as of a build that slows all; what is too slow ends unanswered.
            if not tried:
                self.mine.answered(took, FLEET, held.cost)
        if ending is Ending.OK:
            if not self.tallied and not tried:
                self.stage.answered(took, FLEET, 1)
            self.praised += not self._new(machine.build)
            if held.hint and self.fleet:
                self.hints.add(held.hint, took)
            self.usual[held.profile] += (took - self.usual[held.profile]) * LEARN / 4
            self.done_work.add(now, held.cost)
            if held.key and self.charter.one_way and self._new(machine.build):
                self.answered.add(held.key)
        if ending in (Ending.OK, Ending.ERROR, Ending.FULL):
            self.gap += (machine.heard(now, LEARN, self.gap) - self.gap) * LEARN / 10
        machine.silent_since = machine.silent_since if machine.open else None  # idle, it is not silent
        if ending not in (Ending.CANCELLED, Ending.MOOT, Ending.TIMEOUT):
            failed = ending is not Ending.OK and (ending is not Ending.ERROR or  # an error may be the query's
                                                  self.wrongs.at(now) > MOST * (self.faulty.at(now) - MOST))
            machine.fails += (failed - machine.fails) * LEARN
            machine.row = min(machine.row + 1, ROW) if failed else 0
            self.failing += (failed - self.failing) * LEARN / 10

    def _score(self, now: int, held: Query, hand_off: HandOff, ending: Ending, took: int) -> None:
        """Threat: queries that fail everywhere look like a bad build: errors count if done well elsewhere."""
        profile, good = self.charter.profiles[held.profile], ending is Ending.OK
        twice = ending is Ending.ERROR and held.errors >= ENOUGH
        self.in_row = 0 if good else self.in_row + twice
        self.faulty.add(now, twice)
        telling = self.in_row >= 2 * LEAST or self.wrongs.at(now) > MOST * (self.faulty.at(now) - MOST)
        if ending is Ending.ERROR and profile.repeat is Repeat.RETRIABLE and not (twice and telling):
            return
        off = ending in (Ending.CANCELLED, Ending.TIMEOUT) and took < profile.target - 2 * EARLY
        counted = self.tallied and self.news and self.news.phase is Phase.TRIAL  # by the platform
        if off or counted or ending in (Ending.MOOT, Ending.CONNECT_FAILED):  # no connection: no evidence
            return
        wronged = [one for one in held.hand_offs if good and one.ending is Ending.ERROR]
        self.wrongs.add(now, len(wronged))
        for one in (*wronged, hand_off):
            build, sound = one.machine.build, one.ending is not Ending.ERROR
            warm = one.machine.born + self.charter.warm_within + profile.target if self.fleet else 0
            if build not in held.scored and one.sent >= max(one.machine.listed + self.fresh, warm):
                held.scored.add(build)  # retries of one failure are no evidence: one score a query and build
                weight = sound or bool(wronged) or telling
                in_time = good and sound and took <= profile.target
                self.stage.add(self._new(build), weight, weight * in_time, weight * sound)
                if good and sound and one.sent >= one.machine.born + self.charter.warm_within:
                    self.paces[self._new(build)].add(took, held.cost)

    def _new(self, build: int) -> bool:
        return self.news is not None and build >= self.news.build

    def _sight(self) -> tuple[Contrast, Contrast]:
        """Both sides in this stage and since the trial began. Threat: light fronts' freak draws."""
        seen = self.stage.seen(self.charter.fronts)
        control = next((score for score in (seen.earlier, self.trial.earlier) if score.n >= LEAST),
                       Score(1, FIRST_MEAN, SOUND))
        past = self.trial.earlier.join(control, seen.new.n / control.n)
        return Contrast(seen.new, control), Contrast(self.trial.new.join(seen.new), past)

    def _end(self, query: str, held: Query) -> None:
        out = [number for number, hand_off in enumerate(held.hand_offs) if hand_off.ending is None]
        if not held.ended and self.charter.may_cancel:
            self.outbox.extend((Do.CANCEL, query, number) for number in out)
        held.ended = True
        if not out:
            self.queries.pop(query, None)

    def decide(self, now: int) -> Decision | None:
        if self.started is None:
            self.started = now
            if self.charter.list_asked:  # threat: fronts that start together ask together, and all fail
                self.watch_at = now + round(self.random() * (self.charter.fronts - 1) * ASK_APART)
        if self.watch_at is not None and now >= self.watch_at:
            self.watch_at = None
            return (Do.WATCH,)
        if self.outbox:
            return self.outbox.popleft()
        while self.later and self.later[0][0] <= now:
            self.todo.append(heapq.heappop(self.later)[1])
        while self.todo:
            query = self.todo.popleft()
            held = self.queries.get(query)
            if held and not held.ended and (decision := self._settle(now, query, held)):
                return decision
        if now >= self.judged_at + BEAT / 4:
            if vote := self._vote(now):
                return vote
            few = max(FEW, self._expected(now) * self.charter.profiles[0].target / HORIZON)
            self.kept = min(FLEET, 1 - 1 / few)
            self.judged_at, all_fails = now, [min(LEARN, one.fails) for one in self.machines.values()]
            self.failing = min(self.failing, sum(all_fails) / max(1, len(all_fails)))  # not the worst ones
            warm = sum(1 for other in self.machines.values() if self._warmth(now, other) >= 1)
            if 2 * warm >= len(self.machines):  # else the work was done by machines that have left
                self.carried = max(self.carried, self.done_work.at(now) / DONE_IN / max(1, warm))
        others = self.charter.fronts - 1 if self.pooled and self.news else 0
        if others and now >= self.passed_at + PASS_EVERY and self.stage.sums[0] > 0.25:  # not unheard of late
            self.passed_at, peer = now, int(self.random() * others)
            half = self.stage.half(self.news.build, self.news.stage, 0.45)  # a tenth of old times is lost
            return (Do.TELL, half, peer + (peer >= self.charter.me))
        beat = now + (BEAT if self.queries or self.news and self.news.phase in MOVING else 5 * BEAT)
        wake = min(beat, self.later[0][0] if self.later else beat, self.watch_at or beat)
        if now < self.alarm <= wake:
            return None
        self.alarm = wake
        return (Do.WAKE, wake)

    def _settle(self, now: int, query: str, held: Query) -> Decision | None:
        """What becomes of a query now: a hand-off, a second copy, a final answer, or nothing yet."""
        profile = self.charter.profiles[held.profile]
        end = held.due if profile.late_value else min(held.due, held.came + profile.target - EARLY)
        out = any(hand_off.ending is None for hand_off in held.hand_offs)
        if out and not (held.copy_at and now >= held.copy_at and self.copies >= 1):
            return None
        if now < end and held.errors < ENOUGH and (machine := self._choose(now, held, end - now)):
            self.copies -= out
            return self._send(now, query, held, machine, end)
        if out:
            return None
        self._end(query, held)
        harmless = (profile.repeat is Repeat.RETRIABLE or not held.ran
                    or profile.repeat is Repeat.FINGERPRINTED and profile.group is Group.ALL)
        return (Do.DENY, query, self.charter.most_advice) if harmless else (Do.ABANDON, query)

    def _send(self, now: int, query: str, held: Query, machine: Machine, end: int) -> Decision:
        ahead = held.cost + self._load(now, machine)
        self._count(machine, 1, now)
        machine.load += held.cost
        self._tell(machine)
        machine.silent_since = now if machine.silent_since is None else machine.silent_since
        self._charge(held, machine, 1)
        held.hand_offs.append(HandOff(machine, now, ahead))
        held.copy_at = 0
        if self.charter.may_copy and self.charter.profiles[held.profile].repeat is not Repeat.BINDING:
            held.copy_at = now + round(COPY_AT * self.took / self.work * ahead)
            if held.copy_at < end:
                heapq.heappush(self.later, (held.copy_at, query))
        return (Do.HAND_OFF, query, machine.id, end - now)

    def _charge(self, held: Query, machine: Machine, times: int) -> None:
        machine.room -= times * max(held.cost, self.mean_cost)  # hints are rough, light ones most of all
        if self._on_trial(machine.build):
            self.credit[held.scope] -= times

    def may_still(self, now: int, query: str, number: int) -> bool:
        """Threat: what changes while a hand-off waits for its connection: the gate again, as if unsent."""
        held = self.queries.get(query)
        if not held or held.hand_offs[number].ending is not None:
            return False
        machine = held.hand_offs[number].machine
        self._charge(held, machine, -1)
        may = self.machines.get(machine.id) is machine and self._may(now, held.without(number), machine)
        self._charge(held, machine, 1)
        return may

    def _may(self, now: int, held: Query, machine: Machine) -> bool:
        """The one gate of the rules: whether this query may be handed to this machine now."""
        charter, profile, hand_offs = self.charter, self.charter.profiles[held.profile], held.hand_offs
        if (held.ended or now >= held.due or len(hand_offs) >= charter.most_hand_offs
                or not machine.ready  # drains: none of the grace is used
                or hand_offs and hand_offs[-1].ending is None and not charter.may_copy
                or (ran := held.ran) and profile.repeat is Repeat.BINDING
                or ran and profile.repeat is Repeat.FINGERPRINTED and (
                    now - ran.sent >= profile.window
                    or profile.group is Group.ZONE and machine.zone != ran.machine.zone
                    or profile.group is Group.CELL and machine.cell != ran.machine.cell)):
            return False
        if self._on_trial(machine.build):
            news = self.news
            announced = news is not None and machine.build == news.build
            if news and (announced and news.cap <= 0 or not announced and news.phase in MOVING):
                return False  # on its way back a build may still take what its falling cap lets it
            guarded = (news.stage if announced else 0) < charter.guarded_stages
            if guarded and profile.repeat is not Repeat.RETRIABLE or self.credit[held.scope] < 1:
                return False
        elif held.key in self.answered and machine.build < self.news.build:
            return False
        return self._warmth(now, machine) >= 1 or self._room(now, machine) >= 0

    def _choose(self, now: int, held: Query, left: int) -> Machine | None:
        """The trial's turn goes by its machines' share; within a build the machine that seems nearest."""
        (steady, trial), pool = self.sides, []
        # Threat: a turn that finds the credit not full yet is lost, and half of the trial's share with it. Few fronts
        # leave it: to catch up whatever waits there makes a good build late beside the others in a full fleet.
        owed = self.owed * (self.charter.fronts > CIRCLE)
        self.owed = min(MOST_OWED, owed + self.share * (not held.hand_offs))
        if not held.hand_offs and self.random() < self.owed:
            near = self._near(now, trial)
            pool = self._able(now, held, near)
            self.owed -= bool(pool)
            # Threat: what cold machines cannot take falls on the few warm ones, and looks like a slow build.
            if self.fleet and sum(self._warmth(now, one) for one in pool) < self.random() * len(near):
                pool = []
        for side in (self._near(now, steady), steady[:2 * CIRCLE], trial[:2 * CIRCLE]):  # not all: time
            pool = pool or self._able(now, held, side)
        nearest = min(pool, key=lambda machine: self._distance(now, held, machine), default=None)
        # Threat: a jam that feeds itself, as late answers bring retries; also bursts and lost machines.
        ahead = nearest and self._load(now, nearest) + min(held.cost, self.mean_cost)
        part = CROWD * (self.charter.profiles[held.profile].value / self.best) ** (YIELD * (self.kept < FLEET))
        jammed = nearest and len(self.queries) > 2 and self._paced(now, nearest) * ahead > left * part
        return None if jammed else nearest  # with next to nothing out, one goes, to learn

    def _near(self, now: int, side: list[Machine]) -> list[Machine]:
        shared = [machine for machine in side if machine.rank < self.circle] if self.circle else []
        return shared or side[:min(3 * CIRCLE, max(CIRCLE, round(self._expected(now) * REACH / HORIZON)))]

    def _able(self, now: int, held: Query, side: list[Machine]) -> list[Machine]:
        pool = [machine for machine in side if self._may(now, held, machine)]
        return [one for one in pool if all(one is not sent.machine for sent in held.hand_offs)] or pool

    def _distance(self, now: int, held: Query, machine: Machine) -> float:
        """The time this query may take there; longer, the more unusual the machine's silence and failures."""
        time = self._paced(now, machine) * (held.cost + self._load(now, machine))
        if machine.silent_since is not None:
            phi = (now - machine.silent_since) / max(machine.gap, self.gap) / log(10)
            time *= 10 ** min(6.0, max(0.0, phi - DOUBT))
        # Threat: answers spoilt on the way, from all alike; only what stands out counts against a machine.
        fails = max(0.0, machine.fails - self.failing - 2 * sqrt(self.failing * LEARN / 2))
        return time / self._warmth(now, machine) * (1 + FAILING * fails) * (1 + 0.1 * self.random())

    def _load(self, now: int, machine: Machine) -> float:
        # Threat: each front sees only its own part of the open work, so peers tell theirs.
        return machine.load + sum(load for told, load in machine.others.values() if now < told + TRUST)

    def _tell(self, machine: Machine) -> None:
        if machine.users is None:  # nobody shares it where the circle is empty: no need to rank every front
            machine.users = [front for front in range(self.charter.fronts if self.circle else 0)
                             if front != self.charter.me and rank(machine.id, front) < self.circle]
        payload = TALE + machine.tag + bytes([min(255, round(machine.load / GRAIN))])
        self.outbox.extend((Do.TELL, payload, front) for front in machine.users)

    def _paced(self, now: int, machine: Machine) -> float:
        """Answer time over the work ahead: the machine's own, leaning on the fleet's at first."""
        machine.fade(now, RECENT * self.charter.profiles[0].target, 2 ** machine.row)
        # Threat: at a busy front what is out is more than the memory holds, and everything seems slow.
        fleet = (self.took + (self.kept < FLEET) * (self.out * now - self.out_since)) / self.work
        return (machine.took + (lean := LEAN * self.usual[0]) * fleet) / (machine.work + lean)

    def _warmth(self, now: int, machine: Machine) -> float:
        """The part of its capacity that the machine has by now at the least; 1 when it is warm."""
        grown = (now - machine.born) / max(1, self.charter.warm_within) if machine.born else 1.0
        return self.charter.cold_from + (1 - self.charter.cold_from) * min(1.0, max(0.0, grown))

    def _room(self, now: int, machine: Machine) -> float:
        """Work that a cold machine may still be sent: a part of the most that others did for this front."""
        rate = self.carried * COLD_PART * self.charter.fall_multiple * self._warmth(now, machine)
        machine.room = min(machine.room + rate * (now - machine.room_at), rate * self.charter.fall_span / 2)
        machine.room_at = now
        return machine.room

    def _on_trial(self, build: int) -> bool:
        if self.news is None:
            return any(build > machine.build for machine in self.machines.values())
        return build > self.news.build or build == self.news.build and self.news.phase is not Phase.RELEASED

    def _regroup(self) -> None:
        circle = CIRCLE / self.charter.fronts if self.charter.may_tell else 0.0
        self.circle = circle if circle * len(self.machines) >= 4 else 0.0  # sharing fewer, it tells nothing
        ready = sorted((one for one in self.machines.values() if one.ready), key=lambda one: one.rank)
        self.sides = tuple([one for one in ready if self._on_trial(one.build) is on] for on in (False, True))
        self.tags = {machine.tag: machine.id for machine in ready} if self.circle else {}
        self.share = len(self.sides[1]) / max(1, len(self.sides[0]) + len(self.sides[1]))

    def _expected(self, now: int) -> float:
        return 2 * self.arrivals.at(now) / (1 - exp((self.started - now - 1) / (HORIZON / 2)))

    def _vote(self, now: int) -> Decision | None:
        news = self.news
        if (news is None or news.phase not in (Phase.TRIAL, Phase.RELEASED) or now < self.vote_after
                or self.asked and now < self.asked_at + self.charter.vote_wait):
            return None
        lapsed = Verdict.NONE if self.standing == (news.build, news.stage, Verdict.ON) else None
        verdict = self._verdict(now, news) or lapsed  # a vote on that no longer holds is taken back
        vote = (news.build, news.stage, verdict)
        if verdict is None or vote == self.standing and now < self.stood_at + RENEW * self.charter.vote_life:
            return None
        if vote != self.noted:
            self.noted, self.vote_after = vote, now + self._turn(verdict)
            slow = f"{self.stage.pace():.3g}, {self.mine.pace():.3g}; before %.3g, %.3g" % self.base
            return (Do.NOTE, f"votes {verdict.name}: {news}; {self._sight()} {self.paces}, earlier {slow}")
        self.asked, self.asked_at = vote, now
        return (Do.VOTE, *vote)

    def _turn(self, verdict: Verdict) -> int:
        """Threat: all fronts vote in one second, and the platform turns away votes back too."""
        apart = self.charter.fronts / self.charter.votes_a_second if self.charter.votes_a_second else 0.0
        apart = min(apart * SECOND, self.charter.vote_life)
        return 0 if verdict in (Verdict.BACK, Verdict.HOLD) else round(self.random() * apart)

    def _verdict(self, now: int, news: News) -> Verdict | None:
        """Test & Roll: judged at n*, or short of it once the stage has had its time."""
        released, timed = news.phase is Phase.RELEASED, self.charter.control is Control.TIMER
        ahead = None if timed or released else Verdict.ON
        last = news.stage >= len(self.charter.stage_caps) - 1
        if (held := self._unless_dragged(now, ahead, LINGER if released else HOLD)) is Verdict.BACK:
            return held
        ahead = held if last else ahead  # no other waits: it may pass, and the build be good
        earlier, new = self.paces
        sure = 1 - (LONE if self.tallied else 2) / sqrt(max(1, new.n))  # the platform's counts lump by machine
        sure *= not released and min(earlier.n, new.n) >= 4 * LEAST
        if sure * new.mean() > SLOWER * earlier.mean():  # threat: more work, yet in time at light load
            return Verdict.BACK
        expected = self._expected(now) * (self.charter.fronts if self.fleet else 1)
        listed = [machine.listed for machine in self.machines.values() if machine.build == news.build]
        patience = PATIENT if last else min(PATIENT, self.charter.least_stage + SECOND // 2)
        stage, total = self._sight()
        told = self.fresh + 2 * self.charter.tallied_every + self.told_late if self.tallied else 0
        if not released and total.new.n < LEAST:  # threat: votes on before any count can be told
            patience = max(patience, told)
        since = now - max(*listed, self.started) if listed else 0
        clock = bool(listed) and since >= patience
        if last and self.fleet and now < self.staged + self.charter.least_stage + SECOND:
            ahead = None  # it moves nothing sooner; threat: one of before this stage had its traffic stands
        for new, earlier in ((stage.new, stage.earlier), (total.new, total.earlier)):
            enough = needed(expected, _clipped(earlier.mean(released))[0], SIGMA, LEAST)
            if new.n >= enough or clock and new.n >= LEAST:
                if self._trails(new, earlier, released):
                    return Verdict.BACK
                # Threat: one vote on suffices, and the least informed of many fronts casts it.
                unsure = self.fleet and new.n < enough and since < max(patience, told) + PATIENT
                return None if unsure and self._trails(new, earlier, released, 0.5) else ahead
        trails = stage.new.n and stage.new.mean(released) < stage.earlier.mean(released)
        return (None if trails else ahead) if clock else Verdict.HOLD if timed and trails else None

    def _unless_dragged(self, now: int, ahead: Verdict | None, most: int) -> Verdict | None:
        """Threat: a build that slows every machine, in step with its traffic. May hold up good ones."""
        most = round(most * min(1.0, BRIEF * self.charter.profiles[0].target / SECOND))
        since = now if self.share >= FELT or self.news.phase is Phase.RELEASED else 1 << 62  # not by it
        pools = self.stage, self.mine
        slow, mine = (pool.pace() > DRAGGED * base > 0 for pool, base in zip(pools, self.base))
        if self.fleet and self.slow_since and self.slow_since > now:
            self.slow_since = None  # what still lasts once it is felt counts from then on
        self.slow_since = (self.slow_since or since) if slow else None
        lasted = now - (self.slow_since or 1 << 62)
        # Threat: counts come after the release. A front's own answers never send back: they are few, and the
        # unluckiest of many fronts would decide; but one that sees no slowness lets the build pass.
        ahead = None if self.fleet and mine and since <= now else ahead
        return ahead if lasted < 0 else Verdict.BACK if lasted >= most else None

    def _trails(self, new: Score, earlier: Score, released: bool, part: float = 1.0) -> bool:
        """Whether the new posterior mean trails the earlier one by more than (that part of) the margin."""
        return (not released and self._behind(new.mean(), new.n, earlier.mean(), SURE, part)
                or self._behind(new.mean(True), new.n, earlier.mean(True), SOUND, part))

    def _behind(self, new: float, n: float, earlier: float, sure: float, part: float) -> bool:
        mu, s = _clipped(earlier, sure)
        if self.news.phase is Phase.TRIAL and self.blamed:  # threat: false complaints, weighed as several
            s = sqrt(s * s + self.blamed / (self.praised + 1) / self.charter.complaint_share ** 2)
        fixed = WIDE * (1 + (sure == SURE)) if self.fleet else MARGIN
        lead = fixed + (LONE if self.charter.votes_back <= 1 else 2) * s / sqrt(n)
        return mu - posterior(new, n, mu, SIGMA, s) > lead * part


def _clipped(mean: float, sure: float = SURE) -> tuple[float, float]:
    mu = min(max(mean, 0.0), sure)  # complaints may outweigh what was good
    return mu, spread(mu)

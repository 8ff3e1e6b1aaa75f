"""How a front votes on a build: which outcomes are evidence, Test & Roll, slowdowns, and when it votes."""

from math import sqrt

from umbermoor.statistics.test_roll import needed, posterior, spread
from umbermoor.front.interface import Control, Decision, Do, Ending, News, Phase, Repeat, Verdict
from umbermoor.front.policy.exposure import Exposure
from umbermoor.front.policy.state import ANSWER_MARGIN, FAULT_RATIO, MAX_ERRORS, MIN_OUTCOMES, PRIOR_MEAN, SECOND, TICK
from umbermoor.front.records import Contrast, HandOff, Pace, Query, Score

ORDER = {Phase.TRIAL: 0, Phase.RELEASED: 1, Phase.GOING_BACK: 2, Phase.WITHDRAWN: 3}  # earlier: stale news
SIGMA = 0.05  # how far apart the true means of two builds are expected to lie
MARGIN, FLEET_MARGIN = 0.02, 0.06  # fixed lead for a vote back; with the fleet's n, doubled for lateness
LONE_FACTOR = 3  # times s/sqrt(n) added to the lead if one vote, perhaps by chance, sends back; else 2
JUDGING_TIME = 4 * SECOND  # a stage is judged this long after its newest machine was listed, even short of n*
MAX_MEAN = 0.965  # higher means count as this, so that s never vanishes and one late answer doesn't decide
MAX_SOUND_MEAN = 0.985  # the same for the share that did not fail, judged apart: lateness would hide failures
SLOWDOWN = 1.4  # earlier machines' answer times, over those before the trial, that hold up the release
SLOWER_RATIO = 1.3  # a build goes back if its warm machines take this many times as long, less 2/sqrt(n)
SLOW_TRIAL, SLOW_RELEASE = 8 * SECOND, 14 * SECOND  # slowdown that sends a build back, on trial and released
TALLY_DECAY = 0.6  # factor on sums of tallied answer times per tally
MIN_TRIAL_SHARE = 0.2  # with a smaller share of the machines on trial a slowdown has another cause
SLOW_TARGETS = 2.5  # factor on both per second of target time, up to 1: troubles shorten with target times
RENEWAL = 0.7  # a vote is cast again after this share of its lifetime


class Votes(Exposure):
    def release_news(self, now: int, news: News) -> None:
        if news.answers_vote:
            cast, self.pending_vote = self.pending_vote, None
            if news.ending is not Ending.OK:
                if news.ending is not Ending.TIMEOUT:
                    delay = self._vote_delay(cast[2] if cast else Verdict.NONE)
                    self.vote_after = now + round(2 * TICK * (1 + self.random())) + delay
                return
            self.standing_vote, self.voted_at = cast, now
        old = self.news
        if old and (news.build, ORDER[news.phase], news.stage) < (old.build, ORDER[old.phase], old.stage):
            if news.build == old.build:  # stale news, but its lower cap applies
                self.news = old._replace(cap=min(old.cap, news.cap))
            return
        if old is None or news.build != old.build:
            self.past_stages, self.slow_since = Contrast(), None  # the last build may have slowed all
            if old is None or old.phase is Phase.RELEASED or not any(self.baselines):
                self.baselines = self.stage.pace(), self.own_pool.pace()
        if old is None or (old.build, old.phase, old.stage) != (news.build, news.phase, news.stage):
            self.past_stages = self._evidence()[1] if old and old.build == news.build else Contrast()
            self.stage, self.complaints, self.stage_began_at = self.stage.next_stage(), 0, now - news.age
            if not self.by_tallies or old is None or old.build != news.build:
                self.paces = Pace(), Pace()
        if old is None or news.build != old.build or news.cap < old.cap:
            self.credit.clear()
            self.turns_due = 0.0
        if news.phase not in (Phase.TRIAL, Phase.RELEASED) or not old or news.build != old.build:
            self.answered_keys.clear()
        self.news = news
        self._regroup()

    def tally(self, now: int, build: int, profile: int, counted: int, lost: int, took: int, age: int) -> None:
        """Take in the platform's count, which many fronts judge by where they can't exchange messages."""
        self.tally_age, done = min(age, 2 * self.charter.tallied_every), counted - lost
        if self.by_tallies and not (self._is_new(build) and self.news.phase is Phase.TRIAL):
            late = self.charter.profiles[profile].target // 2 * lost  # else a slowdown would show late
            self.stage.add_answer(took * done + late, TALLY_DECAY, counted)
        if self.by_tallies and self.news and self.news.phase is Phase.TRIAL:
            end = now - age  # of the counted period, which machines listed later had no part in
            listed = [one.listed for one in self.machines.values() if one.build == build and one.listed < end]
            settled = end - max(listed, default=end)
            if settled >= self.settling:
                self.stage.add(self._is_new(build), counted, done, done)
            if settled >= self.settling + self.charter.tallied_every and done > 0:  # all warm
                self.paces[self._is_new(build)].add(took * done, self.usual_work[profile] * done, done)

    def complaint(self, now: int, machine: str, profile: int, age: int) -> None:
        """Score a wrong answer that counted as good, weighted for unreported ones. It may be false."""
        known = self.machines.get(machine)
        if known and self.news and self.charter.complaint_share and now - age - known.listed >= self.settling:
            new = self._is_new(known.build)
            self.complaints, self.earlier_bad = self.complaints + new, self.earlier_bad + (not new)
            alone = self.complaints < 2 and self.charter.votes_back < 2 or self.news.phase is not Phase.TRIAL
            weight = 1.0 if alone else 1 / self.charter.complaint_share
            self.stage.add(new, 0, -weight, -weight, weight * weight * self.by_pool)

    def _score(self, now: int, query: Query, hand_off: HandOff, ending: Ending, took: int) -> None:
        """Score an outcome. An error counts if another machine answers: some queries fail at any machine."""
        profile, good = self.charter.profiles[query.profile], ending is Ending.OK
        repeated = ending is Ending.ERROR and query.errors >= MAX_ERRORS
        self.error_run = 0 if good else self.error_run + repeated
        self.query_errors.add(now, repeated)
        at_fault = (self.error_run >= 2 * MIN_OUTCOMES
                    or self.machine_errors.at(now) > FAULT_RATIO * (self.query_errors.at(now) - FAULT_RATIO))
        if ending is Ending.ERROR and profile.repeat is Repeat.RETRIABLE and not (repeated and at_fault):
            return
        early = ending in (Ending.CANCELLED, Ending.TIMEOUT) and took < profile.target - 2 * ANSWER_MARGIN
        tallied = self.by_tallies and self.news and self.news.phase is Phase.TRIAL
        if early or tallied or ending in (Ending.MOOT, Ending.CONNECT_FAILED):  # no connection: no evidence
            return
        failed = [one for one in query.hand_offs if good and one.ending is Ending.ERROR]
        self.machine_errors.add(now, len(failed))
        for one in (*failed, hand_off):
            build, sound = one.machine.build, one.ending is not Ending.ERROR
            warm = one.machine.born + self.charter.warm_within + profile.target if self.fleet_wide else 0
            if build not in query.scored_builds and one.sent >= max(one.machine.listed + self.settling, warm):
                query.scored_builds.add(build)  # one score per query and build: retries prove no more
                n, done = sound or bool(failed) or at_fault, good and sound
                self.stage.add(self._is_new(build), n, n * (done and took <= profile.target), n * sound)
                if done and one.sent >= one.machine.born + self.charter.warm_within:
                    self.paces[self._is_new(build)].add(took, query.cost)

    def _evidence(self) -> tuple[Contrast, Contrast]:
        """Return both sides in this stage and in the trial; too few give way to past ones or a prior."""
        seen = self.stage.contrast(self.charter.fronts)
        base = next((one for one in (seen.earlier, self.past_stages.earlier) if one.n >= MIN_OUTCOMES),
                    Score(1, PRIOR_MEAN, MAX_SOUND_MEAN))
        past = self.past_stages.earlier.join(base, seen.new.n / base.n)
        return Contrast(seen.new, base), Contrast(self.past_stages.new.join(seen.new), past)

    def _vote(self, now: int) -> Decision | None:
        news = self.news
        if (news is None or news.phase not in (Phase.TRIAL, Phase.RELEASED) or now < self.vote_after
                or self.pending_vote and now < self.vote_sent_at + self.charter.vote_wait):
            return None
        lapsed = Verdict.NONE if self.standing_vote == (news.build, news.stage, Verdict.ON) else None
        verdict = self._verdict(now, news) or lapsed  # withdraws a vote on that no longer holds
        vote = (news.build, news.stage, verdict)
        if verdict is None or vote == self.standing_vote and now < self.voted_at + RENEWAL * self.charter.vote_life:
            return None
        if vote != self.noted_vote:
            self.noted_vote, self.vote_after = vote, now + self._vote_delay(verdict)
            slow = f"{self.stage.pace():.3g}, {self.own_pool.pace():.3g}; before %.3g, %.3g" % self.baselines
            return (Do.NOTE, f"votes {verdict.name}: {news}; {self._evidence()} {self.paces}, earlier {slow}")
        self.pending_vote, self.vote_sent_at = vote, now
        return (Do.VOTE, *vote)

    def _vote_delay(self, verdict: Verdict) -> int:
        """Return a random delay for votes ON: sent all at once, they would get votes BACK refused too."""
        apart = self.charter.fronts / self.charter.votes_a_second if self.charter.votes_a_second else 0.0
        apart = min(apart * SECOND, self.charter.vote_life)
        return 0 if verdict in (Verdict.BACK, Verdict.HOLD) else round(self.random() * apart)

    def _verdict(self, now: int, news: News) -> Verdict | None:
        """Return the vote by Test & Roll: at n*, or short of it once the stage has had its time."""
        released, timed = news.phase is Phase.RELEASED, self.charter.control is Control.TIMER
        on, last = None if timed or released else Verdict.ON, news.stage >= len(self.charter.stage_caps) - 1
        if (vote := self._after_slowdown(now, on, SLOW_RELEASE if released else SLOW_TRIAL)) is Verdict.BACK:
            return vote
        on = vote if last else on  # earlier stages don't wait: the slowdown may pass, the build be good
        earlier, new = self.paces
        scale = 1 - (LONE_FACTOR if self.by_tallies else 2) / sqrt(max(1, new.n))  # tallies clump by machine
        scale *= not released and min(earlier.n, new.n) >= 4 * MIN_OUTCOMES
        if scale * new.mean() > SLOWER_RATIO * earlier.mean():  # at light load extra work is still in time
            return Verdict.BACK
        expected = self._expected(now) * (self.charter.fronts if self.fleet_wide else 1)
        listed = [machine.listed for machine in self.machines.values() if machine.build == news.build]
        patience = JUDGING_TIME if last else min(JUDGING_TIME, self.charter.least_stage + SECOND // 2)
        stage, total = self._evidence()
        tallied = self.settling + 2 * self.charter.tallied_every + self.tally_age if self.by_tallies else 0
        if not released and total.new.n < MIN_OUTCOMES:  # no vote on before a tally can have come
            patience = max(patience, tallied)
        since = now - max(*listed, self.started) if listed else 0
        timely = bool(listed) and since >= patience
        if last and self.fleet_wide and now < self.stage_began_at + self.charter.least_stage + SECOND:
            on = None  # changes nothing yet, and a vote from before this stage had its traffic would stand
        for new, earlier in ((stage.new, stage.earlier), (total.new, total.earlier)):
            enough = needed(expected, min(max(earlier.mean(released), 0.0), MAX_MEAN), SIGMA, MIN_OUTCOMES)
            if new.n >= enough or timely and new.n >= MIN_OUTCOMES:
                if self._trails(new, earlier, released):
                    return Verdict.BACK
                # One vote on suffices: the least informed of many fronts must not cast it.
                unsure = self.fleet_wide and new.n < enough and since < max(patience, tallied) + JUDGING_TIME
                return None if unsure and self._trails(new, earlier, released, 0.5) else on
        trails = stage.new.n and stage.new.mean(released) < stage.earlier.mean(released)
        return (None if trails else on) if timely else Verdict.HOLD if timed and trails else None

    def _after_slowdown(self, now: int, on: Verdict | None, limit: int) -> Verdict | None:
        """Hold up or vote back a build that slows all machines with its traffic. May hold up good ones."""
        limit = round(limit * min(1.0, SLOW_TARGETS * self.charter.profiles[0].target / SECOND))
        since = now if self.trial_share >= MIN_TRIAL_SHARE or self.news.phase is Phase.RELEASED else 1 << 62
        slow, own = (pool.pace() > SLOWDOWN * base > 0 for pool, base in zip((self.stage, self.own_pool), self.baselines))
        if self.fleet_wide and self.slow_since and self.slow_since > now:
            self.slow_since = None  # counts from the time at which enough machines are on trial
        self.slow_since = (self.slow_since or since) if slow else None
        lasted = now - (self.slow_since or 1 << 62)
        # Tallies come late: own answers withhold a vote on. They never vote back: chance would decide.
        on = None if self.fleet_wide and own and since <= now else on
        return on if lasted < 0 else Verdict.BACK if lasted >= limit else None

    def _trails(self, new: Score, earlier: Score, released: bool, part: float = 1.0) -> bool:
        """Return whether a posterior mean of the new build trails the earlier one by `part` of the lead."""
        return (not released and self._mean_trails(new.mean(), new.n, earlier.mean(), MAX_MEAN, part)
                or self._mean_trails(new.mean(True), new.n, earlier.mean(True), MAX_SOUND_MEAN, part))

    def _mean_trails(self, new: float, n: float, earlier: float, limit: float, part: float) -> bool:
        s = spread(mu := min(max(earlier, 0.0), limit))  # more complaints than good answers make it negative
        if self.news.phase is Phase.TRIAL and self.earlier_bad:  # a false complaint weighs as several
            s = sqrt(s * s + self.earlier_bad / (self.earlier_ok + 1) / self.charter.complaint_share ** 2)
        fixed = FLEET_MARGIN * (1 + (limit == MAX_MEAN)) if self.fleet_wide else MARGIN
        lead = fixed + (LONE_FACTOR if self.charter.votes_back <= 1 else 2) * s / sqrt(n)
        return mu - posterior(new, n, mu, SIGMA, s) > lead * part

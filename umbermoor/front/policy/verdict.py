"""How a front votes on a build: what counts as evidence, Test & Roll, slowness, and when a vote is cast."""

from math import sqrt

from umbermoor.statistics.test_roll import needed, posterior, spread
from umbermoor.front.interface import Control, Decision, Do, Ending, News, Phase, Repeat, Verdict
from umbermoor.front.policy.exposure import Exposure
from umbermoor.front.policy.state import BEAT, EARLY, ENOUGH, FIRST_MEAN, LEAST, MOST, SECOND
from umbermoor.front.records import Contrast, HandOff, Pace, Query, Score

ORDER = {Phase.TRIAL: 0, Phase.RELEASED: 1, Phase.GOING_BACK: 2, Phase.WITHDRAWN: 3}
SIGMA = 0.05  # how far apart the true means of two builds are expected to lie
MARGIN, WIDE = 0.02, 0.06  # fixed part of the lead for a vote back; where n is the fleet's, twice for lateness
LONE = 3  # times s/sqrt(n) added where a lone vote, and so a freak draw, sends a build back; elsewhere 2
PATIENT = 4 * SECOND  # a stage is judged this long after its newest machine was listed, short of n* or not
SURE = 0.965  # a mean above this is taken for this, so that s never vanishes and no lone lateness decides
SOUND = 0.985  # and so that of those that did not fail: judged by itself, as failures drown in lateness
DRAGGED = 1.4  # machines that take this many times as long as before the trial hold up the release
SLOWER = 1.3  # a build whose warm machines take so many times as long, less 2/sqrt(n) of it, goes back
HOLD, LINGER = 8 * SECOND, 14 * SECOND  # a release held up for this long goes back; a released build, so slow
TALLIES = 0.6  # what is known of answer times by the platform's counts loses this with each of them
FELT = 0.2  # a slowness while fewer of the machines are on trial has another cause
BRIEF = 2.5  # both are shorter where target times are, as troubles are; this over 1 s is the factor
RENEW = 0.7  # a vote is cast again after this share of its life


class Votes(Exposure):
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
            self.past_stages, self.slow_since = Contrast(), None  # threat: a base slowed by the last build
            if old is None or old.phase is Phase.RELEASED or not any(self.base):
                self.base = self.stage.pace(), self.mine.pace()
        if old is None or (old.build, old.phase, old.stage) != (news.build, news.phase, news.stage):
            self.past_stages = self._sight()[1] if old and old.build == news.build else Contrast()
            self.stage, self.complaints, self.staged = self.stage.next_stage(), 0, now - news.age
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
        self.told_late, done = min(age, 2 * self.charter.tallied_every), counted - lost
        if self.tallied and not (self._new(build) and self.news.phase is Phase.TRIAL):
            # Threat: a build that slows all, seen late, by answers in time alone: what is lost took long.
            late = self.charter.profiles[profile].target // 2 * lost
            self.stage.answered(took * done + late, TALLIES, counted)
        if self.tallied and self.news and self.news.phase is Phase.TRIAL:
            ended = now - age  # threat: machines listed after that took no part in what was counted
            listed = [one.listed for one in self.machines.values() if one.build == build and one.listed < ended]
            settled = ended - max(listed, default=ended)
            if settled >= self.fresh:
                self.stage.add(self._new(build), counted, done, done)
            if settled >= self.fresh + self.charter.tallied_every and done > 0:  # none of it was cold
                self.paces[self._new(build)].add(took * done, self.usual_work[profile] * done, done)

    def complaint(self, now: int, machine: str, profile: int, age: int) -> None:
        """Threat: wrong answers look done. One told stands for those that are not; a false one does too."""
        known = self.machines.get(machine)
        if known and self.news and self.charter.complaint_share and now - age - known.listed >= self.fresh:
            new = self._new(known.build)
            self.complaints, self.blamed = self.complaints + new, self.blamed + (not new)  # one may be false
            alone = self.complaints < 2 and self.charter.votes_back < 2 or self.news.phase is not Phase.TRIAL
            weight = 1.0 if alone else 1 / self.charter.complaint_share
            self.stage.add(new, 0, -weight, -weight, weight * weight * self.pooled)

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
                weight, done = sound or bool(wronged) or telling, good and sound
                self.stage.add(self._new(build), weight, weight * (done and took <= profile.target), weight * sound)
                if done and one.sent >= one.machine.born + self.charter.warm_within:
                    self.paces[self._new(build)].add(took, held.cost)

    def _sight(self) -> tuple[Contrast, Contrast]:
        """Both sides in this stage and since the trial began. Threat: light fronts' freak draws."""
        seen = self.stage.contrast(self.charter.fronts)
        base = next((one for one in (seen.earlier, self.past_stages.earlier) if one.n >= LEAST),
                    Score(1, FIRST_MEAN, SOUND))
        past = self.past_stages.earlier.join(base, seen.new.n / base.n)
        return Contrast(seen.new, base), Contrast(self.past_stages.new.join(seen.new), past)

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
        ahead, last = None if timed or released else Verdict.ON, news.stage >= len(self.charter.stage_caps) - 1
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
            enough = needed(expected, min(max(earlier.mean(released), 0.0), SURE), SIGMA, LEAST)
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
        slow, mine = (pool.pace() > DRAGGED * base > 0 for pool, base in zip((self.stage, self.mine), self.base))
        if self.fleet and self.slow_since and self.slow_since > now:
            self.slow_since = None  # what still lasts once it is felt counts from then on
        self.slow_since = (self.slow_since or since) if slow else None
        lasted = now - (self.slow_since or 1 << 62)
        # Threat: counts come late. A front's own few never send back: the unluckiest would decide; one may let it pass.
        ahead = None if self.fleet and mine and since <= now else ahead
        return ahead if lasted < 0 else Verdict.BACK if lasted >= most else None

    def _trails(self, new: Score, earlier: Score, released: bool, part: float = 1.0) -> bool:
        """Whether the new posterior mean trails the earlier one by more than (that part of) the margin."""
        return (not released and self._behind(new.mean(), new.n, earlier.mean(), SURE, part)
                or self._behind(new.mean(True), new.n, earlier.mean(True), SOUND, part))

    def _behind(self, new: float, n: float, earlier: float, sure: float, part: float) -> bool:
        s = spread(mu := min(max(earlier, 0.0), sure))  # complaints may outweigh what was good
        if self.news.phase is Phase.TRIAL and self.blamed:  # threat: false complaints, weighed as several
            s = sqrt(s * s + self.blamed / (self.praised + 1) / self.charter.complaint_share ** 2)
        fixed = WIDE * (1 + (sure == SURE)) if self.fleet else MARGIN
        lead = fixed + (LONE if self.charter.votes_back <= 1 else 2) * s / sqrt(n)
        return mu - posterior(new, n, mu, SIGMA, s) > lead * part

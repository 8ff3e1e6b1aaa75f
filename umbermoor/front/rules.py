"""The Front, of every concern in policy/. A host makes one from its Charter, reports what it sees (which only
takes note), and calls decide(now) until it answers None. Calls: interface.py; reasons: docs/design.md. Times: µs."""

import heapq
from collections.abc import Sequence

from umbermoor.front.interface import Decision, Do, Ending, Entry, Group, Listing, Repeat
from umbermoor.front.policy.exposure import MOVING
from umbermoor.front.policy.routing import Routing
from umbermoor.front.policy.state import BEAT, DONE_IN, EARLY, ENOUGH, FEW, FLEET, HORIZON, LEARN, SECOND
from umbermoor.front.policy.verdict import Votes
from umbermoor.front.records import HandOff, Machine, Query, rank

PASS_EVERY = SECOND // 4  # how often a front passes half of what it holds of the stage on to a peer
COPIES, COPY_AT = 0.05, 3.0  # second copies, as a share of queries; they go after so many times the time expected
ASK_APART = 10_000  # fronts that start together ask for the list this far apart on average


class Front(Routing, Votes):
    def take_query(self, now: int, query: str, profile: int, key: str | None, due: int, cost: int | None,
                   repeated: bool) -> None:
        scope = profile if self.charter.cap_by_profile else 0
        # Threat: rough hints; where only light ones pass, all seems slow for its work, and ever fewer pass.
        held = self.hints.value() if self.fleet else 1.0
        worth = self.mean_cost * (cost / self.mean_cost) ** held if cost else self.usual_work[profile]
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
            return self._end(query, held)
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
            for id in self.machines.keys() - {entry.machine for entry in entries}:
                self._drop(id)
        for entry in entries:
            known = self.machines.get(id := entry.machine)
            if entry.readiness and known and (known.build, known.born) == (entry.build, entry.born):
                known.ready = entry.readiness == 1
                continue
            self._drop(id)
            if entry.readiness:
                listed = entry.born if kind is Listing.CACHED else now
                place = rank(id, self.charter.me)
                room = -self.random() * self.mean_cost  # threat: many fronts, a query each
                self.machines[id] = Machine(*entry[:4], entry.readiness == 1, entry.born, listed, now, place, room)
        self._regroup()

    def probe_ended(self, now: int, machine: str, ending: Ending, load: Sequence[float] | None) -> None:
        """Not used: probes have not paid their price."""

    def woken(self, now: int) -> None:
        """Nothing to note: to be asked for decisions is all."""

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
            held = self.queries.get(query := self.todo.popleft())
            if held and not held.ended and (decision := self._settle(now, query, held)):
                return decision
        if now >= self.judged_at + BEAT / 4:
            if vote := self._vote(now):
                return vote
            self.kept = min(FLEET, 1 - 1 / max(FEW, self._expected(now) * self.charter.profiles[0].target / HORIZON))
            self.judged_at, all_fails = now, [min(LEARN, m.failure_rate) for m in self.machines.values()]
            self.failing = min(self.failing, sum(all_fails) / max(1, len(all_fails)))  # not the worst ones
            warm = sum(1 for other in self.machines.values() if self._warmth(now, other) >= 1)
            if 2 * warm >= len(self.machines):  # else the work was done by machines that have left
                self.peak_work_rate = max(self.peak_work_rate, self.done_work.at(now) / DONE_IN / max(1, warm))
        others = self.charter.fronts - 1 if self.pooled and self.news else 0
        if others and now >= self.passed_at + PASS_EVERY and self.stage.sums[0] > 0.25:  # not unheard of late
            self.passed_at, peer = now, int(self.random() * others)  # 0.45: a tenth of old times is lost
            return (Do.TELL, self.stage.half(self.news.build, self.news.stage, 0.45), peer + (peer >= self.charter.me))
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
        self._count(machine, 1, now, held.cost)
        machine.silent_since = now if machine.silent_since is None else machine.silent_since
        self._charge(held, machine, 1)
        held.hand_offs.append(HandOff(machine, now, ahead))
        held.copy_at = 0
        if self.charter.may_copy and self.charter.profiles[held.profile].repeat is not Repeat.BINDING:
            held.copy_at = now + round(COPY_AT * self.took / self.work * ahead)
            if held.copy_at < end:
                heapq.heappush(self.later, (held.copy_at, query))
        return (Do.HAND_OFF, query, machine.id, end - now)

    def _end(self, query: str, held: Query) -> None:
        out = [number for number, hand_off in enumerate(held.hand_offs) if hand_off.ending is None]
        if not held.ended and self.charter.may_cancel:
            self.outbox.extend((Do.CANCEL, query, number) for number in out)
        held.ended = True
        if not out:
            self.queries.pop(query, None)

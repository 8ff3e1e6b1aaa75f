"""The decision module's Front. Its calls: interface.py; reasons: docs/design.md. Times: microseconds."""

import heapq
from collections.abc import Sequence

from umbermoor.front.interface import Decision, Do, Ending, Entry, Group, Listing, Repeat
from umbermoor.front.policy.exposure import MOVING
from umbermoor.front.policy.routing import Routing
from umbermoor.front.policy.state import (
    ANSWER_MARGIN, FLEET_DECAY, HORIZON, LEARNING_RATE, MAX_ERRORS, MIN_FLEET_MEMORY, SECOND, TICK, WORK_SPAN)
from umbermoor.front.policy.verdict import Votes
from umbermoor.front.records import HandOff, Machine, Query, rank

POOL_PERIOD = SECOND // 4  # how often a front sends half of its stage pool to a peer
COPY_SHARE, COPY_AFTER = 0.05, 3.0  # second copies per query at most; sent after this many expected times
LIST_SPACING = 10_000  # fronts that start together ask for the list this far apart on average


class Front(Routing, Votes):
    def take_query(self, now: int, query: str, profile: int, key: str | None, due: int, cost: int | None,
                   repeated: bool) -> None:
        scope = profile if self.charter.cap_by_profile else 0
        # Rough hints: if only light ones passed, all would seem slow for its work, and ever fewer would pass.
        slope = self.hint_slope.value() if self.fleet_wide else 1.0
        expected = self.mean_cost * (cost / self.mean_cost) ** slope if cost else self.usual_work[profile]
        self.queries[query] = Query(profile, scope, key, now, due, expected, cost)
        self.todo.append(query)
        self.mean_cost += ((cost or expected) - self.mean_cost) * LEARNING_RATE / 10
        self.arrivals.add(now, 1)
        cap = self.news.cap if self.news and self.news.phase in MOVING else self.charter.stage_caps[0]
        self.credit[scope] = min(self.charter.free_hand_offs, self.credit[scope] + cap)
        self.copy_credit = min(5.0, self.copy_credit + COPY_SHARE)

    def hand_off_ended(self, now: int, query: str, number: int, machine: str, ending: Ending, took: int,
                       closed: bool) -> None:
        record = self.queries.get(query)
        hand_off = record.hand_offs[number] if record and number < len(record.hand_offs) else None
        if hand_off is None or hand_off.ending is not None:
            return
        hand_off.ending = ending
        self._learn(now, record, hand_off, ending, took)
        self._score(now, record, hand_off, ending, took)
        if closed or record.ended:
            return self._end(query, record)
        self.todo.append(query)

    def stream_started(self, now: int, query: str, number: int) -> None:
        if record := self.queries.get(query):
            record.due = 1 << 62  # never: the answer has begun

    def client_left(self, now: int, query: str) -> None:
        if record := self.queries.get(query):
            self._end(query, record)

    def list_news(self, now: int, kind: Listing, entries: Sequence[Entry]) -> None:
        if kind is Listing.FAILED:
            self.watch_fails += 1
            self.watch_at = now + round(min(8, 2 ** self.watch_fails / 2) * SECOND * (0.5 + self.random()))
            return
        self.watch_fails *= kind is Listing.CACHED
        if kind is not Listing.CHANGES:
            for id in self.machines.keys() - {entry.machine for entry in entries}:
                self._remove_machine(id)
        for entry in entries:
            known = self.machines.get(id := entry.machine)
            if entry.readiness and known and (known.build, known.born) == (entry.build, entry.born):
                known.ready = entry.readiness == 1
                continue
            self._remove_machine(id)
            if entry.readiness:
                listed = entry.born if kind is Listing.CACHED else now
                order = rank(id, self.charter.me)
                room = -self.random() * self.mean_cost  # many fronts must not each send one at once
                self.machines[id] = Machine(*entry[:4], entry.readiness == 1, entry.born, listed, now, order, room)
        self._regroup()

    def probe_ended(self, now: int, machine: str, ending: Ending, load: Sequence[float] | None) -> None:
        """Ignore the outcome: probes cost more than they gained."""

    def woken(self, now: int) -> None:
        """Do nothing: the host calls decide next."""

    def decide(self, now: int) -> Decision | None:
        if self.started is None:
            self.started = now
            if self.charter.list_asked:  # requests of fronts that start together would all fail
                self.watch_at = now + round(self.random() * (self.charter.fronts - 1) * LIST_SPACING)
        if self.watch_at is not None and now >= self.watch_at:
            self.watch_at = None
            return (Do.WATCH,)
        if self.outbox:
            return self.outbox.popleft()
        while self.scheduled and self.scheduled[0][0] <= now:
            self.todo.append(heapq.heappop(self.scheduled)[1])
        while self.todo:
            record = self.queries.get(query := self.todo.popleft())
            if record and not record.ended and (decision := self._settle(now, query, record)):
                return decision
        if now >= self.judged_at + TICK / 4:
            if vote := self._vote(now):
                return vote
            self.decay = min(FLEET_DECAY, 1 - 1 / max(
                MIN_FLEET_MEMORY, self._expected(now) * self.charter.profiles[0].target / HORIZON))
            self.judged_at, rates = now, [min(LEARNING_RATE, m.failure_rate) for m in self.machines.values()]
            self.fleet_failures = min(self.fleet_failures, sum(rates) / max(1, len(rates)))  # capped rates
            warm = sum(1 for other in self.machines.values() if self._warmth(now, other) >= 1)
            if 2 * warm >= len(self.machines):  # else machines that have left did the work
                self.peak_work_rate = max(self.peak_work_rate, self.done_work.at(now) / WORK_SPAN / max(1, warm))
        others = self.charter.fronts - 1 if self.by_pool and self.news else 0
        if others and now >= self.pooled_at + POOL_PERIOD and self.stage.sums[0] > 0.25:  # peers sent lately
            self.pooled_at, peer = now, int(self.random() * others)  # 0.45, not 0.5: forgets a tenth
            return (Do.TELL, self.stage.half(self.news.build, self.news.stage, 0.45), peer + (peer >= self.charter.me))
        tick = now + (TICK if self.queries or self.news and self.news.phase in MOVING else 5 * TICK)
        wake = min(tick, self.scheduled[0][0] if self.scheduled else tick, self.watch_at or tick)
        if now < self.wake_at <= wake:
            return None
        self.wake_at = wake
        return (Do.WAKE, wake)

    def _settle(self, now: int, query: str, record: Query) -> Decision | None:
        """Return what to do with a query now: a hand-off, a second copy, a final answer, or None to wait."""
        profile = self.charter.profiles[record.profile]
        end = record.due if profile.late_value else min(record.due, record.arrived_at + profile.target - ANSWER_MARGIN)
        waiting = any(hand_off.ending is None for hand_off in record.hand_offs)
        if waiting and not (record.copy_at and now >= record.copy_at and self.copy_credit >= 1):
            return None
        if now < end and record.errors < MAX_ERRORS and (machine := self._choose(now, record, end - now)):
            self.copy_credit -= waiting
            return self._send(now, query, record, machine, end)
        if waiting:
            return None
        self._end(query, record)
        harmless = (profile.repeat is Repeat.RETRIABLE or not record.first_run
                    or profile.repeat is Repeat.FINGERPRINTED and profile.group is Group.ALL)
        return (Do.DENY, query, self.charter.most_advice) if harmless else (Do.ABANDON, query)

    def _send(self, now: int, query: str, record: Query, machine: Machine, end: int) -> Decision:
        ahead = record.cost + self._open_work(now, machine)
        self._count(machine, 1, now, record.cost)
        machine.silent_since = now if machine.silent_since is None else machine.silent_since
        self._charge(record, machine, 1)
        record.hand_offs.append(HandOff(machine, now, ahead))
        record.copy_at = 0
        if self.charter.may_copy and self.charter.profiles[record.profile].repeat is not Repeat.BINDING:
            record.copy_at = now + round(COPY_AFTER * self.took / self.work * ahead)
            if record.copy_at < end:
                heapq.heappush(self.scheduled, (record.copy_at, query))
        return (Do.HAND_OFF, query, machine.id, end - now)

    def _end(self, query: str, record: Query) -> None:
        unended = [number for number, hand_off in enumerate(record.hand_offs) if hand_off.ending is None]
        if not record.ended and self.charter.may_cancel:
            self.outbox.extend((Do.CANCEL, query, number) for number in unended)
        record.ended = True
        if not unended:
            self.queries.pop(query, None)

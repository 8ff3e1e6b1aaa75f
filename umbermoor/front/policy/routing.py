"""Which machine takes a query: what is seen of each, its pace, load and distance; when none is to."""

from math import log, sqrt

from umbermoor.front.interface import Do, Ending, Phase
from umbermoor.front.policy.limits import Limits
from umbermoor.front.policy.state import CIRCLE, FLEET, HORIZON, LEARN, MOST, SECOND
from umbermoor.front.records import HandOff, Machine, Query, rank

TALE, GRAIN = b"\x01", 10_000.0  # of messages: their version, and the work that one step in them stands for
REACH = 4 * SECOND  # a front uses as many machines as it takes queries in this time, to learn of any
TRUST = SECOND // 2  # what a peer told of a machine longer ago than this says nothing
RECENT = 4  # what was seen of a machine loses its weight in so many target times
LEAN = 2.0  # a machine's pace leans on the fleet's as if that many usual queries had been seen
DOUBT = 0.5  # silence counts against a machine from this phi on, tenfold for each 1 of phi
ROW = 2  # each of so many failures in a row doubles the time they count: a front meets machines seldom
FAILING = 100.0  # a machine that fails all seems this many times further away
CROWD = 0.8  # no hand-off where the waiting and a usual query take this part of the time left
YIELD = 1 / 3  # less of it by this power of a query's value, as a part of the most valuable one's


class Routing(Limits):
    def _learn(self, now: int, held: Query, hand_off: HandOff, ending: Ending, took: int) -> None:
        machine = hand_off.machine
        self._count(machine, -1, hand_off.sent, held.cost)
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
            self.usual_work[held.profile] += (took - self.usual_work[held.profile]) * LEARN / 4
            self.done_work.add(now, held.cost)
            if held.key and self.charter.one_way and self._new(machine.build):
                self.answered.add(held.key)
        if ending in (Ending.OK, Ending.ERROR, Ending.FULL):
            self.gap += (machine.heard(now, LEARN, self.gap) - self.gap) * LEARN / 10
        machine.silent_since = machine.silent_since if machine.open else None  # idle, it is not silent
        if ending not in (Ending.CANCELLED, Ending.MOOT, Ending.TIMEOUT):
            failed = ending is not Ending.OK and (ending is not Ending.ERROR or  # an error may be the query's
                                                  self.wrongs.at(now) > MOST * (self.faulty.at(now) - MOST))
            machine.failure_rate += (failed - machine.failure_rate) * LEARN
            machine.row = min(machine.row + 1, ROW) if failed else 0
            self.failing += (failed - self.failing) * LEARN / 10

    def _count(self, machine: Machine, one: int, sent: int, cost: float) -> None:
        machine.open, machine.out_since = machine.open + one, machine.out_since + one * sent
        if self.machines.get(machine.id) is machine:
            self.out, self.out_since = self.out + one, self.out_since + one * sent
        machine.load = max(0.0, machine.load + one * cost) if machine.open else 0.0
        self._tell(machine)

    def _choose(self, now: int, held: Query, left: int) -> Machine | None:
        """The trial's turn goes by its machines' share; within a build the machine that seems nearest."""
        (steady, trial), pool = self.sides, []
        if self._turn_due(held):
            pool = self._able(now, held, near := self._near(now, trial))
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
        fails = max(0.0, machine.failure_rate - self.failing - 2 * sqrt(self.failing * LEARN / 2))
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

    def peer_message(self, now: int, peer: int, payload: bytes) -> None:
        """A peer's open work at a machine, or half of what it holds. What is garbled says nothing."""
        if self.news:
            self.stage.take(payload, self.news.build, self.news.stage)
        known = self.machines.get(self.tags.get(payload[1:5], ""))
        if known and payload[:1] == TALE and len(payload) == 6 and 0 <= peer < self.charter.fronts:
            known.others[peer] = (now, payload[5] * GRAIN)

    def _paced(self, now: int, machine: Machine) -> float:
        """Answer time over the work ahead: the machine's own, leaning on the fleet's at first."""
        machine.fade(now, RECENT * self.charter.profiles[0].target, 2 ** machine.row)
        # Threat: at a busy front what is out is more than the memory holds, and everything seems slow.
        fleet = (self.took + (self.kept < FLEET) * (self.out * now - self.out_since)) / self.work
        return (machine.took + (lean := LEAN * self.usual_work[0]) * fleet) / (machine.work + lean)

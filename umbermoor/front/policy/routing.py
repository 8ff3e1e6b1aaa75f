"""Which machine takes a query, by the pace, load and failures seen of each; when none of them should."""

from math import log, sqrt

from umbermoor.front.interface import Do, Ending, Phase
from umbermoor.front.policy.limits import Limits
from umbermoor.front.policy.state import FAULT_RATIO, FLEET_DECAY, GROUP_SIZE, HORIZON, LEARNING_RATE, SECOND
from umbermoor.front.records import HandOff, Machine, Query, rank

LOAD_MARK, LOAD_STEP = b"\x01", 10_000.0  # of load messages: first byte, and the work per unit (microseconds)
SPREAD_TIME = 4 * SECOND  # a front uses as many machines as queries come in this time, to keep seeing each
PEER_TTL = SECOND // 2  # how long a peer's load message counts; a front sees only its part of the open work
MEMORY_TARGETS = 4  # time constant of a machine's sums, in target times
PACE_PRIOR = 2.0  # weight of the fleet's pace in a machine's own, in usual queries
MIN_PHI = 0.5  # silence above this phi multiplies a machine's estimate, tenfold per unit of phi
MAX_FAILURE_RUN = 2  # failures in a row that each double how long failures count, as hand-offs are rare
FAILURE_PENALTY = 100.0  # weight of a failure rate above the fleet's; faults that all share don't count
MAX_WAIT_PART = 0.8  # no hand-off if the work ahead and a usual query take more of the time left than this
VALUE_EXPONENT = 1 / 3  # scales that part by (value / highest value) to this power, at little traffic


class Routing(Limits):
    def _learn(self, now: int, query: Query, hand_off: HandOff, ending: Ending, took: int) -> None:
        machine = hand_off.machine
        self._count(machine, -1, hand_off.sent, query.cost)
        on_trial = self._is_new(machine.build) and self.news.phase is Phase.TRIAL
        # Unanswered hand-offs count once slower than expected: a build that slows all makes them time out.
        if ending is Ending.OK or took > self._pace(now, machine) * hand_off.ahead:
            machine.took, machine.work = machine.took + took, machine.work + hand_off.ahead
            self.took, self.work = self.took * self.decay + took, self.work * self.decay + hand_off.ahead
            if not on_trial:
                self.own_pool.add_answer(took, FLEET_DECAY, query.cost)
        if ending is Ending.OK:
            if not self.by_tallies and not on_trial:
                self.stage.add_answer(took, FLEET_DECAY, 1)
            self.earlier_ok += not self._is_new(machine.build)
            if query.hint and self.fleet_wide:
                self.hint_slope.add(query.hint, took)
            self.usual_work[query.profile] += (took - self.usual_work[query.profile]) * LEARNING_RATE / 4
            self.done_work.add(now, query.cost)
            if query.key and self.charter.one_way and self._is_new(machine.build):
                self.answered_keys.add(query.key)
        if ending in (Ending.OK, Ending.ERROR, Ending.FULL):
            self.gap += (machine.record_answer(now, LEARNING_RATE, self.gap) - self.gap) * LEARNING_RATE / 10
        machine.silent_since = machine.silent_since if machine.open else None  # not silent when idle
        if ending not in (Ending.CANCELLED, Ending.MOOT, Ending.TIMEOUT):
            failed = ending is not Ending.OK and (ending is not Ending.ERROR or  # may be the query's fault
                self.machine_errors.at(now) > FAULT_RATIO * (self.query_errors.at(now) - FAULT_RATIO))
            machine.failure_rate += (failed - machine.failure_rate) * LEARNING_RATE
            machine.failures_in_row = min(machine.failures_in_row + 1, MAX_FAILURE_RUN) if failed else 0
            self.fleet_failures += (failed - self.fleet_failures) * LEARNING_RATE / 10

    def _count(self, machine: Machine, one: int, sent: int, cost: float) -> None:
        machine.open, machine.sent_sum = machine.open + one, machine.sent_sum + one * sent
        if self.machines.get(machine.id) is machine:
            self.open, self.sent_sum = self.open + one, self.sent_sum + one * sent
        machine.load = max(0.0, machine.load + one * cost) if machine.open else 0.0
        self._tell_peers(machine)

    def _choose(self, now: int, query: Query, left: int) -> Machine | None:
        """Return the machine with the shortest estimate, on trial if one is due; None if all are too slow."""
        (steady, trial), pool = self.candidates, []
        if self._turn_due(query):
            pool = self._eligible(now, query, near := self._preferred(now, trial))
            self.turns_due -= bool(pool)
            # The share of cold machines must not fall on the few warm ones: the build would look slow.
            if self.fleet_wide and sum(self._warmth(now, one) for one in pool) < self.random() * len(near):
                pool = []
        for side in (self._preferred(now, steady), steady[:2 * GROUP_SIZE], trial[:2 * GROUP_SIZE]):
            pool = pool or self._eligible(now, query, side)  # not all machines: bounds the decision's time
        nearest = min(pool, key=lambda machine: self._estimate(now, query, machine), default=None)
        # Late answers bring retries: congestion after bursts or lost machines would otherwise sustain itself.
        ahead = nearest and self._open_work(now, nearest) + min(query.cost, self.mean_cost)
        part = MAX_WAIT_PART * (self.charter.profiles[query.profile].value / self.max_value) ** (
            VALUE_EXPONENT * (self.decay < FLEET_DECAY))
        congested = nearest and len(self.queries) > 2 and self._pace(now, nearest) * ahead > left * part
        return None if congested else nearest  # with at most two queries open, send to learn the pace

    def _preferred(self, now: int, side: list[Machine]) -> list[Machine]:
        shared = [machine for machine in side if machine.rank < self.group_share] if self.group_share else []
        return shared or side[:min(3 * GROUP_SIZE, max(GROUP_SIZE, round(self._expected(now) * SPREAD_TIME / HORIZON)))]

    def _eligible(self, now: int, query: Query, side: list[Machine]) -> list[Machine]:
        pool = [machine for machine in side if self._allows(now, query, machine)]
        return [one for one in pool if all(one is not sent.machine for sent in query.hand_offs)] or pool

    def _estimate(self, now: int, query: Query, machine: Machine) -> float:
        """Estimate how long the query takes there, more with unusual silence or failures of the machine."""
        time = self._pace(now, machine) * (query.cost + self._open_work(now, machine))
        if machine.silent_since is not None:
            phi = (now - machine.silent_since) / max(machine.gap, self.gap) / log(10)
            time *= 10 ** min(6.0, max(0.0, phi - MIN_PHI))
        excess = max(0.0, machine.failure_rate - self.fleet_failures
                     - 2 * sqrt(self.fleet_failures * LEARNING_RATE / 2))
        return time / self._warmth(now, machine) * (1 + FAILURE_PENALTY * excess) * (1 + 0.1 * self.random())

    def _open_work(self, now: int, machine: Machine) -> float:
        return machine.load + sum(load for at, load in machine.peer_loads.values() if now < at + PEER_TTL)

    def _tell_peers(self, machine: Machine) -> None:
        if machine.sharers is None:  # skips ranking it for all fronts if none share
            machine.sharers = [front for front in range(self.charter.fronts if self.group_share else 0)
                               if front != self.charter.me and rank(machine.id, front) < self.group_share]
        payload = LOAD_MARK + machine.tag + bytes([min(255, round(machine.load / LOAD_STEP))])
        self.outbox.extend((Do.TELL, payload, front) for front in machine.sharers)

    def peer_message(self, now: int, peer: int, payload: bytes) -> None:
        """Take in a peer's open work at a machine or half of its stage pool; ignore a malformed message."""
        if self.news:
            self.stage.merge(payload, self.news.build, self.news.stage)
        machine = self.machines.get(self.ids_by_tag.get(payload[1:5], ""))
        if machine and payload[:1] == LOAD_MARK and len(payload) == 6 and 0 <= peer < self.charter.fronts:
            machine.peer_loads[peer] = (now, payload[5] * LOAD_STEP)

    def _pace(self, now: int, machine: Machine) -> float:
        """Return answer time per work ahead: the machine's own, drawn to the fleet's while little is seen."""
        machine.decay(now, MEMORY_TARGETS * self.charter.profiles[0].target, 2 ** machine.failures_in_row)
        # At a busy front open hand-offs outnumber the remembered answers: counted, all would seem slow.
        fleet = (self.took + (self.decay < FLEET_DECAY) * (self.open * now - self.sent_sum)) / self.work
        return (machine.took + (prior := PACE_PRIOR * self.usual_work[0]) * fleet) / (machine.work + prior)

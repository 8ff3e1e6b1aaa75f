"""Body one: a whole fleet in virtual time, around the real decision module of each front.

One heap of events, in order of time and then of their making: the same day and seed play the same,
byte for byte. Every front is a real ``facade.DecisionModule`` under the virtual clock; machines, list and
platform are the laboratory's models.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from umbermoor.front.capture.frames import Header, file_head
from umbermoor.front.capture.recorder import Recorder
from umbermoor.front.facade import (
    Abandoned,
    Asked,
    Complaint,
    Connected,
    DecisionModule,
    Denied,
    Ended,
    Go,
    Held,
    Left,
    Listed,
    Stop,
    Tally,
    Vote,
)
from umbermoor.front.interface import Ending, Entry, Listing, News, Readiness
from umbermoor.front.start_settings import read_start_settings
from umbermoor.lab.audit import Ledger, by_rule
from umbermoor.lab.chance import Chance
from umbermoor.lab.day import SECOND, Day, Trouble, micros
from umbermoor.lab.demand import Journey, Kind, Wish, wishes
from umbermoor.lab.machine import Done, Job, Machine, Reply
from umbermoor.lab.measure import Measure
from umbermoor.lab.release import Listed as Row
from umbermoor.lab.site import Site
from umbermoor.lab.terms import CONNECT_MS, IDLE_MS, VOTE_WAIT_MS, seed_of, settings_of

BEGIN = 1_000 * SECOND  # the clock at the day's start; no machine is as old as that
WAY_BACK = 2_000  # what a front keeps of a query's time for its answer's way
RESERVE = 32  # descriptors that a front keeps for other things
CLIENTS_PART = 3  # clients hold at most one in so many of a front's descriptors
SERVED_PART = (
    0.6  # of a query's cost on the front's core, what falls on its arrival; the rest on its answer
)
NOTICED = SECOND  # until a dead front is asked no more
COMPLAINT_AGE = 2 * SECOND  # until a wrong answer is reported
ENDINGS = {
    Reply.DONE: Ending.OK,
    Reply.WRONG: Ending.OK,
    Reply.ERROR: Ending.ERROR,
    Reply.AWAY: Ending.FULL,
    Reply.RESET: Ending.RESET,
    Reply.SPOILT: Ending.RESET,
    Reply.REFUSED: Ending.CONNECT_FAILED,
}
KEEPS_LINE = (Reply.DONE, Reply.WRONG, Reply.ERROR, Reply.AWAY)


class _Out(NamedTuple):
    """A hand-off that is out, from the decision on."""

    go: Go
    begun: int
    state: list[bool]  # whether its last byte is written


class _Try(NamedTuple):
    journey: Journey
    front: "VirtualFront"
    query: str


class VirtualFront:
    """A front around the real module: what node/ does on sockets, with connections and descriptors
    counted."""

    def __init__(self, world: "World", name: str, start: int) -> None:
        self.world, self.name = world, name
        day = world.day
        self.charter = read_start_settings(
            seed_of(day, name, start), {**world.settings, "me": int(name[1:])}
        )
        self.desk = DecisionModule(self.charter, lambda: world.now)
        self.alive = True
        self.held: set[str] = set()
        self.out: dict[tuple[str, int], _Out] = {}
        self.lines: dict[str, list[int]] = {}  # idle ones by machine: since when
        self.used = 0  # descriptors of lines to machines
        self.clients = 0  # connections that clients hold
        self.free_at = 0  # when its core is free
        self.stalled_until = 0
        self.opened = 0
        self.peak = 0
        self.busy = 0
        self._armed = 0
        self.recorder = world.recorder(self) if world.recorder is not None else None

    # From clients.

    def arrive(self, asked: Asked) -> None:
        if not self.alive:
            return self.world.lost(asked.query)
        self.world.ledger.taken(self.world.now, self.name, asked.query, asked.profile, asked.due)
        self._cost(SERVED_PART, self._take, asked)
        return None

    def _cost(self, part: float, call: Callable, *words: Any) -> None:
        """The call, once the core has come to it."""
        cost, now = round(self.world.day.front.cpu_us * part), self.world.now
        if not cost and now >= self.stalled_until:
            call(*words)
            return
        begin = max(self.free_at, now, self.stalled_until)
        self.free_at = begin + cost
        self.busy += cost
        self.world.at(self.free_at, self._if_alive, call, *words)

    def _if_alive(self, call: Callable, *words: Any) -> None:
        if self.alive:
            call(*words)

    def _take(self, asked: Asked) -> None:
        if not self.world.waits(asked.query):
            return
        if len(self.held) >= self._most_clients:
            self.world.answer(self, asked.query, Kind.DENIED, SECOND, False)
            return
        self.held.add(asked.query)
        if self.recorder is not None:
            self.recorder.asked(asked.query, asked.profile, asked.due, asked.cost, asked.repeated)
        self.clients = max(self.clients, len(self.held))
        self._follow([self.desk.pick(asked)])

    @property
    def _most_clients(self) -> int:
        return max(8, self._budget // CLIENTS_PART)

    @property
    def _budget(self) -> int:
        return self.world.day.front.descriptors - RESERVE

    def left(self, query: str) -> None:
        if self.alive and query in self.held:
            self.held.discard(query)
            if self.recorder is not None:
                self.recorder.closed(query, "left")
            self._follow(self.desk.report(Left(query)))

    # News.

    def hear(self, heard: Any) -> None:
        if self.alive:
            if self.world.now < self.stalled_until:
                self.world.at(self.stalled_until, self.hear, heard)
            else:
                if self.recorder is not None and isinstance(heard, Listed):
                    self.recorder.listed(heard.kind is not Listing.CHANGES, list(heard.entries))
                self._follow(self.desk.report(heard))

    # Steps.

    def tick(self, armed: int) -> None:
        if self.alive and armed == self._armed:
            self._armed = 0
            if self.world.now < self.stalled_until:
                self._arm(self.stalled_until)
            else:
                self._follow(self.desk.tick())

    def _arm(self, at: int) -> None:
        if not self._armed or at < self._armed:
            self._armed = at
            self.world.at(at, self.tick, at)

    def _follow(self, steps: list) -> None:
        pending = list(steps)
        for step in pending:
            match step:
                case Go():
                    self._go(step)
                case Denied(query, wait):
                    self._answer(query, Kind.DENIED, wait)
                case Abandoned(query):
                    self._answer(query, Kind.ABANDONED, 0)
                case Stop(query, number):
                    self._stop(query, number)
                case Vote():
                    self.world.vote(self, step)
                case Held():
                    pass
        self._arm(max(self.world.now + 1, self.desk.next_tick))

    def _answer(self, query: str, kind: Kind, wait: int, wrong: bool = False) -> None:
        if query in self.held:
            self.held.discard(query)
            if self.recorder is not None:
                self.recorder.closed(query, kind.value)
            self.world.answer(self, query, kind, wait, wrong)

    def _go(self, go: Go) -> None:
        now, key = self.world.now, (go.query, go.number)
        if go.query not in self.held:
            self.world.at(now, self.hear, Ended(go.query, go.number, go.machine, Ending.MOOT, 0))
            return
        self.out[key] = out = _Out(go, now, [False])
        if self.recorder is not None:
            self.recorder.handed(go.query, go.machine)
        self.world.at(now + max(0, go.limit), self._late, key, out)
        idle = self.lines.get(go.machine)
        while idle:
            since = idle.pop()
            if now - since < IDLE_MS * 1000 - 2 * SECOND:
                self._send(key, out)
                return
            self.close_line(go.machine)
        if self.used + min(self.clients, self._most_clients) >= self._budget and not self._spare():
            self.world.at(now, self._over, key, out, Ending.CONNECT_FAILED, False)
            return
        self.used += 1
        self.peak = max(self.peak, self.used + self.clients)
        self.world.connect(self, key, out)

    def _spare(self) -> bool:
        """Closes the line that has been idle longest."""
        machine = min(
            (one for one, idle in self.lines.items() if idle),
            key=lambda one: self.lines[one][0],
            default=None,
        )
        if machine is None:
            return False
        self.lines[machine].pop(0)
        self.close_line(machine)
        return True

    def close_line(self, machine: str) -> None:
        self.used -= 1
        if known := self.world.site.machines.get(machine):
            known.connections = max(0, known.connections - 1)

    def connected(self, key: tuple[str, int], out: _Out, up: bool) -> None:
        if not self.alive:
            return
        if not up:
            self.used -= 1
            self._over(key, out, Ending.CONNECT_FAILED, False)
            return
        self.opened += 1
        if self.out.get(key) is not out:  # called off meanwhile
            self._keep(out.go.machine)
        elif self.desk.report(Connected(out.go)):
            self._send(key, out)
        else:
            self._keep(out.go.machine)
            self._over(key, out, Ending.MOOT, False)

    def _keep(self, machine: str) -> None:
        self.lines.setdefault(machine, []).append(self.world.now)

    def _send(self, key: tuple[str, int], out: _Out) -> None:
        out.state[0] = True
        self.world.send(self, out.go)

    def replied(self, key: tuple[str, int], machine: str, reply: Reply) -> None:
        if not self.alive:
            return
        out = self.out.get(key)
        if out is None:  # given up on: its line was closed then
            return
        if reply in KEEPS_LINE:
            self._keep(machine)
        else:
            self.close_line(machine)
        if reply in (Reply.DONE, Reply.WRONG):
            self._cost(1 - SERVED_PART, self._served, key, out, reply)
        else:
            self._over(key, out, ENDINGS[reply], False)

    def _served(self, key: tuple[str, int], out: _Out, reply: Reply) -> None:
        if self.out.get(key) is out:
            if self.recorder is not None:  # told first: the row is made with the answer
                self.recorder.ended(key[0], out.go.machine, Ending.OK, self.world.now - out.begun)
            self._answer(key[0], Kind.DONE, 0, reply is Reply.WRONG)
            self._over(key, out, Ending.OK, False)

    def _over(self, key: tuple[str, int], out: _Out, ending: Ending, closes: bool) -> None:
        if self.out.get(key) is not out:
            return
        del self.out[key]
        if closes and out.state[0]:
            self.close_line(out.go.machine)
            self.world.call_off(out.go)
        self.world.ledger.outcome(key[0], ending)
        if self.recorder is not None and ending is not Ending.OK:
            self.recorder.ended(key[0], out.go.machine, ending, self.world.now - out.begun)
        self.hear(Ended(*key, out.go.machine, ending, self.world.now - out.begun))

    def _late(self, key: tuple[str, int], out: _Out) -> None:
        if self.alive:
            self._over(key, out, Ending.TIMEOUT if out.state[0] else Ending.CONNECT_FAILED, True)

    def _stop(self, query: str, number: int) -> None:
        key = query, number
        if out := self.out.get(key):
            self._over(key, out, Ending.CANCELLED if out.state[0] else Ending.CONNECT_FAILED, True)


class World:
    """The day as it is played. ``play`` goes to its end; ``Outcome`` says what came of it."""

    def __init__(
        self,
        day: Day,
        replay: Iterator[Wish] | None = None,
        watch: Callable[[float], None] | None = None,
        recorder: "Callable[[VirtualFront], Recorder | None] | None" = None,
    ) -> None:
        self.recorder = recorder  # makes what notes a front's queries, for captures
        self.day, self.settings = day, settings_of(day)
        self.chance = Chance(day.seed)
        self.now = BEGIN
        self._heap: list[tuple[int, int, Callable, tuple]] = []
        self._made = 0
        self.events = 0
        self.site = Site(day, self, BEGIN)
        self._owner: dict[tuple[str, int], VirtualFront] = {}
        self.ledger, self.measure = Ledger(day), Measure(day)
        self._wishes = replay if replay is not None else wishes(day, self.chance)
        self._works: dict[str, tuple[float, int]] = {}
        self._tries: dict[str, _Try] = {}
        self.fronts: list[VirtualFront] = []
        self._starts: Counter[str] = Counter()
        self._dead_since: dict[str, int] = {}
        self._watch = watch
        self._end = BEGIN + micros(day.length_s)
        self._counted: dict[
            tuple[int, int], list[int]
        ] = {}  # the platform's count of hand-offs: n, lost, time

    # Events.

    def at(self, when: int, call: Callable, *words: Any) -> None:
        self._made += 1
        heapq.heappush(self._heap, (when, self._made, call, words))

    def play(self) -> "World":
        self._set_up()
        longest = max(row.patience_ms for row in self.day.profile) / 1000
        last = self._end + micros(longest * (self.day.clients.retries + 1) + 5)
        heap, told = self._heap, 0
        while heap and heap[0][0] <= last:
            when, _, call, words = heapq.heappop(heap)
            if when > self.now:
                self.now = when
                if self._watch is not None and when >= told:
                    self._watch((when - BEGIN) / SECOND)
                    told = when + SECOND
            self.events += 1
            call(*words)
            if when > self._end and not self._tries:
                break
        self.ledger.close(self.now)
        return self

    def _set_up(self) -> None:
        self.site.start()
        for number in range(self.day.front.count):
            self._start_front(f"n{number}")
        self._next_wish()
        self.at(BEGIN + micros(self.day.platform.push_s), self._push)
        if self.day.platform.tally_s:
            self.at(BEGIN + micros(self.day.platform.tally_s), self._tally)

    # Clients.

    def _next_wish(self) -> None:
        wish = next(self._wishes, None)
        if wish is not None:
            self.at(BEGIN + wish.at, self._wish, wish)

    def _wish(self, wish: Wish) -> None:
        self._next_wish()
        self._ask(Journey(wish, self.day.profile[wish.profile]))

    def _ask(self, journey: Journey) -> None:
        wish, clients = journey.wish, self.day.clients
        journey.tries += 1
        query = f"{wish.number:x}.{journey.tries}"
        front = self._entry(wish.number, journey.tries)
        patience = journey.patience(clients, self.chance)
        if journey.leaves(clients, self.chance) is not None:
            patience = min(patience, journey.leaves(clients, self.chance))
        self._tries[query] = _Try(journey, front, query)
        due = self.now + patience
        self.at(due, self._gave_up, query)
        asked = Asked(
            query,
            wish.profile,
            None,
            due - WAY_BACK,
            wish.hint,
            journey.tries > 1 and clients.marks,
        )
        self._works[query] = wish.work, due
        self.at(self.now + self._way(query), front.arrive, asked)

    def _entry(self, number: int, tries: int) -> VirtualFront:
        """Spread over the fronts that are not known to be dead."""
        known = [
            one
            for one in self.fronts
            if one.alive or self.now < self._dead_since.get(one.name, 0) + NOTICED
        ]
        some = known or self.fronts
        return some[int(self.chance.at("entry", number, tries) * len(some))]

    def waits(self, query: str) -> bool:
        return query in self._tries

    def _gave_up(self, query: str) -> None:
        if query in self._tries:
            self.ledger.gave_up(self.now, query)
            self._tries[query].front.left(query)
            self._over(query, Kind.GAVE_UP, 0, False)

    def lost(self, query: str) -> None:
        self._over(query, Kind.LOST, 0, False)

    def answer(self, front: VirtualFront, query: str, kind: Kind, wait: int, wrong: bool) -> None:
        self.at(self.now + self._way(query), self._answered, front, query, kind, wait, wrong)

    def _answered(
        self, front: VirtualFront, query: str, kind: Kind, wait: int, wrong: bool
    ) -> None:
        self.ledger.answered(self.now, query, kind.value)
        self._over(query, kind, wait, wrong)

    def _over(self, query: str, kind: Kind, wait: int, wrong: bool) -> None:
        made = self._tries.pop(query, None)
        if made is None:
            return
        self._works.pop(query, None)
        journey = made.journey
        again = journey.over(self.now - BEGIN, kind, wait, self.day.clients, self.chance)
        journey.wrong = wrong
        if again is not None:
            self.at(BEGIN + again, self._ask, journey)
        else:
            self.measure.count(journey)

    def _way(self, *words: object) -> int:
        net = self.day.network
        return round(net.one_way_us * (1 + net.jitter * self.chance.at("way", *words)))

    # Fronts and their news.

    def _start_front(self, name: str) -> None:
        self._starts[name] += 1
        front = VirtualFront(self, name, self._starts[name])
        place = next((at for at, one in enumerate(self.fronts) if one.name == name), None)
        if place is None:
            self.fronts.append(front)
        else:
            self.fronts[place] = front
        self._dead_since.pop(name, None)
        rows = list(self.site.roster.entries.values())
        for row in rows:
            self.ledger.told_list(self.now, name, row.machine, row.readiness)
        front.hear(Listed(Listing.CACHED, [_entry(row) for row in rows]))
        front.hear(Listed(Listing.FULL, [_entry(row) for row in rows]))
        self._tell_stage(front, False, Ending.OK)

    def _tell_stage(self, front: VirtualFront, answers: bool, ending: Ending) -> None:
        standing = self.site.release.now
        if front.alive:
            if ending is Ending.OK:
                self.ledger.told_stage(
                    self.now,
                    front.name,
                    standing.build,
                    standing.stage,
                    standing.phase,
                    standing.cap,
                )
            front.hear(
                News(
                    standing.build,
                    standing.stage,
                    standing.phase,
                    standing.cap,
                    self.now - standing.since,
                    answers,
                    ending,
                )
            )

    def _push(self) -> None:
        for front in self.fronts:
            if self.now >= self.site.mute["platform-silent"]:
                self._tell_stage(front, False, Ending.OK)
        self.at(self.now + micros(self.day.platform.push_s), self._push)

    def vote(self, front: VirtualFront, step: Vote) -> None:
        self.at(self.now + self._way("vote", front.name, self.now), self._voted, front, step)

    def _voted(self, front: VirtualFront, step: Vote) -> None:
        if self.now < self.site.mute["platform-silent"]:
            self.at(
                self.now + round(VOTE_WAIT_MS * 1000), self._tell_stage, front, True, Ending.TIMEOUT
            )
            return
        ending = self.site.vote(front.name, step.build, step.stage, step.verdict)
        self.at(
            self.now + self._way("voted", front.name, self.now),
            self._tell_stage,
            front,
            True,
            ending,
        )

    def _tally(self) -> None:
        for (build, profile), (counted, lost, took) in self._counted.items():
            for front in self.fronts:
                front.hear(
                    Tally(build, profile, counted, lost, took // max(1, counted - lost), SECOND)
                )
        self._counted.clear()
        self.at(self.now + micros(self.day.platform.tally_s), self._tally)

    # What the site tells.

    def listed(self, row: Row) -> None:
        """A change of the list, on its way to each front."""
        if self.now == BEGIN:
            return
        notice = micros(self.day.listing.notice_ms / 1000)
        for front in self.fronts:
            wait = round(
                self.day.listing.spread_ms
                * 1000
                * self.chance.at("spread", front.name, row.machine, self.now)
            )
            self.at(
                max(self.now + notice, self.site.mute["list-silent"]) + wait,
                self._hear_list,
                front,
                row,
            )

    def _hear_list(self, front: VirtualFront, row: Row) -> None:
        if front.alive:
            self.ledger.told_list(self.now, front.name, row.machine, row.readiness)
            if row.readiness is not Readiness.READY:
                for _ in front.lines.pop(row.machine, []):
                    front.close_line(row.machine)
            front.hear(Listed(Listing.CHANGES, [_entry(row)]))

    def moved(self) -> None:
        known = len(self.site.release.history)
        for front in self.fronts:
            wait = round(
                self.day.platform.told_ms * 1000 * (0.5 + self.chance.at("told", front.name, known))
            )
            at = max(self.now + wait, self.site.mute["platform-silent"])
            self.at(at, self._tell_stage, front, False, Ending.OK)

    def go_away(self, machines: list[Machine]) -> None:
        """Lines to machines are HTTP/1.1 in virtual time: there is nothing to say goodbye on."""

    def gone(self, machine: Machine) -> None:
        for front in self.fronts:
            front.used -= len(front.lines.pop(machine.id, []))

    def strike_fronts(self, trouble: Trouble, until: int) -> None:
        ranked = sorted(
            self.fronts,
            key=lambda one: self.chance.at("struck", trouble.kind, trouble.at_s, one.name),
        )
        for front in ranked[: max(1, round(trouble.part * len(ranked)))]:
            if trouble.kind == "front-stall":
                front.stalled_until = until
            elif front.alive:
                self._kill(front, until)

    def _kill(self, front: VirtualFront, back_at: int) -> None:
        front.alive = False
        self._dead_since[front.name] = self.now
        self.ledger.dropped(self.now, front.name)
        for name, idle in front.lines.items():
            if known := self.site.machines.get(name):
                known.connections = max(0, known.connections - len(idle))
        for key, out in front.out.items():
            if out.state[0]:
                self.call_off(out.go)
            self._owner.pop(key, None)
        for query in [query for query, made in self._tries.items() if made.front is front]:
            self.at(self.now + self._way(query), self.lost, query)
        self.at(back_at, self._start_front, front.name)

    # Hand-offs.

    def connect(self, front: VirtualFront, key: tuple[str, int], out: _Out) -> None:
        self.at(self.now + self._way("connect", *key), self._connecting, front, key, out)

    def _connecting(self, front: VirtualFront, key: tuple[str, int], out: _Out) -> None:
        machine = self.site.machines.get(out.go.machine)
        up = machine is not None and machine.connect(self.now)
        if machine is not None:
            self.site.wake(machine)
        wait = self._way("connected", *key)
        full = machine is not None and not machine.plight.down and not up
        self.at(
            self.now + (round(CONNECT_MS * 1000) if full else wait), front.connected, key, out, up
        )

    def send(self, front: VirtualFront, go: Go) -> None:
        machine = self.site.machines[go.machine]
        self.ledger.sent(self.now, go.query, go.machine, machine.build)
        key = go.query, go.number
        self._owner[key] = front
        work, due = self._works.get(go.query, (1.0, self.now))
        job = Job(key, 0, work, due)
        self.at(self.now + self._way("send", *key), self._offer, machine, job, front)

    def _offer(self, machine: Machine, job: Job, front: VirtualFront) -> None:
        self.site.advance(machine)
        made = self._tries.get(job.key[0])
        if made is not None:
            job = job._replace(profile=made.journey.wish.profile)
        fell = machine.fallen
        done = machine.offer(self.now, job)
        if machine.fallen and not fell:
            self.ledger.fell(self.now, machine.id)
        if done is not None:
            self.settled(machine, [done])
        else:
            self.site.wake(machine)

    def call_off(self, go: Go) -> None:
        self.at(self.now + self._way("stop", go.query, go.number), self._called_off, go)

    def _called_off(self, go: Go) -> None:
        machine = self.site.machines.get(go.machine)
        if machine is not None:
            self.site.advance(machine)
            stopped = machine.stop(self.now, (go.query, go.number))
            if stopped is not None and stopped.ran:
                self.ledger.ran(self.now, go.query, go.machine)
            self._owner.pop((go.query, go.number), None)
            self.site.wake(machine)

    def settled(self, machine: Machine, done: list[Done]) -> None:
        terms = self.day.platform
        for one in done:
            key = one.job.key
            if one.ran:
                self.ledger.ran(self.now, key[0], machine.id)
            front = self._owner.pop(key, None)
            out = front.out.get(key) if front is not None else None
            took = self.now - out.begun if out is not None else round(one.job.work)
            if (
                one.reply is Reply.WRONG
                and front is not None
                and self.chance.at("complaint", *key) < terms.complaint_share
            ):
                self.at(
                    self.now + COMPLAINT_AGE,
                    front.hear,
                    Complaint(machine.id, one.job.profile, COMPLAINT_AGE),
                )
            if terms.tally_s and self.chance.at("tally", *key) < terms.tally_share:
                bad = one.reply not in (Reply.DONE, Reply.WRONG)
                row = self._counted.setdefault((machine.build, one.job.profile), [0, 0, 0])
                row[0], row[1], row[2] = row[0] + 1, row[1] + bad, row[2] + (0 if bad else took)
            if front is not None and one.reply is not Reply.SILENT:
                self.at(
                    self.now + self._way("reply", *key), front.replied, key, machine.id, one.reply
                )

    # What came of it.

    def outcome(self) -> dict[str, Any]:
        work = sum(one.work_done for one in self.site.machines.values()) / SECOND
        return {
            "day": self.day.name,
            "seed": self.day.seed,
            "body": "virtual",
            **self.measure.figures(),
            "series": self.measure.series(),
            "stages": [
                [
                    round((at - BEGIN) / SECOND, 3),
                    one.build,
                    one.stage,
                    one.phase.name.lower(),
                    round(one.cap, 4),
                ]
                for at, one in self.site.release.history
            ],
            "audit": {
                "breaches": len(self.ledger.breaches),
                "by_rule": {str(rule): n for rule, n in by_rule(self.ledger.breaches).items()},
                "first": [
                    [
                        one.rule,
                        one.what,
                        one.query,
                        one.machine,
                        round((one.at - BEGIN) / SECOND, 3),
                    ]
                    for one in self.ledger.breaches[:20]
                ],
                "counts": dict(sorted(self.ledger.counts.items())),
            },
            "machines": {
                name: {
                    "build": one.build,
                    "group": one.group.name,
                    "begun": one.begun,
                    "work_s": round(one.work_done / SECOND, 3),
                    "fallen": one.fallen,
                }
                for name, one in self.site.machines.items()
            },
            "fronts": {
                one.name: {
                    "opened": one.opened,
                    "descriptors": one.peak,
                    "busy_s": round(one.busy / SECOND, 3),
                }
                for one in self.fronts
            },
            "work_s": round(work, 3),
            "events": self.events,
        }


def _entry(row: Row) -> Entry:
    return Entry(row.machine, row.build, 0, 0, row.readiness, 1.0, row.born)


def capture_day(day: Day, path: str) -> dict[str, Any]:
    """Plays a day and writes the capture of its first front, as the front on sockets writes it."""
    profiles = tuple(
        {
            "name": row.name,
            "aim_ms": row.aim_ms,
            "patience_ms": row.patience_ms,
            "late_value": row.late_value,
            "repeat": row.repeat,
        }
        for row in day.profile
    )
    with open(path, "wb") as file:
        made: list[Recorder] = []

        def recorder(front: VirtualFront) -> Recorder | None:
            if front.name != "n0" or made:
                return None
            made.append(
                Recorder(lambda: front.world.now, Header("n0", BEGIN, profiles), file.write)
            )
            file.write(file_head() + made[0].begin())
            return made[0]

        outcome = World(day, recorder=recorder).play().outcome()
        made[0].flush()
    return outcome


def play(
    day: Day, watch: Callable[[float], None] | None = None, replay: Iterator[Wish] | None = None
) -> dict[str, Any]:
    return World(day, replay, watch).play().outcome()

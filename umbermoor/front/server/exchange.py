"""Executes the decision module's steps on the network and reports their outcomes to it."""

import logging
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from umbermoor.front.facade import (
    Abandoned,
    Asked,
    Complaint,
    Connected,
    DecisionModule,
    Denied,
    Ended,
    Go,
    Heard,
    Held,
    Left,
    Listed,
    Note,
    Probe,
    Probed,
    Step,
    Stop,
    Tell,
    Vote,
    Watch,
)
from umbermoor.front.interface import NEVER_RAN, Ending, Entry, Listing, News, Readiness
from umbermoor.front.server import discovery as lists
from umbermoor.front.server.clients import Answer, Query
from umbermoor.front.server.connections import SECOND
from umbermoor.front.server.machines import Machines
from umbermoor.front.server.outcomes import Outcome, ending
from umbermoor.front.server.platform import Platform
from umbermoor.http1.reader import Response
from umbermoor.logs import note, note_failure

log = logging.getLogger(__name__)

LOST_EVERY = SECOND  # minimum time between two log lines about the same machine


class _Held(NamedTuple):
    """A query that has not been answered yet."""

    query: Query
    answer: "Deferred[Answer]"


class Keeper(Protocol):
    """Decides what the front may do in its lifecycle state; see lifecycle/drain_keeper.py."""

    votes: bool


class Witness(Protocol):
    """Receives every query, hand-off and outcome, e.g. for captures and metrics."""

    def listed(self, whole: bool, entries: list[Entry]) -> None: ...
    def asked(self, asked: Asked) -> None: ...
    def handed(self, query: str, machine: str) -> None: ...
    def ended(self, query: str, machine: str, ending: Ending, took: int) -> None: ...
    def closed(self, query: str, status: int) -> None: ...


class Exchange:
    def __init__(
        self,
        reactor,
        clock: Callable[[], int],
        desk: DecisionModule,
        machines: Machines,
        load_fields: tuple[str, ...],
    ) -> None:
        self._reactor, self._clock, self._desk, self._machines = reactor, clock, desk, machines
        self._load_fields = load_fields
        self.platform: Platform | None = None
        self.witness: Witness | None = None  # notified of queries and their outcomes, if set
        self.watch: Callable[[], None] = lambda: None
        self.keeper: Keeper | None = None
        self.held: dict[str, _Held] = {}
        self.counts: Counter[str] = Counter()  # since the last "counts" line in the log
        self._giving_up = ""
        self._ran: set[str] = set()  # pending queries with an ended hand-off that may have run
        self._out: dict[tuple[str, int], Deferred] = {}  # hand-offs in flight, by query and number
        self._steps: deque[Step] = deque()
        self._following = False
        self._timer = None
        self._timer_at = 0
        self._stage: tuple | None = None
        self._lost: dict[str, int] = {}  # by machine, when its last loss was logged
        self._do: dict[type, Callable] = {
            Go: self._go,
            Stop: self._stop,
            Denied: self._denied,
            Abandoned: self._abandoned,
            Vote: self._vote,
            Watch: lambda _: self.watch(),
            Probe: self._probe,
            Held: lambda _: None,
            Tell: lambda _: None,  # the interface documents no way for fronts to reach each other
            Note: lambda step: note(log, step.text),
        }

    # Queries from clients.

    def ask(self, query: Query) -> "Deferred[Answer]":
        id = query.asked.query
        answer: Deferred[Answer] = Deferred(lambda _: self._left(id))
        if id in self.held:
            answer.callback(Answer(409))
            return answer
        self.held[id] = _Held(query, answer)
        self.counts["asked"] += 1
        if self.witness is not None:
            self.witness.asked(query.asked)
        try:
            fate = self._desk.pick(query.asked)
        except Exception:
            log.exception("fault in a query")
            self._give_up(id)
        else:
            self._follow([fate])
        return answer

    def _left(self, id: str) -> None:
        if self.held.pop(id, None):
            if self.witness is not None:
                self.witness.closed(id, 0)
            self.report(Left(id))

    def give_up_all(self) -> None:
        """Answer all pending queries at once and cancel their hand-offs.

        The answer is 503 only where a retry is harmless: for a GET, or if no hand-off may have run.
        Otherwise it is 502.
        """
        for id in list(self.held):
            held, self._giving_up = self.held.pop(id), id
            self.report(Left(id))  # the decision module makes no more hand-offs for it
            for key in [key for key in self._out if key[0] == id]:
                self._out[key].cancel()
            harmless = held.query.request.method == "GET" or id not in self._ran
            self._ran.discard(id)
            self._giving_up = ""
            if self.witness is not None:
                self.witness.closed(id, 503 if harmless else 502)
            held.answer.callback(
                Answer(503, headers={"Retry-After": "1"}) if harmless else Answer(502)
            )

    def forget(self) -> None:
        self._desk.forget()

    def remember(self) -> tuple:
        return self._desk.remember()

    def recall(self, memory, machines) -> None:
        self._desk.recall(memory.took, memory.work, memory.carried, memory.usual, machines)

    @property
    def stage(self) -> tuple | None:
        """Build, stage, phase and cap of the platform's latest message."""
        return self._stage

    def _give_up(self, id: str) -> None:
        """Answer 500 after an internal fault and cancel the query's hand-offs."""
        self._answer(id, Answer(500))
        for key in [key for key in self._out if key[0] == id]:
            self._out[key].cancel()

    # Reports from other sources.

    def report(self, heard: Heard) -> None:
        self._follow(self._desk.report(heard))

    def listed(self, kind: Listing, news: lists.News) -> None:
        whole = kind is not Listing.CHANGES
        if self.witness is not None:
            self.witness.listed(whole, news.entries)
        self._machines.listed(
            whole,
            {
                entry.machine: (news.addresses[entry.machine], entry.readiness is Readiness.READY)
                if entry.readiness and entry.machine in news.addresses
                else None
                for entry in news.entries
            },
            news.speaks,
        )
        if news.entries or whole:
            note(
                log,
                "list",
                kind=kind.name.lower(),
                version=news.version,
                entries=" ".join(
                    f"{one.machine}:{one.build}:{one.readiness.name.lower()}"
                    for one in news.entries
                ),
            )
        self.report(Listed(kind, news.entries))

    def told(self, news: Heard) -> None:
        """Report a message that the platform sent unasked."""
        if isinstance(news, News):
            self._note_stage(news)
        elif isinstance(news, Complaint):
            note(
                log,
                "complaint",
                machine=news.machine,
                profile=news.profile,
                age_ms=news.age // 1000,
            )
        self.report(news)

    def _note_stage(self, news: News) -> None:
        stage = news.build, news.stage, news.phase, news.cap
        if news.ending is Ending.OK and stage != self._stage:
            self._stage = stage
            note(
                log,
                "stage",
                build=news.build,
                stage=news.stage,
                phase=news.phase.name.lower(),
                cap=news.cap,
            )

    # Execution of the decision module's steps.

    def _follow(self, steps: list[Step]) -> None:
        self._steps.extend(steps)
        if self._following:
            return
        self._following = True
        try:
            while self._steps:
                step = self._steps.popleft()
                try:
                    self._do[type(step)](step)
                except Exception:  # a fault must not stop the steps of other queries
                    log.exception("fault in a step")
                    self._give_up(getattr(step, "query", ""))
        finally:
            self._following = False
            self._arm()

    def _arm(self) -> None:
        at = self._desk.next_tick
        if self._timer is not None and self._timer.active():
            if self._timer_at == at:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._reactor.callLater(max(0, at - self._clock()) / SECOND, self.tick)

    def tick(self) -> None:
        try:
            self._follow(self._desk.tick())
        except Exception:
            log.exception("fault in a tick")
            self._timer = self._reactor.callLater(0.1, self.tick)
            self._timer_at = 0

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _go(self, step: Go) -> None:
        held = self.held.get(step.query)
        if held is None:  # its client has disconnected
            self.report(Ended(step.query, step.number, step.machine, Ending.MOOT, 0))
            return
        request, sent, key = held.query.request, self._clock(), (step.query, step.number)
        headers = {
            "X-Txn": step.query,
            "X-Lane": request.headers["x-lane"],
            "X-Remaining": f"{max(0, step.limit) / SECOND:.3f}",
        }
        outcome = self._machines.hand_off(
            step.machine,
            request.method,
            request.target,
            headers,
            request.body,
            step.limit,
            lambda: bool(self._desk.report(Connected(step))),
        )
        self._out[key] = outcome
        self.counts["handed"] += 1
        if self.witness is not None:
            self.witness.handed(step.query, step.machine)
        outcome.addCallback(self._ended, step, sent).addErrback(self._faulted, step.query)

    def _ended(self, outcome: Outcome, step: Go, sent: int) -> None:
        self._out.pop((step.query, step.number), None)
        how = ending(outcome)
        self.counts[how.name.lower()] += 1
        if self.witness is not None:
            self.witness.ended(step.query, step.machine, how, self._clock() - sent)
        if how is not Ending.OK and how not in NEVER_RAN:
            self._ran.add(step.query)
        if how is Ending.OK and isinstance(outcome, Response):
            self._answer(step.query, Answer(200, outcome.body))
        elif how in (Ending.CONNECT_FAILED, Ending.RESET):
            self._note_loss(step.machine, how)
        self.report(Ended(step.query, step.number, step.machine, how, self._clock() - sent))
        if step.query not in self.held and step.query != self._giving_up:
            self._ran.discard(step.query)

    def _note_loss(self, machine: str, how: Ending) -> None:
        if self._clock() > self._lost.get(machine, 0) + LOST_EVERY:
            # drop old entries, or every machine that ever existed would stay recorded
            since = self._clock() - LOST_EVERY
            self._lost = {one: at for one, at in self._lost.items() if at > since} | {
                machine: self._clock()
            }
            note(log, "machine lost", logging.WARNING, machine=machine, ending=how.name.lower())

    def _faulted(self, failure, id: str) -> None:
        note_failure(log, "fault in a hand-off", failure)
        self._give_up(id)

    def _stop(self, step: Stop) -> None:
        if outcome := self._out.get((step.query, step.number)):
            outcome.cancel()

    def _denied(self, step: Denied) -> None:
        headers = {"Retry-After": f"{step.wait / SECOND:.3f}"} if step.wait else {}
        self._answer(step.query, Answer(503, headers=headers))

    def _abandoned(self, step: Abandoned) -> None:
        self._answer(step.query, Answer(502))

    def _answer(self, id: str, answer: Answer) -> None:
        if held := self.held.pop(id, None):
            self.counts[str(answer.status)] += 1
            if self.witness is not None:
                self.witness.closed(id, answer.status)
            held.answer.callback(answer)

    def _vote(self, step: Vote) -> None:
        if self.keeper is not None and not self.keeper.votes:
            return  # the decision module asks again after its vote timeout
        self.counts["votes"] += 1
        note(log, "vote", build=step.build, stage=step.stage, verdict=step.verdict.name.lower())
        self.platform.vote(step).addCallback(self._voted).addErrback(
            lambda failure: note_failure(log, "fault in a vote", failure)
        )

    def _voted(self, news: News) -> None:
        if news.ending is not Ending.OK:
            note(log, "vote not counted", ending=news.ending.name.lower())
        self._note_stage(news)
        self.report(news)

    def _probe(self, step: Probe) -> None:
        self._machines.probe(step.machine, bool(self._load_fields)).addCallback(
            self._probed, step.machine
        )

    def _probed(self, outcome: Outcome, machine: str) -> None:
        load = None
        if isinstance(outcome, Response):
            text = outcome.headers.get("x-pressure") or outcome.body.decode("latin-1")
            pairs = dict(part.strip().partition("=")[::2] for part in text.split(","))
            try:
                load = [float(pairs[name]) for name in self._load_fields]
            except (KeyError, ValueError):
                load = None
        self.report(Probed(machine, ending(outcome), load))

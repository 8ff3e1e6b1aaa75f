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
    FrontEvent,
    Go,
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

LOSS_LOG_INTERVAL = SECOND  # minimum time between two log lines about the same machine


class _PendingQuery(NamedTuple):
    """A query that has not been answered yet."""

    query: Query
    answer: "Deferred[Answer]"


class Keeper(Protocol):
    """Decides what the front may do in its lifecycle state; see lifecycle/drain_keeper.py."""

    votes: bool


class Observer(Protocol):
    """Receives every query, hand-off and outcome, e.g. for captures and metrics."""

    def listed(self, whole: bool, entries: list[Entry]) -> None: ...
    def asked(self, asked: Asked) -> None: ...
    def handed(self, query: str, machine: str) -> None: ...
    def ended(self, query: str, machine: str, ending: Ending, took: int) -> None: ...
    def closed(self, query: str, status: int) -> None: ...


class Exchange:
    """Holds the pending queries and the hand-offs in flight."""

    def __init__(
        self,
        reactor,
        clock: Callable[[], int],
        decision_module: DecisionModule,
        machines: Machines,
        load_fields: tuple[str, ...],
    ) -> None:
        self._reactor, self._clock, self._decision_module, self._machines = (
            reactor,
            clock,
            decision_module,
            machines,
        )
        self._load_fields = load_fields
        self.platform: Platform | None = None
        self.observer: Observer | None = None  # notified of queries and their outcomes, if set
        self.start_watch: Callable[[], None] = lambda: None
        self.keeper: Keeper | None = None
        self.pending: dict[str, _PendingQuery] = {}
        self.counts: Counter[str] = Counter()  # since the last "counts" line in the log
        self._giving_up = ""
        # pending queries with an ended hand-off that may have run
        self._may_have_run: set[str] = set()
        # hand-offs in flight, by query and number
        self._in_flight: dict[tuple[str, int], Deferred] = {}
        self._steps: deque[Step] = deque()
        self._executing = False
        self._timer = None
        self._timer_at = 0
        self._stage: tuple | None = None
        self._loss_logged_at: dict[str, int] = {}  # by machine, when its last loss was logged
        self._handlers: dict[type, Callable] = {
            Go: self._hand_off,
            Stop: self._stop,
            Denied: self._denied,
            Abandoned: self._abandoned,
            Vote: self._vote,
            Watch: lambda _: self.start_watch(),
            Probe: self._probe,
            Held: lambda _: None,
            Tell: lambda _: None,  # the interface documents no way for fronts to reach each other
            Note: lambda step: note(log, step.text),
        }

    # Queries from clients.

    def ask(self, query: Query) -> "Deferred[Answer]":
        id = query.asked.query
        answer: Deferred[Answer] = Deferred(lambda _: self._client_left(id))
        if id in self.pending:
            answer.callback(Answer(409))
            return answer
        self.pending[id] = _PendingQuery(query, answer)
        self.counts["asked"] += 1
        if self.observer is not None:
            self.observer.asked(query.asked)
        try:
            step = self._decision_module.pick(query.asked)
        except Exception:
            log.exception("fault in a query")
            self._give_up(id)
        else:
            self._execute([step])
        return answer

    def _client_left(self, id: str) -> None:
        if self.pending.pop(id, None):
            if self.observer is not None:
                self.observer.closed(id, 0)
            self.report(Left(id))

    def give_up_all(self) -> None:
        """Answer all pending queries at once and cancel their hand-offs.

        The answer is 503 only where a retry is harmless: for a GET, or if no hand-off may have run.
        Otherwise it is 502.
        """
        for id in list(self.pending):
            waiting, self._giving_up = self.pending.pop(id), id
            self.report(Left(id))  # the decision module makes no more hand-offs for it
            for key in [key for key in self._in_flight if key[0] == id]:
                self._in_flight[key].cancel()
            harmless = waiting.query.request.method == "GET" or id not in self._may_have_run
            self._may_have_run.discard(id)
            self._giving_up = ""
            if self.observer is not None:
                self.observer.closed(id, 503 if harmless else 502)
            waiting.answer.callback(
                Answer(503, headers={"Retry-After": "1"}) if harmless else Answer(502)
            )

    def forget(self) -> None:
        self._decision_module.forget()

    def remember(self) -> tuple:
        return self._decision_module.remember()

    def recall(self, memory, machines) -> None:
        self._decision_module.recall(
            memory.took, memory.work, memory.carried, memory.usual, machines
        )

    @property
    def stage(self) -> tuple | None:
        """Build, stage, phase and cap of the platform's latest message."""
        return self._stage

    def _give_up(self, id: str) -> None:
        """Answer 500 after an internal fault and cancel the query's hand-offs."""
        self._answer(id, Answer(500))
        for key in [key for key in self._in_flight if key[0] == id]:
            self._in_flight[key].cancel()

    # Reports from other sources.

    def report(self, event: FrontEvent) -> None:
        self._execute(self._decision_module.report(event))

    def listed(self, kind: Listing, news: lists.News) -> None:
        whole = kind is not Listing.CHANGES
        if self.observer is not None:
            self.observer.listed(whole, news.entries)
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

    def platform_news(self, news: FrontEvent) -> None:
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

    def _execute(self, steps: list[Step]) -> None:
        self._steps.extend(steps)
        if self._executing:
            return
        self._executing = True
        try:
            while self._steps:
                step = self._steps.popleft()
                try:
                    self._handlers[type(step)](step)
                except Exception:  # a fault must not stop the steps of other queries
                    log.exception("fault in a step")
                    self._give_up(getattr(step, "query", ""))
        finally:
            self._executing = False
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        at = self._decision_module.next_tick
        if self._timer is not None and self._timer.active():
            if self._timer_at == at:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._reactor.callLater(max(0, at - self._clock()) / SECOND, self.tick)

    def tick(self) -> None:
        try:
            self._execute(self._decision_module.tick())
        except Exception:
            log.exception("fault in a tick")
            self._timer = self._reactor.callLater(0.1, self.tick)
            self._timer_at = 0

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _hand_off(self, step: Go) -> None:
        waiting = self.pending.get(step.query)
        if waiting is None:  # its client has disconnected
            self.report(Ended(step.query, step.number, step.machine, Ending.MOOT, 0))
            return
        request, sent, key = waiting.query.request, self._clock(), (step.query, step.number)
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
            lambda: bool(self._decision_module.report(Connected(step))),
        )
        self._in_flight[key] = outcome
        self.counts["handed"] += 1
        if self.observer is not None:
            self.observer.handed(step.query, step.machine)
        outcome.addCallback(self._ended, step, sent).addErrback(self._faulted, step.query)

    def _ended(self, outcome: Outcome, step: Go, sent: int) -> None:
        self._in_flight.pop((step.query, step.number), None)
        how_ended = ending(outcome)
        self.counts[how_ended.name.lower()] += 1
        if self.observer is not None:
            self.observer.ended(step.query, step.machine, how_ended, self._clock() - sent)
        if how_ended is not Ending.OK and how_ended not in NEVER_RAN:
            self._may_have_run.add(step.query)
        if how_ended is Ending.OK and isinstance(outcome, Response):
            self._answer(step.query, Answer(200, outcome.body))
        elif how_ended in (Ending.CONNECT_FAILED, Ending.RESET):
            self._note_loss(step.machine, how_ended)
        self.report(Ended(step.query, step.number, step.machine, how_ended, self._clock() - sent))
        if step.query not in self.pending and step.query != self._giving_up:
            self._may_have_run.discard(step.query)

    def _note_loss(self, machine: str, how_ended: Ending) -> None:
        if self._clock() > self._loss_logged_at.get(machine, 0) + LOSS_LOG_INTERVAL:
            # drop old entries, or every machine that ever existed would stay recorded
            since = self._clock() - LOSS_LOG_INTERVAL
            self._loss_logged_at = {
                one: at for one, at in self._loss_logged_at.items() if at > since
            } | {machine: self._clock()}
            note(
                log, "machine lost", logging.WARNING, machine=machine, ending=how_ended.name.lower()
            )

    def _faulted(self, failure, id: str) -> None:
        note_failure(log, "fault in a hand-off", failure)
        self._give_up(id)

    def _stop(self, step: Stop) -> None:
        if outcome := self._in_flight.get((step.query, step.number)):
            outcome.cancel()

    def _denied(self, step: Denied) -> None:
        headers = {"Retry-After": f"{step.wait / SECOND:.3f}"} if step.wait else {}
        self._answer(step.query, Answer(503, headers=headers))

    def _abandoned(self, step: Abandoned) -> None:
        self._answer(step.query, Answer(502))

    def _answer(self, id: str, answer: Answer) -> None:
        if waiting := self.pending.pop(id, None):
            self.counts[str(answer.status)] += 1
            if self.observer is not None:
                self.observer.closed(id, answer.status)
            waiting.answer.callback(answer)

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

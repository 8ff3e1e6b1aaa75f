"""One front in virtual time, around its real decision module.

Like `umbermoor.front.server` on sockets, it carries out the steps of the decision module and
reports their results to it. Connections and descriptors are only counted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

from umbermoor.front.facade import (
    Abandoned,
    Asked,
    Connected,
    DecisionModule,
    Denied,
    Ended,
    Go,
    Left,
    Listed,
    Stop,
    Vote,
)
from umbermoor.front.interface import Ending, Listing
from umbermoor.front.start_settings import read_start_settings
from umbermoor.lab.day import SECOND
from umbermoor.lab.demand import AttemptResult
from umbermoor.lab.machine import Reply
from umbermoor.lab.terms import IDLE_MS, front_seed

if TYPE_CHECKING:
    from umbermoor.lab.fleet import Fleet

RESERVED_DESCRIPTORS = 32  # descriptors for uses other than connections
CLIENT_DESCRIPTORS_DIVISOR = 3  # client connections get one in so many of the descriptors
MIN_CLIENT_CONNECTIONS = 8
ARRIVAL_COST_SHARE = 0.6  # share of a query's CPU cost on its arrival; the rest is on its answer
IDLE_REUSE_US = IDLE_MS * 1000 - 2 * SECOND  # a connection idle for longer is about to be closed
ENDINGS = {
    Reply.DONE: Ending.OK,
    Reply.WRONG: Ending.OK,
    Reply.ERROR: Ending.ERROR,
    Reply.REJECTED: Ending.FULL,
    Reply.RESET: Ending.RESET,
    Reply.MALFORMED: Ending.RESET,
    Reply.REFUSED: Ending.CONNECT_FAILED,
}
KEEPS_CONNECTION = (Reply.DONE, Reply.WRONG, Reply.ERROR, Reply.REJECTED)

AttemptKey = tuple[str, int]  # query and number of the attempt


class Attempt(NamedTuple):
    """An attempt at a query, from the decision to send it to a machine."""

    go: Go
    began_at: int
    is_sent: list[bool]  # one element, set once its last byte is written


class VirtualFront:
    """A front of the fleet.

    Args:
        fleet: the run it belongs to.
        name: "n" and the front's number.
        start: number of starts of this front so far; its seed depends on it.
    """

    def __init__(self, fleet: Fleet, name: str, start: int) -> None:
        self.fleet, self.name = fleet, name
        settings = {**fleet.settings, "me": int(name[1:])}
        self.decisions = DecisionModule(
            read_start_settings(front_seed(fleet.day, name, start), settings), lambda: fleet.now
        )
        self.is_alive = True
        self.stalled_until = 0
        self.open_queries: set[str] = set()
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.idle_connections: dict[str, list[int]] = {}  # by machine: since when each is idle
        self.machine_connections = 0
        self.client_connections = 0
        self.connections_opened = 0
        self.peak_descriptors = 0
        self.busy_us = 0  # CPU time used
        self._core_free_at = 0
        self._next_tick_at = 0  # 0: no tick is scheduled
        self.recorder = fleet.make_recorder(self) if fleet.make_recorder is not None else None

    # Queries.

    def receive(self, asked: Asked) -> None:
        """Receive a query from a client."""
        if not self.is_alive:
            self.fleet.clients.lost(asked.query)
            return
        now = self.fleet.now
        self.fleet.ledger.taken(now, self.name, asked.query, asked.profile, asked.due)
        self._spend(ARRIVAL_COST_SHARE, self._admit, asked)

    def client_left(self, query: str) -> None:
        """Handle a client that no longer waits for a query."""
        if self.is_alive and query in self.open_queries:
            self.open_queries.discard(query)
            if self.recorder is not None:
                self.recorder.closed(query, "left")
            self._carry_out(self.decisions.report(Left(query)))

    def _spend(self, share: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function after the core has spent this share of a query's CPU cost."""
        cost, now = round(self.fleet.day.front.cpu_us * share), self.fleet.now
        if not cost and now >= self.stalled_until:
            call(*arguments)
            return
        begin = max(self._core_free_at, now, self.stalled_until)
        self._core_free_at = begin + cost
        self.busy_us += cost
        self.fleet.at(self._core_free_at, self._call_if_alive, call, *arguments)

    def _call_if_alive(self, call: Callable[..., None], *arguments: Any) -> None:
        if self.is_alive:
            call(*arguments)

    def _admit(self, asked: Asked) -> None:
        query = asked.query
        if query not in self.fleet.clients.pending:
            return
        if len(self.open_queries) >= self._max_client_connections:
            self.fleet.clients.answer(self, query, AttemptResult.DENIED, SECOND, False)
            return
        self.open_queries.add(query)
        if self.recorder is not None:
            self.recorder.asked(query, asked.profile, asked.due, asked.cost, asked.repeated)
        self.client_connections = max(self.client_connections, len(self.open_queries))
        self._carry_out([self.decisions.pick(asked)])

    def _answer(self, query: str, result: AttemptResult, wait: int, wrong: bool = False) -> None:
        if query in self.open_queries:
            self.open_queries.discard(query)
            if self.recorder is not None:
                self.recorder.closed(query, result.value)
            self.fleet.clients.answer(self, query, result, wait, wrong)

    # The decision module.

    def report(self, event: Any) -> None:
        """Report an event to the decision module, or do so later if the front is stalled."""
        if not self.is_alive:
            return
        if self.fleet.now < self.stalled_until:
            self.fleet.at(self.stalled_until, self.report, event)
            return
        if self.recorder is not None and isinstance(event, Listed):
            self.recorder.listed(event.kind is not Listing.CHANGES, list(event.entries))
        self._carry_out(self.decisions.report(event))

    def _tick(self, scheduled_at: int) -> None:
        if self.is_alive and scheduled_at == self._next_tick_at:
            self._next_tick_at = 0
            if self.fleet.now < self.stalled_until:
                self._schedule_tick(self.stalled_until)
            else:
                self._carry_out(self.decisions.tick())

    def _schedule_tick(self, at: int) -> None:
        if not self._next_tick_at or at < self._next_tick_at:
            self._next_tick_at = at
            self.fleet.at(at, self._tick, at)

    def _carry_out(self, steps: Iterable[Any]) -> None:
        for step in list(steps):
            match step:
                case Go():
                    self._start_attempt(step)
                case Denied(query, wait):
                    self._answer(query, AttemptResult.DENIED, wait)
                case Abandoned(query):
                    self._answer(query, AttemptResult.ABANDONED, 0)
                case Stop(query, number):
                    self._cancel((query, number))
                case Vote():
                    self.fleet.control_plane.vote(self, step)
        self._schedule_tick(max(self.fleet.now + 1, self.decisions.next_tick))

    # Connections to machines.

    @property
    def _max_connections(self) -> int:
        return self.fleet.day.front.descriptors - RESERVED_DESCRIPTORS

    @property
    def _max_client_connections(self) -> int:
        return max(MIN_CLIENT_CONNECTIONS, self._max_connections // CLIENT_DESCRIPTORS_DIVISOR)

    def _has_descriptor(self) -> bool:
        """Whether a connection may be opened, after closing an idle one if none is left."""
        clients = min(self.client_connections, self._max_client_connections)
        if self.machine_connections + clients < self._max_connections:
            return True
        return self._close_longest_idle()

    def _close_longest_idle(self) -> bool:
        machine = min(
            (name for name, idle in self.idle_connections.items() if idle),
            key=lambda name: self.idle_connections[name][0],
            default=None,
        )
        if machine is None:
            return False
        self.idle_connections[machine].pop(0)
        self.close_connection(machine)
        return True

    def close_connection(self, name: str) -> None:
        """Count a connection to a machine as closed; the caller removes it from the idle ones."""
        self.machine_connections -= 1
        if machine := self.fleet.backend.machines.get(name):
            machine.connections = max(0, machine.connections - 1)

    def _keep_connection(self, machine: str) -> None:
        self.idle_connections.setdefault(machine, []).append(self.fleet.now)

    # Attempts.

    def _start_attempt(self, go: Go) -> None:
        now, key = self.fleet.now, (go.query, go.number)
        if go.query not in self.open_queries:
            event = Ended(go.query, go.number, go.machine, Ending.MOOT, 0)
            self.fleet.at(now, self.report, event)
            return
        self.attempts[key] = attempt = Attempt(go, now, [False])
        if self.recorder is not None:
            self.recorder.handed(go.query, go.machine)
        self.fleet.at(now + max(0, go.limit), self._time_out, key, attempt)
        idle = self.idle_connections.get(go.machine)
        while idle:
            if now - idle.pop() < IDLE_REUSE_US:
                self._send(key, attempt)
                return
            self.close_connection(go.machine)
        if not self._has_descriptor():
            self.fleet.at(now, self._end_attempt, key, attempt, Ending.CONNECT_FAILED, False)
            return
        self.machine_connections += 1
        self.peak_descriptors = max(
            self.peak_descriptors, self.machine_connections + self.client_connections
        )
        self.fleet.network.connect(self, key, attempt)

    def connected(self, key: AttemptKey, attempt: Attempt, is_up: bool) -> None:
        """Handle a connection that was established or refused."""
        if not self.is_alive:
            return
        if not is_up:
            self.machine_connections -= 1
            self._end_attempt(key, attempt, Ending.CONNECT_FAILED, False)
            return
        self.connections_opened += 1
        if self.attempts.get(key) is not attempt:  # cancelled in the meantime
            self._keep_connection(attempt.go.machine)
        elif self.decisions.report(Connected(attempt.go)):
            self._send(key, attempt)
        else:
            self._keep_connection(attempt.go.machine)
            self._end_attempt(key, attempt, Ending.MOOT, False)

    def _send(self, key: AttemptKey, attempt: Attempt) -> None:
        attempt.is_sent[0] = True
        self.fleet.network.send(self, attempt.go)

    def replied(self, key: AttemptKey, machine: str, reply: Reply) -> None:
        """Handle a machine's reply."""
        if not self.is_alive:
            return
        attempt = self.attempts.get(key)
        if attempt is None:  # ended before: its connection was closed then
            return
        if reply in KEEPS_CONNECTION:
            self._keep_connection(machine)
        else:
            self.close_connection(machine)
        if reply in (Reply.DONE, Reply.WRONG):
            self._spend(1 - ARRIVAL_COST_SHARE, self._forward_reply, key, attempt, reply)
        else:
            self._end_attempt(key, attempt, ENDINGS[reply], False)

    def _forward_reply(self, key: AttemptKey, attempt: Attempt, reply: Reply) -> None:
        if self.attempts.get(key) is not attempt:
            return
        if self.recorder is not None:  # before the answer, which completes the query's record
            duration = self.fleet.now - attempt.began_at
            self.recorder.ended(key[0], attempt.go.machine, Ending.OK, duration)
        self._answer(key[0], AttemptResult.DONE, 0, reply is Reply.WRONG)
        self._end_attempt(key, attempt, Ending.OK, False)

    def _end_attempt(
        self, key: AttemptKey, attempt: Attempt, ending: Ending, is_aborted: bool
    ) -> None:
        if self.attempts.get(key) is not attempt:
            return
        del self.attempts[key]
        machine, duration = attempt.go.machine, self.fleet.now - attempt.began_at
        if is_aborted and attempt.is_sent[0]:
            self.close_connection(machine)
            self.fleet.network.cancel(attempt.go)
        self.fleet.ledger.outcome(key[0], ending)
        if self.recorder is not None and ending is not Ending.OK:
            self.recorder.ended(key[0], machine, ending, duration)
        self.report(Ended(*key, machine, ending, duration))

    def _time_out(self, key: AttemptKey, attempt: Attempt) -> None:
        if self.is_alive:
            ending = Ending.TIMEOUT if attempt.is_sent[0] else Ending.CONNECT_FAILED
            self._end_attempt(key, attempt, ending, True)

    def _cancel(self, key: AttemptKey) -> None:
        if attempt := self.attempts.get(key):
            ending = Ending.CANCELLED if attempt.is_sent[0] else Ending.CONNECT_FAILED
            self._end_attempt(key, attempt, ending, True)

"""The clients of a virtual fleet: an open loop of first queries, each with its retries."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from umbermoor.front.facade import Asked
from umbermoor.lab.day import SECOND
from umbermoor.lab.demand import Arrival, AttemptResult, Journey
from umbermoor.lab.virtual.clock import START

if TYPE_CHECKING:
    from umbermoor.lab.fleet import Fleet
    from umbermoor.lab.virtual.front import VirtualFront

RETURN_TRIP_US = 2_000  # a front's deadline is earlier by this, for the way of its answer
FAILOVER_US = SECOND  # time until clients avoid a front that is down


class PendingQuery(NamedTuple):
    """A query whose client waits for an answer."""

    journey: Journey
    front: VirtualFront
    work: float  # microseconds of one worker at speed 1
    due: int


class VirtualClients:
    """All clients together.

    Args:
        fleet: the run they belong to.
        arrivals: the first queries, in order of their time.
    """

    def __init__(self, fleet: Fleet, arrivals: Iterator[Arrival]) -> None:
        self.pending: dict[str, PendingQuery] = {}
        self._fleet, self._arrivals = fleet, arrivals

    def schedule_next(self) -> None:
        """Schedule the next first query, if there is one."""
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self._fleet.at(START + arrival.at, self._arrive, arrival)

    def _arrive(self, arrival: Arrival) -> None:
        self.schedule_next()
        self._send_attempt(Journey(arrival, self._fleet.day.profile[arrival.profile]))

    def _send_attempt(self, journey: Journey) -> None:
        fleet, arrival, clients = self._fleet, journey.arrival, self._fleet.day.clients
        journey.tries += 1
        query = f"{arrival.number:x}.{journey.tries}"
        front = self._choose_front(arrival.number, journey.tries)
        patience = journey.patience(clients, fleet.chance)
        leaves_after = journey.leaves_after(clients, fleet.chance)
        if leaves_after is not None:
            patience = min(patience, leaves_after)
        due = fleet.now + patience
        self.pending[query] = PendingQuery(journey, front, arrival.work, due)
        fleet.at(due, self._give_up, query)
        is_marked = journey.tries > 1 and clients.marks
        front_due = due - RETURN_TRIP_US
        asked = Asked(query, arrival.profile, None, front_due, arrival.hint, is_marked)
        fleet.at(fleet.now + fleet.delay(query), front.receive, asked)

    def _choose_front(self, number: int, tries: int) -> VirtualFront:
        """Choose a front that is not known to be down, or any if all are."""
        fleet = self._fleet
        usable = [
            front
            for front in fleet.fronts
            if front.is_alive or fleet.now < fleet.down_since.get(front.name, 0) + FAILOVER_US
        ]
        choices = usable or fleet.fronts
        return choices[int(fleet.chance.at("entry", number, tries) * len(choices))]

    def _give_up(self, query: str) -> None:
        if query in self.pending:
            self._fleet.ledger.gave_up(self._fleet.now, query)
            self.pending[query].front.client_left(query)
            self._end(query, AttemptResult.GAVE_UP, 0, False)

    def lost(self, query: str) -> None:
        """End an attempt whose connection was lost without an answer."""
        self._end(query, AttemptResult.LOST, 0, False)

    def answer(
        self, front: VirtualFront, query: str, result: AttemptResult, wait: int, wrong: bool
    ) -> None:
        """Send a front's answer to the client.

        Args:
            front: the front that answers.
            query: the attempt that is answered.
            result: how the attempt ended.
            wait: the front's advice on when to retry, in microseconds; 0: none.
            wrong: whether the answer has wrong content.
        """
        arrives_at = self._fleet.now + self._fleet.delay(query)
        self._fleet.at(arrives_at, self._answered, query, result, wait, wrong)

    def _answered(self, query: str, result: AttemptResult, wait: int, wrong: bool) -> None:
        self._fleet.ledger.answered(self._fleet.now, query, result.value)
        self._end(query, result, wait, wrong)

    def _end(self, query: str, result: AttemptResult, wait: int, wrong: bool) -> None:
        pending = self.pending.pop(query, None)
        if pending is None:
            return
        fleet, journey = self._fleet, pending.journey
        retry_at = journey.attempt_ended(
            fleet.now - START, result, wait, fleet.day.clients, fleet.chance
        )
        journey.is_wrong = wrong
        if retry_at is not None:
            fleet.at(START + retry_at, self._send_attempt, journey)
        else:
            fleet.measure.count(journey)

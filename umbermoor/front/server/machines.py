"""Kept-alive connections to machines: last in, first out, with one hand-off at a time on each."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from umbermoor.front.server.connections import SECOND, Attempt, Line
from umbermoor.front.server.descriptor_budget import Budget
from umbermoor.front.server.outcomes import Cause, Failed, Outcome, Progress
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Response
from umbermoor.http1.writer import write_request

IDLE_SAFE = 2 * SECOND  # connections are not reused this close to the machine's own idle timeout
PROBE_LIMIT = SECOND // 4


@dataclass(slots=True)
class _Place:
    address: tuple[str, int]
    ready: bool = True
    idle: list[Line] = field(default_factory=list)


class Carrier(Protocol):
    """An alternative to one connection for each hand-off; see streams.py."""

    def listed(
        self, machine: str, address: tuple[str, int] | None, ready: bool, speaks: str
    ) -> None: ...
    def speaks(self, machine: str) -> bool: ...
    def hand_off(
        self,
        machine: str,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        limit: int,
        may_go: Callable[[], bool],
        plain: "Callable[[], Deferred[Outcome]]",
    ) -> "Deferred[Outcome]": ...
    def stop(self) -> None: ...


class Machines:
    def __init__(
        self,
        reactor,
        clock: Callable[[], int],
        buffers: Buffers,
        budget: Budget,
        connect_within: int,
        idle_close: int,
        host: str,
    ) -> None:
        self._reactor, self._clock, self._buffers, self._budget, self._host = (
            reactor,
            clock,
            buffers,
            budget,
            host,
        )
        self._connect_within, self._idle_most = (
            connect_within,
            max(idle_close // 2, idle_close - IDLE_SAFE),
        )
        self._places: dict[str, _Place] = {}
        self.carrier: Carrier | None = None
        self.counts: Counter[str] = Counter()

    def listed(
        self,
        whole: bool,
        places: Mapping[str, tuple[tuple[str, int], bool] | None],
        speaks: Mapping[str, str] = {},
    ) -> None:
        """Apply a list: the address and readiness of each machine, or None for a removed one."""
        gone = [id for id in self._places if id not in places] if whole else []
        if self.carrier is not None:
            for id in gone:
                self.carrier.listed(id, None, False, "")
            for id, given in places.items():
                self.carrier.listed(id, *(given or (None, False)), speaks.get(id, ""))
        for id in [*gone, *(id for id, place in places.items() if place is None)]:
            if place := self._places.pop(id, None):
                self._hang_up(place)
        for id, given in places.items():
            if given is None:
                continue
            address, ready = given
            place = self._places.get(id)
            if place and (place.address != address or not ready):
                self._hang_up(place)
            # connections to the old address must not be kept for the new one
            if place is None or place.address != address:
                self._places[id] = place = _Place(address)
            place.ready = ready

    def hand_off(
        self,
        machine: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        limit: int,
        may_go: Callable[[], bool],
    ) -> "Deferred[Outcome]":
        """Send a request to a machine.

        Cancelling the result stops the request; the outcome is still delivered.
        """
        place = self._places.get(machine)
        if self.carrier is not None and place is not None and self.carrier.speaks(machine):
            until = self._clock() + limit
            return self.carrier.hand_off(
                machine,
                place.address,
                method,
                target,
                headers,
                body,
                limit,
                may_go,
                lambda: self._plain(
                    machine, method, target, headers, body, until - self._clock(), may_go
                ),
            )
        return self._plain(machine, method, target, headers, body, limit, may_go)

    def _plain(
        self,
        machine: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        limit: int,
        may_go: Callable[[], bool],
    ) -> "Deferred[Outcome]":
        """Send the request over HTTP/1.1, on a connection of its own."""
        place = self._places.get(machine)
        attempt = Attempt(
            self._reactor, write_request(method, target, self._host, headers, body), limit
        )
        line = place and self._kept(place)
        if line:
            attempt.on(line)
        elif place and self._budget.take():
            self.counts["opened"] += 1
            attempt.connect(
                place.address,
                self._connect_within,
                lambda: Line(self._buffers),
                may_go,
                self._budget.give,
            )
        else:
            attempt.refuse()
        return attempt.outcome.addCallback(self._over, machine, place, attempt)

    def probe(self, machine: str, reports: bool) -> "Deferred[Outcome]":
        return self.hand_off(
            machine,
            "GET",
            "/metrics/load" if reports else "/alive",
            {},
            b"",
            PROBE_LIMIT,
            lambda: True,
        )

    def close(self) -> None:
        for place in self._places.values():
            self._hang_up(place)
        if self.carrier is not None:
            self.carrier.stop()

    def _over(
        self, outcome: Outcome, machine: str, place: _Place | None, attempt: Attempt
    ) -> Outcome:
        line = attempt.line
        if line and line.open:
            unused = outcome == Failed(Progress.UNCONNECTED, Cause.WITHDRAWN)
            known = place is self._places.get(machine) and place.ready
            if known and line.clean and (unused or isinstance(outcome, Response)):
                line.idle_since = self._clock()
                place.idle.append(line)
            else:
                line.close()
        return outcome

    def _kept(self, place: _Place) -> Line | None:
        while place.idle:
            line = place.idle.pop()
            if line.clean and self._clock() - line.idle_since < self._idle_most:
                return line
            line.close()
        return None

    def _hang_up(self, place: _Place) -> None:
        for line in place.idle:
            line.close()
        place.idle.clear()

    def close_one(self) -> bool:
        """Close the connection that has been idle longest, ignoring those already closed.

        Returns:
            Whether there was one.
        """
        for place in self._places.values():
            place.idle = [line for line in place.idle if line.open]
        places = [place for place in self._places.values() if place.idle]
        if not places:
            return False
        min(places, key=lambda place: place.idle[0].idle_since).idle.pop(0).close()
        return True

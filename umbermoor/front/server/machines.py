"""Kept-alive connections to machines: last in, first out, with one hand-off at a time on each."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from umbermoor.front.server.connections import SECOND, Attempt, Connection
from umbermoor.front.server.descriptor_budget import Budget
from umbermoor.front.server.outcomes import Cause, Failed, Outcome, Progress
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Response
from umbermoor.http1.writer import write_request

IDLE_MARGIN = 2 * SECOND  # connections are not reused this close to the machine's own idle timeout
PROBE_TIMEOUT = SECOND // 4


@dataclass(slots=True)
class _Endpoint:
    address: tuple[str, int]
    ready: bool = True
    idle: list[Connection] = field(default_factory=list)


class StreamTransport(Protocol):
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
        hand_off_http1: "Callable[[], Deferred[Outcome]]",
    ) -> "Deferred[Outcome]": ...
    def stop(self) -> None: ...


class Machines:
    """Sends hand-offs and probes to machines."""

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
        self._connect_within, self._max_idle = (
            connect_within,
            max(idle_close // 2, idle_close - IDLE_MARGIN),
        )
        self._endpoints: dict[str, _Endpoint] = {}
        self.stream_transport: StreamTransport | None = None
        self.counts: Counter[str] = Counter()

    def listed(
        self,
        whole: bool,
        endpoints: Mapping[str, tuple[tuple[str, int], bool] | None],
        speaks: Mapping[str, str] = {},
    ) -> None:
        """Apply a list: the address and readiness of each machine, or None for a removed one."""
        gone = [id for id in self._endpoints if id not in endpoints] if whole else []
        if self.stream_transport is not None:
            for id in gone:
                self.stream_transport.listed(id, None, False, "")
            for id, given in endpoints.items():
                self.stream_transport.listed(id, *(given or (None, False)), speaks.get(id, ""))
        for id in [*gone, *(id for id, endpoint in endpoints.items() if endpoint is None)]:
            if endpoint := self._endpoints.pop(id, None):
                self._close_idle(endpoint)
        for id, given in endpoints.items():
            if given is None:
                continue
            address, ready = given
            endpoint = self._endpoints.get(id)
            if endpoint and (endpoint.address != address or not ready):
                self._close_idle(endpoint)
            # connections to the old address must not be kept for the new one
            if endpoint is None or endpoint.address != address:
                self._endpoints[id] = endpoint = _Endpoint(address)
            endpoint.ready = ready

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
        endpoint = self._endpoints.get(machine)
        if (
            self.stream_transport is not None
            and endpoint is not None
            and self.stream_transport.speaks(machine)
        ):
            until = self._clock() + limit
            return self.stream_transport.hand_off(
                machine,
                endpoint.address,
                method,
                target,
                headers,
                body,
                limit,
                may_go,
                lambda: self._hand_off_http1(
                    machine, method, target, headers, body, until - self._clock(), may_go
                ),
            )
        return self._hand_off_http1(machine, method, target, headers, body, limit, may_go)

    def _hand_off_http1(
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
        endpoint = self._endpoints.get(machine)
        attempt = Attempt(
            self._reactor, write_request(method, target, self._host, headers, body), limit
        )
        connection = endpoint and self._reuse_idle(endpoint)
        if connection:
            attempt.send_on(connection)
        elif endpoint and self._budget.acquire():
            self.counts["opened"] += 1
            attempt.connect(
                endpoint.address,
                self._connect_within,
                lambda: Connection(self._buffers),
                may_go,
                self._budget.release,
            )
        else:
            attempt.refuse()
        return attempt.outcome.addCallback(self._ended, machine, endpoint, attempt)

    def probe(self, machine: str, reports: bool) -> "Deferred[Outcome]":
        return self.hand_off(
            machine,
            "GET",
            "/metrics/load" if reports else "/alive",
            {},
            b"",
            PROBE_TIMEOUT,
            lambda: True,
        )

    def close(self) -> None:
        for endpoint in self._endpoints.values():
            self._close_idle(endpoint)
        if self.stream_transport is not None:
            self.stream_transport.stop()

    def _ended(
        self, outcome: Outcome, machine: str, endpoint: _Endpoint | None, attempt: Attempt
    ) -> Outcome:
        connection = attempt.connection
        if connection and connection.open:
            unused = outcome == Failed(Progress.UNCONNECTED, Cause.WITHDRAWN)
            current = endpoint is self._endpoints.get(machine) and endpoint.ready
            if current and connection.reusable and (unused or isinstance(outcome, Response)):
                connection.idle_since = self._clock()
                endpoint.idle.append(connection)
            else:
                connection.close()
        return outcome

    def _reuse_idle(self, endpoint: _Endpoint) -> Connection | None:
        while endpoint.idle:
            connection = endpoint.idle.pop()
            if connection.reusable and self._clock() - connection.idle_since < self._max_idle:
                return connection
            connection.close()
        return None

    def _close_idle(self, endpoint: _Endpoint) -> None:
        for connection in endpoint.idle:
            connection.close()
        endpoint.idle.clear()

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, ignoring those already closed.

        Returns:
            Whether there was one.
        """
        for endpoint in self._endpoints.values():
            endpoint.idle = [connection for connection in endpoint.idle if connection.open]
        endpoints = [endpoint for endpoint in self._endpoints.values() if endpoint.idle]
        if not endpoints:
            return False
        min(endpoints, key=lambda endpoint: endpoint.idle[0].idle_since).idle.pop(0).close()
        return True

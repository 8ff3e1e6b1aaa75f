"""Schedule of the DNS queries for a service's SRV records, and the state of the lookup; no I/O.

The host sends what `next_query` returns, over UDP from a separate port for each query, and reports
to `handle_answer` and `handle_failure`. Query ids come from the given random source. Times are
microseconds. Sources: RFC 1035 section 7, RFC 5452, RFC 7766.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.backoff import Backoff
from umbermoor.front.membership import dns_messages
from umbermoor.front.membership.dns_messages import (
    Failed,
    ServiceAbsent,
    ServiceFound,
    Target,
    Truncated,
    Unrelated,
)

SECOND = 1_000_000
MIN_WAIT, MAX_WAIT = SECOND // 5, 2 * SECOND  # timeout of one query
WAIT_FACTOR = 6.0  # timeout as a multiple of the server's average response time
SMOOTHING = 0.3  # weight of the newest response time in the average
REFRESH_SHARE, REFRESH_SPREAD = (
    0.7,
    0.2,
)  # of the TTL after which it is queried again, and random spread so that fronts don't synchronize
FIRST_RETRY_DELAY, MAX_RETRY_DELAY = (
    SECOND // 2,
    8 * SECOND,
)  # delay after a round in which no server answered; doubles
MAX_HOSTS = 64  # hosts whose addresses are queried separately


class DnsQuery(NamedTuple):
    """A query for the host to send to `server`."""

    server: str
    id: int
    data: bytes
    tcp: bool


@dataclass(slots=True)
class Server:
    """State of one DNS server."""

    address: str
    usual_time: float = 0.0  # average response time; 0: none yet
    failures: int = 0  # in sequence

    def wait(self) -> int:
        """Return the timeout of a query to this server."""
        return (
            round(min(MAX_WAIT, max(MIN_WAIT, WAIT_FACTOR * self.usual_time)))
            if self.usual_time
            else MAX_WAIT // 2
        )


@dataclass(slots=True)
class _Outstanding:
    """A query that was sent and not answered yet."""

    query: DnsQuery
    server: Server
    sent: int
    name: str
    kind: str


@dataclass(slots=True)
class SrvResolver:
    """Resolves the SRV records of one service, and the addresses of their hosts, again and again.

    Attributes:
        name: service name.
        servers: DNS servers; those with fewer failures and shorter response times go first.
        random: returns numbers from 0 to 1.
        next_round: when the next lookup starts.
        outstanding: the query that waits for an answer.
        addresses: addresses of hosts that were queried separately.
        why: reason of the last failure.
    """

    name: str
    servers: list[Server]
    random: Callable[[], float]
    next_round: int = 0
    outstanding: _Outstanding | None = None
    addresses: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _partial: ServiceFound | None = None  # result whose host addresses are still being queried
    _hosts: list[str] = field(default_factory=list)
    _tried: list[Server] = field(default_factory=list)
    _backoff: Backoff = field(init=False)
    why: str = ""

    def __post_init__(self) -> None:
        self._backoff = Backoff(FIRST_RETRY_DELAY, MAX_RETRY_DELAY, self.random)

    def next_query(self, now: int) -> DnsQuery | None:
        """Return the query to send now, if any; also registers a timeout of the last one."""
        if self.outstanding is not None:
            if now < self.outstanding.sent + self.outstanding.server.wait():
                return None
            self._record_failure(self.outstanding.server, "no answer")
        if now < self.next_round:
            return None
        return self._query_server(now, False)

    def next_at(self) -> int:
        """Return when `next_query` should be called next."""
        return (
            self.next_round
            if self.outstanding is None
            else self.outstanding.sent + self.outstanding.server.wait()
        )

    def handle_answer(
        self, now: int, query: DnsQuery, data: bytes
    ) -> ServiceFound | ServiceAbsent | Failed | DnsQuery | None:
        """Process a response to `query`.

        Returns:
            The result of the lookup, or the query to send next, or None if there is no result yet.
        """
        out = self.outstanding
        if out is None or out.query is not query:
            return None
        read = dns_messages.read(data, out.name, query.id, out.kind)
        if isinstance(read, Unrelated):
            return None
        took = now - out.sent
        out.server.usual_time += (took - out.server.usual_time) * (
            SMOOTHING if out.server.usual_time else 1.0
        )
        if isinstance(read, Truncated):
            return (
                self._failed(now, out.server, "truncated over TCP")
                if query.tcp
                else self._retry_over_tcp(now, out)
            )
        if isinstance(read, Failed):
            return self._failed(now, out.server, read.why)
        out.server.failures = 0
        self.outstanding = None
        return (
            self._handle_address(now, out, read)
            if out.kind == "A"
            else self._handle_service(now, read)
        )

    def handle_failure(self, now: int, query: DnsQuery, why: str) -> Failed | DnsQuery | None:
        """Register that `query` could not be sent or its connection ended without a response."""
        if self.outstanding is None or self.outstanding.query is not query:
            return None
        return self._failed(now, self.outstanding.server, why)

    # Internals.

    def _query_server(self, now: int, tcp: bool) -> DnsQuery | None:
        server = min(
            (one for one in self.servers if one not in self._tried),
            default=None,
            key=lambda one: (one.failures, one.usual_time * (0.8 + 0.4 * self.random())),
        )
        if server is None:
            self._end_round(now)
            return None
        name, kind = (self._hosts[0], "A") if self._hosts else (self.name, "SRV")
        return self._send(now, server, name, kind, tcp)

    def _send(self, now: int, server: Server, name: str, kind: str, tcp: bool) -> DnsQuery:
        id = int(self.random() * 65536)
        query = DnsQuery(server.address, id, dns_messages.question(name, id, kind), tcp)
        self.outstanding = _Outstanding(query, server, now, name, kind)
        return query

    def _retry_over_tcp(self, now: int, out: _Outstanding) -> DnsQuery:
        return self._send(now, out.server, out.name, out.kind, True)

    def _record_failure(self, server: Server, why: str) -> None:
        server.failures += 1
        self._tried.append(server)
        self.outstanding, self.why = None, f"{server.address}: {why}"

    def _failed(self, now: int, server: Server, why: str) -> Failed | DnsQuery | None:
        self._record_failure(server, why)
        query = self._query_server(now, False)
        return query if query is not None else Failed(self.why)

    def _end_round(self, now: int) -> None:
        """End a round in which no server answered, and schedule the next."""
        self._tried.clear()
        self._hosts, self._partial = [], None
        self.next_round = now + round(self._backoff.next_delay())

    def _handle_service(
        self, now: int, read: ServiceFound | ServiceAbsent
    ) -> ServiceFound | ServiceAbsent | DnsQuery:
        self._tried.clear()
        if isinstance(read, ServiceFound) and read.unknown:
            self._partial, self._hosts = read, list(read.unknown[:MAX_HOSTS])
            self.addresses = {}
            return self._query_server(now, False)
        return self._finish(now, read)

    def _handle_address(
        self, now: int, out: _Outstanding, read: ServiceFound | ServiceAbsent
    ) -> ServiceFound | DnsQuery | ServiceAbsent:
        self._tried.clear()
        self._hosts.pop(0)
        self.addresses[out.name] = (
            read.targets[0].addresses if isinstance(read, ServiceFound) else ()
        )
        found = self._partial
        self._partial = found._replace(ttl=max(dns_messages.MIN_TTL, min(found.ttl, read.ttl)))
        if self._hosts:
            return self._query_server(now, False)
        targets = tuple(
            one._replace(addresses=one.addresses or self.addresses.get(one.host, ()))
            for one in self._partial.targets
        )
        done = ServiceFound(
            targets, self._partial.ttl, tuple(one.host for one in targets if not one.addresses)
        )
        self._partial = None
        return self._finish(now, done)

    def _finish(self, now: int, read: ServiceFound | ServiceAbsent) -> ServiceFound | ServiceAbsent:
        self._backoff.reset()
        part = REFRESH_SHARE + REFRESH_SPREAD * self.random()
        self.next_round = now + max(SECOND // 10, round(read.ttl * SECOND * part))
        return read


def srv_endpoints(found: ServiceFound) -> list[tuple[str, tuple[str, int], int]]:
    """Return name, address and weight of each endpoint that the records list.

    Only the records of the first priority count: in RFC 2782 a client uses the others when none of
    these can be reached, and whether they can is what this list is meant to find out.
    """
    if not found.targets:
        return []
    first = min(one.priority for one in found.targets)
    return [
        (f"{one.host}:{one.port}", (address, one.port), one.weight)
        for one in found.targets
        if one.priority == first
        for address in one.addresses[:1]
    ]


__all__ = ["DnsQuery", "SrvResolver", "Server", "Target", "srv_endpoints"]

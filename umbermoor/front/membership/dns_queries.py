"""When to ask which server for a service's records, and what to make of the answers; decisions
without I/O.

A host sends what ``due`` says, over UDP from a port of its own for each question, and tells
``heard`` and ``broke``. Ids and
ports are drawn by chance that is given. Times are microseconds. Source: RFC 1035 section 7, 5452,
7766.
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
MIN_WAIT, MAX_WAIT = SECOND // 5, 2 * SECOND  # for one answer
WAIT_FACTOR = 6.0  # so many usual answer times
SMOOTHING = 0.3
REFRESH_SHARE, REFRESH_SPREAD = (
    0.7,
    0.2,
)  # of a lifetime, after which it is asked again; so many fronts not at once
FIRST_RETRY_DELAY, MAX_RETRY_DELAY = (
    SECOND // 2,
    8 * SECOND,
)  # after a round in which no server answered, doubling
MAX_HOSTS = 64  # whose addresses are asked for by themselves


class DnsQuery(NamedTuple):
    server: str
    id: int
    data: bytes
    tcp: bool


@dataclass(slots=True)
class Server:
    """What is known of one server."""

    address: str
    usual_time: float = 0.0  # its answer time
    failures: int = 0

    def wait(self) -> int:
        return (
            round(min(MAX_WAIT, max(MIN_WAIT, WAIT_FACTOR * self.usual_time)))
            if self.usual_time
            else MAX_WAIT // 2
        )


@dataclass(slots=True)
class _Outstanding:
    query: DnsQuery
    server: Server
    sent: int
    name: str
    kind: str


@dataclass(slots=True)
class SrvResolver:
    name: str
    servers: list[Server]
    random: Callable[[], float]
    next_round: int = 0
    outstanding: _Outstanding | None = None
    addresses: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _partial: ServiceFound | None = None  # whose hosts' addresses are still asked for
    _hosts: list[str] = field(default_factory=list)
    _tried: list[Server] = field(default_factory=list)
    _backoff: Backoff = field(init=False)
    why: str = ""

    def __post_init__(self) -> None:
        self._backoff = Backoff(FIRST_RETRY_DELAY, MAX_RETRY_DELAY, self.random)

    def next_query(self, now: int) -> DnsQuery | None:
        """What is to be sent now."""
        if self.outstanding is not None:
            if now < self.outstanding.sent + self.outstanding.server.wait():
                return None
            self._record_failure(self.outstanding.server, "no answer")
        if now < self.next_round:
            return None
        return self._query_server(now, False)

    def next_at(self) -> int:
        return (
            self.next_round
            if self.outstanding is None
            else self.outstanding.sent + self.outstanding.server.wait()
        )

    def handle_answer(
        self, now: int, query: DnsQuery, data: bytes
    ) -> ServiceFound | ServiceAbsent | Failed | DnsQuery | None:
        """An answer: what it proves, or what to ask at once; None: nothing yet."""
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
        """It could not be sent, or its connection ended without an answer."""
        if self.outstanding is None or self.outstanding.query is not query:
            return None
        return self._failed(now, self.outstanding.server, why)

    # Within.

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
        """No server answered."""
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
    """Name, address and weight of each place that the records name; of priorities only the first
    counts, as in RFC 2782 a
    client asks the others when none of these can be reached, which the list is there to say."""
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

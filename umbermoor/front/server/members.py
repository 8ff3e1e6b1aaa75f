"""Sources of membership: DNS over UDP and TCP, a watched file, and the platform's list.

Their data is combined into one list of machines for the front.
"""

import logging
import os
import time
from collections.abc import Callable
from random import SystemRandom

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

from umbermoor.front.configuration import read_address
from umbermoor.front.interface import Entry, Listing, Readiness
from umbermoor.front.kdl_sheet import Record, SheetError, read_sheet
from umbermoor.front.membership.conclusion import (
    Concluder,
    describe_membership,
    difference,
    entry_of,
)
from umbermoor.front.membership.dns_messages import Failed, ServiceAbsent, ServiceFound
from umbermoor.front.membership.dns_queries import DnsQuery, Server, SrvResolver, srv_endpoints
from umbermoor.front.membership.saved_list import SavedList, load, save
from umbermoor.front.membership.sources import SECOND, SeenMachine, SourceTracker
from umbermoor.front.own_settings import MembersFrom, SrvFrom
from umbermoor.front.sealed_files import UnusableFile
from umbermoor.front.server.discovery import News
from umbermoor.logs import note

log = logging.getLogger(__name__)

LIST_SOURCE = "list"
FILE_CHECK_INTERVAL = 0.5  # seconds between two checks of a file
SAVE_INTERVAL = 2.0
MAX_ANSWER_BYTES = 65_535


class _Datagram(DatagramProtocol):
    """A DNS query over UDP from a port of its own.

    The socket is connected to the server, so datagrams from other addresses are ignored; a random
    port makes spoofed answers harder to guess.
    """

    def __init__(
        self,
        ask: DnsQuery,
        on_result: Callable[[DnsQuery, bytes], None],
        on_failure: Callable[[DnsQuery, str], None],
    ) -> None:
        self._ask, self._on_result, self._failed = ask, on_result, on_failure

    def startProtocol(self) -> None:
        host, _, port = self._ask.server.rpartition(":")
        self.transport.connect(host, int(port))
        self.transport.write(self._ask.data)

    def datagramReceived(self, data: bytes, addr) -> None:
        self._on_result(self._ask, data)

    def connectionRefused(self) -> None:
        self._failed(self._ask, "refused")


class _Stream(Protocol):
    """A DNS query over TCP: two bytes of length, then the message (RFC 7766)."""

    def __init__(
        self,
        ask: DnsQuery,
        on_result: Callable[[DnsQuery, bytes], None],
        on_failure: Callable[[DnsQuery, str], None],
    ) -> None:
        self._ask, self._on_result, self._failed, self._data, self._done = (
            ask,
            on_result,
            on_failure,
            b"",
            False,
        )

    def connectionMade(self) -> None:
        self.transport.write(len(self._ask.data).to_bytes(2) + self._ask.data)

    def dataReceived(self, data: bytes) -> None:
        self._data += data
        if (
            len(self._data) >= 2
            and len(self._data) >= 2 + int.from_bytes(self._data[:2])
            and not self._done
        ):
            self._done = True
            self._on_result(self._ask, self._data[2 : 2 + int.from_bytes(self._data[:2])])
            self.transport.loseConnection()
        elif len(self._data) > MAX_ANSWER_BYTES + 2:
            self.transport.abortConnection()

    def connectionLost(self, reason) -> None:
        if not self._done:
            self._done = True
            self._failed(self._ask, "the connection ended")


class SrvSource:
    """Machines from DNS SRV records; queries the servers when its `Asker` says."""

    def __init__(
        self,
        reactor,
        clock,
        given: SrvFrom,
        uniform,
        on_result: Callable[[str, ServiceFound | ServiceAbsent | Failed], None],
    ) -> None:
        self._reactor, self._clock, self._name, self._on_result = (
            reactor,
            clock,
            given.called,
            on_result,
        )
        self._resolver = SrvResolver(given.name, [Server(one) for one in given.servers], uniform)
        self._port = self._timer = None

    def start(self) -> None:
        self._poll()

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._close()

    def _close(self) -> None:
        if self._port is not None:
            port, self._port = self._port, None
            port.stopListening()

    def _poll(self) -> None:
        previous = self._resolver.outstanding
        ask = self._resolver.next_query(self._clock())
        if previous is not None and self._resolver.outstanding is not previous:
            self._close()
            if self._resolver.outstanding is None:
                self._on_result(self._name, Failed(self._resolver.why))
        if ask is not None:
            self._send(ask)
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        wait = max(0.01, (self._resolver.next_at() - self._clock()) / SECOND)
        self._timer = self._reactor.callLater(wait, self._poll)

    def _send(self, ask: DnsQuery) -> None:
        self._close()
        if ask.tcp:
            factory = Factory()
            factory.noisy = False
            factory.buildProtocol = lambda _: _Stream(ask, self._answered, self._failed)
            host, _, port = ask.server.rpartition(":")
            made: Deferred = TCP4ClientEndpoint(self._reactor, host, int(port), timeout=2).connect(
                factory
            )
            made.addErrback(lambda failure: self._failed(ask, "refused over TCP"))
        else:
            self._port = self._reactor.listenUDP(
                0, _Datagram(ask, self._answered, self._failed), "127.0.0.1", MAX_ANSWER_BYTES
            )

    def _answered(self, ask: DnsQuery, data: bytes) -> None:
        self._handle(self._resolver.handle_answer(self._clock(), ask, data))

    def _failed(self, ask: DnsQuery, why: str) -> None:
        self._handle(self._resolver.handle_failure(self._clock(), ask, why))

    def _handle(self, found) -> None:
        if isinstance(found, DnsQuery):
            self._send(found)
        elif found is not None:
            self._close()
            self._on_result(self._name, found)
        self._arm()


class Machine(Record, frozen=True, kw_only=True):
    PLACES = ("name", "at")
    name: str
    at: str
    build: int | None = None
    draining: bool = False

    def fault(self) -> str | None:
        return None if read_address(self.at) else f"expected host:port, not {self.at!r}"


class Members(Record, frozen=True, kw_only=True):
    machine: tuple[Machine, ...] = ()


def read_members(path: str) -> list[SeenMachine]:
    """Read the machines from a file.

    Raises:
        SheetError: The file cannot be used.
    """
    return [
        SeenMachine(
            one.name,
            read_address(one.at),
            Readiness.DRAINING if one.draining else Readiness.READY,
            one.build,
        )
        for one in read_sheet(path, "members", Members).machine
    ]


class Membership:
    """Combines the membership sources and passes changes on to the exchange."""

    def __init__(
        self, reactor, clock, given: MembersFrom, on_result: Callable[[Listing, News], None]
    ) -> None:
        self._reactor, self._clock, self._given, self._on_result = reactor, clock, given, on_result
        keep = round(given.keep_s * SECOND)
        order = list(given.order) or [
            LIST_SOURCE,
            *(one.called for one in given.srv),
            *(one.called for one in given.file),
        ]
        authoritative = {one.called: one.authoritative for one in (*given.srv, *given.file)} | {
            LIST_SOURCE: True
        }
        self.concluder = Concluder(
            SourceTracker([(name, authoritative[name], keep) for name in order]),
            given.rule,
            given.quorum,
            given.existence,
            given.facts,
        )
        self._members: dict = {}
        self._first = True
        self._saved = None
        self._timers: list = []
        uniform = SystemRandom().random
        self._srv = [SrvSource(reactor, clock, one, uniform, self._srv_told) for one in given.srv]
        self._speaks: dict[str, str] = {}

    def start(self) -> None:
        if self._given.state:
            lasting = load(
                self._given.state, time.time_ns() // 1000, round(self._given.keep_s * SECOND)
            )
            if isinstance(lasting, UnusableFile):
                note(log, "last list not used", logging.WARNING, why=lasting.why)
            elif lasting is not None:
                note(log, "last list used", machines=len(lasting.seen))
                self._on_result(
                    Listing.CACHED,
                    self._news(
                        [
                            Entry(
                                one.name,
                                one.build or 0,
                                one.zone or 0,
                                one.cell or 0,
                                one.readiness,
                                one.weight or 1.0,
                                one.born or 0,
                            )
                            for one in lasting.seen
                        ],
                        {one.name: one.address for one in lasting.seen},
                    ),
                )
            self._repeat(SAVE_INTERVAL, self._save)
        for one in self._srv:
            one.start()
        for one in self._given.file:
            self._repeat(FILE_CHECK_INTERVAL, self._check_file, one.called, one.path, {})
        self._repeat(0.2, self._conclude)

    def stop(self) -> None:
        for one in self._srv:
            one.stop()
        for timer in self._timers:
            if timer[0].active():
                timer[0].cancel()

    def _repeat(self, every: float, call: Callable, *arguments) -> None:
        timer: list = [None]

        def again() -> None:
            timer[0] = self._reactor.callLater(every, again)
            call(*arguments)

        timer[0] = self._reactor.callLater(0, again)
        self._timers.append(timer)

    # Sources.

    def list_told(self, kind: Listing, news: News) -> None:
        seen = [
            SeenMachine(
                one.machine,
                news.addresses.get(one.machine, ("", 0)),
                one.readiness,
                one.build,
                one.born,
                one.zone,
                one.cell,
                one.size,
            )
            for one in news.entries
            if one.machine in news.addresses or not one.readiness
        ]
        self._speaks = {**(self._speaks if kind is Listing.CHANGES else {}), **news.speaks}
        if kind is Listing.CHANGES:
            self.concluder.tracker.report_changes(self._clock(), LIST_SOURCE, seen)
        elif kind is not Listing.FAILED:
            self.concluder.tracker.report_all(self._clock(), LIST_SOURCE, seen)
        self._conclude()

    def _srv_told(self, name: str, found: ServiceFound | ServiceAbsent | Failed) -> None:
        tracker, now = self.concluder.tracker, self._clock()
        if isinstance(found, Failed):
            tracker.report_failure(now, name, found.why)
        else:
            rows = srv_endpoints(found) if isinstance(found, ServiceFound) else []
            tracker.report_all(
                now, name, [SeenMachine(label, address, weight=None) for label, address, _ in rows]
            )
        self._conclude()

    def _check_file(self, name: str, path: str, marks: dict) -> None:
        tracker, now = self.concluder.tracker, self._clock()
        try:
            mark = os.stat(path).st_mtime_ns, os.stat(path).st_size
            if marks.get(path) == mark:
                return
            tracker.report_all(now, name, read_members(path))
            marks[path] = mark
        except (OSError, SheetError) as error:
            tracker.report_failure(now, name, str(error))
        self._conclude()

    # Combined result.

    def _conclude(self) -> None:
        found = self.concluder.conclude(self._clock())
        if found.is_stale or (found.members == self._members and not self._first):
            return
        kind, entries = difference(self._members, found.members)
        if self._first:  # replaces the list that the front started with
            kind, entries = Listing.FULL, [entry_of(one) for one in found.members.values()]
        self._members, self._first = found.members, False
        if entries or kind is Listing.FULL:
            note(log, "members", machines=len(found.members), changes=len(entries))
            self._on_result(
                kind,
                self._news(
                    entries, {name: one.seen.address for name, one in found.members.items()}
                ),
            )

    def _news(self, entries: list[Entry], addresses: dict) -> News:
        return News(
            0,
            False,
            entries,
            {one.machine: addresses[one.machine] for one in entries if one.machine in addresses},
            {
                one.machine: self._speaks[one.machine]
                for one in entries
                if one.machine in self._speaks
            },
        )

    def _save(self) -> None:
        members = self.concluder.last.members
        if members and members is not self._saved and not self.concluder.last.is_stale:
            self._saved = members
            try:
                save(
                    self._given.state,
                    SavedList(time.time_ns() // 1000, tuple(one.seen for one in members.values())),
                )
            except OSError as error:
                note(log, "list not kept", logging.WARNING, why=error.strerror)

    def explain(self, machine: str | None = None) -> list[str]:
        return describe_membership(self._clock(), self.concluder, machine)

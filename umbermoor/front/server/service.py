"""The front's process: creates and connects its parts, starts, reloads and drains it."""

import gc
import logging
import random
import resource
import signal
import time
from collections.abc import Callable

from twisted.internet import reactor
from twisted.internet.error import CannotListenError
from twisted.logger import STDLibLogObserver, globalLogBeginner

from umbermoor.front.configuration import Configuration, ConfigurationError
from umbermoor.front.facade import DecisionModule
from umbermoor.front.interface import Listing, News
from umbermoor.front.list_polling import ListPolling
from umbermoor.front.server.clients import Clients
from umbermoor.front.server.descriptor_budget import Budget
from umbermoor.front.server.discovery import Discovery, read_list
from umbermoor.front.server.exchange import Exchange
from umbermoor.front.server.machines import Machines
from umbermoor.front.server.platform import Platform, read_stage
from umbermoor.http1.buffers import Buffers
from umbermoor.logs import note

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the kernel queues while the front is busy
UP_WITHIN = (
    1.0  # seconds until it is up with its initial data, if discovery and platform have not answered
)
LISTEN_ON = 0.5  # seconds after SIGTERM during which new connections are still accepted
ACCEPT_TURNS = (
    3  # final accept calls, each for what was queued during the one before; the last find nothing
)
READ_ON = 0.1  # seconds to read requests of these last connections
DROP_AFTER = 1.5  # seconds after which incomplete requests are dropped
DRAIN_CHECK = 0.02  # seconds between two checks whether the drain is complete
PAUSES = 0x70  # keeps the random jitter of delays independent of the decision module's choices
COUNT_EVERY = 5.0  # seconds between two "counts" lines in the log


class Clock:
    """Microseconds since 1970 that never go back: system time at the start plus monotonic time."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (self._offset + time.monotonic_ns()) // 1000


class Both:
    """Passes each notification of the exchange to several witnesses."""

    def __init__(self, *witnesses) -> None:
        self._witnesses = witnesses

    def __getattr__(self, name: str):
        def tell(*words) -> None:
            for one in self._witnesses:
                getattr(one, name)(*words)

        return tell


class Service:
    def __init__(self, reactor, station: Configuration, clock: Clock, house=None) -> None:
        self._reactor, self._station = reactor, station
        buffers, budget = self._buffers, self._budget = (
            Buffers(station.memory),
            Budget(station.sockets),
        )
        charter, chance = station.charter, random.Random(station.charter.seed ^ PAUSES).random
        self._machines = Machines(
            reactor,
            clock,
            buffers,
            budget,
            station.connect_within,
            station.idle_close,
            station.service,
        )
        self._exchange = exchange = Exchange(
            reactor, clock, DecisionModule(charter, clock), self._machines, station.load_fields
        )
        self._clients = Clients(
            reactor,
            clock,
            buffers,
            budget,
            station.profiles,
            [row.repeat for row in charter.profiles],
            exchange.ask,
        )
        budget.spare = [
            self._clients.close_stale,
            self._machines.close_one,
            self._clients.close_one,
        ]
        self._platform = exchange.platform = Platform(
            reactor,
            buffers,
            station.platform,
            charter.vote_wait,
            station.profiles,
            self._told,
            chance,
        )
        self._discovery = Discovery(
            reactor,
            buffers,
            station.discovery,
            station.zones,
            self._listed,
            ListPolling(charter.fronts, charter.list_asked, chance),
        )
        exchange.watch = self._discovery.start
        self._machines.counts = self._discovery.counts = self._platform.counts = exchange.counts
        if house is not None and house.http2 is not None:
            from umbermoor.front.server.streams import Streams  # imported only if used, as captures

            streams = self._machines.carrier = Streams(
                reactor,
                clock,
                buffers,
                budget,
                station.connect_within,
                station.service,
                house.http2.machines == "listed",
            )
            budget.spare.insert(1, streams.close_one)
        self._capture = None
        if house is not None and house.capture is not None:
            # imported only if used, to save memory
            from umbermoor.front.server.capture_writer import Capturing

            self._capture = exchange.witness = Capturing(reactor, clock, station, house.capture)
        self._membership = None
        if house is not None and house.members is not None:
            # imported only if used, as captures
            from umbermoor.front.server.members import Membership

            self._membership = Membership(reactor, clock, house.members, self._concluded)
        self._operations = None
        if house is not None and (house.door is not None or house.remember is not None):
            # imported only if used, as captures
            from umbermoor.front.server.operations import Operations

            self._operations = Operations(
                reactor, clock, station, house, buffers, exchange, self._clients, self._machines
            )
            self._operations.members = self._membership
            self._clients.in_hand = lambda: len(exchange.held)
            exchange.witness = (
                self._operations
                if exchange.witness is None
                else Both(exchange.witness, self._operations)
            )
        self._heard: set[str] = set()
        self._port = self._counting = None
        self._drop_at = 0.0
        self.status = 0  # exit status of the process

    def start(self) -> None:
        station, charter = self._station, self._station.charter
        note(
            log,
            "start",
            name=station.name,
            listen="{}:{}".format(*station.listen),
            fronts=charter.fronts,
            sockets=station.sockets,
        )
        if charter.may_tell:
            note(
                log,
                "fronts may send each other messages here, but no page says how: none are sent",
                logging.WARNING,
            )
        known = read_list(station.known, station.zones) if station.known else None
        if station.known and not known:
            note(log, "the list at the start cannot be read", logging.WARNING)
        if known:
            self._exchange.listed(Listing.CACHED, known)
            if charter.list_asked and known.whole:  # the first answer may take long
                self._heard.add("list")
        if self._membership is not None:
            self._membership.start()
        news = read_stage(station.news) if station.news else None
        if station.news and not news:
            note(log, "the platform's news at the start cannot be read", logging.WARNING)
        if news:
            self._exchange.told(news)
        if self._operations is not None:
            self._operations.start()
        self._discovery.start(known.version if known and known.whole else None)
        self._platform.start()
        host, port = station.listen
        try:
            self._port = self._reactor.listenTCP(port, self._clients, BACKLOG, host)
        except CannotListenError as error:
            note(log, "cannot listen", logging.ERROR, why=error.socketError)
            self.status = 1
            self._reactor.stop()
            return
        self._clients.bound(self._port)
        self._clients.accept = lambda on: (
            self._port.startReading if on else self._port.stopReading
        )()
        self._reactor.callLater(UP_WITHIN, self._go_up)
        self._counting = self._reactor.callLater(COUNT_EVERY, self._count)
        self._exchange.tick()

    def _count(self) -> None:
        """Log the nonzero counts since the last such line."""
        counts = self._exchange.counts
        if counts:
            note(log, "counts", **counts)
            counts.clear()
        self._counting = self._reactor.callLater(COUNT_EVERY, self._count)

    def _listed(self, kind, news) -> None:
        if self._membership is not None:
            self._membership.list_told(kind, news)
        else:
            self._concluded(kind, news)

    def _concluded(self, kind, news) -> None:
        self._exchange.listed(kind, news)
        self._hear("list")

    def _told(self, news) -> None:
        self._exchange.told(news)
        if isinstance(news, News):
            self._hear("stage")

    def _hear(self, what: str) -> None:
        if not self._clients.up:
            self._heard.add(what)
            if self._heard >= {"list", "stage"}:
                self._go_up()

    def _go_up(self) -> None:
        if not self._clients.up:
            self._clients.up = True
            if self._operations is not None:
                self._operations.ready()
            note(log, "up", heard=" ".join(sorted(self._heard)))

    def reload(self, read: Callable[[], Configuration]) -> None:
        """Apply the parts of a newly read configuration that may change without a restart.

        An invalid configuration is logged, and the old one stays in force.
        """
        if self._clients.leaving:
            return
        try:
            station = read()
        except ConfigurationError as fault:
            note(log, "configuration not taken, the old one goes on", logging.WARNING, fault=fault)
            return
        old, self._station = self._station, station

        def changed(*names: str) -> list[str]:
            return [name for name in names if getattr(old, name) != getattr(station, name)]

        moved = changed("discovery", "platform", "sockets", "memory")
        kept = changed(
            "name",
            "listen",
            "charter",
            "profiles",
            "zones",
            "connect_within",
            "idle_close",
            "service",
            "load_fields",
        )
        note(
            log, "configuration read again", changed=" ".join(moved), needs_a_restart=" ".join(kept)
        )
        self._budget.resize(station.sockets)
        self._buffers.resize(station.memory)
        if "discovery" in moved:
            self._discovery.move(station.discovery)
        if "platform" in moved:
            self._platform.move(station.platform)

    def drain(self) -> None:
        if not self._clients.leaving:
            note(log, "drain", queries=len(self._exchange.held), clients=len(self._clients.open))
            self._clients.leaving = True
            if self._operations is not None:
                self._operations.leave()
            self._reactor.callLater(LISTEN_ON, self._stop_listening)

    def _stop_listening(self) -> None:
        # Closing the listener resets connections that the kernel has queued, so all of these are
        # accepted and read first.
        for _ in range(ACCEPT_TURNS):
            self._port.doRead()
        self._clients.accept = lambda on: None
        self._port.stopListening()
        self._drop_at = self._reactor.seconds() + DROP_AFTER
        self._reactor.callLater(READ_ON, self._leave)

    def _leave(self) -> None:
        self._clients.close_idle()
        if not self._exchange.held and self._reactor.seconds() >= self._drop_at:
            # incomplete requests, and clients that do not read their answers
            self._clients.drop()
        if self._clients.open:
            self._reactor.callLater(DRAIN_CHECK, self._leave)
            return
        self._counting.cancel()
        note(log, "counts", **self._exchange.counts)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        note(
            log,
            "end",
            peak_kb=usage.ru_maxrss,
            peak_sockets=self._budget.peak,
            cpu_s=f"{usage.ru_utime + usage.ru_stime:.2f}",
        )
        self._discovery.stop()
        self._platform.stop()
        self._exchange.stop()
        self._machines.close()
        if self._capture is not None:
            self._capture.stop()
        if self._operations is not None:
            self._operations.stop()
        if self._membership is not None:
            self._membership.stop()
        self._reactor.callLater(0, self._reactor.stop)


def serve(station: Configuration, read: Callable[[], Configuration], house=None) -> int:
    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    service = Service(reactor, station, Clock(), house)
    reactor.callWhenRunning(service.start)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(service.drain))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(service.reload, read))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(service.drain))
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    return service.status

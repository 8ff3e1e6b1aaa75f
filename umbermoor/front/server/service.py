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
UP_TIMEOUT = (
    1.0  # seconds until it is up with its initial data, if discovery and platform have not answered
)
LISTEN_GRACE = 0.5  # seconds after SIGTERM during which new connections are still accepted
# final accept calls, each for what was queued during the one before; the last find nothing
ACCEPT_TURNS = 3
READ_GRACE = 0.1  # seconds to read requests of these last connections
DROP_AFTER = 1.5  # seconds after which incomplete requests are dropped
DRAIN_CHECK = 0.02  # seconds between two checks whether the drain is complete
# keeps the random jitter of delays independent of the decision module's choices
JITTER_SEED_MASK = 0x70
COUNT_INTERVAL = 5.0  # seconds between two "counts" lines in the log


class Clock:
    """Microseconds since 1970 that never go back: system time at the start plus monotonic time."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (self._offset + time.monotonic_ns()) // 1000


class Observers:
    """Passes each notification of the exchange to several observers."""

    def __init__(self, *observers) -> None:
        self._observers = observers

    def __getattr__(self, name: str):
        def notify(*arguments) -> None:
            for one in self._observers:
                getattr(one, name)(*arguments)

        return notify


class Service:
    """The parts of one front, and their start, reload and drain."""

    def __init__(
        self, reactor, configuration: Configuration, clock: Clock, own_settings=None
    ) -> None:
        self._reactor, self._configuration = reactor, configuration
        buffers, budget = self._buffers, self._budget = (
            Buffers(configuration.memory),
            Budget(configuration.sockets),
        )
        charter, uniform = (
            configuration.charter,
            random.Random(configuration.charter.seed ^ JITTER_SEED_MASK).random,
        )
        self._machines = Machines(
            reactor,
            clock,
            buffers,
            budget,
            configuration.connect_within,
            configuration.idle_close,
            configuration.service,
        )
        self._exchange = exchange = Exchange(
            reactor,
            clock,
            DecisionModule(charter, clock),
            self._machines,
            configuration.load_fields,
        )
        self._clients = Clients(
            reactor,
            clock,
            buffers,
            budget,
            configuration.profiles,
            [row.repeat for row in charter.profiles],
            exchange.ask,
        )
        budget.reclaimers = [
            self._clients.close_stale,
            self._machines.close_longest_idle,
            self._clients.close_longest_idle,
        ]
        self._platform = exchange.platform = Platform(
            reactor,
            buffers,
            configuration.platform,
            charter.vote_wait,
            configuration.profiles,
            self._platform_news,
            uniform,
        )
        self._discovery = Discovery(
            reactor,
            buffers,
            configuration.discovery,
            configuration.zones,
            self._listed,
            ListPolling(charter.fronts, charter.list_asked, uniform),
        )
        exchange.start_watch = self._discovery.start
        self._machines.counts = self._discovery.counts = self._platform.counts = exchange.counts
        if own_settings is not None and own_settings.http2 is not None:
            # imported only if used, to save memory
            from umbermoor.front.server.streams import Streams

            streams = self._machines.stream_transport = Streams(
                reactor,
                clock,
                buffers,
                budget,
                configuration.connect_within,
                configuration.service,
                own_settings.http2.machines == "listed",
            )
            budget.reclaimers.insert(1, streams.close_longest_idle)
        self._capture = None
        if own_settings is not None and own_settings.capture is not None:
            # imported only if used, to save memory
            from umbermoor.front.server.capture_writer import Capturing

            self._capture = exchange.observer = Capturing(
                reactor, clock, configuration, own_settings.capture
            )
        self._membership = None
        if own_settings is not None and own_settings.members is not None:
            # imported only if used, to save memory
            from umbermoor.front.server.members import Membership

            self._membership = Membership(reactor, clock, own_settings.members, self._apply_list)
        self._operations = None
        if own_settings is not None and (
            own_settings.door is not None or own_settings.remember is not None
        ):
            # imported only if used, to save memory
            from umbermoor.front.server.operations import Operations

            self._operations = Operations(
                reactor,
                clock,
                configuration,
                own_settings,
                buffers,
                exchange,
                self._clients,
                self._machines,
            )
            self._operations.members = self._membership
            self._clients.in_hand = lambda: len(exchange.pending)
            exchange.observer = (
                self._operations
                if exchange.observer is None
                else Observers(exchange.observer, self._operations)
            )
        self._received_parts: set[str] = set()
        self._port = self._count_timer = None
        self._drop_at = 0.0
        self.status = 0  # exit status of the process

    def start(self) -> None:
        configuration, charter = self._configuration, self._configuration.charter
        note(
            log,
            "start",
            name=configuration.name,
            listen="{}:{}".format(*configuration.listen),
            fronts=charter.fronts,
            sockets=configuration.sockets,
        )
        if charter.may_tell:
            note(
                log,
                "fronts may send each other messages here, but no page says how: none are sent",
                logging.WARNING,
            )
        known = (
            read_list(configuration.initial_list, configuration.zones)
            if configuration.initial_list
            else None
        )
        if configuration.initial_list and not known:
            note(log, "the list at the start cannot be read", logging.WARNING)
        if known:
            self._exchange.listed(Listing.CACHED, known)
            if charter.list_asked and known.whole:  # the first answer may take long
                self._received_parts.add("list")
        if self._membership is not None:
            self._membership.start()
        news = read_stage(configuration.initial_stage) if configuration.initial_stage else None
        if configuration.initial_stage and not news:
            note(log, "the platform's news at the start cannot be read", logging.WARNING)
        if news:
            self._exchange.platform_news(news)
        if self._operations is not None:
            self._operations.start()
        self._discovery.start(known.version if known and known.whole else None)
        self._platform.start()
        host, port = configuration.listen
        try:
            self._port = self._reactor.listenTCP(port, self._clients, BACKLOG, host)
        except CannotListenError as error:
            note(log, "cannot listen", logging.ERROR, why=error.socketError)
            self.status = 1
            self._reactor.stop()
            return
        self._clients.limit_accepts(self._port)
        self._clients.accept = lambda on: (
            self._port.startReading if on else self._port.stopReading
        )()
        self._reactor.callLater(UP_TIMEOUT, self._go_up)
        self._count_timer = self._reactor.callLater(COUNT_INTERVAL, self._count)
        self._exchange.tick()

    def _count(self) -> None:
        """Log the nonzero counts since the last such line."""
        counts = self._exchange.counts
        if counts:
            note(log, "counts", **counts)
            counts.clear()
        self._count_timer = self._reactor.callLater(COUNT_INTERVAL, self._count)

    def _listed(self, kind, news) -> None:
        if self._membership is not None:
            self._membership.list_told(kind, news)
        else:
            self._apply_list(kind, news)

    def _apply_list(self, kind, news) -> None:
        self._exchange.listed(kind, news)
        self._received("list")

    def _platform_news(self, news) -> None:
        self._exchange.platform_news(news)
        if isinstance(news, News):
            self._received("stage")

    def _received(self, what: str) -> None:
        if not self._clients.up:
            self._received_parts.add(what)
            if self._received_parts >= {"list", "stage"}:
                self._go_up()

    def _go_up(self) -> None:
        if not self._clients.up:
            self._clients.up = True
            if self._operations is not None:
                self._operations.ready()
            note(log, "up", heard=" ".join(sorted(self._received_parts)))

    def reload(self, read: Callable[[], Configuration]) -> None:
        """Apply the parts of a newly read configuration that may change without a restart.

        An invalid configuration is logged, and the old one stays in force.
        """
        if self._clients.leaving:
            return
        try:
            configuration = read()
        except ConfigurationError as fault:
            note(log, "configuration not taken, the old one goes on", logging.WARNING, fault=fault)
            return
        old, self._configuration = self._configuration, configuration

        def changed(*names: str) -> list[str]:
            return [name for name in names if getattr(old, name) != getattr(configuration, name)]

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
        self._budget.resize(configuration.sockets)
        self._buffers.resize(configuration.memory)
        if "discovery" in moved:
            self._discovery.move(configuration.discovery)
        if "platform" in moved:
            self._platform.move(configuration.platform)

    def drain(self) -> None:
        """Stop accepting after LISTEN_GRACE, and end the process once no client is connected."""
        if not self._clients.leaving:
            note(log, "drain", queries=len(self._exchange.pending), clients=len(self._clients.open))
            self._clients.leaving = True
            if self._operations is not None:
                self._operations.leave()
            self._reactor.callLater(LISTEN_GRACE, self._stop_listening)

    def _stop_listening(self) -> None:
        # Closing the listener resets connections that the kernel has queued, so all of these are
        # accepted and read first.
        for _ in range(ACCEPT_TURNS):
            self._port.doRead()
        self._clients.accept = lambda on: None
        self._port.stopListening()
        self._drop_at = self._reactor.seconds() + DROP_AFTER
        self._reactor.callLater(READ_GRACE, self._finish_drain)

    def _finish_drain(self) -> None:
        self._clients.close_idle()
        if not self._exchange.pending and self._reactor.seconds() >= self._drop_at:
            # incomplete requests, and clients that do not read their answers
            self._clients.drop()
        if self._clients.open:
            self._reactor.callLater(DRAIN_CHECK, self._finish_drain)
            return
        self._count_timer.cancel()
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


def serve(
    configuration: Configuration, read: Callable[[], Configuration], own_settings=None
) -> int:
    """Run a front until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Returns:
        The exit status.
    """
    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    service = Service(reactor, configuration, Clock(), own_settings)
    reactor.callWhenRunning(service.start)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(service.drain))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(service.reload, read))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(service.drain))
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    return service.status

"""A proxy's process: it builds the parts, listens, drives them by its clock, and drains at its end.

Who owns what:

    `ClientConnections`   connections of clients, and requests that wait for their turn there
    `RequestHandler`      requests that are worked at; open this one first
    `ConnectionPool`      connections to instances
    `Instances`, `RolloutObserver` which instance and which version a request goes to
    `RetryBudgets`        how many retries may be sent to each service
    `ControllerLink`      what the controllers tell, and the configuration in force
    `FailureDetector`     which other proxies run
    `Proxy`               sockets that listen, the settings file, ticks, readiness, draining
"""

import asyncio
import gc
import os
import random
import signal
import time
from collections.abc import Callable

from umbermoor.gateway.balancing.instances import Instances
from umbermoor.gateway.balancing.retry_budget import RetryBudgets
from umbermoor.gateway.config.errors import ValidationError
from umbermoor.gateway.config.node_settings import NodeSettings, read_node_settings
from umbermoor.gateway.membership.failure_detector import FailureDetector
from umbermoor.gateway.rollout.observer import RolloutObserver
from umbermoor.gateway.server import datagrams
from umbermoor.gateway.server.client_connections import ClientConnections
from umbermoor.gateway.server.connections import ConnectionPool
from umbermoor.gateway.server.controller_link import ControllerLink
from umbermoor.gateway.server.drain import CLOSING_S, DrainPhase
from umbermoor.gateway.server.events import event, watch
from umbermoor.gateway.server.http_endpoint import Endpoint, readiness
from umbermoor.gateway.server.invariants import Invariants
from umbermoor.gateway.server.metrics import Metric, labelled, serve_metrics
from umbermoor.gateway.server.request_handler import RequestHandler
from umbermoor.gateway.server.slow_readers import abort_slow_readers
from umbermoor.gateway.units import SECOND
from umbermoor.http1.buffers import Buffers

TICK_INTERVAL_S = 0.05
SWEEP_INTERVAL_S = 1
CLIENT_BACKLOG = 512  # connections that the kernel may hold until they are accepted
# Ready without any instance known, where no update brought one in this time.
NO_INSTANCES_GRACE_US = 3 * SECOND
DRAIN_CHECK_S = 0.05
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_WINDOW_S = 10
DEFAULT_RETRY_SLACK = 0.0
DEFAULT_GRACE_S = 6.0  # from SIGTERM to the end of the process
SLOW_READERS_MEMORY_SHIFT = 17  # MiB to bytes, and an eighth of them

READY_PATH = "/ready"
NO_FILE = (0, 0)


class Proxy:
    """One proxy.

    Attributes:
        settings: The start settings; margins and seeds are taken over when the file changes.
        instances: Instances that requests may go to.
        rollouts: This proxy's part in rollouts.
        retry_budgets: How many retries may be sent.
        requests: Carries requests.
        clients: Connections of clients.
        pool: Connections to instances.
        controllers: The link to the controllers.
        detector: Finds out which other proxies run.
        invariants: Counts what should have held and did not.
        is_ready: Whether clients may come, until it drains.
    """

    def __init__(
        self,
        settings: NodeSettings,
        chance: random.Random,
        settings_path: str = "",
        pool: ConnectionPool | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Builds the parts; `serve` runs them.

        Args:
            settings: The start settings.
            chance: Draws random numbers.
            settings_path: Of their file, to be read again when it changes; "" never.
            pool: Stands in for connections to instances, in a simulation.
            clock: Seconds of a steady clock, the system's where none is given.
        """
        self.settings = settings
        self.settings_path = settings_path
        self.clock = clock or time.monotonic
        self.detector = FailureDetector(settings.ip, time.time_ns() // 1000, chance)
        salt = chance.getrandbits(32)
        self.buffers = Buffers(round(settings.memory_mb) << 20)
        self.instances = Instances(settings.zone)
        self.rollouts = RolloutObserver()
        self.retry_budgets = RetryBudgets(*_retry_bounds(settings))
        self.invariants = Invariants()
        self.requests = self._make_request_handler(chance)
        self.pool = pool or ConnectionPool(self.buffers, self.clock, self.requests.may_send)
        self.requests.pool = self.pool
        self.clients = ClientConnections(self.buffers, self.clock, self.requests, self.invariants)
        self.started_at = self.now()
        self.controllers = ControllerLink(
            settings,
            self.started_at,
            salt,
            self.instances,
            self.rollouts,
            self.detector,
            self.requests,
            self.pool,
            self.clients,
        )
        self.is_ready = False
        self._settings_version = _file_version(settings_path)
        self._swept_at = 0.0
        self._stop_requested = asyncio.Event()

    def _make_request_handler(self, chance: random.Random) -> RequestHandler:
        return RequestHandler(
            self.instances,
            self.rollouts,
            self.retry_budgets,
            self.invariants,
            self.clock,
            chance,
        )

    def now(self) -> int:
        """Microseconds of the steady clock."""
        return round(self.clock() * SECOND)

    # Running

    async def serve(self) -> None:
        """Serves until SIGTERM; raises what a broken invariant raised."""
        loop = asyncio.get_running_loop()
        watch(loop)
        loop.add_signal_handler(signal.SIGTERM, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        await self.controllers.peers.listen()
        detection = await datagrams.listen(
            self.detector, self.settings.ip, self.settings.port_range[0], self.now
        )
        server = await self._listen()
        # What is there by now stays: the collector need not look at it again.
        gc.collect()
        gc.freeze()
        ticking = loop.create_task(self.run_ticks())
        ending = loop.create_task(self._stop_requested.wait())
        await asyncio.wait((ending, ticking), return_when=asyncio.FIRST_COMPLETED)
        if ticking.done():
            # A broken invariant: it ends with status 1, and is started again in a clean state.
            ending.cancel()
            ticking.result()
        detection.leave()
        await self._finish_requests(server)
        ticking.cancel()
        detection.close()
        self.clients.report_unanswered()
        event("stopped", **self.requests.counts(), **self._audit_counts())

    async def _listen(self) -> asyncio.Server:
        """Listens for the platform and for clients; returns the clients' server."""
        loop = asyncio.get_running_loop()
        host, port = self.settings.listen["ready"]
        await Endpoint({READY_PATH: readiness(self._takes_clients)}).listen(host, port)
        await serve_metrics(self.settings.ip, self.metrics)
        host, port = self.settings.listen["front"]
        return await loop.create_server(self.clients.accept, host, port, backlog=CLIENT_BACKLOG)

    def _takes_clients(self) -> bool:
        return self.is_ready and not self.clients.drain.began

    async def run_ticks(self) -> None:
        """Drives the parts by the clock, for ever."""
        while True:
            now = self.now()
            self.controllers.tick(now)
            if not self.is_ready and not self.clients.drain.began:
                self._check_ready(now)
            clock = self.clock()
            if clock - self._swept_at >= SWEEP_INTERVAL_S:
                self._swept_at = clock
                self._sweep(now)
            await asyncio.sleep(TICK_INTERVAL_S)

    def metrics(self) -> list[Metric]:
        """This proxy's own figures."""
        requests, clients = self.requests, self.clients
        outcomes = {outcome.value: count for outcome, count in requests.outcome_counts.items()}
        statuses = {str(status): count for status, count in requests.status_counts.items()}
        return [
            Metric("ready", self._takes_clients()),
            Metric("draining", clients.drain.began),
            Metric("client_connections", len(clients.connections)),
            Metric("requests_active", len(requests.active)),
            Metric("instances", len(self.instances.by_id)),
            Metric("proxies", self.detector.member_count()),
            *labelled("attempts_total", "outcome", outcomes),
            *labelled("responses_total", "status", statuses),
            *labelled("invariant_violations_total", "invariant", self.invariants.counts()),
            *(Metric(f"requests_{name}", count) for name, count in self._audit_counts().items()),
        ]

    def _audit_counts(self) -> dict[str, float]:
        """Requests that were begun late, that got no answer, and whose clients left."""
        return self.clients.audit.counts() | self.requests.departures.counts()

    def _check_ready(self, now: int) -> None:
        known = bool(self.instances.by_id) or now - self.started_at > NO_INSTANCES_GRACE_US
        routes = self.requests.routes
        if routes is not None and known and self.controllers.is_current():
            self.is_ready = True
            event("ready", instances=len(self.instances.by_id), revision=routes.revision_text)

    def _sweep(self, now: int) -> None:
        """What is done once a second."""
        self.pool.sweep()
        self.controllers.forget_instances(now)
        if _file_version(self.settings_path) != self._settings_version:
            self.reload_settings()
        slack = self.settings.margin("retrySlack", DEFAULT_RETRY_SLACK)
        self.retry_budgets.share_slack(now, slack, self.detector.member_count())
        self.clients.sweep()
        max_bytes = round(self.settings.memory_mb) << SLOW_READERS_MEMORY_SHIFT
        if aborted := abort_slow_readers(self.clients.connections, max_bytes):
            event("slow_readers_aborted", count=aborted)
        if counts := self.requests.departures.news():
            event("clients_left", **counts)

    def reload_settings(self) -> None:
        """Takes over margins and seeds of a settings file that changed.

        What is wrong with it is logged, and the settings before stay in force.
        """
        self._settings_version = _file_version(self.settings_path)
        settings = read_node_settings(self.settings_path)
        if isinstance(settings, ValidationError):
            event("settings_invalid", reason=settings)
            return
        self.settings = settings
        self.retry_budgets.set_bounds(*_retry_bounds(settings))
        self.controllers.apply_settings(settings)
        event("settings_reloaded", seeds=",".join(settings.seeds))

    # Draining

    def drain(self) -> None:
        """Ends: not ready from now on, and nothing new behind the requests that are under way."""
        drain = self.clients.drain
        if drain.began:
            return
        event("draining", requests=len(self.requests.active))
        deadline = drain.begin(self.settings.margin("graceS", DEFAULT_GRACE_S))
        self.clients.refuse_more()
        self.requests.begin_drain(deadline)
        self._stop_requested.set()

    async def _finish_requests(self, server: asyncio.Server) -> None:
        """Takes new connections until the platform has seen that it is not ready; then waits.

        Returns when every connection is closed, or the time for that is over.
        """
        drain, clients = self.clients.drain, self.clients
        await asyncio.sleep(max(0.0, drain.lame_duck_s - drain.elapsed_s))
        server.close()
        while drain.phase is DrainPhase.FINISHING and clients.connections:
            clients.close_idle()
            await asyncio.sleep(DRAIN_CHECK_S)
        clients.reject_partial()
        while clients.connections and drain.elapsed_s < drain.finish_s + CLOSING_S:
            clients.close_idle()
            clients.sweep()
            await asyncio.sleep(DRAIN_CHECK_S)


def _retry_bounds(settings: NodeSettings) -> tuple[float, int]:
    """Retries to requests, and the window in microseconds within which that holds."""
    ratio = settings.margin("retryRatio", DEFAULT_RETRY_RATIO)
    return ratio, settings.margin_us("retryWindowS", DEFAULT_RETRY_WINDOW_S)


def _file_version(path: str) -> tuple[int, int]:
    """What tells one state of a file from another: time and size."""
    try:
        status = os.stat(path)
    except OSError:
        return NO_FILE
    return status.st_mtime_ns, status.st_size


async def serve(settings: NodeSettings, path: str = "") -> None:
    """Runs a proxy until SIGTERM."""
    await Proxy(settings, random.Random(), path).serve()

"""The proxy process: builds its parts, listens, runs their ticks, and drains before it ends.

Responsibilities of the parts:

    `ClientConnections`   client connections and the requests queued on them
    `RequestHandler`      requests in progress; read this one first
    `ConnectionPool`      connections to instances
    `Instances`, `RolloutObserver`
                          the instance and the version that a request goes to
    `RetryBudgets`        limits on the retries to each service
    `ControllerLink`      updates from the controllers, and the active configuration
    `FailureDetector`     which other proxies are running
    `Proxy`               listening sockets, the settings file, ticks, readiness, draining
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
CLIENT_BACKLOG = 512  # connections queued in the kernel until they are accepted
# A proxy without any instance becomes ready after this time.
NO_INSTANCES_GRACE_US = 3 * SECOND
DRAIN_CHECK_S = 0.05
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_WINDOW_S = 10
DEFAULT_RETRY_SLACK = 0.0
DEFAULT_GRACE_S = 6.0  # from SIGTERM to the end of the process
SLOW_READERS_MEMORY_SHIFT = 17  # an eighth of the memory limit: MiB to bytes is 20, minus 3

READY_PATH = "/ready"
NO_FILE = (0, 0)


class Proxy:
    """One proxy process.

    Attributes:
        settings: The settings; only margins and seeds follow later changes of the file.
        instances: Instances to which requests may be sent.
        rollouts: Applies rollouts and reports on them.
        retry_budgets: Limits on retries.
        requests: Processes requests.
        clients: Client connections.
        pool: Connections to instances.
        controllers: The link to the controllers.
        detector: Detects which other proxies are running.
        invariants: Counts violated invariants.
        is_ready: Whether clients may connect; not reset by a drain.
    """

    def __init__(
        self,
        settings: NodeSettings,
        rng: random.Random,
        settings_path: str = "",
        pool: ConnectionPool | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Build the parts; `serve` runs them.

        Args:
            settings: The settings at the start.
            rng: Random number generator.
            settings_path: Path of the settings file, reloaded when it changes; "" for none.
            pool: Replaces the connection pool in a simulation.
            clock: Returns seconds of a monotonic clock; None for the system's clock.
        """
        self.settings = settings
        self.settings_path = settings_path
        self.clock = clock or time.monotonic
        self.detector = FailureDetector(settings.ip, time.time_ns() // 1000, rng)
        salt = rng.getrandbits(32)
        self.buffers = Buffers(round(settings.memory_mb) << 20)
        self.instances = Instances(settings.zone)
        self.rollouts = RolloutObserver()
        self.retry_budgets = RetryBudgets(*_retry_bounds(settings))
        self.invariants = Invariants()
        self.requests = self._make_request_handler(rng)
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

    def _make_request_handler(self, rng: random.Random) -> RequestHandler:
        return RequestHandler(
            self.instances,
            self.rollouts,
            self.retry_budgets,
            self.invariants,
            self.clock,
            rng,
        )

    def now(self) -> int:
        """Return the time of the monotonic clock, in microseconds."""
        return round(self.clock() * SECOND)

    # Running

    async def serve(self) -> None:
        """Serve until SIGTERM and drain; raise the error if a tick fails."""
        loop = asyncio.get_running_loop()
        watch(loop)
        loop.add_signal_handler(signal.SIGTERM, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        await self.controllers.peers.listen()
        detection = await datagrams.listen(
            self.detector, self.settings.ip, self.settings.port_range[0], self.now
        )
        server = await self._listen()
        # Objects created so far are permanent: exclude them from garbage collection.
        gc.collect()
        gc.freeze()
        tick_task = loop.create_task(self.run_ticks())
        stop_task = loop.create_task(self._stop_requested.wait())
        await asyncio.wait((stop_task, tick_task), return_when=asyncio.FIRST_COMPLETED)
        if tick_task.done():
            # An error such as a broken invariant: the process exits with status 1 and is
            # restarted in a clean state.
            stop_task.cancel()
            tick_task.result()
        detection.leave()
        await self._finish_requests(server)
        tick_task.cancel()
        detection.close()
        self.clients.report_unanswered()
        event("stopped", **self.requests.counts(), **self._audit_counts())

    async def _listen(self) -> asyncio.Server:
        """Listen for the platform and for clients; return the server for clients."""
        loop = asyncio.get_running_loop()
        host, port = self.settings.listen["ready"]
        await Endpoint({READY_PATH: readiness(self._accepts_clients)}).listen(host, port)
        await serve_metrics(self.settings.ip, self.metrics)
        host, port = self.settings.listen["front"]
        return await loop.create_server(self.clients.accept, host, port, backlog=CLIENT_BACKLOG)

    def _accepts_clients(self) -> bool:
        return self.is_ready and not self.clients.drain.began

    async def run_ticks(self) -> None:
        """Run the periodic work of all parts until cancelled."""
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
        """Return the metrics of this proxy."""
        requests, clients = self.requests, self.clients
        outcomes = {outcome.value: count for outcome, count in requests.outcome_counts.items()}
        statuses = {str(status): count for status, count in requests.status_counts.items()}
        return [
            Metric("ready", self._accepts_clients()),
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
        """Return counts of requests started late, never answered, or whose clients left."""
        return self.clients.audit.counts() | self.requests.departures.counts()

    def _check_ready(self, now: int) -> None:
        has_instances = bool(self.instances.by_id) or now - self.started_at > NO_INSTANCES_GRACE_US
        routes = self.requests.routes
        if routes is not None and has_instances and self.controllers.is_current():
            self.is_ready = True
            event("ready", instances=len(self.instances.by_id), revision=routes.revision_text)

    def _sweep(self, now: int) -> None:
        """Run the work that is due once a second."""
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
        if counts := self.requests.departures.counts_if_changed():
            event("clients_left", **counts)

    def reload_settings(self) -> None:
        """Apply the margins and seeds of a changed settings file.

        If the file is invalid, the error is logged and the previous settings stay in effect.
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
        """Begin the drain.

        The proxy is no longer ready, and connections with a request in progress accept no further
        requests.
        """
        drain = self.clients.drain
        if drain.began:
            return
        event("draining", requests=len(self.requests.active))
        deadline = drain.begin(self.settings.margin("graceS", DEFAULT_GRACE_S))
        self.clients.refuse_new_requests()
        self.requests.begin_drain(deadline)
        self._stop_requested.set()

    async def _finish_requests(self, server: asyncio.Server) -> None:
        """Finish the requests of a drain.

        New connections are accepted until the platform has noticed that the proxy is not ready.
        Returns when every connection is closed or the time for the drain is over.
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
    """Return the ratio of retries to requests, and its window in microseconds."""
    ratio = settings.margin("retryRatio", DEFAULT_RETRY_RATIO)
    return ratio, settings.margin_us("retryWindowS", DEFAULT_RETRY_WINDOW_S)


def _file_version(path: str) -> tuple[int, int]:
    """Return the modification time and size of a file, which change with its contents."""
    try:
        status = os.stat(path)
    except OSError:
        return NO_FILE
    return status.st_mtime_ns, status.st_size


async def serve(settings: NodeSettings, path: str = "") -> None:
    """Run a proxy until SIGTERM."""
    await Proxy(settings, random.Random(), path).serve()

"""The controller process: wires its parts together, runs their ticks and serves the HTTP API.

Start reading with `Controller`. Each part has a module of its own:

    `replica_host`      the replica, its disk and its calls in flight
    `peer_messages`     dispatch of messages from other processes
    `update_publisher`  updates that proxies pull
    `configuration_calls`, `rollout_calls`, `membership_calls`, `status_calls`, `heartbeat_calls`
                        handlers of the HTTP API
    `store_sweep`, `registry_snapshot`
                        integrity and contents of the store
    `shutdown`          the end of the process
"""

import asyncio
import contextlib
import gc
import random
import signal
from typing import TYPE_CHECKING

from umbermoor.gateway.api.decisions import CONFIG_KEY, decide_write
from umbermoor.gateway.api.http_api import HttpApi
from umbermoor.gateway.config.node_settings import NodeSettings
from umbermoor.gateway.discovery.registry import InstanceRecord, InstanceRegistry
from umbermoor.gateway.distribution.subscriber import Subscriber
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.replication.store import Store
from umbermoor.gateway.rollout.admission import stage_write
from umbermoor.gateway.rollout.coordinator import RolloutCoordinator
from umbermoor.gateway.rollout.records import (
    ROLLOUT_KEY_PREFIX,
    InvalidRecordError,
    RecordDocument,
)
from umbermoor.gateway.server import events
from umbermoor.gateway.server.clocks import Clock, system_clock
from umbermoor.gateway.server.configuration_calls import ConfigurationCalls
from umbermoor.gateway.server.heartbeat_calls import HeartbeatCalls
from umbermoor.gateway.server.instance_replication import InstanceReplication
from umbermoor.gateway.server.invariants import Invariant, Invariants
from umbermoor.gateway.server.membership_calls import MembershipCalls
from umbermoor.gateway.server.metrics import Metric, labelled, serve_metrics
from umbermoor.gateway.server.peer_messages import Message, PeerMessages
from umbermoor.gateway.server.peer_transport import PeerConnection, PeerTransport
from umbermoor.gateway.server.registry_snapshot import (
    INSTANCES_KEY,
    RegistrySnapshot,
    decode_snapshot,
)
from umbermoor.gateway.server.replica_host import ReplicaHost
from umbermoor.gateway.server.rollout_calls import RolloutCalls
from umbermoor.gateway.server.shutdown import Shutdown
from umbermoor.gateway.server.status_calls import StatusCalls
from umbermoor.gateway.server.status_log import StatusLog
from umbermoor.gateway.server.store_sweep import StoreSweep
from umbermoor.gateway.server.update_publisher import UpdatePublisher

if TYPE_CHECKING:
    from hypercorn.config import Config

TICK_INTERVAL_S = 0.05
STORE_SHARE = 0.6  # of the process's disk space limit
DEFAULT_GRACE_S = 6.0
RANDOM_BITS = 40  # of incarnations and call numbers
# Time for calls in flight at shutdown: the time-out of a call, plus reading a large body before it.
MAX_HTTP_GRACEFUL_S = 2.0
HTTP_GRACEFUL_SHARE = 1 / 3  # of the grace period, where that is short
HTTP_KEEP_ALIVE_TIMEOUT_S = 30.0
HTTP_MAX_HEADER_BYTES = 64 << 10


def open_store(settings: NodeSettings) -> Store:
    """Open the store in the data directory that the settings name."""
    return Store(settings.data_dir or "", round(settings.disk_mb * STORE_SHARE) << 20)


class Controller:
    """One controller process.

    Attributes:
        replica: The state machine of the replica set.
        registry: The registry of instances.
        rollouts: Advances rollouts while this member is the head, which orders writes.
        shutdown: Ends the process.
        invariants: Counts violated invariants.
    """

    def __init__(
        self,
        settings: NodeSettings,
        rng: random.Random,
        clock: Clock = system_clock,
        store: Store | None = None,
    ) -> None:
        """Open the store and wire the parts.

        Args:
            settings: Settings of this process.
            rng: Random numbers for incarnations, jitter and samples.
            clock: Returns microseconds; never goes back.
            store: The store for records; None opens one in the settings' data directory.
        """
        self.settings, self.clock = settings, clock
        self.invariants = Invariants()
        self.store = open_store(settings) if store is None else store
        stored = self.store.load()
        instances = decode_snapshot(stored.pop(INSTANCES_KEY, b"[]"))
        if self.store.lost:  # a damaged disk counts as lost, and must not count as a cold start
            events.event("disk_lost", reason=self.store.lost)
        seeds = [seed.rpartition(":")[0] for seed in settings.seeds]
        self.replica = self._make_replica(seeds, stored, rng)
        self.registry = self._make_registry(instances, rng)
        self.rollouts = RolloutCoordinator()
        self.subscriber = Subscriber(seeds, settings.ip)
        self.transport = PeerTransport(
            settings.ip, settings.port_range[0], self._receive, self._connection_lost
        )
        self.host = self._make_host(rng)
        self.shutdown = Shutdown(self.host, settings.margin_us("graceS", DEFAULT_GRACE_S))
        self.snapshot = RegistrySnapshot(self.registry, self.host)
        self.sweep = StoreSweep(self.host, self.snapshot, self.transport, clock, self._store_lost)
        self.publisher = UpdatePublisher(self.registry, self.host, rng, clock)
        self.replication = InstanceReplication(self.host, self.transport, self.snapshot)
        self.peers = self._make_peers()
        self.status_log = StatusLog(self.replica)

    # Parts. Those that draw from `rng` are created in a fixed order, for reproducible simulations.

    def _make_replica(
        self, seeds: list[str], stored: dict[str, bytes], rng: random.Random
    ) -> Replica:
        settings = self.settings
        return Replica(
            settings.ip,
            seeds,
            settings.tolerated_machine_losses,
            settings.cold_start and not self.store.lost,
            stored,
            decide_write,
            rng,
            settings.zone,
            settings.quorum_member,
        )

    def _make_registry(
        self, instances: list[InstanceRecord], rng: random.Random
    ) -> InstanceRegistry:
        registry = InstanceRegistry(
            rng.getrandbits(RANDOM_BITS) | 1, self.settings.heartbeat_interval_us
        )
        for record in instances:
            registry.observe(self.clock(), record)
        return registry

    def _make_host(self, rng: random.Random) -> ReplicaHost:
        return ReplicaHost(
            self.replica,
            self.store,
            self.transport,
            self.clock,
            rng.getrandbits(RANDOM_BITS),
            on_commit=self._committed,
            on_effects=self._publish_soon,
            on_store_lost=self._store_lost,
            invariants=self.invariants,
        )

    def _make_peers(self) -> PeerMessages:
        return PeerMessages(
            self.registry,
            self.subscriber,
            self.rollouts,
            self.host,
            self.publisher,
            self.replication,
            self.sweep,
            self.clock,
        )

    def make_api(self) -> HttpApi:
        """Return the HTTP API for instances and operators."""
        return HttpApi(
            ConfigurationCalls(self.host, self.invariants),
            HeartbeatCalls(
                self.registry,
                self.clock,
                self.host.is_connected,
                self.replication.replicate,
                self._publish_soon,
            ),
            RolloutCalls(self.registry, self.host),
            MembershipCalls(self.host, self.settings.tolerated_machine_losses),
            StatusCalls(
                self.settings.name,
                self.registry,
                self.host,
                self.sweep,
                lambda: len(self.publisher.pulls.waiting),
                self.clock,
            ),
            on_unanswered=self._call_unanswered,
        )

    def _call_unanswered(self, method: str, path: str) -> None:
        self.invariants.violated(Invariant.CALL_ANSWERED, method=method, path=path)

    # Callbacks between the parts

    def _receive(self, connection: PeerConnection, message: Message) -> None:
        self.peers.receive(connection, message)

    def _connection_lost(self, connection: PeerConnection) -> None:
        self.peers.connection_lost(connection)

    def _publish_soon(self) -> None:
        self.publisher.publish_soon()

    def _committed(self) -> None:
        committed = self.replica.committed
        records = {key: record for key, record in committed.items() if key != CONFIG_KEY}
        self.publisher.records_committed(records)
        for key, record in records.items():
            if key.startswith(ROLLOUT_KEY_PREFIX):
                self._apply_rollout(key.removeprefix(ROLLOUT_KEY_PREFIX), record)

    def _apply_rollout(self, service: str, record: RecordDocument) -> None:
        """Apply a rollout record; one that cannot be read leaves all other services as they are."""
        try:
            self.rollouts.apply_record(self.clock(), service, record)
        except InvalidRecordError as error:
            events.event("rollout_record_invalid", service=service, reason=error)

    def _store_lost(self) -> None:
        """End the process: after its restart the disk counts as lost and the peers refill it."""
        self.shutdown.request()

    def metrics(self) -> list[Metric]:
        """Return the metrics of this controller."""
        status, store = self.replica.status(), self.store
        return [
            Metric("connected", self.replica.connected),
            Metric("leads", self.host.leads()),
            Metric("epoch", status.epoch),
            Metric("chain_members", len(status.chain)),
            Metric("uncommitted_writes", status.uncommitted),
            Metric("degraded", status.degraded),
            Metric("members_outside_chain", len(set(status.members) - set(status.chain))),
            Metric("ready_learners", len(self.replica.learners())),
            Metric("calls_in_flight", self.host.calls_in_flight()),
            Metric("instances", len(self.registry.records)),
            Metric("waiting_pulls", len(self.publisher.pulls.waiting)),
            Metric("store_bytes", store.used()),
            Metric("store_full", store.full),
            Metric("departures_unsynced", self.snapshot.waiting),
            Metric("records_repaired_total", self.sweep.repaired),
            *labelled("invariant_violations_total", "invariant", self.invariants.counts()),
        ]

    # Ticks

    async def run(self) -> None:
        """Call `tick` every TICK_INTERVAL_S until cancelled."""
        while True:
            self.tick(self.clock())
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick(self, now: int) -> None:
        """Run the periodic work of all parts that is due."""
        self.host.carry_out(self.replica.tick(now))
        self.subscriber.members = self.replica.replica_set.members
        self._tick_rollouts(now)
        self.registry.tick(now, self.replica.connected)
        self.snapshot.tick(now)
        self.sweep.tick(now)
        self._tick_subscriber(now)
        self.publisher.tick(now)
        self.shutdown.tick(now)
        self.status_log.tick()

    def _tick_rollouts(self, now: int) -> None:
        """Write rollout stages that are due; only the head decides on them."""
        if not self.host.leads():
            return
        for service, record in self.rollouts.tick(now):
            current = self.rollouts.orders[service].record.document
            self.host.put(
                ROLLOUT_KEY_PREFIX + service,
                stage_write(record, current, self.replica.status().epoch),
            )

    def _tick_subscriber(self, now: int) -> None:
        """Pull instance records from the other members."""
        self.subscriber.forget_departed(now)
        member_names = self.replica.member_names
        sources = {*self.subscriber.sources, self.replica.name}
        if self.replica.is_member and sources != set(member_names):
            self.subscriber.set_members(member_names)
        for name in self.subscriber.due_pulls(now):
            self.transport.send(name, self.subscriber.make_pull(now, name))

    # Process

    async def serve(self) -> None:
        """Serve until the process is asked to end.

        An error in a tick, such as a broken invariant, is raised.
        """
        from hypercorn.asyncio import serve

        loop = asyncio.get_running_loop()
        events.watch(loop)
        loop.add_signal_handler(signal.SIGTERM, lambda: self.shutdown.hand_over(self.clock()))
        loop.add_signal_handler(signal.SIGHUP, lambda: events.event("sighup_ignored"))
        with contextlib.ExitStack() as resources:
            resources.callback(self.store.close)
            resources.callback(self.host.close)
            resources.enter_context(contextlib.closing(await self.transport.listen()))
            await serve_metrics(self.settings.ip, self.metrics)
            gc.collect()
            gc.freeze()
            tick_task = loop.create_task(self.run())
            tick_task.add_done_callback(lambda _: self.shutdown.request())
            try:
                await serve(
                    self.make_api(),
                    _http_config(self.settings),
                    shutdown_trigger=self.shutdown.requested.wait,
                )
                if tick_task.done():  # only after an error: exit with status 1
                    tick_task.result()
            finally:
                tick_task.cancel()
            events.event("stopped")


def _http_config(settings: NodeSettings) -> "Config":
    from hypercorn.config import Config

    host, port = settings.listen["control"]
    grace_s = settings.margin("graceS", DEFAULT_GRACE_S)
    config = Config()
    config.bind, config.accesslog, config.errorlog = [f"{host}:{port}"], None, None
    config.include_date_header = config.include_server_header = False
    config.graceful_timeout = min(MAX_HTTP_GRACEFUL_S, HTTP_GRACEFUL_SHARE * grace_s)
    config.keep_alive_timeout = HTTP_KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = HTTP_MAX_HEADER_BYTES
    return config


async def serve(settings: NodeSettings, path: str = "") -> None:
    """Run a controller until it is asked to end. Its settings are not reloaded."""
    await Controller(settings, random.Random()).serve()

"""A proxy's link to the controllers: pulls and applies their updates, and sends reports.

Updates carry instances, rollouts, other proxies and the newest configuration revision; the body of
a newer configuration is then requested. Messages are best effort and may come from untrusted peers,
so each one is validated here or where it is applied.
"""

import json
from typing import Any

from umbermoor.gateway.balancing.instances import Instances
from umbermoor.gateway.config.node_settings import NodeSettings
from umbermoor.gateway.distribution.deltas import apply_delta, text_digest
from umbermoor.gateway.distribution.subscriber import Subscriber, Update
from umbermoor.gateway.membership.failure_detector import FailureDetector
from umbermoor.gateway.rollout.observer import RolloutObserver
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX, InvalidRecordError
from umbermoor.gateway.routing.route_table import RouteTable
from umbermoor.gateway.server.client_connections import ClientConnections
from umbermoor.gateway.server.connections import ConnectionPool
from umbermoor.gateway.server.events import event
from umbermoor.gateway.server.peer_transport import PeerConnection, PeerTransport
from umbermoor.gateway.server.request_handler import RequestHandler
from umbermoor.gateway.units import SECOND

# A longer gap between two ticks means that the process was suspended or starved of CPU.
MAX_TICK_GAP_US = SECOND // 2


def controller_addresses(settings: NodeSettings) -> list[str]:
    """Return the IP addresses of the seeds."""
    return [seed.rpartition(":")[0] for seed in settings.seeds]


class ControllerLink:
    """Applies the updates of the controllers to the parts of a proxy.

    Attributes:
        subscriber: Tracks the updates received and which controller to ask next.
        peers: The message transport to and from controllers.
        configuration_text: The active configuration as the operator uploaded it; "" if none.
    """

    def __init__(
        self,
        settings: NodeSettings,
        started_at: int,
        salt: int,
        instances: Instances,
        rollouts: RolloutObserver,
        detector: FailureDetector,
        requests: RequestHandler,
        pool: ConnectionPool,
        clients: ClientConnections,
    ) -> None:
        self.subscriber = Subscriber(controller_addresses(settings))
        self.subscriber.salt = salt
        self.peers = PeerTransport(
            settings.ip, settings.port_range[0], self.receive, self.disconnected
        )
        self.configuration_text = ""
        self._instances = instances
        self._rollouts = rollouts
        self._detector = detector
        self._requests = requests
        self._pool = pool
        self._clients = clients
        self._logged_stages: dict[str, tuple[Any, ...]] = {}  # last logged stage by register key
        self._started_at = self._ticked_at = started_at

    def tick(self, now: int) -> None:
        """Send pulls that are due and reports on rollouts."""
        self._detect_pause(now)
        for address in self.subscriber.due_pulls(now):
            self.peers.send(address, self.subscriber.make_pull(now, address))
        if self.subscriber.head and (reports := self._rollouts.reports(now)):
            self.peers.send(self.subscriber.head, {"kind": "reports", "reports": reports})

    def forget_instances(self, now: int) -> None:
        """Remove instances that no controller has listed for a long time."""
        for instance_id in self.subscriber.forget_departed(now):
            self._instances.forget(instance_id)

    def is_current(self) -> bool:
        """Whether the applied state is as new as what a quorum reported since the start."""
        return (
            self._requests.routes is not None
            and self.subscriber.newest_revision <= self.subscriber.revision
            and self.subscriber.confirmed_since(self._started_at)
        )

    def apply_settings(self, settings: NodeSettings) -> None:
        """Add the seeds of a reloaded settings file."""
        for address in controller_addresses(settings):
            self.subscriber.add_seed(address)

    def _detect_pause(self, now: int) -> None:
        """Mark the subscriber as stalled if this process did not run for a while.

        Also called for each update, as messages may be handled before the next tick.
        """
        if now - self._ticked_at > MAX_TICK_GAP_US:
            self.subscriber.mark_stalled()
        self._ticked_at = now

    def disconnected(self, connection: PeerConnection) -> None:
        """Record that the connection to a peer was lost."""
        if connection.peer in self.subscriber.sources:
            self.subscriber.pull_failed(self._requests.now(), connection.peer)

    def receive(self, connection: PeerConnection, message: dict[str, Any]) -> None:
        """Dispatch a message from a peer by its kind."""
        kind = message.get("kind")
        if kind == "news":
            self._apply_update(self._requests.now(), connection.peer or "", message)
        elif kind == "body" and connection.peer in self.subscriber.sources:
            self.take_configuration(message)

    def _apply_update(self, now: int, controller: str, message: dict[str, Any]) -> None:
        self._detect_pause(now)
        update = self.subscriber.receive_update(now, controller, message)
        if update is None:
            return
        for instance in self._instances.update(now, update.instances):
            self._pool.close_idle(instance)
        self._apply_rollouts(now, update)
        self._update_rollout_instances(now, update)
        proxies = [ip for ip in message.get("fronts", ()) if isinstance(ip, str)]
        self._detector.discovered(now, proxies)
        if update.wants_body:
            self.peers.send(controller, self.subscriber.make_pull(now, controller))

    def _apply_rollouts(self, now: int, update: Update) -> None:
        if update.confirmed:
            self._rollouts.confirm(now)
        for key, record in update.records.items():
            if not key.startswith(ROLLOUT_KEY_PREFIX):
                continue
            service = key[len(ROLLOUT_KEY_PREFIX) :]
            try:
                self._rollouts.apply_record(now, service, record, update.confirmed)
            except InvalidRecordError as error:
                event("rollout_record_invalid", service=service, reason=error)
                continue
            stage = record["state"], record["target"], record["stage"]
            if self._logged_stages.get(key) != stage:
                self._logged_stages[key] = stage
                state, target, number = stage
                event("rollout_changed", service=service, state=state, target=target, stage=number)

    def _update_rollout_instances(self, now: int, update: Update) -> None:
        """Pass changed instance lists of services to the rollout observer."""
        for service in self._instances.changed_services:
            if update.confirmed and ROLLOUT_KEY_PREFIX + service not in self.subscriber.records:
                self._rollouts.apply_record(now, service, None)
            instances = [
                (instance.id, instance.entry.revision, instance.listed_at)
                for instance in self._instances.evaluated_by_rollout(service)
            ]
            self._rollouts.update_instances(now, service, instances)
        self._instances.changed_services.clear()

    def take_configuration(self, message: dict[str, Any]) -> None:
        """Apply a configuration body if it is newer than the active one."""
        text = message.get("text")
        if (delta := message.get("delta")) is not None:
            if self._is_applied(delta):  # received from another controller before
                return
            text = self._apply_delta(delta)
            if text is None:
                event(
                    "configuration_delta_invalid",
                    reason="the delta does not apply to the active configuration",
                )
                self.subscriber.discard_base()
                return
        try:
            body = json.loads(text)  # type: ignore[arg-type]  # None raises TypeError
            routes = self._requests.routes
            if routes is not None and int(body["revision"], 16) <= routes.revision:
                return
            routes = RouteTable(body)
        except (KeyError, TypeError, ValueError) as error:
            # Controllers validate configurations, so the sender is not a controller.
            event("configuration_invalid", reason=error)
            return
        self._activate(routes, text)

    def _is_applied(self, delta: Any) -> bool:
        """Whether a delta results in the configuration that is already active."""
        try:
            digest, _, _ = delta
        except (TypeError, ValueError):
            return False
        return digest == self.subscriber.base_digest != ""

    def _apply_delta(self, delta: Any) -> str | None:
        """Return the active configuration with a delta applied; None if the delta does not fit."""
        try:
            digest, base, changes = delta
            if base != self.subscriber.base_digest or not base:
                return None
            return apply_delta(self.configuration_text, changes, digest)
        except (TypeError, ValueError):
            return None

    def _activate(self, routes: RouteTable, text: Any) -> None:
        self._requests.routes = routes
        self.configuration_text = text
        self.subscriber.configuration_applied(routes.revision, text_digest(text))
        self._clients.apply_limits(routes.client_limits)
        event("configuration_applied", revision=routes.revision_text, source="update")

"""Dispatches messages that a controller receives: who may send each kind, and what handles it.

Anyone may open a connection. Members of the replica set are recognized by their address; messages
from other senders are validated where they are used, and dropped if they are malformed.
"""

from collections.abc import Callable
from typing import Any

from umbermoor.gateway.discovery.registry import (
    InstanceRecord,
    InstanceRegistry,
    record_from_wire,
)
from umbermoor.gateway.distribution.subscriber import Subscriber
from umbermoor.gateway.rollout.coordinator import RolloutCoordinator
from umbermoor.gateway.server import events
from umbermoor.gateway.server.clocks import Clock
from umbermoor.gateway.server.instance_replication import InstanceReplication
from umbermoor.gateway.server.peer_transport import PeerConnection, encode_frame
from umbermoor.gateway.server.replica_host import ReplicaHost
from umbermoor.gateway.server.store_sweep import StoreSweep
from umbermoor.gateway.server.update_publisher import UpdatePublisher

MALFORMED_REPORT = KeyError, TypeError, ValueError, AttributeError, IndexError

Message = dict[str, Any]
Handler = Callable[[PeerConnection, Message], None]


class PeerMessages:
    """Passes each message to the part of the controller that handles its kind."""

    def __init__(
        self,
        registry: InstanceRegistry,
        subscriber: Subscriber,
        rollouts: RolloutCoordinator,
        host: ReplicaHost,
        publisher: UpdatePublisher,
        replication: InstanceReplication,
        sweep: StoreSweep,
        clock: Clock,
    ) -> None:
        self._registry, self._subscriber, self._rollouts = registry, subscriber, rollouts
        self._host, self._publisher, self._replication = host, publisher, replication
        self._sweep, self._clock = sweep, clock
        self._handlers: dict[str, Handler] = {
            "pull": publisher.add_pull,
            "news": self._receive_update,
            "reports": self._receive_reports,
            "chain": self._receive_replica_frame,
            "holds": self._receive_replica_frame,
        }
        self._member_handlers: dict[str, Handler] = {
            "told": self._receive_record,
            "heard": self._receive_acknowledgement,
            "digest": self._receive_digest,
        }

    def receive(self, connection: PeerConnection, message: Message) -> None:
        """Dispatch a message; drop it if its kind is unknown or its sender may not send it."""
        kind = message.get("kind")
        if not isinstance(kind, str):
            return
        handler = self._handlers.get(kind)
        if handler is None and connection.peer in self._host.replica.member_names:
            handler = self._member_handlers.get(kind)
        if handler is not None:
            handler(connection, message)

    def connection_lost(self, connection: PeerConnection) -> None:
        """Clean up after a connection that closed or could not be opened."""
        self._host.channel.connection_lost(connection.peer)
        self._publisher.pulls.drop(connection)
        self._subscriber.pull_failed(self._clock(), connection.peer)

    def _receive_update(self, connection: PeerConnection, message: Message) -> None:
        update = self._subscriber.receive_update(self._clock(), connection.peer, message)
        if update is not None:
            self._observe(update.instances)

    def _receive_record(self, connection: PeerConnection, message: Message) -> None:
        record = record_from_wire(message.get("entry"))
        if record is not None:
            self._observe([record])
            answer = encode_frame({"kind": "heard", "number": message.get("number")})
            self._replication.when_held(record, lambda: connection.send(answer))

    def _receive_acknowledgement(self, connection: PeerConnection, message: Message) -> None:
        self._replication.acknowledge(connection.peer, message.get("number"))

    def _receive_digest(self, connection: PeerConnection, message: Message) -> None:
        self._sweep.compare(connection.peer, message)

    def _receive_reports(self, connection: PeerConnection, message: Message) -> None:
        """Count attempt outcomes that a proxy reports for rollouts.

        Ignored unless this controller is in contact with a majority.
        """
        reports = message.get("reports")
        if not isinstance(reports, list) or not self._host.is_connected():
            return
        for report in reports:
            try:
                self._rollouts.receive_report(self._clock(), connection.peer, report)
            except MALFORMED_REPORT as error:
                events.event("message_malformed", kind="report", peer=connection.peer, reason=error)

    def _receive_replica_frame(self, connection: PeerConnection, message: Message) -> None:
        self._host.receive(connection.peer, message)

    def _observe(self, records: list[InstanceRecord]) -> None:
        now = self._clock()
        changed = [
            self._registry.observe(now, record) for record in records
        ]  # a list: any() must not stop early
        if any(changed):
            self._publisher.publish_soon()

"""Publishes a controller's state to the proxies and controllers that pull it.

This is the only module that turns the registry of instances, the committed records and the
configuration into responses to pulls. Changes within BATCH_DELAY_S are sent together.
"""

import asyncio
import random
from typing import Any

from umbermoor.gateway.api.decisions import CONFIG_KEY
from umbermoor.gateway.discovery.registry import InstanceRegistry
from umbermoor.gateway.distribution.deltas import DeltaCodec
from umbermoor.gateway.distribution.messages import PullRequest, encode_update
from umbermoor.gateway.distribution.publisher import Publisher, RecordHistory
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.server.clocks import Clock
from umbermoor.gateway.server.peer_transport import PeerConnection, encode_frame
from umbermoor.gateway.server.replica_host import ReplicaHost

BATCH_DELAY_S = 0.01
MAX_PROXIES_NAMED = 6  # proxies named in an update: enough to discover the others through them


class ConfigurationFrames:
    """Caches frames of the newest configuration by the base text of their delta."""

    def __init__(self, codec: DeltaCodec) -> None:
        self._codec = codec
        self._revision = 0
        self._frames: dict[str, bytes] = {}

    def frame(self, revision: int, text: str, base_digest: Any) -> bytes:
        """Return the configuration, as a delta if the base is known here and the delta is small."""
        if self._revision != revision:
            self._revision, self._frames = revision, {}
        if self._codec.texts.get(base_digest) is None:
            base_digest = ""
        frame = self._frames.get(base_digest)
        if frame is None:
            frame = self._frames[base_digest] = encode_frame(self._message(text, base_digest))
        return frame

    def _message(self, text: str, base_digest: str) -> dict[str, Any]:
        delta = self._codec.make_delta(base_digest, text)
        if delta is not None and 2 * len(delta[2]) < len(text):
            return {"kind": "body", "delta": delta}
        return {"kind": "body", "text": text}


class UpdatePublisher:
    """Answers the pulls that one controller receives."""

    def __init__(
        self, registry: InstanceRegistry, host: ReplicaHost, rng: random.Random, clock: Clock
    ) -> None:
        self._registry, self._host, self._rng, self._clock = registry, host, rng, clock
        self.pulls = Publisher()
        self.history = RecordHistory()
        self._frames = ConfigurationFrames(host.channel.codec)
        self._scheduled = False

    @property
    def _replica(self) -> Replica:
        return self._host.replica

    def add_pull(self, connection: PeerConnection, message: dict[str, Any]) -> None:
        """Add a pull, which is answered when there is something new."""
        self.pulls.add_pull(self._clock(), connection, message)
        self.publish_soon()

    def records_committed(self, records: dict[str, Any]) -> None:
        """Record which committed records changed; `records` excludes the configuration."""
        self.history.update(self._replica.version, records)

    def tick(self, now: int) -> None:
        """Schedule responses if a pull has waited for the maximum time."""
        if self.pulls.has_expired(now):
            self.publish_soon()

    def publish_soon(self) -> None:
        """Schedule responses to pulls that lack something.

        The delay of BATCH_DELAY_S batches changes that follow at once.
        """
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_later(BATCH_DELAY_S, self._publish)

    def _publish(self) -> None:
        self._scheduled = False
        replica, registry = self._replica, self._registry
        configuration = replica.committed.get(CONFIG_KEY)
        revision = configuration["revision"] if configuration else 0
        proxies = self._some_proxies()
        due = self.pulls.take_due(
            self._clock(),
            registry.incarnation,
            registry.urgent_sequence,
            replica.version,
            revision,
            self.history.urgent_version,
        )
        for connection, pull in due:
            connection.send(encode_frame(self._update(pull, revision, proxies)))
            if pull.wants_body and revision > pull.revision:
                text = configuration["text"]
                connection.send(self._frames.frame(revision, text, pull.base_digest))

    def _some_proxies(self) -> list[str]:
        members = self._replica.member_names
        callers = [
            connection.peer for connection in self.pulls.waiting if connection.peer not in members
        ]
        if len(callers) <= MAX_PROXIES_NAMED:
            return callers
        return self._rng.sample(callers, MAX_PROXIES_NAMED)

    def _update(self, pull: PullRequest, revision: int, proxies: list[str]) -> dict[str, Any]:
        replica, registry = self._replica, self._registry
        known_sequence = pull.sequence if pull.incarnation == registry.incarnation else -1
        return encode_update(
            incarnation=registry.incarnation,
            sequence=registry.sequence,
            instances=registry.changes_after(known_sequence),
            version=replica.version,
            records=self.history.changes_since(pull.version),
            members=replica.replica_set.members,
            member_set_number=replica.replica_set.number,
            head=self._host.head(),
            confirmed=self._host.is_connected(),
            revision=revision,
            proxies=proxies,
        )

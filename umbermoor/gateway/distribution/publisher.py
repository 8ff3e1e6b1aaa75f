"""A controller's side of the distribution: long-poll pulls, and which of them to answer.

No I/O: a connection is an opaque object of the host. The host calls `Publisher.take_due` when
something has changed.
"""

from collections.abc import Hashable, Mapping
from typing import Any

from umbermoor.gateway.distribution.messages import PullRequest, Version
from umbermoor.gateway.distribution.subscriber import LONG_POLL_TIMEOUT_US


class Publisher:
    """The waiting pulls; a connection has at most one at a time."""

    def __init__(self) -> None:
        # By connection: the time (us) at which to answer at the latest, and the pull.
        self.waiting: dict[Any, tuple[int, PullRequest]] = {}

    def add_pull(self, now: int, connection: Hashable, message: Mapping[str, Any]) -> None:
        """Add a pull; drop it if it is malformed, so that it cannot break the answers to others."""
        pull = PullRequest.decode(message)
        if pull is not None:
            self.waiting[connection] = now + LONG_POLL_TIMEOUT_US, pull

    def drop(self, connection: Hashable) -> None:
        """Remove the pull of a closed connection."""
        self.waiting.pop(connection, None)

    def has_expired(self, now: int) -> bool:
        """Whether any pull has reached its maximum waiting time."""
        return any(now >= answer_at for answer_at, _ in self.waiting.values())

    def take_due(
        self,
        now: int,
        incarnation: int,
        urgent_sequence: int,
        version: Version,
        revision: int,
        urgent_version: Version | None = None,
    ) -> list[tuple[Any, PullRequest]]:
        """Remove and return the pulls to answer now.

        These are the pulls of subscribers that lack an urgent change or request the configuration,
        and those that have waited for LONG_POLL_TIMEOUT_US. For a subscriber whose primary is this
        controller, every change of the records or of the configuration is urgent.

        Args:
            now: The present time, in microseconds.
            incarnation: The incarnation of the controller's instance registry.
            urgent_sequence: The number of the registry's last urgent change.
            version: The version of the replicated records.
            revision: The revision of the configuration.
            urgent_version: The version of the last change of a record other than the configuration;
                all subscribers get such a change immediately. None: every version is urgent.
        """
        urgent_version = version if urgent_version is None else urgent_version
        due = []
        for connection, (answer_at, pull) in list(self.waiting.items()):
            known_sequence = pull.sequence if pull.incarnation == incarnation else -1
            lacks_records = pull.version < urgent_version or (
                pull.primary and (pull.version < version or pull.revision < revision)
            )
            lacks_instances = known_sequence < max(urgent_sequence, 0)
            if now >= answer_at or lacks_instances or lacks_records or pull.wants_body:
                due.append((connection, pull))
                del self.waiting[connection]
        return due


class RecordHistory:
    """The version at which each replicated record last changed, as observed by this controller."""

    def __init__(self) -> None:
        self.urgent_version: Version = (0, 0)  # of the last change of any record
        self._records: dict[str, Any] = {}
        self._changed_at: dict[str, Version] = {}

    def update(self, version: Version, records: dict[str, Any]) -> None:
        """Apply the records as committed at a version."""
        changed = [key for key, record in records.items() if self._records.get(key) != record]
        if changed:
            self.urgent_version = version
            self._changed_at.update(dict.fromkeys(changed, version))
        self._records = records

    def changes_since(self, version: Version) -> dict[str, Any]:
        """Return the records that changed after a version."""
        return {
            key: self._records[key]
            for key, changed_at in self._changed_at.items()
            if changed_at > version and key in self._records
        }

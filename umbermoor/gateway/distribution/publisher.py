"""A controller's side of the distribution: pulls that wait for changes, and what each lacks.

No I/O: a connection is whatever the host passes in. The host calls `Publisher.take_due` when
something changed.
"""

from collections.abc import Hashable, Mapping
from typing import Any

from umbermoor.gateway.distribution.messages import PullRequest, Version
from umbermoor.gateway.distribution.subscriber import LONG_POLL_TIMEOUT_US


class Publisher:
    """The pulls that wait, by connection; a connection has one at a time."""

    def __init__(self) -> None:
        self.waiting: dict[Any, tuple[int, PullRequest]] = {}  # with the time of its answer (us)

    def add_pull(self, now: int, connection: Hashable, message: Mapping[str, Any]) -> None:
        """Notes a pull. A malformed one is dropped, so that it breaks no answers to others."""
        pull = PullRequest.decode(message)
        if pull is not None:
            self.waiting[connection] = now + LONG_POLL_TIMEOUT_US, pull

    def drop(self, connection: Hashable) -> None:
        """Forgets the pull of a connection that closed."""
        self.waiting.pop(connection, None)

    def has_expired(self, now: int) -> bool:
        """Whether a pull has waited as long as it may."""
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
        """Removes and returns the pulls to be answered now: those that lack something urgent, and
        those that waited long.

        Args:
            now: in microseconds.
            incarnation: of the controller's registry of instances.
            urgent_sequence: number of the registry's last urgent change.
            version: of the replicated records.
            revision: of the configuration.
            urgent_version: version of the last change of a record beside the configuration, which
                everybody is told at once; None: each version is urgent.
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
    """At which version each replicated record last changed, as far as this controller saw it."""

    def __init__(self) -> None:
        self.urgent_version: Version = (0, 0)  # of the last change of any of them
        self._records: dict[str, Any] = {}
        self._changed_at: dict[str, Version] = {}

    def update(self, version: Version, records: dict[str, Any]) -> None:
        """Takes the records as they are committed at that version."""
        changed = [key for key, record in records.items() if self._records.get(key) != record]
        if changed:
            self.urgent_version = version
            self._changed_at.update(dict.fromkeys(changed, version))
        self._records = records

    def changes_since(self, version: Version) -> dict[str, Any]:
        """The records that one who holds that version lacks."""
        return {
            key: self._records[key]
            for key, changed_at in self._changed_at.items()
            if changed_at > version and key in self._records
        }

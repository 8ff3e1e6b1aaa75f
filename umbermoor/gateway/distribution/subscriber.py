"""A subscriber's side of the distribution: which controllers to pull from, and the merged state.

No I/O. A subscriber has a pull open at every controller. One of them, its primary, reports a new
configuration immediately; the others report it when the pull has waited for LONG_POLL_TIMEOUT_US,
if the subscriber does not have it by then. All controllers report urgent changes immediately.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple
from zlib import crc32

from umbermoor.gateway.discovery.registry import (
    READY,
    TOMBSTONE_RETENTION_US,
    InstanceRecord,
    merge_records,
)
from umbermoor.gateway.distribution.messages import PullRequest, UpdateMessage, Version

LONG_POLL_TIMEOUT_US = 900_000  # how long a controller keeps a pull open without a change
PULL_TIMEOUT_US = 2_000_000  # a pull without an answer is repeated after this time
RETRY_DELAY_US = 150_000  # from a failed pull to the next one
PULL_INTERVAL_US = 60_000  # from an answer to the next pull, to batch changes
FORGET_AFTER_US = TOMBSTONE_RETENTION_US + 20_000_000  # for instances that are not ready
# After this time without confirmation by a majority, an older replica set is accepted too: the
# system may have been set up anew.
NO_QUORUM_TIMEOUT_US = 10_000_000
BODY_TIMEOUT_US = 700_000  # until the configuration is requested from another controller
NEVER = -(1 << 60)


class Update(NamedTuple):
    """The changes that an answer made to the subscriber's state."""

    instances: list[InstanceRecord]
    records: dict[str, Any]  # the changed records by key
    wants_body: bool  # whether to pull the configuration itself from the sender
    confirmed: bool  # whether the answer proves contact with a majority


class Source:
    """The subscriber's state for one controller."""

    __slots__ = (
        "asked_at",
        "confirmed_at",
        "incarnation",
        "may_be_stale",
        "next_pull_at",
        "offered_revision",
        "sequence",
        "silent",
    )

    def __init__(self) -> None:
        self.asked_at: int | None = None  # when the open pull was sent; None if there is none
        self.confirmed_at = NEVER  # when it last proved contact with a majority
        self.incarnation = self.sequence = 0  # of its registry, as of its last answer
        self.next_pull_at = 0
        self.offered_revision = 0  # of the controller's configuration; 0 while it is silent
        self.silent = False  # the last pull was not answered
        self.may_be_stale = False  # the next answer may be from before this process stalled

    def mark_silent(self, next_pull_at: int) -> None:
        """Record that the open pull was not answered."""
        self.asked_at, self.next_pull_at = None, next_pull_at
        self.offered_revision, self.silent = 0, True


class Subscriber:
    """Pulls updates from every known controller and merges them.

    Attributes:
        own_address: The address of a subscriber that is itself a controller; "" for a proxy.
        knows_members: Whether `members` was received from a controller, and is not the seeds.
        member_set_number: The number of the replica set in `members`.
        sources: The controllers that are pulled from, by address.
        members: The replica set as last received; initially the seeds.
        instances: All instances, by id.
        version: The version of `records`.
        records: The replicated records by key, without the configuration.
        revision: The revision of the configuration that the host has; set by the host.
        newest_revision: The newest revision of a configuration that a controller reported.
        base_digest: The digest of the host's configuration, the base for deltas; set by the host.
        head: The member that orders writes, as last reported.
        salt: Differs between subscribers, so that the primaries are spread evenly over controllers.
    """

    def __init__(self, seeds: Sequence[str], own_address: str = "") -> None:
        """Create a subscriber that starts with the seeds.

        Args:
            seeds: Addresses of controllers.
            own_address: The own address of a controller, which pulls the heartbeats that the other
                controllers received; "" for a proxy.
        """
        self.own_address = own_address
        self.knows_members = False
        self.member_set_number = 0
        self.sources = {seed: Source() for seed in seeds if seed != own_address}
        self.members: tuple[str, ...] = tuple(seeds)
        self._seeds = dict.fromkeys(seeds)
        self._last_answer_at: int | None = None
        self.instances: dict[str, InstanceRecord] = {}
        self._not_ready_since: dict[str, int] = {}
        self.version: Version = (0, 0)
        self.records: dict[str, Any] = {}
        self.revision = 0
        self.newest_revision = 0
        self.base_digest = ""
        self.head = ""
        self.salt = 0
        self._next_body_at = 0

    def due_pulls(self, now: int) -> list[str]:
        """Return the controllers to pull from now."""
        if self._last_answer_at is None:
            self._last_answer_at = now
        elif now - self._last_answer_at > NO_QUORUM_TIMEOUT_US:
            self._add_seed_sources()  # all members may have been replaced during a disconnection
        due = []
        for name, source in self.sources.items():
            if source.asked_at is not None and now - source.asked_at > PULL_TIMEOUT_US:
                source.mark_silent(next_pull_at=now)
            if source.asked_at is None and now >= source.next_pull_at:
                due.append(name)
        return due

    def _add_seed_sources(self) -> None:
        for name in self._seeds:
            if name != self.own_address:
                self.sources.setdefault(name, Source())

    def make_pull(self, now: int, name: str) -> dict[str, Any]:
        """Return the pull to send to a controller, and record it as sent now."""
        source = self.sources[name]
        source.asked_at = now
        # Asking a controller that lacks the new configuration for it would only cost time.
        wants_body = self._wants_body(now, source.offered_revision)
        if wants_body:
            self._next_body_at = now + BODY_TIMEOUT_US
        return PullRequest(
            incarnation=source.incarnation,
            sequence=source.sequence,
            version=self.version,
            revision=self.revision,
            wants_body=wants_body,
            base_digest=self.base_digest,
            primary=name == self._primary(),
        ).encode()

    def _primary(self) -> str:
        """Return the controller that is to report every change immediately.

        Returns "" for a subscriber that is a controller: it gets changes from the replica.
        """
        if self.own_address:
            return ""
        answering = [name for name, source in self.sources.items() if not source.silent]
        return min(answering, key=self._preference, default="")

    def _preference(self, name: str) -> int:
        return crc32(f"{self.salt} {name}".encode())

    def configuration_applied(self, revision: int, base_digest: str) -> None:
        """Record the host's new configuration; a newer one may be requested immediately."""
        self.revision, self.base_digest = max(self.revision, revision), base_digest
        self._next_body_at = 0

    def discard_base(self) -> None:
        """Request the next configuration as a whole, because a delta could not be applied."""
        self.base_digest, self._next_body_at = "", 0

    def pull_failed(self, now: int, name: str) -> None:
        """Record that a pull did not reach its controller, or that its connection broke."""
        if source := self.sources.get(name):
            source.mark_silent(next_pull_at=now + RETRY_DELAY_US)

    def receive_update(self, now: int, name: str, message: dict[str, Any]) -> Update | None:
        """Apply an answer to a pull; return None if it is malformed or from an unknown sender."""
        source = self.sources.get(name)
        if source is None:
            return None
        update = UpdateMessage.decode(message)
        if update is None:
            return None
        confirmed = self._record_answer(now, source, update)
        self._apply_members(now, update, confirmed)
        changed = merge_records(update.instances, self.instances)
        self._track_not_ready(now, changed)
        if confirmed and update.version >= self.version:
            self.head = update.head
        records = self._apply_records(update)
        self.newest_revision = max(self.newest_revision, update.revision)
        # A sender that reported that it is no longer a member has just been removed from `sources`.
        wants_body = name in self.sources and self._wants_body(now, update.revision)
        return Update(changed, records, wants_body, confirmed)

    def _record_answer(self, now: int, source: Source, update: UpdateMessage) -> bool:
        """Record an answer; return whether it proves contact with a majority since its pull."""
        source.asked_at, source.silent = None, False
        source.incarnation, source.sequence = update.incarnation, update.sequence
        source.next_pull_at, source.offered_revision = now + PULL_INTERVAL_US, update.revision
        confirmed = update.confirmed and not source.may_be_stale
        source.may_be_stale = False
        if confirmed:
            source.confirmed_at = now
        self._last_answer_at = now
        return confirmed

    def _apply_members(self, now: int, update: UpdateMessage, confirmed: bool) -> None:
        """Apply the replica set in an update.

        A set with a higher number is valid whoever reports it, even a member that it removes.
        """
        if not update.members:
            return
        quorum_lost = not self.confirmed_since(now - NO_QUORUM_TIMEOUT_US)
        min_number = self.member_set_number + (not confirmed)
        if (confirmed and quorum_lost) or update.member_set_number >= min_number:
            self.member_set_number = update.member_set_number
            self.set_members(update.members)

    def _track_not_ready(self, now: int, changed: list[InstanceRecord]) -> None:
        for record in changed:
            if record.state == READY:
                self._not_ready_since.pop(record.id, None)
            else:
                self._not_ready_since.setdefault(record.id, now)

    def _apply_records(self, update: UpdateMessage) -> dict[str, Any]:
        if update.version <= self.version:
            return {}
        self.version = update.version
        changed = {
            key: value for key, value in update.records.items() if self.records.get(key) != value
        }
        self.records.update(changed)
        return changed

    def _wants_body(self, now: int, offered_revision: int) -> bool:
        """Whether to request the configuration from a controller that has `offered_revision`.

        A controller never requests one, since it has the replica.
        """
        return (
            not self.own_address and offered_revision > self.revision and now >= self._next_body_at
        )

    def mark_stalled(self) -> None:
        """Record that this process was stalled.

        Answers to open pulls may have been received during the stall, so they do not prove present
        contact with a majority.
        """
        for source in self.sources.values():
            source.may_be_stale = source.may_be_stale or source.asked_at is not None

    def add_seed(self, name: str) -> None:
        """Add a seed that was configured later.

        It is pulled from until the members are known, and again when no answer has come for
        NO_QUORUM_TIMEOUT_US.
        """
        self._seeds[name] = None
        if not self.knows_members and name != self.own_address:
            self.sources.setdefault(name, Source())

    def set_members(self, members: Sequence[str]) -> None:
        """Set the members of the replica set, and pull from these only."""
        self.members, self.knows_members = tuple(members), True
        for name in members:
            if name != self.own_address and name not in self.sources:
                self.sources[name] = Source()
        for name in [name for name in self.sources if name not in members]:
            del self.sources[name]

    def confirmed_since(self, when: int) -> bool:
        """Whether a majority of the members has proved contact with a majority since `when`."""
        if not self.knows_members:
            return False
        confirmed = sum(source.confirmed_at >= when for source in self.sources.values())
        confirmed += self.own_address in self.members
        return 2 * confirmed > len(self.members)

    def forget_departed(self, now: int) -> list[str]:
        """Remove the instances that have not been ready for FORGET_AFTER_US, and return their ids.

        That is longer than any controller keeps their records.
        """
        departed = [
            id for id, since in self._not_ready_since.items() if now - since > FORGET_AFTER_US
        ]
        for id in departed:
            del self._not_ready_since[id], self.instances[id]
        return departed

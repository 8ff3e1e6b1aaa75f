"""A subscriber's side of the distribution: whom to pull from, and what the answers add up to.

No I/O. A subscriber pulls from every controller at once. One of them, its primary, tells it of a
new configuration at once; the others do so when its pulls to them have waited for
LONG_POLL_TIMEOUT_US, if it does not know by then. Urgent changes are told by all at once.
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

LONG_POLL_TIMEOUT_US = 900_000  # how long a controller may keep a pull that it has nothing for
PULL_TIMEOUT_US = 2_000_000  # a pull without an answer for so long is made again
RETRY_DELAY_US = 150_000  # after a pull that failed
PULL_INTERVAL_US = 60_000  # from an answer to the next pull, so that changes come together
FORGET_AFTER_US = TOMBSTONE_RETENTION_US + 20_000_000  # an instance not ready for so long
# Without confirmation by a majority for so long, an older replica set is followed too: the system
# may have been set up anew.
NO_QUORUM_TIMEOUT_US = 10_000_000
BODY_TIMEOUT_US = 700_000  # until another controller is asked for a configuration
NEVER = -(1 << 60)


class Update(NamedTuple):
    """What an answer changed."""

    instances: list[InstanceRecord]
    records: dict[str, Any]  # those that changed, by key
    wants_body: bool  # the configuration itself is to be pulled from who sent this
    confirmed: bool  # it is as new as a controller in touch with a majority could tell


class Source:
    """One controller, as a subscriber sees it."""

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
        self.asked_at: int | None = None  # of the pull under way
        self.confirmed_at = NEVER  # when it last proved contact with a majority
        self.incarnation = self.sequence = 0  # of its registry, as far as it was read
        self.next_pull_at = 0
        self.offered_revision = 0  # of the configuration that it holds; 0 while it is silent
        self.silent = False  # its last pull had no answer
        self.may_be_stale = False  # the next answer may be from before this process stalled

    def mark_silent(self, next_pull_at: int) -> None:
        """Notes that the pull under way has no answer."""
        self.asked_at, self.next_pull_at = None, next_pull_at
        self.offered_revision, self.silent = 0, True


class Subscriber:
    """Pulls from every controller that it knows.

    Attributes:
        sources: the controllers that are asked, by address.
        members: the replica set as last told; the seeds at first.
        instances: all instances, by id.
        version: of `records`, the replicated records without the configuration.
        revision: of the configuration that the host holds; the host sets it, and `base_digest`.
        newest_revision: of the newest configuration heard of.
        head: the member that orders writes, as last told.
        salt: differs between subscribers, so that each controller is primary of as many.
    """

    def __init__(self, seeds: Sequence[str], own_address: str = "") -> None:
        """`own_address`: set by a controller, which pulls from the others what heartbeats they
        took."""
        self.own_address = own_address
        self.knows_members = False  # `members` was told, and is not the seeds
        self.member_set_number = 0
        self.sources = {seed: Source() for seed in seeds if seed != own_address}
        self.members: tuple[str, ...] = tuple(seeds)
        self._seeds = dict.fromkeys(seeds)
        self._updated_at: int | None = None
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
        """The controllers to be asked now."""
        if self._updated_at is None:
            self._updated_at = now
        elif now - self._updated_at > NO_QUORUM_TIMEOUT_US:
            self._ask_seeds()  # all members may have been replaced while this was cut off
        due = []
        for name, source in self.sources.items():
            if source.asked_at is not None and now - source.asked_at > PULL_TIMEOUT_US:
                source.mark_silent(next_pull_at=now)
            if source.asked_at is None and now >= source.next_pull_at:
                due.append(name)
        return due

    def _ask_seeds(self) -> None:
        for name in self._seeds:
            if name != self.own_address:
                self.sources.setdefault(name, Source())

    def make_pull(self, now: int, name: str) -> dict[str, Any]:
        """The message to that controller; it counts as asked from now on."""
        source = self.sources[name]
        source.asked_at = now
        # One that does not hold the new configuration would only delay it.
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
        """The controller that tells of every change at once; none for a controller, which learns
        from the replica."""
        if self.own_address:
            return ""
        answering = [name for name, source in self.sources.items() if not source.silent]
        return min(answering, key=self._preference, default="")

    def _preference(self, name: str) -> int:
        return crc32(f"{self.salt} {name}".encode())

    def configuration_applied(self, revision: int, base_digest: str) -> None:
        """The host holds that configuration now; a newer one may be asked for at once."""
        self.revision, self.base_digest = max(self.revision, revision), base_digest
        self._next_body_at = 0

    def discard_base(self) -> None:
        """A delta could not be applied: the next configuration is asked for as a whole."""
        self.base_digest, self._next_body_at = "", 0

    def pull_failed(self, now: int, name: str) -> None:
        """The pull did not reach the controller, or its connection broke."""
        if source := self.sources.get(name):
            source.mark_silent(next_pull_at=now + RETRY_DELAY_US)

    def receive_update(self, now: int, name: str, message: dict[str, Any]) -> Update | None:
        """Takes an answer to a pull; None where it is malformed or of one that was not asked."""
        source = self.sources.get(name)
        if source is None:
            return None
        update = UpdateMessage.decode(message)
        if update is None:
            return None
        confirmed = self._note_answer(now, source, update)
        self._take_members(now, update, confirmed)
        changed = merge_records(update.instances, self.instances)
        self._note_states(now, changed)
        if confirmed and update.version >= self.version:
            self.head = update.head
        records = self._take_records(update)
        self.newest_revision = max(self.newest_revision, update.revision)
        # One that told that it is no member any more has just been dropped.
        wants_body = name in self.sources and self._wants_body(now, update.revision)
        return Update(changed, records, wants_body, confirmed)

    def _note_answer(self, now: int, source: Source, update: UpdateMessage) -> bool:
        """Whether the answer proves contact with a majority after it was asked for."""
        source.asked_at, source.silent = None, False
        source.incarnation, source.sequence = update.incarnation, update.sequence
        source.next_pull_at, source.offered_revision = now + PULL_INTERVAL_US, update.revision
        confirmed = update.confirmed and not source.may_be_stale
        source.may_be_stale = False
        if confirmed:
            source.confirmed_at = now
        self._updated_at = now
        return confirmed

    def _take_members(self, now: int, update: UpdateMessage, confirmed: bool) -> None:
        """A set above the known one is in force whoever tells of it, also one taken out of it."""
        if not update.members:
            return
        lost_quorum = not self.confirmed_since(now - NO_QUORUM_TIMEOUT_US)
        least_number = self.member_set_number + (not confirmed)
        if (confirmed and lost_quorum) or update.member_set_number >= least_number:
            self.member_set_number = update.member_set_number
            self.set_members(update.members)

    def _note_states(self, now: int, changed: list[InstanceRecord]) -> None:
        for record in changed:
            if record.state == READY:
                self._not_ready_since.pop(record.id, None)
            else:
                self._not_ready_since.setdefault(record.id, now)

    def _take_records(self, update: UpdateMessage) -> dict[str, Any]:
        if update.version <= self.version:
            return {}
        self.version = update.version
        changed = {
            key: value for key, value in update.records.items() if self.records.get(key) != value
        }
        self.records.update(changed)
        return changed

    def _wants_body(self, now: int, offered_revision: int) -> bool:
        """Whether one that holds that revision is to be asked for it; a controller asks for none,
        since it has the replica."""
        return (
            not self.own_address and offered_revision > self.revision and now >= self._next_body_at
        )

    def mark_stalled(self) -> None:
        """This process did not run for a while: an answer that it finds now may have waited, and
        proves no contact."""
        for source in self.sources.values():
            source.may_be_stale = source.may_be_stale or source.asked_at is not None

    def add_seed(self, name: str) -> None:
        """A seed that was configured later; it is asked until the members are known, and when all
        of them are silent."""
        self._seeds[name] = None
        if not self.knows_members and name != self.own_address:
            self.sources.setdefault(name, Source())

    def set_members(self, members: Sequence[str]) -> None:
        """Who the members of the replica set are; nobody else is asked."""
        self.members, self.knows_members = tuple(members), True
        for name in members:
            if name != self.own_address and name not in self.sources:
                self.sources[name] = Source()
        for name in [name for name in self.sources if name not in members]:
            del self.sources[name]

    def confirmed_since(self, when: int) -> bool:
        """Whether a majority of the members proved contact with a majority since then."""
        if not self.knows_members:
            return False
        confirmed = sum(source.confirmed_at >= when for source in self.sources.values())
        confirmed += self.own_address in self.members
        return 2 * confirmed > len(self.members)

    def forget_departed(self, now: int) -> list[str]:
        """Drops the instances that have not been ready for longer than any controller remembers
        them, and returns their ids."""
        departed = [
            id for id, since in self._not_ready_since.items() if now - since > FORGET_AFTER_US
        ]
        for id in departed:
            del self._not_ready_since[id], self.instances[id]
        return departed

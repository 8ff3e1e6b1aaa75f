"""One replica: takes messages, the time and results of the disk, and returns effects.

It connects the state machines of this package and contains none of their logic. The diagram in
docs/ARCHITECTURE.md shows which of them owns which state. Errors: a malformed message, or one from
a replica outside of the set, is dropped. A call that cannot be answered in time is answered
UNAVAILABLE, and may still take effect. Times are whole microseconds of a clock that never goes back
within an incarnation.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from umbermoor.gateway.effects import Effect, JsonValue
from umbermoor.gateway.replication import codec, health, messages
from umbermoor.gateway.replication.acceptor import Acceptor
from umbermoor.gateway.replication.attempt import Proposals
from umbermoor.gateway.replication.bootstrap import Bootstrap
from umbermoor.gateway.replication.chain import Chain
from umbermoor.gateway.replication.context import Context, Identity
from umbermoor.gateway.replication.disk_care import probe_disk, repair_records
from umbermoor.gateway.replication.head import Decider, Head
from umbermoor.gateway.replication.heartbeats import Heartbeats
from umbermoor.gateway.replication.learners import ready_learners
from umbermoor.gateway.replication.leases import CLOCK_GAP
from umbermoor.gateway.replication.messages import Message
from umbermoor.gateway.replication.peers import Exclusions
from umbermoor.gateway.replication.reads import Reads
from umbermoor.gateway.replication.reconfiguration import Reconfiguration
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.replication.requests import Requests
from umbermoor.gateway.replication.state_transfer import StateTransfer
from umbermoor.gateway.replication.status import ReplicaStatus, status_of
from umbermoor.gateway.replication.stored_records import load
from umbermoor.gateway.replication.succession import has_ready_successor
from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.replication.view_activation import ViewActivation
from umbermoor.gateway.replication.view_change import ViewChange
from umbermoor.gateway.replication.view_triggers import ViewTriggers

# Messages accepted from any sender, as a replica may not know the members yet.
ACCEPTED_FROM_ANYONE = (messages.Heartbeat, messages.FoundingRequest, messages.FoundingSynced)
# Messages that members also accept from learners.
ACCEPTED_FROM_LEARNERS = (messages.PromiseQuery, messages.Fetch)


class Replica:
    """A state machine without I/O; every input returns its effects, in order.

    Args:
        name: the IP address of this replica.
        seeds: IP addresses, in the same order on all replicas; the first one founds the system.
        tolerated_losses: the number of disks that may be lost at once.
        cold_start: whether an empty disk belongs to a new system rather than being a lost one.
        stored: the result of `Store.load`.
        decide: decides, at the head, the outcome of a put.
        rng: the source of delays, nonces and the incarnation.
        zone: the zone that this replica runs in.
        quorum_member: set by the platform; this replica may replace a departed member.

    Raises:
        InconsistentStateError: the stored records contradict each other.
    """

    chain_class: type[Chain] = Chain
    head_class: type[Head] = Head
    reads_class: type[Reads] = Reads
    view_change_class: type[ViewChange] = ViewChange

    def __init__(
        self,
        name: str,
        seeds: Sequence[str],
        tolerated_losses: int,
        cold_start: bool,
        stored: Mapping[str, bytes],
        decide: Decider,
        rng: random.Random,
        zone: str = "",
        quorum_member: bool = False,
    ) -> None:
        incarnation = rng.getrandbits(48)
        identity = Identity(name, tuple(seeds), tolerated_losses, zone, quorum_member, incarnation)
        context = self.context = Context(identity, load(stored), cold_start, rng)
        exclusions, proposals = Exclusions(), Proposals()
        activation = ViewActivation(context)
        self.reads = self.reads_class(context)
        self.chain = self.chain_class(context, activation)
        self.head = self.head_class(context, self.chain, self.reads, decide)
        self.transfer = StateTransfer(context, self.chain, activation)
        self.requests = Requests(context, self.transfer, activation)
        self.heartbeats = Heartbeats(context, self.chain, self.transfer, activation, exclusions)
        triggers = ViewTriggers(context, self.chain, exclusions)
        self.acceptor = Acceptor(
            context, self.chain, self.head, self.reads, self.transfer, triggers, proposals
        )
        self.view_change = self.view_change_class(
            context, self.acceptor, self.heartbeats, triggers, activation, proposals, exclusions
        )
        self.bootstrap = Bootstrap(context, self.heartbeats, self.view_change)
        self.reconfiguration = Reconfiguration(context, self.view_change, self.heartbeats)
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[[str, Any], None]]:
        return {
            messages.Heartbeat: self.heartbeats.on_heartbeat,
            messages.FoundingRequest: self.bootstrap.on_found,
            messages.FoundingSynced: self.bootstrap.on_settled,
            messages.PromiseQuery: self.transfer.on_promise_query,
            messages.PromiseQueryReply: self.transfer.on_promise_reply,
            messages.Prepare: self.acceptor.on_prepare,
            messages.Promised: self.view_change.on_promised,
            messages.Refused: self.view_change.on_refused,
            messages.NewView: self.acceptor.on_new_view,
            messages.Accepted: self.view_change.on_accepted,
            messages.Append: self.chain.on_append,
            messages.Acknowledge: self.chain.on_acknowledge,
            messages.PutRequest: self.head.on_put,
            messages.PutDone: self.requests.on_done,
            messages.PutRefused: self.requests.on_refused,
            messages.ReadRequest: self.reads.on_read,
            messages.ReadReply: self.requests.on_read_reply,
            messages.Confirm: self.reads.on_confirm,
            messages.Confirmed: self.reads.on_confirmed,
            messages.Fetch: self.transfer.on_fetch,
            messages.Fetched: self.transfer.on_fetched,
        }

    # inputs

    def receive(self, now: int, sender: str, message: object) -> list[Effect]:
        """Handle a JSON value from another replica; the connection has authenticated `sender`."""
        self._advance(now)
        decoded = codec.decode(message) if sender != self.name else None
        if decoded is not None:
            self._handle(sender, decoded)
        return self._effects()

    def tick(self, now: int) -> list[Effect]:
        """Handle the passing of time. The host calls this about every 50 ms."""
        self._advance(now)
        self.heartbeats.tick()
        if self.context.sets.names:
            self._tick_member()
        else:
            self.bootstrap.found_if_ready()
        self.bootstrap.tick()
        self.requests.send_due()
        return self._effects()

    def _tick_member(self) -> None:
        if self.context.lifecycle.disk_lost:
            self.transfer.ask_promises()
        self.view_change.advance_attempt()
        self.view_change.propose_if_due()
        self.chain.retry()
        self.reads.retry()
        self.transfer.catch_up()
        probe_disk(self.context)
        self.reconfiguration.tick()

    def written(self, now: int, token: int) -> list[Effect]:
        """Handle the sync of the Write with that token."""
        self._advance(now)
        for callback in self.context.disk.written(self.context.now, token):
            callback()
        return self._effects()

    def write_failed(self, now: int, token: int) -> list[Effect]:
        """Handle a failed Write; no part of it was written."""
        self._advance(now)
        self.context.disk.write_failed(self.context.now, token)
        return self._effects()

    def put(self, now: int, request_id: int, key: str, value: JsonValue) -> list[Effect]:
        """Have the head decide on putting `value` under `key`.

        The call is answered with a Decision once the state that the decision rests on is committed
        and proven to be in force. The status is OK if the value was accepted or changes nothing,
        CONFLICT or NOT_FOUND if the head decided so, UNAVAILABLE if the outcome cannot be
        determined, and INVALID if the key is too long or the value is not a JSON value.
        """
        self._advance(now)
        self.requests.put(request_id, key, value)
        return self._effects()

    def read(self, now: int, request_id: int) -> list[Effect]:
        """Read the whole map, in a state no older than any answer given before this call.

        The call is answered UNAVAILABLE if that cannot be guaranteed.
        """
        self._advance(now)
        self.requests.read(request_id)
        return self._effects()

    def change(
        self, now: int, request_id: int, add: str = "", remove: str = "", dry_run: bool = False
    ) -> list[Effect]:
        """Change the replica set: add a member, remove one, or replace one by another.

        The call is answered OK with the resulting plan once the new set is in force (with
        `dry_run`, at once). It is answered CONFLICT with `why` if the change is refused, and
        UNAVAILABLE if the outcome cannot be determined; the change may still take effect then.
        """
        self._advance(now)
        self.reconfiguration.change(request_id, add, remove, dry_run)
        return self._effects()

    def hand_over(self, now: int) -> list[Effect]:
        """Begin a graceful end of this process, so that the chain continues without it.

        The replica set stays as it is. `handed_over` is true once the process may end.
        """
        self._advance(now)
        self.heartbeats.leave()
        return self._effects()

    def repair(self, now: int, records: Sequence[str]) -> list[Effect] | None:
        """Write the named records again, with the values held in memory.

        Returns None if one of them is not a value of the map.
        """
        self._advance(now)
        return self._effects() if repair_records(self.context, records) else None

    def _advance(self, now: int) -> None:
        if self.context.advance(now) > CLOCK_GAP:  # the process was frozen or got no CPU time
            self.context.lease_proofs.void()
            self.reads.void()

    def _effects(self) -> list[Effect]:
        outbox = self.context.outbox
        while message := outbox.next_local():
            self._handle(self.name, message)
        if write := self.context.disk.start(self.context.now):
            outbox.add(write)
        return outbox.take()

    def _handle(self, sender: str, message: Message) -> None:
        if self._accepts(sender, message):
            self._handlers[type(message)](sender, message)

    def _accepts(self, sender: str, message: Message) -> bool:
        if isinstance(message, ACCEPTED_FROM_ANYONE) or self.accepts_from(sender):
            return True
        is_learner = self.context.learners.get(sender) is not None
        return isinstance(message, ACCEPTED_FROM_LEARNERS) and is_learner

    # state for the host

    @property
    def name(self) -> str:
        """The IP address of this replica."""
        return self.context.name

    @property
    def committed(self) -> dict[str, JsonValue]:
        """The map as known to be committed."""
        return self.context.map.committed

    @property
    def version(self) -> Version:
        """The version of `committed`."""
        return self.context.map.version

    @property
    def replica_set(self) -> ReplicaSet:
        """The replica set in force, as far as is known here."""
        return self.context.sets.current

    @property
    def member_names(self) -> tuple[str, ...]:
        """The members of that set, or of both sets during a change, sorted."""
        return self.context.sets.names

    @property
    def is_member(self) -> bool:
        """Whether this replica is a member, and not a learner, a stranger or a removed member."""
        return self.context.is_member

    @property
    def degraded(self) -> bool:
        """Whether fewer losses can be tolerated now than configured."""
        return health.is_degraded(self.context)

    @property
    def connected(self) -> bool:
        """Whether a quorum proved contact within a lease, as of the last input."""
        return health.is_connected(self.context)

    def connected_at(self, now: int) -> bool:
        """Return `connected` as of `now`.

        The given time may be the first sign that the process was frozen.
        """
        self._advance(now)
        return self.connected

    @property
    def handed_over(self) -> bool:
        """Whether this process was told to end, and may end without blocking anything.

        A member whose successor is ready waits until it has been succeeded.
        """
        if not self.heartbeats.leaving or has_ready_successor(self.context):
            return False
        return health.is_dispensable(self.context)

    @property
    def head_decides(self) -> bool:
        """Whether the head decides conditional writes; a head of an earlier revision does not."""
        return health.head_decides(self.context)

    def accepts_from(self, sender: str) -> bool:
        """Whether messages of the chain protocol are accepted from that replica."""
        context = self.context
        if sender in context.sets.names or sender in context.views.accepted.chain:
            return True
        attempt = self.view_change.attempt
        is_in_attempt = attempt is not None and sender in attempt.replica_set.names
        return is_in_attempt or sender == context.name

    def learners(self) -> list[str]:
        """Return the machines that could become members now, sorted."""
        return ready_learners(self.context)

    def stored(self, key: str) -> JsonValue:
        """Return the value written here under that key, committed or not, or None."""
        return self.context.map.values.get(key)

    @property
    def head_name(self) -> str:
        """The head of the newest view known to be active; "" if there is none."""
        return next(iter(self.context.views.active.chain), "")

    def status(self) -> ReplicaStatus:
        """Return the state of this replica for operators."""
        return status_of(self.context, self.chain.uncommitted)

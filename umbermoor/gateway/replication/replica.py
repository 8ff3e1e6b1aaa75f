"""One replica: takes messages, time and what the disk tells, and returns effects.

It joins the state machines of this package, and holds no logic of theirs; who owns which state is
drawn in docs/ARCHITECTURE.md. Errors: a message of another shape or from outside is dropped; a call
that cannot be answered in time is answered UNAVAILABLE, and may be done nevertheless. Times are
whole microseconds of a clock that never goes back within an incarnation.
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

# Before they know who the members are, replicas hear these from anybody,
FROM_ANYBODY = (messages.Heartbeat, messages.FoundingRequest, messages.FoundingSynced)
# and members these from learners.
FROM_LEARNERS = (messages.PromiseQuery, messages.Fetch)


class Replica:
    """A state machine without I/O; every input returns the effects that it has, in order.

    Args:
        name: its IP address.
        seeds: IP addresses, the same in the same order everywhere; the first of them founds.
        tolerated_losses: disks that may be lost at once.
        cold_start: an empty disk is a new system's, not a lost one.
        stored: what `Store.load` gave.
        decide: decides at the head what a put comes to.
        rng: for delays, nonces and the incarnation.
        zone: where it runs.
        quorum_member: it counts, by the platform's word: as a newcomer it may succeed a member.

    Raises:
        InconsistentStateError: what is stored contradicts itself.
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
        """Another replica sent this JSON value; `sender` is as its connection proves it."""
        self._advance(now)
        decoded = codec.decode(message) if sender != self.name else None
        if decoded is not None:
            self._handle(sender, decoded)
        return self._effects()

    def tick(self, now: int) -> list[Effect]:
        """Time passes; call it every 50 ms or so."""
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
        self.view_change.pursue()
        self.view_change.consider()
        self.chain.retry()
        self.reads.retry()
        self.transfer.catch_up()
        probe_disk(self.context)
        self.reconfiguration.tick()

    def written(self, now: int, token: int) -> list[Effect]:
        """The Write of that token is synced."""
        self._advance(now)
        for callback in self.context.disk.written(self.context.now, token):
            callback()
        return self._effects()

    def write_failed(self, now: int, token: int) -> list[Effect]:
        """The disk refused the Write of that token, as a whole."""
        self._advance(now)
        self.context.disk.write_failed(self.context.now, token)
        return self._effects()

    def put(self, now: int, request_id: int, key: str, value: JsonValue) -> list[Effect]:
        """Have the head decide what putting `value` under `key` comes to.

        Answered with a Decision once what that stands upon is committed, and proven to be in force:
        OK where it was accepted, or changes nothing; CONFLICT, NOT_FOUND; UNAVAILABLE if it cannot
        be told; INVALID if the key is too long, or the value is not JSON's.
        """
        self._advance(now)
        self.requests.put(request_id, key, value)
        return self._effects()

    def read(self, now: int, request_id: int) -> list[Effect]:
        """The whole map, no older than anything answered before this call.

        UNAVAILABLE if that cannot be told.
        """
        self._advance(now)
        self.requests.read(request_id)
        return self._effects()

    def change(
        self, now: int, request_id: int, add: str = "", remove: str = "", dry_run: bool = False
    ) -> list[Effect]:
        """Have the replica set become another: one more, one fewer, or one in another's place.

        Answered OK with what it leaves once the new set is in force (`dry_run`: at once); CONFLICT
        with `why` where it is refused; UNAVAILABLE where that cannot be told, and it may come to be
        nevertheless.
        """
        self._advance(now)
        self.reconfiguration.change(request_id, add, remove, dry_run)
        return self._effects()

    def hand_over(self, now: int) -> list[Effect]:
        """This process is about to end, in order: the chain is to go on without it.

        The replica set stays as it is. `handed_over` tells when it may end.
        """
        self._advance(now)
        self.heartbeats.leave()
        return self._effects()

    def repair(self, now: int, records: Sequence[str]) -> list[Effect] | None:
        """Write these records again, as they are held here.

        None if one of them is no value of the map.
        """
        self._advance(now)
        return self._effects() if repair_records(self.context, records) else None

    def _advance(self, now: int) -> None:
        if self.context.advance(now) > CLOCK_GAP:  # frozen, or starved of its processor
            self.context.contact.void()
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
        if isinstance(message, FROM_ANYBODY) or self.accepts_from(sender):
            return True
        is_learner = self.context.learners.get(sender) is not None
        return isinstance(message, FROM_LEARNERS) and is_learner

    # what is known

    @property
    def name(self) -> str:
        """Its IP address."""
        return self.context.name

    @property
    def committed(self) -> dict[str, JsonValue]:
        """The map as known to be committed."""
        return self.context.map.committed

    @property
    def version(self) -> Version:
        """Of `committed`."""
        return self.context.map.version

    @property
    def replica_set(self) -> ReplicaSet:
        """Who counts, as far as is known here."""
        return self.context.sets.current

    @property
    def member_names(self) -> tuple[str, ...]:
        """All of that set, or of both sets of a change, sorted."""
        return self.context.sets.names

    @property
    def is_member(self) -> bool:
        """Whether it is a member: no learner, no stranger, nor one that was taken out."""
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
        """The same as of now: what the clock shows may be the first sign of a freeze."""
        self._advance(now)
        return self.connected

    @property
    def handed_over(self) -> bool:
        """Whether it was told to end, and may end without holding up anything.

        A member whose successor stands ready waits to be succeeded.
        """
        if not self.heartbeats.leaving or has_ready_successor(self.context):
            return False
        return health.is_dispensable(self.context)

    @property
    def head_decides(self) -> bool:
        """Whether the head decides conditional writes; one of an earlier revision does not."""
        return health.head_decides(self.context)

    def accepts_from(self, sender: str) -> bool:
        """Whether what that one says of the chain is taken at all."""
        context = self.context
        if sender in context.sets.names or sender in context.views.accepted.chain:
            return True
        attempt = self.view_change.attempt
        is_asked = attempt is not None and sender in attempt.replica_set.names
        return is_asked or sender == context.name

    def learners(self) -> list[str]:
        """Machines that could be made members now, sorted."""
        return ready_learners(self.context)

    def stored(self, key: str) -> JsonValue:
        """What is written under that key here, committed or not; None if nothing is."""
        return self.context.map.values.get(key)

    @property
    def head_name(self) -> str:
        """The head of the newest view known to be active; "" if none is."""
        return next(iter(self.context.views.active.chain), "")

    def status(self) -> ReplicaStatus:
        """Where this replica stands, for operators."""
        return status_of(self.context, self.chain.uncommitted)

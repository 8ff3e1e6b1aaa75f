"""The messages between replicas: one immutable type a kind. `codec` holds their wire format.

They are named tuples, as these are made and read at half the cost of frozen dataclasses.

Epochs and sequence numbers are whole numbers below 2**62, names are IP addresses, times are
microseconds. A call is named by its caller's name, incarnation and number there.
"""

from collections.abc import Mapping
from typing import NamedTuple

from umbermoor.gateway.effects import JsonValue, Outcome
from umbermoor.gateway.replication.replica_set import EpochSet, ReplicaSet
from umbermoor.gateway.replication.view import Version, View


class CallId(NamedTuple):
    """A call, as the replica that its client asked names it."""

    origin: str
    incarnation: int  # of that replica's process
    number: int  # rises within an incarnation


class Entry(NamedTuple):
    """A write on its way along the chain."""

    key: str
    value: JsonValue  # None removes the key
    call: CallId


class HeartbeatId(NamedTuple):
    """One heartbeat of a replica's process."""

    incarnation: int
    sequence: int


class Heartbeat(NamedTuple):
    """What a replica tells of itself; optional fields are None where they are not told."""

    incarnation: int  # drawn when the process started
    sequence: int  # rises within an incarnation
    cold_start: bool  # of a new system, and holds nothing
    disk_lost: bool
    ready_to_fill: bool  # its disk was lost, and it may be given the state
    disk_healthy: bool  # its disk takes writes
    members: tuple[str, ...]  # of the newest set known to be in force; () if none is
    promise: int  # the highest epoch promised
    joined: int  # epoch of the view that was accepted in this incarnation
    serving: bool  # that view is active and nothing later is promised
    view: View | None  # the newest one known to be active
    committed: Version
    hears: tuple[str, ...]
    set_number: int | None  # of the newest set known to be in force; None: an earlier revision
    leaving: bool = False  # it is about to end, in order
    zone: str | None = None  # told now and then
    quorum_member: bool | None = None  # of a learner: it counts, by the platform's word
    age: int | None = None  # of a learner: microseconds since its start
    echo: HeartbeatId | None = None  # the last heartbeat of the addressed that came here
    system: int | None = None  # 0: none yet; not told to a member that has its disk
    proven_set: EpochSet | None = None  # for one that does not know it


class FoundingRequest(NamedTuple):
    """The founder asks a cold replica to record the members of the new system."""

    members: tuple[str, ...]
    incarnation: int  # of the addressed
    system: int  # 0: derived from the names, by an earlier revision


class FoundingSynced(NamedTuple):
    """The founding is on this replica's disk."""

    members: tuple[str, ...]
    promise: int


class PromiseQuery(NamedTuple):
    """One whose disk was lost asks what was promised."""

    nonce: int


class PromiseQueryReply(NamedTuple):
    """The highest epoch that this replica has promised."""

    nonce: int
    promise: int


class Prepare(NamedTuple):
    """Phase 1a of Paxos: promise to accept no view below this epoch."""

    epoch: int
    version: Version  # that the proposer holds


class Promised(NamedTuple):
    """Phase 1b: the promise, synced, with what the proposer may lack."""

    epoch: int
    disk_lost: bool
    version: Version
    state: Mapping[str, JsonValue] | None  # None: no newer than the proposer's
    hears: tuple[str, ...]
    accepted_set: ReplicaSet | None = None  # of the view of `version`'s epoch
    proven_set: EpochSet | None = None


class Refused(NamedTuple):
    """A higher epoch was promised."""

    epoch: int
    promise: int


class NewView(NamedTuple):
    """Phase 2a: accept this view."""

    epoch: int
    chain: tuple[str, ...]
    members: tuple[str, ...]  # of both sets
    replica_set: ReplicaSet | None  # None: of an earlier revision, as known here
    base_version: Version
    state: Mapping[str, JsonValue] | None  # None: the addressed holds it at `base_version`


class Accepted(NamedTuple):
    """Phase 2b: the view is on this replica's disk."""

    epoch: int


class Append(NamedTuple):
    """Writes for the successor in the chain."""

    epoch: int
    first: int  # sequence number of the first entry
    entries: tuple[Entry, ...]
    committed: int  # sequence number


class Acknowledge(NamedTuple):
    """Up to where writes are synced here, and known to be committed; for the predecessor."""

    epoch: int
    synced: int
    committed: int


class PutRequest(NamedTuple):
    """A conditional write, for the head to decide."""

    epoch: int
    incarnation: int
    number: int
    key: str
    value: JsonValue


class PutDone(NamedTuple):
    """What a conditional write came to."""

    incarnation: int
    number: int
    outcome: Outcome
    reason: str


class PutRefused(NamedTuple):
    """The head has not taken this write and will not in that epoch: the next head may."""

    epoch: int
    incarnation: int
    number: int


class ReadRequest(NamedTuple):
    """A read, for the tail."""

    epoch: int
    incarnation: int
    number: int
    version: Version  # that the caller holds


class ReadReply(NamedTuple):
    """The committed map."""

    incarnation: int
    number: int
    version: Version
    state: Mapping[str, JsonValue] | None  # None: the caller holds that version


class Confirm(NamedTuple):
    """A read round: does the addressed still promise no later epoch?"""

    epoch: int
    nonce: int


class Confirmed(NamedTuple):
    """It does not."""

    epoch: int
    nonce: int


class Fetch(NamedTuple):
    """One outside the chain asks for what is committed beyond its version."""

    version: Version


class Fetched(NamedTuple):
    """The committed map of that version."""

    version: Version
    state: Mapping[str, JsonValue]


Message = (
    Heartbeat
    | FoundingRequest
    | FoundingSynced
    | PromiseQuery
    | PromiseQueryReply
    | Prepare
    | Promised
    | Refused
    | NewView
    | Accepted
    | Append
    | Acknowledge
    | PutRequest
    | PutDone
    | PutRefused
    | ReadRequest
    | ReadReply
    | Confirm
    | Confirmed
    | Fetch
    | Fetched
)

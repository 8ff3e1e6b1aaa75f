"""Messages between replicas: one immutable type for each kind. `codec` holds their wire format.

The types are named tuples, which are created and read at half the cost of frozen dataclasses.

Epochs and sequence numbers are integers from 0 to below 2**62, names of replicas are IP addresses,
and times are microseconds. A call is identified by its caller's name, the incarnation of that
process, and the call's number within the incarnation.
"""

from collections.abc import Mapping
from typing import NamedTuple

from umbermoor.gateway.effects import JsonValue, Outcome
from umbermoor.gateway.replication.replica_set import EpochSet, ReplicaSet
from umbermoor.gateway.replication.view import Version, View


class CallId(NamedTuple):
    """Identifies a call by the replica whose host made it."""

    origin: str  # name of that replica
    incarnation: int  # of that replica's process
    number: int  # increases within an incarnation


class Entry(NamedTuple):
    """A write that is replicated along the chain."""

    key: str
    value: JsonValue  # None removes the key
    call: CallId


class HeartbeatId(NamedTuple):
    """Identifies one heartbeat of a replica's process."""

    incarnation: int
    sequence: int


class Heartbeat(NamedTuple):
    """The sender's report of its own state; an optional field is None where it is not sent."""

    incarnation: int  # random number drawn when the process started
    sequence: int  # increases within an incarnation
    cold_start: bool  # the sender holds nothing and may take part in founding a new system
    disk_lost: bool
    ready_to_fill: bool  # the sender lost its disk and may now be given the state
    disk_healthy: bool  # the sender's disk takes writes, and is not slow
    members: tuple[str, ...]  # of the newest replica set known to be in force; () if none is known
    promise: int  # the highest epoch promised
    joined: int  # epoch of the view that was accepted in this incarnation
    serving: bool  # that view is active and no later epoch is promised
    view: View | None  # the newest view known to be active
    committed: Version
    hears: tuple[str, ...]  # replicas from which the sender has heard lately
    set_number: int | None  # of the newest set known in force; None from an earlier revision
    leaving: bool = False  # the sender is about to shut down in an orderly way
    zone: str | None = None  # not sent in every heartbeat
    quorum_member: bool | None = None  # of a learner: the platform lets it succeed a member
    age: int | None = None  # of a learner: microseconds since its start
    echo: HeartbeatId | None = None  # the receiver's last heartbeat that reached the sender
    system: int | None = None  # 0: none yet; not sent to a member that has its disk
    proven_set: EpochSet | None = None  # sent to a receiver that does not know it


class FoundingRequest(NamedTuple):
    """The founder's request to a cold replica to record the members of the new system."""

    members: tuple[str, ...]
    incarnation: int  # of the receiver's process
    system: int  # 0 from an earlier revision, which derives the number from the names


class FoundingSynced(NamedTuple):
    """The sender has synced the members of the new system to its disk."""

    members: tuple[str, ...]
    promise: int


class PromiseQuery(NamedTuple):
    """A replica whose disk was lost asks which epoch the receiver has promised."""

    nonce: int


class PromiseQueryReply(NamedTuple):
    """The highest epoch that the sender has promised."""

    nonce: int
    promise: int


class Prepare(NamedTuple):
    """Phase 1a of Paxos: request to promise to accept no view below this epoch."""

    epoch: int
    version: Version  # held by the proposer


class Promised(NamedTuple):
    """Phase 1b: the synced promise, with the state that the proposer may lack."""

    epoch: int
    disk_lost: bool
    version: Version
    state: Mapping[str, JsonValue] | None  # None: not newer than the proposer's
    hears: tuple[str, ...]
    accepted_set: ReplicaSet | None = None  # set of the view that has the epoch of `version`
    proven_set: EpochSet | None = None


class Refused(NamedTuple):
    """Refusal of a `Prepare` or `NewView`, as the sender has promised a higher epoch."""

    epoch: int
    promise: int


class NewView(NamedTuple):
    """Phase 2a: request to accept this view."""

    epoch: int
    chain: tuple[str, ...]
    members: tuple[str, ...]  # of both the old and the new set of a change
    replica_set: ReplicaSet | None  # None from an earlier revision: the receiver's current set
    base_version: Version
    state: Mapping[str, JsonValue] | None  # None: the receiver holds it at `base_version`


class Accepted(NamedTuple):
    """Phase 2b: the sender has synced the view to its disk."""

    epoch: int


class Append(NamedTuple):
    """Writes forwarded to the successor in the chain."""

    epoch: int
    first: int  # sequence number of the first entry
    entries: tuple[Entry, ...]
    committed: int  # sequence number of the last write known to be committed


class Acknowledge(NamedTuple):
    """Report to the predecessor in the chain of what is synced and known to be committed."""

    epoch: int
    synced: int  # sequence number of the last write synced by the sender
    committed: int  # sequence number of the last write known to be committed


class PutRequest(NamedTuple):
    """A conditional write, sent to the head, which decides it."""

    epoch: int
    incarnation: int
    number: int
    key: str
    value: JsonValue


class PutDone(NamedTuple):
    """The outcome of a conditional write."""

    incarnation: int
    number: int
    outcome: Outcome
    reason: str


class PutRefused(NamedTuple):
    """The head has not applied this write and never will in that epoch, so the next head may."""

    epoch: int
    incarnation: int
    number: int


class ReadRequest(NamedTuple):
    """A read, sent to the tail."""

    epoch: int
    incarnation: int
    number: int
    version: Version  # held by the caller


class ReadReply(NamedTuple):
    """The committed map, as the answer to a read."""

    incarnation: int
    number: int
    version: Version
    state: Mapping[str, JsonValue] | None  # None: the caller holds that version


class Confirm(NamedTuple):
    """Question of a quorum round: has the receiver promised no later epoch?"""

    epoch: int
    nonce: int


class Confirmed(NamedTuple):
    """Answer to `Confirm`: the sender has promised no later epoch."""

    epoch: int
    nonce: int


class Fetch(NamedTuple):
    """A replica outside the chain asks for the committed map, if newer than its version."""

    version: Version


class Fetched(NamedTuple):
    """The committed map of the given version, as the answer to `Fetch`."""

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

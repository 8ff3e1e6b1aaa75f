"""Messages between the proxies' failure detectors; `codec` has their bytes."""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple


class Incarnation(NamedTuple):
    """SWIM's incarnation number of a proxy; the higher one is the later.

    Only the proxy itself raises it: `generation` when its process starts (the wall time in
    microseconds), `number` when it refutes a suspicion within that process.
    """

    generation: int
    number: int


class MessageType(IntEnum):
    """What a message is for. The values are those on the wire."""

    PING = 1
    """Asks for an ACK."""
    SYNC_PING = 2
    """Asks for an ACK that is filled up with members that its sender knows."""
    ACK = 3
    """Answers a PING or SYNC_PING."""
    PING_REQUEST = 4
    """Asks the receiver to ping the subject on the sender's behalf."""
    PING_REQUEST_RECEIVED = 5
    """Answers a PING_REQUEST at once; says nothing of the subject."""
    INDIRECT_ACK = 6
    """The subject has answered the ping that was asked for."""
    GOSSIP = 7
    """Carries updates alone."""

    @property
    def is_ping(self) -> bool:
        """Whether an ACK is asked for."""
        return self in (MessageType.PING, MessageType.SYNC_PING)


class MemberState(IntEnum):
    """What an update says of a proxy. The values are those on the wire."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class MemberUpdate(NamedTuple):
    """The state of one proxy at one incarnation."""

    state: MemberState
    address: str
    incarnation: Incarnation


class Message(NamedTuple):
    """One datagram between two proxies."""

    type: MessageType
    sender: str
    """The sender's IPv4 address."""
    incarnation: Incarnation
    """The sender's own."""
    sequence_number: int
    """Chosen by who asks, repeated by who answers; 0 where neither is so."""
    subject: str
    """The third proxy that a PING_REQUEST or INDIRECT_ACK is about; else the sender."""
    updates: Sequence[MemberUpdate] = ()


class Datagram(NamedTuple):
    """An encoded message, and the IPv4 address to send it to."""

    address: str
    data: bytes

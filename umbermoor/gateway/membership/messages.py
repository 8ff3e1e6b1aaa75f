"""Messages between the proxies' failure detectors; `codec` encodes them."""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple


class Incarnation(NamedTuple):
    """SWIM's incarnation number of a proxy; a later incarnation compares greater.

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
    """Asks for an ACK whose free space is filled with members known to the receiver."""
    ACK = 3
    """Answers a PING or SYNC_PING."""
    PING_REQUEST = 4
    """Asks the receiver to ping the subject on the sender's behalf."""
    PING_REQUEST_RECEIVED = 5
    """Confirms a PING_REQUEST at once; says nothing about the subject."""
    INDIRECT_ACK = 6
    """Says that the subject has answered the requested ping."""
    GOSSIP = 7
    """Carries only updates."""

    @property
    def is_ping(self) -> bool:
        """Whether the message asks for an ACK."""
        return self in (MessageType.PING, MessageType.SYNC_PING)


class MemberState(IntEnum):
    """The state of a proxy in an update. The values are those on the wire."""

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
    """The sender's own incarnation."""
    sequence_number: int
    """Chosen for a request and repeated in its answer; 0 for other messages."""
    subject: str
    """The third proxy that a PING_REQUEST or INDIRECT_ACK is about; otherwise the sender."""
    updates: Sequence[MemberUpdate] = ()


class Datagram(NamedTuple):
    """An encoded message, and the IPv4 address to send it to."""

    address: str
    data: bytes

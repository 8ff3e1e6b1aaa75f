"""Encoding of the messages between proxies: 33 bytes per message and 17 per update in it.

Big-endian: magic "us", format version, message type, sender, the sender's generation and
incarnation number, sequence number, subject, count of updates; the updates; CRC-32 of all the bytes
before it. The checksum detects corruption but not forgery: proxies share no secret.
"""

import struct
import zlib
from socket import AF_INET, inet_ntop, inet_pton

from umbermoor.gateway.membership.messages import (
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageType,
)

MAX_DATAGRAM_BYTES = 1200
"""Below IPv6's minimum MTU (1280, RFC 8200), so that a datagram is never fragmented."""
GENERATION_LIMIT = 1 << 62
"""Generations must be below this."""
MAX_INCARNATION_NUMBER = (1 << 32) - 1

_HEADER = struct.Struct(">2sBB4sQII4sB")
_UPDATE = struct.Struct(">B4sQI")
_CHECKSUM = struct.Struct(">I")
_MAGIC, _FORMAT_VERSION = b"us", 1
_FIRST_MULTICAST_OCTET = 224

MAX_UPDATES = (MAX_DATAGRAM_BYTES - _HEADER.size - _CHECKSUM.size) // _UPDATE.size


def pack_address(address: str) -> bytes | None:
    """Return the four bytes of a dotted IPv4 address; None if it is not that of a single host."""
    try:
        octets = inet_pton(AF_INET, address)
    except (OSError, ValueError, TypeError):
        return None
    return octets if _is_host(octets) else None


def _is_host(octets: bytes) -> bool:
    return 0 < octets[0] < _FIRST_MULTICAST_OCTET


def encode(message: Message) -> bytes:
    """Return the message's bytes, at most MAX_DATAGRAM_BYTES.

    The message must have at most MAX_UPDATES updates, and only addresses that `pack_address`
    accepts.
    """
    parts = [
        _HEADER.pack(
            _MAGIC,
            _FORMAT_VERSION,
            message.type,
            inet_pton(AF_INET, message.sender),
            *message.incarnation,
            message.sequence_number,
            inet_pton(AF_INET, message.subject),
            len(message.updates),
        )
    ]
    parts += [
        _UPDATE.pack(update.state, inet_pton(AF_INET, update.address), *update.incarnation)
        for update in message.updates
    ]
    data = b"".join(parts)
    return data + _CHECKSUM.pack(zlib.crc32(data))


def decode(data: bytes) -> Message | None:
    """Return the message that `encode` turned into these bytes; None for any other bytes."""
    if not _HEADER.size + _CHECKSUM.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    magic, version, kind, sender, generation, incarnation_number, number, subject, count = (
        _HEADER.unpack_from(data)
    )
    if magic != _MAGIC or version != _FORMAT_VERSION:
        return None
    if len(data) != _HEADER.size + count * _UPDATE.size + _CHECKSUM.size:
        return None
    (checksum,) = _CHECKSUM.unpack_from(data, len(data) - _CHECKSUM.size)
    if checksum != zlib.crc32(data[: -_CHECKSUM.size]) or generation >= GENERATION_LIMIT:
        return None
    updates = _decode_updates(data, count)
    if updates is None:
        return None
    if not MessageType.PING <= kind <= MessageType.GOSSIP:
        return None
    if not _is_host(sender) or not _is_host(subject):
        return None
    return Message(
        MessageType(kind),
        inet_ntop(AF_INET, sender),
        Incarnation(generation, incarnation_number),
        number,
        inet_ntop(AF_INET, subject),
        updates,
    )


def _decode_updates(data: bytes, count: int) -> list[MemberUpdate] | None:
    updates = []
    end = _HEADER.size + count * _UPDATE.size
    for state, octets, generation, number in _UPDATE.iter_unpack(data[_HEADER.size : end]):
        if not MemberState.ALIVE <= state <= MemberState.LEFT:
            return None
        if generation >= GENERATION_LIMIT or not _is_host(octets):
            return None
        incarnation = Incarnation(generation, number)
        updates.append(MemberUpdate(MemberState(state), inet_ntop(AF_INET, octets), incarnation))
    return updates

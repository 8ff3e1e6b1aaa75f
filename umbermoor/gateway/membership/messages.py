"""Datagrams between fronts: 33 bytes, and 17 for each piece of news.

Big-endian: "us", form, kind, sender, sender's life and incarnation, number, a third front, count;
news; CRC-32. The sum finds what was garbled, not what was forged: no secret is given to fronts.
"""

import struct
import zlib
from collections.abc import Sequence
from enum import IntEnum
from socket import AF_INET, inet_ntop, inet_pton
from typing import NamedTuple

MOST = 1200  # bytes of a datagram: below the least MTU of IPv6 (RFC 8200, 1280), so never split
LIFE_MOST = 1 << 62
INCARNATION_MOST = (1 << 32) - 1
_HEAD, _ITEM, _SUM = struct.Struct(">2sBB4sQII4sB"), struct.Struct(">B4sQI"), struct.Struct(">I")
_MARK, _FORM = b"us", 1
ITEMS = (MOST - _HEAD.size - _SUM.size) // _ITEM.size

Version = tuple[int, int]  # life, incarnation: later is higher


class Kind(IntEnum):
    """What a datagram is for."""

    PROBE = 1
    ASK = 2  # a probe whose answer may hold a list of fronts
    ANSWER = 3
    PLEASE = 4  # probe the third front for me
    DOING = 5  # I heard that; says nothing of the third
    VOUCH = 6  # the third answered me
    TELL = 7  # news alone


class State(IntEnum):
    """What is told of a front."""

    ALIVE = 1
    SUSPECT = 2
    GONE = 3
    LEFT = 4


class News(NamedTuple):
    state: State
    ip: str
    version: Version


class Letter(NamedTuple):
    kind: Kind
    sender: str
    version: Version  # of the sender
    number: int  # chosen by who asks, repeated by who answers
    third: str
    news: Sequence[News] = ()


def packed(ip: str) -> bytes | None:
    """Four bytes; None where it is no dotted IPv4 address of one host."""
    try:
        four = inet_pton(AF_INET, ip)
    except (OSError, ValueError, TypeError):
        return None
    return four if 0 < four[0] < 224 else None


def written(letter: Letter) -> bytes:
    """At most MOST bytes; there must be at most ITEMS pieces of news, and addresses that `packed`
    takes."""
    data = _HEAD.pack(
        _MARK,
        _FORM,
        letter.kind,
        inet_pton(AF_INET, letter.sender),
        *letter.version,
        letter.number,
        inet_pton(AF_INET, letter.third),
        len(letter.news),
    )
    data += b"".join(
        _ITEM.pack(one.state, inet_pton(AF_INET, one.ip), *one.version) for one in letter.news
    )
    return data + _SUM.pack(zlib.crc32(data))


def read(data: bytes) -> Letter | None:
    """The letter; None for whatever no front of ours can have written."""
    if not _HEAD.size + _SUM.size <= len(data) <= MOST:
        return None
    mark, form, kind, sender, life, incarnation, number, third, count = _HEAD.unpack_from(data)
    if mark != _MARK or form != _FORM or len(data) != _HEAD.size + count * _ITEM.size + _SUM.size:
        return None
    if (
        _SUM.unpack_from(data, len(data) - _SUM.size)[0] != zlib.crc32(data[: -_SUM.size])
        or life >= LIFE_MOST
    ):
        return None
    news = []
    for at in range(count):
        state, ip, told_life, told = _ITEM.unpack_from(data, _HEAD.size + at * _ITEM.size)
        if not 1 <= state <= 4 or told_life >= LIFE_MOST or not 0 < ip[0] < 224:
            return None
        news.append(News(State(state), inet_ntop(AF_INET, ip), (told_life, told)))
    if not 1 <= kind <= 7 or not 0 < sender[0] < 224 or not 0 < third[0] < 224:
        return None
    return Letter(
        Kind(kind),
        inet_ntop(AF_INET, sender),
        (life, incarnation),
        number,
        inet_ntop(AF_INET, third),
        news,
    )

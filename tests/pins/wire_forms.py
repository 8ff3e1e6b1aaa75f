"""Conversion of effects and frames to the form in which traces hold them.

Of the pins, only this module uses the classes of effects. A change of how a message or an effect is
represented in memory must adapt this module, so that it still returns what goes over the wire.
"""

import json
import zlib
from typing import Any

from umbermoor.gateway.effects import CallResult, Decision, Send, Status, Write

_FRAME_HEADER_SIZE = 4  # bytes: the length, whose highest bit marks a compressed body
_COMPRESSED = 1 << 31

# Statuses never leave a process; these numbers are those of the recorded revision.
_STATUS_NUMBERS = {
    Status.OK: 0,
    Status.UNAVAILABLE: 1,
    Status.CONFLICT: 2,
    Status.INVALID: 3,
    Status.NOT_FOUND: 4,
}


def effect_form(effect: Any) -> list[Any]:
    """Return the form of an effect: of a message its JSON text, of records their bytes."""
    if isinstance(effect, Send):
        return ["send", effect.to, json.dumps(effect.message, separators=(",", ":"))]
    if isinstance(effect, Write):
        return ["write", effect.token, dict(effect.puts)]
    if isinstance(effect, CallResult):
        status = _STATUS_NUMBERS[effect.status]
        return ["result", effect.request_id, status, _value_form(effect.value)]
    raise TypeError(f"unknown kind of effect: {effect!r}")


def frame_form(data: bytes) -> list[Any]:
    """Return the form of a frame between processes, with its body decompressed.

    Compressed bytes depend on the version of zlib; the decompressed body does not.
    """
    header = int.from_bytes(data[:_FRAME_HEADER_SIZE], "big")
    if len(data) < _FRAME_HEADER_SIZE or len(data) != _FRAME_HEADER_SIZE + (header & ~_COMPRESSED):
        return ["bytes", data]
    body = data[_FRAME_HEADER_SIZE:]
    if header & _COMPRESSED:
        return ["compressed", zlib.decompress(body)]
    return ["frame", body]


def _value_form(value: Any) -> Any:
    if isinstance(value, Decision):
        outcome, stored, reason = value
        return [outcome.value, stored, reason]
    return value

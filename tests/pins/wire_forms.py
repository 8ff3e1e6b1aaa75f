"""The forms in which traces hold what the gateway's programs send, write and answer.

This is the one place of the pins that knows the classes of effects: whoever changes what a message
or an effect is in memory changes this module, so that it still gives what goes over the wire.
"""

import json
import zlib
from typing import Any

from umbermoor.gateway.effects import CallResult, Decision, Send, Status, Write

_FRAME_HEAD = 4  # bytes: the length, whose highest bit marks a compressed body
_COMPRESSED = 1 << 31

# Statuses never leave a process; their numbers here are those of the revision that was recorded.
_STATUS_NUMBERS = {
    Status.OK: 0,
    Status.UNAVAILABLE: 1,
    Status.CONFLICT: 2,
    Status.INVALID: 3,
    Status.NOT_FOUND: 4,
}


def effect_form(effect: Any) -> list[Any]:
    """An effect of a state machine: a message as its JSON text, records as their bytes."""
    if isinstance(effect, Send):
        return ["send", effect.to, json.dumps(effect.message, separators=(",", ":"))]
    if isinstance(effect, Write):
        return ["write", effect.token, dict(effect.puts)]
    if isinstance(effect, CallResult):
        status = _STATUS_NUMBERS[effect.status]
        return ["result", effect.request_id, status, _value_form(effect.value)]
    raise TypeError(f"an effect of no known kind: {effect!r}")


def frame_form(data: bytes) -> list[Any]:
    """The bytes of a frame between processes, decompressed.

    Compressed bytes depend on the version of zlib; what they hold does not.
    """
    head = int.from_bytes(data[:_FRAME_HEAD], "big")
    if len(data) < _FRAME_HEAD or len(data) != _FRAME_HEAD + (head & ~_COMPRESSED):
        return ["bytes", data]
    body = data[_FRAME_HEAD:]
    if head & _COMPRESSED:
        return ["compressed", zlib.decompress(body)]
    return ["frame", body]


def _value_form(value: Any) -> Any:
    if isinstance(value, Decision):
        outcome, stored, reason = value
        return [outcome.value, stored, reason]
    return value

"""Wire format of the messages between replicas: JSON objects, each with a `kind`.

The table FORMATS lists the fields of each kind in their order on the wire. `decode` rejects a
message of any other shape as a whole, so handlers need not validate it again. Unknown fields are
ignored; fields that earlier revisions do not send have a default.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from umbermoor.gateway.effects import JsonObject, JsonValue, Outcome
from umbermoor.gateway.replication import messages
from umbermoor.gateway.replication.messages import CallId, Entry, HeartbeatId, Message
from umbermoor.gateway.replication.replica_set import EpochSet, ReplicaSet
from umbermoor.gateway.replication.view import View

NUMBER_LIMIT = 2**62
MAX_NAMES = 64
MAX_NAME_LENGTH = 64
MAX_KEY_BYTES = 480  # LMDB limits a key to 511 bytes, including the prefix put before this one
MAX_REASON_LENGTH = 400
OUTCOMES = frozenset(outcome.value for outcome in Outcome)


def is_number(value: object) -> bool:
    """Whether `value` is an integer from 0 to below NUMBER_LIMIT."""
    return type(value) is int and 0 <= value < NUMBER_LIMIT


def is_flag(value: object) -> bool:
    """Whether `value` is a boolean."""
    return type(value) is bool


def is_name(value: object) -> bool:
    """Whether `value` is a valid name of a replica."""
    return type(value) is str and 0 < len(value) <= MAX_NAME_LENGTH


def is_key(value: object) -> bool:
    """Whether `value` is a valid key of the map."""
    return (
        type(value) is str
        and len(value.encode(errors="replace")) <= MAX_KEY_BYTES
        and value.isprintable()
    )


def _is_anything(value: object) -> bool:
    return True


def _is_zone(value: object) -> bool:
    return type(value) is str and len(value) <= MAX_NAME_LENGTH


def _is_names(value: object) -> bool:
    return (
        type(value) is list
        and len(value) <= MAX_NAMES
        and all(map(is_name, value))
        and len(set(value)) == len(value)
    )


def _is_pair_of_numbers(value: object) -> bool:
    return type(value) is list and len(value) == 2 and all(map(is_number, value))


def _is_view(value: object) -> bool:
    return type(value) is list and len(value) == 2 and is_number(value[0]) and _is_names(value[1])


def _is_state(value: object) -> bool:
    return type(value) is dict and all(map(is_key, value))


def _is_entry(value: object) -> bool:
    return (
        type(value) is list
        and len(value) == 5
        and is_key(value[0])
        and is_name(value[2])
        and all(map(is_number, value[3:]))
    )


def _is_entries(value: object) -> bool:
    return type(value) is list and all(map(_is_entry, value))


def _is_outcome(value: object) -> bool:
    return type(value) is str and value in OUTCOMES


def _is_reason(value: object) -> bool:
    return type(value) is str and len(value) <= MAX_REASON_LENGTH


def _is_seats(value: object) -> bool:
    return (
        type(value) is list
        and 0 < len(value) <= MAX_NAMES
        and all(
            type(seat) is list and len(seat) == 2 and is_name(seat[0]) and is_number(seat[1])
            for seat in value
        )
        and len({seat[0] for seat in value}) == len(value)
    )


def _is_replica_set(value: object) -> bool:
    return (
        type(value) is list
        and len(value) == 4
        and all(map(is_number, value[:2]))
        and all(map(_is_seats, value[2:]))
    )


def _is_epoch_set(value: object) -> bool:
    return (
        type(value) is list
        and len(value) == 2
        and is_number(value[0])
        and _is_replica_set(value[1])
    )


class FieldType(NamedTuple):
    """Validation, decoding and encoding of one type of field.

    `decode` or `encode` is None where the JSON value is used unchanged.
    """

    is_valid: Callable[[object], bool]
    decode: Callable[[Any], Any] | None = None
    encode: Callable[[Any], JsonValue] | None = None

    def or_null(self) -> "FieldType":
        """Return this type extended by null, which is decoded as None."""
        is_valid, decode, encode = self
        return FieldType(
            lambda value: value is None or is_valid(value),
            decode and (lambda value: None if value is None else decode(value)),
            encode and (lambda value: None if value is None else encode(value)),
        )


def _decode_view(value: Any) -> View:
    return View(value[0], tuple(value[1]))


def _encode_view(view: View) -> JsonValue:
    return [view.epoch, list(view.chain)]


def _decode_entries(value: Any) -> tuple[Entry, ...]:
    return tuple(Entry(key, content, CallId(*call)) for key, content, *call in value)


def _encode_entries(entries: tuple[Entry, ...]) -> JsonValue:
    return [[entry.key, entry.value, *entry.call] for entry in entries]


NUMBER = FieldType(is_number)
FLAG = FieldType(is_flag)
NAMES = FieldType(_is_names, tuple, list)
VERSION = FieldType(_is_pair_of_numbers, tuple, list)
VIEW = FieldType(_is_view, _decode_view, _encode_view)
KEY = FieldType(is_key)
ANYTHING = FieldType(_is_anything)
ZONE = FieldType(_is_zone)
STATE = FieldType(_is_state)
ENTRIES = FieldType(_is_entries, _decode_entries, _encode_entries)
HEARTBEAT_ID = FieldType(_is_pair_of_numbers, lambda value: HeartbeatId(*value), list)
OUTCOME = FieldType(_is_outcome, Outcome, lambda outcome: outcome.value)
REASON = FieldType(_is_reason)
REPLICA_SET = FieldType(_is_replica_set, ReplicaSet.from_json, ReplicaSet.to_json)
EPOCH_SET = FieldType(_is_epoch_set, EpochSet.from_json, EpochSet.to_json)

REQUIRED: Any = object()


class Field(NamedTuple):
    """One field of one kind of message."""

    key: str  # name on the wire
    attribute: str  # name in the message's class
    type: FieldType
    # Value taken where the field is not received. `Format.encode` compares by identity, so the
    # default of a field that may be omitted is None or False.
    default: Any = REQUIRED
    omit_default: bool = True  # not sent where the value is the default


class Format:
    """Wire format of one kind of message; the fields are in the order of the class's attributes."""

    __slots__ = ("_readers", "_writers", "kind", "message")

    def __init__(self, kind: str, message: Any, fields: tuple[Field, ...]) -> None:
        self.kind, self.message = kind, message
        attributes = tuple(field.attribute for field in fields)
        if attributes != message._fields:
            raise TypeError(f"{kind}: got fields {attributes}, expected {message._fields}")
        self._readers = tuple(
            (field.key, field.type.is_valid, field.type.decode, field.default) for field in fields
        )
        self._writers = tuple(
            (field.key, field.type.encode, field.default if field.omit_default else REQUIRED)
            for field in fields
        )

    def decode(self, value: dict[str, Any]) -> Message | None:
        """Return the message, or None if a field is missing or invalid."""
        contents = []
        for key, is_valid, convert, default in self._readers:
            if key in value:
                content = value[key]
                if not is_valid(content):
                    return None
                contents.append(convert(content) if convert else content)
            elif default is REQUIRED:
                return None
            else:
                contents.append(default)
        message: Message = self.message._make(contents)
        return message

    def encode(self, message: Message) -> JsonObject:
        """Return the JSON object to send."""
        value: JsonObject = {"kind": self.kind}
        for (key, convert, omitted), content in zip(self._writers, message):
            if content is not omitted:
                encoded: Any = convert(content) if convert else content
                value[key] = encoded
        return value


EPOCH = Field("epoch", "epoch", NUMBER)
NONCE = Field("nonce", "nonce", NUMBER)
PROMISE = Field("promise", "promise", NUMBER)
CALL = (Field("life", "incarnation", NUMBER), Field("id", "number", NUMBER))
MEMBERS = Field("members", "members", NAMES)
VERSION_FIELD = Field("version", "version", VERSION)
HAVE = Field("have", "version", VERSION)
HEARS = Field("hears", "hears", NAMES)

HEARTBEAT = (
    Field("life", "incarnation", NUMBER),
    Field("beat", "sequence", NUMBER),
    Field("fresh", "cold_start", FLAG),
    Field("blank", "disk_lost", FLAG),
    Field("ready", "ready_to_fill", FLAG),
    Field("well", "disk_healthy", FLAG),
    MEMBERS,
    PROMISE,
    Field("joined", "joined", NUMBER),
    Field("serving", "serving", FLAG),
    Field("view", "view", VIEW.or_null()),
    Field("committed", "committed", VERSION),
    HEARS,
    Field("number", "set_number", NUMBER, None),
    Field("leaving", "leaving", FLAG, False),
    Field("zone", "zone", ZONE, None),
    Field("quorum", "quorum_member", FLAG, None),
    Field("age", "age", NUMBER, None),
    Field("echo", "echo", HEARTBEAT_ID, None),
    Field("system", "system", NUMBER, None),
    Field("sets", "proven_set", EPOCH_SET.or_null(), None),
)

FORMATS = (
    Format("ping", messages.Heartbeat, HEARTBEAT),
    Format(
        "found",
        messages.FoundingRequest,
        (
            MEMBERS,
            Field("life", "incarnation", NUMBER),
            Field("system", "system", NUMBER, 0, False),
        ),
    ),
    Format("settled", messages.FoundingSynced, (MEMBERS, PROMISE)),
    Format("learn", messages.PromiseQuery, (NONCE,)),
    Format("learnt", messages.PromiseQueryReply, (NONCE, PROMISE)),
    Format("prepare", messages.Prepare, (EPOCH, VERSION_FIELD)),
    Format(
        "promise",
        messages.Promised,
        (
            EPOCH,
            Field("blank", "disk_lost", FLAG),
            VERSION_FIELD,
            Field("state", "state", STATE.or_null()),
            HEARS,
            Field("held", "accepted_set", REPLICA_SET.or_null(), None),
            Field("proven", "proven_set", EPOCH_SET.or_null(), None),
        ),
    ),
    Format("refuse", messages.Refused, (EPOCH, PROMISE)),
    Format(
        "newview",
        messages.NewView,
        (
            EPOCH,
            Field("chain", "chain", NAMES),
            MEMBERS,
            Field("sets", "replica_set", REPLICA_SET.or_null(), None),
            Field("base", "base_version", VERSION),
            Field("state", "state", STATE.or_null()),
        ),
    ),
    Format("accept", messages.Accepted, (EPOCH,)),
    Format(
        "append",
        messages.Append,
        (
            EPOCH,
            Field("first", "first", NUMBER),
            Field("entries", "entries", ENTRIES),
            Field("committed", "committed", NUMBER),
        ),
    ),
    Format(
        "ack",
        messages.Acknowledge,
        (EPOCH, Field("synced", "synced", NUMBER), Field("committed", "committed", NUMBER)),
    ),
    Format(
        "put",
        messages.PutRequest,
        (EPOCH, *CALL, Field("key", "key", KEY), Field("value", "value", ANYTHING)),
    ),
    Format(
        "done",
        messages.PutDone,
        (
            *CALL,
            Field("outcome", "outcome", OUTCOME, Outcome.ACCEPTED, False),
            Field("why", "reason", REASON, "", False),
        ),
    ),
    Format("refused", messages.PutRefused, (EPOCH, *CALL)),
    Format("read", messages.ReadRequest, (EPOCH, *CALL, HAVE)),
    Format(
        "map",
        messages.ReadReply,
        (*CALL, VERSION_FIELD, Field("state", "state", STATE.or_null())),
    ),
    Format("confirm", messages.Confirm, (EPOCH, NONCE)),
    Format("confirmed", messages.Confirmed, (EPOCH, NONCE)),
    Format("fetch", messages.Fetch, (HAVE,)),
    Format("news", messages.Fetched, (VERSION_FIELD, Field("state", "state", STATE))),
)
_BY_KIND = {format_.kind: format_ for format_ in FORMATS}
_BY_CLASS = {format_.message: format_ for format_ in FORMATS}


def decode(value: object) -> Message | None:
    """Return the message that a JSON value holds, or None if it is invalid and must be dropped.

    >>> decode({"kind": "confirm", "epoch": 7, "nonce": 1, "beside": "ignored"})
    Confirm(epoch=7, nonce=1)
    >>> decode({"kind": "confirm", "epoch": -7, "nonce": 1})
    """
    if type(value) is not dict or type(value.get("kind")) is not str:
        return None
    format_ = _BY_KIND.get(value["kind"])
    return format_.decode(value) if format_ else None


def encode(message: Message) -> JsonObject:
    """Return the JSON object of a message, which shares mutable values with the message.

    >>> encode(messages.Confirm(epoch=7, nonce=1))
    {'kind': 'confirm', 'epoch': 7, 'nonce': 1}
    """
    return _BY_CLASS[type(message)].encode(message)

"""What operators' orders and the stages of roll-outs come to, judged at the head of the chain by
what stands there.

The one place where puts are decided (`decide_write`): no I/O, no clock, no copy of its own. A
number (`revision`) has one content for good, as far back as digests are kept. Source: PROTOCOL.md,
"The operator"; docs/consistency.md says why.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import Generator, Mapping
from hashlib import blake2b
from typing import Any, NotRequired, TypedDict

from umbermoor.gateway.effects import Decision, JsonObject, Outcome
from umbermoor.gateway.rollout.admission import decide_begin, decide_stage
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX, RecordDocument, supersedes

CONFIG_KEY = "config"  # the key of the configuration in the replicated map
MAX_PAST_REVISIONS = 128  # numbers that were in force before, whose contents are still told apart
DIGEST_BYTES = 8  # bytes
REVISION_BYTES = 4  # bytes of a revision
PAST_ENTRY_BYTES = REVISION_BYTES + DIGEST_BYTES
ROUTES_PER_STEP = 1_500  # routes digested between two yields: some 10 ms


class ConfigurationRecord(TypedDict):
    """The configuration in force, as it is stored and as it is put."""

    revision: int
    text: str  # the JSON as it was sent
    digest: NotRequired[str]  # hexadecimal; earlier releases stored none
    past: NotRequired[str]  # base64, see _past; absent in a put, and where earlier releases stored


def configuration_digest(body: Mapping[str, Any]) -> str:
    """Of a decoded configuration; the same for the same JSON in another order, whatever its spaces
    and escapes."""
    steps = configuration_digest_in_steps(body)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def configuration_digest_in_steps(body: Mapping[str, Any]) -> Generator[None, None, str]:
    """As `configuration_digest`, in steps of some 10 ms, yielding between them.

    >>> one = {"revision": "0000000C", "routes": {"a": {"tries": 2.0}, "b": {}}, "services": {}}
    >>> other = {"services": {}, "routes": {"b": {}, "a": {"tries": 2}}, "revision": "0000000c"}
    >>> digest = configuration_digest
    >>> digest(one) == digest(other), digest(one) == digest(other | {"routes": {}})
    (True, False)
    """
    hashed, work = blake2b(digest_size=DIGEST_BYTES), 0
    for name in sorted(body):
        part = body[name]
        if name == "revision":
            part = int(part, 16)
        hashed.update(_plain(name) + b"\0")
        if not isinstance(part, dict):
            hashed.update(_plain(part) + b"\0")
            continue
        hashed.update(b"{")
        for key in sorted(part):
            hashed.update(_plain(key) + b"\0" + _plain(part[key]) + b"\0")
            work += 1
            if work >= ROUTES_PER_STEP:
                work = 0
                yield
        hashed.update(b"}")
    return hashed.hexdigest()


def _plain(part: Any) -> bytes:
    return json.dumps(_level(part), sort_keys=True, separators=(",", ":")).encode()


def _level(part: Any) -> Any:
    """2.0 is 2: the same number in JSON."""
    if type(part) is float and part.is_integer():
        return int(part)
    if type(part) is dict:
        return {key: _level(one) for key, one in part.items()}
    return [_level(one) for one in part] if type(part) is list else part


def configuration_record(revision: int, text: str, digest: str) -> JsonObject:
    """A ConfigurationRecord, as it is put for a configuration that was found sound."""
    return {"revision": revision, "text": text, "digest": digest}


def decide_write(held: Mapping[str, Any], key: str, new: Any, epoch: int) -> Decision:
    """What a put of `new` under `key` comes to beside the map `held`, at a head of that epoch.
    Never raises: a value of another shape than the key's is a CONFLICT."""
    try:
        if key == CONFIG_KEY:
            return _judge_configuration(held.get(key), new)
        if key.startswith(ROLLOUT_KEY_PREFIX):
            return _judge_rollout(held, key, new, epoch)
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        IndexError,
        RecursionError,
        OverflowError,
    ) as error:
        return Decision(Outcome.CONFLICT, None, f"garbled: {type(error).__name__}")
    return Decision(Outcome.CONFLICT, None, "no such key")


def _judge_configuration(held: ConfigurationRecord | None, new: ConfigurationRecord) -> Decision:
    revision, text = new["revision"], new["text"]
    if (
        type(revision) is not int
        or not 0 <= revision < 1 << 8 * REVISION_BYTES
        or not isinstance(text, str)
    ):
        raise ValueError
    mine = _digest_of(new)
    if held is None or revision > held["revision"]:
        past = b"" if held is None else _past(held) + _packed(held["revision"], _digest_of(held))
        return Decision(
            Outcome.ACCEPTED,
            {
                "revision": revision,
                "text": text,
                "digest": mine,
                "past": b64encode(past[-MAX_PAST_REVISIONS * PAST_ENTRY_BYTES :]).decode(),
            },
        )
    known = _digest_of(held) if revision == held["revision"] else _known(_past(held), revision)
    if known is None:
        return Decision(Outcome.STALE, None, f"in force is {held['revision']:08x}")
    if known == mine:
        return Decision(Outcome.UNCHANGED)
    return Decision(
        Outcome.CONFLICT, None, f"revision: {revision:08x} is that of another configuration"
    )


def _digest_of(value: ConfigurationRecord) -> str:
    """Values that the present revision's members stored have none."""
    found = value.get("digest")
    return (
        found
        if isinstance(found, str) and len(found) == 2 * DIGEST_BYTES
        else configuration_digest(json.loads(value["text"]))
    )


def _past(held: ConfigurationRecord) -> bytes:
    """Numbers in force before and their contents' digests, oldest first; PAST_ENTRY_BYTES each."""
    return b64decode(held.get("past", ""))


def _packed(revision: int, digest: str) -> bytes:
    return revision.to_bytes(REVISION_BYTES, "big") + bytes.fromhex(digest)


def _known(past: bytes, revision: int) -> str | None:
    number = revision.to_bytes(REVISION_BYTES, "big")
    return next(
        (
            past[at + REVISION_BYTES : at + PAST_ENTRY_BYTES].hex()
            for at in range(0, len(past), PAST_ENTRY_BYTES)
            if past[at : at + REVISION_BYTES] == number
        ),
        None,
    )


def _judge_rollout(held: Mapping[str, Any], key: str, new: RecordDocument, epoch: int) -> Decision:
    """An order has `begin`, a stage has `on`; what has neither came by a member of an earlier
    revision."""
    last, service = held.get(key), key[len(ROLLOUT_KEY_PREFIX) :]
    # `on` first: a head of an earlier release stored records with their `begin`, and the stages
    # that follow carry it on.
    if "on" in new:
        return decide_stage(last, new, epoch)
    if "begin" in new:
        return decide_begin(last, new["begin"], lambda: _names(held.get(CONFIG_KEY), service))
    return Decision(Outcome.ACCEPTED, new) if supersedes(new, last) else Decision(Outcome.STALE)


def _names(configuration: ConfigurationRecord | None, service: str) -> bool:
    """Whether the configuration in force names that service; also where there is none yet."""
    return configuration is None or service in json.loads(configuration["text"])["services"]

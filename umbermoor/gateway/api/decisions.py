"""Decides at the head of the chain whether writes by operators and rollouts are accepted.

`decide_write` is the only place that decides on puts. It uses no I/O and no clock, and keeps no
state: it compares the write with the stored value. A `revision` number stands for one content
forever, as far back as digests are kept. Source: PROTOCOL.md, "The operator"; docs/consistency.md
has the reasons.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import Generator, Mapping
from hashlib import blake2b
from typing import Any, NotRequired, TypedDict

from umbermoor.gateway.effects import Decision, JsonObject, Outcome
from umbermoor.gateway.rollout.admission import decide_begin, decide_stage
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX, RecordDocument, supersedes

CONFIG_KEY = "config"  # key of the configuration in the replicated map
MAX_PAST_REVISIONS = 128  # earlier revisions whose digests are kept
DIGEST_BYTES = 8
REVISION_BYTES = 4
PAST_ENTRY_BYTES = REVISION_BYTES + DIGEST_BYTES
ROUTES_PER_STEP = 1_500  # routes hashed between two yields: about 10 ms


class ConfigurationRecord(TypedDict):
    """The configuration in force, as it is stored and as it is written."""

    revision: int
    text: str  # the JSON as it was sent
    digest: NotRequired[str]  # hexadecimal; earlier releases stored none
    past: NotRequired[str]  # base64, see _past_entries; absent in puts and in older records


def configuration_digest(body: Mapping[str, Any]) -> str:
    """Return the digest of a decoded configuration.

    It does not depend on the order of keys, nor on whitespace and escapes of the JSON text.
    """
    steps = configuration_digest_in_steps(body)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def configuration_digest_in_steps(body: Mapping[str, Any]) -> Generator[None, None, str]:
    """Compute `configuration_digest` in steps of about 10 ms, yielding between them.

    >>> one = {"revision": "0000000C", "routes": {"a": {"tries": 2.0}, "b": {}}, "services": {}}
    >>> other = {"services": {}, "routes": {"b": {}, "a": {"tries": 2}}, "revision": "0000000c"}
    >>> digest = configuration_digest
    >>> digest(one) == digest(other), digest(one) == digest(other | {"routes": {}})
    (True, False)
    """
    hasher, keys_hashed = blake2b(digest_size=DIGEST_BYTES), 0
    for name in sorted(body):
        value = body[name]
        if name == "revision":
            value = int(value, 16)
        hasher.update(_canonical_json(name) + b"\0")
        if not isinstance(value, dict):
            hasher.update(_canonical_json(value) + b"\0")
            continue
        hasher.update(b"{")
        for key in sorted(value):
            hasher.update(_canonical_json(key) + b"\0" + _canonical_json(value[key]) + b"\0")
            keys_hashed += 1
            if keys_hashed >= ROUTES_PER_STEP:
                keys_hashed = 0
                yield
        hasher.update(b"}")
    return hasher.hexdigest()


def _canonical_json(value: Any) -> bytes:
    return json.dumps(_normalize_numbers(value), sort_keys=True, separators=(",", ":")).encode()


def _normalize_numbers(value: Any) -> Any:
    """Replace floats such as 2.0 by equal integers: they are the same number in JSON."""
    if type(value) is float and value.is_integer():
        return int(value)
    if type(value) is dict:
        return {key: _normalize_numbers(item) for key, item in value.items()}
    return [_normalize_numbers(item) for item in value] if type(value) is list else value


def configuration_record(revision: int, text: str, digest: str) -> JsonObject:
    """Return the ConfigurationRecord to put for a configuration that was validated."""
    return {"revision": revision, "text": text, "digest": digest}


def decide_write(stored: Mapping[str, Any], key: str, new: Any, epoch: int) -> Decision:
    """Decide on a put of `new` under `key`, given the stored map and the head's epoch.

    Never raises: a value that does not have the form required for its key is a CONFLICT.
    """
    try:
        if key == CONFIG_KEY:
            return _decide_configuration(stored.get(key), new)
        if key.startswith(ROLLOUT_KEY_PREFIX):
            return _decide_rollout(stored, key, new, epoch)
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


def _decide_configuration(stored: ConfigurationRecord | None, new: ConfigurationRecord) -> Decision:
    revision, text = new["revision"], new["text"]
    if (
        type(revision) is not int
        or not 0 <= revision < 1 << 8 * REVISION_BYTES
        or not isinstance(text, str)
    ):
        raise ValueError
    new_digest = _digest_of(new)
    if stored is None or revision > stored["revision"]:
        past = (
            b""
            if stored is None
            else _past_entries(stored) + _pack_entry(stored["revision"], _digest_of(stored))
        )
        return Decision(
            Outcome.ACCEPTED,
            {
                "revision": revision,
                "text": text,
                "digest": new_digest,
                "past": b64encode(past[-MAX_PAST_REVISIONS * PAST_ENTRY_BYTES :]).decode(),
            },
        )
    known_digest = (
        _digest_of(stored)
        if revision == stored["revision"]
        else _find_past_digest(_past_entries(stored), revision)
    )
    if known_digest is None:
        return Decision(Outcome.STALE, None, f"in force is {stored['revision']:08x}")
    if known_digest == new_digest:
        return Decision(Outcome.UNCHANGED)
    return Decision(
        Outcome.CONFLICT, None, f"revision: {revision:08x} is that of another configuration"
    )


def _digest_of(value: ConfigurationRecord) -> str:
    """Return the digest of a record; it is computed if an earlier release stored none."""
    digest = value.get("digest")
    return (
        digest
        if isinstance(digest, str) and len(digest) == 2 * DIGEST_BYTES
        else configuration_digest(json.loads(value["text"]))
    )


def _past_entries(stored: ConfigurationRecord) -> bytes:
    """Return the earlier revisions and their digests, oldest first, PAST_ENTRY_BYTES each."""
    return b64decode(stored.get("past", ""))


def _pack_entry(revision: int, digest: str) -> bytes:
    return revision.to_bytes(REVISION_BYTES, "big") + bytes.fromhex(digest)


def _find_past_digest(past: bytes, revision: int) -> str | None:
    packed_revision = revision.to_bytes(REVISION_BYTES, "big")
    return next(
        (
            past[offset + REVISION_BYTES : offset + PAST_ENTRY_BYTES].hex()
            for offset in range(0, len(past), PAST_ENTRY_BYTES)
            if past[offset : offset + REVISION_BYTES] == packed_revision
        ),
        None,
    )


def _decide_rollout(
    stored: Mapping[str, Any], key: str, new: RecordDocument, epoch: int
) -> Decision:
    """Decide on a write to a rollout record.

    An order has the key `begin`, a stage change has `on`; a write with neither of them comes from a
    member that runs an earlier release.
    """
    last, service = stored.get(key), key[len(ROLLOUT_KEY_PREFIX) :]
    # Check `on` first: heads of earlier releases stored records with their `begin`, and later stage
    # changes copy that key.
    if "on" in new:
        return decide_stage(last, new, epoch)
    if "begin" in new:
        return decide_begin(
            last, new["begin"], lambda: _names_service(stored.get(CONFIG_KEY), service)
        )
    return Decision(Outcome.ACCEPTED, new) if supersedes(new, last) else Decision(Outcome.STALE)


def _names_service(configuration: ConfigurationRecord | None, service: str) -> bool:
    """Whether the configuration names that service; True if there is no configuration yet."""
    return configuration is None or service in json.loads(configuration["text"])["services"]

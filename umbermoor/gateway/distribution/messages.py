"""The messages between subscribers and publishers: `pull` and `news` on the wire.

A message is a JSON table. It is encoded and validated here only; both sides work on these types.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from umbermoor.gateway.discovery.registry import InstanceRecord, record_from_wire

MALFORMED = KeyError, TypeError, ValueError, IndexError, OverflowError

Version = tuple[int, int]  # of the replicated records: epoch and sequence number


class PullRequest(NamedTuple):
    """What a subscriber holds, and what it asks for."""

    incarnation: int  # of the controller's registry that `sequence` counts in
    sequence: int  # of the last change of an instance that it holds
    version: Version  # of the records that it holds
    revision: int  # of the configuration that it holds
    wants_body: bool  # it asks for the configuration itself
    base_digest: Any  # of the configuration that a delta may be based on
    primary: bool  # this controller is the one that tells it of every change at once

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> "PullRequest | None":
        """The pull in a message; None if it is malformed."""
        try:
            return cls(
                incarnation=int(message["life"]),
                sequence=int(message["number"]),
                version=(int(message["register"][0]), int(message["register"][1])),
                revision=int(message["revision"]),
                wants_body=message.get("want") is True,
                base_digest=message.get("base"),
                primary=message.get("first") is not False,
            )
        except MALFORMED:
            return None

    def encode(self) -> dict[str, Any]:
        """The message; `want` and `base` are left out where nothing is asked for."""
        message = {
            "kind": "pull",
            "life": self.incarnation,
            "number": self.sequence,
            "register": list(self.version),
            "revision": self.revision,
            "first": self.primary,
        }
        if self.wants_body:
            message["want"] = True
            if self.base_digest:
                message["base"] = self.base_digest
        return message


class UpdateMessage(NamedTuple):
    """A controller's answer to a pull."""

    incarnation: int  # of its registry
    sequence: int  # of its registry's last change
    instances: list[InstanceRecord]  # that changed since
    version: Version  # of its records
    records: dict[str, Any]  # that changed since, by key, without the configuration
    members: list[str]  # of the replica set, by address
    member_set_number: int  # which of the replica sets that is; 0 from an earlier release
    head: str  # the member that orders writes, as far as it knows
    confirmed: bool  # it was in touch with a majority within its lease
    revision: int  # of the configuration that it holds

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> "UpdateMessage | None":
        """The update in a message; None if it is malformed. Malformed instances are left out."""
        try:
            instances = message["machines"]
            return cls(
                incarnation=int(message["life"]),
                sequence=int(message["number"]),
                instances=_decode_instances(instances) if isinstance(instances, list) else [],
                version=(int(message["register"][0]), int(message["register"][1])),
                records=dict(message["keys"]),
                members=[str(member) for member in message["everyone"]],
                member_set_number=int(message.get("set", 0)),
                head=str(message["head"]),
                confirmed=message["firm"] is True,
                revision=int(message["revision"]),
            )
        except MALFORMED:
            return None


def _decode_instances(values: Sequence[Any]) -> list[InstanceRecord]:
    return [record for record in map(record_from_wire, values) if record is not None]


def encode_update(
    incarnation: int,
    sequence: int,
    instances: list[list[Any]],
    version: Version,
    records: Mapping[str, Any],
    members: Sequence[str],
    member_set_number: int,
    head: str,
    confirmed: bool,
    revision: int,
    proxies: Sequence[str],
) -> dict[str, Any]:
    """The message of an update; `proxies` are others that the subscriber may meet the rest by."""
    return {
        "kind": "news",
        "life": incarnation,
        "number": sequence,
        "machines": instances,
        "register": list(version),
        "keys": records,
        "everyone": list(members),
        "set": member_set_number,
        "head": head,
        "firm": confirmed,
        "revision": revision,
        "fronts": proxies,
    }

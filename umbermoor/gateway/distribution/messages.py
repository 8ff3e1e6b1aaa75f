"""The messages between subscribers and publishers: `pull` and `news` on the wire.

A message is a JSON object. Only this module encodes and validates messages; both sides use its
types.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from umbermoor.gateway.discovery.registry import InstanceRecord, record_from_wire

DECODE_ERRORS = KeyError, TypeError, ValueError, IndexError, OverflowError

Version = tuple[int, int]  # epoch and sequence number of the replicated records


class PullRequest(NamedTuple):
    """The versions that a subscriber has, and what it requests."""

    incarnation: int  # of the controller's registry that `sequence` belongs to
    sequence: int  # of the last change of an instance that it has received
    version: Version  # of the records that it has
    revision: int  # of the configuration that it has
    wants_body: bool  # whether it requests the configuration itself
    base_digest: Any  # of the configuration that a delta may be based on
    primary: bool  # whether this controller is to report every change to it immediately

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> "PullRequest | None":
        """Decode a message; return None if it is malformed."""
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
        except DECODE_ERRORS:
            return None

    def encode(self) -> dict[str, Any]:
        """Return the message; it has `want` and `base` only if the configuration is requested."""
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

    incarnation: int  # of the controller's registry
    sequence: int  # of the registry's last change
    instances: list[InstanceRecord]  # the instances that changed since the pull's sequence
    version: Version  # of the controller's records
    records: dict[str, Any]  # changed since the pull's version, by key; no configuration
    members: list[str]  # addresses of the members of the replica set
    member_set_number: int  # number of that replica set; 0 from an earlier release
    head: str  # the member that orders writes, as far as the controller knows
    confirmed: bool  # whether the controller had contact with a majority within its lease
    revision: int  # of the configuration that the controller has

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> "UpdateMessage | None":
        """Decode a message, skipping malformed instances; return None if the rest is malformed."""
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
        except DECODE_ERRORS:
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
    """Return the message of an update.

    `proxies` are addresses of other proxies, through which the subscriber can find the rest.
    """
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

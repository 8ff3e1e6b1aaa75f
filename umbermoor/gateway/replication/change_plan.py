"""What a change of the replica set would leave, and the reasons to refuse it.

A change must leave as many members, and as many of them available, as the configured number of
tolerated losses needs, unless it improves on the present set. No change may put a majority into one
zone: docs/replication.md.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from umbermoor.gateway.effects import JsonObject
from umbermoor.gateway.replication.replica_set import MAX_MEMBERS, ReplicaSet, majority


class ChangePlan(NamedTuple):
    """The replica set that a change would leave."""

    number: int  # of the new set
    members: tuple[str, ...]
    available: tuple[str, ...]  # members in the chain, or learners ready to join it
    tolerated_losses: int  # how many of the available members may be lost at once
    refusal: str  # the reason to refuse the change; "": it is allowed

    def to_json(self) -> JsonObject:
        """Return the plan as the operators' calls show it."""
        value: JsonObject = {
            "number": self.number,
            "members": list(self.members),
            "up": list(self.available),
            "bears": self.tolerated_losses,
        }
        if self.refusal:
            value["why"] = self.refusal
        return value


def zone_with_new_majority(
    before: Sequence[str], after: Sequence[str], zones: Mapping[str, str]
) -> str:
    """Return the zone that would hold a majority after a change though no zone held one before.

    Returns "" if there is none. A member whose zone is unknown counts as alone in a zone of its
    own.

    >>> zones = {"a": "north", "b": "east", "c": "west", "d": "east"}
    >>> zone_with_new_majority("abc", "bcd", zones)
    'east'
    >>> zone_with_new_majority("abc", "acd", zones), zone_with_new_majority("bcd", "bd", zones)
    ('', '')
    """
    return "" if _majority_zone(before, zones) else _majority_zone(after, zones)


def _majority_zone(members: Sequence[str], zones: Mapping[str, str]) -> str:
    counts = Counter(zone for name in members if (zone := zones.get(name)))
    for zone, count in counts.items():
        if 2 * count > len(members) > 1:
            return zone
    return ""


def plan_change(
    present: ReplicaSet,
    chain: Sequence[str],
    ready: Collection[str],
    add: str,
    remove: str,
    tolerated_losses: int,
) -> ChangePlan:
    """Return what a change of the completed set `present` would leave.

    Args:
        present: the replica set in force.
        chain: the chain of its active view.
        ready: the learners that could become members now.
        add: the newcomer; "": none.
        remove: the member to remove; "": none.
        tolerated_losses: the configured number of losses to tolerate.

    >>> from umbermoor.gateway.replication.replica_set import initial_replica_set
    >>> three = initial_replica_set(["a", "b", "c"], 7)
    >>> plan_change(three, ["a", "b", "c"], ["d"], "d", "a", 1).refusal
    ''
    >>> plan_change(three, ["a", "b", "c"], [], "", "a", 1).refusal
    'would leave 2 members, 3 are needed to bear the loss of 1'
    >>> plan_change(three, ["a", "b"], ["d"], "d", "a", 1).refusal
    'would leave 2 of 3 up with none to lose: bring back c, or replace it first'
    >>> plan_change(three, ["a", "b"], ["d"], "d", "c", 1).tolerated_losses
    1
    """
    refusal = _refuse_names(present.members, ready, add, remove)
    after = present if refusal else present.changed(add, remove)
    available = tuple(name for name in after.members if name in chain or name == add)
    margin = len(available) - majority(after.new)
    if not refusal:
        refusal = _refuse_losses(present, after, chain, add, remove, tolerated_losses, available)
    return ChangePlan(after.number, after.members, available, max(0, margin), refusal)


def _refuse_names(members: Sequence[str], ready: Collection[str], add: str, remove: str) -> str:
    if not add and not remove:
        return "nothing to change"
    if add and add in members:
        return f"{add} is a member"
    if remove and remove not in members:
        return f"{remove} is no member"
    if add and add not in ready:
        return (
            f"{add} is not ready: no learner of this system that all of the chain hear, "
            "filled and well"
        )
    if len(members) + bool(add) - bool(remove) > MAX_MEMBERS:
        return f"would leave more than {MAX_MEMBERS} members"
    return ""


def _refuse_losses(
    present: ReplicaSet,
    after: ReplicaSet,
    chain: Sequence[str],
    add: str,
    remove: str,
    tolerated_losses: int,
    available: Sequence[str],
) -> str:
    members = present.members
    margin = len(available) - majority(after.new)
    margin_before = sum(name in chain for name in members) - majority(present.new)
    needed = 2 * tolerated_losses + 1
    if len(after.members) < needed <= len(members):
        return (
            f"would leave {len(after.members)} members, {needed} are needed to bear the loss of "
            f"{tolerated_losses}"
        )
    left = f"would leave {len(available)} of {len(after.members)} up"
    is_worse = margin < margin_before or remove in chain
    if 0 <= margin < tolerated_losses and is_worse:
        down = ", ".join(name for name in after.members if name not in available)
        return (
            f"{left} with {margin or 'none'} to lose: "
            f"bring back {down or 'the others'}, or replace it first"
        )
    chain_after = [name for name in chain if name in after.members and name != add]
    if margin < 0 or not after.quorum(chain_after):
        return f"{left}, of which too few hold what is held"
    return ""

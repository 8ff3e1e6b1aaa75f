"""Decides at the head of the chain whether a rollout order or a stage change is accepted.

Each decision compares the write with the stored record. An order is identified by its target and by
the optional key that the operator gives: a target that was ordered before is a repetition, unless
it comes with a new key. A stage change names the record that it was based on and the epoch of the
head that proposed it; it is rejected if the epoch or the stored record has changed since. The
decisions use no clock and no I/O, because the head makes them while it applies the write.
"""

from collections.abc import Callable, Sequence
from typing import TypedDict

from umbermoor.gateway.effects import Decision, Outcome
from umbermoor.gateway.rollout.records import (
    RecordDocument,
    RolloutState,
    is_valid_ramp,
    supersedes,
)
from umbermoor.gateway.rollout.stages import oldest_first

MAX_KNOWN_ORDERS = 32
"""How many past orders of a service are kept to recognize repetitions."""

NOT_STORED = ("on", "epoch", "begin")
"""Keys of a stage change that are checked but not stored."""


class OrderRequest(TypedDict):
    """The content of an order, as JSON."""

    target: str
    """The version to roll out."""
    rampS: float
    """Seconds within which the rollout must be settled or reverted."""
    present: list[str]
    """Versions of the service's listed instances."""
    key: str
    """Distinguishes this order from an earlier one with the same target; "" if not given."""


def order_request(
    target: str, ramp_seconds: float, present: Sequence[str], key: str = ""
) -> OrderRequest:
    """Build the JSON of an order.

    Args:
        target: the version to roll out.
        ramp_seconds: the time within which the rollout must be settled or reverted.
        present: versions of the service's listed instances.
        key: distinguishes this order from an earlier one with the same target.
    """
    return {"target": target, "rampS": ramp_seconds, "present": list(present), "key": key}


def first_record(last: RecordDocument | None, request: OrderRequest) -> RecordDocument:
    """Return the first record of an accepted order; `last` is the stored record before it."""
    target = request["target"]
    return {
        "order": last["order"] + 1 if last else 1,
        "serial": 0,
        "target": target,
        "from": _previous_versions(last, request),
        "rampS": request["rampS"],
        "state": RolloutState.RUNNING.value,
        "stage": 0,
        "elapsed": 0.0,
        "why": "",
        "known": [*_known_orders(last), [target, request["key"]]][-MAX_KNOWN_ORDERS:],
    }


def _previous_versions(last: RecordDocument | None, request: OrderRequest) -> list[str]:
    """Return the versions in use before the order, in order of preference."""
    if last and last["state"] == RolloutState.SETTLED:
        return [last["target"]]
    if last:
        previous: list[str] = last["from"]
        return previous
    target = request["target"]
    return [version for version in oldest_first(request["present"]) if version != target]


def _known_orders(last: RecordDocument | None) -> list[list[str]]:
    """Return target and key of the recent orders, oldest first.

    Records written by an earlier release name only their own target.
    """
    return [] if last is None else last.get("known") or [[last["target"], ""]]


def decide_begin(
    last: RecordDocument | None, request: OrderRequest, is_configured: Callable[[], bool]
) -> Decision:
    """Decide on an order; the value of an accepted one is the record to store.

    Args:
        last: the stored record of the service, if any.
        request: the content of the order.
        is_configured: returns whether the configuration in force names the service.

    Raises:
        TypeError: target or key is not a string.
        ValueError: the ramp time is not one that an order may have.

    >>> first = decide_begin(None, order_request("v2", 12, ["v1", "v2"]), lambda: True)
    >>> first.outcome.value, first.value["from"]
    ('taken', ['v1'])
    >>> decide_begin(first.value, order_request("v2", 12, []), lambda: True).outcome.value
    'same'
    >>> decide_begin(first.value, order_request("v3", 12, []), lambda: True).reason
    'target: another is under way, v2'
    >>> settled = first.value | {"state": "settled"}
    >>> third = decide_begin(settled, order_request("v3", 12, []), lambda: True).value
    >>> decide_begin(third, order_request("v2", 12, []), lambda: True).outcome.value
    'same'
    >>> again = order_request("v2", 12, [], "again")
    >>> back = decide_begin(third | {"state": "reverted"}, again, lambda: True)
    >>> back.outcome.value, back.value["order"], back.value["from"]
    ('taken', 3, ['v2'])
    """
    target, key, known_orders = request["target"], request["key"], _known_orders(last)
    if not (isinstance(target, str) and isinstance(key, str)):
        raise TypeError
    if not is_valid_ramp(request["rampS"]):
        raise ValueError
    if [target, key] in known_orders or (
        not key and any(target == earlier for earlier, _ in known_orders)
    ):
        return Decision(Outcome.UNCHANGED)
    if last and last["state"] == RolloutState.RUNNING:
        return Decision(Outcome.CONFLICT, None, f"target: another is under way, {last['target']}")
    if last is None and not request["present"] and not is_configured():
        return Decision(Outcome.NOT_FOUND, None, "service: unknown, and no machine of it is known")
    return Decision(Outcome.ACCEPTED, first_record(last, request))


def stage_write(record: RecordDocument, decided_on: RecordDocument, epoch: int) -> RecordDocument:
    """Return the write that proposes `record`, based on `decided_on` by the head of that epoch."""
    return record | {"on": [decided_on["order"], decided_on["serial"]], "epoch": epoch}


def decide_stage(last: RecordDocument | None, write: RecordDocument, epoch: int) -> Decision:
    """Decide on a stage change; it is stale if its base record or epoch is no longer current."""
    if write["epoch"] != epoch:
        return Decision(Outcome.STALE, None, "epoch: it was decided under another")
    if last is None or write["on"] != [last["order"], last["serial"]]:
        return Decision(Outcome.STALE, None, "it was decided on another record")
    record = {key: value for key, value in write.items() if key not in NOT_STORED}
    if not supersedes(record, last):
        return Decision(Outcome.STALE)
    return Decision(Outcome.ACCEPTED, record)

"""How the head of the chain judges orders and stages, against the record that stands there.

An order is known again by its target, and by the key that the operator may give it: a target that
was ordered before is a repetition, unless it comes with a new key. A stage carries the record that
it was decided on and the epoch of the head that decided; a later epoch, or another record, makes it
void. No clock, no input or output: the head judges while it applies the write.
"""

from collections.abc import Callable, Sequence
from typing import TypedDict

from umbermoor.gateway.effects import Decision, Outcome
from umbermoor.gateway.rollout.records import RecordDocument, RolloutState, supersedes
from umbermoor.gateway.rollout.stages import oldest_first

MAX_KNOWN_ORDERS = 32
"""Orders of a service that are known again."""

NOT_STORED = ("on", "epoch", "begin")
"""Keys of a stage's write that are judged and not stored."""


class OrderRequest(TypedDict):
    """What an order asks for, as JSON."""

    target: str
    """The version to roll out."""
    rampS: float
    """Seconds until it is to be settled or reverted."""
    present: list[str]
    """Versions of the service's listed instances."""
    key: str
    """What tells an order of a target from an earlier one of it; "" if nothing does."""


def order_request(
    target: str, ramp_seconds: float, present: Sequence[str], key: str = ""
) -> OrderRequest:
    """What an order asks for.

    Args:
        target: the version to roll out.
        ramp_seconds: the time until it is to be settled or reverted.
        present: versions of the service's listed instances.
        key: what tells an order of a target from an earlier one of it.
    """
    return {"target": target, "rampS": ramp_seconds, "present": list(present), "key": key}


def first_record(last: RecordDocument | None, request: OrderRequest) -> RecordDocument:
    """The record of an order that is accepted after `last`."""
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
    """The versions in use before the order."""
    if last and last["state"] == RolloutState.SETTLED:
        return [last["target"]]
    if last:
        previous: list[str] = last["from"]
        return previous
    target = request["target"]
    return [version for version in oldest_first(request["present"]) if version != target]


def _known_orders(last: RecordDocument | None) -> list[list[str]]:
    """Target and key of the orders so far, the last one last.

    Records of an earlier revision of the software name their own alone.
    """
    return [] if last is None else last.get("known") or [[last["target"], ""]]


def decide_begin(
    last: RecordDocument | None, request: OrderRequest, is_configured: Callable[[], bool]
) -> Decision:
    """What an order comes to; an accepted one's value is the record to store.

    Args:
        last: the record that stands there.
        request: what the order asks for.
        is_configured: whether the configuration in force names the service.

    Raises:
        TypeError: target or key are no text.

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
    target, key, known = request["target"], request["key"], _known_orders(last)
    if not (isinstance(target, str) and isinstance(key, str)):
        raise TypeError
    if [target, key] in known or (not key and any(target == earlier for earlier, _ in known)):
        return Decision(Outcome.UNCHANGED)
    if last and last["state"] == RolloutState.RUNNING:
        return Decision(Outcome.CONFLICT, None, f"target: another is under way, {last['target']}")
    if last is None and not request["present"] and not is_configured():
        return Decision(Outcome.NOT_FOUND, None, "service: unknown, and no machine of it is known")
    return Decision(Outcome.ACCEPTED, first_record(last, request))


def stage_write(record: RecordDocument, decided_on: RecordDocument, epoch: int) -> RecordDocument:
    """What is written for a stage that was decided on a record, by the head of that epoch."""
    return record | {"on": [decided_on["order"], decided_on["serial"]], "epoch": epoch}


def decide_stage(last: RecordDocument | None, write: RecordDocument, epoch: int) -> Decision:
    """Whether a stage's write still stands upon the record and the epoch that it was decided on."""
    if write["epoch"] != epoch:
        return Decision(Outcome.STALE, None, "epoch: it was decided under another")
    if last is None or write["on"] != [last["order"], last["serial"]]:
        return Decision(Outcome.STALE, None, "it was decided on another record")
    record = {key: value for key, value in write.items() if key not in NOT_STORED}
    if not supersedes(record, last):
        return Decision(Outcome.STALE)
    return Decision(Outcome.ACCEPTED, record)

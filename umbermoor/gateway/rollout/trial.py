"""Orders and stages of roll-outs as the head of the chain judges them, against the record that
stands there.

An order is known again by its target, and by the key that the operator may give it: a target that
was ordered before is a repetition, unless it comes with a new key. Stages carry the record they
were decided on and the epoch of the head that decided; a later epoch, or another record, makes them
void. No clock, no I/O.
"""

from collections.abc import Callable, Sequence
from typing import Any

from umbermoor.gateway.effects import Decision, Outcome
from umbermoor.gateway.rollout.plan import Record, earliest, newer

KNOWN = 32  # orders of a service that are known again


def ask(target: str, ramp_s: float, present: Sequence[str], key: str = "") -> dict[str, Any]:
    """What an order asks for. `present`: revisions of the service's listed machines; `key`: what
    tells an order of a target from an earlier one of it."""
    return {"target": target, "rampS": ramp_s, "present": list(present), "key": key}


def first_record(last: Record | None, asked: dict[str, Any]) -> Record:
    """The record of an order that is taken."""
    target = asked["target"]
    if last and last["state"] == "settled":
        before = [last["target"]]
    else:
        before = (
            last["from"] if last else [one for one in earliest(asked["present"]) if one != target]
        )
    return {
        "order": last["order"] + 1 if last else 1,
        "serial": 0,
        "target": target,
        "from": before,
        "rampS": asked["rampS"],
        "state": "running",
        "stage": 0,
        "elapsed": 0.0,
        "why": "",
        "known": [*_known(last), [target, asked["key"]]][-KNOWN:],
    }


def _known(last: Record | None) -> list[list[str]]:
    """Target and key of the orders so far, the last one last. Records of the earlier revision name
    their own alone."""
    return [] if last is None else last.get("known") or [[last["target"], ""]]


def judge_begin(last: Record | None, asked: dict[str, Any], named: Callable[[], bool]) -> Decision:
    """What an order comes to. `named`: whether the configuration in force names the service.

    >>> first = judge_begin(None, ask("v2", 12, ["v1", "v2"]), lambda: True)
    >>> first.outcome.value, first.value["from"]
    ('taken', ['v1'])
    >>> judge_begin(first.value, ask("v2", 12, []), lambda: True).outcome.value
    'same'
    >>> judge_begin(first.value, ask("v3", 12, []), lambda: True).reason
    'target: another is under way, v2'
    >>> settled = first.value | {"state": "settled"}
    >>> third = judge_begin(settled, ask("v3", 12, []), lambda: True).value
    >>> judge_begin(third, ask("v2", 12, []), lambda: True).outcome.value
    'same'
    >>> back = judge_begin(third | {"state": "reverted"}, ask("v2", 12, [], "again"), lambda: True)
    >>> back.outcome.value, back.value["order"], back.value["from"]
    ('taken', 3, ['v2'])
    """
    target, key, known = asked["target"], asked["key"], _known(last)
    if not (isinstance(target, str) and isinstance(key, str)):
        raise TypeError
    if [target, key] in known or (not key and any(target == one for one, _ in known)):
        return Decision(Outcome.UNCHANGED)
    if last and last["state"] == "running":
        return Decision(Outcome.CONFLICT, None, f"target: another is under way, {last['target']}")
    if last is None and not asked["present"] and not named():
        return Decision(Outcome.NOT_FOUND, None, "service: unknown, and no machine of it is known")
    return Decision(Outcome.ACCEPTED, first_record(last, asked))


def step(record: Record, on: Record, epoch: int) -> Record:
    """What is put for a stage that was decided on `on`, under the epoch of the head that decided
    it."""
    return record | {"on": [on["order"], on["serial"]], "epoch": epoch}


def judge_step(last: Record | None, new: Record, epoch: int) -> Decision:
    """Whether a stage still stands upon the record and the epoch that it was decided on."""
    if new["epoch"] != epoch:
        return Decision(Outcome.STALE, None, "epoch: it was decided under another")
    if last is None or new["on"] != [last["order"], last["serial"]]:
        return Decision(Outcome.STALE, None, "it was decided on another record")
    record = {key: value for key, value in new.items() if key not in ("on", "epoch", "begin")}
    return Decision(Outcome.ACCEPTED, record) if newer(record, last) else Decision(Outcome.STALE)

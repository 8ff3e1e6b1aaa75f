"""What members of the register say to each other, and whether a message has the shape of what it
says to be.

Source: none outside; a message of another shape is dropped whole, so what handles one need not look
again. Numbers are whole and below 2**62, a version is [epoch, seq], names are IP addresses.
"""

from collections.abc import Callable, Mapping
from typing import Any

from umbermoor.gateway.effects import Outcome

Check = Callable[[Any], bool]
LARGEST = 2**62


def number(value: Any) -> bool:
    return type(value) is int and 0 <= value < LARGEST


def flag(value: Any) -> bool:
    return type(value) is bool


def anything(value: Any) -> bool:
    return True


def name(value: Any) -> bool:
    return type(value) is str and 0 < len(value) <= 64


def zone(value: Any) -> bool:
    return type(value) is str and len(value) <= 64


def names(value: Any) -> bool:
    return (
        type(value) is list
        and len(value) <= 64
        and all(map(name, value))
        and len(set(value)) == len(value)
    )


def version(value: Any) -> bool:
    return type(value) is list and len(value) == 2 and all(map(number, value))


def view(value: Any) -> bool:
    return value is None or (
        type(value) is list and len(value) == 2 and number(value[0]) and names(value[1])
    )


def key(value: Any) -> bool:
    """As long as LMDB takes with what is put before it."""
    return type(value) is str and len(value.encode(errors="replace")) <= 480 and value.isprintable()


def values(value: Any) -> bool:
    return type(value) is dict and all(map(key, value))


def maybe_values(value: Any) -> bool:
    return value is None or values(value)


def entry(value: Any) -> bool:
    """[key, value, origin, its life, its number there]"""
    return (
        type(value) is list
        and len(value) == 5
        and key(value[0])
        and name(value[2])
        and all(map(number, value[3:]))
    )


def entries(value: Any) -> bool:
    return type(value) is list and all(map(entry, value))


def echo(value: Any) -> bool:
    """[life, beat] of the last ping that came from the addressed"""
    return type(value) is list and len(value) == 2 and all(map(number, value))


def outcome(value: Any) -> bool:
    return type(value) is str and value in OUTCOMES


def line(value: Any) -> bool:
    return type(value) is str and len(value) <= 400


def seats(value: Any) -> bool:
    """[[name, rank], ...]"""
    return (
        type(value) is list
        and 0 < len(value) <= 64
        and all(
            type(seat) is list and len(seat) == 2 and name(seat[0]) and number(seat[1])
            for seat in value
        )
        and len({seat[0] for seat in value}) == len(value)
    )


def sets(value: Any) -> bool:
    """[system, number, old, new]; null: none."""
    return value is None or (
        type(value) is list
        and len(value) == 4
        and all(map(number, value[:2]))
        and all(map(seats, value[2:]))
    )


def proven(value: Any) -> bool:
    """[epoch, sets]"""
    return value is None or (
        type(value) is list
        and len(value) == 2
        and number(value[0])
        and sets(value[1])
        and bool(value[1])
    )


ASK = {"life": number, "id": number}
OUTCOMES = frozenset(one.value for one in Outcome)
SHAPES: Mapping[str, Mapping[str, Check]] = {
    "ping": {
        "life": number,  # drawn when the process started
        "beat": number,  # rises in a life
        "fresh": flag,  # cold, and holds nothing
        "blank": flag,  # its disk was lost
        "ready": flag,  # blank, and may be filled
        "well": flag,  # its disk takes writes
        "members": names,  # M, [] if unknown
        "promise": number,
        "joined": number,  # epoch of the view that was accepted in this life
        "serving": flag,  # that one is active and nothing later is promised
        "view": view,  # the latest known to be active
        "committed": version,
        "hears": names,
    },
    "found": {"members": names, "life": number},  # that of the addressed
    "settled": {"members": names, "promise": number},
    "learn": {"nonce": number},
    "learnt": {"nonce": number, "promise": number},
    "prepare": {"epoch": number, "version": version},
    "promise": {
        "epoch": number,
        "blank": flag,
        "version": version,
        "state": maybe_values,
        "hears": names,
    },
    "refuse": {"epoch": number, "promise": number},
    "newview": {
        "epoch": number,
        "chain": names,
        "members": names,
        "base": version,
        "state": maybe_values,
    },
    "accept": {"epoch": number},
    "append": {"epoch": number, "first": number, "entries": entries, "committed": number},
    "ack": {"epoch": number, "synced": number, "committed": number},
    "put": {"epoch": number, **ASK, "key": key, "value": anything},
    "done": ASK,
    "refused": {**ASK, "epoch": number},
    "read": {"epoch": number, **ASK, "have": version},
    "map": {**ASK, "version": version, "state": maybe_values},
    "confirm": {"epoch": number, "nonce": number},
    "confirmed": {"epoch": number, "nonce": number},
    "fetch": {"have": version},
    "news": {"version": version, "state": values},
}
# Fields that members of an earlier revision do not send.
MAYBE: Mapping[str, Mapping[str, Check]] = {
    "ping": {
        "echo": echo,
        "number": number,  # of the latest set known to be in force
        "system": number,  # 0: none yet; not told to a member that has its disk
        "leaving": flag,  # it is about to end, in order
        "zone": zone,  # now and then
        "quorum": flag,  # of a learner: it is a machine that counts, by the platform's word
        "age": number,  # of a learner: us since its start
        "sets": proven,  # that set, for one that does not know it
    },
    "found": {"system": number},
    "promise": {"held": sets, "proven": proven},
    "newview": {"sets": sets},
    "done": {"outcome": outcome, "why": line},
}


def shaped(message: Any) -> bool:
    """Whether it is a message that a member may have sent; more fields than are known do not
    harm."""
    if type(message) is not dict or type(message.get("kind")) is not str:
        return False
    shape = SHAPES.get(message["kind"])
    maybe = MAYBE.get(message["kind"], {})
    return (
        shape is not None
        and all(key in message and check(message[key]) for key, check in shape.items())
        and all(key not in message or check(message[key]) for key, check in maybe.items())
    )

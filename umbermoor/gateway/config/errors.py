"""What is wrong with something that was read, as a value."""

from typing import Any, NamedTuple

_LONGEST = 200


class Fault(NamedTuple):
    """One thing that is wrong; its text is one line."""

    where: str  # what holds the key: "route r-1", "service a", "settings"; "" where it is the whole
    key: str  # dotted where it lies deeper: "mix.0.gain"; "" where there is none
    what: str

    def __str__(self) -> str:
        line = ": ".join(" ".join(part.split()) for part in self if part)
        return line if len(line) <= _LONGEST else line[: _LONGEST - 3] + "..."


def first_fault(where: str, errors: Any) -> Fault:
    """The first of what cerberus found: its `errors`, tables and lists in one another."""
    keys = []
    while not isinstance(errors, str):
        if isinstance(errors, dict):
            key, errors = next(iter(errors.items()))
            keys.append(str(key))
        else:
            errors = errors[0]
    return Fault(where, ".".join(keys), errors)

"""Validation errors of settings and configurations, as values that are returned, not raised."""

from typing import Any, NamedTuple

MAX_TEXT_LENGTH = 200
_ELLIPSIS = "..."


class ValidationError(NamedTuple):
    """The first error found in a document; its string form is a single line.

    Attributes:
        location: What contains the key: "route r-1", "service a", "settings"; "" for the document.
        key: The key, as a dotted path if it is nested ("mix.0.gain"); "" if there is none.
        reason: A description of the error.
    """

    location: str
    key: str
    reason: str

    def __str__(self) -> str:
        line = ": ".join(" ".join(part.split()) for part in self if part)
        if len(line) <= MAX_TEXT_LENGTH:
            return line
        return line[: MAX_TEXT_LENGTH - len(_ELLIPSIS)] + _ELLIPSIS


def first_cerberus_error(location: str, errors: Any) -> ValidationError:
    """Return the first error in the nested dicts and lists of a cerberus validator's `errors`."""
    keys = []
    while not isinstance(errors, str):
        if isinstance(errors, dict):
            key, errors = next(iter(errors.items()))
            keys.append(str(key))
        else:
            errors = errors[0]
    return ValidationError(location, ".".join(keys), errors)

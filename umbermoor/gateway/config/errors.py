"""What is wrong with settings or a configuration, as a value that is returned and not raised."""

from typing import Any, NamedTuple

MAX_TEXT_LENGTH = 200
_ELLIPSIS = "..."


class ValidationError(NamedTuple):
    """The first thing found wrong with a document; its text is one line.

    Attributes:
        location: What holds the key: "route r-1", "service a", "settings"; "" for the document.
        key: The key, dotted where it lies deeper ("mix.0.gain"); "" where there is none.
        reason: What is wrong with it.
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
    """The first of the `errors` of a cerberus validator, which are dicts and lists, nested."""
    keys = []
    while not isinstance(errors, str):
        if isinstance(errors, dict):
            key, errors = next(iter(errors.items()))
            keys.append(str(key))
        else:
            errors = errors[0]
    return ValidationError(location, ".".join(keys), errors)

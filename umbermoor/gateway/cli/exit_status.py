"""Exit statuses of the commands; scripts rely on them."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """How a command ended."""

    SUCCESS = 0
    REFUSED = 1  # the error line says why
    BAD_INPUT = 2
    NO_RESPONSE = 3  # no controller answered

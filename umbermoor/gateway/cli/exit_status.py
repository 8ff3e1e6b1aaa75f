"""Exit statuses of the commands. Scripts rely on the values."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit status of a command."""

    SUCCESS = 0
    REFUSED = 1  # the line on standard error has the reason
    BAD_INPUT = 2
    NO_RESPONSE = 3  # no controller answered

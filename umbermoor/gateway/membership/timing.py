"""The unit of all times in this package: whole microseconds of a clock that never goes back."""

MILLISECOND = 1000
SECOND = 1000 * MILLISECOND

"""Units of time: the gateway counts in whole microseconds unless a name says otherwise."""

MILLISECOND = 1_000
"""One millisecond in microseconds."""
SECOND = 1_000 * MILLISECOND
"""One second in microseconds."""

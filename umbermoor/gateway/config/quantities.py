"""Conversion of times and host names to the gateway's internal form."""

from umbermoor.gateway.units import SECOND


def to_microseconds(seconds: float) -> int:
    """Return seconds as whole microseconds, rounded to the nearest."""
    return round(seconds * SECOND)


def normalize_host(host: str) -> str:
    """Return the value of a `Host` header in lower case and without its port."""
    host = host.strip().lower()
    if host.startswith("["):  # an IPv6 address
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]

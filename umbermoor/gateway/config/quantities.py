"""Times and host names in the form that the gateway keeps them in."""

from umbermoor.gateway.units import SECOND


def to_microseconds(seconds: float) -> int:
    """Seconds as whole microseconds, rounded to the nearest."""
    return round(seconds * SECOND)


def normalize_host(host: str) -> str:
    """A `Host` header's value in lower case, without its port."""
    host = host.strip().lower()
    if host.startswith("["):  # an IPv6 address
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]

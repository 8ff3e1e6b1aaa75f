"""Times and places as the pages write them, as the gateway keeps them."""


def us(seconds: float) -> int:
    """Seconds as whole microseconds, to the nearest."""
    return round(seconds * 1_000_000)


def host_name(host: str) -> str:
    """A `Host` value without its port, in lower case."""
    host = host.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]

"""Calls to the controllers, as PROTOCOL.md ("The operator") specifies for callers of `controller`.

The addresses are tried one after another, with a growing delay between attempts.
"""

import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import NamedTuple

import httpcore

ATTEMPT_TIMEOUT_S = 1.0  # after this, the next address is tried
BODY_BYTES_PER_SECOND = 1_000_000  # each such number of bytes extends the time-out by 1 s
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.1, 1.0  # between attempts
RETRY_DELAY_GROWTH = 1.5
MAX_REDIRECTS = 2  # responses 307 in a row
RETRIED_STATUSES = 408, 429  # these and every 5xx are retried at another address


class ControlResponse(NamedTuple):
    """A final response to a call."""

    status: int
    body: bytes
    address: str  # of the controller that responded
    attempts: int  # number of attempts, including this one

    @property
    def succeeded(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300


class NoResponse(NamedTuple):
    """No address gave a final response in time."""

    reason: str  # the failure of the last attempt


class ControlClient:
    """Tries one control address after another.

    Args:
        addresses: control addresses, each as ip:port.
        timeout_s: seconds after which no further attempt is made.
        retry_delay_s: seconds between the first two attempts; it grows from there.
        sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_s: float = 8.0,
        retry_delay_s: float = RETRY_DELAY_S,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.addresses = list(addresses)
        self.timeout_s, self.retry_delay_s = timeout_s, retry_delay_s
        self.sleep = sleep

    def call(
        self, method: str, path: str, body: bytes = b"", first_address: str | None = None
    ) -> ControlResponse | NoResponse:
        """Make one call; the address that responds is tried first the next time.

        Args:
            method: the HTTP method.
            path: the path of the call.
            body: JSON; empty for no body.
            first_address: an address to try before the others.
        """
        addresses = [first_address, *self.addresses] if first_address else self.addresses
        deadline, delay_s = time.monotonic() + self.timeout_s, self.retry_delay_s
        attempts, reason = 0, "no address"
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            while addresses:
                for address in addresses:
                    if attempts and time.monotonic() >= deadline:
                        return NoResponse(reason)
                    if attempts:
                        self.sleep(delay_s)
                        delay_s = min(MAX_RETRY_DELAY_S, delay_s * RETRY_DELAY_GROWTH)
                    attempts += 1
                    response = _attempt(pool, method, address, path, body)
                    if isinstance(response, NoResponse):
                        reason = response.reason
                        continue
                    self._prefer(address)
                    return response._replace(attempts=attempts)
                addresses = self.addresses
        return NoResponse(reason)

    def call_once(self, address: str, method: str, path: str) -> ControlResponse | NoResponse:
        """Make one call to one address, without retries."""
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            return _attempt(pool, method, address, path, b"")

    def _prefer(self, address: str) -> None:
        if address in self.addresses:
            self.addresses.sort(key=lambda other: other != address)


def _attempt(
    pool: httpcore.ConnectionPool, method: str, address: str, path: str, body: bytes
) -> ControlResponse | NoResponse:
    """Call one address and follow its redirects."""
    timeout_s = ATTEMPT_TIMEOUT_S + len(body) / BODY_BYTES_PER_SECOND
    url = f"http://{address}{path}"
    for _ in range(MAX_REDIRECTS + 1):
        try:
            response = _request(pool, method, url, body, timeout_s)
        except httpcore.TimeoutException:
            return NoResponse(f"{address}: {timeout_s:.3g} s of silence")
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.UnsupportedProtocol,
        ) as error:
            return NoResponse(f"{address}: {str(error) or type(error).__name__}")
        if response.status != HTTPStatus.TEMPORARY_REDIRECT:
            return _classify(response, address)
        url = _location(response)
        if not url.startswith("http://"):
            return NoResponse(f"{address}: answered 307 without an address")
    return NoResponse(f"{address}: answered 307 more than {MAX_REDIRECTS} times")


def _request(
    pool: httpcore.ConnectionPool, method: str, url: str, body: bytes, timeout_s: float
) -> httpcore.Response:
    return pool.request(
        method,
        url,
        headers=[("Content-Type", "application/json"), ("Connection", "close")],
        content=body or None,
        extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)},
    )


def _classify(response: httpcore.Response, address: str) -> ControlResponse | NoResponse:
    """Return the response if it is final, else NoResponse to try another address."""
    if response.status >= 500 or response.status in RETRIED_STATUSES:
        return NoResponse(f"{address}: answered {response.status}")
    return ControlResponse(response.status, response.content, address, 1)


def _location(response: httpcore.Response) -> str:
    """Return the target of a redirect; "" without a Location header."""
    for name, value in response.headers:
        if name.lower() == b"location":
            return value.decode("latin-1")
    return ""

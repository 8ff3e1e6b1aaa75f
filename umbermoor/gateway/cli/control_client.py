"""Calls to the core, as callers of `controller` make them (PROTOCOL.md, "The operator"): one
address after another."""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import httpcore

ATTEMPT_TIMEOUT_S = 1.0  # s: then another is asked
BODY_BYTES_PER_SECOND = 1_000_000  # bytes of a body that get another second
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.1, 1.0  # s: between moves, growing
MAX_REDIRECTS = 2  # 307 in a row
RETRIED_STATUSES = 408, 429  # and every 5xx: asked at another address


class ControlResponse(NamedTuple):
    """An answer that ends a call."""

    status: int
    body: bytes
    at: str  # who gave it
    tries: int  # addresses asked, this one included

    @property
    def done(self) -> bool:
        return 200 <= self.status < 300


class NoResponse(NamedTuple):
    """No address gave a clear answer in time."""

    why: str  # what the last one did


class ControlClient:
    """Asks one control address after another, `ip:port` each, for `within` seconds at most."""

    def __init__(
        self,
        places: Sequence[str],
        within: float = 8.0,
        pause: float = RETRY_DELAY_S,
        rest: Callable[[float], None] = time.sleep,
    ) -> None:
        self.places, self.within, self.pause, self.rest = list(places), within, pause, rest

    def call(
        self, method: str, path: str, body: bytes = b"", first: str | None = None
    ) -> ControlResponse | NoResponse:
        """One call; `first` is asked before the others. What answered is asked first the next
        time."""
        places = [first, *self.places] if first else self.places
        until, pause, tries, why = time.monotonic() + self.within, self.pause, 0, "no address"
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            while places:
                for place in places:
                    if tries and time.monotonic() >= until:
                        return NoResponse(why)
                    if tries:
                        self.rest(pause)
                        pause = min(MAX_RETRY_DELAY_S, pause * 1.5)
                    tries += 1
                    found = self._ask(pool, method, place, path, body)
                    if isinstance(found, NoResponse):
                        why = found.why
                        continue
                    if place in self.places:
                        self.places.sort(key=lambda one: one != place)
                    return found._replace(tries=tries)
                places = self.places
        return NoResponse(why)

    def once(self, place: str, method: str, path: str) -> ControlResponse | NoResponse:
        """One call to one address."""
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            return self._ask(pool, method, place, path, b"")

    @staticmethod
    def _ask(
        pool: httpcore.ConnectionPool, method: str, place: str, path: str, body: bytes
    ) -> ControlResponse | NoResponse:
        silence = ATTEMPT_TIMEOUT_S + len(body) / BODY_BYTES_PER_SECOND
        limits = {"timeout": dict.fromkeys(("connect", "read", "write", "pool"), silence)}
        headers = [("Content-Type", "application/json"), ("Connection", "close")]
        where = f"http://{place}{path}"
        for _ in range(MAX_REDIRECTS + 1):
            try:
                answer = pool.request(
                    method, where, headers=headers, content=body or None, extensions=limits
                )
            except httpcore.TimeoutException:
                return NoResponse(f"{place}: {silence:.3g} s of silence")
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.UnsupportedProtocol,
            ) as error:
                return NoResponse(f"{place}: {str(error) or type(error).__name__}")
            if answer.status != 307:
                break
            where = next(
                (
                    value.decode("latin-1")
                    for name, value in answer.headers
                    if name.lower() == b"location"
                ),
                "",
            )
            if not where.startswith("http://"):
                return NoResponse(f"{place}: answered 307 without an address")
        if answer.status == 307:
            return NoResponse(f"{place}: answered 307 more than {MAX_REDIRECTS} times")
        if answer.status >= 500 or answer.status in RETRIED_STATUSES:
            return NoResponse(f"{place}: answered {answer.status}")
        return ControlResponse(answer.status, answer.content, place, 1)

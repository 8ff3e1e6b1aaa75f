"""Calls to the core, as callers of `controller` make them (PROTOCOL.md, "The operator"): one
address after another."""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import httpcore

SILENCE = 1.0  # s: then another is asked
SLOW = 1_000_000  # bytes of a body that get another second
PAUSE, PAUSE_MOST = 0.1, 1.0  # s: between moves, growing
FOLLOWED = 2  # 307 in a row
ELSEWHERE = 408, 429  # and every 5xx: asked at another address


class Told(NamedTuple):
    """An answer that ends a call."""

    status: int
    body: bytes
    at: str  # who gave it
    tries: int  # addresses asked, this one included

    @property
    def done(self) -> bool:
        return 200 <= self.status < 300


class Nobody(NamedTuple):
    """No address gave a clear answer in time."""

    why: str  # what the last one did


class Caller:
    """Asks one control address after another, `ip:port` each, for `within` seconds at most."""

    def __init__(
        self,
        places: Sequence[str],
        within: float = 8.0,
        pause: float = PAUSE,
        rest: Callable[[float], None] = time.sleep,
    ) -> None:
        self.places, self.within, self.pause, self.rest = list(places), within, pause, rest

    def call(
        self, method: str, path: str, body: bytes = b"", first: str | None = None
    ) -> Told | Nobody:
        """One call; `first` is asked before the others. What answered is asked first the next
        time."""
        places = [first, *self.places] if first else self.places
        until, pause, tries, why = time.monotonic() + self.within, self.pause, 0, "no address"
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            while places:
                for place in places:
                    if tries and time.monotonic() >= until:
                        return Nobody(why)
                    if tries:
                        self.rest(pause)
                        pause = min(PAUSE_MOST, pause * 1.5)
                    tries += 1
                    found = self._ask(pool, method, place, path, body)
                    if isinstance(found, Nobody):
                        why = found.why
                        continue
                    if place in self.places:
                        self.places.sort(key=lambda one: one != place)
                    return found._replace(tries=tries)
                places = self.places
        return Nobody(why)

    def once(self, place: str, method: str, path: str) -> Told | Nobody:
        """One call to one address."""
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            return self._ask(pool, method, place, path, b"")

    @staticmethod
    def _ask(
        pool: httpcore.ConnectionPool, method: str, place: str, path: str, body: bytes
    ) -> Told | Nobody:
        silence = SILENCE + len(body) / SLOW
        limits = {"timeout": dict.fromkeys(("connect", "read", "write", "pool"), silence)}
        headers = [("Content-Type", "application/json"), ("Connection", "close")]
        where = f"http://{place}{path}"
        for _ in range(FOLLOWED + 1):
            try:
                answer = pool.request(
                    method, where, headers=headers, content=body or None, extensions=limits
                )
            except httpcore.TimeoutException:
                return Nobody(f"{place}: {silence:.3g} s of silence")
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.UnsupportedProtocol,
            ) as error:
                return Nobody(f"{place}: {str(error) or type(error).__name__}")
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
                return Nobody(f"{place}: answered 307 without an address")
        if answer.status == 307:
            return Nobody(f"{place}: answered 307 more than {FOLLOWED} times")
        if answer.status >= 500 or answer.status in ELSEWHERE:
            return Nobody(f"{place}: answered {answer.status}")
        return Told(answer.status, answer.content, place, 1)

"""What waits to be synced, one write at a time, and what is due after it. No I/O: the host carries writes out.

All that comes while a write is under way goes into the next, all or none. A refused write is tried again with what came
after it, so the order on disk is the order of asking, and what waits is bounded by the keys and purposes there are.
Times are whole microseconds.
"""

from dataclasses import dataclass, field
from typing import Callable

from umbermoor.gateway.effects import Write

AGAIN = 200_000  # until a refused write is tried again
HANGS = 400_000  # a write that takes longer: the disk is not well

Then = Callable[[], None]


@dataclass(slots=True)
class Disk:
    _wanted: dict[str, bytes | None] = field(default_factory=dict)
    _thens: dict[str, Then] = field(default_factory=dict)
    _flying: tuple[dict[str, bytes | None], dict[str, Then]] | None = None
    _token: int = 0
    _since: int | None = None  # when the oldest write that has not succeeded was first handed out
    _again: int = 0
    _refused: bool = False

    def want(self, puts: dict[str, bytes | None], purpose: str, then: Then) -> None:
        """Sync `puts`, then call `then`; a later one of the same purpose stands for the earlier too."""
        self._wanted.update(puts)
        self._thens[purpose] = then

    def start(self, now: int) -> Write | None:
        """The next write, if there is one to hand out."""
        if self._flying or not self._thens or now < self._again:
            return None
        self._flying = self._wanted, self._thens
        self._wanted, self._thens = {}, {}
        self._token += 1
        self._since = now if self._since is None else self._since
        return Write(self._token, dict(self._flying[0]))

    def written(self, token: int) -> list[Then]:
        """What is due now; nothing if that write is not the one under way."""
        if not self._flying or token != self._token:
            return []
        thens = list(self._flying[1].values())
        self._flying, self._since, self._refused = None, None, False
        return thens

    def unwritten(self, now: int, token: int) -> None:
        if self._flying and token == self._token:
            puts, thens = self._flying
            self._wanted, self._thens = {**puts, **self._wanted}, {**thens, **self._thens}
            self._flying, self._refused, self._again = None, True, now + AGAIN

    def well(self, now: int) -> bool:
        return not self._refused and (self._since is None or now - self._since < HANGS)

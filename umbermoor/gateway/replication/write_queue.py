"""What waits to be synced, one write at a time, and what is due after it. No I/O: the host carries
writes out.

All that comes while a write is under way goes into the next, all or none. A refused write is tried
again with what came after it, so the order on disk is the order of asking, and what waits is
bounded by the keys and purposes there are. A disk whose writes take long, one after another, is not
well either: in a chain every change waits for it. It is tried again with what a change writes, and
has to be quick for a time that doubles each time it was slow again. Times are whole microseconds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from umbermoor.gateway.effects import Write

AGAIN = 200_000  # until a refused write is tried again
HANGS = 400_000  # a write that takes longer: the disk is not well
SLOW = 250_000  # so is one of which two writes after another take longer
REST, LONGEST = (
    2_000_000,
    32_000_000,
)  # it has to be quick for so long first, and for twice as long each time, at most
PROBE = 1_000_000  # between two tries of a disk that was slow

Then = Callable[[], None]


@dataclass(slots=True)
class WriteQueue:
    _wanted: dict[str, bytes | None] = field(default_factory=dict)
    _thens: dict[str, Then] = field(default_factory=dict)
    _flying: tuple[dict[str, bytes | None], dict[str, Then]] | None = None
    _token: int = 0
    _since: int | None = None  # when the oldest write that has not succeeded was first handed out
    _again: int = 0
    _refused: bool = False
    _handed: int = 0  # when the write under way was handed out
    _late: int = 0  # how many writes were slow, one after another
    _slow_until: int = 0
    _rest: int = REST
    _probed: int = 0

    def enqueue(self, puts: dict[str, bytes | None], purpose: str, then: Then) -> None:
        """Sync `puts`, then call `then`; a later one of the same purpose stands for the earlier
        too."""
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
        self._handed = now
        return Write(self._token, dict(self._flying[0]))

    def written(self, now: int, token: int) -> list[Then]:
        """What is due now; nothing if that write is not the one under way."""
        if not self._flying or token != self._token:
            return []
        self._judge(now, now - self._handed)
        thens = list(self._flying[1].values())
        self._flying, self._since, self._refused = None, None, False
        return thens

    def write_failed(self, now: int, token: int) -> None:
        if self._flying and token == self._token:
            puts, thens = self._flying
            self._wanted, self._thens = {**puts, **self._wanted}, {**thens, **self._thens}
            self._flying, self._refused, self._again = None, True, now + AGAIN

    def _judge(self, now: int, took: int) -> None:
        self._late = self._late + 1 if took > SLOW else 0
        if self._late < 2:
            return
        if now >= self._slow_until:  # anew: sooner after the last time than that one lasted, or not
            again = self._slow_until and now - self._slow_until < 4 * self._rest
            self._rest = min(2 * self._rest, LONGEST) if again else REST
        self._slow_until = now + self._rest

    def to_be_probed(self, now: int) -> bool:
        """Whether it was slow, nothing is written, and it is time to see whether it still is."""
        if now >= self._slow_until or self._flying or self._thens or now - self._probed < PROBE:
            return False
        self._probed = now
        return True

    def works(self, now: int) -> bool:
        """Whether it takes writes, be it slowly."""
        return not self._refused and (self._since is None or now - self._since < HANGS)

    def healthy(self, now: int) -> bool:
        return now >= self._slow_until and self.works(now)

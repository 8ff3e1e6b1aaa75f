"""What waits to be synced, one write at a time, and what is due after it. No I/O.

All that comes while a write is under way goes into the next, all or none. A refused write is tried
again with what came after it, so the order on disk is the order of asking, and what waits is
bounded by the keys and purposes there are. A disk whose writes take long, one after another, is not
healthy either: in a chain every change waits for it. It is tried again with what a change writes,
and has to be quick for a time that doubles each time it was slow again. Times are whole
microseconds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from umbermoor.gateway.effects import Write
from umbermoor.gateway.replication.stored_records import Records
from umbermoor.gateway.units import MILLISECOND

RETRY = 200 * MILLISECOND  # until a refused write is tried again
HANGING = 400 * MILLISECOND  # a write that takes longer: the disk is not healthy
SLOW = 250 * MILLISECOND  # so is one of which two writes after another take longer
MIN_PROBATION = 2000 * MILLISECOND  # it has to be quick for so long first,
MAX_PROBATION = 32_000 * MILLISECOND  # and for twice as long each time, up to this
PROBE_INTERVAL = 1000 * MILLISECOND  # between two tries of a disk that was slow
SLOW_WRITES = 2  # one after another

Callback = Callable[[], None]


def do_nothing() -> None:
    """As the callback of a write that nothing waits for."""


@dataclass(slots=True)
class Batch:
    """Records to write at once, and what to call then, by purpose."""

    puts: Records = field(default_factory=dict)
    callbacks: dict[str, Callback] = field(default_factory=dict)


@dataclass(slots=True)
class WriteQueue:
    """The writes of one disk, and whether it is healthy."""

    _waiting: Batch = field(default_factory=Batch)
    _in_flight: Batch | None = None
    _token: int = 0
    _failing_since: int | None = None  # when the oldest write not yet done was first handed out
    _retry_at: int = 0
    _is_refused: bool = False
    _started_at: int = 0  # of the write in flight
    _slow_writes: int = 0  # one after another
    _on_probation_until: int = 0
    _probation: int = MIN_PROBATION
    _probed_at: int = 0

    @property
    def is_writing(self) -> bool:
        """Whether a write is in flight; an observer waits by it until all is synced."""
        return self._in_flight is not None

    def enqueue(self, puts: Records, purpose: str, callback: Callback) -> None:
        """Sync `puts`, then call `callback`; a later one of that purpose replaces an earlier."""
        self._waiting.puts.update(puts)
        self._waiting.callbacks[purpose] = callback

    def start(self, now: int) -> Write | None:
        """The next write, if there is one to hand out."""
        if self._in_flight or not self._waiting.callbacks or now < self._retry_at:
            return None
        self._in_flight, self._waiting = self._waiting, Batch()
        self._token += 1
        if self._failing_since is None:
            self._failing_since = now
        self._started_at = now
        return Write(self._token, dict(self._in_flight.puts))

    def written(self, now: int, token: int) -> list[Callback]:
        """That write is synced: what is due now; nothing if it is not the one in flight."""
        if not self._in_flight or token != self._token:
            return []
        self._note_duration(now, now - self._started_at)
        callbacks = list(self._in_flight.callbacks.values())
        self._in_flight, self._failing_since, self._is_refused = None, None, False
        return callbacks

    def write_failed(self, now: int, token: int) -> None:
        """The disk refused that write: it goes before what came after it."""
        if not self._in_flight or token != self._token:
            return
        failed, later = self._in_flight, self._waiting
        self._waiting = Batch(
            {**failed.puts, **later.puts}, {**failed.callbacks, **later.callbacks}
        )
        self._in_flight, self._is_refused, self._retry_at = None, True, now + RETRY

    def _note_duration(self, now: int, duration: int) -> None:
        self._slow_writes = self._slow_writes + 1 if duration > SLOW else 0
        if self._slow_writes < SLOW_WRITES:
            return
        if now >= self._on_probation_until:
            self._probation = self._next_probation(now)
        self._on_probation_until = now + self._probation

    def _next_probation(self, now: int) -> int:
        """Longer where it is slow again sooner after the last time than that one lasted."""
        since = now - self._on_probation_until
        if self._on_probation_until and since < 4 * self._probation:
            return min(2 * self._probation, MAX_PROBATION)
        return MIN_PROBATION

    def begin_probe(self, now: int) -> bool:
        """Whether it was slow, nothing is written, and it is time to see whether it still is."""
        is_idle = not self._in_flight and not self._waiting.callbacks
        if now >= self._on_probation_until or not is_idle:
            return False
        if now - self._probed_at < PROBE_INTERVAL:
            return False
        self._probed_at = now
        return True

    def accepts_writes(self, now: int) -> bool:
        """Whether it takes writes, be it slowly."""
        is_hanging = self._failing_since is not None and now - self._failing_since >= HANGING
        return not self._is_refused and not is_hanging

    def healthy(self, now: int) -> bool:
        """Whether it takes writes, and has been quick for as long as it has to."""
        return now >= self._on_probation_until and self.accepts_writes(now)

"""Queue of records to sync to disk, one write at a time, with callbacks for each. No I/O.

Records queued while a write is in flight go into the next write, all or none. A refused write is
retried together with the records queued after it, so records reach the disk in the order in which
they were queued, and the size of the queue is bounded by the number of keys and purposes.

A disk with several slow writes in a row is unhealthy too, because in a chain every change waits for
it. It is probed with what a view change would write, and is on probation: it counts as healthy
again only after it has been quick for a time, which doubles each time that the disk becomes slow
again soon. Times are whole microseconds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from umbermoor.gateway.effects import Write
from umbermoor.gateway.replication.stored_records import Records
from umbermoor.gateway.units import MILLISECOND

RETRY_DELAY = 200 * MILLISECOND  # delay before a refused write is retried
HANG_THRESHOLD = 400 * MILLISECOND  # a write that takes so long makes the disk unhealthy
SLOW_THRESHOLD = 250 * MILLISECOND  # a write that takes longer is slow
MIN_PROBATION = 2000 * MILLISECOND  # first probation; doubles with each relapse up to the maximum
MAX_PROBATION = 32_000 * MILLISECOND
PROBE_INTERVAL = 1000 * MILLISECOND  # between two probes of a disk that was slow
SLOW_WRITES = 2  # so many slow writes in a row begin the probation

Callback = Callable[[], None]


def do_nothing() -> None:
    """Do nothing: the callback of a write for which nothing waits."""


@dataclass(slots=True)
class Batch:
    """Records to write together, and the callbacks to call afterwards, by purpose."""

    puts: Records = field(default_factory=dict)
    callbacks: dict[str, Callback] = field(default_factory=dict)


@dataclass(slots=True)
class WriteQueue:
    """The queued writes of one disk, and whether the disk is healthy."""

    _waiting: Batch = field(default_factory=Batch)
    _in_flight: Batch | None = None
    _token: int = 0
    _failing_since: int | None = None  # when the oldest unfinished write was first started
    _retry_at: int = 0
    _is_refused: bool = False
    _started_at: int = 0  # when the write in flight was started
    _slow_writes: int = 0  # number of slow writes in a row
    _on_probation_until: int = 0
    _probation: int = MIN_PROBATION
    _probed_at: int = 0

    @property
    def is_writing(self) -> bool:
        """Whether a write is in flight; lets an observer wait until everything is synced."""
        return self._in_flight is not None

    def enqueue(self, puts: Records, purpose: str, callback: Callback) -> None:
        """Queue `puts`, and call `callback` once they are synced.

        A callback replaces one queued earlier for the same purpose whose write has not finished.
        """
        self._waiting.puts.update(puts)
        self._waiting.callbacks[purpose] = callback

    def start(self, now: int) -> Write | None:
        """Start the next write and return it; None if nothing can be written now."""
        if self._in_flight or not self._waiting.callbacks or now < self._retry_at:
            return None
        self._in_flight, self._waiting = self._waiting, Batch()
        self._token += 1
        if self._failing_since is None:
            self._failing_since = now
        self._started_at = now
        return Write(self._token, dict(self._in_flight.puts))

    def written(self, now: int, token: int) -> list[Callback]:
        """Note that a write is synced; return its callbacks.

        Returns no callbacks if `token` is not that of the write in flight.
        """
        if not self._in_flight or token != self._token:
            return []
        self._note_duration(now, now - self._started_at)
        callbacks = list(self._in_flight.callbacks.values())
        self._in_flight, self._failing_since, self._is_refused = None, None, False
        return callbacks

    def write_failed(self, now: int, token: int) -> None:
        """Note that the disk refused a write; queue it again ahead of what was queued since."""
        if not self._in_flight or token != self._token:
            return
        failed, later = self._in_flight, self._waiting
        self._waiting = Batch(
            {**failed.puts, **later.puts}, {**failed.callbacks, **later.callbacks}
        )
        self._in_flight, self._is_refused, self._retry_at = None, True, now + RETRY_DELAY

    def _note_duration(self, now: int, duration: int) -> None:
        self._slow_writes = self._slow_writes + 1 if duration > SLOW_THRESHOLD else 0
        if self._slow_writes < SLOW_WRITES:
            return
        if now >= self._on_probation_until:
            self._probation = self._next_probation(now)
        self._on_probation_until = now + self._probation

    def _next_probation(self, now: int) -> int:
        """Return the length of the probation that begins now.

        It is twice the last one, up to MAX_PROBATION, if the disk became slow again within four
        times the last probation after that one ended.
        """
        since = now - self._on_probation_until
        if self._on_probation_until and since < 4 * self._probation:
            return min(2 * self._probation, MAX_PROBATION)
        return MIN_PROBATION

    def begin_probe(self, now: int) -> bool:
        """Return whether to probe the disk now, and note the time of the probe if so.

        A disk is probed while it is on probation and idle, at most once in PROBE_INTERVAL.
        """
        is_idle = not self._in_flight and not self._waiting.callbacks
        if now >= self._on_probation_until or not is_idle:
            return False
        if now - self._probed_at < PROBE_INTERVAL:
            return False
        self._probed_at = now
        return True

    def accepts_writes(self, now: int) -> bool:
        """Whether the disk completes writes, even if slowly."""
        is_hanging = self._failing_since is not None and now - self._failing_since >= HANG_THRESHOLD
        return not self._is_refused and not is_hanging

    def healthy(self, now: int) -> bool:
        """Whether the disk completes writes and is not on probation for slow ones."""
        return now >= self._on_probation_until and self.accepts_writes(now)

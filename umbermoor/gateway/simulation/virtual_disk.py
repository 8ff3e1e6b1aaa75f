"""A simulated disk with the interface of `replication.pages.Store` and injectable faults.

Writes are serialized and atomic, like LMDB transactions.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from umbermoor.gateway.simulation.virtual_time import VirtualTime
from umbermoor.gateway.units import MILLISECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.virtual_process import VirtualProcess

SYNC_TIME = 2 * MILLISECOND
SLOW_FACTOR = 30  # factor by which syncs take longer on a slow disk
HANG_RECHECK = 100 * MILLISECOND  # interval at which a write on a hanging disk is checked
CAPACITY = 1 << 30  # bytes


class DiskMode(Enum):
    """Behaviour of a disk."""

    HEALTHY = "well"
    SLOW = "slow"
    HANGING = "hangs"
    REFUSING = "refuses"  # writes fail


class _Job(NamedTuple):
    """A store operation that a process runs in its disk thread."""

    process: "VirtualProcess"
    future: asyncio.Future[Any]
    func: Callable[..., Any]
    args: tuple[Any, ...]


class VirtualDisk:
    """The synced records of a machine, and the queue of writes in progress."""

    def __init__(self, time: VirtualTime, rng: random.Random) -> None:
        self.records: dict[str, bytes] = {}
        self.mode = DiskMode.HEALTHY
        # Attributes of a store
        self.full = False
        self.lost = ""  # reason why the records found cannot be trusted
        self.open = True
        self.size = CAPACITY
        self._time = time
        self._rng = rng
        self._corrupt: set[str] = set()  # keys of records that differ from what was written
        self._queue: deque[_Job] = deque()
        self._current: _Job | None = None

    # The interface of a store

    def load(self) -> dict[str, bytes]:
        """Return all records; if any is corrupt, return none and set the reason in `lost`."""
        self.lost = ""
        if self._corrupt:
            self.lost = f"rotten: {sorted(self._corrupt)}"
            self.records.clear()
            self._corrupt.clear()
        return dict(self.records)

    def sweep(self) -> list[str]:
        """Return the keys of corrupt records."""
        return sorted(self._corrupt)

    def used(self) -> int:
        """Return the number of bytes stored."""
        return sum(map(len, self.records.values()))

    def write(self, puts: dict[str, bytes | None]) -> bool:
        """Store records (None removes one); called in the disk thread when the sync completes."""
        if self.mode is DiskMode.REFUSING:
            return False
        self._corrupt -= puts.keys()
        for key, value in puts.items():
            if value is None:
                self.records.pop(key, None)
            else:
                self.records[key] = value
        return True

    def close(self) -> None:
        """Nothing to release."""

    # Faults

    def corrupt(self, key: str) -> None:
        """Mark a record as corrupt, to be detected by a sweep or at the next start."""
        self._corrupt.add(key)

    def wipe(self) -> None:
        """Lose everything."""
        self.records.clear()

    # The disk thread of a process

    def submit(
        self,
        process: "VirtualProcess",
        future: asyncio.Future[Any],
        func: Callable[..., Any],
        args: tuple[Any, ...],
    ) -> None:
        """Run `func` after all earlier jobs and pass its result to `future`."""
        self._queue.append(_Job(process, future, func, args))
        self._start_next()

    def _start_next(self) -> None:
        if self._current is None and self._queue:
            self._current = job = self._queue.popleft()
            self._sync(job)

    def _sync(self, job: _Job) -> None:
        slowness = SLOW_FACTOR if self.mode is DiskMode.SLOW else 1
        sync_time = SYNC_TIME * slowness * self._rng.uniform(0.5, 1.5)
        delay = HANG_RECHECK if self.mode is DiskMode.HANGING else sync_time
        self._time.after(delay, lambda: self._synced(job))

    def _synced(self, job: _Job) -> None:
        if self._current is not job:
            return
        if self.mode is DiskMode.HANGING:
            self._sync(job)
            return
        result = job.func(*job.args)
        self._current = None

        def deliver() -> None:
            if not job.future.done():
                job.future.set_result(result)

        job.process.run(deliver)
        self._start_next()

    def process_ended(self, power_lost: bool) -> None:
        """Drop all queued jobs; the write in progress may or may not be stored."""
        job, self._current = self._current, None
        self._queue.clear()
        if job is not None and self.mode is not DiskMode.HANGING and self._rng.random() < 0.5:
            job.func(*job.args)

"""A simulated disk with the interface of `replication.pages.Store`, and the faults of disks.

Writes are done one after another, each wholly or not at all, as transactions of LMDB are.
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
SLOW_FACTOR = 30  # by which a slow disk takes longer to sync
HANG_RECHECK = 100 * MILLISECOND  # until a write on a disk that hangs is looked at again
CAPACITY = 1 << 30  # bytes


class DiskMode(Enum):
    """How a disk behaves."""

    HEALTHY = "well"
    SLOW = "slow"
    HANGING = "hangs"
    REFUSING = "refuses"  # writes fail


class _Job(NamedTuple):
    """A call of the store that a process runs in its disk thread."""

    process: "VirtualProcess"
    future: asyncio.Future[Any]
    func: Callable[..., Any]
    args: tuple[Any, ...]


class VirtualDisk:
    """What is synced, and how long it takes to sync."""

    def __init__(self, time: VirtualTime, rng: random.Random) -> None:
        self.records: dict[str, bytes] = {}
        self.mode = DiskMode.HEALTHY
        # As the attributes of a store
        self.full = False
        self.lost = ""  # why what was found is not to be trusted
        self.open = True
        self.size = CAPACITY
        self._time = time
        self._rng = rng
        self._corrupt: set[str] = set()  # keys of records that are no longer what was written
        self._queue: deque[_Job] = deque()
        self._current: _Job | None = None

    # The interface of a store

    def load(self) -> dict[str, bytes]:
        """All records, or none and a reason in `lost` where one is corrupt."""
        self.lost = ""
        if self._corrupt:
            self.lost = f"rotten: {sorted(self._corrupt)}"
            self.records.clear()
            self._corrupt.clear()
        return dict(self.records)

    def sweep(self) -> list[str]:
        """The keys of corrupt records."""
        return sorted(self._corrupt)

    def used(self) -> int:
        """Bytes stored."""
        return sum(map(len, self.records.values()))

    def write(self, puts: dict[str, bytes | None]) -> bool:
        """Store records (None removes); called in the disk thread, at the time of the sync."""
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
        """Have a record differ from what was written; found by a sweep or at the next start."""
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
        """Run `func` once what was submitted before is done; its result goes to `future`."""
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
        """Forget what waits. The write in progress is stored, or it is not."""
        job, self._current = self._current, None
        self._queue.clear()
        if job is not None and self.mode is not DiskMode.HANGING and self._rng.random() < 0.5:
            job.func(*job.args)

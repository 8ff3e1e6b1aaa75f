"""A machine model without I/O: workers, queue, cold start, limits, and faults, also of its build.

A host (the virtual fleet, or a stand-in on loopback) calls `Machine.offer` when a query has arrived
completely, and `Machine.advance` at `Machine.next_at`; it provides the time and random numbers.
Work is in microseconds of one worker at speed 1. All workers have the same speed at any time, so
running jobs are ordered by a clock of the work done per worker: a change of speed reorders no job.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from umbermoor.lab.chance import Chance
from umbermoor.lab.day import Build, Cold, Group, micros

WARM_UP_STEPS = 16  # steps in which the speed of a warming machine rises
CLOCK_TOLERANCE = 1e-3  # microseconds of work, for rounding errors of the clock
CONNECTION_PROFILE = -1  # profile of jobs that stand for the cost of a new connection
NEVER = 1 << 62


class Reply(Enum):
    """How a machine replies to a query."""

    DONE = "done"
    WRONG = "wrong"  # a successful answer with wrong content
    ERROR = "error"
    REJECTED = "rejected"  # the queue is full or the machine drains: never ran
    REFUSED = "refused"  # no connection could be opened: never ran
    RESET = "reset"
    MALFORMED = "malformed"
    SILENT = "silent"  # no reply ever comes
    CANCELLED = "cancelled"  # by the front


class Job(NamedTuple):
    """A query's work that a machine is offered."""

    key: tuple[str, int]  # query and number of the attempt
    profile: int
    work: float
    due: int  # time after which no client waits for it


class EndedJob(NamedTuple):
    """A job that ended, with its reply."""

    job: Job
    reply: Reply
    ran: bool  # whether the work was begun


@dataclass(slots=True)
class ActiveFaults:
    """The injected faults that currently act on a machine."""

    slow: float = 1.0  # how many times longer work takes
    paused: bool = False
    hang: bool = False
    down: bool = False  # its process is gone: connections are refused
    errors: float = 0.0  # this and the following: share of jobs affected
    resets: float = 0.0
    lost: float = 0.0
    spoilt: float = 0.0


@dataclass(slots=True)
class Machine:
    """A machine of a group that runs one build, for the lifetime of its process."""

    id: str
    group: Group
    build: int
    build_fault: Build | None  # None: no fault
    profiles: tuple[str, ...]  # names; a job's profile is an index
    speed: float
    born: int  # start time in microseconds; 0: long ago, so that it is warm
    cold: Cold
    chance: Chance
    faults: ActiveFaults = field(default_factory=ActiveFaults)
    draining: bool = False
    collapsed: bool = False  # while cold, it got more work than it withstands
    contention: float = 1.0  # how many times longer work takes because of other machines
    connections: int = 0
    work_done: float = 0.0
    jobs_started: int = 0
    _at: int = 0  # time up to which the state is computed
    _clock: float = 0.0  # work done per worker
    _rate: float = 1.0  # speed of the clock
    _running: list[tuple[float, int, Job]] = field(default_factory=list)  # heap by end on the clock
    _queue: deque[Job] = field(default_factory=deque)
    _sequence: int = 0
    _next_rate_change: int = 0  # 0: none
    _recent_work: deque[tuple[int, float]] = field(default_factory=deque)  # while cold
    _recent_work_total: float = 0.0
    _rate_depends_on_load: bool = False

    def __post_init__(self) -> None:
        """Set the speed by the machine's age."""
        self._at = self.born
        self._rate_depends_on_load = (
            self.build_fault is not None and self.build_fault.fault_kind == "under-load"
        )
        self._update_rate()

    # Capacity.

    def warm_share(self, now: int) -> float:
        """Return the share of its full capacity that the machine has at a time."""
        if not self.born or not self.group.warm_s:
            return 1.0
        part = min(1.0, max(0.0, (now - self.born) / micros(self.group.warm_s)))
        return self.group.cold_from + (1 - self.group.cold_from) * part

    @property
    def jobs_held(self) -> int:
        """Number of jobs that run or wait."""
        return len(self._running) + len(self._queue)

    @property
    def busy_share(self) -> float:
        """Share of the workers that are busy."""
        return len(self._running) / self.group.workers

    def _update_rate(self) -> None:
        now, fault = self._at, self.build_fault
        rate = self.speed * self.warm_share(now) / (self.faults.slow * self.contention)
        if fault is not None:
            rate *= fault.speed
            if self._is_slowed_by(fault):
                rate /= fault.size
        self._rate = 0.0 if self.faults.paused else rate
        self._next_rate_change = 0
        if not self.born:
            return
        warm_at = self.born + micros(self.group.warm_s)
        if now < warm_at:
            step = max(1, micros(self.group.warm_s) // WARM_UP_STEPS)
            self._next_rate_change = min(warm_at, now + step)
        if fault is not None and fault.fault_kind == "late":
            begins_at = self.born + micros(fault.after_s)
            if now < begins_at:
                self._next_rate_change = min(self._next_rate_change or begins_at, begins_at)

    def _is_slowed_by(self, fault: Build) -> bool:
        if fault.fault_kind == "late":
            return self._at - self.born >= micros(fault.after_s)
        if fault.fault_kind == "under-load":
            return self.busy_share > fault.busy
        return fault.fault_kind == "slower"

    # Time.

    def next_at(self) -> int | None:
        """Return when `advance` must be called next; None: only another call changes the state."""
        finish = None
        if self._running and self._rate > 0:
            left = self._running[0][0] - self._clock
            finish = self._at + max(0, -int(-left // self._rate))
        if not self._next_rate_change:
            return finish
        if finish is None:
            return self._next_rate_change
        return min(finish, self._next_rate_change)

    def advance(self, now: int) -> list[EndedJob]:
        """Advance the state to `now`; return the jobs that ended until then, in order."""
        ended: list[EndedJob] = []
        while (step := self.next_at()) is not None and step <= now:
            self._move(step)
            if self._running and self._running[0][0] <= self._clock + CLOCK_TOLERANCE:
                job = heapq.heappop(self._running)[2]
                self.work_done += job.work
                if job.profile != CONNECTION_PROFILE:
                    ended.append(EndedJob(job, self._reply(job), True))
                self._start_waiting()
            if self._next_rate_change or self._rate_depends_on_load:
                self._update_rate()
        self._move(max(now, self._at))
        return ended

    def _move(self, to: int) -> None:
        self._clock += (to - self._at) * self._rate
        self._at = to

    def _start_waiting(self) -> None:
        while self._queue and len(self._running) < self.group.workers:
            job = self._queue.popleft()
            if self.group.drops != "none" and job.due <= self._at:
                continue
            self._start(job)

    def _start(self, job: Job) -> None:
        self._sequence += 1
        self.jobs_started += job.profile != CONNECTION_PROFILE
        heapq.heappush(self._running, (self._clock + job.work, self._sequence, job))

    # Arrivals.

    def connect(self, now: int) -> bool:
        """Accept a connection, which costs work; return False if it is refused."""
        if self.faults.down or self.collapsed or self.connections >= self.group.connections:
            return False
        self.connections += 1
        if self.group.connect_us:
            self.advance(now)
            self._sequence += 1
            key = ("", self._sequence)
            self._enqueue(Job(key, CONNECTION_PROFILE, self.group.connect_us, NEVER))
        return True

    def offer(self, now: int, job: Job) -> EndedJob | None:
        """Accept a query; return how it ended if that is known at once. Call `advance` before."""
        if self.faults.down or self.collapsed:
            return EndedJob(job, Reply.RESET, False)
        self._count_recent_work(now, job.work)
        if self.collapsed:
            return EndedJob(job, Reply.RESET, False)
        if self.faults.hang:
            return EndedJob(job, Reply.SILENT, False)
        is_full = len(self._running) >= self.group.workers and len(self._queue) >= self.group.queue
        if is_full or self.draining:
            return EndedJob(job, Reply.REJECTED, False)
        self._enqueue(job)
        return None

    def _enqueue(self, job: Job) -> None:
        if len(self._running) < self.group.workers and not self._queue:
            self._start(job)
        else:
            self._queue.append(job)
        if self._rate_depends_on_load:
            self._update_rate()

    def _count_recent_work(self, now: int, work: float) -> None:
        """Collapse if the machine is cold and got more work within the span than it withstands."""
        if not self.born or now >= self.born + micros(self.group.warm_s):
            return
        span = micros(self.cold.span_s)
        self._recent_work.append((now, work))
        self._recent_work_total += work
        while self._recent_work and self._recent_work[0][0] <= now - span:
            self._recent_work_total -= self._recent_work.popleft()[1]
        share = self.cold.multiple * self.warm_share(now)
        if self._recent_work_total > share * self.speed * self.group.workers * span:
            self.collapsed = True
            self._cut_off()

    def waiting(self) -> set[tuple[str, int]]:
        """Return the keys of the queued jobs, whose work has not begun."""
        return {job.key for job in self._queue}

    # Cancellation and faults.

    def cancel(self, now: int, key: tuple[str, int]) -> EndedJob | None:
        """Cancel a job; return it if the machine stops it. Call `advance` before."""
        if self.group.drops == "none":
            return None
        for job in self._queue:
            if job.key == key:
                self._queue.remove(job)
                return EndedJob(job, Reply.CANCELLED, False)
        if self.group.drops != "all":
            return None
        for index, (_, _, job) in enumerate(self._running):
            if job.key == key:
                self._running[index] = self._running[-1]
                self._running.pop()
                heapq.heapify(self._running)
                self._start_waiting()
                self._update_rate()
                return EndedJob(job, Reply.CANCELLED, True)
        return None

    def set_faults(self, now: int, **faults: float | bool) -> list[EndedJob]:
        """Set fields of `faults`; return the jobs that ended until now or that the change ends."""
        ended = self.advance(now)
        for name, value in faults.items():
            setattr(self.faults, name, value)
        if self.faults.down:
            ended += self._cut_off()
        self._update_rate()
        return ended

    def _cut_off(self) -> list[EndedJob]:
        """Drop all jobs and connections; return the jobs."""
        ran = [EndedJob(job, Reply.RESET, True) for _, _, job in self._running]
        waited = [EndedJob(job, Reply.RESET, False) for job in self._queue]
        self._running.clear()
        self._queue.clear()
        self.connections = 0
        return [done for done in ran + waited if done.job.profile != CONNECTION_PROFILE]

    def _reply(self, job: Job) -> Reply:
        faults, at = self.faults, self.chance.at
        if faults.lost and at("lost", self.id, *job.key) < faults.lost:
            return Reply.SILENT
        if faults.resets and at("reset", self.id, *job.key) < faults.resets:
            return Reply.RESET
        if faults.spoilt and at("spoilt", self.id, *job.key) < faults.spoilt:
            return Reply.MALFORMED
        if faults.errors and at("error", self.id, *job.key) < faults.errors:
            return Reply.ERROR
        fault = self.build_fault
        if fault is not None and fault.fault_kind in ("fails", "wrong"):
            is_affected = not fault.profile or self.profiles[job.profile] == fault.profile
            if is_affected and at("build", self.build, *job.key) < fault.size:
                return Reply.ERROR if fault.fault_kind == "fails" else Reply.WRONG
        return Reply.DONE


def shared_contention(machines: list[Machine]) -> float:
    """Return how many times longer all work takes because of builds that slow down other machines.

    Each machine with such a build contributes by its share of all jobs.
    """
    total = sum(machine.jobs_held for machine in machines)
    factor = 1.0
    for machine in machines:
        fault = machine.build_fault
        if fault is not None and fault.fault_kind == "drags" and total:
            factor += (fault.size - 1) * machine.jobs_held / total
    return factor

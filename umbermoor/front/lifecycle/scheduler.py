"""Scheduler of background work under CPU and I/O budgets; does no I/O itself.

A task is a generator that yields after each slice the number of bytes that the slice moved. Slices
are measured by the given clock; a slice over the limit is reported, as it can't be interrupted.
Queries have precedence: while the host is under load (`pressed`), only tasks that have waited for
long run, one slice at a time.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass, field

from umbermoor.front.lifecycle.timing_wheel import Timer, Wheel

SECOND = 1_000_000
MAX_SLICE = 5_000  # microseconds of CPU that a slice should take at most
CPU_PER_SECOND = 50_000  # microseconds of CPU per second for all background work
BYTES_PER_SECOND = 4 << 20
BURST = 0.2  # seconds of budget that may accumulate and be spent at once
AGEING = SECOND // 2  # waiting time that raises the priority by one step
MAX_PRESSED_WAIT = 5 * SECOND  # a task that has waited this long runs even under load
GRAIN = 10_000  # microseconds; resolution of the timers

Work = Generator[int, None, None]


@dataclass(slots=True, eq=False)
class Task:
    """A task, its current run and its statistics. Times are microseconds."""

    name: str
    priority: int  # lower runs first
    make: Callable[[], Work]
    every: int = 0  # from the end of a run to the start of the next; 0: run once
    work: Work | None = None
    waits_since: int = 0
    timer: Timer | None = None
    slices: int = 0
    longest: int = 0
    runs: int = 0
    faults: int = 0
    dropped: bool = False


@dataclass(slots=True)
class Budget:
    """Token bucket that fills at `rate` and holds at most `BURST` seconds of it."""

    rate: float  # per second
    remaining: float = 0.0
    at: int = 0

    def fill(self, now: int) -> None:
        """Add what has accrued since the last call."""
        limit = self.rate * BURST
        self.remaining = min(limit, self.remaining + self.rate * max(0, now - self.at) / SECOND)
        self.at = now


@dataclass(slots=True)
class Scheduler:
    """Runs one slice of one task at a time.

    Attributes:
        clock: returns the time in microseconds.
        cpu: budget of CPU microseconds.
        moved: budget of bytes moved.
        tasks: all tasks that are not finished.
        report: called with a task and a text about a fault or a slice over the limit.
    """

    clock: Callable[[], int]
    cpu: Budget = field(default_factory=lambda: Budget(CPU_PER_SECOND))
    moved: Budget = field(default_factory=lambda: Budget(BYTES_PER_SECOND))
    tasks: list[Task] = field(default_factory=list)
    report: Callable[[Task, str], None] = lambda task, what: None
    _wheel: Wheel | None = None
    _ready: list[Task] = field(default_factory=list)

    def __post_init__(self) -> None:
        now = self.clock()
        self._wheel = Wheel(now, GRAIN)
        for one in (self.cpu, self.moved):
            one.at, one.remaining = now, one.rate * BURST

    def add(
        self, name: str, priority: int, make: Callable[[], Work], every: int = 0, after: int = 0
    ) -> Task:
        task = Task(name, priority, make, every)
        self.tasks.append(task)
        task.timer = self._wheel.set(self.clock() + after, task)
        return task

    def cancel(self, task: Task) -> None:
        """Remove the task and close the generator of a run that has started."""
        task.dropped = True
        if task.timer is not None:
            self._wheel.cancel(task.timer)
        if task in self._ready:
            self._ready.remove(task)
        if task in self.tasks:
            self.tasks.remove(task)
        if task.work is not None:
            task.work.close()
            task.work = None

    def next_at(self) -> int | None:
        """Return when `run` should be called next, or None if no task is left."""
        now = self.clock()
        if self._ready:
            short = [
                -one.remaining / one.rate * SECOND
                for one in (self.cpu, self.moved)
                if one.remaining <= 0
            ]
            return now + round(max(short, default=0)) + (GRAIN if short else 0)
        return self._wheel.next_at()

    def run(self, pressed: bool = False) -> int:
        """Run at most one slice; return its duration in microseconds, 0 if none ran."""
        now = self.clock()
        for timer in self._wheel.advance(now):
            task: Task = timer.value
            task.waits_since, task.timer = now, None
            self._ready.append(task)
        self.cpu.fill(now)
        self.moved.fill(now)
        if not self._ready or self.cpu.remaining <= 0 or self.moved.remaining <= 0:
            return 0
        task = min(
            self._ready,
            key=lambda one: (one.priority - (now - one.waits_since) // AGEING, one.waits_since),
        )
        if pressed and now - task.waits_since < MAX_PRESSED_WAIT:
            return 0
        return self._slice(task, now)

    def _slice(self, task: Task, now: int) -> int:
        if task.work is None:
            task.work = task.make()
            task.runs += 1
        finished = False
        try:
            self.moved.remaining -= next(task.work)
        except StopIteration:
            finished = True
        except Exception as error:  # contained, so that other tasks go on
            task.faults += 1
            finished = True
            self.report(task, f"fault: {type(error).__name__}: {error}")
        took = max(1, self.clock() - now)
        self.cpu.remaining -= took
        task.slices += 1
        task.longest = max(task.longest, took)
        task.waits_since = now + took
        if took > MAX_SLICE:
            self.report(task, f"a slice of {took} us")
        if finished and not task.dropped:
            self._ready.remove(task)
            task.work = None
            if task.every:
                task.timer = self._wheel.set(now + took + task.every, task)
            else:
                self.tasks.remove(task)
        return took

"""Background work under budgets, without I/O: which piece runs next, and when none may.

Work is a generator that yields after each slice the bytes that the slice moved. A slice is measured
by the clock that is
given; what takes longer than the bound on slices is told, as nobody can cut it short. Queries come
first: while the host
says that it is pressed, only work that has waited for long runs, a slice at a time.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass, field

from umbermoor.front.lifecycle.timing_wheel import Timer, Wheel

SECOND = 1_000_000
MAX_SLICE = 5_000  # microseconds that a slice should hold the core at the most
CPU_PER_SECOND = 50_000  # microseconds of the core in a second, for all background work
BYTES_PER_SECOND = 4 << 20
BURST = 0.2  # seconds' worth of budget that may be spent at once
AGEING = SECOND // 2  # waiting so long is worth one step of priority
MAX_PRESSED_WAIT = 5 * SECOND  # what has waited so long runs though the host is pressed
GRAIN = 10_000

Work = Generator[int, None, None]


@dataclass(slots=True, eq=False)
class Task:
    name: str
    priority: int  # lower is sooner
    make: Callable[[], Work]
    every: int = 0  # microseconds from one end to the next begin; 0: once
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
    rate: float  # a second
    remaining: float = 0.0
    at: int = 0

    def fill(self, now: int) -> None:
        limit = self.rate * BURST
        self.remaining = min(limit, self.remaining + self.rate * max(0, now - self.at) / SECOND)
        self.at = now


@dataclass(slots=True)
class Scheduler:
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
        """It runs no more; what it had begun is closed."""
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
        """When ``run`` is wanted next."""
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
        """One slice at the most; how long it took. 0: nothing was run."""
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
        except Exception as error:  # it stops here: other work goes on
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

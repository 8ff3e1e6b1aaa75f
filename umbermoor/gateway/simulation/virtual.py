"""Virtual time for programs on asyncio: each process has a loop and a clock of its own, TCP and
disks lie between.

The hosts' own code runs unchanged on these loops; everything follows from a seed. Times are whole
microseconds of the world unless a name says otherwise. What TCP does is played at the grain of what
hosts see of it: order, resets, what a cut holds up, what a kernel takes for a process that is
frozen, and how long a sender waits for a peer that is gone.
"""

import asyncio
import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

MS, SECOND = 1000, 1_000_000
USER_TIMEOUT = 1500 * MS  # without an acknowledgement a line is broken; what hosts set
RESEND = 200 * MS  # until what a cut held up is tried again
SYN_AGAIN = SECOND


class Time:
    """The world's time, and what is to happen in it."""

    def __init__(self) -> None:
        self.now = 0
        self.soon: deque[Callable[[], None]] = deque()  # due at once, in this order
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.caught: list[str] = []  # what no handler caught

    def at(self, when: int, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, act))

    def after(self, delay: float, act: Callable[[], None]) -> None:
        self.at(self.now + round(delay), act)

    def run(self, until: int) -> None:
        soon, events = self.soon, self._events
        while True:
            while soon:
                soon.popleft()()
            if not events or events[0][0] > until:
                break
            self.now, _, act = heapq.heappop(events)
            act()
        self.now = until


class Clock:
    """A machine's steady clock: its own rate and offset. It may stand still."""

    def __init__(self, time: Time, rate: float, offset: int) -> None:
        self.time, self.rate, self.offset = time, rate, offset
        self.stopped_at: int | None = None
        self.wall_offset = 0  # of its time of day

    def us(self) -> int:
        return self.offset + round(
            (self.time.now if self.stopped_at is None else self.stopped_at) * self.rate
        )

    def monotonic(self) -> float:
        return self.us() / SECOND

    def clock_gettime(self, which: int) -> float:
        return self.monotonic()

    def time_ns(self) -> int:
        return (1_700_000_000 * SECOND + self.time.now + self.wall_offset) * 1000

    def stop(self) -> None:
        self.stopped_at = self.time.now

    def go_on(self) -> None:
        if self.stopped_at is not None:
            self.offset -= round((self.time.now - self.stopped_at) * self.rate)
            self.stopped_at = None


class Process(asyncio.AbstractEventLoop):
    """One life of a process: its event loop. Frozen, all that is due waits; dead, nothing happens
    any more."""

    def __init__(self, machine: "Box") -> None:
        self.machine, self.time_, self.dead, self.frozen = machine, machine.net.time, False, False
        self.held: list[
            tuple[int, Callable[[], None]]
        ] = []  # while frozen: 0 what came in, 1 timers
        self.pace = 0  # us that each callback takes: a process that has little of its processor
        self.free_at = 0
        self.tasks: set[asyncio.Task] = set()
        self.ends: set[End] = set()
        self.listens: dict[int, Callable[[], Any]] = {}

    # what asyncio asks of a loop

    def time(self) -> float:
        return self.machine.timers.monotonic()

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return not self.dead

    def is_closed(self) -> bool:
        return self.dead

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Any, *, name: str | None = None, context: Any = None
    ) -> asyncio.Task:
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def call_soon(self, callback: Callable, *args: Any, context: Any = None) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self.time_.soon.append(lambda: self.turn(handle._run, handle))
        return handle

    def call_later(
        self, delay: float, callback: Callable, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._arm(handle)
        return handle

    def _arm(self, handle: asyncio.TimerHandle) -> None:
        wait = max(0.0, handle.when() - self.time()) * SECOND / self.machine.clock.rate
        self.time_.after(wait + self.machine.net.chance.randrange(300), lambda: self._due(handle))

    def _due(self, handle: asyncio.TimerHandle) -> None:
        if handle.cancelled() or self.dead:
            return
        if self.frozen:
            self.held.append((1, lambda: self._due(handle)))
        elif self.time() < handle.when():  # the clock stood still
            self._arm(handle)
        else:
            self.turn(handle._run, handle, 1)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not self.dead:
            why = context.get("exception")
            self.time_.caught.append(f"{self.machine.ip}: {context.get('message')}: {why!r}")

    def run_in_executor(self, executor: Any, func: Callable, *args: Any) -> asyncio.Future:
        future = self.create_future()
        self.machine.disk.work(self, future, func, args)
        return future

    async def create_server(
        self, factory: Callable[[], Any], host: str, port: int, **options: Any
    ) -> None:
        self.listens[port] = factory

    async def create_connection(
        self, factory: Callable[[], Any], host: str, port: int, **options: Any
    ) -> Any:
        return await self.machine.net.connect(self, factory, host, port)

    # what the world does with it

    def turn(
        self, act: Callable[[], None], handle: asyncio.Handle | None = None, kind: int = 0
    ) -> None:
        """Runs a piece of the process, now or when it can."""
        if self.dead or (handle is not None and handle.cancelled()):
            return
        if self.frozen:
            self.held.append((kind, lambda: self.turn(act, handle, kind)))
            return
        if self.pace:
            now = self.time_.now
            if now < self.free_at:
                self.time_.at(self.free_at, lambda: self.turn(act, handle, kind))
                return
            self.free_at = now + self.pace
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            act()
        finally:
            asyncio._set_running_loop(before)

    def thaw(self, timers_first: bool) -> None:
        self.frozen, held, self.held = False, self.held, []
        for _, act in sorted(held, key=lambda one: -one[0] if timers_first else one[0]):
            self.time_.soon.append(act)

    def end(self, power: bool) -> None:
        """It is killed. Its kernel resets what it had open, unless the power went."""
        self.dead = True
        for end in list(self.ends):
            end.vanish(not power)
        self.machine.disk.dropped(power)


class Disk:
    """What is synced, and how long syncing takes. Writes are done one after another, each wholly or
    not at all."""

    MODES = "well", "slow", "hangs", "refuses"

    def __init__(self, time: Time, chance: random.Random) -> None:
        self.time, self.chance = time, chance
        self.held: dict[str, bytes] = {}
        self.mode, self.sync = "well", 2 * MS
        self.full, self.lost, self.open, self.size = (
            False,
            "",
            True,
            1 << 30,
        )  # what a store tells of itself
        self.rotten: set[str] = set()  # records that are no longer what was written
        self.queue: deque[tuple[Process, asyncio.Future, Callable, tuple]] = deque()
        self.busy: tuple[Process, asyncio.Future, Callable, tuple] | None = None

    def load(self) -> dict[str, bytes]:
        """What a store finds at its start: one that is rotten counts as lost."""
        self.lost = ""
        if self.rotten:
            self.lost = f"rotten: {sorted(self.rotten)}"
            self.held.clear()
            self.rotten.clear()
        return dict(self.held)

    def sweep(self) -> list[str]:
        return sorted(self.rotten)

    def used(self) -> int:
        return sum(map(len, self.held.values()))

    def write(self, puts: dict[str, bytes | None]) -> bool:
        """What a store does in its thread, at the moment at which it is synced."""
        if self.mode == "refuses":
            return False
        self.rotten -= puts.keys()
        for key, value in puts.items():
            if value is None:
                self.held.pop(key, None)
            else:
                self.held[key] = value
        return True

    def close(self) -> None:
        pass

    def work(self, process: Process, future: asyncio.Future, func: Callable, args: tuple) -> None:
        self.queue.append((process, future, func, args))
        self._next()

    def _next(self) -> None:
        if self.busy is None and self.queue:
            self.busy = job = self.queue.popleft()
            self._sync(job)

    def _sync(self, job: Any) -> None:
        span = self.sync * (30 if self.mode == "slow" else 1) * self.chance.uniform(0.5, 1.5)
        self.time.after(
            100 * MS if self.mode == "hangs" else span,
            lambda: self._done(job, self.mode == "hangs"),
        )

    def _done(self, job: Any, again: bool) -> None:
        if self.busy is not job:
            return
        if again or self.mode == "hangs":
            self._sync(job)
            return
        process, future, func, args = job
        result = func(*args)
        self.busy = None

        def tell() -> None:
            if not future.done():
                future.set_result(result)

        process.turn(tell)
        self._next()

    def dropped(self, power: bool) -> None:
        """Its process ended: a write under way is there, or is not."""
        job, self.busy = self.busy, None
        self.queue.clear()
        if job is not None and self.mode != "hangs" and self.chance.random() < 0.5:
            job[2](*job[3])


class Box:
    """A machine: an address, a clock, a disk, and the process that runs on it, if one does."""

    def __init__(self, net: "Net", ip: str, rate: float = 1.0, offset: int = 0) -> None:
        self.net, self.ip = net, ip
        self.clock = Clock(net.time, rate, offset)  # runs on while the machine is suspended
        self.timers = Clock(net.time, rate, offset)  # of its event loop: stands still then
        self.disk = Disk(net.time, net.chance)
        self.process: Process | None = None
        self.power = True
        net.boxes[ip] = self


class End(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, net: "Net", process: Process, peer: str) -> None:
        super().__init__()
        self.net, self.process, self.peer = net, process, peer
        self.other: End | None = None
        self.protocol: Any = None
        self.gone = False  # nothing is known of it any more at this side
        self.closing = False
        self._out: deque[tuple[int, bytes | None]] = (
            deque()
        )  # in flight: until when it must be acknowledged; None: FIN
        self._arrived = 0
        process.ends.add(self)

    # what protocols ask of a transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "peername":
            return self.peer, 1
        return _Socket() if name == "socket" else default

    def is_closing(self) -> bool:
        return self.closing or self.gone

    def get_write_buffer_size(self) -> int:
        return max(0, sum(len(data or b"") for _, data in self._out) - (256 << 10))

    def write(self, data: bytes) -> None:
        if not self.is_closing() and data:
            self._put(bytes(data))

    def close(self) -> None:
        if not self.is_closing():
            self.closing = True
            self._put(None)
            self._end(None)

    def abort(self) -> None:
        self.vanish(True)
        self._end(None)

    # the way to the other end

    def _put(self, data: bytes | None) -> None:
        time = self.net.time
        self._out.append((time.now + USER_TIMEOUT, data))
        if len(self._out) == 1:
            time.after(self.net.delay(self.process.machine.ip, self.peer), self._carry)
        time.after(USER_TIMEOUT, self._impatient)

    def _impatient(self) -> None:
        """The kernel gives up a line on which something waited for too long."""
        if not self.gone and self._out and self._out[0][0] <= self.net.time.now:
            self.gone = True
            self._out.clear()
            self._end(TimeoutError("no acknowledgement"))

    def _carry(self) -> None:
        """What is first in flight arrives, if it can, and is acknowledged, if that can."""
        net, me = self.net, self.process.machine.ip
        if not self._out or (self.process.dead and self.gone):
            return
        there = net.boxes.get(self.peer)
        if there is None or not there.power or net.cut(me, self.peer):
            net.time.after(RESEND, self._carry)
            return
        until, data = self._out[0]
        other = self.other
        if other is None or other.gone or other.process.dead:
            self._out.clear()
            if not self.gone and not net.cut(self.peer, me):
                self.gone = True
                self._end(ConnectionResetError("reset by peer"))
            return
        if not self._arrived:
            self._arrived = 1
            other.receive(data)
        if net.cut(self.peer, me):  # it arrived, but that is not known here
            net.time.after(RESEND, self._carry)
            return
        self._out.popleft()
        self._arrived = 0
        if self._out:
            net.time.after(
                net.delay(me, self.peer)
                if net.time.now < self._out[0][0] - USER_TIMEOUT + MS
                else 50,
                self._carry,
            )

    def receive(self, data: bytes | None) -> None:
        if data is None:
            self.process.turn(self._eof)
        else:
            self.process.turn(
                lambda: None if self.gone or self.closing else self.protocol.data_received(data)
            )

    def _eof(self) -> None:
        if not self.is_closing():
            self.protocol.eof_received()
            self.close()

    def _end(self, error: Exception | None) -> None:
        self.process.ends.discard(self)
        if self.protocol is not None:  # else its process never heard of it
            self.process.turn(lambda: self.protocol.connection_lost(error))

    def vanish(self, reset: bool) -> None:
        """Nothing is known of it here any more; `reset`: the other end is told, if it can be."""
        if self.gone:
            return
        self.gone = True
        self._out.clear()
        self.process.ends.discard(self)
        other, me = self.other, self.process.machine.ip

        def told() -> None:
            if not other.gone and not other.process.dead and not self.net.cut(me, self.peer):
                other.gone = True
                other._out.clear()
                other._end(ConnectionResetError("reset by peer"))

        if reset and other is not None:
            self.net.time.after(self.net.delay(me, self.peer), told)


class _Socket:
    def setsockopt(self, *args: Any) -> None:
        pass


class Net:
    """Who reaches whom, and how fast."""

    def __init__(self, time: Time, chance: random.Random) -> None:
        self.time, self.chance = time, chance
        self.boxes: dict[str, Box] = {}
        self.cuts: dict[tuple[str, str], int] = {}  # from, to: how many cuts lie there
        self.lossy: dict[
            tuple[str, str], float
        ] = {}  # from, to: part of packets lost, or ("", "") everywhere

    def cut(self, one: str, other: str) -> bool:
        return bool(self.cuts.get((one, other)))

    def part(self, pairs: list[tuple[str, str]], on: bool) -> None:
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + (1 if on else -1)

    def delay(self, one: str, other: str) -> int:
        way = self.chance.randrange(200, 2 * MS)
        loss = self.lossy.get((one, other), 0.0) or self.lossy.get(("", ""), 0.0)
        while loss and self.chance.random() < loss:
            way += RESEND
        return way

    async def connect(
        self, process: Process, factory: Callable[[], Any], host: str, port: int
    ) -> Any:
        done, me = process.create_future(), process.machine.ip

        def end(result: Any, error: Exception | None = None) -> None:
            if not done.done() and not process.dead:
                done.set_exception(error) if error else done.set_result(result)

        def syn() -> None:
            if done.done() or process.dead:
                return
            there = self.boxes.get(host)
            if there is None or not there.power or self.cut(me, host) or self.cut(host, me):
                self.time.after(SYN_AGAIN, syn)
                return
            taken = there.process
            way = self.delay(host, me)
            if taken is None or port not in taken.listens:
                self.time.after(
                    way, lambda: process.turn(lambda: end(None, ConnectionRefusedError(host)))
                )
                return
            mine, theirs = End(self, process, host), End(self, taken, me)
            mine.other, theirs.other = theirs, mine
            theirs.protocol = taken.listens[port]()
            taken.turn(lambda: theirs.protocol.connection_made(theirs))

            def made() -> None:
                if done.cancelled() or mine.gone:
                    mine.abort()
                    end(None, ConnectionResetError(host))
                    return
                mine.protocol = factory()
                mine.protocol.connection_made(mine)
                end((mine, mine.protocol))

            self.time.after(way, lambda: process.turn(made))

        self.time.after(self.delay(me, host), syn)
        return await done

    def call(
        self,
        source: str,
        to: str,
        request: Callable[[Process, Callable[[int, bytes], None]], None],
        told: Callable[[int, bytes], None],
    ) -> None:
        """A call by HTTP from outside: `request` runs in the process there, what it tells comes
        back to `told`, with status 0 for a refused connection. What a cut or a loss of power
        swallows never comes."""

        def there() -> None:
            box = self.boxes[to]
            if not box.power or self.cut(source, to):
                return
            if box.process is None:
                back(0, b"")
                return
            process = box.process
            process.turn(
                lambda: request(
                    process, lambda status, body: None if process.dead else back(status, body)
                )
            )

        def back(status: int, body: bytes) -> None:
            self.time.after(
                self.delay(to, source),
                lambda: (
                    None if self.cut(to, source) or not self.boxes[to].power else told(status, body)
                ),
            )

        self.time.after(self.delay(source, to), there)

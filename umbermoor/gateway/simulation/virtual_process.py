"""A simulated process: an asyncio event loop that runs in virtual time.

The programs run on it unmodified. It implements the part of the event loop that they use:
callbacks, timers, tasks, one executor (the disk of the machine) and TCP over the virtual network.
"""

import asyncio
from collections.abc import Callable, Coroutine
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from umbermoor.gateway.simulation.virtual_time import Action
from umbermoor.gateway.units import SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.virtual_network import VirtualHost
    from umbermoor.gateway.simulation.virtual_transport import VirtualTransport

TIMER_JITTER = 300  # maximum delay of timers in microseconds


class CallbackKind(IntEnum):
    """Cause of a callback; a process that resumes may run either kind first."""

    INPUT = 0
    TIMER = 1


class VirtualProcess(asyncio.AbstractEventLoop):
    """One incarnation of a process. Callbacks wait while it is frozen and never run once dead."""

    def __init__(self, host: "VirtualHost") -> None:
        self.host = host
        self.virtual_time = host.network.time
        self.dead = False
        self.frozen = False
        # CPU time of each callback in microseconds, to simulate a slow process.
        self.callback_cost = 0
        # A dict used as an ordered set. The order of a set of objects depends on their addresses,
        # which differ between runs, and delays are drawn in the order in which connections are
        # reset.
        self.transports: dict[VirtualTransport, None] = {}
        self.listeners: dict[int, Callable[[], Any]] = {}  # protocol factories by port
        self._deferred: list[tuple[CallbackKind, Action]] = []  # while frozen
        self._busy_until = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    # The interface of an event loop

    def time(self) -> float:  # noqa: D102
        return self.host.timer_clock.monotonic()

    def get_debug(self) -> bool:  # noqa: D102
        return False

    def is_running(self) -> bool:  # noqa: D102
        return not self.dead

    def is_closed(self) -> bool:  # noqa: D102
        return self.dead

    def create_future(self) -> asyncio.Future[Any]:  # noqa: D102
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]  # noqa: D102
        self, coro: Coroutine[Any, Any, Any], *, name: str | None = None, context: Any = None
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def call_soon(  # type: ignore[override]  # noqa: D102
        self, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self.virtual_time.soon(lambda: self.run(handle._run, handle))
        return handle

    def call_later(  # type: ignore[override]  # noqa: D102
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]  # noqa: D102
        self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._arm(handle)
        return handle

    def _arm(self, handle: asyncio.TimerHandle) -> None:
        wait = max(0.0, handle.when() - self.time()) * SECOND / self.host.clock.rate
        jitter = self.host.network.rng.randrange(TIMER_JITTER)
        self.virtual_time.after(wait + jitter, lambda: self._timer_due(handle))

    def _timer_due(self, handle: asyncio.TimerHandle) -> None:
        if handle.cancelled() or self.dead:
            return
        if self.frozen:
            self._deferred.append((CallbackKind.TIMER, lambda: self._timer_due(handle)))
        elif self.time() < handle.when():  # the clock was stopped in the meantime
            self._arm(handle)
        else:
            self.run(handle._run, handle, CallbackKind.TIMER)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing; asyncio calls this when a timer is cancelled."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:  # noqa: D102
        if not self.dead:
            error = context.get("exception")
            self.virtual_time.unhandled_errors.append(
                f"{self.host.ip}: {context.get('message')}: {error!r}"
            )

    def run_in_executor(  # type: ignore[override]  # noqa: D102
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        future = self.create_future()
        self.host.disk.submit(self, future, func, args)
        return future

    async def create_server(  # type: ignore[override]  # noqa: D102
        self, factory: Callable[[], Any], host: str, port: int, **options: Any
    ) -> None:
        self.listeners[port] = factory

    async def create_connection(  # type: ignore[override]  # noqa: D102
        self, factory: Callable[[], Any], host: str, port: int, **options: Any
    ) -> Any:
        return await self.host.network.connect(self, factory, host, port)

    # Control by the simulation

    def run(
        self,
        action: Action,
        handle: asyncio.Handle | None = None,
        kind: CallbackKind = CallbackKind.INPUT,
    ) -> None:
        """Run `action` in the process, now or once the process is thawed and has CPU time."""
        if self.dead or (handle is not None and handle.cancelled()):
            return
        if self.frozen:
            self._deferred.append((kind, lambda: self.run(action, handle, kind)))
            return
        if self.callback_cost:
            now = self.virtual_time.now
            if now < self._busy_until:
                self.virtual_time.at(self._busy_until, lambda: self.run(action, handle, kind))
                return
            self._busy_until = now + self.callback_cost
        outer_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            action()
        finally:
            asyncio._set_running_loop(outer_loop)

    def thaw(self, timers_first: bool) -> None:
        """Resume a frozen process and run its deferred callbacks, one kind before the other."""
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        direction = -1 if timers_first else 1
        for _, action in sorted(deferred, key=lambda entry: direction * entry[0]):
            self.virtual_time.soon(action)

    def kill(self, power_lost: bool) -> None:
        """Kill the process. Its connections are reset unless the machine lost power."""
        self.dead = True
        for transport in list(self.transports):
            transport.drop(reset_peer=not power_lost)
        self.host.disk.process_ended(power_lost)

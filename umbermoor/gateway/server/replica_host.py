"""Hosts the replica of a controller: carries out its effects and passes calls to it.

The replica is a state machine without I/O. Its messages are sent over the peer transport, with long
texts as deltas. Its writes go to the store one after another, in a thread of their own. Results of
its calls resolve the futures on which callers wait. Effects are carried out in order.
"""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from umbermoor.gateway.api.decisions import CONFIG_KEY
from umbermoor.gateway.distribution.deltas import DeltaChannel
from umbermoor.gateway.effects import CallResult, Effect, Send, Status, Write
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.replication.store import Store
from umbermoor.gateway.server import events
from umbermoor.gateway.server.clocks import Clock
from umbermoor.gateway.server.invariants import Invariant, Invariants
from umbermoor.gateway.server.peer_transport import PeerTransport

CALL_TIMEOUT_S = 0.9  # for a call to the replica set

StartCall = Callable[[int, int], list[Effect]]  # takes the time and the call number


class ReplicaHost:
    """Runs a replica with its store, and tracks its calls in flight.

    Attributes:
        replica: The state machine.
        store: The store for its records.
        disk: Executor with the one thread that accesses the store.
        channel: Sends and receives the replica's messages with long texts as deltas.
    """

    def __init__(
        self,
        replica: Replica,
        store: Store,
        transport: PeerTransport,
        clock: Clock,
        last_call_number: int,
        on_commit: Callable[[], None],
        on_effects: Callable[[], None],
        on_store_lost: Callable[[], None],
        invariants: Invariants,
    ) -> None:
        """Create the host of a replica.

        Args:
            replica: The state machine.
            store: An open store, which its owner closes.
            transport: Transport to the other controllers.
            clock: Returns microseconds.
            last_call_number: Random start value, so that results of calls of an earlier process
                match no call of this one.
            on_commit: Called when the committed version has changed.
            on_effects: Called after effects were carried out.
            on_store_lost: Called when the store can neither be read nor written any more.
            invariants: Counts violated invariants.
        """
        self.replica, self.store, self._transport, self._clock = replica, store, transport, clock
        self.disk = ThreadPoolExecutor(1)
        self._closed = False
        self.channel = DeltaChannel()
        if configuration := replica.stored(CONFIG_KEY):
            self.channel.codec.texts.add(configuration["text"])
        self._last_call_number = last_call_number
        self._calls: dict[int, asyncio.Future[CallResult]] = {}
        self._committed_version = (0, 0)
        self._on_commit, self._on_effects = on_commit, on_effects
        self._on_store_lost = on_store_lost
        self._invariants = invariants

    def is_connected(self) -> bool:
        """Whether a majority of the members has confirmed contact within the lease."""
        return self.replica.connected_at(self._clock())

    def head(self) -> str:
        """Return the member that orders writes, as known here; "" if unknown."""
        return self.replica.head_name

    def leads(self) -> bool:
        """Whether this member orders writes and is in contact with a majority."""
        return self.head() == self.replica.name and self.replica.connected

    def calls_in_flight(self) -> int:
        """Return the number of calls that wait for their result."""
        return len(self._calls)

    def next_call_number(self) -> int:
        """Return a new call number."""
        self._last_call_number += 1
        return self._last_call_number

    async def call(self, start: StartCall, timeout_s: float = CALL_TIMEOUT_S) -> CallResult:
        """Pass a call to the replica and wait for its result; UNAVAILABLE after the time-out."""
        number = self.next_call_number()
        future = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        try:
            self.carry_out(start(self._clock(), number))
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return CallResult(number, Status.UNAVAILABLE)
        finally:
            self._calls.pop(number, None)

    def put(self, key: str, value: Any) -> None:
        """Start a write without waiting for its result."""
        self.carry_out(self.replica.put(self._clock(), self.next_call_number(), key, value))

    def receive(self, sender: str, frame: dict[str, Any]) -> None:
        """Handle a delta channel frame, and pass the message in it, if any, to the replica."""
        accepted = self.replica.accepts_from(sender)
        message, answers = self.channel.receive(sender, accepted, frame)
        for answer in answers:
            self._transport.send(sender, answer)
        if message is not None:
            self.carry_out(self.replica.receive(self._clock(), sender, message))

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out effects that the replica returned, and call the observers."""
        for effect in effects:
            if isinstance(effect, Send):
                for frame in self.channel.send(effect.to, effect.message):
                    self._transport.send(effect.to, frame)
            elif isinstance(effect, Write):
                self._write(effect)
            elif isinstance(effect, CallResult):
                self._resolve(effect)
        if self.replica.version != self._committed_version:
            if self.replica.version < self._committed_version:
                self._invariants.violated(
                    Invariant.STATE_NEVER_OLDER,
                    before=self._committed_version,
                    now=self.replica.version,
                )
            self._committed_version = self.replica.version
            self._on_commit()
        if effects:
            self._on_effects()

    def _resolve(self, result: CallResult) -> None:
        future = self._calls.get(result.request_id)
        if future is not None and not future.done():
            future.set_result(result)

    def _write(self, write: Write) -> None:
        if self._closed:  # a late message: drop the write, which is then never acknowledged
            return
        write_future = asyncio.get_running_loop().run_in_executor(
            self.disk, self.store.write, write.puts
        )
        write_future.add_done_callback(
            lambda written: self._write_ended(write.token, written.result())
        )

    def write_beside(self, puts: dict[str, bytes | None]) -> "asyncio.Future[bool] | None":
        """Write records that are not the replica's; return whether they were synced, in a future.

        Returns None after `close`.
        """
        if self._closed:
            return None
        loop = asyncio.get_running_loop()
        return loop.run_in_executor(self.disk, self.store.write, puts)

    def _write_ended(self, token: int, synced: bool) -> None:
        if synced:
            self.carry_out(self.replica.written(self._clock(), token))
            return
        events.event("write_failed", token=token, reason="full" if self.store.full else "refused")
        if self.store.lost and not self.store.open:
            events.event("disk_lost", reason=self.store.lost)
            self._on_store_lost()
            return
        self.carry_out(self.replica.write_failed(self._clock(), token))

    def close(self) -> None:
        """Wait for the write in progress and end the disk thread; later writes are dropped."""
        self._closed = True
        self.disk.shutdown()

"""Hosts the replica of a controller: carries out its effects and passes calls into it.

The replica is a state machine without I/O. Its messages go through the peer transport, with long
texts as deltas; its writes go to the store in a thread of their own, one after another; the results
of its calls resolve the futures that callers wait on. Effects are carried out in their order.
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

CALL_TIMEOUT_S = 0.9  # of a call to the replica set

StartCall = Callable[[int, int], list[Effect]]  # from the time and the number of the call


class ReplicaHost:
    """The replica, its store and its calls in flight.

    Attributes:
        replica: The state machine.
        store: Where it keeps its records.
        disk: The thread in which the store is used.
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
        """Takes over the replica.

        Args:
            replica: The state machine.
            store: An open store; it is closed by its owner.
            transport: To the other controllers.
            clock: In microseconds.
            last_call_number: Random, so that results for an earlier process's calls match none.
            on_commit: Called when the committed version changed.
            on_effects: Called after effects were carried out.
            on_store_lost: Called once the store can no longer be written nor read.
            invariants: Counts violations.
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
        """Whether a majority of the members proved contact within the lease."""
        return self.replica.connected_at(self._clock())

    def head(self) -> str:
        """The member that orders writes, as far as it is known here; "" if none is."""
        return self.replica.head_name

    def leads(self) -> bool:
        """Whether this member orders writes, and is in touch with a majority."""
        return self.head() == self.replica.name and self.replica.connected

    def calls_in_flight(self) -> int:
        """Calls that wait for their result."""
        return len(self._calls)

    def next_call_number(self) -> int:
        """A number for a call whose result nobody waits for."""
        self._last_call_number += 1
        return self._last_call_number

    async def call(self, start: StartCall, timeout_s: float = CALL_TIMEOUT_S) -> CallResult:
        """Passes a call to the replica and waits for its result; UNAVAILABLE after the time-out."""
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
        """Starts a write whose result nobody waits for."""
        self.carry_out(self.replica.put(self._clock(), self.next_call_number(), key, value))

    def receive(self, sender: str, frame: dict[str, Any]) -> None:
        """Takes a frame of a peer's delta channel, and the replica's message in it, if any."""
        accepted = self.replica.accepts_from(sender)
        message, answers = self.channel.receive(sender, accepted, frame)
        for answer in answers:
            self._transport.send(sender, answer)
        if message is not None:
            self.carry_out(self.replica.receive(self._clock(), sender, message))

    def carry_out(self, effects: list[Effect]) -> None:
        """Carries out what the replica returned, and tells the observers."""
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
        if self._closed:  # a message came behind the end; nothing is told that is not written
            return
        writing = asyncio.get_running_loop().run_in_executor(
            self.disk, self.store.write, write.puts
        )
        writing.add_done_callback(lambda written: self._write_ended(write.token, written.result()))

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
        """Waits for the write in progress, and ends the disk's thread; later writes are dropped."""
        self._closed = True
        self.disk.shutdown()

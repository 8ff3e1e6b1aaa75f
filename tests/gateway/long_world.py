"""Hundreds of changes in virtual time while one member is slow, stopped or faulty.

A replica world with a stream of puts and with limited bandwidth of links and disks. It records how
long changes waited and which views were active. Times are integer microseconds.
"""

import json
import random
import zlib
from dataclasses import dataclass, field
from typing import Any

from umbermoor.gateway.distribution.deltas import DeltaChannel
from umbermoor.gateway.effects import Send, Status
from umbermoor.gateway.simulation.replica_world import ReplicaWorld
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.units import MILLISECOND

SECOND = 1000 * MILLISECOND
KEY = "config/all"


@dataclass
class Stream:
    """Results of a stream of changes.

    Attributes:
        sent: number of changes sent.
        acknowledged: number of changes acknowledged.
        waits: for each change, the time until it was acknowledged at some member.
        epochs: epochs of the active views seen meanwhile.
    """

    sent: int = 0
    acknowledged: int = 0
    waits: list[int] = field(default_factory=list)
    epochs: set[int] = field(default_factory=set)


class LongWorld(ReplicaWorld):
    """A replica world with limited bandwidth, and a stream of changes.

    Attributes:
        rate: bytes per second of a member's outgoing link; None for no limit.
        size: approximate size of a value in bytes.
        disk: bytes per second that a disk writes, in addition to the time of a sync; None for no
            limit.
        deltas: whether long texts are sent as deltas.
        delay: delay of a link.
        busy: by member, the time until which its outgoing link is in use.
        bytes: total size of all messages sent.
        kinds: the same, by kind of message.
        slowness: factor by which a slow disk is slower.
    """

    def __init__(
        self,
        seed: int,
        members: int = 3,
        rate: int | None = None,
        size: int = 0,
        disk: int | None = None,
    ) -> None:
        super().__init__(seed, members)
        self.disk = disk
        self.channels: dict[str, DeltaChannel] = {}
        self.deltas = True
        self.delay = MILLISECOND
        self.rate, self.size = rate, size
        self.busy: dict[str, int] = {}
        self.bytes = 0
        self.kinds: dict[str, int] = {}
        self.stream = Stream()
        self.streaming = 0
        # By call: the change, its start, and the time of its next attempt
        self.open: dict[int, tuple[int, int, int]] = {}
        self.slowness = 30

    # Disks with limited bandwidth

    def _sync(self, machine: Any, life: int, token: int) -> None:
        slow = self.slowness if machine.mode == "slow" else 1
        if machine.mode == "hangs" or machine.pending is None:
            super()._sync(machine, life, token)
            return
        span = machine.sync
        if self.disk:
            span += (
                sum(len(value or b"") for value in machine.pending[1].values())
                * SECOND
                // self.disk
            )
        span = round(span * slow * self.rng.uniform(0.5, 1.5))
        self.after(span, lambda: self._synced(machine, life, token))

    # Links with limited bandwidth

    def start(self, name: str, cold: bool | None = None) -> None:
        self.channels[name] = DeltaChannel()
        stored = json.loads(self.machines[name].disk.get(f"state/{KEY}", b"{}"))
        if "text" in stored:
            self.channels[name].codec.texts.add(stored["text"])
        for channel in self.channels.values():
            channel.connection_lost(name)
        super().start(name, cold)

    def _carry(self, sender: str, send: Send) -> None:
        if self.rate is None:
            super()._carry(sender, send)
            return
        if self.drops_message(sender, send.to, send.message):
            return
        frames = (
            self.channels[sender].send(send.to, send.message)
            if self.deltas
            else [{"body": send.message}]
        )
        for frame in frames:
            self._send_frame(sender, send.to, frame)

    def _send_frame(self, sender: str, to: str, frame: dict[str, Any]) -> None:
        """Send a frame over the sender's link, in order; it is lost with the world's `loss`."""
        text = json.dumps(frame)
        size = len(text) if len(text) <= 4096 else len(zlib.compress(text.encode(), 1))
        kind = frame.get("body", frame).get("kind")
        self.bytes += size
        self.kinds[kind] = self.kinds.get(kind, 0) + size
        start = max(self.now, self.busy.get(sender, 0))
        self.busy[sender] = start + size * SECOND // (self.rate or SECOND)
        if self.rng.random() < self.loss:
            return
        self.after(
            self.busy[sender] - self.now + self.delay, lambda: self._frame_arrives(sender, to, text)
        )

    def _frame_arrives(self, sender: str, to: str, text: str) -> None:
        machine = self.machines[to]
        if machine.member is None or (sender, to) in self.cut:
            return
        if not self.deltas:
            self._do(machine, machine.member.receive(self.now, sender, json.loads(text)["body"]))
            return
        body, frames = self.channels[to].receive(
            sender, machine.member.accepts_from(sender), json.loads(text)
        )
        for frame in frames:
            self._send_frame(to, sender, frame)
        if body is not None:
            self._do(machine, machine.member.receive(self.now, sender, body))

    # Stream of changes

    def start_changes(self, interval: int) -> None:
        """Start a change at each interval; each is retried at random members until acknowledged."""
        self.streaming = interval
        self._next_change()

    def _next_change(self) -> None:
        if not self.streaming:
            return
        self.stream.sent += 1
        self._try(self.stream.sent, self.now)
        self.after(self.streaming, self._next_change)

    def _try(self, change: int, began: int) -> None:
        running = [name for name in self.names if self.machines[name].member]
        if not running:
            self.after(100 * MILLISECOND, lambda: self._try(change, began))
            return
        name = self.rng.choice(running)
        number = self.put(name, KEY, self._value(change))
        self._await(number, change, began)

    def _value(self, change: int) -> dict[str, Any]:
        value: dict[str, Any] = {"rev": change}
        if self.size:
            value["text"] = f"{change:08x}" + "".join(
                f'{{"host":"h{n}.example.com","prefix":"/{n * 7919 % 65536:x}/"}},'
                for n in range(self.size // 48)
            )
        return value

    def _await(self, number: int, change: int, began: int) -> None:
        call = self.calls[number]
        if call.answered is not None:
            call.put = None
        if call.answered is None:
            self.after(5 * MILLISECOND, lambda: self._await(number, change, began))
        elif call.answered is Status.OK:
            self.stream.acknowledged += 1
            self.stream.waits.append(self.now - began)
        else:
            self.after(50 * MILLISECOND, lambda: self._try(change, began))

    def _look(self, machine: Any, member: Any) -> None:
        super()._look(machine, member)
        self.stream.epochs.add(member.status().epoch)
        # Old states are not needed: states seen from now on are close to the newest.
        if len(self.model.states) > 64:
            for version in sorted(self.model.states)[:-32]:
                del self.model.states[version]

    def behind(self, name: str) -> bool:
        """Whether a member is out of the chain, or more than 64 versions behind the newest."""
        machine = self.machines[name]
        if machine.member is None or machine.member.status().role in ("out", "blank"):
            return True
        newest = max(other.member.version for other in self.machines.values() if other.member)
        mine = machine.member.version
        return mine[0] != newest[0] or newest[1] - mine[1] > 64


def started_long_world(seed: int, members: int = 3, **options: Any) -> LongWorld:
    """Return a world whose members have formed their chain."""
    world = LongWorld(seed, members, **options)
    world.start_all()
    if not world.run(10 * SECOND, world.whole):
        raise InvariantViolation(Invariant.NOT_STARTED, "not founded", world.now)
    world.run(2 * SECOND)
    return world


def configuration(routes: int, revision: int, changed: int | None = None) -> str:
    """Return a configuration like those of operators; route `changed` has another horizon."""
    rng = random.Random(routes)
    services = {f"s{n}": {"probe": "/health", "saturation": 100} for n in range(5)}
    table = {
        f"route-{n:05d}": {
            "host": f"h{rng.randrange(routes)}.example.com",
            "kind": "safe",
            "prefix": f"/p{n}/{rng.getrandbits(32):x}/",
            "horizonS": 1.5 if n != changed else 2.5,
            "setpointS": 0.6,
            "tries": 2,
            "service": f"s{n % 5}",
        }
        for n in range(routes)
    }
    return json.dumps({"revision": f"{revision:08x}", "services": services, "routes": table})

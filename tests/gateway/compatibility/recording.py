"""Records the bytes that a gateway sends and stores during simulations, on any revision.

The revisions differ in the names in the code, so `Revision` holds the objects that a recording
needs. `generate` fills it from 496b6e6 and writes the fixtures; the tests fill it from this tree
and compare. Simulations run in virtual time from a seed, so the same code gives the same bytes.
"""

import hashlib
import json
import random
import zlib
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest.mock import patch

COMPRESSED = 1 << 31  # the bit of a frame's length that marks a zlib body
FRAME_HEADER = 4  # bytes
SAMPLES = 8  # messages kept of each kind, all with different fields
LARGEST_SAMPLE = 20_000  # bytes; longer messages are covered by the digest only
PROXIES = 5  # number of proxies that probe each other in the recording of datagrams
PROBE_TICK = 100_000  # us
KIND_OFFSET, NEWS_OFFSET, NEWS_SIZE, CHECKSUM_SIZE = (
    3,
    29,
    17,
    4,
)  # offsets and sizes in a datagram, bytes

MEMBERS_DAY = """day seed=13 members=5 fronts=2 bear=1 long=14000
100 config n=1856 routes=3
600 rollout service=maps target=v2 ramp=6 good=1
900 config n=14656 routes=120
1200 again
1500 core_kill on=1 back=400
2600 read
3000 rollout service=bills target=v2 ramp=6 good=0
3500 config n=56256 routes=121
4000 wipe on=2 back=300
5000 lossy part=20 span=9000
6000 core_cut how=both on=0 span=2500
7000 config n=112256 routes=3
8600 core_power on=3 back=900
9500 config n=152256 routes=121
10500 leave pick=4 stay=2000
"""
"""A day of five controllers and two proxies in which every kind of message between them occurs.

No proxy is killed, because the ends of its connections would be handled in the order of a set of
objects, which differs from run to run.
"""
MEMBER_CALLS = (
    (12_000_000, "/Members.Change", {"remove": "10.0.0.5"}),
    (25_500_000, "/Members.Change", {"remove": "10.0.0.4"}),
    (28_000_000, "/Members.Change", {"add": "10.0.0.4"}),
    (30_500_000, "/Members.Change", {"add": "10.0.0.5"}),
)
"""Changes of the replica set during that day: time (us), path, body."""


@dataclass(frozen=True)
class Revision:
    """The objects of one revision's code that a recording uses."""

    play: Callable[[str, Sequence[tuple[int, str, Any]]], Any]  # a day's text, calls during the day
    transport: type  # one end of a simulated connection, with `write(data)`
    disk: type  # a simulated disk, with `write(puts)`
    detector: Callable[
        [str, int, random.Random], Any
    ]  # failure detector: address, incarnation, rng
    heard_of: Callable[[Any, int, Sequence[str]], None]
    receive: Callable[[Any, int, str, bytes], Sequence[tuple[str, bytes]]]
    tick: Callable[[Any, int], Sequence[tuple[str, bytes]]]
    leave: Callable[[Any, int], Sequence[tuple[str, bytes]]]


@dataclass
class Samples:
    """A digest of all items in order, and the first items of each kind with different fields."""

    digest: Any = field(default_factory=hashlib.sha256)
    count: int = 0
    by_kind: dict[str, list[bytes]] = field(default_factory=dict)
    _shapes: set[tuple[str, str]] = field(default_factory=set)

    def add(self, kind: str, shape: str, data: bytes, digested: bytes | None = None) -> None:
        """Count an item, and keep it if it is the first of its shape.

        Args:
            kind: The kind of item.
            shape: A text that differs between items with different fields.
            data: The bytes of the item.
            digested: Bytes to digest instead of `data`.
        """
        self.count += 1
        counted = data if digested is None else digested
        self.digest.update(len(counted).to_bytes(4, "big") + counted)
        samples = self.by_kind.setdefault(kind, [])
        if len(samples) >= SAMPLES or len(data) > LARGEST_SAMPLE or (kind, shape) in self._shapes:
            return
        self._shapes.add((kind, shape))
        samples.append(data)


@dataclass
class DayRecording:
    """The frames sent and the records stored during a day."""

    frames: Samples = field(default_factory=Samples)
    records: Samples = field(default_factory=Samples)


def frames_in(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield each frame in the data of a write, and the frame's decompressed body."""
    while data:
        header = int.from_bytes(data[:FRAME_HEADER], "big")
        end = FRAME_HEADER + (header & ~COMPRESSED)
        frame, data = data[:end], data[end:]
        assert len(frame) == end, "a write contains whole frames"
        body = frame[FRAME_HEADER:]
        yield frame, zlib.decompress(body) if header & COMPRESSED else body


def kind_of(message: Mapping[str, Any]) -> str:
    """Return the kind of a frame's message; for a message between replicas, the inner kind."""
    return f"chain-{message['body']['kind']}" if message["kind"] == "chain" else message["kind"]


def with_sorted_reports(message: Mapping[str, Any], body: bytes) -> bytes:
    """Return the body, with reports sorted, as they are sent in the order of a set of names."""
    if message["kind"] != "reports":
        return body
    reports = sorted(message["reports"], key=lambda report: report["service"])
    return json.dumps({**message, "reports": reports}, separators=(",", ":")).encode()


def shape_of(value: Any, depth: int = 0) -> str:
    """Return a text that tells which fields a value has, and which of them are empty."""
    if isinstance(value, dict) and depth < 2:
        inner = ",".join(
            f"{key}:{shape_of(item, depth + 1)}" for key, item in sorted(value.items())
        )
        return f"{{{inner}}}"
    return f"{type(value).__name__}{'' if value else '0'}"


def structure_of(value: Any) -> Any:
    """Return the value with each scalar replaced by the name of its type."""
    if isinstance(value, dict):
        return {key: structure_of(item) for key, item in value.items()}
    if isinstance(value, list):
        return [structure_of(item) for item in value]
    return type(value).__name__


def record_day(
    revision: Revision,
    day: str = MEMBERS_DAY,
    calls: Sequence[tuple[int, str, Any]] = MEMBER_CALLS,
) -> DayRecording:
    """Simulate a day; record each frame sent on a connection and each record written to a disk."""
    recording = DayRecording()
    transport_write, disk_write = revision.transport.write, revision.disk.write

    def write(transport: Any, data: bytes) -> None:
        for frame, body in frames_in(bytes(data)):
            message = json.loads(body)
            compressed = frame[:1] >= b"\x80"
            shape = f"{shape_of(message)} compressed={compressed}"
            # Versions of zlib compress differently, so the digest covers the decompressed body.
            digested = bytes([compressed]) + with_sorted_reports(message, body)
            recording.frames.add(kind_of(message), shape, frame, digested)
        transport_write(transport, data)

    def store(disk: Any, puts: Mapping[str, bytes | None]) -> bool:
        for key, value in puts.items():
            shape = "removed" if value is None else str(structure_of(json.loads(value)))
            item = key.encode() + b"\t" + (b"" if value is None else value)
            recording.records.add(key.replace("/", "-"), shape, item)
        return disk_write(disk, puts)

    with (
        patch.object(revision.transport, "write", write),
        patch.object(revision.disk, "write", store),
    ):
        revision.play(day, calls)
    return recording


def record_datagrams(revision: Revision) -> Samples:
    """Record proxies that discover each other, one cut off for a while, and one that leaves."""
    samples = Samples()
    chance = random.Random(5)
    addresses = [f"10.0.1.{number + 1}" for number in range(PROXIES)]
    detectors = {
        address: revision.detector(address, 1_700_000_000_000_000 + number, random.Random(number))
        for number, address in enumerate(addresses)
    }
    for detector in detectors.values():
        revision.heard_of(detector, 0, addresses)
    silent, leaving = addresses[1], addresses[2]
    for now in range(0, 20_000_000, PROBE_TICK):
        cut = 5_000_000 <= now < 8_000_000
        waiting = [
            (address, to, data)
            for address, detector in detectors.items()
            for to, data in revision.tick(detector, now)
        ]
        if now == 12_000_000:
            waiting += [(leaving, to, data) for to, data in revision.leave(detectors[leaving], now)]
        while waiting:
            sender, to, data = waiting.pop(0)
            samples.add(f"datagram-{data[KIND_OFFSET]}", _reported_states(data), data)
            if chance.random() < 0.03 or (cut and silent in (sender, to)):
                continue
            answers = revision.receive(detectors[to], now, sender, data)
            waiting += [(to, receiver, answer) for receiver, answer in answers]
    return samples


def _reported_states(data: bytes) -> str:
    """Return the member states that a datagram reports, as a text."""
    states = {data[at] for at in range(NEWS_OFFSET, len(data) - CHECKSUM_SIZE, NEWS_SIZE)}
    return ",".join(map(str, sorted(states)))


def write_samples(folder: Path, samples: Samples) -> dict[str, Any]:
    """Write a file for each kind with its items in order; return the entry for the index."""
    folder.mkdir(parents=True, exist_ok=True)
    for kind, items in samples.by_kind.items():
        (folder / f"{kind}.bin").write_bytes(b"".join(items))
    return {
        "count": samples.count,
        "sha256": samples.digest.hexdigest(),
        "sizes": {kind: [len(item) for item in items] for kind, items in samples.by_kind.items()},
    }

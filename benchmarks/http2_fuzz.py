"""Fuzzes the inbound path of an HTTP/2 session with random, corrupted and fragmented frames.

The session must not raise, must use bounded memory and must leave no call open once it has ended.

Usage: python -m benchmarks.http2_fuzz [--seconds N] [--seed N]
"""

import random
import sys
import time

from umbermoor.front.http2.frames import HEAD, MAX_FRAME_BYTES
from umbermoor.front.http2.session import Call, Session
from umbermoor.http1.buffers import Buffers

HEADS = [(":method", "GET"), (":scheme", "http"), (":authority", "api"), (":path", "/api")]
BLOCKS = (
    b"\x88",
    b"\x88\x5f\x01x",
    b"\x08\x03200",
    b"\x00\x01a\x01b\x88",
    bytes(range(40)),
    b"\xff" * 30,
    b"\x82\x86",
    b"",
)


def frame(rng: random.Random) -> bytes:
    kind, flags = (
        rng.choice((0, 0, 1, 1, 1, 3, 4, 5, 6, 7, 8, 9, 10, 255)),
        rng.choice((0, 1, 4, 5, 8, 0x20, 255)),
    )
    stream = rng.choice((0, 1, 3, 5, 7, 2, 99, 2**31 - 1))
    payload = rng.choice(
        (
            b"",
            rng.choice(BLOCKS),
            bytes(8),
            bytes(4),
            rng.randbytes(rng.randrange(60)),
            (2**31 - 1).to_bytes(4),
            b"x" * rng.randrange(MAX_FRAME_BYTES),
        )
    )
    length = len(payload) if rng.random() < 0.95 else rng.randrange(1 << 24)
    return length.to_bytes(3) + bytes([kind, flags]) + stream.to_bytes(4) + payload


def play(rng: random.Random) -> int:
    buffers, ended, calls = Buffers(4 << 20), [], []
    session = Session(buffers, 0)
    for _ in range(4):
        calls.append(Call([*HEADS], b"order" * rng.randrange(3), lambda: True, ended.append))
        session.submit(calls[-1])
    if rng.random() < 0.9:
        session.receive(0, (0).to_bytes(3) + b"\x04\x00" + bytes(4))
    count = rng.randrange(1, 60)
    data = b"".join(frame(rng) for _ in range(count))
    if rng.random() < 0.3:
        flipped = bytearray(data)
        for _ in range(3):
            flipped[rng.randrange(len(flipped))] ^= 1 << rng.randrange(8)
        data = bytes(flipped)
    at = now = 0
    while at < len(data) and not session.ended:
        while session.next_bytes():
            pass
        size = rng.choice((1, HEAD, 50, 5000, 1 << 20))
        now += 1000
        session.receive(now, data[at : at + size])
        at += size
    session.lost()
    for call in session.take_unsent():
        call.settle(None)
    assert len(ended) == len(calls) and session.open_streams == 0 and buffers.in_use == 0, (
        len(ended),
        session.open_streams,
        buffers.in_use,
    )
    return count


def main(arguments: list[str]) -> int:
    seconds = (
        float(arguments[arguments.index("--seconds") + 1]) if "--seconds" in arguments else 20.0
    )
    seed = int(arguments[arguments.index("--seed") + 1]) if "--seed" in arguments else 1
    frames = plays = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        rng = random.Random(f"{seed}/{plays}")
        try:
            frames += play(rng)
        except Exception as error:
            print(f"play {plays} of seed {seed}: {type(error).__name__}: {error}")
            return 1
        plays += 1
    print(
        f"{plays} connections, {frames} frames in {seconds:g} s: nothing was raised, no call left open, no buffer "
        f"kept"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Bytes and processor time of one changed route: from member to member, and from a member to a
front.

python -m benchmarks.change_bytes

Each line: routes; bytes of the frame to the next member, whole and by what it changes; milliseconds
of both its ends, whole and by what it changes; the same to a front, compiling the routes not
counted. Medians of `plays` changes.
"""

import json
import time
from statistics import median
from typing import Any

from cyclopts import App

from tests.gateway.long_world import configuration
from umbermoor.gateway.distribution.deltas import DeltaChannel, apply_delta, text_digest
from umbermoor.gateway.server.peer_transport import COMPRESSED_FLAG, decode_body, encode_frame

app = App(help=__doc__)


def wire(message: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Its bytes, and what comes out at the other end."""
    data = encode_frame(message)
    told = decode_body(data[4:], bool(int.from_bytes(data[:4], "big") & COMPRESSED_FLAG))
    assert told is not None
    return len(data), told


def append(text: str, revision: int) -> dict[str, Any]:
    entry = ["config", {"revision": revision, "text": text}, "10.0.0.1", 1, revision]
    return {
        "kind": "append",
        "epoch": 1,
        "first": revision,
        "entries": [entry],
        "committed": revision - 1,
    }


def play(routes: int, plays: int) -> list[float]:
    one, other = DeltaChannel(), DeltaChannel()
    one.codec.peer_announced("b", [])
    other.codec.peer_announced("a", [])
    figures: list[list[float]] = []
    held = configuration(routes, 1)
    for told in one.send("b", append(held, 1)):
        other.receive("a", True, told)
    for number in range(2, plays + 2):
        text = configuration(routes, number, number % routes)
        began = time.process_time()
        whole, _ = wire({"kind": "chain", "body": append(text, number)})
        between = time.process_time()
        (told,) = one.send("b", append(text, number))
        short, came = wire(told)
        body, _ = other.receive("a", True, came)
        ended = time.process_time()
        assert body == append(text, number)
        front_began = time.process_time()
        front_whole, _ = wire({"kind": "body", "text": text})
        front_between = time.process_time()
        change = one.codec.make_delta(text_digest(held), text)
        assert change
        front_short, came = wire({"kind": "body", "delta": change})
        assert apply_delta(held, came["delta"][2], change[0]) == text
        front_ended = time.process_time()
        figures.append(
            [
                whole,
                short,
                1000 * (between - began),
                1000 * (ended - between),
                front_whole,
                front_short,
                1000 * (front_between - front_began),
                1000 * (front_ended - front_between),
            ]
        )
        held = text
    return [median(column) for column in zip(*figures)]


@app.default
def main(plays: int = 9) -> None:
    for routes in (40, 400, 1400, 10000):
        size = len(json.dumps(configuration(routes, 1)))
        a, b, c, d, e, f, g, h = play(routes, plays)
        print(
            f"routes={routes} text={size} member_bytes={a:.0f},{b:.0f} member_ms={c:.2f},{d:.2f} "
            f"front_bytes={e:.0f},{f:.0f} front_ms={g:.2f},{h:.2f}"
        )


if __name__ == "__main__":
    app()

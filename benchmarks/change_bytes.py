"""Bytes and processor time of one changed route, between members and from a member to a proxy.

python -m benchmarks.change_bytes

Each line holds the number of routes, the bytes of the frame to the next member (full text, delta),
the milliseconds of processor time of sender and receiver together (full text, delta), and the same
for a proxy, without compiling the routes. All figures are medians of `plays` changes.
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


def encode_and_decode(message: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Return the size of the encoded message and the message decoded from it."""
    data = encode_frame(message)
    decoded = decode_body(data[4:], bool(int.from_bytes(data[:4], "big") & COMPRESSED_FLAG))
    assert decoded is not None
    return len(data), decoded


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
    sender, receiver = DeltaChannel(), DeltaChannel()
    sender.codec.peer_announced("b", [])
    receiver.codec.peer_announced("a", [])
    figures: list[list[float]] = []
    previous_text = configuration(routes, 1)
    for message_sent in sender.send("b", append(previous_text, 1)):
        receiver.receive("a", True, message_sent)
    for number in range(2, plays + 2):
        text = configuration(routes, number, number % routes)
        began = time.process_time()
        full_bytes, _ = encode_and_decode({"kind": "chain", "body": append(text, number)})
        between = time.process_time()
        (message_sent,) = sender.send("b", append(text, number))
        delta_bytes, decoded = encode_and_decode(message_sent)
        body, _ = receiver.receive("a", True, decoded)
        ended = time.process_time()
        assert body == append(text, number)
        proxy_began = time.process_time()
        proxy_full_bytes, _ = encode_and_decode({"kind": "body", "text": text})
        proxy_between = time.process_time()
        change = sender.codec.make_delta(text_digest(previous_text), text)
        assert change
        proxy_delta_bytes, decoded = encode_and_decode({"kind": "body", "delta": change})
        assert apply_delta(previous_text, decoded["delta"][2], change[0]) == text
        proxy_ended = time.process_time()
        figures.append(
            [
                full_bytes,
                delta_bytes,
                1000 * (between - began),
                1000 * (ended - between),
                proxy_full_bytes,
                proxy_delta_bytes,
                1000 * (proxy_between - proxy_began),
                1000 * (proxy_ended - proxy_between),
            ]
        )
        previous_text = text
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

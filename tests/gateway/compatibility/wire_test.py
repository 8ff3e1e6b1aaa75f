"""The bytes on the wire and of records on disk.

Whatever 496b6e6 sent or stored is read, and datagrams are the same. Frames and records are those of
the last revision that changed them on purpose (`record_present`), and have the fields of 496b6e6
and those of NEW_FIELDS.
"""

import json
import re
from functools import cache
from typing import Any

import pytest

from tests.gateway.compatibility.recording import (
    DayRecording,
    Samples,
    frames_in,
    kind_of,
    record_datagrams,
    record_day,
)
from tests.gateway.compatibility.this_revision import FIXTURES, PRESENT, REVISION
from umbermoor.gateway.membership import codec
from umbermoor.gateway.membership.messages import MessageType
from umbermoor.gateway.replication.codec import FORMATS, decode, encode
from umbermoor.gateway.server.peer_transport import decode_body, encode_frame

INDEX = json.loads((FIXTURES / "index.json").read_text())
PRESENT_INDEX = json.loads((PRESENT / "index.json").read_text())
# Fields that 496b6e6 did not have, by kind of frame or record
NEW_FIELDS = {
    "reports": {
        "reports[].answers",
        "reports[].answers.base",
        "reports[].answers.base[]",
        "reports[].answers.trial",
    },
    "chain-map": {"body.state.*.base", "body.state.*.base[]"},
    "chain-news": {"body.state.*.base", "body.state.*.base[]"},
}
NAME = re.compile(r"[/.\d]|^r-|^maps$|^bills$|^front$")  # of machines, services, records and routes
REPLICATION = sorted(wire_format.kind for wire_format in FORMATS)
BESIDE_REPLICATION = ("body", "digest", "heard", "holds", "news", "pull", "reports", "told")


def stored(part: str, kind: str, present: bool = False) -> list[bytes]:
    """Return the stored items of a kind, of 496b6e6 or of this tree."""
    folder, index = (PRESENT, PRESENT_INDEX) if present else (FIXTURES, INDEX)
    data = (folder / part / f"{kind}.bin").read_bytes()
    items = []
    for size in index[part]["sizes"][kind]:
        items.append(data[:size])
        data = data[size:]
    assert not data
    return items


def kinds(part: str) -> list[str]:
    """Return the kinds stored for a part of the fixtures, sorted."""
    return sorted(INDEX[part]["sizes"])


@cache
def day() -> DayRecording:
    """Return the recording of the day by this tree."""
    return record_day(REVISION)


@cache
def probes() -> Samples:
    """Return the datagrams that this tree sends."""
    return record_datagrams(REVISION)


def uncompressed(frames: list[bytes]) -> list[tuple[bool, bytes]]:
    """Return, for each frame, whether it is compressed, and its decompressed body."""
    return [(whole[0] >= 0x80, body) for frame in frames for whole, body in frames_in(frame)]


def fields(value: Any, path: str = "") -> set[str]:
    """Return the paths of all fields in a JSON value; keys that are names of things stand as *."""
    found = {path} if path else set()
    if isinstance(value, dict):
        for key, inner in value.items():
            name = "*" if NAME.search(key) else key
            found |= fields(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list):
        for inner in value:
            found |= fields(inner, f"{path}[]")
    return found


def assert_same(samples: Samples, part: str, index: dict[str, Any]) -> None:
    """Check that everything sent or stored is the same as recorded, in the same order."""
    expected = index[part]
    assert (samples.count, samples.digest.hexdigest()) == (expected["count"], expected["sha256"])


def test_every_kind_has_a_fixture() -> None:
    named = {f"chain-{kind}" for kind in REPLICATION} | set(BESIDE_REPLICATION)
    assert set(kinds("frames")) == named
    assert len(kinds("datagrams")) == len(MessageType)


@pytest.mark.parametrize("kind", kinds("frames"))
def test_frames_are_written_as_stored(kind: str) -> None:
    present = stored("frames", kind, present=True)
    assert uncompressed(day().frames.by_kind[kind]) == uncompressed(present)


@pytest.mark.parametrize("kind", kinds("frames"))
def test_frames_have_the_fields_of_496b6e6_and_known_new_ones(kind: str) -> None:
    before, now = (
        set().union(
            *(fields(json.loads(body)) for _, body in uncompressed(stored("frames", kind, present)))
        )
        for present in (False, True)
    )
    assert now - before <= NEW_FIELDS.get(kind, set())
    assert NEW_FIELDS.get(kind, set()) <= now


@pytest.mark.parametrize("kind", kinds("frames"))
@pytest.mark.parametrize("present", [False, True])
def test_stored_frames_are_read_and_written_again(kind: str, present: bool) -> None:
    for whole in stored("frames", kind, present):
        message = decode_body(whole[4:], whole[0] >= 0x80)
        assert message is not None and kind_of(message) == kind
        assert uncompressed([encode_frame(message)]) == uncompressed([whole])


@pytest.mark.parametrize("kind", REPLICATION)
def test_stored_messages_between_replicas_are_decoded_and_encoded_again(kind: str) -> None:
    for _, body in uncompressed(stored("frames", f"chain-{kind}")):
        value = json.loads(body)["body"]
        message = decode(value)
        assert message is not None
        assert json.dumps(encode(message)) == json.dumps(value)


@pytest.mark.parametrize("kind", kinds("records"))
def test_records_are_written_as_stored(kind: str) -> None:
    assert day().records.by_kind[kind] == stored("records", kind, present=True)


@pytest.mark.parametrize("kind", kinds("datagrams"))
def test_datagrams_are_written_as_stored(kind: str) -> None:
    assert probes().by_kind[kind] == stored("datagrams", kind)


@pytest.mark.parametrize("kind", kinds("datagrams"))
def test_stored_datagrams_are_read_and_written_again(kind: str) -> None:
    for data in stored("datagrams", kind):
        message = codec.decode(data)
        assert message is not None and f"datagram-{message.type:d}" == kind
        assert codec.encode(message) == data


def test_a_day_sends_the_same_frames_in_the_same_order() -> None:
    assert_same(day().frames, "frames", PRESENT_INDEX)


def test_a_day_stores_the_same_records_in_the_same_order() -> None:
    assert_same(day().records, "records", PRESENT_INDEX)


def test_proxies_send_the_same_datagrams_in_the_same_order() -> None:
    assert_same(probes(), "datagrams", INDEX)

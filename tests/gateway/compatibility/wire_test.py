"""The bytes on the wire and of records on disk are those of 496b6e6."""

import json
from functools import cache

import pytest

from tests.gateway.compatibility.recording import (
    DayRecording,
    Samples,
    frames_in,
    kind_of,
    record_datagrams,
    record_day,
)
from tests.gateway.compatibility.this_revision import FIXTURES, REVISION
from umbermoor.gateway.membership import codec
from umbermoor.gateway.membership.messages import MessageType
from umbermoor.gateway.replication.codec import FORMATS, decode, encode
from umbermoor.gateway.server.peer_transport import decode_body, encode_frame

INDEX = json.loads((FIXTURES / "index.json").read_text())
REPLICATION = sorted(wire_format.kind for wire_format in FORMATS)
BESIDE_REPLICATION = ("body", "digest", "heard", "holds", "news", "pull", "reports", "told")


def stored(part: str, kind: str) -> list[bytes]:
    """Return the stored items of a kind."""
    data = (FIXTURES / part / f"{kind}.bin").read_bytes()
    items = []
    for size in INDEX[part]["sizes"][kind]:
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


def assert_same(samples: Samples, part: str) -> None:
    """Check that everything sent or stored is the same as in 496b6e6, in the same order."""
    expected = INDEX[part]
    assert (samples.count, samples.digest.hexdigest()) == (expected["count"], expected["sha256"])


def test_every_kind_has_a_fixture() -> None:
    named = {f"chain-{kind}" for kind in REPLICATION} | set(BESIDE_REPLICATION)
    assert set(kinds("frames")) == named
    assert len(kinds("datagrams")) == len(MessageType)


@pytest.mark.parametrize("kind", kinds("frames"))
def test_frames_are_written_as_stored(kind: str) -> None:
    assert uncompressed(day().frames.by_kind[kind]) == uncompressed(stored("frames", kind))


@pytest.mark.parametrize("kind", kinds("frames"))
def test_stored_frames_are_read_and_written_again(kind: str) -> None:
    for whole in stored("frames", kind):
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
    assert day().records.by_kind[kind] == stored("records", kind)


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
    assert_same(day().frames, "frames")


def test_a_day_stores_the_same_records_in_the_same_order() -> None:
    assert_same(day().records, "records")


def test_proxies_send_the_same_datagrams_in_the_same_order() -> None:
    assert_same(probes(), "datagrams")

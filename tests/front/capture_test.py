"""Captures: frames are read as written, damage is found, memory and disk space are limited."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from umbermoor.front.capture import command
from umbermoor.front.capture.files import Segments, Unreadable, describe_damage, read_capture
from umbermoor.front.capture.frames import (
    ENDINGS,
    Damage,
    Header,
    Row,
    SeenMachine,
    file_head,
    header_frame,
    read,
    rows_frame,
)
from umbermoor.front.capture.recorder import MAX_TRACKED, Recorder
from umbermoor.front.interface import Ending, Entry, Readiness

HEADER = Header(
    "n0", 5, ({"name": "look", "aim_ms": 1000, "patience_ms": 4000, "repeat": "repeatable"},)
)
ROW = Row(10_000, 0, False, 900, "done", 1, 2500, 4_000_000, SeenMachine("m1", 1, 0), 2, 100, 2000)
u32 = some.integers(0, 2**32 - 1)
rows = some.builds(
    Row,
    some.integers(10**15, 10**15 + 2**31),
    some.integers(0, 255),
    some.booleans(),
    some.none() | u32,
    some.sampled_from(ENDINGS),
    some.integers(0, 255),
    u32,
    u32,
    some.none()
    | some.builds(
        SeenMachine, some.text(max_size=20), some.integers(0, 65535), some.integers(0, 2**63)
    ),
    some.integers(0, 65535),
    u32,
    u32,
)


@settings(deadline=None, max_examples=60)
@given(some.lists(rows, min_size=1, max_size=30))
def test_what_is_written_is_read(given_rows):
    assert list(read(file_head() + header_frame(HEADER) + rows_frame(given_rows))) == [
        HEADER,
        given_rows,
    ]


@settings(deadline=None, max_examples=80)
@given(some.integers(0, 10**6), some.integers(0, 7))
def test_a_flipped_bit_is_found_and_all_before_it_is_read(place, bit):
    whole = bytearray(
        file_head() + header_frame(HEADER) + rows_frame([ROW] * 3) + rows_frame([ROW] * 2)
    )
    place %= len(whole)
    whole[place] ^= 1 << bit
    found = list(read(bytes(whole)))
    good = [one for one in found if not isinstance(one, Damage)]
    assert good == [HEADER, [ROW] * 3, [ROW] * 2][: len(good)]
    if len(good) < 3:
        assert isinstance(found[-1], Damage) and found[-1].at <= place
    else:
        assert place in (
            6,
            7,
            *(at + 3 for at in _heads(bytes(whole))),
        )  # reserved bytes, which the reader ignores


@pytest.mark.parametrize("cut", range(1, 60, 7))
def test_a_truncated_file_loses_only_its_last_frame(cut):
    whole = file_head() + header_frame(HEADER) + rows_frame([ROW]) + rows_frame([ROW] * 2)
    *good, last = read(whole[:-cut])
    assert good == [HEADER, [ROW]] and isinstance(last, Damage) and "ends within" in last.what


def test_other_versions_and_other_files_are_rejected_with_one_line(tmp_path, capsys):
    path = str(tmp_path / "a")
    for data, said in (
        (b"UMCAP\x02\0\0rest", "version 2"),
        (b"#!/bin/sh\nxx", "no capture"),
        (b"", "ends before"),
        (file_head() + b"\0" * 40, "no frame begins"),
    ):
        (tmp_path / "a").write_bytes(data)
        assert command.main(["capture", "show", path]) == 2
        assert said in (text := capsys.readouterr().err) and text.count("\n") == 1
    with pytest.raises(Unreadable):
        read_capture(str(tmp_path / "none"))


class Clock:
    now = 1_000_000

    def __call__(self) -> int:
        return self.now


def recorder(write) -> tuple[Recorder, Clock]:
    clock = Clock()
    made = Recorder(clock, HEADER, write)
    made.listed(True, [Entry("m1", 3, 0, 0, Readiness.READY, 1.0, 77)])
    return made, clock


def test_a_query_is_recorded_from_arrival_to_its_end():
    frames = []
    one, clock = recorder(frames.append)
    one.asked("q", 0, clock.now + 4000, 55, True)
    one.handed("other", "m1")
    clock.now += 10
    one.handed("q", "m1")
    clock.now += 200
    one.ended("q", "m1", Ending.OK, 200)
    one.closed("q", "done")
    one.flush()
    assert list(read(file_head() + frames[0])) == [
        [Row(1_000_000, 0, True, 55, "done", 1, 210, 4000, SeenMachine("m1", 3, 77), 1, 10, 200)]
    ]
    one.closed("q", "done")  # recorded only once
    one.flush()
    assert len(frames) == 1


def test_memory_is_bounded_and_old_rows_are_written():
    frames = []
    one, clock = recorder(frames.append)
    for at in range(MAX_TRACKED + 5):
        one.asked(f"q{at}", 0, 0, None, False)
    assert one.left_out == 5
    for at in range(600):
        one.closed(f"q{at}", "denied")
    assert len(frames) == 1
    clock.now += 3_000_000
    one.closed("q700", "left")
    assert len(frames) == 2 and not one._rows


def test_segments_stay_within_their_limit_and_a_full_disk_ends_only_the_capture(
    tmp_path, monkeypatch
):
    path = str(tmp_path / "c")
    most = 60_000
    files = Segments(path, most, lambda: header_frame(HEADER))
    for at in range(3000):
        files.write(rows_frame([ROW._replace(came=ROW.came + at)]))
        assert (
            sum(os.path.getsize(one) for one in (path, path + ".1") if os.path.exists(one)) <= most
        )
    files.close()
    found = read_capture(path)
    assert (
        not found.damage and found.rows[-1].came == ROW.came + 2999 and 100 < len(found.rows) < 3000
    )
    again = Segments(
        path, most, lambda: header_frame(HEADER)
    )  # a restart keeps the earlier segment
    again.write(rows_frame([ROW._replace(came=9 * 10**9)]))
    assert len(read_capture(path).rows) > 100

    class Full:
        def write(self, data):
            raise OSError(28, "No space left on device")

        def close(self):
            raise OSError(28, "No space left on device")

    again._file = Full()
    again.write(b"x")
    again.write(b"y")
    assert again.ended and again._file is None


def test_damage_is_described_with_the_number_of_queries_that_were_read(tmp_path):
    path = tmp_path / "c"
    path.write_bytes(file_head() + header_frame(HEADER) + rows_frame([ROW]) + b"Fr")
    found = read_capture(str(path))
    assert describe_damage(found.damage[0], len(found.rows)).endswith(
        "ends within a frame's head; what stands before it was read, 1 queries in all"
    )
    assert command.summarise(found)["profiles"]["look"]["queries"] == 1


def _heads(data: bytes) -> list[int]:
    return [at for at in range(8, len(data)) if data[at : at + 2] == b"Fr"]

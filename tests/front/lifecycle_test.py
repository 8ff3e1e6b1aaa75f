"""Lifecycle of a front: transition table, drain, timers, scheduler, snapshot and admin calls."""

import itertools
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from umbermoor.front.lifecycle.admin_calls import AdminCalls, metrics_text
from umbermoor.front.lifecycle.drain_keeper import (
    DEFAULT_DEADLINE,
    DRAINED_AFTER,
    RAMP_START,
    RAMP_TIME,
    SECOND,
    DrainAction,
    DrainKeeper,
)
from umbermoor.front.lifecycle.scheduler import MAX_PRESSED_WAIT, MAX_SLICE, Scheduler, Task
from umbermoor.front.lifecycle.snapshot import (
    MAX_AGE,
    MAX_SPEEDS_AGE,
    MachineSnapshot,
    Snapshot,
    UnusableFile,
    find_mismatch,
    load,
    pack,
    unpack,
    usable_machines,
    write,
)
from umbermoor.front.lifecycle.states import CLOSES, TABLE, UP, Event, State
from umbermoor.front.lifecycle.timing_wheel import Wheel
from umbermoor.front.server.operations import note_background_work
from umbermoor.http1.reader import Request
from umbermoor.logs import KeyValueFormatter


def test_every_event_is_defined_in_every_state_and_leaving_is_final():
    assert set(TABLE) == set(itertools.product(State, Event))
    assert {TABLE[State.LEAVING, event] for event in Event} == {State.LEAVING}
    assert all(TABLE[state, Event.LEAVE] is State.LEAVING for state in State)
    assert not UP & CLOSES
    for state, event in TABLE:  # a repeated command changes nothing more
        if event in (Event.DRAIN, Event.RESUME, Event.LEAVE):
            assert TABLE[TABLE[state, event], event] in (TABLE[state, event], State.SERVING)


def serving() -> DrainKeeper:
    keeper = DrainKeeper(0, 100)
    keeper.ready(0)
    return keeper


def test_a_drain_ends_when_no_query_is_in_flight_or_at_its_deadline():
    keeper = serving()
    assert (
        keeper.drain(0, 2 * SECOND) == "draining"
        and keeper.closes
        and not keeper.up
        and keeper.admits(0, 5)
    )
    assert keeper.tick(0, 3) == [DrainAction.CLOSE_IDLE]
    assert (
        keeper.tick(SECOND, 0) == [] and keeper.tick(SECOND + 1, 1) == []
    )  # was already on its way
    assert keeper.tick(SECOND + DRAINED_AFTER, 1) == [] and keeper.state is State.DRAINING
    assert (
        keeper.drain(SECOND, 9 * SECOND) == "the deadline is moved"
        and keeper.next_at(SECOND) is not None
    )
    assert keeper.tick(3 * SECOND, 1) == [] and keeper.tick(10 * SECOND, 1) == [DrainAction.GIVE_UP]
    keeper.tick(10 * SECOND, 0)
    assert keeper.state is State.DRAINED and not keeper.admits(10 * SECOND, 0)
    assert keeper.drain(0) == "drained already"


def test_a_drain_is_cancelled_at_its_deadline_and_requested_again():
    keeper = serving()
    keeper.drain(0, SECOND)
    assert keeper.resume(SECOND) == "resuming" and keeper.tick(SECOND, 4) == []
    assert (
        keeper.up
        and keeper.admits(SECOND, RAMP_START - 1)
        and not keeper.admits(SECOND, RAMP_START)
    )
    assert keeper.max_in_hand(SECOND + RAMP_TIME // 2) == RAMP_START + (100 - RAMP_START) // 2
    keeper.drain(SECOND + 1)
    assert keeper.deadline == SECOND + 1 + DEFAULT_DEADLINE
    keeper.tick(SECOND + 2, 0)
    keeper.tick(SECOND + 2 + DRAINED_AFTER, 0)
    assert keeper.state is State.DRAINED and keeper.resume(2 * SECOND) == "resuming"
    assert keeper.tick(2 * SECOND, 0) == [DrainAction.FORGET] and not keeper.votes
    keeper.tick(2 * SECOND + RAMP_TIME, 0)
    assert (
        keeper.state is State.SERVING and keeper.votes and keeper.resume(0) == "in service already"
    )
    keeper.leave(9 * SECOND)
    assert keeper.drain(9 * SECOND) == "leaving already" and "no way back" in keeper.resume(
        9 * SECOND
    )


class FrontModel:
    """Model of the keeper's host, with queries of two kinds: lookups and bookings."""

    STEPS = ("drain0", "drain1", "resume", "leave", "lookup", "booking", "answer", "late", "wait")

    def __init__(self) -> None:
        self.now = 0
        self.keeper = serving()
        self.open: dict[str, bool] = {}  # query: whether it may have run
        self.answers: dict[str, list[str]] = {}
        self.made = 0

    def play(self, step: str) -> None:
        self.now += 50_000
        if step in ("lookup", "booking"):
            self.made += 1
            query = f"{step}{self.made}"
            self.answers[query] = []
            if self.keeper.admits(self.now, len(self.open)):
                self.open[query] = step == "booking"
            else:
                self.end(query, "denied")
        elif step == "answer" and self.open:
            query = next(iter(self.open))
            del self.open[query]
            self.end(query, "done")
        elif step.startswith("drain"):
            self.keeper.drain(self.now, int(step[-1]) * SECOND // 2)
        elif step == "resume":
            self.keeper.resume(self.now)
        elif step == "leave":
            self.keeper.leave(self.now)
        self.now += SECOND if step == "wait" else 0
        for _ in range(3):
            for due in self.keeper.tick(self.now, len(self.open)):
                if due is DrainAction.GIVE_UP:
                    for query, ran in list(self.open.items()):
                        del self.open[query]
                        self.end(query, "abandoned" if ran else "denied")

    def end(self, query: str, how: str) -> None:
        self.answers[query].append(how)

    def check(self) -> None:
        assert all(len(one) <= 1 for one in self.answers.values())
        for query, how in self.answers.items():
            assert bool(how) != (query in self.open)
            if query.startswith("booking") and how == ["denied"]:
                assert query not in self.open
        if self.keeper.state is State.DRAINED:
            assert not self.open and self.keeper.deadline is None
        if self.keeper.state is State.DRAINING and self.keeper.deadline is not None:
            assert not self.open or self.now < self.keeper.deadline
        at = self.keeper.next_at(self.now)
        assert at is None or at >= self.now - SECOND or self.keeper.state is State.DRAINING


@pytest.mark.parametrize("first", FrontModel.STEPS)
def test_every_sequence_of_four_commands_queries_and_answers(first):
    for steps in itertools.product(FrontModel.STEPS, repeat=3):
        model = FrontModel()
        for step in (first, *steps):
            model.play(step)
            model.check()


# The timing wheel, compared with a plain list.


@settings(max_examples=150, deadline=None)
@given(
    some.lists(some.tuples(some.integers(0, 3), some.integers(0, 20_000_000)), max_size=60),
    some.sampled_from([1, 7, 1000]),
)
def test_the_wheel_fires_what_a_list_would(steps, grain):
    wheel, plain, now = Wheel(5, grain), [], 5
    for what, number in steps:
        if what <= 1:
            timer = wheel.set(now + number, number)
            plain.append(timer)
        elif what == 2 and plain:
            assert wheel.cancel(plain.pop(number % len(plain))) is True
        else:
            now += number // 3
            fired = wheel.advance(now)
            due = [one for one in plain if one.at <= now - grain]
            assert set(due) <= set(fired) and all(one.at <= now for one in fired)
            assert [one.at // grain for one in fired] == sorted(
                one.at // grain for one in fired
            ) or grain > 1
            plain = [one for one in plain if one not in fired]
        assert wheel.count == len(plain) == len(list(wheel))
        assert all(one.active for one in plain)
        if plain:
            assert wheel.next_at() <= max(min(one.at for one in plain) + grain, now + grain)
        else:
            assert wheel.next_at() is None


def test_a_distant_timer_moves_down_through_the_levels_and_fires_in_time():
    wheel = Wheel(0, 1)
    times = [3, 255, 256, 70_000, 20_000_000, 5_000_000_000]
    for at in times:
        wheel.set(at, at)
    seen, now = [], 0
    while wheel.count:
        now = max(now + 1, wheel.next_at())
        seen += [(one.value, now) for one in wheel.advance(now)]
    assert seen == [(at, at) for at in times]


# Background work.


class Clock:
    def __init__(self) -> None:
        self.now = 10**9

    def __call__(self) -> int:
        return self.now


def worker(clock: Clock, log: list, name: str, slices: int, took: int, moved: int = 0):
    def make():
        for _ in range(slices):
            clock.now += took
            log.append(name)
            yield moved

    return make


def test_higher_priority_runs_first_and_ageing_prevents_starvation():
    clock, log = Clock(), []
    scheduler = Scheduler(clock)
    scheduler.add("low", 5, worker(clock, log, "low", 3, 100))
    scheduler.add("high", 0, worker(clock, log, "high", 400, 100))
    for _ in range(800):
        clock.now += 20_000
        scheduler.run()
    assert log[0] == "high" and log.count("low") == 3 and log.count("high") > 300


def test_the_cpu_budget_holds_and_queries_have_precedence():
    clock, log = Clock(), []
    scheduler = Scheduler(clock)
    scheduler.add("busy", 0, worker(clock, log, "busy", 10**6, 2_000))
    start = clock.now
    while clock.now < start + 10 * SECOND:
        clock.now += 1_000 if not scheduler.run() else 0
    assert len(log) * 2_000 <= 10 * 50_000 + 20_000
    pressed = len(log)
    for _ in range(100):
        clock.now += 10_000
        scheduler.run(pressed=True)
    assert len(log) == pressed
    clock.now += MAX_PRESSED_WAIT
    scheduler.run(pressed=True)
    assert len(log) == pressed + 1


def test_the_byte_budget_holds_and_faults_and_long_slices_are_reported():
    clock, log, reports = Clock(), [], []
    scheduler = Scheduler(clock, report=lambda task, what: reports.append((task.name, what)))
    scheduler.add("copy", 0, worker(clock, log, "copy", 100, 10, 1 << 20))
    for _ in range(20):
        clock.now += 10_000
        scheduler.run()
    assert len(log) <= 3

    def bad():
        yield 0
        raise ValueError("broken")

    task = scheduler.add("bad", 0, bad, every=SECOND)
    scheduler.add("slow", 0, worker(clock, log, "slow", 1, MAX_SLICE + 1))
    for _ in range(400):
        clock.now += 10_000
        scheduler.run()
    assert ("bad", "fault: ValueError: broken") in reports and (
        "slow",
        f"a slice of {MAX_SLICE + 1} us",
    ) in reports
    assert task.runs >= 2 and task.faults >= 2
    scheduler.cancel(task)
    runs = task.runs
    for _ in range(300):
        clock.now += 10_000
        scheduler.run()
    assert task.runs == runs and task not in scheduler.tasks


# Snapshot.

SNAPSHOT = Snapshot(
    10**15, "n0", "sum", 1.0, 2.0, 3.0, (4.0,), (MachineSnapshot("m", 1, 7, 1.0, 2.0, 3.0, 0.1),)
)


def test_a_snapshot_is_read_as_written_and_used_only_by_its_front_and_fleet(tmp_path):
    path = str(tmp_path / "s")
    assert load(path) is None
    write(path, SNAPSHOT)
    assert load(path) == SNAPSHOT and find_mismatch(SNAPSHOT, 10**15 + 5, "n0", "sum") is None
    for wrong in (
        find_mismatch(SNAPSHOT, 10**15 + MAX_AGE + 1, "n0", "sum"),
        find_mismatch(SNAPSHOT, 10**15 - 1, "n0", "sum"),
        find_mismatch(SNAPSHOT, 10**15, "n1", "sum"),
        find_mismatch(SNAPSHOT, 10**15, "n0", "other"),
    ):
        assert isinstance(wrong, UnusableFile) and wrong.why
    assert usable_machines(SNAPSHOT, 10**15, {"m": (1, 7)}) == list(SNAPSHOT.machines)
    assert (
        usable_machines(SNAPSHOT, 10**15, {"m": (2, 7)})
        == usable_machines(SNAPSHOT, 10**15 + MAX_SPEEDS_AGE + 1, {"m": (1, 7)})
        == []
    )


def test_a_truncated_or_corrupted_snapshot_is_reported_and_not_used():
    data = pack(SNAPSHOT)
    for cut in range(len(data)):
        assert isinstance(unpack(data[:cut]), UnusableFile)
    for place in range(len(data)):
        flipped = bytearray(data)
        flipped[place] ^= 0x10
        assert isinstance(unpack(bytes(flipped)), UnusableFile)
    assert "version 2" in unpack(data[:6] + b"\x02" + data[7:]).why


def test_after_a_crash_or_error_during_a_write_the_old_snapshot_is_read(tmp_path, monkeypatch):
    path = str(tmp_path / "s")
    write(path, SNAPSHOT)
    newer = SNAPSHOT._replace(at=SNAPSHOT.at + 1)
    whole = pack(newer)
    for cut in range(0, len(whole), 3):  # a crash leaves a partial temporary file
        (tmp_path / "s.part").write_bytes(whole[:cut])
        assert load(path) == SNAPSHOT
    monkeypatch.setattr(os, "replace", lambda *_: (_ for _ in ()).throw(OSError(28, "full")))
    with pytest.raises(OSError):
        write(path, newer)
    assert load(path) == SNAPSHOT


# Admin calls.


def asked(method: str, path: str, body: bytes = b"", **headers: str) -> Request:
    return Request(method, path, headers, body, True)


def test_admin_calls_are_answered_and_invalid_requests_rejected():
    seen = []
    calls = AdminCalls(
        {
            "status": lambda: {"state": "serving"},
            "drain": lambda within: seen.append(within) or "draining",
            "resume": lambda: "resuming",
            "metrics": lambda: b"x 1\n",
            "hands": list,
            "config": dict,
        }
    )
    assert calls.answer(asked("GET", "/status")).body == b'{"state":"serving"}\n'
    assert calls.answer(asked("POST", "/drain", b'{"deadline_s":1.5}')).status == 200 and seen == [
        1_500_000
    ]
    assert calls.answer(asked("POST", "/drain")).status == 200 and seen[-1] is None
    for body in (b"{", b'{"deadline_s":-1}', b'{"deadline_s":true}', b'{"deadline_s":"x"}', b"[]"):
        assert calls.answer(asked("POST", "/drain", body)).status == 400
    assert (
        calls.answer(asked("GET", "/drain")).status == 405
        and calls.answer(asked("GET", "/x")).status == 404
    )
    closed = AdminCalls({"status": dict}, "a" * 20)
    assert closed.answer(asked("GET", "/status")).status == 401
    assert closed.answer(asked("GET", "/status", authorization="Bearer " + "a" * 20)).status == 200
    assert closed.answer(asked("GET", "/status", authorization="Bearer é")).status == 401
    text = metrics_text(
        [("a_total", "counter", "h", {"p": 'x"y'}, 2.0), ("b", "gauge", "h", {}, 3)]
    ).decode()
    assert 'umbermoor_a_total{p="x\\"y"} 2.0' in text and "umbermoor_b 3.0" in text
    assert "# TYPE umbermoor_b gauge" in text


def test_reports_of_the_scheduler_are_logged_with_the_task_and_detail(caplog):
    note_background_work(Task("snapshot", 1, lambda: iter(())), "a slice of 9000 us")
    line = KeyValueFormatter().format(caplog.records[-1])
    assert 'what="background work"' in line and "task=snapshot" in line
    assert 'detail="a slice of 9000 us"' in line

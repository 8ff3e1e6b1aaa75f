"""The laboratory: its models, its audit (with fronts that break each rule), and reproducible days."""

import subprocess
import sys

import orjson
import pytest

from umbermoor.front.interface import Ending, Phase, Readiness, Verdict
from umbermoor.front.kdl_sheet import SheetError, parse_sheet
from umbermoor.lab.audit import Ledger, by_rule
from umbermoor.lab.chance import Chance
from umbermoor.lab.day import SECOND, Build, Cold, Day, Group, read_day, shipped_days
from umbermoor.lab.fleet import Fleet, VirtualFront, play
from umbermoor.lab.machine import Job, Machine, Reply
from umbermoor.lab.release import (
    ListEntry,
    MachineList,
    Release,
    RetireBuild,
    StartMachines,
    interleaved_places,
)
from umbermoor.lab.statistics import growth, mean_interval, paired, share_interval, student

BASE = b"""day "d" length-s=12 seed=3 {
  load 40
  profile "look" share=2 work-ms=100
  profile "book" share=1 repeat="once" work-ms=100
  group "a" machines=3 workers=2
  group "b" machines=3 workers=2
%s
}"""


def make_day(extra: str = "") -> Day:
    return parse_sheet(BASE % extra.encode(), "d.kdl", "day", Day)


@pytest.mark.parametrize(
    "extra, message",
    [
        ("  nope 1", "d.kdl:7: expected one of"),
        ("  settle-s -1", "d.kdl:7: expected `float` >= 0"),
        (
            '  trouble "slow" at-s=1 group="z" size=2',
            "expected a group of a, b for trouble 'slow', not 'z'",
        ),
        ('  trouble "errors" at-s=1 size=3', "d.kdl:7: expected a size above 0 and up to 1"),
        ('  trouble "fire" at-s=1', "d.kdl:7: invalid enum value 'fire' for 'kind'"),
        ('  build 2 at-s=1 fault-kind="slower" size=0.5', "expected a size above 1"),
        ('  group "a"', "expected one group 'a', not two"),
        ('  trouble "slow" at-s=99 size=2', "begin before the day ends"),
        ("  front 0", "d.kdl:7: expected `int` >= 1"),
        ("  load 5", "d.kdl:7: expected 'load' once"),
        ("  {", "expected KDL"),
    ],
)
def test_errors_in_a_day_name_the_line(extra, message):
    with pytest.raises(SheetError) as fault:
        make_day(extra)
    assert message in str(fault.value) and "\n" not in str(fault.value)


def make_machine(**options) -> Machine:
    group = Group(name="g", workers=2, queue=2, connect_us=0, cold_from=0.5, warm_s=4, **options)
    return Machine("m", group, 1, None, ("look",), 1.0, 0, Cold(multiple=2, span_s=1), Chance(1))


def make_job(number: int, work: float, due: int = 1 << 60) -> Job:
    return Job((f"q{number}", 0), 0, work, due)


def test_a_machine_runs_two_jobs_queues_two_and_rejects_the_fifth():
    machine = make_machine()
    assert [machine.offer(0, make_job(at, 1000.0)) for at in range(4)] == [None] * 4
    assert machine.offer(0, make_job(4, 1000.0)).reply is Reply.REJECTED
    assert machine.next_at() == 1000 and [done.job.key[0] for done in machine.advance(1000)] == [
        "q0",
        "q1",
    ]
    assert (
        machine.next_at() == 2000 and len(machine.advance(2000)) == 2 and machine.next_at() is None
    )


def test_a_pause_stops_progress_and_slowness_doubles_the_remaining_time():
    machine = make_machine()
    machine.offer(0, make_job(1, 1000.0))
    machine.set_faults(500, paused=True)
    assert machine.next_at() is None and machine.advance(90_000) == []
    machine.set_faults(100_000, paused=False, slow=2.0)
    assert machine.next_at() == 101_000 and machine.advance(101_000)[0].ran


def test_queued_jobs_past_their_deadline_never_run_and_a_crash_ends_all_jobs():
    machine = make_machine()
    for at, due in enumerate((10**9, 10**9, 500, 10**9)):
        machine.offer(0, make_job(at, 1000.0, due))
    assert [done.job.key[0] for done in machine.advance(5000)] == ["q0", "q1", "q3"]
    machine.offer(5000, make_job(5, 1000.0))
    cut = machine.set_faults(5500, down=True)
    assert [(done.reply, done.ran) for done in cut] == [(Reply.RESET, True)]
    assert machine.offer(5600, make_job(6, 1.0)).reply is Reply.RESET and not machine.connect(5600)


def test_a_cold_machine_collapses_under_too_much_work_and_a_warm_one_does_not():
    machine = make_machine()
    machine.born, machine.group = 1000, machine.group
    small = [
        machine.offer(1000, make_job(at, 500_000.0)) for at in range(4)
    ]  # 2 s of work, the limit: multiple 2, half the capacity of 2 workers, span of 1 s
    assert small == [None] * 4 and not machine.collapsed
    assert machine.offer(1000, make_job(9, 1.0)).reply is Reply.RESET and machine.collapsed
    warm = make_machine()
    assert not any((warm.offer(1000, make_job(at, 9e9)), warm.collapsed)[1] for at in range(9))


def test_faults_of_builds_have_the_configured_rate_and_slowness():
    def share(fault: Build, reply: Reply, held: int = 1) -> float:
        machine, hits = make_machine(), 0
        machine.build_fault, machine.build = fault, fault.number
        machine.__post_init__()
        for at in range(400):
            machine.offer(machine._at, make_job(at, 100.0))
            hits += sum(done.reply is reply for done in machine.advance(machine._at + 1000))
        return hits / 400

    assert (
        abs(share(Build(number=2, at_s=0, fault_kind="fails", size=0.3), Reply.ERROR) - 0.3) < 0.08
    )
    assert (
        abs(share(Build(number=2, at_s=0, fault_kind="wrong", size=0.2), Reply.WRONG) - 0.2) < 0.08
    )
    slow = make_machine()
    slow.build_fault = Build(number=2, at_s=0, fault_kind="slower", size=3)
    slow.__post_init__()
    slow.offer(0, make_job(1, 1000.0))
    assert slow.next_at() in (3000, 3001)  # rounded up to a whole microsecond


def test_stages_advance_on_votes_after_their_minimum_time_and_one_vote_rolls_back():
    terms = make_day().platform
    release = Release(
        terms, (Build(number=2, at_s=1), Build(number=3, at_s=60)), 10, list(range(10)), 0
    )
    assert release.advance(SECOND) == [
        StartMachines(2, (0,))
    ] and release.state.cap == pytest.approx(0.096)
    assert (
        release.vote(SECOND, "n0", 2, 0, Verdict.ON) is Ending.OK
        and release.advance(2 * SECOND) == []
    )
    assert release.advance(4 * SECOND) == [StartMachines(2, (0, 1))] and release.state.stage == 1
    assert release.vote(4 * SECOND, "n0", 2, 0, Verdict.ON) is Ending.MOOT
    assert release.vote(4 * SECOND, "n1", 2, 1, Verdict.BACK) is Ending.OK
    assert release.advance(4 * SECOND) == [RetireBuild(2)] and (
        release.state.phase,
        release.state.cap,
    ) == (
        Phase.GOING_BACK,
        0,
    )
    release.advance(20 * SECOND)
    assert (
        release.state.phase is Phase.WITHDRAWN
        and release.vote(20 * SECOND, "n0", 2, 1, Verdict.ON) is Ending.MOOT
    )


def test_a_released_build_is_retired_only_after_the_earlier_one_runs_again():
    release = Release(make_day().platform, (Build(number=2, at_s=0),), 4, list(range(4)), 0)
    at = 0
    while release.state.phase is not Phase.RELEASED or release.state.build != 2:
        release.vote(at, "n0", 2, release.state.stage, Verdict.ON)
        orders = release.advance(at)
        at += SECOND
        assert at < 60 * SECOND
    assert orders == [RetireBuild(1)]
    release.vote(at, "n0", 2, 3, Verdict.BACK)
    assert release.advance(at) == [StartMachines(1, (0, 1, 2, 3))] and release.state.cap == 1.0
    assert RetireBuild(2) in release.advance(at + 10 * SECOND)


def test_the_list_returns_changes_since_a_version_or_none_if_they_are_not_kept():
    machine_list = MachineList()
    first = machine_list.put(ListEntry("m1", 1, Readiness.READY, 0, 0))
    machine_list.put(ListEntry("m1", 1, Readiness.DRAINING, 0, 0))
    machine_list.put(ListEntry("m1", 1, Readiness.GONE, 0, 0))
    assert [entry.readiness for entry in machine_list.since(first)] == [
        Readiness.GONE
    ] and machine_list.entries == {}
    for at in range(MachineList.MAX_CHANGES + 10):
        machine_list.put(ListEntry(f"x{at}", 1, Readiness.READY, 0, 0))
    assert machine_list.since(first) is None and machine_list.since(10**9) is None
    assert interleaved_places([2, 4])[:3] == [2, 0, 3] and sorted(
        interleaved_places([2, 4])
    ) == list(range(6))


# The audit, with breaches of each rule.


def test_the_audit_finds_late_missing_duplicate_and_unexpected_answers():
    ledger = Ledger(make_day())
    ledger.taken(0, "n0", "q", 0, SECOND)
    ledger.answered(2 * SECOND, "q", "done")
    ledger.answered(2 * SECOND, "q", "done")
    ledger.taken(0, "n0", "r", 0, SECOND)
    ledger.answered(3, "x", "denied")
    assert [breach.description for breach in ledger.close(9 * SECOND)] == [
        "answered 1000 ms after its time",
        "a second answer",
        "an answer to nothing that is open",
        "never answered",
    ]


def test_the_audit_finds_queries_sent_again_or_denied_that_may_have_run():
    ledger = Ledger(make_day())
    ledger.taken(0, "n0", "q", 1, SECOND)
    ledger.sent(1, "q", "m1", 1)
    ledger.outcome("q", Ending.FULL)  # rejected, so it never ran
    ledger.sent(2, "q", "m2", 1)
    assert not ledger.breaches
    ledger.outcome("q", Ending.RESET)
    ledger.sent(3, "q", "m1", 1)
    ledger.ran(4, "q", "m1")
    ledger.ran(5, "q", "m2")
    ledger.answered(6, "q", "denied")
    ledger.sent(7, "q", "m1", 1)
    assert [(breach.rule, breach.machine) for breach in ledger.breaches] == [
        (2, "m1"),
        (2, "m2"),
        (2, ""),
        (1, "m1"),
        (2, "m1"),
    ]


def test_the_audit_finds_attempts_at_leaving_machines_and_above_the_cap_of_a_trial():
    ledger = Ledger(make_day("  platform guarded=1 free=1"))
    ledger.told_list(0, "n0", "m1", Readiness.DRAINING)
    ledger.told_stage(0, "n0", 2, 1, Phase.TRIAL, 0.5)
    for what in "pqrs":
        ledger.taken(3 * SECOND, "n0", what, 0, 9 * SECOND)
        ledger.sent(3 * SECOND, what, "m2", 2)
    ledger.sent(3 * SECOND, "s", "m1", 1)
    ledger.told_stage(3 * SECOND, "n0", 3, 0, Phase.TRIAL, 0.1)
    ledger.taken(3 * SECOND, "n0", "b", 1, 9 * SECOND)
    ledger.sent(3 * SECOND, "b", "m2", 3)
    ledger.fell(4 * SECOND, "m3")
    assert by_rule(ledger.breaches) == {3: 1, 4: 1, 5: 3}, ledger.breaches


@pytest.mark.parametrize("breach, rule", [("twice", 2), ("after", 1), ("drained", 3)])
def test_the_audit_of_a_day_finds_a_front_that_breaks_a_rule(breach, rule, monkeypatch):
    send = VirtualFront._send

    def faulty_send(front, key, attempt):
        send(front, key, attempt)
        if breach == "twice" and key[1] == 0 and front.fleet.now % 7 == 0:
            front.fleet.network.send(front, attempt.go)
        if breach == "after":
            front.fleet.at(
                front.fleet.now + 3 * SECOND, front.fleet.network.send, front, attempt.go
            )
        if breach == "drained" and (
            draining := [
                name for name, target in front.fleet.backend.machines.items() if target.draining
            ]
        ):
            front.fleet.network.send(front, attempt.go._replace(machine=draining[0]))

    monkeypatch.setattr(VirtualFront, "_send", faulty_send)
    outcome = play(make_day('  trouble "drain" at-s=3 for-s=3 group="a"\n  platform drain-s=5'))
    assert outcome["audit"]["by_rule"].get(str(rule)), outcome["audit"]


# Whole days.


def test_a_day_gives_the_same_bytes_for_any_hash_seed():
    command = [sys.executable, "-m", "umbermoor", "lab", "day", "killed-fronts", "--json", "-"]
    outputs = [
        subprocess.run(
            command, capture_output=True, env={"PYTHONHASHSEED": seed}, check=True
        ).stdout
        for seed in "17"
    ]
    assert outputs[0] == outputs[1] and orjson.loads(outputs[0])["audit"]["breaches"] == 0


@pytest.mark.parametrize("name", [name for name in shipped_days() if name != "many-fronts"])
def test_shipped_days_breach_no_rule(name):
    outcome = play(read_day(name))
    assert outcome["audit"]["breaches"] == 0, outcome["audit"]["first"]
    assert (
        outcome["service"] > 0.8
        and sum(sum(endings.values()) for endings in outcome["series"]) >= outcome["asked"]
    )


def test_more_machines_serve_more_queries_and_overload_is_denied():
    def play_with(machines: int) -> dict:
        return play(
            parse_sheet(
                BASE.replace(b"load 40", b"load 70").replace(
                    b"machines=3", b"machines=%d" % machines
                )
                % b"",
                "d",
                "day",
                Day,
            )
        )

    few, many = play_with(1), play_with(4)
    assert few["service"] < many["service"] - 0.05 and many["service"] > 0.97
    assert sum(figures["endings"].get("denied", 0) for figures in few["profiles"].values())


def test_a_killed_front_leaves_no_open_queries_and_no_breaches():
    fleet = Fleet(make_day('  front 2\n  trouble "front-crash" at-s=4 for-s=2 part=0.5')).play()
    assert (
        not fleet.ledger.breaches
        and not fleet.clients.pending
        and not any(front.open_queries for front in fleet.fronts)
    )


def test_intervals_and_growth():
    assert student(0.95, 4) == pytest.approx(2.776, abs=1e-3) and student(0.95, 1) == pytest.approx(
        12.706, abs=0.02
    )
    assert paired([1, 2, 3], [2, 3, 4]).low == pytest.approx(1) and mean_interval(
        [5]
    ).high == float("inf")
    assert share_interval(0, 10).high == pytest.approx(0.2775, abs=1e-3)
    assert growth([1, 2, 4], [3, 12, 48]) == pytest.approx(2)

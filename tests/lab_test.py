"""The laboratory: its models, its audit (with each rule broken on purpose), and that a day plays
the same again."""

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


def day(more: str = "") -> Day:
    return parse_sheet(BASE % more.encode(), "d.kdl", "day", Day)


@pytest.mark.parametrize(
    "more, said",
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
def test_a_day_that_is_wrong_is_named_by_line(more, said):
    with pytest.raises(SheetError) as fault:
        day(more)
    assert said in str(fault.value) and "\n" not in str(fault.value)


def machine(**more) -> Machine:
    group = Group(name="g", workers=2, queue=2, connect_us=0, cold_from=0.5, warm_s=4, **more)
    return Machine("m", group, 1, None, ("look",), 1.0, 0, Cold(multiple=2, span_s=1), Chance(1))


def job(number: int, work: float, due: int = 1 << 60) -> Job:
    return Job((f"q{number}", 0), 0, work, due)


def test_a_machine_works_two_at_a_time_keeps_two_waiting_and_turns_the_fifth_away():
    one = machine()
    assert [one.offer(0, job(at, 1000.0)) for at in range(4)] == [None] * 4
    assert one.offer(0, job(4, 1000.0)).reply is Reply.REJECTED
    assert one.next_at() == 1000 and [done.job.key[0] for done in one.advance(1000)] == ["q0", "q1"]
    assert one.next_at() == 2000 and len(one.advance(2000)) == 2 and one.next_at() is None


def test_a_pause_moves_no_work_and_a_slowness_halves_what_is_left():
    one = machine()
    one.offer(0, job(1, 1000.0))
    one.change(500, paused=True)
    assert one.next_at() is None and one.advance(90_000) == []
    one.change(100_000, paused=False, slow=2.0)
    assert one.next_at() == 101_000 and one.advance(101_000)[0].ran


def test_what_waits_past_its_time_never_runs_and_a_crash_cuts_off_the_rest():
    one = machine()
    for at, due in enumerate((10**9, 10**9, 500, 10**9)):
        one.offer(0, job(at, 1000.0, due))
    assert [done.job.key[0] for done in one.advance(5000)] == ["q0", "q1", "q3"]
    one.offer(5000, job(5, 1000.0))
    cut = one.change(5500, down=True)
    assert [(done.reply, done.ran) for done in cut] == [(Reply.RESET, True)]
    assert one.offer(5600, job(6, 1.0)).reply is Reply.RESET and not one.connect(5600)


def test_a_cold_machine_falls_when_pushed_and_a_warm_one_does_not():
    one = machine()
    one.born, one.group = 1000, one.group
    small = [
        one.offer(1000, job(at, 500_000.0)) for at in range(4)
    ]  # 2 s of work: multiple 2, half of 2 workers, 1 s
    assert small == [None] * 4 and not one.collapsed
    assert one.offer(1000, job(9, 1.0)).reply is Reply.RESET and one.collapsed
    warm = machine()
    assert not any((warm.offer(1000, job(at, 9e9)), warm.collapsed)[1] for at in range(9))


def test_builds_fail_as_they_are_said_to():
    def share(fault: Build, reply: Reply, held: int = 1) -> float:
        one, hits = machine(), 0
        one.build_fault, one.build = fault, fault.number
        one.__post_init__()
        for at in range(400):
            one.offer(one._at, job(at, 100.0))
            hits += sum(done.reply is reply for done in one.advance(one._at + 1000))
        return hits / 400

    assert (
        abs(share(Build(number=2, at_s=0, fault_kind="fails", size=0.3), Reply.ERROR) - 0.3) < 0.08
    )
    assert (
        abs(share(Build(number=2, at_s=0, fault_kind="wrong", size=0.2), Reply.WRONG) - 0.2) < 0.08
    )
    slow = machine()
    slow.build_fault = Build(number=2, at_s=0, fault_kind="slower", size=3)
    slow.__post_init__()
    slow.offer(0, job(1, 1000.0))
    assert slow.next_at() in (3000, 3001)  # the next whole microsecond


def test_stages_move_on_votes_after_their_time_and_one_vote_back_ends_them():
    terms = day().platform
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


def test_a_released_build_may_be_sent_back_once_the_earlier_one_runs_again():
    release = Release(day().platform, (Build(number=2, at_s=0),), 4, list(range(4)), 0)
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


def test_the_list_tells_what_changed_since_a_version_or_that_it_cannot():
    machine_list = MachineList()
    first = machine_list.put(ListEntry("m1", 1, Readiness.READY, 0, 0))
    machine_list.put(ListEntry("m1", 1, Readiness.DRAINING, 0, 0))
    machine_list.put(ListEntry("m1", 1, Readiness.GONE, 0, 0))
    assert [one.readiness for one in machine_list.since(first)] == [
        Readiness.GONE
    ] and machine_list.entries == {}
    for at in range(MachineList.MAX_CHANGES + 10):
        machine_list.put(ListEntry(f"x{at}", 1, Readiness.READY, 0, 0))
    assert machine_list.since(first) is None and machine_list.since(10**9) is None
    assert interleaved_places([2, 4])[:3] == [2, 0, 3] and sorted(
        interleaved_places([2, 4])
    ) == list(range(6))


# The audit, by a front that breaks each rule on purpose.


def test_the_audit_names_answers_that_are_late_missing_or_too_many():
    ledger = Ledger(day())
    ledger.taken(0, "n0", "q", 0, SECOND)
    ledger.answered(2 * SECOND, "q", "done")
    ledger.answered(2 * SECOND, "q", "done")
    ledger.taken(0, "n0", "r", 0, SECOND)
    ledger.answered(3, "x", "denied")
    assert [one.what for one in ledger.close(9 * SECOND)] == [
        "answered 1000 ms after its time",
        "a second answer",
        "an answer to nothing that is open",
        "never answered",
    ]


def test_the_audit_names_what_is_sent_or_denied_though_it_may_have_run():
    ledger = Ledger(day())
    ledger.taken(0, "n0", "q", 1, SECOND)
    ledger.sent(1, "q", "m1", 1)
    ledger.outcome("q", Ending.FULL)  # it never ran
    ledger.sent(2, "q", "m2", 1)
    assert not ledger.breaches
    ledger.outcome("q", Ending.RESET)
    ledger.sent(3, "q", "m1", 1)
    ledger.ran(4, "q", "m1")
    ledger.ran(5, "q", "m2")
    ledger.answered(6, "q", "denied")
    ledger.sent(7, "q", "m1", 1)
    assert [(one.rule, one.machine) for one in ledger.breaches] == [
        (2, "m1"),
        (2, "m2"),
        (2, ""),
        (1, "m1"),
        (2, "m1"),
    ]


def test_the_audit_names_what_goes_to_machines_that_leave_and_too_much_trial():
    ledger = Ledger(day("  platform guarded=1 free=1"))
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


@pytest.mark.parametrize("broken, rule", [("twice", 2), ("after", 1), ("drained", 3)])
def test_a_front_that_breaks_a_rule_in_a_whole_day_is_seen(broken, rule, monkeypatch):
    send = VirtualFront._send

    def evil(front, key, out):
        send(front, key, out)
        if broken == "twice" and key[1] == 0 and front.fleet.now % 7 == 0:
            front.fleet.network.send(front, out.go)
        if broken == "after":
            front.fleet.at(front.fleet.now + 3 * SECOND, front.fleet.network.send, front, out.go)
        if broken == "drained" and (
            gone := [name for name, one in front.fleet.backend.machines.items() if one.draining]
        ):
            front.fleet.network.send(front, out.go._replace(machine=gone[0]))

    monkeypatch.setattr(VirtualFront, "_send", evil)
    found = play(day('  trouble "drain" at-s=3 for-s=3 group="a"\n  platform drain-s=5'))
    assert found["audit"]["by_rule"].get(str(rule)), found["audit"]


# Whole days.


def test_the_same_day_plays_the_same_byte_for_byte_whatever_hashes_are():
    words = [sys.executable, "-m", "umbermoor", "lab", "day", "killed-fronts", "--json", "-"]
    plays = [
        subprocess.run(words, capture_output=True, env={"PYTHONHASHSEED": seed}, check=True).stdout
        for seed in "17"
    ]
    assert plays[0] == plays[1] and orjson.loads(plays[0])["audit"]["breaches"] == 0


@pytest.mark.parametrize("name", [one for one in shipped_days() if one != "many-fronts"])
def test_shipped_days_keep_every_rule(name):
    outcome = play(read_day(name))
    assert outcome["audit"]["breaches"] == 0, outcome["audit"]["first"]
    assert (
        outcome["service"] > 0.8
        and sum(sum(one.values()) for one in outcome["series"]) >= outcome["asked"]
    )


def test_more_machines_serve_more_and_an_overload_is_denied_early():
    def served(machines: int) -> dict:
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

    few, many = served(1), served(4)
    assert few["service"] < many["service"] - 0.05 and many["service"] > 0.97
    assert sum(one["endings"].get("denied", 0) for one in few["profiles"].values())


def test_a_killed_front_loses_what_it_held_and_nothing_else():
    fleet = Fleet(day('  front 2\n  trouble "front-crash" at-s=4 for-s=2 part=0.5')).play()
    assert (
        not fleet.ledger.breaches
        and not fleet.clients.pending
        and not any(front.open_queries for front in fleet.fronts)
    )


def test_intervals():
    assert student(0.95, 4) == pytest.approx(2.776, abs=1e-3) and student(0.95, 1) == pytest.approx(
        12.706, abs=0.02
    )
    assert paired([1, 2, 3], [2, 3, 4]).low == pytest.approx(1) and mean_interval(
        [5]
    ).high == float("inf")
    assert share_interval(0, 10).high == pytest.approx(0.2775, abs=1e-3)
    assert growth([1, 2, 4], [3, 12, 48]) == pytest.approx(2)

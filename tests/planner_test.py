"""Tests of the capacity planner.

Formulas are compared with known values, the fit with a known demand and the searches with known
thresholds.
"""

import orjson
import pytest
from hypothesis import given, settings, strategies

from umbermoor.front.capture.files import read_capture
from umbermoor.front.capture.frames import Row, SeenMachine
from umbermoor.front.kdl_sheet import SheetError, parse_sheet
from umbermoor.lab.day import Day, micros, read_day
from umbermoor.lab.demand import AttemptResult
from umbermoor.lab.fleet import capture_day
from umbermoor.planner import command, questions
from umbermoor.planner.check import zero_crossing
from umbermoor.planner.fit import fit
from umbermoor.planner.limits import goal_bracket, limits, saturation
from umbermoor.planner.plan import Planner
from umbermoor.planner.players import RunPool
from umbermoor.planner.questions import (
    RunResult,
    Scenario,
    arrivals_of,
    burst_drains,
    day_for,
    meets_goals,
    replay_arrivals,
    scale_groups,
    share_by_stage,
)
from umbermoor.planner.queueing import (
    erlang_c,
    highest_rate,
    late_share,
    lognormal_quantile,
    mean_wait,
)
from umbermoor.planner.search import fewest_machines, fit_nonincreasing, gather, highest_load
from umbermoor.planner.sheets import Fleet

FLEET = b"""fleet "f" goal=0.97 {
  growth 1 2
  front 1 cpu-us=500
  group "a" machines=2 workers=2 warm-s=2
  group "b" machines=2 workers=2 warm-s=2
  build 2 at-s=0 fault-kind="fails" size=0.4
}"""
DAY = b"""day "d" length-s=40 seed=9 {
  load 24
  profile "look" share=2 work-ms=80 cv=0.5
  profile "book" share=1 repeat="once" work-ms=120 cv=0.5
  group "a" machines=2 workers=2
  group "b" machines=2 workers=2
  %s
}"""


def fleet(text: bytes = FLEET) -> Fleet:
    return parse_sheet(text, "f.kdl", "fleet", Fleet)


@pytest.fixture(scope="module")
def captured(tmp_path_factory):
    path = str(tmp_path_factory.mktemp("c") / "calm.cap")
    capture_day(parse_sheet(DAY % b"", "d", "day", Day), path)
    return path


def demand_of(path: str, sheet: Fleet):
    capture = read_capture(path)
    return fit(
        capture.header.profiles, capture.rows, sheet.front.count, sheet.workers, micros(2)
    ), arrivals_of(capture.rows, True)


# Formulas.


def test_erlang_and_mean_waits_match_published_values():
    assert erlang_c(1, 0.5) == pytest.approx(0.5) and erlang_c(2, 1.0) == pytest.approx(1 / 3)
    assert erlang_c(10, 8.0) == pytest.approx(0.4092, abs=1e-3) and erlang_c(3, 3.0) == 1.0
    assert mean_wait(0.5, 1.0, 1, 1.0) == pytest.approx(1.0)  # M/M/1
    assert mean_wait(0.5, 1.0, 1, 0.0) == pytest.approx(0.5)  # M/D/1
    assert lognormal_quantile(0.5, 10, 0) == 10


@given(
    strategies.floats(0.1, 5),
    strategies.integers(1, 60),
    strategies.floats(0, 2),
    strategies.floats(0.5, 0.9),
)
@settings(max_examples=40, deadline=None)
def test_late_share_grows_with_load_and_falls_with_workers(work, workers, cv, part):
    rate = part * workers / work
    aim = 8 * work
    assert (
        late_share(rate, work, workers, cv, aim)
        <= late_share(rate * 1.1, work, workers, cv, aim) + 1e-9
    )
    assert (
        late_share(rate, work, workers + 1, cv, aim)
        <= late_share(rate, work, workers, cv, aim) + 1e-9
    )
    assert highest_rate(work, workers, cv, aim, 0.05) <= workers / work


# Estimating the demand.


def test_fit_recovers_the_demand_of_the_capture(captured):
    demand, _ = demand_of(captured, fleet())
    look, book = demand.profiles
    assert look.work_ms.mid == pytest.approx(80, rel=0.12) and book.work_ms.mid == pytest.approx(
        120, rel=0.15
    )
    assert (
        look.work_ms.low < look.work_ms.mid < look.work_ms.high and abs(look.work_cv - 0.5) < 0.15
    )
    assert demand.rate.low < 24 < demand.rate.high * 1.05 and not demand.unhealthy


def test_denied_queries_and_retries_do_not_inflate_the_demand(tmp_path):
    path = str(tmp_path / "c")
    overload = (
        DAY.replace(b"load 24", b"load 110").replace(b"length-s=40", b"length-s=20")
        % b"clients retries=3"
    )
    outcome = capture_day(parse_sheet(overload, "d", "day", Day), path)
    demand, _ = demand_of(path, fleet())
    assert outcome["tries_a_query"] > 1.2 and demand.retry_share.mid > 0.1
    assert demand.rate.mid == pytest.approx(110, rel=0.15)
    assert any("denied while it was taken" in assumption for assumption in demand.assumptions)


def row(came: int, served: int = 50_000, name: str = "m1", **changes) -> Row:
    default = Row(
        came,
        0,
        False,
        None,
        "done",
        1,
        served + 500,
        4_000_000,
        SeenMachine(name, 1, 0),
        0,
        100,
        served,
    )
    return default._replace(**changes)


PROFILES = [{"name": "look", "aim_ms": 1000, "patience_ms": 4000, "repeat": "repeatable"}]


def test_unhealthy_and_cold_machines_are_excluded_from_the_work():
    rows = [row(at * 50_000, 50_000 + at % 7 * 1000, f"m{at % 5}") for at in range(1000)]
    rows += [row(at * 50_000 + 7, 400_000, "sick") for at in range(300)]
    rows += [row(at * 50_000 + 9, 0, "dead", ending="abandoned") for at in range(300)]
    rows += [
        row(at * 50_000 + 8, 250_000, machine=SeenMachine("new", 1, at * 50_000 - 499_999))
        for at in range(300)
    ]
    rows.sort(key=lambda captured_row: captured_row.came)
    demand = fit(PROFILES, rows, 1, 8, 2_000_000)
    assert demand.unhealthy == ("dead", "sick") and demand.cold_rows == 300
    assert demand.profiles[0].work_ms.mid == pytest.approx(52, rel=0.02)
    assert any("were sick" in assumption for assumption in demand.assumptions)


def test_short_capture_is_reported_and_has_wide_intervals():
    demand = fit(PROFILES, [row(at * 100_000) for at in range(30)], 1, 8, 0)
    assert any("short" in assumption for assumption in demand.assumptions)
    work = demand.profiles[0].work_ms
    assert work.high / work.low > 2


def test_capture_without_answers_requires_the_work_in_the_fleet_file():
    rows = [
        row(at * 100_000, served=0, ending="denied", machine=None, hand_offs=0) for at in range(300)
    ]
    with pytest.raises(ValueError, match="give profile 'look' a work-ms"):
        fit(PROFILES, rows, 1, 8, 0)
    demand = fit(PROFILES, rows, 1, 8, 0, given_work={"look": 70.0})
    assert demand.profiles[0].work_ms.mid == 70 and any(
        "as the fleet's sheet says" in assumption for assumption in demand.assumptions
    )


# Limits.


def test_limits_follow_the_size_of_their_resource(captured):
    demand, _ = demand_of(captured, fleet())
    rows = {limit.name: limit for limit in limits(demand, fleet())}
    assert rows["machine work"].reached.mid == pytest.approx(saturation(demand, fleet()))
    for change, name in (
        (b"cpu-us=500", "front CPU"),
        (b"machines=2 workers=2 warm-s=2\n  group", "machine work"),
    ):
        increased = {b"cpu-us=500": b"cpu-us=250"}.get(
            change, b"machines=4 workers=2 warm-s=2\n  group"
        )
        moved = {
            limit.name: limit for limit in limits(demand, fleet(FLEET.replace(change, increased)))
        }
        assert moved[name].reached.mid > rows[name].reached.mid
    with_few_descriptors = {
        limit.name: limit
        for limit in limits(
            demand, fleet(FLEET.replace(b"cpu-us=500", b"cpu-us=500 descriptors=41"))
        )
    }
    assert (
        with_few_descriptors["front descriptors"].reached.mid
        < rows["front descriptors"].reached.mid
    )
    low, high = goal_bracket(demand, fleet())
    assert 0 < low < high < saturation(demand, fleet())


def test_goal_that_no_number_of_machines_meets_is_reported(captured):
    sheet = fleet(FLEET.replace(b"goal=0.97", b"goal=0.99999"))
    demand, _ = demand_of(captured, sheet)
    demand = demand._replace(
        profiles=tuple(profile._replace(work_cv=2.0, aim_ms=300.0) for profile in demand.profiles)
    )
    planner = Planner(demand, sheet)
    assert (
        limits(demand, sheet)[0].reached.mid == 0
        and "no number of machines" in limits(demand, sheet)[0].why
    )
    assert not any(name.startswith(("load", "machines")) for name in planner.searches())


# Searches.


def holds_up_to(threshold: float):
    return lambda loads: {load: load <= threshold for load in loads}


@given(strategies.floats(1, 900), strategies.floats(1, 900), strategies.floats(1.0, 3))
@settings(max_examples=60, deadline=None)
def test_highest_load_is_found_from_any_bracket(threshold, low, factor):
    found = gather(
        {
            "x": highest_load(
                low,
                low * factor,
                0.03,
                lambda load: [load],
                lambda run_results: all(run_results.values()),
                0.5,
                1000.0,
            )
        },
        holds_up_to(threshold),
    )["x"]
    assert found.low <= threshold * 1.001 and (found.high is None or found.high > threshold * 0.999)
    if found.high is not None:
        assert found.high / found.low <= 1.04 and found.runs < found.scan_runs


@given(strategies.integers(1, 300), strategies.integers(1, 300), strategies.integers(1, 300))
@settings(max_examples=60, deadline=None)
def test_fewest_machines_are_found_from_any_bracket(threshold, low, high):
    found = gather(
        {
            "x": fewest_machines(
                low, high, lambda count: [count], lambda run_results: all(run_results.values()), 400
            )
        },
        lambda scenarios: {count: count >= threshold for count in scenarios},
    )["x"]
    assert found.high == threshold


def test_searches_end_without_a_threshold():
    found = gather(
        {
            "x": fewest_machines(1, 2, lambda count: [count], lambda run_results: False, 40),
            "y": highest_load(
                5, 9, 0.03, lambda load: [load], lambda run_results: False, 1.0, 20.0
            ),
            "z": highest_load(5, 9, 0.03, lambda load: [load], lambda run_results: True, 1.0, 20.0),
        },
        lambda scenarios: dict.fromkeys(scenarios),
    )
    assert found["x"].high is None and found["y"].low is None and found["z"].high is None


@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 100), strategies.floats(0, 1), strategies.floats(0.1, 5)
        ),
        min_size=1,
        max_size=30,
    )
)
def test_fitted_curve_never_rises(points):
    values = [value for _, value in fit_nonincreasing(points)]
    assert all(a >= b - 1e-12 for a, b in zip(values, values[1:]))


def test_zero_crossing_is_interpolated():
    assert (
        zero_crossing([(1, 0.2), (2, 0.1), (3, -0.1)]) == pytest.approx(2.5)
        and zero_crossing([(1, 0.2), (2, 0.1)]) is None
    )


# Scenarios.


@given(
    strategies.lists(strategies.integers(1, 20), min_size=1, max_size=5), strategies.integers(1, 60)
)
def test_groups_are_scaled_to_the_total(sizes, machines):
    from umbermoor.lab.day import Group

    groups = tuple(Group(name=str(index), machines=size) for index, size in enumerate(sizes))
    scaled = scale_groups(groups, machines)
    assert sum(group.machines for group in scaled) == machines
    assert scale_groups(groups, sum(sizes)) == groups


def test_replay_scales_the_captured_arrivals_to_the_rate(captured):
    sheet = fleet()
    demand, arrivals = demand_of(captured, sheet)
    day = day_for(Scenario("steady", 48.0, 4, 1), demand, sheet)
    wishes = list(replay_arrivals(day, demand, arrivals))
    assert len(wishes) / day.length_s == pytest.approx(48, rel=0.25)
    assert [wish.at for wish in wishes] == sorted(wish.at for wish in wishes)
    assert (
        replay_arrivals(day_for(Scenario("burst", 48.0, 4, 1), demand, sheet), demand, arrivals)
        is None
    )


def run_result(in_time: float, tail: float = 1.0) -> RunResult:
    return RunResult(
        (in_time,),
        (100,),
        in_time,
        1.0,
        0,
        ((0, 1, 3, "released"), (4.0, 2, 0, "trial")),
        tail,
        ((10, 10),) * 9,
    )


def test_run_results_are_evaluated():
    assert meets_goals([run_result(0.96), run_result(0.99)], [0.97]) and not meets_goals(
        [run_result(0.9)], [0.97]
    )
    assert burst_drains([run_result(1, 0.99)]) and not burst_drains(
        [run_result(1, 0.99), run_result(1, 0.3)]
    )
    assert share_by_stage(run_result(1)) == [("build 2 stage 0 trial", 1.0)]
    assert AttemptResult.DONE.value == "done"


# The command.


def test_plan_is_complete_deterministic_and_resumable(captured, tmp_path, capsys, monkeypatch):
    monkeypatch.setattr(questions, "MAX_LENGTH_S", 12.0)
    path = tmp_path / "fleet.kdl"
    path.write_bytes(FLEET)
    outputs = []
    for name in ("one", "two"):
        arguments = [
            "plan",
            captured,
            str(path),
            "--json",
            str(tmp_path / name),
            "--seeds",
            "2",
            "--quiet",
            "--keep",
            str(tmp_path / "kept"),
            "--html",
            str(tmp_path / "page.html"),
        ]
        assert command.main(arguments) == 0
        outputs.append((tmp_path / name).read_bytes())
        if name == "one":  # drop half of the stored results and truncate the last line
            kept = (tmp_path / "kept").read_bytes().splitlines(True)
            (tmp_path / "kept").write_bytes(
                b"".join(kept[: len(kept) // 2]) + kept[-1][:20] + b"\n"
            )
    assert outputs[0] == outputs[1]
    plan = orjson.loads(outputs[0])
    assert (
        plan["first"]
        and plan["machines"]["2"]["machines"] >= plan["machines"]["1"]["machines"] >= 1
    )
    assert plan["goal_breaks_at"]["load"][0] > plan["loss"]["a"]["goal_breaks_at"]["load"][0]
    assert (
        plan["plays"]["searches"] < plan["plays"]["plain_scan"] and plan["now"]["rules_broken"] == 0
    )
    assert (
        "<svg" in (tmp_path / "page.html").read_text()
        and "machines hold the goal" in capsys.readouterr().out
    )


def test_interrupted_plan_is_partial(captured, monkeypatch):
    monkeypatch.setattr(questions, "MAX_LENGTH_S", 10.0)
    sheet = fleet()
    demand, arrivals = demand_of(captured, sheet)
    planner, results = Planner(demand, sheet, 1), {}
    pool = RunPool(demand, sheet, arrivals, workers=2)
    rounds = []

    def run_once(scenarios):
        if rounds:
            raise KeyboardInterrupt
        rounds.append(1)
        return pool.run(scenarios)

    with pytest.raises(KeyboardInterrupt):
        planner.run(run_once, results)
    pool.close()
    plan = planner.report(results, True)
    assert plan["partial"] and plan["now"] and plan["first"]


@pytest.mark.parametrize(
    "text, message",
    [
        (b'fleet "f" {\n}', "missing required field `group`"),
        (b'fleet "f" {\n group "a" machines=0\n}', "f.kdl:2: expected"),
        (b'fleet "f" goal=2 {\n group "a"\n}', "expected `float` < 1"),
        (b'fleet "f" {\n group "a"\n group "a"\n}', "one group"),
    ],
)
def test_invalid_fleet_file_is_rejected_with_its_fault(text, message):
    with pytest.raises(SheetError, match=message.replace("(", r"\(")):
        fleet(text)


def test_requests_that_cannot_be_carried_out_fail_with_a_message(captured, tmp_path, capsys):
    path = tmp_path / "fleet.kdl"
    path.write_bytes(FLEET.replace(b"growth 1 2", b'growth 1 2\n  profile "other"'))
    assert command.main(["plan", captured, str(path)]) == 2
    assert "profile 'other' is not in the capture" in capsys.readouterr().err
    path.write_bytes(FLEET)
    assert command.main(["plan", captured, str(path), "--goal", "120"]) == 2
    assert command.main(["plan", str(tmp_path / "none"), str(path)]) == 2
    assert read_day("calm").name == "calm"

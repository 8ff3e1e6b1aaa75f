"""Compares the planner's predictions with measurements on loopback, for fleets of different kinds.

Usage: python -m benchmarks.planner_fleets [--seconds N] [--json FILE] [--only LIST] [--burst]

Each fleet's capture is recorded by running its day in virtual time. The predictions made from it
are measured with stand-in machines and real fronts. With --burst, checks whether a burst drains
below and above the predicted load. The first four fleets were used while the planner was developed;
the others were not looked at before the final run.
"""

import sys
import tempfile

from benchmarks.common import show
from umbermoor.front.capture.files import read_capture
from umbermoor.front.kdl_sheet import parse_sheet
from umbermoor.lab.day import Day, micros
from umbermoor.lab.fleet import capture_day
from umbermoor.lab.sockets.runner import play_on_sockets
from umbermoor.planner.check import measure
from umbermoor.planner.fit import fit
from umbermoor.planner.plan import Planner
from umbermoor.planner.players import RunPool
from umbermoor.planner.questions import Scenario, arrivals_of, burst_drains, day_for, read_result
from umbermoor.planner.search import gather
from umbermoor.planner.sheets import Fleet

DAY = """day "%s" length-s=60 seed=5 {
  load %s
  front 1
%s
%s
}"""
FLEET = """fleet "%s" goal=%s {
  growth 1 1.5
  front 1 cpu-us=1400 descriptors=1024
%s
}"""
TWO_PROFILES = """  profile "lookup" share=0.7 work-ms=60 cv=0.6
  profile "booking" share=0.3 repeat="once" aim-ms=1200 work-ms=80 cv=0.6"""
FLEETS = {  # name: load, goal, profiles, groups
    "one group": ("40", 0.98, TWO_PROFILES, '  group "a" machines=6 workers=2 warm-s=2'),
    "three groups": (
        "60",
        0.98,
        TWO_PROFILES,
        "\n".join(f'  group "{name}" machines=3 workers=2 warm-s=2' for name in "abc"),
    ),
    "heavy tail": (
        "30",
        0.95,
        TWO_PROFILES.replace("cv=0.6", "cv=1.5"),
        '  group "a" machines=4 workers=3 warm-s=2\n  group "b" machines=4 workers=3 warm-s=2',
    ),
    "tight booking": (
        "40",
        0.97,
        TWO_PROFILES.replace("aim-ms=1200 work-ms=80", "aim-ms=300 work-ms=80"),
        '  group "a" machines=4 workers=2 warm-s=2\n  group "b" machines=4 workers=2 warm-s=2',
    ),
    # Not used while the planner was developed.
    "lone workers": (
        "40",
        0.97,
        TWO_PROFILES,
        '  group "a" machines=8 workers=1 warm-s=2\n  group "b" machines=8 workers=1 warm-s=2',
    ),
    "one heavy among light": (
        "40",
        0.97,
        TWO_PROFILES,
        '  group "heavy" machines=1 workers=8 warm-s=2\n'
        '  group "light" machines=6 workers=1 warm-s=2',
    ),
    "two speeds": (
        "40",
        0.97,
        TWO_PROFILES,
        '  group "new" machines=4 workers=2 speed=1.5 warm-s=2\n'
        '  group "old" machines=4 workers=2 speed=0.75 warm-s=2',
    ),
    "wave": (
        '40 shape="wave" swing=0.4',
        0.97,
        TWO_PROFILES,
        '  group "a" machines=5 workers=2 warm-s=2\n  group "b" machines=5 workers=2 warm-s=2',
    ),
}


def fit_demand(name: str):
    load, goal, profiles, groups = FLEETS[name]
    fleet = parse_sheet((FLEET % (name, goal, groups)).encode(), name, "fleet", Fleet)
    with tempfile.NamedTemporaryFile() as file:
        capture_day(
            parse_sheet((DAY % (name, load, profiles, groups)).encode(), name, "day", Day),
            file.name,
        )
        capture = read_capture(file.name)
    return (
        fit(capture.header.profiles, capture.rows, 1, fleet.workers, micros(2)),
        arrivals_of(capture.rows, True),
        fleet,
    )


def burst(name: str) -> dict:
    demand, arrivals, fleet = fit_demand(name)
    planner = Planner(demand, fleet)
    players = RunPool(demand, fleet, arrivals)
    predicted = gather({"burst": planner.searches()["burst"]}, players.run)["burst"]
    players.close()
    row = {"fleet": name, "predicted": predicted.mid}
    for factor in (0.85, 1.15):
        day = day_for(Scenario("burst", predicted.mid * factor, fleet.machines, 1), demand, fleet)
        outcome = play_on_sockets(day)
        row[f"at {factor:g} it"] = "drains" if burst_drains([read_result(outcome)]) else "does not"
    return row


def main(arguments: list[str]) -> int:
    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    names = option("--only", ",".join(FLEETS)).split(",")
    if "--burst" in arguments:
        show(
            "A burst of three times the load, on loopback",
            [burst(name) for name in names],
            option("--json", "") or None,
        )
        return 0
    rows = []
    for name in names:
        demand, arrivals, fleet = fit_demand(name)
        for row in measure(
            demand,
            fleet,
            arrivals,
            float(option("--seconds", "12")),
            lambda text: print(text, file=sys.stderr),
        ):
            rows.append({"fleet": name, **row._asdict()})
        show(
            "Predicted and measured on loopback, with stand-ins", rows, option("--json", "") or None
        )
    return 0 if all(row["within"] for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""The planner's figures against loopback, on fleets that differ in kind. The first four were looked at while it was
made.

Usage: python -m benchmarks.planner_fleets [--seconds N] [--json FILE] [--only LIST] [--burst]

Each fleet's capture is made by playing its day in virtual time; what is predicted from it is measured with stand-ins
and real
fronts. With --burst: whether a burst drains below and above the predicted load.
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
TWO = """  profile "lookup" share=0.7 work-ms=60 cv=0.6
  profile "booking" share=0.3 repeat="once" aim-ms=1200 work-ms=80 cv=0.6"""
FLEETS = {  # name: load, goal, profiles, groups
    "one group": ("40", 0.98, TWO, '  group "a" machines=6 workers=2 warm-s=2'),
    "three groups": (
        "60",
        0.98,
        TWO,
        "\n".join(f'  group "{name}" machines=3 workers=2 warm-s=2' for name in "abc"),
    ),
    "heavy tail": (
        "30",
        0.95,
        TWO.replace("cv=0.6", "cv=1.5"),
        '  group "a" machines=4 workers=3 warm-s=2\n  group "b" machines=4 workers=3 warm-s=2',
    ),
    "tight booking": (
        "40",
        0.97,
        TWO.replace("aim-ms=1200 work-ms=80", "aim-ms=300 work-ms=80"),
        '  group "a" machines=4 workers=2 warm-s=2\n  group "b" machines=4 workers=2 warm-s=2',
    ),
    # not looked at before the final run
    "lone workers": (
        "40",
        0.97,
        TWO,
        '  group "a" machines=8 workers=1 warm-s=2\n  group "b" machines=8 workers=1 warm-s=2',
    ),
    "one heavy among light": (
        "40",
        0.97,
        TWO,
        '  group "heavy" machines=1 workers=8 warm-s=2\n'
        '  group "light" machines=6 workers=1 warm-s=2',
    ),
    "two speeds": (
        "40",
        0.97,
        TWO,
        '  group "new" machines=4 workers=2 speed=1.5 warm-s=2\n'
        '  group "old" machines=4 workers=2 speed=0.75 warm-s=2',
    ),
    "wave": (
        '40 shape="wave" swing=0.4',
        0.97,
        TWO,
        '  group "a" machines=5 workers=2 warm-s=2\n  group "b" machines=5 workers=2 warm-s=2',
    ),
}


def demanded(name: str):
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
    demand, arrivals, fleet = demanded(name)
    planner = Planner(demand, fleet)
    players = RunPool(demand, fleet, arrivals)
    edge = gather({"burst": planner.searches()["burst"]}, players.run)["burst"]
    players.close()
    row = {"fleet": name, "predicted": edge.mid}
    for part in (0.85, 1.15):
        day = day_for(Scenario("burst", edge.mid * part, fleet.machines, 1), demand, fleet)
        outcome = play_on_sockets(day)
        row[f"at {part:g} it"] = "drains" if burst_drains([read_result(outcome)]) else "does not"
    return row


def main(words: list[str]) -> int:
    def given(word: str, otherwise: str) -> str:
        return words[words.index(word) + 1] if word in words else otherwise

    names = given("--only", ",".join(FLEETS)).split(",")
    if "--burst" in words:
        show(
            "A burst of three times the load, on loopback",
            [burst(name) for name in names],
            given("--json", "") or None,
        )
        return 0
    rows = []
    for name in names:
        demand, arrivals, fleet = demanded(name)
        for one in measure(
            demand,
            fleet,
            arrivals,
            float(given("--seconds", "12")),
            lambda text: print(text, file=sys.stderr),
        ):
            rows.append({"fleet": name, **one._asdict()})
        show(
            "Predicted and measured on loopback, with stand-ins", rows, given("--json", "") or None
        )
    return 0 if all(row["within"] for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

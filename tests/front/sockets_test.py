"""Real fronts on loopback under a simulated day: killed and restarted, with a capture, and drained.

The audit of the day must find no breach of the rules.
"""

import orjson

from umbermoor.front.capture.files import read_capture
from umbermoor.front.kdl_sheet import parse_sheet
from umbermoor.front.lifecycle.command import ask
from umbermoor.front.lifecycle.snapshot import load
from umbermoor.lab.day import Day
from umbermoor.lab.sockets.runner import play_on_sockets

DAY = b"""day "loopback" length-s=7 seed=4 settle-s=1 {
  load 30
  front 2
  profile "look" share=2 work-ms=40 cv=0.5
  profile "book" share=1 repeat="once" work-ms=40 cv=0.5
  group "a" machines=2 workers=2
  group "b" machines=2 workers=2
  build 2 at-s=1 fault-kind="fails" size=0.4
  trouble "crash" at-s=2 for-s=2 group="b" part=0.5
  trouble "resets" at-s=3 for-s=2 group="a" part=0.5 size=0.3
  trouble "front-crash" at-s=4 for-s=0.5 part=0.5
}"""


def test_day_on_loopback_with_a_front_killed_breaks_no_rule(tmp_path):
    sheet = tmp_path / "front.kdl"
    sheet.write_text(f'front {{\n  logs form="json"\n  capture "{tmp_path}/kept" most-mb=1\n}}')
    outcome = play_on_sockets(parse_sheet(DAY, "d", "day", Day), sheet=str(sheet))
    assert outcome["audit"]["breaches"] == 0, outcome["audit"]["first"]
    assert outcome["in_time"] > 0.6 and outcome["audit"]["counts"]["done"] > 60
    assert outcome["stages"][0][1] == 1 and len(outcome["machines"]) >= 4
    capture = read_capture(str(tmp_path / "kept"))
    assert len(capture.rows) > 10 and {row.ending for row in capture.rows} & {"done"}


DRAINS = b"""day "drains" length-s=8 seed=6 settle-s=0.5 {
  load 60
  front 2
  clients retries=2 wait-ms=50
  profile "look" share=2 work-ms=60 cv=0.5
  profile "book" share=1 repeat="once" work-ms=60 cv=0.5
  group "a" machines=4 workers=2
  trouble "lost" at-s=1 for-s=6 part=0.5 size=0.1
}"""


def test_front_is_drained_resumed_and_drained_again_under_load(tmp_path):
    for name in ("n0", "n1"):
        (tmp_path / f"{name}.kdl").write_text(
            f'front {{\n  door "unix:{tmp_path}/{name}.sock"\n  remember "{tmp_path}/{name}.snap" every-s=0.5\n}}'
        )
    address = f"unix:{tmp_path}/n0.sock"
    due = [
        (2.0, "/drain", {"deadline_s": 5}),
        (2.3, "/resume", None),
        (4.0, "/drain", {"deadline_s": 0.4}),
        (6.0, "/resume", None),
    ]
    answers, states = [], []

    def operator(at: float) -> None:
        while due and at >= due[0][0]:
            _, path, body = due.pop(0)
            status, answer = ask(address, "POST", path, body)
            answers.append((status, orjson.loads(answer)["answer"]))
        if at > 1:
            states.append(orjson.loads(ask(address, "GET", "/status")[1])["state"])

    outcome = play_on_sockets(
        parse_sheet(DRAINS, "d", "day", Day), operator, sheet=f"{tmp_path}/NAME.kdl"
    )
    assert outcome["audit"]["breaches"] == 0, outcome["audit"]["first"]
    assert [one for _, one in answers] == ["draining", "resuming", "draining", "resuming"]
    assert {"serving", "draining", "drained", "resuming"} <= set(states), states
    assert outcome["in_time"] > 0.8 and load(f"{tmp_path}/n0.snap").machines

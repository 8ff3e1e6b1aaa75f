"""Plays the scenarios of tests/scenarios/ against the decision module, then all other tests.

A file holds scenarios, each below a heading '## ...'. A line that starts with a time in
milliseconds is an event reported to the front. The decisions that follow are compared with the
lines below it: after '>' at least one decision must match, after '!' none may. Patterns are those
of fnmatch. 'front' lines set fields of the charter. 'traffic' generates queries whose hand-offs end
as given for their build.

>>> words((Do.VOTE, 7, 0, Verdict.BACK))
'vote 7 0 back'
>>> Play().charter("fronts=3 votes_on=2").votes_on
2
"""

import doctest
import heapq
import io
import sys
from fnmatch import fnmatchcase
from pathlib import Path

import pytest

from tests.front.memory_network import READS, MemoryNetwork
from umbermoor.benchlink import wire
from umbermoor.front.interface import (
    Charter,
    Control,
    Decision,
    Do,
    Ending,
    Entry,
    Group,
    Listing,
    News,
    Phase,
    Profile,
    Readiness,
    Repeat,
    Verdict,
)
from umbermoor.front.rules import Front

MS = 1000
MAX_KNOWN_RED = 3
PLAIN = Charter(
    me=0,
    fronts=1,
    seed=7,
    zone=0,
    profiles=(),
    list_asked=False,
    may_probe=False,
    may_tell=False,
    may_copy=False,
    may_cancel=True,
    most_hand_offs=4,
    most_advice=500 * MS,
    drain_grace=500 * MS,
    cold_from=0.3,
    warm_within=4000 * MS,
    fall_multiple=3.0,
    fall_span=1500 * MS,
    control=Control.ANY,
    votes_on=1,
    votes_back=1,
    votes_hold=0,
    votes_a_second=0.0,
    vote_life=10000 * MS,
    vote_wait=1000 * MS,
    least_stage=3000 * MS,
    stage_caps=(0.5, 1.0),
    guarded_stages=1,
    cap_by_profile=False,
    free_hand_offs=2.0,
    one_way=False,
    tallied_every=0,
    complaint_share=0.0,
)
# A release: build 1 serves, build 2 is on trial for 4.5 s and then serves alone.
RELEASED = (
    "0 steady a:1 b:1",
    "10 traffic until=5000",
    "5000 trial 1 1 a:1 b:1 n:2",
    "5000 traffic until=9500",
    "> vote 2 1 on",
    "9500 news 2 1 released 1",
    "9500 list changes a:1:gone b:1:gone",
)
PROFILE = Profile(1000 * MS, 4000 * MS, 0.0, Repeat.RETRIABLE, Group.ALL, 5000 * MS)


def words(decision: Decision) -> str:
    """Return a decision as the text that scenarios match."""
    do, *values = decision
    return " ".join(
        [do.name.lower(), *(v.name.lower() if isinstance(v, Verdict) else str(v) for v in values)]
    )


class Play:
    """One scenario: the front, and what it decided at the last event."""

    def __init__(self) -> None:
        self.charter_text = "profiles=retriable,binding,fingerprinted"
        self.front: Front | None = None
        self.made: list[str] = []  # what patterns are matched against
        self.hand_offs: dict[str, list[tuple[str, int]]] = {}  # by query: machine, time
        self.taken = 0
        self.due: list[
            tuple[int, str, int, str, Ending, int]
        ] = []  # a heap of the open hand-offs of 'traffic', by the time at which they end
        self.lines: list[str] = []
        self.network: MemoryNetwork | None = None

    def charter(self, text: str) -> Charter:
        """Return the default charter with the fields that the text sets as name=value."""
        values: dict = {}
        for name, value in (word.split("=") for word in text.split()):
            if name == "profiles":
                values[name] = tuple(  # repeat[/group[/target time in ms]],...
                    PROFILE._replace(
                        repeat=Repeat(repeat),
                        group=Group(group or "all"),
                        target=int(target or 1000) * MS,
                    )
                    for repeat, group, target in (
                        (one + "//").split("/")[:3] for one in value.split(",")
                    )
                )
            elif name == "stage_caps":
                values[name] = tuple(map(float, value.split(",")))
            elif name == "control":
                values[name] = Control(value)
            else:
                values[name] = type(getattr(PLAIN, name))(float(value))
        return PLAIN._replace(**values)

    def pull(self, now: int) -> list[Decision]:
        """Return the decisions that the front makes now, and record them."""
        made = list(iter(lambda: self.front.decide(now), None))
        for decision in made:
            if decision[0] is Do.HAND_OFF:
                self.hand_offs.setdefault(decision[1], []).append((decision[2], now))
            if decision[0] not in (Do.WAKE, Do.NOTE):
                self.made.append(words(decision))
        return made

    def report(self, now: int, verb: str, rest: list[str]) -> None:
        """Report an event to the front."""
        front = self.front
        if (
            verb == "list"
        ):  # list [changes|cached|failed] machine:build[:state[:born ms[:cell]]] ...
            kind = Listing[rest.pop(0).upper()] if rest and ":" not in rest[0] else Listing.FULL
            entries = []
            for item in rest:
                name, build, state, born, cell = (
                    item.split(":") + ["ready", "0", "0"][item.count(":") - 1 :]
                )[:5]
                entries.append(
                    Entry(
                        name,
                        int(build),
                        0,
                        int(cell),
                        Readiness[state.upper()],
                        1.0,
                        int(born) * MS,
                    )
                )
            front.list_news(now, kind, entries)
        elif verb == "steady":  # a list of machines whose build is released
            self.report(now, "list", list(rest))
            self.report(now, "news", [rest[0].split(":")[1], "0", "released", "1"])
        elif (
            verb == "trial"
        ):  # trial stage cap machine:build ...: the list's last build is on trial
            self.report(now, "list", rest[2:])
            self.report(now, "news", [rest[-1].split(":")[1], rest[0], "trial", rest[1]])
        elif verb == "news":  # news build stage phase cap [vote's ending]
            answered = len(rest) > 4
            front.release_news(
                now,
                News(
                    int(rest[0]),
                    int(rest[1]),
                    Phase[rest[2].upper()],
                    float(rest[3]),
                    0,
                    answered,
                    Ending[rest[4].upper()] if answered else Ending.OK,
                ),
            )
        elif verb == "query":  # query name profile [key]
            front.take_query(
                now,
                rest[0],
                int(rest[1]),
                rest[2] if len(rest) > 2 else None,
                now + 4000 * MS,
                100 * MS,
                False,
            )
        elif verb == "end":  # end query number ending
            machine, sent = (self.hand_offs.get(rest[0], []) + [("nobody", now)] * 9)[int(rest[1])]
            front.hand_off_ended(
                now,
                rest[0],
                int(rest[1]),
                machine,
                Ending[rest[2].upper()],
                now - sent,
                rest[2] == "ok",
            )
        elif verb == "leaves":
            front.client_left(now, rest[0])
        elif verb == "complaint":
            front.complaint(now, rest[0], int(rest[1]), 0)
        elif verb == "tally":  # tally build profile counted lost [took ms [age ms]]
            took, age = ([int(one) * MS for one in rest[4:]] + [100 * MS, 0][len(rest) - 4 :])[:2]
            front.tally(now, *map(int, rest[:4]), took, age)
        elif verb == "peer":
            front.peer_message(now, int(rest[0]), bytes.fromhex("".join(rest[1:])))
        else:
            assert verb == "look", f"no verb {verb!r}"
            front.woken(now)

    def traffic(self, now: int, rest: list[str]) -> None:
        """Play queries and the ends of their hand-offs.

        Example: traffic until=9000 every=20 profiles=0,1 took=100 2=error 2/1=ok/300
        Hand-offs to build 2 end in an error, those of profile 1 there well after 300 ms.
        """
        options = dict(word.split("=") for word in rest)
        until, every, took = (
            int(options.pop(name, default)) * MS
            for name, default in (("until", 0), ("every", 20), ("took", 100))
        )
        profiles = [int(one) for one in options.pop("profiles", "0").split(",")]
        due = self.due
        for moment in range(now, until, every):
            while due and due[0][0] <= moment:
                at, query, number, machine, ending, lasted = heapq.heappop(due)
                self.front.hand_off_ended(
                    at, query, number, machine, ending, lasted, ending is Ending.OK
                )
            self.taken += 1
            profile = profiles[self.taken % len(profiles)]
            self.front.take_query(
                moment, f"t{self.taken}", profile, None, moment + 4000 * MS, 100 * MS, False
            )
            for do, *values in self.pull(moment):
                if do is Do.HAND_OFF:
                    build = self.front.machines[values[1]].build
                    outcome = options.get(
                        f"{build}/{profile}", options.get(str(build), "ok")
                    ).split("/")
                    kinds = outcome[0].split("+")
                    kind = Ending[kinds[self.taken % len(kinds)].upper()]
                    lasted = int(outcome[1]) * MS if len(outcome) > 1 else took
                    number = len(self.hand_offs[values[0]]) - 1
                    heapq.heappush(
                        due, (moment + lasted, values[0], number, values[1], kind, lasted)
                    )

    def line(self, text: str) -> None:
        """Play one line of a scenario."""
        verb, *rest = text.split()
        if verb == "front":
            self.charter_text, self.front = self.charter_text + " " + " ".join(rest), None
        elif verb == "released":
            for step in RELEASED:
                self.line(step)
        elif verb in (">", "!"):
            found = any(fnmatchcase(made, " ".join(rest)) for made in self.made)
            assert found == (verb == ">"), f"{text!r}: {self.made[-12:]}"
        elif verb in READS:
            self.made = READS[verb](text.partition(" ")[2])
        elif verb == "network":
            self.network = MemoryNetwork(" ".join(rest))
            self.made = self.network.made
        elif self.network:
            self.network.line(int(verb), text.partition(" ")[2])
        elif verb == "wire":
            sink, errors = io.BytesIO(), io.StringIO()
            self.lines.append(text.partition(" ")[2])
            status = wire.serve(io.BytesIO("\n".join(self.lines).encode()), sink, errors)
            self.made = [
                f"status {status}",
                *errors.getvalue().splitlines(),
                *sink.getvalue().decode().splitlines(),
            ]
        else:
            self.front = self.front or Front(self.charter(self.charter_text))
            self.made.clear()
            now = int(verb) * MS
            if rest[0] == "traffic":
                self.traffic(now, rest[1:])
            else:
                self.report(now, rest[0], rest[1:])
                self.pull(now)


def known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test, `TEST | cause | issue`.

    A test is `FILE.feature: SCENARIO`, or a test of pytest by its node id (`FILE.py::...`).
    """
    path = Path(__file__).parent.parent / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    listed = {line.partition(" | ")[0]: line for line in lines if line.strip()}
    assert len(listed) <= MAX_KNOWN_RED, f"KNOWN-RED.txt: over {MAX_KNOWN_RED} lines"
    return listed


class KnownRedTests:
    """A pytest plugin: the listed tests must still fail by an assertion; one that passes fails."""

    def __init__(self, listed: dict[str, str]) -> None:
        self._listed = listed
        self.missing = set(listed)

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests as expected to fail."""
        for item in items:
            if line := self._listed.get(item.nodeid):
                self.missing.discard(item.nodeid)
                print(f"KNOWN-RED: {line}")
                item.add_marker(pytest.mark.xfail(strict=True, raises=AssertionError, reason=line))


def run_pytest() -> bool:
    """Run pytest's tests; return whether one failed, or a listed one passed or was not found."""
    plugin = KnownRedTests({name: line for name, line in known_red().items() if "::" in name})
    broken = pytest.main([], plugins=[plugin])
    for name in sorted(plugin.missing):
        print(f"KNOWN-RED: no such test: {name}")
    return bool(broken or plugin.missing)


def features() -> int:
    """Run the gateway's features. Scenarios listed in KNOWN-RED.txt must still fail; print them."""
    from behave.configuration import Configuration
    from behave.runner import Runner

    folder = Path(__file__).with_name("gateway") / "features"
    runner = Runner(
        Configuration(
            ["--format=progress2", "--no-summary", "--logging-level=WARNING", str(folder)]
        )
    )
    broken = runner.run()
    results = [
        (f"{Path(feature.filename).name}: {scenario.name}", scenario.status.name)
        for feature in runner.features
        for scenario in feature.walk_scenarios()
    ]
    statuses = dict(results)
    assert len(statuses) == len(results), "two scenarios have one name: one would hide the other"
    known = {name: line for name, line in known_red().items() if "::" not in name}
    failed = {name for name, status in statuses.items() if status != "passed"}
    for name in sorted(known):
        print(f"KNOWN-RED: {known[name]}")
    for name in sorted(known.keys() - failed):
        print(f"KNOWN-RED: not failing any more, or no such test: {name}")
    for name in sorted(failed - known.keys()):
        print(f"failed: {name}")
    wrong = failed ^ known.keys()
    print(f"{len(statuses) - len(wrong)} passed, {len(wrong)} failed")
    if broken and not failed:  # a hook or the runner itself failed
        return 1
    return 1 if wrong or not statuses else 0


def main() -> int:
    """Play the scenarios, then pytest's tests and the features; return the exit status."""
    failed, tried = doctest.testmod(sys.modules[__name__])
    for path in sorted(Path(__file__).with_name("scenarios").glob("*.txt")):
        play = None
        for place, text in enumerate(path.read_text().splitlines(), 1):
            if text.startswith("## "):
                play, tried, broken = Play(), tried + 1, False
            elif text.strip() and not text.startswith("#") and not broken:
                try:
                    play.line(text)
                except Exception as error:
                    failed, broken = failed + 1, True
                    print(f"{path.name}:{place}: {type(error).__name__}: {error}")
    print(f"{tried - failed} passed, {failed} failed")
    if failed or not tried:
        return 1
    broken = run_pytest()
    return features() or int(broken)


if __name__ == "__main__":
    sys.exit(main())

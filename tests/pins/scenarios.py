"""Every decision in the scenarios of tests/scenarios, as the simulator's adapter would write it."""

from pathlib import Path
from typing import Any
from unittest.mock import patch

import orjson

from tests.__main__ import Play
from tests.pins.trace import Trace
from umbermoor.benchlink.wire import MESSAGES
from umbermoor.front.rules import Front

FOLDER = Path(__file__).parents[1] / "scenarios"
OTHER_FORMATS = ("http1.txt",)  # does not use the decision module


def cases(every: bool) -> list[str]:
    """Return the names of the cases, one per file of scenarios, in the short form too."""
    return sorted(path.name for path in FOLDER.glob("*.txt") if path.name not in OTHER_FORMATS)


def play(case: str, trace: Trace) -> None:
    """Play all scenarios of a file; trace the decisions."""
    decide = Front.decide

    def traced(front: Front, now: int) -> Any:
        decision = decide(front, now)
        if decision is not None:
            trace.add(now, orjson.dumps(MESSAGES[decision[0]](0, *decision[1:])))
        return decision

    with patch.object(Front, "decide", traced):
        scenario = Play()
        for text in (FOLDER / case).read_text().splitlines():
            if text.startswith("## "):
                trace.add(text)
                scenario = Play()
            elif text.strip() and not text.startswith("#"):
                scenario.line(text)
                if text.startswith("wire "):
                    trace.add(scenario.made)

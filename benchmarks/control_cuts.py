"""One member cut off or frozen for 20 s, in virtual time: what each call at it was answered, by the
second.

python -m benchmarks.control_cuts --seconds 20
"""

from cyclopts import App

from tests.gateway.operators import CALLS, run_with_fault
from umbermoor.gateway.units import MILLISECOND

app = App(help=__doc__)


@app.default
def main(seconds: float = 20, members: int = 3) -> None:
    """A line for each place in the chain and way of the trouble, a column for each call: when it
    was last answered before the trouble's end, and first after it. Whoever was answered, the
    history of all calls was in order."""
    print(
        "place   way    call    last answer  answers in the cut  first answer after  from then on unanswered"
    )
    for place in "head", "middle", "tail":
        for way in "to", "from", "both", "frozen":
            end = round(seconds * 1000) * MILLISECOND
            _, seen = run_with_fault(place, way, end, members)
            for call in CALLS:
                told = [one for one in seen if one.call == call and one.result != "unknown"]
                before = [one.after for one in told if one.after < end]
                after = min((one.after for one in told if one.after >= end), default=None)
                late = [
                    one
                    for one in seen
                    if one.call == call
                    and one.result == "unknown"
                    and after is not None
                    and one.at > after
                ]
                print(
                    f"{place:7} {way:6} {call:7} {max(before, default=0) / 1e6:8.2f} s {len(before):15}"
                    f"    {'none' if after is None else f'{(after - end) / 1e6:.2f} s':>14} {len(late):12}"
                )


if __name__ == "__main__":
    app()

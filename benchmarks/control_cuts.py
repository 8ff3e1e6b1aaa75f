"""Calls to one member that is cut off or frozen for 20 s, in virtual time.

python -m benchmarks.control_cuts --seconds 20
"""

from cyclopts import App

from tests.gateway.operators import CALLS, run_with_fault
from umbermoor.gateway.units import MILLISECOND

app = App(help=__doc__)


@app.default
def main(seconds: float = 20, members: int = 3) -> None:
    """Print a line for each chain position, kind of fault and kind of call.

    A line shows when the call was last answered before the end of the fault and first answered
    after it. The history of all answered calls is checked for consistency.
    """
    print(
        "place   way    call    last answer  answers in the cut  first answer after  from then on unanswered"
    )
    for place in "head", "middle", "tail":
        for kind in "to", "from", "both", "frozen":
            fault_end = round(seconds * 1000) * MILLISECOND
            _, history = run_with_fault(place, kind, fault_end, members)
            for call in CALLS:
                answered = [
                    entry for entry in history if entry.call == call and entry.result != "unknown"
                ]
                answered_before = [entry.after for entry in answered if entry.after < fault_end]
                first_after = min(
                    (entry.after for entry in answered if entry.after >= fault_end), default=None
                )
                unanswered_after = [
                    entry
                    for entry in history
                    if entry.call == call
                    and entry.result == "unknown"
                    and first_after is not None
                    and entry.at > first_after
                ]
                print(
                    f"{place:7} {kind:6} {call:7} "
                    f"{max(answered_before, default=0) / 1e6:8.2f} s {len(answered_before):15}"
                    f"    {'none' if first_after is None else f'{(first_after - fault_end) / 1e6:.2f} s':>14} "
                    f"{len(unanswered_after):12}"
                )


if __name__ == "__main__":
    app()

"""Shrinks a schedule that violates an invariant to the steps that are necessary for it.

Delta debugging with the complements alone: the steps without one run are tried, for successively
smaller runs, and never a run by itself. A run is dropped if the rest still fails. Source: Zeller
and Hildebrandt, Simplifying and Isolating Failure-Inducing Input (2002).
"""

from collections.abc import Callable

from umbermoor.gateway.simulation.schedule import Schedule

DEFAULT_TRIALS = 400


def shrink(
    schedule: Schedule,
    still_fails: Callable[[Schedule], bool],
    max_trials: int = DEFAULT_TRIALS,
) -> Schedule:
    """Return the schedule reduced to the steps that `still_fails` needs.

    Runs at most `max_trials` schedules.
    """
    steps, trials = list(schedule.steps), 0
    run_length = max(1, len(steps) // 2)
    while run_length and trials < max_trials:
        start, dropped_any = 0, False
        while start < len(steps) and trials < max_trials:
            fewer = steps[:start] + steps[start + run_length :]
            trials += 1
            if still_fails(schedule.with_steps(fewer)):
                steps, dropped_any = fewer, True
            else:
                start += run_length
        if run_length == 1 and not dropped_any:
            break
        run_length = run_length // 2 if run_length > 1 else 1
    return schedule.with_steps(steps)

"""Runs seeded simulations and compares their behaviour with that of revision 496b6e6.

    python -m tests.pins [SUBJECT...] [--all] [--workers N]
    python -m tests.pins --trace SUBJECT CASE > FILE
    python -m tests.pins [SUBJECT...] --all --record

Without options a short form of every subject runs, as in `python -m tests`. `--all` runs every
recorded case. The exit status is 1 if a digest differs. `--trace` prints one case line by line;
`diff` of the traces of two revisions shows their first difference in behaviour.

A digest covers everything that leaves a state machine or a process, in order: frames and datagrams,
synced records, results of calls, HTTP answers, decisions, JSON outcomes. It does not cover names of
classes, functions and modules, so a refactoring gives the same digests. The digests are in
`tests/pins/recorded`, one file per subject; those files are never edited by hand.

`--record` replaces the recorded digests by those of the present code. Use it only in a commit that
changes behaviour on purpose. That commit must say which behaviour changes, and show by traces of
the old and the new revision that nothing else does. Never use it to make a refactoring pass. The
first digests were recorded by running this package on the code of 496b6e6, with the names that
modules and effects had there.
"""

import argparse
import sys
import time

from tests.pins.runner import SUBJECTS, WORKERS, play_all, trace_case, write_digests


def main() -> int:
    """Run the command line; return its exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m tests.pins",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("subjects", nargs="*", metavar="SUBJECT", help=", ".join(SUBJECTS))
    parser.add_argument("--all", action="store_true", help="every recorded case")
    parser.add_argument("--record", action="store_true", help="replace the recorded digests")
    parser.add_argument("--trace", nargs=2, metavar=("SUBJECT", "CASE"), help="print one case")
    parser.add_argument("--workers", type=int, default=WORKERS, help="processes at once")
    given = parser.parse_args()
    unknown = {*given.subjects, *(given.trace or ())[:1]} - SUBJECTS.keys()
    if unknown:
        parser.error(f"no such subject: {', '.join(sorted(unknown))}")
    if given.record and not given.all:
        parser.error("--record replaces whole files: it needs --all")
    if given.trace:
        trace_case(*given.trace, copy=sys.stdout)
        return 0
    subjects = given.subjects or list(SUBJECTS)
    if given.record:
        return _record(subjects, given.workers)
    return _compare(subjects, given.all, given.workers)


def _record(subjects: list[str], workers: int) -> int:
    digests: dict[str, dict[str, str]] = {subject: {} for subject in subjects}
    for result in play_all(subjects, True, workers):
        digests[result.subject][result.case] = result.digest
    for subject, found in digests.items():
        write_digests(subject, found)
        print(f"{subject}: {len(found)} recorded")
    return 0


def _compare(subjects: list[str], every: bool, workers: int) -> int:
    began, cases, different = time.monotonic(), 0, 0
    for result in play_all(subjects, every, workers):
        cases += 1
        if not result.same:
            different += 1
            print(
                f"{result.subject} {result.case}: recorded {result.recorded or 'nothing'}, "
                f"now {result.digest}",
                flush=True,
            )
    seconds = time.monotonic() - began
    print(f"pins: {cases - different} equal, {different} different, {seconds:.0f} s")
    return 1 if different or not cases else 0


if __name__ == "__main__":
    sys.exit(main())

"""Plays seeded worlds and compares what the programs do with what revision 496b6e6 did.

    python -m tests.pins [SUBJECT...] [--all] [--workers N]
    python -m tests.pins --trace SUBJECT CASE > FILE
    python -m tests.pins [SUBJECT...] --all --record

Without options a short form of every subject is played; `python -m tests` plays the same. `--all`
plays every recorded case. The exit status is 1 if a digest differs. `--trace` prints one case line
by line: made at two revisions, `diff` shows the first difference in behaviour.

A digest covers what leaves a state machine or a process, in order: frames and datagrams, synced
records, results of calls, HTTP answers, decisions, JSON outcomes. Names of classes, functions and
modules are not in it, so that a refactoring gives the same digests. The digests are in
`tests/pins/recorded`, one file a subject; no file there is edited by hand.

`--record` replaces the recorded digests by those of the code that runs. That is right only in a
commit that changes behaviour on purpose, and the commit says which behaviour and shows, by traces
of the old and the new revision, that nothing else differs. It is never right in order to make a
refactoring pass. The digests as first committed were recorded by running this package on the code
of 496b6e6, with the names that modules and effects had there.
"""

import argparse
import sys
import time

from tests.pins.runner import SUBJECTS, WORKERS, play_all, trace_case, write_digests


def main() -> int:
    """Runs the command line; returns its exit status."""
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
    for played in play_all(subjects, True, workers):
        digests[played.subject][played.case] = played.digest
    for subject, found in digests.items():
        write_digests(subject, found)
        print(f"{subject}: {len(found)} recorded")
    return 0


def _compare(subjects: list[str], every: bool, workers: int) -> int:
    began, cases, different = time.monotonic(), 0, 0
    for played in play_all(subjects, every, workers):
        cases += 1
        if not played.same:
            different += 1
            print(
                f"{played.subject} {played.case}: recorded {played.recorded or 'nothing'}, "
                f"now {played.digest}",
                flush=True,
            )
    seconds = time.monotonic() - began
    print(f"pins: {cases - different} equal, {different} different, {seconds:.0f} s")
    return 1 if different or not cases else 0


if __name__ == "__main__":
    sys.exit(main())

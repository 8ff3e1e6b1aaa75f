"""The control plane in virtual time: sends the list, the release and tallies; receives votes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from umbermoor.front.facade import Listed, Tally, Vote
from umbermoor.front.interface import Ending, Entry, Listing, News, Readiness
from umbermoor.lab.backend import LIST_SILENT, PLATFORM_SILENT
from umbermoor.lab.day import SECOND, micros
from umbermoor.lab.machine import EndedJob, Machine, Reply
from umbermoor.lab.release import ListEntry
from umbermoor.lab.terms import VOTE_WAIT_MS
from umbermoor.lab.virtual.clock import START

if TYPE_CHECKING:
    from umbermoor.lab.fleet import Fleet
    from umbermoor.lab.virtual.front import VirtualFront

TALLY_AGE = SECOND  # age of a tally when fronts get it
MACHINE_SIZE = 1.0  # all machines have the same weight


@dataclass(slots=True)
class _Tally:
    """The platform's own count of attempts at a build."""

    attempts: int = 0
    failed: int = 0
    time_us: int = 0  # total duration of the attempts that did not fail


class VirtualControlPlane:
    """Delivers updates to the fronts with the day's delays, and receives their votes.

    Args:
        fleet: the run it belongs to.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tallies: dict[tuple[int, int], _Tally] = {}  # by build and profile

    def start(self) -> None:
        """Schedule the periodic updates: the release's state and, if configured, tallies."""
        platform = self._fleet.day.platform
        self._fleet.at(START + micros(platform.push_s), self._repeat_stage)
        if platform.tally_s:
            self._fleet.at(START + micros(platform.tally_s), self._send_tallies)

    def send_initial_state(self, front: VirtualFront) -> None:
        """Send a front that starts the whole list and the release's state."""
        fleet = self._fleet
        rows = list(fleet.backend.machine_list.entries.values())
        for row in rows:
            fleet.ledger.told_list(fleet.now, front.name, row.machine, row.readiness)
        front.report(Listed(Listing.CACHED, [_entry(row) for row in rows]))
        front.report(Listed(Listing.FULL, [_entry(row) for row in rows]))
        self._send_stage(front)

    # The release.

    def stage_changed(self) -> None:
        """Send the changed state of the release to each front, with a delay of its own."""
        fleet = self._fleet
        changes = len(fleet.backend.release.history)
        for front in fleet.fronts:
            factor = 0.5 + fleet.chance.at("told", front.name, changes)
            delay = round(fleet.day.platform.told_ms * 1000 * factor)
            at = max(fleet.now + delay, fleet.backend.silent_until[PLATFORM_SILENT])
            fleet.at(at, self._send_stage, front)

    def _repeat_stage(self) -> None:
        fleet = self._fleet
        for front in fleet.fronts:
            if not fleet.backend.is_silent(PLATFORM_SILENT):
                self._send_stage(front)
        fleet.at(fleet.now + micros(fleet.day.platform.push_s), self._repeat_stage)

    def _send_stage(
        self, front: VirtualFront, answers_vote: bool = False, ending: Ending = Ending.OK
    ) -> None:
        if not front.is_alive:
            return
        fleet = self._fleet
        build, stage, phase, cap, since = fleet.backend.release.state
        if ending is Ending.OK:
            fleet.ledger.told_stage(fleet.now, front.name, build, stage, phase, cap)
        front.report(News(build, stage, phase, cap, fleet.now - since, answers_vote, ending))

    def vote(self, front: VirtualFront, step: Vote) -> None:
        """Send a front's vote to the platform."""
        fleet = self._fleet
        arrives_at = fleet.now + fleet.delay("vote", front.name, fleet.now)
        fleet.at(arrives_at, self._voted, front, step)

    def _voted(self, front: VirtualFront, step: Vote) -> None:
        fleet = self._fleet
        if fleet.backend.is_silent(PLATFORM_SILENT):
            times_out_at = fleet.now + round(VOTE_WAIT_MS * 1000)
            fleet.at(times_out_at, self._send_stage, front, True, Ending.TIMEOUT)
            return
        ending = fleet.backend.vote(front.name, step.build, step.stage, step.verdict)
        arrives_at = fleet.now + fleet.delay("voted", front.name, fleet.now)
        fleet.at(arrives_at, self._send_stage, front, True, ending)

    # The tally.

    def count_attempt(self, machine: Machine, done: EndedJob, duration: int) -> None:
        """Count an attempt that ended at a machine, if it is in the platform's sample."""
        fleet, platform = self._fleet, self._fleet.day.platform
        if not platform.tally_s:
            return
        if fleet.chance.at("tally", *done.job.key) >= platform.tally_share:
            return
        has_failed = done.reply not in (Reply.DONE, Reply.WRONG)
        tally = self._tallies.setdefault((machine.build, done.job.profile), _Tally())
        tally.attempts += 1
        tally.failed += has_failed
        tally.time_us += 0 if has_failed else duration

    def _send_tallies(self) -> None:
        fleet = self._fleet
        for (build, profile), tally in self._tallies.items():
            mean = tally.time_us // max(1, tally.attempts - tally.failed)
            update = Tally(build, profile, tally.attempts, tally.failed, mean, TALLY_AGE)
            for front in fleet.fronts:
                front.report(update)
        self._tallies.clear()
        fleet.at(fleet.now + micros(fleet.day.platform.tally_s), self._send_tallies)

    # The machine list.

    def list_changed(self, row: ListEntry) -> None:
        """Send a changed entry of the list to each front, with a delay of its own."""
        fleet = self._fleet
        if fleet.now == START:  # fronts get the first list as they start
            return
        listing = fleet.day.listing
        notice = micros(listing.notice_ms / 1000)
        for front in fleet.fronts:
            part = fleet.chance.at("spread", front.name, row.machine, fleet.now)
            spread = round(listing.spread_ms * 1000 * part)
            at = max(fleet.now + notice, fleet.backend.silent_until[LIST_SILENT]) + spread
            fleet.at(at, self._send_entry, front, row)

    def _send_entry(self, front: VirtualFront, row: ListEntry) -> None:
        if not front.is_alive:
            return
        self._fleet.ledger.told_list(self._fleet.now, front.name, row.machine, row.readiness)
        if row.readiness is not Readiness.READY:
            for _ in front.idle_connections.pop(row.machine, []):
                front.close_connection(row.machine)
        front.report(Listed(Listing.CHANGES, [_entry(row)]))


def _entry(row: ListEntry) -> Entry:
    return Entry(row.machine, row.build, 0, 0, row.readiness, MACHINE_SIZE, row.born)

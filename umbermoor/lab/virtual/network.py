"""The network between fronts and machines in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from umbermoor.front.facade import Complaint, Go
from umbermoor.lab.day import SECOND
from umbermoor.lab.machine import EndedJob, Job, Machine, Reply
from umbermoor.lab.terms import CONNECT_MS

if TYPE_CHECKING:
    from umbermoor.lab.fleet import Fleet
    from umbermoor.lab.virtual.front import Attempt, AttemptKey, VirtualFront

COMPLAINT_AGE = 2 * SECOND  # delay until a wrong answer is reported
UNKNOWN_WORK_US = 1.0  # work of a query that no client waits for any more


class VirtualNetwork:
    """Delivers connection attempts, queries, cancellations and replies with the day's delays.

    Args:
        fleet: the run it belongs to.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._senders: dict[AttemptKey, VirtualFront] = {}

    def connect(self, front: VirtualFront, key: AttemptKey, attempt: Attempt) -> None:
        """Open a connection from a front to the attempt's machine."""
        fleet = self._fleet
        arrives_at = fleet.now + fleet.delay("connect", *key)
        fleet.at(arrives_at, self._accept, front, key, attempt)

    def _accept(self, front: VirtualFront, key: AttemptKey, attempt: Attempt) -> None:
        fleet = self._fleet
        machine = fleet.backend.machines.get(attempt.go.machine)
        is_up = machine is not None and machine.connect(fleet.now)
        if machine is not None:
            fleet.backend.wake(machine)
        delay = fleet.delay("connected", *key)
        if machine is not None and not machine.faults.down and not is_up:
            # A full backlog drops the request, so that the front's timeout passes.
            delay = round(CONNECT_MS * 1000)
        fleet.at(fleet.now + delay, front.connected, key, attempt, is_up)

    def send(self, front: VirtualFront, go: Go) -> None:
        """Send a query to a machine on an open connection."""
        fleet, key = self._fleet, (go.query, go.number)
        machine = fleet.backend.machines[go.machine]
        fleet.ledger.sent(fleet.now, go.query, go.machine, machine.build)
        self._senders[key] = front
        pending = fleet.clients.pending.get(go.query)
        work, due = (pending.work, pending.due) if pending else (UNKNOWN_WORK_US, fleet.now)
        job = Job(key, 0, work, due)
        fleet.at(fleet.now + fleet.delay("send", *key), self._offer, machine, job)

    def _offer(self, machine: Machine, job: Job) -> None:
        fleet = self._fleet
        fleet.backend.advance(machine)
        pending = fleet.clients.pending.get(job.key[0])
        if pending is not None:
            job = job._replace(profile=pending.journey.arrival.profile)
        had_collapsed = machine.collapsed
        done = machine.offer(fleet.now, job)
        if machine.collapsed and not had_collapsed:
            fleet.ledger.fell(fleet.now, machine.id)
        if done is not None:
            self.jobs_ended(machine, [done])
        else:
            fleet.backend.wake(machine)

    def cancel(self, go: Go) -> None:
        """Send a machine the cancellation of an attempt."""
        fleet = self._fleet
        arrives_at = fleet.now + fleet.delay("stop", go.query, go.number)
        fleet.at(arrives_at, self._cancelled, go)

    def _cancelled(self, go: Go) -> None:
        fleet = self._fleet
        machine = fleet.backend.machines.get(go.machine)
        if machine is not None:
            fleet.backend.advance(machine)
            stopped = machine.cancel(fleet.now, (go.query, go.number))
            if stopped is not None and stopped.ran:
                fleet.ledger.ran(fleet.now, go.query, go.machine)
            self._senders.pop((go.query, go.number), None)
            fleet.backend.wake(machine)

    def forget(self, key: AttemptKey) -> None:
        """Discard the reply to an attempt whose front was killed."""
        self._senders.pop(key, None)

    def jobs_ended(self, machine: Machine, ended: list[EndedJob]) -> None:
        """Send the replies of attempts that ended at a machine."""
        fleet = self._fleet
        for done in ended:
            key = done.job.key
            if done.ran:
                fleet.ledger.ran(fleet.now, key[0], machine.id)
            front = self._senders.pop(key, None)
            attempt = front.attempts.get(key) if front is not None else None
            duration = fleet.now - attempt.began_at if attempt is not None else round(done.job.work)
            if front is not None and done.reply is Reply.WRONG:
                self._complain(front, machine, done)
            fleet.control_plane.count_attempt(machine, done, duration)
            if front is not None and done.reply is not Reply.SILENT:
                arrives_at = fleet.now + fleet.delay("reply", *key)
                fleet.at(arrives_at, front.replied, key, machine.id, done.reply)

    def _complain(self, front: VirtualFront, machine: Machine, done: EndedJob) -> None:
        """Report a share of the wrong answers to the front that forwarded them."""
        fleet, job = self._fleet, done.job
        if fleet.chance.at("complaint", *job.key) < fleet.day.platform.complaint_share:
            complaint = Complaint(machine.id, job.profile, COMPLAINT_AGE)
            fleet.at(fleet.now + COMPLAINT_AGE, front.report, complaint)

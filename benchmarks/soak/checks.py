"""Checks the records of clients, instances and operators of a soak day for violations."""

import re
from pathlib import Path

from benchmarks.soak.clients import is_own_response
from benchmarks.soak.records import Ending, Records, RequestRecord
from benchmarks.soak.stalls import stalled_s

REJECTIONS = (408, 421, 429, 503)  # guarantee that the request has not been executed
# A request may be lost this long before and after a disturbance of its proxy.
LOSS_WINDOW_BEFORE_S, LOSS_WINDOW_AFTER_S = 1.0, 0.5
# After a client disconnects, work on its request must end within this time.
ABANDONED_WORK_GRACE_S = 0.5
CONVERGENCE_S = 2.5  # after a revision is acknowledged, until every proxy must serve it
# A proxy counts as connected once it and all controllers have run undisturbed for this long.
CONTACT_S = 3.0
CONTROLLER_PREFIX = "core"  # prefix of every controller's name
LOGGED_FAULT = re.compile(r"event=(?:invariant_violated|unhandled_exception).*|^Traceback.*", re.M)


def violations(records: Records, ended_at: float) -> list[str]:
    """Return the violations of a day, ignoring requests still in flight at `ended_at`."""
    found = list(records.broken)
    for request in records.requests:
        if request.ending is not None and request.ended_at < ended_at:
            found += _request_violations(records, request)
    for sent_at, revision in records.reads:
        before = [one for at, one in records.acknowledged if at <= sent_at]
        if before and revision < max(before):
            found.append(f"read revision {revision} after {max(before)} was acknowledged")
    return found + _probe_violations(records)


def _probe_violations(records: Records) -> list[str]:
    """Return violations for revisions that a proxy served too late or stopped serving."""
    found = []
    seen: dict[tuple[str, int], int] = {}  # newest revision by (proxy, life)
    for probe in sorted(records.probes, key=lambda one: one.sent_at):
        life = probe.proxy, probe.life
        if probe.served:
            seen[life] = max(seen.get(life, 0), probe.revision)
            continue
        text = f"{probe.proxy} has no route of revision {probe.revision}"
        if probe.revision <= seen.get(life, 0):
            found.append(f"{text}, but served revision {seen[life]} before")
        acknowledged = [at for at, revision in records.acknowledged if revision == probe.revision]
        late_s = probe.sent_at - min(acknowledged, default=probe.sent_at)
        bound_s = CONVERGENCE_S + stalled_s(records, probe.sent_at - late_s, probe.sent_at)
        if late_s > bound_s and is_connected(records, probe.proxy, probe.sent_at):
            found.append(f"{text}, {late_s:.2f} s after its acknowledgement")
    return found


def is_connected(records: Records, proxy: str, at: float) -> bool:
    """Whether the proxy and all controllers ran undisturbed for CONTACT_S before `at`."""
    return are_controllers_settled(records, at) and _ran_undisturbed(records, {proxy}, at)


def are_controllers_settled(records: Records, at: float) -> bool:
    """Whether all controllers ran undisturbed for CONTACT_S before `at`."""
    controllers = {name for name in records.starts if name.startswith(CONTROLLER_PREFIX)}
    return _ran_undisturbed(records, controllers, at)


def _ran_undisturbed(records: Records, names: set[str], at: float) -> bool:
    """Whether the nodes with these names ran undisturbed for CONTACT_S before `at`."""
    began = at - CONTACT_S
    starts = [start for name in names for start in records.starts[name]]
    spans = [span for span in (*records.terms, *records.disturbed) if span.node in names]
    return not (
        any(began < start < at for start in starts)
        or any(span.began_at < at and span.ended_at > began for span in spans)
    )


def _request_violations(records: Records, request: RequestRecord) -> list[str]:
    runs = len(records.executions.get(request.id, ()))
    text = f"request {request.id} ({'safe' if request.idempotent else 'unsafe'}, {request.proxy})"
    found = []
    if runs > 1 and not request.idempotent:
        found.append(f"{text} was executed {runs} times")
    if (
        request.ending is Ending.DISCONNECTED
        and request.idempotent
        and _is_undisturbed(records, request)
    ):
        found += _executions_after_disconnect(records, request, text)
    if request.ending is Ending.GARBLED:
        found.append(f"{text}: the response could not be parsed")
    if request.ending is Ending.ANSWERED:
        if request.status in REJECTIONS and runs and not request.idempotent:
            found.append(f"{text} was rejected with {request.status} but executed")
        if request.status == 200 and not is_own_response(request):
            found.append(f"{text} got the response to another request: {request.body!r}")
    elif _is_undisturbed(records, request):
        if request.ending is Ending.CLOSED and runs:
            found.append(
                f"{text} was executed but its connection closed{_sigterm_context(records, request)}"
            )
        if request.ending is Ending.TIMED_OUT:
            found.append(
                f"{text} got no response before its deadline{_sigterm_context(records, request)}"
            )
    return found


def _executions_after_disconnect(records: Records, request: RequestRecord, text: str) -> list[str]:
    """Return violations for executions that began or went on after the client disconnected."""
    disconnected_at = request.ended_at
    if any(
        cut.began_at < disconnected_at + ABANDONED_WORK_GRACE_S and cut.ended_at > disconnected_at
        for cut in records.cut
    ):
        return []
    found = []
    for execution in records.executions.get(request.id, ()):
        began_s, over_s = execution.began_at - disconnected_at, execution.over_at - disconnected_at
        over_at = execution.over_at or disconnected_at + ABANDONED_WORK_GRACE_S
        bound_s = ABANDONED_WORK_GRACE_S + stalled_s(records, disconnected_at, over_at)
        if began_s > bound_s:
            found.append(f"{text} was started {began_s:.2f} s after its client disconnected")
        elif not execution.over_at or over_s > bound_s:
            found.append(f"{text} was executing {over_s:.2f} s after its client disconnected")
    return found


def _is_undisturbed(records: Records, request: RequestRecord) -> bool:
    return not any(
        span.node == request.proxy
        and span.began_at < request.ended_at + LOSS_WINDOW_AFTER_S
        and span.ended_at > request.sent_at - LOSS_WINDOW_BEFORE_S
        for span in records.disturbed
    )


def _sigterm_context(records: Records, request: RequestRecord) -> str:
    """Describe when the request was sent and ended relative to its proxy's SIGTERM, if any."""
    terms = [
        span.began_at
        for span in records.terms
        if span.node == request.proxy and span.began_at <= request.ended_at <= span.ended_at + 1
    ]
    if not terms:
        return ""
    sent_s, ended_s = request.sent_at - terms[-1], request.ended_at - terms[-1]
    return (
        f": sent {sent_s:.2f} s and ended {ended_s:.2f} s after SIGTERM, {request.behind} before it"
    )


def logged_faults(folder: Path) -> list[str]:
    """Return log lines that report invariant violations, unhandled exceptions or tracebacks."""
    return [
        f"{path.name}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in LOGGED_FAULT.findall(path.read_text(errors="replace"))
    ]

"""What must hold on every day of a soak, by the records of clients, instances and operators."""

import re
from pathlib import Path

from benchmarks.soak.clients import is_own_answer
from benchmarks.soak.records import Ending, Records, RequestRecord

REJECTIONS = (408, 421, 429, 503)  # promise that the request has not been executed
BEFORE_S, AFTER_S = 1.0, 0.5  # around a disturbance of its proxy a request may be lost
LOGGED_FAULTS = re.compile(r"event=(?:invariant_violated|unhandled_exception).*|^Traceback.*", re.M)


def violations(records: Records, ended_at: float) -> list[str]:
    """All that is wrong with a day; requests that were under way at its end are left out."""
    found = list(records.broken)
    for request in records.requests:
        if request.ending is not None and request.ended_at < ended_at:
            found += _request_violations(records, request)
    for sent_at, revision in records.reads:
        before = [one for at, one in records.acknowledged if at <= sent_at]
        if before and revision < max(before):
            found.append(f"read revision {revision} after {max(before)} was acknowledged")
    return found


def _request_violations(records: Records, request: RequestRecord) -> list[str]:
    runs = len(records.executions.get(request.id, ()))
    text = f"request {request.id} ({'safe' if request.idempotent else 'unsafe'}, {request.proxy})"
    found = []
    if runs > 1 and not request.idempotent:
        found.append(f"{text} was executed {runs} times")
    if request.ending is Ending.GARBLED:
        found.append(f"{text}: what came is no answer")
    if request.ending is Ending.ANSWERED:
        if request.status in REJECTIONS and runs and not request.idempotent:
            found.append(f"{text} was rejected with {request.status}, and executed")
        if request.status == 200 and not is_own_answer(request):
            found.append(f"{text} got another's answer: {request.body!r}")
    elif _is_undisturbed(records, request):
        if request.ending is Ending.CLOSED and runs:
            found.append(
                f"{text} was executed, and its connection closed{_since(records, request)}"
            )
        if request.ending is Ending.TIMED_OUT:
            found.append(f"{text} got no answer within its time{_since(records, request)}")
    return found


def _is_undisturbed(records: Records, request: RequestRecord) -> bool:
    return not any(
        span.node == request.proxy
        and span.began_at < request.ended_at + AFTER_S
        and span.ended_at > request.sent_at - BEFORE_S
        for span in records.disturbed
    )


def _since(records: Records, request: RequestRecord) -> str:
    """When it was sent and ended since the SIGTERM of its proxy, if there was one."""
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


def logged(folder: Path) -> list[str]:
    """Lines of the programs' logs that none should have."""
    return [
        f"{path.name}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in LOGGED_FAULTS.findall(path.read_text(errors="replace"))
    ]

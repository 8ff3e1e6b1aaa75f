"""Clients that keep their connections while the client limits go up and down, and their check."""

from dataclasses import dataclass

from benchmarks.soak.checks import CONVERGENCE_S, is_connected
from benchmarks.soak.clients import Behaviour, Client, request_headers
from benchmarks.soak.operators import HOST, NARROW_ENVELOPE, WIDE_ENVELOPE, has_wide_envelope
from benchmarks.soak.records import Ending, Records, RequestRecord, SizedRequest
from benchmarks.soak.stalls import stalled_s
from umbermoor.http1.writer import write_request

KEPT = Behaviour()  # one request after another on a connection
SIZED_SHARE = 0.25  # of the requests; the others keep the connection in use
HEAD_REFUSED, BODY_REFUSED = 431, 413
SUCCESS = 200


def _between(key: str) -> int:
    """Return a size that the wide envelope allows, and the narrow one does not."""
    return (NARROW_ENVELOPE[key] + WIDE_ENVELOPE[key]) // 2


class EnvelopeClient(Client):
    """Sends requests with large heads and bodies among small ones on the connection it keeps."""

    def _request(self, record: RequestRecord, target: str) -> bytes:
        draw = self._rng.random()
        if draw >= SIZED_SHARE:
            return super()._request(record, target)
        headers, body = request_headers(record), b""
        if draw < SIZED_SHARE / 2:
            headers["X-Long"] = "y" * _between("headerBytes")
            self._records.sized.append(SizedRequest(record, HEAD_REFUSED))
        else:
            body = b"x" * _between("bodyBytes")
            self._records.sized.append(SizedRequest(record, BODY_REFUSED))
        return write_request("POST", target, HOST, headers, body)


@dataclass(frozen=True)
class _Revisions:
    """The revisions that may be in force for a request."""

    oldest: int
    newest: int

    def all_wide(self) -> bool:
        return all(map(has_wide_envelope, range(self.oldest, self.newest + 1)))

    def all_narrow(self) -> bool:
        return not any(map(has_wide_envelope, range(self.oldest, self.newest + 1)))


def envelope_violations(records: Records) -> list[str]:
    """Return violations by requests that only an envelope that is not in force lets in or out."""
    found = []
    for sized in records.sized:
        request = sized.record
        if request.ending is not Ending.ANSWERED:
            continue
        revisions = _in_force(records, request)
        if revisions is None or not is_connected(records, request.proxy, request.sent_at):
            continue
        text = (
            f"request {request.id} ({request.proxy}) got {request.status}, though revisions "
            f"{revisions.oldest} to {revisions.newest} "
        )
        if request.status == sized.refusal and revisions.all_wide():
            found.append(f"{text}allow it")
        elif request.status == SUCCESS and revisions.all_narrow():
            found.append(f"{text}refuse it")
    return found


def _in_force(records: Records, request: RequestRecord) -> _Revisions | None:
    """Return the revisions that may be in force at a proxy for a request; None if unknown."""
    settled = [
        revision
        for at, revision in records.acknowledged
        if request.sent_at - at > CONVERGENCE_S + stalled_s(records, at, request.sent_at)
    ]
    if not settled:
        return None
    newest = max(revision for at, revision in records.sent if at <= request.ended_at)
    return _Revisions(max(settled), newest)

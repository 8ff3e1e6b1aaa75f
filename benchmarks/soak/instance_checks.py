"""Checks of a soak day's departures and rollouts, by what the instances recorded."""

from benchmarks.soak.checks import are_controllers_settled, is_connected
from benchmarks.soak.records import Records, RolloutAnswer, RolloutOrder
from benchmarks.soak.stalls import stalled_s

DRAIN_S = 2.5  # from an acknowledged leave until no proxy in contact sends a request any more
EXPOSURE, EXPOSURE_SLACK = 0.1, 50  # share and number of requests that a bad version may get
CLEAR_AFTER = 50  # bad answers after which a version must be rolled back
ROLLBACK_S = 5.0


def departure_violations(records: Records) -> list[str]:
    """Return violations by requests that an instance got long after its acknowledged leave."""
    found = []
    for request in records.requests:
        for execution in records.executions.get(request.id, ()):
            left_at = records.left.get(execution.instance)
            if left_at is None:
                continue
            late_s = execution.began_at - left_at
            bound_s = DRAIN_S + stalled_s(records, left_at, execution.began_at)
            if late_s > bound_s and is_connected(records, request.proxy, execution.began_at):
                found.append(
                    f"request {request.id} ({request.proxy}) reached {execution.instance} "
                    f"{late_s:.2f} s after its leave was acknowledged"
                )
    return found


def rollout_violations(records: Records) -> list[str]:
    """Return violations by requests that bad versions got."""
    answers = sorted(records.rollout_answers, key=lambda answer: answer.began_at)
    found = []
    for order in records.rollouts:
        if order.is_bad:
            found += _exposure_violations(records, order, answers)
            found += _rollback_violations(records, order, answers)
    return found


def _exposure_violations(
    records: Records, order: RolloutOrder, answers: list[RolloutAnswer]
) -> list[str]:
    term = order.ordered_at + order.ramp_s
    during = [answer for answer in answers if order.ordered_at <= answer.began_at <= term]
    exposed = sum(
        answer.version == order.target and is_connected(records, answer.proxy, answer.began_at)
        for answer in during
    )
    allowed = EXPOSURE * len(during) + EXPOSURE_SLACK
    if exposed <= allowed:
        return []
    return [
        f"a version that is worse ({order.description}) got {exposed} of "
        f"{len(during)}; allowed {allowed:.0f}"
    ]


def _rollback_violations(
    records: Records, order: RolloutOrder, answers: list[RolloutAnswer]
) -> list[str]:
    bad, clear_at = 0, None
    for answer in answers:
        if answer.version != order.target:
            continue
        if not are_controllers_settled(records, answer.began_at):
            bad, clear_at = 0, None
            continue
        bad += answer.is_bad
        if bad == CLEAR_AFTER and clear_at is None:
            clear_at = answer.began_at
        if clear_at is None or not is_connected(records, answer.proxy, answer.began_at):
            continue
        late_s = answer.began_at - clear_at
        if late_s > ROLLBACK_S + stalled_s(records, clear_at, answer.began_at):
            return [
                f"a version that is worse ({order.description}) got one "
                f"{late_s:.2f} s after its {CLEAR_AFTER}th bad answer"
            ]
    return []

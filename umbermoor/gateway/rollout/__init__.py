"""Progressive delivery: rolls out or reverts a service's new version on all proxies in step.

Every proxy runs a `RolloutObserver` (`observer.py`; the state of one service is in
`service_rollout.py`): it chooses the version of each attempt, scores the outcomes and votes. The
leading controller runs a `RolloutCoordinator` (`coordinator.py`): it pools the proxies' reports
(`cusum.py`) and proposes the next change of the durable record. The replica set accepts or rejects
that change (`admission.py`), and the distribution of updates carries it to all proxies. `stages.py`
defines the stages of a rollout, `judgement.py` the statistics that proxies and controller share,
`records.py` and `reports.py` the JSON of records and reports.

The package imports only `umbermoor.statistics` and the gateway's `effects` and `units`. Source:
E. Feit, R. Berman, "Test & Roll: Profit-Maximizing A/B Tests", 2019.

    >>> from umbermoor.gateway.rollout.admission import first_record, order_request
    >>> from umbermoor.gateway.rollout.records import AttemptResult
    >>> def play(bad: bool) -> tuple[str, float, float]:
    ...     proxy, controller, sent, requests = RolloutObserver(), RolloutCoordinator(), 0, 0
    ...     instances = [(f"i-{i}", "v1" if i < 4 else "v2", 0) for i in range(8)]
    ...     record = first_record(None, order_request("v2", 12, ["v1", "v2"]))
    ...     for ms in range(12_000):
    ...         now = 5 * SECOND + ms * 1000
    ...         controller.apply_record(now, "maps", record)
    ...         proxy.apply_record(now, "maps", record)
    ...         proxy.update_instances(now, "maps", instances)
    ...         if ms % 3 == 0:
    ...             proxy.request_received(now, "maps")
    ...             requests += 1
    ...             version = proxy.choose_version(now, "maps", requests * 0.618 % 1)
    ...             proxy.attempt_sent(now, "maps", version)
    ...             trial = proxy.trial_instances(now, "maps")
    ...             instance = trial[0] if version == "v2" else "i-1"
    ...             fails = bad and version == "v2" and requests % 2 == 0
    ...             result = AttemptResult.ERROR_RESPONSE if fails else AttemptResult.SUCCESS
    ...             proxy.attempt_ended(now, "maps", version, instance, 0, True, result, False)
    ...             sent += version == "v2"
    ...         for report in proxy.reports(now):
    ...             controller.receive_report(now, "proxy-1", report)
    ...         for _, record in controller.tick(now):
    ...             controller.apply_record(now, "maps", record)
    ...         if record["state"] != "running":
    ...             break
    ...     return record["state"], ms / 1000, sent / (341 * 12)
    >>> state, after_s, share = play(bad=False)
    >>> state, after_s < 11.5
    ('settled', True)
    >>> state, after_s, share = play(bad=True)
    >>> state, after_s < 4, share < 0.05
    ('reverted', True, True)
"""

from umbermoor.gateway.rollout.coordinator import RolloutCoordinator
from umbermoor.gateway.rollout.observer import RolloutObserver
from umbermoor.gateway.units import SECOND

__all__ = ["SECOND", "RolloutCoordinator", "RolloutObserver"]

"""The rollout invariant: a bad version gets few requests, and none long after it is detectable."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.schedule import MARGINS
from umbermoor.gateway.simulation.violations import Invariant
from umbermoor.gateway.units import SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld
    from umbermoor.gateway.simulation.instances import SimulatedInstance
    from umbermoor.gateway.simulation.rollouts import RolloutInProgress

CONTACT = round(MARGINS["contactS"] * SECOND)
ROLLBACK = round(MARGINS["rollbackS"] * SECOND)
SHARE, SLACK = MARGINS["exposure"], MARGINS["exposureSlack"]
CLEAR_AFTER = 50  # bad answers after which the version must be rolled back within rollbackS


@dataclass
class _Exposure:
    """Requests of one service during one rollout of a bad version."""

    requests: int = 0
    to_target: int = 0
    bad_answers: int = 0  # since the controllers settled
    counted_since: int = 0
    clear_at: int = 0  # time of the bad answer number CLEAR_AFTER


class ExposureInvariant:
    """Counts the requests that bad versions get."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self._exposures: dict[tuple[str, str], _Exposure] = {}  # by service and target

    def request_sent(
        self, proxy: str, instance: "SimulatedInstance", rollout: "RolloutInProgress | None"
    ) -> None:
        """Check a request that a proxy sends to an instance; `rollout` is that of its service."""
        now = self._world.time.now
        if rollout is None or rollout.good or now > rollout.ordered_at + rollout.ramp_s * SECOND:
            return
        exposure = self._exposure(instance.service, rollout.target)
        exposure.requests += 1
        in_contact = self._world.disturbances.proxy_in_contact(proxy)
        if instance.version != rollout.target or not in_contact:
            return
        exposure.to_target += 1
        if exposure.to_target > SHARE * exposure.requests + SLACK:
            self._world.fail(
                Invariant.ROLLOUT_EXPOSURE,
                f"{exposure.to_target} of {exposure.requests} requests of {instance.service} "
                f"went to {rollout.target}",
            )

    def answered_badly(self, proxy: str, service: str, target: str) -> None:
        """Check an error response by an instance of a bad version."""
        disturbances, now = self._world.disturbances, self._world.time.now
        exposure = self._exposure(service, target)
        settled_since = disturbances.controllers_disturbed_at + CONTACT
        if exposure.counted_since < settled_since:
            exposure.counted_since, exposure.bad_answers = settled_since, 0
        if not disturbances.settled():
            return
        exposure.bad_answers += 1
        if exposure.bad_answers == CLEAR_AFTER:
            exposure.clear_at = now
        if (
            exposure.bad_answers > CLEAR_AFTER
            and now > exposure.clear_at + ROLLBACK
            and disturbances.proxy_in_contact(proxy)
        ):
            self._world.fail(
                Invariant.ROLLOUT_EXPOSURE,
                f"{service} {target} gets requests long after {CLEAR_AFTER} bad answers",
            )

    def _exposure(self, service: str, target: str) -> _Exposure:
        return self._exposures.setdefault((service, target), _Exposure())

"""A simple model of the replicated state against which the replicas are checked."""

import json
from typing import Any

from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation


class ReferenceModel:
    """Every state that any replica reports as committed, by version.

    The checks favour simplicity over speed.

    Attributes:
        states: the committed states as JSON texts, by version.
        acknowledged: the highest revision that any answer reported, by key.
        puts: number of successful puts.
        reads: number of successful reads.
        unavailable: number of calls answered without success.
    """

    def __init__(self) -> None:
        self.states: dict[Version, str] = {}
        self.acknowledged: dict[str, int] = {}
        self.puts = self.reads = self.unavailable = 0

    def see(self, now: int, version: Version, committed: dict[str, Any]) -> None:
        """Check and record a state that a replica reports as committed."""
        text = json.dumps(committed, sort_keys=True)
        if version in self.states:
            if self.states[version] != text:
                raise InvariantViolation(
                    Invariant.STATE_DIVERGED,
                    f"two states of version {version}: {self.states[version]} and {text}",
                    now,
                )
            return
        below = max((other for other in self.states if other < version), default=None)
        above = min((other for other in self.states if other > version), default=None)
        if below:
            self._check_follows(now, below, json.loads(self.states[below]), version, committed)
        if above:
            self._check_follows(now, version, committed, above, json.loads(self.states[above]))
        self.states[version] = text

    def _check_follows(
        self, now: int, before: Any, old: dict[str, Any], after: Any, new: dict[str, Any]
    ) -> None:
        for key, value in old.items():
            if key not in new or (key.startswith("config/") and new[key]["rev"] < value["rev"]):
                raise InvariantViolation(
                    Invariant.STATE_WENT_BACK,
                    f"{key} went back from {value} at {before} to {new.get(key)} at {after}",
                    now,
                )

    def check_end(self, now: int) -> None:
        """Check that under `any/` keys no earlier value returns after it was replaced.

        The periodic checks cannot detect this, as these keys accept any value.
        """
        history: dict[str, list[Any]] = {}
        for version in sorted(self.states):
            for key, value in json.loads(self.states[version]).items():
                if key.startswith("any/"):
                    past = history.setdefault(key, [])
                    if not past or past[-1] != value:
                        if value in past:
                            raise InvariantViolation(
                                Invariant.STATE_WENT_BACK,
                                f"{key} is {value} again at {version}",
                                now,
                            )
                        past.append(value)

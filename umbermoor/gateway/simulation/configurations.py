"""Configurations of a simulation run: those that operators send and those observed in force."""

import json
import random
from typing import Any

from umbermoor.gateway.simulation.schedule import SERVICES
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.simulation.virtual_time import VirtualTime

HOST = "h.example"
ENVELOPE = {"headerBytes": 16384, "bodyBytes": 1 << 20, "headerS": 3, "idleS": 15}
SERVICE_SETTINGS = {"probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}


class Configurations:
    """Request bodies by revision.

    A revision has one content, except those that are deliberately sent with two (twins).
    """

    def __init__(self, seed: int, time: VirtualTime) -> None:
        self.acknowledged: list[tuple[int, int]] = []  # time and revision
        self.newest_reported = 0  # the newest revision that any answer reported as in force
        self._seed = seed
        self._time = time
        self._sent: dict[int, bytes] = {}
        self._twins: dict[int, bytes] = {}  # second contents, by revision
        self._in_force: dict[int, bytes] = {}  # contents observed in force, by revision

    # What operators send

    def body(self, revision: int, routes: int) -> bytes:
        """Return the configuration of a revision; it is generated on first use."""
        if revision not in self._sent:
            configuration = {
                "revision": f"{revision:08x}",
                "routes": self._routes(revision, routes),
                "services": dict.fromkeys(SERVICES, SERVICE_SETTINGS),
                "envelope": ENVELOPE,
            }
            self._sent[revision] = json.dumps(configuration).encode()
        return self._sent[revision]

    def _routes(self, revision: int, count: int) -> dict[str, dict[str, Any]]:
        """Return `count` routes: one for each service, the rest with random names and services."""
        rng = random.Random(f"config {self._seed} {revision}")
        routes = {f"r-{service}": _service_route(service) for service in SERVICES}
        for index in range(count - len(SERVICES)):
            service = rng.choice(SERVICES)
            name = f"r-{rng.getrandbits(24):06x}-{index}"
            routes[name] = {
                "host": HOST,
                "prefix": f"/p{index}x{revision}/",
                "kind": "safe",
                "horizonS": 2,
                "priority": 2,
                "service": service,
                "tries": 2,
            }
        return routes

    def twin(self, revision: int, routes: int) -> bytes:
        """Generate a second, conflicting content for a revision."""
        configuration = json.loads(self.body(revision, routes))
        configuration["routes"]["r-twin"] = {
            "host": HOST,
            "prefix": "/twin/",
            "kind": "safe",
            "horizonS": 1,
            "service": SERVICES[0],
            "tries": 1,
        }
        self._twins[revision] = json.dumps(configuration).encode()
        return self._twins[revision]

    def invalid(self, revision: int, fault: int, truncated: bool) -> bytes:
        """Generate a configuration with one of four errors, optionally truncated as well.

        It must never come into force.
        """
        configuration = json.loads(self.body(revision, 3))
        del self._sent[revision]
        route = next(iter(configuration["routes"].values()))
        if fault == 0:
            route["service"] = "nowhere"
        elif fault == 1:
            route["tries"] = 0
        elif fault == 2:
            route["kind"] = "odd"
        else:
            route["setpointS"] = route["horizonS"] + 61
        return json.dumps(configuration).encode()[: -3 if truncated else None]

    def was_sent(self, revision: int) -> bool:
        """Whether a valid configuration with that revision was generated."""
        return revision in self._sent

    def has_twin(self, revision: int) -> bool:
        """Whether that revision was sent with two contents."""
        return revision in self._twins

    def newest_sent(self) -> int:
        """Return the highest revision sent."""
        return max(self._sent)

    def first_body(self, revision: int) -> bytes:
        """Return the first content that was sent for a revision."""
        return self._sent[revision]

    # Observations

    def reported(self, revision: int) -> None:
        """Record that an answer reported a revision as in force."""
        self.newest_reported = max(self.newest_reported, revision)

    def acknowledge(self, revision: int, body: bytes) -> None:
        """Record that a content was acknowledged to an operator."""
        if self._in_force.get(revision, body) != body:
            self._fail(
                Invariant.REVISION_REUSED,
                f"{revision} is acknowledged, and was in force with another content",
            )
        self.acknowledged.append((self._time.now, revision))
        self.reported(revision)

    def seen_in_force(
        self, revision: int, body: bytes, acknowledged: list[bytes], where: str
    ) -> None:
        """Check a content observed in force.

        It must be a content that was sent, and the only one in force under its revision.

        Args:
            revision: the revision under which the content was observed.
            body: the content.
            acknowledged: the acknowledged contents, for a revision that was sent with two.
            where: place of the observation, for the violation's text.
        """
        if body not in (self._sent.get(revision), self._twins.get(revision)):
            self._fail(
                Invariant.UNKNOWN_CONTENT,
                f"{revision} {where} with a content that was never sent, or was rejected",
            )
        if self._in_force.setdefault(revision, body) != body:
            self._fail(
                Invariant.REVISION_REUSED, f"{revision} {where} with another content than before"
            )
        if any(other != body for other in acknowledged):
            self._fail(
                Invariant.REVISION_REUSED,
                f"{revision} {where}, and another content of it was acknowledged",
            )

    def routes_in_force(self, revision: int, names: set[str], where: str) -> None:
        """Check that the route names in force at a proxy belong to a content of the revision."""
        # The controller that sent this content may have ended before the content was observed
        # anywhere else.
        candidates = (
            [self._in_force[revision]]
            if revision in self._in_force
            else [self._sent.get(revision), self._twins.get(revision)]
        )
        for body in candidates:
            if body and set(json.loads(body)["routes"]) == names:
                self._in_force[revision] = body
                return
        self._fail(
            Invariant.UNKNOWN_CONTENT,
            f"{where} has {revision} in force, which is not what the controllers hold",
        )

    def _fail(self, invariant: Invariant, detail: str) -> None:
        raise InvariantViolation(invariant, detail, self._time.now)


def _service_route(service: str) -> dict[str, Any]:
    return {
        "host": HOST,
        "prefix": f"/{service}/",
        "kind": "safe",
        "horizonS": 2,
        "setpointS": 0.5,
        "priority": 1,
        "service": service,
        "tries": 2,
    }

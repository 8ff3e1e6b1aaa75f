"""The configurations of a day: what operators send, and what is known to have been in force."""

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
    """Bodies by revision. A revision is sent with one content, but for those sent with two."""

    def __init__(self, seed: int, time: VirtualTime) -> None:
        self.acknowledged: list[tuple[int, int]] = []  # when, and which revision
        self.newest_told = 0  # the newest revision that an answer told of
        self._seed = seed
        self._time = time
        self._sent: dict[int, bytes] = {}
        self._twins: dict[int, bytes] = {}  # the second content of a revision
        self._in_force: dict[int, bytes] = {}  # contents seen in force, by revision

    # What operators send

    def body(self, revision: int, routes: int) -> bytes:
        """The configuration of a revision, made when it is first asked for."""
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
        """One route for each service, and others to make up the number."""
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
        """A second content for a revision."""
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
        """A configuration with one of four faults, or cut short as well; never to be in force."""
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
        """Whether a valid configuration of that revision was made."""
        return revision in self._sent

    def has_twin(self, revision: int) -> bool:
        """Whether that revision was sent with two contents."""
        return revision in self._twins

    def newest_sent(self) -> int:
        """The highest revision sent."""
        return max(self._sent)

    def first_body(self, revision: int) -> bytes:
        """The first content of a revision that was sent."""
        return self._sent[revision]

    # What is seen in force

    def told(self, revision: int) -> None:
        """An answer told that a revision was in force."""
        self.newest_told = max(self.newest_told, revision)

    def acknowledge(self, revision: int, body: bytes) -> None:
        """An operator got the acknowledgement of a content."""
        if self._in_force.get(revision, body) != body:
            self._fail(
                Invariant.REVISION_REUSED,
                f"{revision} is acknowledged, and was in force with another content",
            )
        self.acknowledged.append((self._time.now, revision))
        self.told(revision)

    def seen_in_force(
        self, revision: int, body: bytes, acknowledged: list[bytes], where: str
    ) -> None:
        """A content is in force: it must be one that was sent, and no other of the revision.

        `acknowledged`: the acknowledged contents of a revision that was sent with two.
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
        """A proxy routes by a revision: its routes must be those of a content that may stand."""
        # The controller that told it may have ended before anything else was seen of a content.
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

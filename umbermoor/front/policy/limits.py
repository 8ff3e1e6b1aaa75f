"""Which machines may take a query at all: the users' rules, and limits on the work of cold machines."""

from umbermoor.front.interface import Group, Repeat
from umbermoor.front.policy.exposure import MOVING, Exposure
from umbermoor.front.records import Machine, Query

COLD_SHARE = 0.7  # part that this front uses of its share of the work allowed on a cold machine


class Limits(Exposure):
    def may_still(self, now: int, query: str, number: int) -> bool:
        """Check the rules again after waiting for a connection, as if the hand-off had not been decided."""
        record = self.queries.get(query)
        if not record or record.hand_offs[number].ending is not None:
            return False
        machine = record.hand_offs[number].machine
        self._charge(record, machine, -1)
        may = self.machines.get(machine.id) is machine and self._allows(now, record.without(number), machine)
        self._charge(record, machine, 1)
        return may

    def _allows(self, now: int, query: Query, machine: Machine) -> bool:
        """Whether the query may go to the machine now; never to one that drains, even in `drain_grace`."""
        charter, profile, hand_offs = self.charter, self.charter.profiles[query.profile], query.hand_offs
        if (query.ended or now >= query.due or len(hand_offs) >= charter.most_hand_offs
                or not machine.ready or hand_offs and hand_offs[-1].ending is None and not charter.may_copy
                or (ran := query.first_run) and profile.repeat is Repeat.BINDING
                or ran and profile.repeat is Repeat.FINGERPRINTED and (now - ran.sent >= profile.window
                    or profile.group is Group.ZONE and machine.zone != ran.machine.zone
                    or profile.group is Group.CELL and machine.cell != ran.machine.cell)):
            return False
        if self._on_trial(machine.build):
            announced = (news := self.news) is not None and machine.build == news.build
            if news and (announced and news.cap <= 0 or not announced and news.phase in MOVING):
                return False  # a build that is rolled back may still use what is left of its cap
            guarded = (news.stage if announced else 0) < charter.guarded_stages
            if guarded and profile.repeat is not Repeat.RETRIABLE or self.credit[query.scope] < 1:
                return False
        elif query.key in self.answered_keys and machine.build < self.news.build:
            return False
        return self._warmth(now, machine) >= 1 or self._cold_room(now, machine) >= 0

    def _cold_room(self, now: int, machine: Machine) -> float:
        """Return the work that a cold machine may be sent, from the peak rate of a warm one here."""
        rate = self.peak_work_rate * COLD_SHARE * self.charter.fall_multiple * self._warmth(now, machine)
        machine.room = min(machine.room + rate * (now - machine.room_at), rate * self.charter.fall_span / 2)
        machine.room_at = now
        return machine.room

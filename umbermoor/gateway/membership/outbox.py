"""Outgoing messages and the updates that they carry."""

import random

from umbermoor.gateway.membership.codec import MAX_UPDATES, encode
from umbermoor.gateway.membership.local_member import LocalMember
from umbermoor.gateway.membership.member_table import MemberTable
from umbermoor.gateway.membership.messages import (
    Datagram,
    MemberState,
    MemberUpdate,
    Message,
    MessageType,
)
from umbermoor.gateway.membership.updates import UpdateQueue


class Outbox:
    """Collects the datagrams that result from one input to the failure detector."""

    def __init__(
        self, local: LocalMember, table: MemberTable, updates: UpdateQueue, rng: random.Random
    ) -> None:
        self._local = local
        self._table = table
        self._updates = updates
        self._rng = rng
        self._datagrams: list[Datagram] = []

    def send(
        self,
        to: str,
        kind: MessageType,
        sequence_number: int = 0,
        subject: str = "",
        fill_with_members: bool = False,
    ) -> None:
        """Add a message.

        Args:
            to: the receiver's address.
            kind: the type of the message.
            sequence_number: 0 if the message is neither a request nor an answer.
            subject: the third proxy that the message is about; "" for this proxy itself.
            fill_with_members: whether to fill the free space with members.
        """
        updates = self._updates_for(to, fill_with_members)
        local = self._local
        message = Message(
            kind,
            local.address,
            local.incarnation,
            sequence_number,
            subject or local.address,
            updates,
        )
        self._datagrams.append(Datagram(to, encode(message)))

    def _updates_for(self, to: str, fill_with_members: bool) -> list[MemberUpdate]:
        """Return the updates for a message to this address.

        Only members are sent gossip. A receiver that is suspect, departed, or known at a later
        incarnation than its own gets that as the first update (Lifeguard's buddy system).
        """
        updates: list[MemberUpdate] = []
        if self._local.leaving:
            updates.append(
                MemberUpdate(MemberState.LEFT, self._local.address, self._local.incarnation)
            )
        member = self._table.members.get(to)
        if member is None:
            departed = self._table.departed.get(to)
            if departed is not None and not departed.never_answered:
                updates.append(MemberUpdate(departed.state, to, departed.incarnation))
            return updates
        if member.suspicion is not None or member.outdated:
            updates.append(MemberUpdate(member.state, to, member.incarnation))
        updates += self._updates.take(MAX_UPDATES - len(updates), len(self._table.members))
        if fill_with_members:
            updates += self._sample_members(to, updates)
        return updates

    def _sample_members(self, to: str, updates: list[MemberUpdate]) -> list[MemberUpdate]:
        """Return random members that these updates do not name, as many as fit."""
        named = {to, *(update.address for update in updates)}
        members = self._table.members
        others = [address for address in members if address not in named]
        room = MAX_UPDATES - len(updates)
        return [
            MemberUpdate(members[address].state, address, members[address].incarnation)
            for address in self._rng.sample(others, min(len(others), room))
        ]

    def drain(self) -> list[Datagram]:
        """Return the collected datagrams and empty the outbox."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams

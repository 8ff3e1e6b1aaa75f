"""Replies to puts, sent to the replica whose host made the call.

The tail replies to an accepted write once it is committed; the head replies to a put that changes
nothing.
"""

from umbermoor.gateway.effects import Decision
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.messages import CallId, PutDone


def send_decision(context: Context, call: CallId, decision: Decision) -> None:
    """Send the decision on a conditional write to the replica that made the call."""
    done = PutDone(call.incarnation, call.number, decision.outcome, decision.reason)
    context.outbox.send(call.origin, done)

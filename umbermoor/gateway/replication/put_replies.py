"""The end of a put: its decision goes back to the replica whose host made the call.

The tail sends it once an accepted write is committed, the head where nothing changes.
"""

from umbermoor.gateway.effects import Decision
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.messages import CallId, PutDone


def send_decision(context: Context, call: CallId, decision: Decision) -> None:
    """Tell the caller what its conditional write came to."""
    done = PutDone(call.incarnation, call.number, decision.outcome, decision.reason)
    context.outbox.send(call.origin, done)

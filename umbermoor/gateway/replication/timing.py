"""Time spans of the replication protocol, in whole microseconds of one monotonic clock.

The safety of the protocol rests on one relation between them: `COLLECT_PROMISES_TIMEOUT` is shorter
than `DISK_LOSS_QUARANTINE`, because a promise must not count if its disk was lost meanwhile. A
replica that lost its disk waits for the quarantine before it asks for promises; by then, no attempt
still collects promises that it made before the loss. All other spans affect liveness only:
docs/consistency.md, "Which promises rest on time".

Spans that only one module uses are defined there: the lease and the clock gap in `leases`; how long
a write may take and when a disk is tried again in `write_queue`; the timeout and the resending of
calls in `requests`; the staggering of proposals in `view_triggers`.
"""

from umbermoor.gateway.units import MILLISECOND

HEARTBEAT_INTERVAL = 200 * MILLISECOND
ZONE_INTERVAL = 8  # every so many heartbeats, one carries the zone

# Failure detection uses three timeouts, as a false suspicion has a different cost in each case.
# After this time without a heartbeat, a peer is not heard, and its steady time starts again.
HEARD_TIMEOUT = 700 * MILLISECOND
# After this time without a heartbeat in the current view and with a healthy disk, a chain member is
# proposed for removal from the chain.
CHAIN_MEMBER_TIMEOUT = 800 * MILLISECOND
# A replica is in contact with a serving chain if it heard one of its members within this time.
SERVING_CONTACT_TIMEOUT = 1000 * MILLISECOND

# When a view is proposed.
UNSERVED_DELAY = 800 * MILLISECOND  # chain has not served for this long: propose a view
ACKNOWLEDGE_TIMEOUT = 1200 * MILLISECOND  # without acknowledgement, the successor is left out
NO_CHAIN_TIMEOUT = 2000 * MILLISECOND  # replica outside heard no serving chain: propose a view
STARTUP_GRACE = 400 * MILLISECOND  # time that a started replica waits for the others
STEADY_TIME = 1000 * MILLISECOND  # a replica heard for this long may enter the chain
STEADY_TIME_WHILE_DEGRADED = 400 * MILLISECOND  # the same while another loss would stop writes
EXCLUSION_TIME = 3000 * MILLISECOND  # how long a replica that did not enter a view is left out

# Agreement on a view.
COLLECT_PROMISES_TIMEOUT = 600 * MILLISECOND  # promises are collected for at most this long
PROMISE_GATHER_TIME = 250 * MILLISECOND  # time to wait for promises beyond a majority
ACCEPT_TIMEOUT = 1200 * MILLISECOND  # all members of the chain must accept within this time
RETRY_INTERVAL = 150 * MILLISECOND  # between repeated questions to other replicas
NEW_VIEW_RETRY = 400 * MILLISECOND
APPEND_RETRY = 250 * MILLISECOND
YIELD_DELAY = 700 * MILLISECOND  # shortest pause after promising another replica's epoch

# Reads.
READ_WAIT_TIMEOUT = 1000 * MILLISECOND  # longest wait of a read at the tail for a quorum round

# Bootstrap and state transfer.
DISK_LOSS_QUARANTINE = 1000 * MILLISECOND  # wait after a disk loss before asking for promises
FOUNDING_QUIET_TIME = 500 * MILLISECOND  # time without a new cold replica before the founding
FETCH_INTERVAL = 1000 * MILLISECOND

# Changes of the replica set.
SUCCESSION_TIMEOUT = 2000 * MILLISECOND  # a member unheard for this long may be succeeded
SUCCESSION_STAGGER = 250 * MILLISECOND  # delay per chain position before beginning a succession
CHANGE_TIMEOUT = 4000 * MILLISECOND  # a change not active by then is answered UNAVAILABLE

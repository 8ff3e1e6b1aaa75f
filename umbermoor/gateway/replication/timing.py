"""Time spans of the replication protocol, in whole microseconds of one monotonic clock.

One relation between them keeps the protocol safe: `COLLECT_PROMISES` is shorter than
`DISK_LOSS_QUARANTINE`, as the promise of a disk that was lost meanwhile must not count. All others
are for liveness: docs/consistency.md, "Which promises rest on time".

Spans that one module alone uses are beside what they bound: the lease and the clock gap in
`leases`; how long a disk may take and when it is tried again in `write_queue`; the timeout and the
resending of a call in `requests`; the staggering of proposals in `view_triggers`.
"""

from umbermoor.gateway.units import MILLISECOND

HEARTBEAT_INTERVAL = 200 * MILLISECOND
ZONE_INTERVAL = 8  # heartbeats from one that carries the zone to the next

# Failure detection: three timeouts, as a mistake costs something else in each case.
# A peer not heard for longer does not count as heard; its steady time begins anew.
HEARD_TIMEOUT = 700 * MILLISECOND
# A member of the chain not heard in its view, with a healthy disk, for longer is proposed out.
CHAIN_MEMBER_TIMEOUT = 800 * MILLISECOND
# A replica that heard a member of a serving chain no longer ago counts as in contact with it.
SERVING_CONTACT_TIMEOUT = 1000 * MILLISECOND

# When a view is proposed.
UNSERVED_DELAY = 800 * MILLISECOND  # a replica proposes once its chain has not served so long
ACKNOWLEDGE_TIMEOUT = 1200 * MILLISECOND  # a successor that acknowledges nothing so long is out
NO_CHAIN_HEARD = 2000 * MILLISECOND  # one outside that hears of no chain for so long proposes
STARTUP_GRACE = 400 * MILLISECOND  # a replica that has just started waits so long for the others
STEADY_TIME = 1000 * MILLISECOND  # heard for so long, one outside may be taken into the chain
STEADY_TIME_WHILE_DEGRADED = 400 * MILLISECOND  # the same while another loss would stop writes
EXCLUSION = 3000 * MILLISECOND  # one that did not follow into a view is left out for so long

# Agreement on a view.
COLLECT_PROMISES = 600 * MILLISECOND  # promises are collected for no longer
GATHER = 250 * MILLISECOND  # and beyond a majority of them for so long
ACCEPT_TIMEOUT = 1200 * MILLISECOND  # all of the chain must accept within this
RETRY_INTERVAL = 150 * MILLISECOND  # of questions to the others
NEW_VIEW_RETRY = 400 * MILLISECOND
APPEND_RETRY = 250 * MILLISECOND
YIELD = 700 * MILLISECOND  # who promised another's epoch proposes nothing for so long at least

# Reads.
READ_WAIT_TIMEOUT = 1000 * MILLISECOND  # a read waits no longer at the tail for a quorum round

# Bootstrap and state transfer.
DISK_LOSS_QUARANTINE = 1000 * MILLISECOND  # until a lost disk's replica asks what was promised
FOUNDING_QUIET = 500 * MILLISECOND  # no further cold replica appeared for so long: found
FETCH_INTERVAL = 1000 * MILLISECOND

# Changes of the replica set.
SUCCESSION = 2000 * MILLISECOND  # a member unheard for so long may be succeeded
SUCCESSION_STAGGER = 250 * MILLISECOND  # from one of the chain that begins it to the next
CHANGE_TIMEOUT = 4000 * MILLISECOND  # a change not active by then is answered UNAVAILABLE

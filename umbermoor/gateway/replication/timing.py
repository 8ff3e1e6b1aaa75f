"""Time spans of the replication protocol, in whole microseconds of one monotonic clock.

One relation between them keeps the protocol safe: `COLLECT_PROMISES` is shorter than
`DISK_LOSS_QUARANTINE`, as the promise of a disk that was lost meanwhile must not count. All others
are for liveness: docs/consistency.md, "Which promises rest on time". Leases: `leases`.
"""

MILLISECOND = 1000

HEARTBEAT_INTERVAL = 200 * MILLISECOND
HEARD_WITHIN = 1000 * MILLISECOND  # a heartbeat no older counts for contact with a serving chain
ZONE_INTERVAL = 8  # heartbeats from one that carries the zone to the next

# Failure detection, and when a view is proposed.
SILENCE = 800 * MILLISECOND  # one of the chain that is not heard, and healthy, for so long is out
ACKNOWLEDGE_TIMEOUT = 1200 * MILLISECOND  # so is the successor that acknowledges nothing
NO_CHAIN_HEARD = 2000 * MILLISECOND  # one outside that hears of no chain for so long proposes
STARTUP_GRACE = 400 * MILLISECOND  # a replica that has just started waits so long for the others
STEADY_WHILE_DEGRADED = 400 * MILLISECOND  # as peers.STEADY, while another loss would stop writes
EXCLUSION = 3000 * MILLISECOND  # one that did not follow into a view is left out for so long

# Agreement on a view.
COLLECT_PROMISES = 600 * MILLISECOND  # promises are collected for no longer
GATHER = 250 * MILLISECOND  # and beyond a majority of them for so long
ACCEPT_TIMEOUT = 1200 * MILLISECOND  # all of the chain must accept within this
RETRY_INTERVAL = 150 * MILLISECOND  # of questions to the others
NEW_VIEW_RETRY = 400 * MILLISECOND
APPEND_RETRY = 250 * MILLISECOND
YIELD = 700 * MILLISECOND  # who promised another's epoch proposes nothing for so long at least

# Bootstrap and state transfer.
DISK_LOSS_QUARANTINE = 1000 * MILLISECOND  # until a lost disk's replica asks what was promised
FOUNDING_QUIET = 500 * MILLISECOND  # no further cold replica appeared for so long: found
FETCH_INTERVAL = 1000 * MILLISECOND

# Changes of the replica set.
SUCCESSION = 2000 * MILLISECOND  # a member unheard for so long may be succeeded
CHANGE_TIMEOUT = 4000 * MILLISECOND  # a change not active by then is answered UNAVAILABLE

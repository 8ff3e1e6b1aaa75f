"""A SWIM failure detector among the proxies: tracks which proxies are alive.

Proxies divide a service's retry slack among themselves, so they must know their number even while
no controller can be reached. Each runs one `FailureDetector` (start reading at
`failure_detector.py`), a state machine without I/O; `umbermoor.gateway.server.datagrams` provides
its UDP socket and clock.

* `messages`: the messages between proxies; `codec`: their encoding.
* `member_table`: members, suspicions and departed proxies.
* `candidates`: addresses at which a proxy may run, until it answers a probe.
* `prober`: whom to ping, and how to handle answers; `probes`: probes in flight and their schedule.
* `local_member`: this proxy's own address, incarnation and refutations.
* `local_health`: Lifeguard's local health score of this proxy.
* `updates`: membership updates to be gossiped; `outbox`: the messages that carry them.

Times are whole microseconds of a monotonic clock. The only other module of the gateway that the
package imports is `units`. Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002.
"""

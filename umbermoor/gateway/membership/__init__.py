"""Which proxies are alive: a SWIM failure detector among the proxies themselves.

Proxies must know how many they are even while no controller can be reached, since they divide the
retry slack of a service among themselves. Each runs one `FailureDetector`
(`failure_detector.py`, to be opened first), a state machine without input or output of its own;
`umbermoor.gateway.server.datagrams` gives it a UDP socket and a clock.

* `messages`: what proxies send each other; `codec`: its bytes.
* `member_table`: members, their suspicion, and those that have departed.
* `candidates`: addresses at which a proxy may run, until one has answered.
* `prober`: whom to ping, and what follows from the answers; `probes`: those in flight, and turns.
* `local_member`: this proxy's own address and incarnation, and its refutations.
* `local_health`: Lifeguard's doubt of this proxy in itself.
* `updates`: changes of membership waiting to be gossiped; `outbox`: messages that carry them.

Times are whole microseconds of a clock that never goes back. Of the gateway outside itself the
package imports `units` alone. Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002.
"""

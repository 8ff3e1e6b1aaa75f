"""Distribution of configuration, rollouts and instances from controllers to proxies.

Distribution is pull based: a `subscriber.Subscriber` sends each controller a version vector, and
the controller's `publisher.Publisher` answers with the changes after it, immediately or by long
polling. `deltas` encodes a long text as the difference from a text that the receiver has;
`messages` defines the wire formats. The package imports `discovery.registry` and does no I/O.
Source of the vectors: Parker et al., "Detection of mutual inconsistency in distributed systems"
(1983).
"""

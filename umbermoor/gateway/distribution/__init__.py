"""Distribution of configuration, rollouts and instances from controllers to proxies.

Pull based: a `subscriber.Subscriber` shows each controller a version vector, and the controller's
`publisher.Publisher` answers with what came after it, at once or by long polling. `deltas` sends a
long text as its difference to one that the other side holds; `messages` has the formats on the
wire. The package imports `discovery.registry` and does no I/O. Source of the vectors: Parker et
al., "Detection of mutual inconsistency in distributed systems" (1983).
"""

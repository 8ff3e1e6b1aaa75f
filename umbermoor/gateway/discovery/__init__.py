"""Service discovery: which instances of the services there are, by their heartbeats.

Start with `registry.InstanceRegistry`, the table that a controller keeps, and
`registry.InstanceRecord`, one instance in it. The package imports nothing of the gateway and does
no I/O. Records merge like a state-based CRDT (Shapiro et al., 2011): `registry.superseding` is the
join, so controllers and proxies converge in whatever order updates reach them.
"""

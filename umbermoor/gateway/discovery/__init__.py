"""Service discovery: a registry of the instances of each service, based on their heartbeats.

Start with `registry.InstanceRegistry`, the table that a controller keeps, and
`registry.InstanceRecord`, one instance in it. The package imports no other part of the gateway and
does no I/O. Records merge as a state-based CRDT (Shapiro et al., 2011): `registry.superseding` is
the join, so controllers and proxies converge whatever the order in which updates reach them.
"""

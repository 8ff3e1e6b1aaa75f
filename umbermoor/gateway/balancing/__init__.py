"""Load balancing: which instance takes a request, and what happens when an attempt fails.

`request` holds the life of one request, `attempt_outcomes` what an event on a connection proves,
`instance` and `instances` the estimates by which an instance is chosen, `retry_budget` how many
retries are allowed. Open `request.RequestLifecycle` first. Nothing here does any I/O or reads a
clock: the caller passes the time, in microseconds of a steady clock. Imports `discovery.registry`
for the entries of instances, and `statistics`.
"""

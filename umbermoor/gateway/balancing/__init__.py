"""Load balancing: the choice of the instance for a request, and the handling of failed attempts.

`request` contains the lifecycle of one request, `attempt_outcomes` the meaning of each event on a
connection, `instance` and `instances` the estimates that the choice of an instance is based on, and
`retry_budget` the limit on retries. Start with `request.RequestLifecycle`. Nothing here does I/O or
reads a clock: the caller passes the time in microseconds of a monotonic clock. The package imports
`discovery.registry`, for instance records, and `statistics`.
"""

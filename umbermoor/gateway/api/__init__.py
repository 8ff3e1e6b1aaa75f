"""The controller's API: HTTP calls, and the decisions on what they write.

Start with `http_api.HttpApi`, an ASGI application over handlers that declare their call, and
`decisions.decide_write`, which the head of the chain asks about every write. The package imports
`effects` and the records of `rollout`, and does no I/O of its own.
"""

"""The controller's API: the HTTP calls, and the decisions on the writes that they request.

Start with `http_api.HttpApi`, an ASGI application that dispatches calls to handlers, and
`decisions.decide_write`, which the head of the chain calls for every write. The package imports
`effects` and parts of `rollout`, and does no I/O of its own.
"""

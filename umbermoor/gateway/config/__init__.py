"""Reads and validates a process's settings file and the operator's configurations.

Start with `node_settings.NodeSettings` and `configuration.parse`. Errors in the input are returned
as an `errors.ValidationError`. cerberus is imported at the first check. This package imports no
other part of the gateway except `units`.
"""

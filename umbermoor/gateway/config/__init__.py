"""The almanac: what a process is told. Its settings file, the operator's configurations, and routes
compiled from one.

`papers` and `configuration` need cerberus and load it when they first check something; `routes`
does without.
"""

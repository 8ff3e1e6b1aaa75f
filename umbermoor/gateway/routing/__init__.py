"""Chooses the route of a configuration that a request takes, by its host and path.

Open `route_table.RouteTable` first. This package imports `config.quantities` only.
"""

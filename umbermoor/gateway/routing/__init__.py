"""Routing: selects the route of a request by its host and path.

Start with `route_table.RouteTable`. This package imports `config.quantities` only.
"""

"""The API gateway: proxies that carry traffic, and controllers that replicate its control state.

The architecture is described in docs/ARCHITECTURE.md.
"""

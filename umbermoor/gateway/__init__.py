"""The gateway: fronts that carry traffic, a chain of core machines that holds what must last.
docs/ARCHITECTURE.md."""

"""Long-running measurements as commands. Each prints a table; --json FILE also saves its rows.

See docs/measurements.md.
"""

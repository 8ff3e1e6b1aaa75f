"""Traffic capture: a front records its queries and their outcomes for capacity planning.

See docs/capture.md.
"""

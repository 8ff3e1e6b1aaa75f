"""Capacity planner.

Reports which resource limit a fleet reaches first, how many machines the latency goal needs and
what the loss of a machine group does to it. See docs/planner.md.
"""

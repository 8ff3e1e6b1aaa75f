"""Lifecycle of a front: serving, drain and resume, snapshots over restarts, background work.

The modules do no I/O, except for the snapshot file and the operators' command.
"""

"""Membership: the machine list, from several sources that may fail, flap or disagree.

The modules do no I/O, except for the saved list. See docs/service-discovery.md.
"""

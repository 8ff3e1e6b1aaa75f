"""Days on loopback, in real time.

The models run as stand-in servers; fronts are real processes, started as operators start them, and
a process of its own generates the load.
"""

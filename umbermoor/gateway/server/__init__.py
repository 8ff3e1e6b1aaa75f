"""The processes of the gateway: a proxy and a controller on sockets, an LMDB store and clocks.

The state machines of the other packages do no I/O; this package carries out what they return.
"""

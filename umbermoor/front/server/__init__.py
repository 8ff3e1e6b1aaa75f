"""The network layer of the front: Twisted sockets around the decision module."""

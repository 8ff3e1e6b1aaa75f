"""The real front: sockets around the decision module, on Twisted."""

"""HTTP/1.1 messages without I/O (RFC 9112), shared by the gateway and the front in service.

`reader.Reader` parses requests or responses out of the bytes of a connection, `writer` serializes
them, `buffers` holds what is received of a message that is not complete yet. Nothing here imports
another package of umbermoor or opens a socket: the servers own the connections.
"""

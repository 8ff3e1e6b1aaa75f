"""HTTP/1.1 messages without I/O (RFC 9112), shared by the gateway and the front in service.

`reader.Reader` parses requests or responses from the bytes of a connection, `writer` serializes
them, `buffers` stores the received part of an incomplete message. Nothing here imports another
package of umbermoor or opens a socket: the servers own the connections.
"""

"""Bounds the memory used by responses that clients do not read."""

from collections.abc import Iterable

from umbermoor.gateway.server.client_connection import ClientConnection


def abort_slow_readers(connections: Iterable[ClientConnection], max_bytes: int) -> int:
    """Abort connections whose clients do not read, until the rest buffer at most `max_bytes`.

    Guards against many clients that do not read. The largest buffers are dropped first.

    Returns:
        The number of aborted connections.
    """
    unread = sorted(
        (
            (connection.transport.get_write_buffer_size(), position, connection)
            for position, connection in enumerate(connections)
            if connection.writing_paused
        ),
        reverse=True,
    )
    surplus = sum(size for size, _, _ in unread) - max_bytes
    aborted = 0
    for size, _, connection in unread:
        if surplus <= 0:
            break
        connection.transport.abort()
        surplus -= size
        aborted += 1
    return aborted

"""TCP relay in front of an address that can go silent or lose responses."""

import asyncio
from enum import Enum

READ_BYTES = 1 << 16


class Mode(Enum):
    """How a relay treats the data of both directions."""

    PASS = "pass"
    SILENT = "silent"  # holds data back, as a network cut does
    LOSE_RESPONSES = "lose_answers"  # closes instead of forwarding a response


class Relay:
    """Listens at one address and forwards connections to another."""

    def __init__(self, host: str, target: str) -> None:
        """Create a relay that listens on a free port of `host`; `target` is ip:port."""
        self.mode = Mode.PASS
        self.address = ""
        self._host, self._target = host, target
        self._forwarding = asyncio.Event()
        self._forwarding.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, also for open connections."""
        self.mode = mode
        if mode is Mode.SILENT:
            self._forwarding.clear()
        else:
            self._forwarding.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        writers = [writer]
        try:
            await self._forwarding.wait()
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            writers.append(target_writer)
            await asyncio.gather(
                self._copy(reader, target_writer, responses=False),
                self._copy(target_reader, writer, responses=True),
            )
        except (OSError, asyncio.CancelledError):
            for open_writer in writers:
                open_writer.transport.abort()
        finally:
            for open_writer in writers:
                open_writer.close()
            self._tasks.discard(task)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, responses: bool
    ) -> None:
        while data := await reader.read(READ_BYTES):
            await self._forwarding.wait()
            if responses and self.mode is Mode.LOSE_RESPONSES:
                raise ConnectionError("response dropped by the relay")
            writer.write(data)
            await writer.drain()
        await self._forwarding.wait()
        writer.write_eof()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

"""A TCP relay before an address: it can go silent, reset, or lose answers on their way back."""

import asyncio
from enum import Enum

READ_BYTES = 1 << 16


class Mode(Enum):
    """What a relay does with the bytes of both sides."""

    PASS = "pass"
    SILENT = "silent"  # holds them back, as a cut does
    LOSE_ANSWERS = "lose_answers"  # closes when an answer comes, and does not pass it on


class Relay:
    """Listens at an address and passes on to another."""

    def __init__(self, host: str, target: str) -> None:
        """`host`: where it listens, at a free port; `target`: ip:port."""
        self.mode = Mode.PASS
        self.address = ""
        self._host, self._target = host, target
        self._passing = asyncio.Event()
        self._passing.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    def set_mode(self, mode: Mode) -> None:
        """Changes what it does, for open connections too."""
        self.mode = mode
        if mode is Mode.SILENT:
            self._passing.clear()
        else:
            self._passing.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        writers = [writer]
        try:
            await self._passing.wait()
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            writers.append(far_writer)
            await asyncio.gather(
                self._copy(reader, far_writer, answers=False),
                self._copy(far_reader, writer, answers=True),
            )
        except (OSError, asyncio.CancelledError):
            for one in writers:
                one.transport.abort()
        finally:
            for one in writers:
                one.close()
            self._tasks.discard(task)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool
    ) -> None:
        while data := await reader.read(READ_BYTES):
            await self._passing.wait()
            if answers and self.mode is Mode.LOSE_ANSWERS:
                raise ConnectionError("the answer is lost")
            writer.write(data)
            await writer.drain()
        await self._passing.wait()
        writer.write_eof()

    def stop(self) -> None:
        """Ends all connections."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

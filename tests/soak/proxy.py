"""A loopback proxy that spoils connections: delayed, silent, cut, reset."""

import asyncio
import socket
import time

from users_platform import reset


class Proxy:
    """Forwards one port to another. `mode`: pass, delay, silent, no_answers
    (bytes toward the server pass, those back do not), refuse. Besides, it may
    fall silent and go on: then no byte passes and connections wait."""

    def __init__(self, runner, target_port):
        self.runner, self.target = runner, target_port
        self.mode, self.delay = "pass", 0.05
        self.pairs = set()
        self.watches = 0  # watches of the store that passed toward the server
        self.silent_until = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.server = asyncio.run_coroutine_threadsafe(self._listen(), runner.loop)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def _listen(self):
        loop, serving = asyncio.get_running_loop(), set()
        while True:
            if not self.is_silent():
                self.listener.listen()
            accepted, _ = await loop.sock_accept(self.listener)
            while self.is_silent():
                await asyncio.sleep(0.02)
            streams = await asyncio.open_connection(sock=accepted)
            serving.add(loop.create_task(self._accept(*streams)))

    def fall_silent(self, seconds):
        self.silent_until = time.monotonic() + seconds
        self.listener.listen(0)  # one connection is taken, others wait

    def is_silent(self):
        return time.monotonic() < self.silent_until

    async def _accept(self, reader, writer):
        if self.mode == "refuse":
            return reset(writer)
        try:
            there = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return reset(writer)
        pair = (writer, there[1])
        self.pairs.add(pair)
        try:
            await asyncio.gather(self._pump(reader, there[1], False),
                                 self._pump(there[0], writer, True))
        finally:
            self.pairs.discard(pair)
            for each in pair:
                each.close()

    async def _pump(self, reader, writer, answers):
        try:
            while data := await reader.read(65536):
                while self.is_silent() or self.mode == "silent" or (
                        answers and self.mode == "no_answers"):
                    await asyncio.sleep(0.02)
                if not answers:
                    self.watches += data.count(b"watch=")
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            writer.transport.abort()

    def cut(self):
        """Resets every connection."""

        async def end():
            for pair in list(self.pairs):
                for each in pair:
                    reset(each)

        self.runner.call(end())

    def close(self):
        self.cut()
        self.server.cancel()
        self.listener.close()

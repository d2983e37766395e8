"""A loopback proxy that spoils connections: delayed, silent, cut, reset."""

import asyncio

from users_platform import reset


class Proxy:
    """Forwards one port to another. `mode`: pass, delay, silent, no_answers
    (bytes toward the server pass, those back do not), refuse."""

    def __init__(self, runner, target_port):
        self.runner, self.target = runner, target_port
        self.mode, self.delay = "pass", 0.05
        self.pairs = set()
        self.watches = 0  # watches of the store that passed toward the server
        self.server = runner.call(self._listen())
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def _listen(self):
        return await asyncio.start_server(self._accept, "127.0.0.1", 0)

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
                while self.mode == "silent" or (answers and
                                                self.mode == "no_answers"):
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
        self.runner.call(self._end())

    async def _end(self):
        self.server.close()

"""Links between daemons, and from each to the store, that can be cut in silence.

Daemons know each other by the addresses in their entries and messages. Each
pair of machines gets relays of its own: host i is known to host j by a port that
leads to i and is used by j alone. As bytes pass, the addresses in them are
replaced by those that the receiver uses; all are of one length."""
import asyncio
import time

from kit2 import free_ports


def text(port):
    return f"127.0.0.1:{port}".encode()


class Replacer:
    """Replaces byte strings of one length in a stream that comes in pieces."""

    def __init__(self, table):
        self.table, self.held = table, b""

    def feed(self, data):
        data = self.held + data
        for old, new in self.table.items():
            data = data.replace(old, new)
        self.held = b""
        for length in range(len(b"127.0.0.1:65535") - 1, 0, -1):
            if any(old.startswith(data[-length:]) for old in self.table):
                data, self.held = data[:-length], data[-length:]
                break
        return data


class Links:
    """All links. `cut` holds the names of the machines that are cut off: no
    byte passes to or from them, and connections wait."""

    def __init__(self, runner, store_port, peers, asks_again=()):
        """`peers`: the own port of each machine by its name. `asks_again`:
        seconds after which a system asks once more for a connection that the
        cut has swallowed; without them it comes about at the cut's end."""
        self.runner, self.peers, self.asks_again = runner, peers, asks_again
        self.cut = set()
        self.servers, self.transports = [], []
        self.writers = set()
        names = list(peers)
        ports = iter(free_ports(len(names) * len(names)))
        self.known = {(of, to): next(ports)  # of is known to `to` by this port
                      for of in names for to in names if of != to}
        self.store_ports = {}
        runner.call(self._start(store_port))

    def known_to(self, of, to):
        return text(self.peers[of] if of == to else self.known[of, to])

    def table(self, sender, receiver):
        """What the sender calls each machine: what the receiver calls it."""
        return {self.known_to(each, sender): self.known_to(each, receiver)
                for each in self.peers}

    async def _start(self, store_port):
        loop = asyncio.get_running_loop()
        for (of, to), port in self.known.items():
            transport, _ = await loop.create_datagram_endpoint(
                lambda of=of, to=to: Relay(self, (of, to), self.table(to, of)),
                local_addr=("127.0.0.1", port))
            self.transports.append(transport)
            self.servers.append(await asyncio.start_server(
                self._acceptor({of, to}, self.peers[of], self.table(to, of),
                               self.table(of, to)), "127.0.0.1", port))
        for name in self.peers:
            from_store = {text(self.peers[each]): self.known_to(each, name)
                          for each in self.peers if each != name}
            server = await asyncio.start_server(
                self._acceptor({name}, store_port, {}, from_store),
                "127.0.0.1", 0)
            self.servers.append(server)
            self.store_ports[name] = server.sockets[0].getsockname()[1]

    def _acceptor(self, ends, port, there, back):
        async def accept(reader, writer):
            pair = {writer}
            self.writers |= pair
            if not await self._connected(reader, ends):
                self.writers -= pair
                return writer.transport.abort()
            try:
                other = await asyncio.open_connection("127.0.0.1", port)
                pair.add(other[1])
                self.writers |= pair
                await asyncio.gather(self._pump(reader, other[1], ends, there),
                                     self._pump(other[0], writer, ends, back))
            except OSError:
                pass
            self.writers -= pair
            for each in pair:
                each.transport.abort()
        return accept

    async def _connected(self, reader, ends):
        """Waits until a connection comes about; False if its opener gave up."""
        asked = time.monotonic()
        if self.asks_again and not self.cut.isdisjoint(ends):
            for after in self.asks_again:
                await asyncio.sleep(max(0, asked + after - time.monotonic()))
                if reader._eof:  # though bytes may be left to read
                    return False
                if self.cut.isdisjoint(ends):
                    return True
        while not self.cut.isdisjoint(ends):
            await asyncio.sleep(0.02)
        return True

    async def _pump(self, reader, writer, ends, table):
        replacer = Replacer(table) if table else None
        try:
            while data := await reader.read(65536):
                while not self.cut.isdisjoint(ends):
                    await asyncio.sleep(0.02)
                writer.write(replacer.feed(data) if replacer else data)
                await writer.drain()
            while not self.cut.isdisjoint(ends):
                await asyncio.sleep(0.02)
            if replacer and replacer.held:
                writer.write(replacer.held)
            writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            writer.transport.abort()

    def close(self):
        async def end():
            self.cut.clear()
            for each in [*self.servers, *self.transports]:
                each.close()
            for each in list(self.writers):
                each.transport.abort()
            await asyncio.sleep(0.2)

        self.runner.call(end())


class Relay(asyncio.DatagramProtocol):
    """Passes datagrams on to the first of its ends."""

    def __init__(self, links, ends, table):
        self.links, self.ends, self.table = links, ends, table

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        if not self.links.cut.isdisjoint(self.ends):
            return
        replacer = Replacer(self.table)
        data = replacer.feed(data) + replacer.held
        self.transport.sendto(data, ("127.0.0.1", self.links.peers[self.ends[0]]))

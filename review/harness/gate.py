"""A proxy before a worker that can hold back new connections.

While it is shut, the queue of its listening socket is full: the system drops
the opening packets of new connections, which hang as they do behind a
partition. Open connections are not touched, but for reset_all().
"""

import asyncio
import socket
import struct


class Gate:
    def __init__(self, ip, target):
        self.ip, self.target = ip, target
        self.listener = socket.socket()
        self.listener.bind((ip, 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address = "%s:%d" % self.listener.getsockname()
        self.fillers = []
        self.pairs = set()
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            asyncio.create_task(self.serve(connection))

    async def serve(self, connection):
        ip, port = self.target.split(":")
        connection.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            other_reader, other_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, other_writer)
        self.pairs.add(pair)
        await asyncio.gather(self.copy(reader, other_writer), self.copy(other_reader, writer))
        self.pairs.discard(pair)

    @staticmethod
    async def copy(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.write_eof()
            await asyncio.sleep(0.05)
            writer.close()
        except (OSError, RuntimeError, asyncio.CancelledError):
            reset(writer)

    async def shut(self):
        if self.fillers:
            return
        self.accepting.cancel()
        ip, port = self.address.split(":")
        loop = asyncio.get_running_loop()
        while True:
            filler = socket.socket()
            filler.setblocking(False)
            self.fillers.append(filler)
            try:
                await asyncio.wait_for(loop.sock_connect(filler, (ip, int(port))), 0.05)
            except asyncio.TimeoutError:
                return

    def open(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        while True:
            try:
                self.listener.accept()[0].close()
            except BlockingIOError:
                break
        self.accepting = asyncio.create_task(self.accept())

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)

    def close(self):
        self.accepting.cancel()
        for filler in self.fillers:
            filler.close()
        self.reset_all()
        self.listener.close()


def reset(writer):
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.transport.abort()

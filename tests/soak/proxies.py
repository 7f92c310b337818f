"""TCP proxy on loopback that delays, resets or blocks connections."""

import asyncio
import contextlib
import enum
import socket
import struct


class LinkFault(enum.Enum):
    """Faults that a proxy applies to its connections.

    CUT_UPSTREAM blocks the bytes to the server, CUT_DOWNSTREAM those to the
    client, SILENT both.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_UPSTREAM = "cut_there"
    CUT_DOWNSTREAM = "cut_back"
    SILENT = "silent"


# Faults that block the bytes to the server, and those that block its answers.
BLOCKS_UPSTREAM = frozenset({LinkFault.CUT_UPSTREAM, LinkFault.SILENT})
BLOCKS_DOWNSTREAM = frozenset({LinkFault.CUT_DOWNSTREAM, LinkFault.SILENT})
DELAY_S = 0.3


class Proxy:
    """Forwards connections to one address.

    Bytes held back by a fault are delivered when it ends, as a network would
    by retransmission.
    """

    def __init__(self, target):
        self.target = target
        self.address = ("", 0)
        self.fault = LinkFault.NONE
        self.changed = asyncio.Event()
        self.writers = set()
        self.tasks = set()
        self.server = None

    async def start(self, stack, ip, port=0):
        await self._listen(ip, port)
        stack.callback(self._close)

    def stop(self):
        """Ends all connections and listens no more, as if the target ended."""
        self.server.close()
        self._reset_all()

    async def restart(self):
        await self._listen(*self.address)

    async def _listen(self, ip, port):
        self.server = await asyncio.start_server(self._accept, ip, port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def set_fault(self, fault):
        self.fault = fault
        self.changed.set()
        self.changed = asyncio.Event()
        if fault is LinkFault.RESET:
            self._reset_all()

    async def _accept(self, reader, writer):
        if self.fault is LinkFault.RESET:
            _reset(writer)
            return
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self._forward(reader, writer)
        except OSError:
            _reset(writer)
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)

    async def _forward(self, reader, writer):
        upstream_reader, upstream_writer = await asyncio.open_connection(
            *self.target
        )
        self.writers.add(upstream_writer)
        pumps = [
            asyncio.ensure_future(
                self._pump(reader, upstream_writer, BLOCKS_UPSTREAM)
            ),
            asyncio.ensure_future(
                self._pump(upstream_reader, writer, BLOCKS_DOWNSTREAM)
            ),
        ]
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            self.writers.discard(upstream_writer)
            with contextlib.suppress(OSError):
                upstream_writer.close()
                writer.close()

    async def _pump(self, reader, writer, blocking_faults):
        while True:
            data = await reader.read(65536)
            while self.fault in blocking_faults:
                await self.changed.wait()
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(DELAY_S)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()

    def _reset_all(self):
        for writer in list(self.writers):
            _reset(writer)

    def _close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()


def _reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()

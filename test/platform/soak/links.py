"""Loopback proxies between processes of the fleet: datagrams and streams, with faults set from outside."""

import asyncio
import socket
import struct


class Link:
    """What one process sends to another, and the answers. Each direction can be cut, and all of it delayed."""

    def __init__(self, alias, target, feed_port, stream_port):
        self.alias = alias
        self.target = target
        self.ports = (feed_port, stream_port)
        self.cut_forward = False
        self.cut_back = False
        self.delay = 0.0
        self.silent = False
        self.writers = set()

    async def open(self):
        loop = asyncio.get_running_loop()
        _, self.datagrams = await loop.create_datagram_endpoint(
            lambda: _Forward(self), local_addr=(self.alias, self.ports[0]))
        self.streams = await asyncio.start_server(self._accept, self.alias, self.ports[1])

    def close(self):
        """Closes all sockets, so that the next world can use the addresses."""
        self.reset_streams()
        self.streams.close()
        self.datagrams.close()

    def reset_streams(self):
        """Resets every open stream of the link."""
        for writer in list(self.writers):
            transport = writer.transport
            raw = transport.get_extra_info("socket")
            if raw is not None and not transport.is_closing():
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                transport.abort()

    async def _accept(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(self.target, self.ports[1])
        except OSError:
            writer.transport.abort()
            return
        # A stream that was silenced stays so; new ones work.
        state = {"silent": False}
        pair = (writer, other_writer)
        self.writers.update(pair)
        try:
            await asyncio.gather(self._pump(reader, other_writer, "cut_forward", state),
                                 self._pump(other_reader, writer, "cut_back", state), return_exceptions=True)
        except asyncio.CancelledError:
            pass  # the soak ends
        for each in pair:
            self.writers.discard(each)
            each.transport.abort()

    async def _pump(self, reader, writer, cut, state):
        while data := await reader.read(65536):
            state["silent"] = state["silent"] or self.silent
            if self.delay:
                await asyncio.sleep(self.delay)
            # Bytes of a stream cannot be left out: a cut holds up the whole stream.
            while getattr(self, cut) or state["silent"]:
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()


class _Forward(asyncio.DatagramProtocol):
    """Receives what the sending process sends, and opens a way back for each of its ports."""

    def __init__(self, link):
        self.link = link
        self.ways = {}

    def connection_made(self, transport):
        self.transport = transport

    def close(self):
        for transport in (self.transport, *self.ways.values()):
            transport.close()

    def datagram_received(self, data, source):
        if not self.link.cut_forward:
            asyncio.get_running_loop().create_task(self._send(data, source))

    async def _send(self, data, source):
        if self.link.delay:
            await asyncio.sleep(self.link.delay)
        if source not in self.ways:
            way, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: _Back(self, source), remote_addr=(self.link.target, self.link.ports[0]))
            self.ways[source] = way
        if not self.ways[source].is_closing():
            self.ways[source].sendto(data)


class _Back(asyncio.DatagramProtocol):

    def __init__(self, forward, source):
        self.forward = forward
        self.source = source

    def datagram_received(self, data, _):
        link = self.forward.link
        if not link.cut_back:
            asyncio.get_running_loop().call_later(link.delay, self._send, data)

    def _send(self, data):
        if not self.forward.transport.is_closing():
            self.forward.transport.sendto(data, self.source)

    def error_received(self, _):
        """The target is down; a datagram has no answer then."""

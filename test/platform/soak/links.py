"""UDP and TCP proxies on loopback between processes of the cluster, with injectable faults."""

import asyncio
import socket
import struct


class Link:
    """Proxy from one process to another. Each direction can be blocked; a delay applies to both."""

    def __init__(self, alias, target, feed_port, stream_port):
        self.alias = alias
        self.target = target
        self.ports = (feed_port, stream_port)
        self.blocked_forward = False
        self.blocked_back = False
        self.delay = 0.0
        self.streams_stalled = False
        self.writers = set()

    async def open(self):
        loop = asyncio.get_running_loop()
        _, self.datagrams = await loop.create_datagram_endpoint(
            lambda: _ForwardProxy(self), local_addr=(self.alias, self.ports[0]))
        self.streams = await asyncio.start_server(self._accept, self.alias, self.ports[1])

    def close(self):
        """Closes all sockets, so that the next cluster can bind the same addresses."""
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
            target_reader, target_writer = await asyncio.open_connection(self.target, self.ports[1])
        except OSError:
            writer.transport.abort()
            return
        # A stalled stream stays stalled; new streams work.
        state = {"stalled": False}
        pair = (writer, target_writer)
        self.writers.update(pair)
        try:
            await asyncio.gather(self._pump(reader, target_writer, "blocked_forward", state),
                                 self._pump(target_reader, writer, "blocked_back", state), return_exceptions=True)
        except asyncio.CancelledError:
            pass  # the soak stops
        for stream_writer in pair:
            self.writers.discard(stream_writer)
            stream_writer.transport.abort()

    async def _pump(self, reader, writer, blocked, state):
        while data := await reader.read(65536):
            state["stalled"] = state["stalled"] or self.streams_stalled
            if self.delay:
                await asyncio.sleep(self.delay)
            # Bytes of a stream cannot be dropped, so a blocked direction holds up the whole stream.
            while getattr(self, blocked) or state["stalled"]:
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()


class _ForwardProxy(asyncio.DatagramProtocol):
    """Receives datagrams of the sending process and opens a return socket for each of its ports."""

    def __init__(self, link):
        self.link = link
        self.return_sockets = {}

    def connection_made(self, transport):
        self.transport = transport

    def close(self):
        for transport in (self.transport, *self.return_sockets.values()):
            transport.close()

    def datagram_received(self, data, source):
        if not self.link.blocked_forward:
            asyncio.get_running_loop().create_task(self._send(data, source))

    async def _send(self, data, source):
        if self.link.delay:
            await asyncio.sleep(self.link.delay)
        if source not in self.return_sockets:
            return_socket, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: _ReturnProxy(self, source), remote_addr=(self.link.target, self.link.ports[0]))
            self.return_sockets[source] = return_socket
        if not self.return_sockets[source].is_closing():
            self.return_sockets[source].sendto(data)


class _ReturnProxy(asyncio.DatagramProtocol):

    def __init__(self, forward, source):
        self.forward = forward
        self.source = source

    def datagram_received(self, data, _):
        link = self.forward.link
        if not link.blocked_back:
            asyncio.get_running_loop().call_later(link.delay, self._send, data)

    def _send(self, data):
        if not self.forward.transport.is_closing():
            self.forward.transport.sendto(data, self.source)

    def error_received(self, _):
        """Ignores the error of a target that is down; its datagram stays unanswered."""

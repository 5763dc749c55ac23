"""Targets and clients of the scripted cases, as the users' pages describe them, and a proxy that can hold up bytes."""

import asyncio
import json
import random
import time

from wire import ACK, FIN, RST, SYN, Packet, call, encode_packet  # the project's own encoding of the platform's packets

from deployment import HEARTBEAT_MS

#: Targets and clients put this in place of the keyed sum; resets of the system carry 0.
SUM = 0x5AFE
OPENING_DELAYS = (0.2, 0.4, 0.8)  # s between the transmissions of a SYN; then the attempt ends
RETRANSMISSION_DELAYS = (0.2, 0.4, 0.8, 1.6)  # s


class Target(asyncio.DatagramProtocol):
    """Accepts flows, runs requests and sends heartbeats. A start begins without flows and with new counts."""

    def __init__(self, deployment, number, service, zone):
        self.deployment = deployment
        self.record = deployment.record
        self.address = deployment.address(3, number)
        self.service = service
        self.zone = zone
        self.id = f"i-{random.getrandbits(40):010x}"
        self.controls = []  # addresses under which it reaches the nodes that serve control, in the order of preference
        self.transport = self.health = self.task = None
        self.ran = []  # (time, id of the request)
        self.opened = []  # times at which it took an opening packet

    @property
    def number(self):
        return int(self.id[2:], 16)

    async def start(self, cold_s=0.0):
        self.born, self.started, self.cold_s = int(time.time() * 1000), time.monotonic(), cold_s
        self.seq, self.state, self.flows = 0, "ready", {}
        port = self.deployment.target_port
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, port))
        self.health = await asyncio.start_server(self._answer_health, self.address, port, reuse_address=True)
        self.record.line(f"target {self.id} at {self.address} ({self.service}, {self.zone}) starts, born {self.born}")
        self.task = asyncio.create_task(self._send_heartbeats())

    def end(self):
        if self.task:
            self.task.cancel()
        for server in (self.transport, self.health):
            if server:
                server.close()
        self.transport = self.health = self.task = None

    async def leave(self, drain_s):
        """Reports that it drains, serves on for a while, then says that it leaves and ends."""
        self.state = "draining"
        acknowledged = await self._call("PUT", True)
        self.record.line(f"target {self.id} drains, acknowledged: {acknowledged}")
        await asyncio.sleep(drain_s)
        self.task.cancel()
        acknowledged = await self._call("DELETE", True)
        self.record.line(f"target {self.id} has left, acknowledged: {acknowledged}")
        self.end()

    async def _answer_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _send_heartbeats(self):
        while True:
            await self._call("PUT", False)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _call(self, method, verbose):
        """Calls one node after the other until one answers with 2xx within a second."""
        for host in list(self.controls):
            body = None
            if method == "PUT":
                self.seq += 1
                cold = max(0, int(1000 * (self.cold_s - (time.monotonic() - self.started))))
                body = {"service": self.service, "address": f"{self.address}:{self.deployment.target_port}",
                        "zone": self.zone, "version": "v1", "slots": 2, "state": self.state,
                        "cold_remaining_ms": cold, "seq": self.seq, "born": self.born}
            status, _, _ = await call(host, self.deployment.control_port, method, f"/zinniamount/instances/{self.id}",
                                      body)
            if verbose or status != 200:
                self.record.line(f"target {self.id} {method} {self.state} to {host}: {status or 'no answer'}")
            if 200 <= status < 300:
                return True
            self.controls.append(self.controls.pop(0))
        return False

    def datagram_received(self, raw, _):
        if int.from_bytes(raw[:8], "big") not in (0, self.number):
            return
        packet = Packet(raw[8:])
        flow = self.flows.get(packet.source)
        if packet.flags & SYN:
            if packet.flags & ACK or (flow and flow["first"] != packet.seq):
                return
            if not flow:
                flow = self.flows[packet.source] = {"first": packet.seq, "seq": random.getrandbits(31), "answers": {},
                                                    "next": packet.seq + 1}
                self.opened.append(time.monotonic())
            self._send(packet, flow["seq"], packet.seq + 1, SYN | ACK)
        elif flow is None:
            if not packet.flags & RST:
                self._send(packet, packet.ack, packet.seq, RST)
        elif packet.flags & RST:
            del self.flows[packet.source]
        elif packet.flags & FIN:
            self._send(packet, packet.ack, packet.seq + 1, ACK)
            del self.flows[packet.source]
        elif packet.data:
            if packet.seq == flow["next"]:
                flow["next"] += len(packet.data)
                request = json.loads(packet.data)
                self.ran.append((time.monotonic(), request["id"]))
                self.record.line(f"target {self.id} runs {request['id']}")
                closes = self.state == "draining"
                flow["answers"][packet.seq] = json.dumps({"id": request["id"], "by": self.id, "closes": closes}).encode()
            self._send(packet, packet.ack, flow["next"], ACK, flow["answers"].get(packet.seq, b""))

    def _send(self, received, seq, ack, flags, data=b""):
        if self.transport:
            self.transport.sendto(encode_packet(received.destination, received.source, seq, ack, received.token, flags,
                                                data, SUM), (received.source[0], self.deployment.packet_port))


class Client(asyncio.DatagramProtocol):
    """Sends requests in flows through one router, as the platform's hash does while the set of routers stays."""

    def __init__(self, deployment, number, router, service="peillogger"):
        self.deployment = deployment
        self.record = deployment.record
        self.address = deployment.address(4, number)
        self.router = router
        self.route = {"peillogger": ("198.18.0.1", 443), "archief": ("198.18.0.2", 443)}[service]
        self.port = 40000
        self.inboxes = {}
        self.transport = None
        self.resets = []  # resets of the system in open flows: (time, target)
        self.served = self.failed = 0

    async def start(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.deployment.packet_port))

    def close(self):
        if self.transport:
            self.transport.close()

    def datagram_received(self, raw, _):
        packet = Packet(raw)
        if inbox := self.inboxes.get(packet.destination[1]):
            inbox.put_nowait(packet)

    def _send(self, flow, flags, data=b""):
        self.transport.sendto(encode_packet((self.address, flow["port"]), self.route, flow["seq"], flow["ack"],
                                            flow["token"], flags, data, SUM),
                              (self.router.address, self.deployment.packet_port))

    async def _exchange(self, flow, flags, data, delays, matches):
        """Sends a packet and its copies until an answer or a reset arrives; None if there is neither."""
        for copy, delay in enumerate(delays):
            if flags & SYN:
                flow["ack"] = copy
            self._send(flow, flags, data)
            end = time.monotonic() + delay
            while (left := end - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(self.inboxes[flow["port"]].get(), left)
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST or matches(packet):
                    return packet
        return None

    async def open(self):
        """Opens a flow. Returns it, or None if the attempt ended."""
        self.port += 1
        flow = {"port": self.port, "seq": 1000, "ack": 0, "token": 0, "by": None}
        self.inboxes[flow["port"]] = asyncio.Queue()
        answer = await self._exchange(flow, SYN, b"", OPENING_DELAYS, lambda packet: packet.flags & SYN)
        if answer is None or answer.flags & RST:
            del self.inboxes[flow["port"]]
            return None
        flow.update(seq=1001, ack=answer.seq + 1, token=answer.token)
        self._send(flow, ACK)
        return flow

    async def request(self, flow):
        """Sends a request in an open flow. Returns the target that answered it, or None; the flow may have ended."""
        id = f"{random.getrandbits(48):012x}"
        data = json.dumps({"id": id}).encode()
        answer = await self._exchange(flow, ACK, data, RETRANSMISSION_DELAYS,
                                      lambda packet: packet.data and json.loads(packet.data)["id"] == id)
        if answer is not None and not answer.flags & RST:
            content = json.loads(answer.data)
            flow.update(seq=flow["seq"] + len(data), ack=answer.seq + len(answer.data), token=answer.token,
                        by=content["by"])
            self.served += 1
            self._send(flow, ACK)
            if content["closes"]:
                self.end(flow)
            return content["by"]
        self.failed += 1
        kind = "no answer" if answer is None else "reset by the target" if answer.checksum == SUM else \
            "reset by the system"
        self.record.line(f"client {self.address}:{flow['port']} request {id}, flow open at {flow['by']}: {kind}")
        if kind == "reset by the system" and flow["by"]:
            self.resets.append((time.monotonic(), flow["by"]))
        self.inboxes.pop(flow["port"], None)
        flow["ended"] = True
        return None

    def end(self, flow):
        self._send(flow, FIN | ACK)
        self.inboxes.pop(flow["port"], None)
        flow["ended"] = True

    async def keep_flow(self, period):
        """Keeps a flow open, with a request each period; opens another one when it has ended."""
        await asyncio.sleep(random.uniform(0, period))
        flow = None
        while True:
            if flow is None or flow.get("ended"):
                flow = await self.open()
            if flow is not None:
                await self.request(flow)
            await asyncio.sleep(period if flow else 0.3)


class HeldLink:
    """Proxy for connections to one node. While the link is cut, bytes are held up in both directions."""

    def __init__(self, record, alias, target, port):
        self.record, self.alias, self.target, self.port = record, alias, target, port
        self.cut = False
        self.server = None
        self.tasks = set()

    async def open(self):
        self.server = await asyncio.start_server(self._accept, self.alias, self.port)

    def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(self.target, self.port)
        except OSError:
            writer.transport.abort()
            return
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pump(self, source, sink):
        try:
            while data := await source.read(65536):
                held = self.cut
                while self.cut:
                    await asyncio.sleep(0.02)
                if held:
                    self.record.line(f"held up bytes arrive at {self.target}: {data[:60]!r}")
                sink.write(data)
                await sink.drain()
            while self.cut:
                await asyncio.sleep(0.02)
            # The end of a stream is a packet of its own, a round trip after the data that was held up.
            await asyncio.sleep(0.003)
        except OSError:
            pass
        sink.close()

"""Upstreams and callers of the soak."""

import asyncio
import json
import time

from wire import ACK, FIN, RST, SYN, UPSTREAM_SUM, Packet, call_any, packet

CALLER_PORT = 18172
UPSTREAM_PORT = 18080
HEARTBEAT = 0.4  # s; equals the setting of the control instances
DEADLINE = 2.0  # s
REPEATS = (0.2, 0.4, 0.8)  # s between the copies of a packet
ROUTES = {"logger": ("198.18.0.1", 443, "unsafe"), "archive": ("198.18.0.2", 443, "safe")}


class Upstream(asyncio.DatagramProtocol):
    """Holds flows, runs requests and announces itself. A new start has a new name and knows no flow."""

    def __init__(self, world, address, service, zone):
        self.world = world
        self.address = address
        self.service = service
        self.zone = zone
        self.transport = None
        self.health = None
        self.disturbed_at = 0.0
        self.task = None
        self.busy = False

    async def start(self):
        self.name = f"i-{self.world.random.getrandbits(40):010x}"
        self.number = int(self.name[2:], 16)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.flows = {}
        self.disturbed_at = time.monotonic()
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, UPSTREAM_PORT))
        # Routers see from a connection that the upstream lives; they send no health call.
        self.health = await asyncio.start_server(
            lambda _, writer: writer.close(), self.address, UPSTREAM_PORT, reuse_address=True)
        self.task = asyncio.create_task(self._announce())

    def crash(self):
        self.disturbed_at = time.monotonic()
        if self.task:
            self.task.cancel()
        if self.transport:
            self.transport.close()
            self.transport = None
        if self.health:
            self.health.close()
            self.health = None

    async def drain(self):
        """Announces the drain until it is acknowledged, goes on serving for a while, and leaves."""
        self.state = "draining"
        while not await self._beat():
            await asyncio.sleep(0.2)
        self.world.checks.count("drains acknowledged")
        self.world.checks.drains[self.name] = time.monotonic()
        await asyncio.sleep(5.0)
        await call_any(self.world.controls, self.world.http_port, "DELETE", f"/zinniamount/instances/{self.name}",
                       random=self.world.random)
        self.crash()

    async def _announce(self):
        while True:
            if self.state == "ready":
                await self._beat()
            await asyncio.sleep(HEARTBEAT)

    async def _beat(self):
        self.seq += 1
        body = {"service": self.service, "address": f"{self.address}:{UPSTREAM_PORT}", "zone": self.zone,
                "version": "v1", "slots": 2, "state": self.state, "cold_remaining_ms": 0, "seq": self.seq,
                "born": self.born}
        status, _ = await call_any(self.world.controls, self.world.http_port, "PUT",
                                   f"/zinniamount/instances/{self.name}", body, self.world.random)
        return status == 200

    def datagram_received(self, raw, _):
        if int.from_bytes(raw[:8], "big") not in (0, self.number):
            return
        got = Packet(raw[8:])
        key = got.source
        if got.flags & SYN:
            self.world.checks.opened(self)
            self.flows.setdefault(key, {"seq": self.world.random.getrandbits(31), "answers": {}})
            self._send(got, self.flows[key]["seq"], got.seq + 1, SYN | ACK)
        elif key not in self.flows:
            self._send(got, got.ack, got.seq, RST)
        elif got.flags & (RST | FIN):
            del self.flows[key]
        elif got.data:
            self._run(got, self.flows[key])

    def _run(self, got, flow):
        # A repeated packet gets the same answer and runs nothing.
        if got.seq not in flow["answers"]:
            request = json.loads(got.data)
            self.world.checks.ran(request["id"], request["kind"], request["service"], self.service)
            flow["answers"][got.seq] = json.dumps({"id": request["id"], "by": self.name}).encode()
        data = flow["answers"][got.seq]
        self._send(got, got.ack, got.seq + len(got.data), ACK, data)

    def _send(self, got, seq, ack, flags, data=b""):
        answer = packet(got.destination, got.source, seq, ack, got.token, flags, data, UPSTREAM_SUM)
        self.transport.sendto(answer, (got.source[0], CALLER_PORT))


class Caller(asyncio.DatagramProtocol):
    """Sends requests over long flows, through a router of its zone that is in rotation."""

    def __init__(self, world, address, zone):
        self.world = world
        self.address = address
        self.zone = zone
        self.port = 1024
        self.inbox = asyncio.Queue()
        self.flow = None
        self.transport = None

    def close(self):
        if self.transport:
            self.transport.close()

    async def run(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, CALLER_PORT))
        while not self.world.over:
            await asyncio.sleep(self.world.random.uniform(0.02, 0.12))
            served = await self._request(self.world.random.choice(list(ROUTES)))
            self.world.served.append((time.monotonic(), served))

    def datagram_received(self, raw, _):
        self.inbox.put_nowait(Packet(raw))

    def _send(self, seq, ack, token, flags, data=b""):
        router = self.world.router_for(self.zone, (self.address, self.flow["port"]))
        if router:
            raw = packet((self.address, self.flow["port"]), self.flow["route"], seq, ack, token, flags, data)
            self.transport.sendto(raw, (router, CALLER_PORT))

    async def _exchange(self, deadline, seq, ack, token, flags, data=b""):
        """Sends a packet and its copies until an answer comes; returns it, or nothing at the deadline."""
        for pause in (*REPEATS, 1.6):
            self._send(seq, ack, token, flags, data)
            until = min(time.monotonic() + pause, deadline)
            while (left := until - time.monotonic()) > 0:
                try:
                    got = await asyncio.wait_for(self.inbox.get(), left)
                except asyncio.TimeoutError:
                    break
                # An answer acknowledges what it answers; one to an earlier packet's copy does not.
                expected = seq + 1 if flags & SYN else seq + len(data)
                if got.destination[1] == self.flow["port"] and (got.flags & RST or got.ack == expected):
                    return got
            if time.monotonic() >= deadline:
                return None
        return None

    async def _request(self, service):
        address, port, kind = ROUTES[service]
        request = f"{self.world.random.getrandbits(64):016x}"
        deadline = time.monotonic() + DEADLINE
        for _ in range(3):
            if self.flow is None or self.flow["service"] != service or self.world.random.random() < 0.05:
                if not await self._open(service, (address, port), deadline):
                    continue
            data = json.dumps({"id": request, "kind": kind, "service": service}).encode()
            flow = self.flow
            got = await self._exchange(deadline, flow["seq"], flow["ack"], flow["token"], ACK, data)
            if got is not None and not got.flags & RST:
                flow.update(seq=got.ack, ack=got.seq + len(got.data), token=got.token)
                if got.data:
                    answer = json.loads(got.data)
                    self.world.checks.answered(request, answer)
                    flow["by"] = answer["by"]
                    return True
            if got is not None and got.flags & RST and got.checksum != UPSTREAM_SUM:
                self.world.checks.reset_by_system(flow["by"], self.world.was_disturbed(flow["by"]))
            self.flow = None
            if kind == "unsafe" or got is None:
                return False
        return False

    async def _open(self, service, route, deadline):
        self.port = self.port + 1 if self.port < 60000 else 1025
        self.flow = {"service": service, "route": route, "port": self.port, "seq": 1000, "ack": 0, "token": 0,
                     "by": ""}
        got = await self._exchange(min(deadline, time.monotonic() + 1.4), 1000, 0, 0, SYN)
        if got is None or got.flags & RST:
            self.world.checks.count("openings refused or lost")
            self.flow = None
            return False
        self.flow.update(seq=1001, ack=got.seq + 1, token=got.token)
        self._send(1001, got.seq + 1, got.token, ACK)
        return True

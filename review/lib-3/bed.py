"""A small deployment on loopback for the cases of this review: the project's programs, and stand-ins for the rest.

The programs are started with the commands and templates of deploy/system.toml. Targets, clients, the platform's
routers and the operator are stand-ins that speak what the pages of the platform say, and nothing else.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST = 16, 2, 4, 8
HEADER = struct.Struct(">HIIIIHIHIBB")  # length, sum, seq, ack, dst, dport, src, sport, echo, flags, pad
SUM_KEY = b"known to clients and targets only"
HEARTBEAT_S = 1.2
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4,
          "drain_ms": 3000, "grace_s": 6, "config_apply_ms": 3000, "evacuate_ms": 5000, "recovery_s": 12,
          "flow_reorder_ms": 2000, "max_flow_s": 60}


def number_of(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def checksum(seq, ack, source, destination, flags, data):
    text = repr((seq, ack, source, destination, flags, data)).encode()
    return zlib.crc32(SUM_KEY + text) | 1


def encode(source, destination, seq, ack, echo, flags, data=b""):
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    total = checksum(seq, ack, source, destination, flags, data)
    return HEADER.pack(len(data), total, seq, ack, number_of(destination[0]), destination[1], number_of(source[0]),
                       source[1], echo, flags, 0) + data


class Packet:
    def __init__(self, raw):
        (self.size, self.sum, self.seq, self.ack, dst, dport, src, sport, self.echo, self.flags,
         _) = HEADER.unpack_from(raw)
        self.source, self.destination = (ip_of(src), sport), (ip_of(dst), dport)
        self.data = raw[HEADER.size:]

    def is_written_by_its_sender(self):
        return self.sum == checksum(self.seq, self.ack, self.source, self.destination, self.flags, self.data)


async def http(host, port, method, path, body=None, timeout=1.0):
    """One HTTP call. Returns status, location and body; status 0 for no answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\n"
                          f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            content = await reader.readexactly(int(fields.get("content-length", 0)))
            return int(head[0].split()[1]), fields.get("location", ""), content
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, "", b""


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def render(text, fields):
    """Fills in a template as the platform does; only the placeholders that the templates in deploy/ use."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        current = fields
        for part in path.split("."):
            current = current[int(part)] if isinstance(current, list) else current[part]
        if form == "json":
            return json.dumps(current)
        return str(current)
    return re.sub(r"\{\{([^}]*)\}\}", value, text)


class Program:
    """One process of the project; it is signalled only by its own process id."""

    def __init__(self, bed, role, name, ip, zone):
        self.bed, self.role, self.name, self.ip, self.zone = bed, role, name, ip, zone
        self.folder = bed.folder / name
        self.folder.mkdir()
        self.child = None
        self.misses = 2

    def fields(self, bootstrap):
        bed, ports = self.bed, self.bed.ports
        return {"node_name": self.name, "ip": self.ip, "zone": self.zone, "region": "region-1",
                "internal_ports": [ports["feed"], ports["feed"] + 15],
                "seeds": [f"{core.ip}:{ports['control']}" for core in bed.cores[:3]], "bootstrap": bootstrap,
                "heartbeat_ms": int(HEARTBEAT_S * 1000), "invariants": bed.invariants,
                "data_dir": str(self.folder / "data"), "bounds": BOUNDS, "limits": {"link_mbps": 1000.0},
                "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
                "listen": {"control": f"{self.ip}:{ports['control']}", "datagram_addr": f"{self.ip}:{ports['packets']}",
                           "readiness_addr": f"{self.ip}:{ports['ready']}"}}

    def start(self, bootstrap=False):
        role = self.bed.deploy["roles"][self.role]
        fields = self.fields(bootstrap)
        settings = self.folder / "settings.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        words = role["run"].split()
        words = words[:1] + [render(word, fields) for word in words[1:]]
        words = [str(settings) if word == "/etc/zinniamount/settings.toml" else word for word in words]
        with (self.folder / "log").open("ab") as log:
            self.child = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                          env={"PATH": os.environ.get("PATH", ""), "HOME": "/", "LANG": "C",
                                               "ZINNIAMOUNT_SETTINGS": str(settings)})
        self.bed.record.write(f"platform: {self.name} is started at {self.ip}")

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def log_lines(self, word):
        text = (self.folder / "log").read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]


class Target(asyncio.DatagramProtocol):
    """A target: takes flows, runs the requests in them, answers health checks and announces itself."""

    def __init__(self, bed, service, ip, zone, port, work_s=0.01):
        self.bed, self.service, self.ip, self.zone, self.port, self.work_s = bed, service, ip, zone, port, work_s
        self.state, self.seq, self.flows, self.beats = "ready", 0, {}, None
        self.heartbeat_at = None
        self.alive = False

    async def start(self, identity=None):
        self.id = identity or f"i-{random.getrandbits(40):010x}"
        self.number = int(self.id[2:], 16)
        self.born, self.seq, self.state, self.flows = int(time.time() * 1000), 0, "ready", {}
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, self.port))
        self.health = await asyncio.start_server(self._health, self.ip, self.port)
        self.alive = True
        self.bed.record.write(f"target {self.id} of {self.service} starts at {self.ip}:{self.port} in {self.zone}")
        self.beats = asyncio.create_task(self._announce())

    def stop(self):
        if not self.alive:
            return
        self.alive = False
        self.beats.cancel()
        self.transport.close()
        self.health.close()

    async def _health(self, reader, writer):
        try:
            if await asyncio.wait_for(reader.read(1024), 2.0):
                status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()

    def body(self):
        self.seq += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": 2, "state": self.state, "cold_remaining_ms": 0, "seq": self.seq, "born": self.born}

    async def beat(self):
        """One heartbeat, to one node after the other until one acknowledges it. Returns True if one did."""
        nodes = random.sample(self.bed.cores, len(self.bed.cores))
        for node in nodes:
            status, _, _ = await http(node.ip, self.bed.ports["control"], "PUT",
                                      f"/zinniamount/instances/{self.id}", self.body())
            if 200 <= status < 300:
                return node
        return None

    async def _announce(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def datagram_received(self, raw, source):
        intended = struct.unpack_from(">Q", raw)[0]
        if intended not in (0, self.number):
            self.bed.on_foreign_datagram(self, intended)
            return
        packet = Packet(raw[8:])
        if not packet.is_written_by_its_sender():
            return self.bed.broken("UNASKED", f"{self.id} got a packet that its sender did not write so")
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        self.bed.on_packet(self, packet)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"seq": random.getrandbits(31), "open": False, "next": packet.seq + 1,
                                          "echo": packet.echo}
                asyncio.get_running_loop().create_task(self._answer_opening(packet, key, flow))
            else:
                self._send(packet, flow, flow["seq"], packet.seq + 1, SYN | ACK)
            return
        if flow is None:
            if not packet.flags & RST:
                self.bed.record.write(f"target {self.id} resets a flow of {packet.source[0]}:{packet.source[1]} "
                                      f"that it does not hold")
                self._send(packet, {"echo": packet.echo}, packet.ack, packet.seq + packet.size, RST)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        flow["echo"] = packet.echo
        if not flow["open"]:
            if packet.ack != flow["seq"] + 1 & 0xFFFFFFFF:
                return
            flow["open"], flow["seq"] = True, flow["seq"] + 1
            self.bed.on_open(self, key)
        if packet.flags & FIN:
            self._send(packet, flow, flow["seq"], packet.seq + 1, ACK)
            del self.flows[key]
            return
        if packet.data and packet.seq == flow["next"]:
            flow["next"] = packet.seq + packet.size
            asyncio.get_running_loop().create_task(self._run(packet, flow))

    async def _answer_opening(self, packet, key, flow):
        """Sends the SYN+ACK, and 8 retransmissions at most until the flow opens: after 200 ms, then up to 1.6 s."""
        lost = self.bed.is_first_opening(key) and random.random() < self.bed.lost_answers
        delay = 0.2
        for attempt in range(9):
            if not self.alive or flow["open"] or self.flows.get(key) is not flow:
                return
            if lost and attempt == 0:
                self.bed.record.write(f"network: the first answer of {self.id} to {key[0][0]}:{key[0][1]} is lost")
            else:
                self._send(packet, flow, flow["seq"], packet.seq + 1, SYN | ACK)
            await asyncio.sleep(delay)
            delay = min(2 * delay, 1.6)

    async def _run(self, packet, flow):
        head = packet.data.decode()
        request = re.search(r"Zinniamount-Request-Id: (\S+)", head).group(1)
        work = re.search(r"Work-Ms: (\d+)", head)
        self.bed.on_run(self, request, head.split("\r\n")[0])
        await asyncio.sleep(int(work.group(1)) / 1000 if work else self.work_s)
        if not self.alive:
            return
        text = f"{request} by {self.id} of {self.service}"
        answer = (f"HTTP/1.1 200 OK\r\nZinniamount-Server-Stamp: {self.id}\r\nContent-Length: {len(text)}\r\n\r\n"
                  f"{text}").encode()
        self._send(packet, flow, flow["seq"], flow["next"], ACK, answer)
        flow["seq"] += len(answer)

    def _send(self, packet, flow, seq, ack, flags, data=b""):
        raw = encode(packet.destination, packet.source, seq, ack, flow["echo"], flags, data)
        if self.alive:
            self.transport.sendto(raw, (packet.source[0], self.bed.ports["packets"]))


class Client(asyncio.DatagramProtocol):
    """A client machine with one address, which opens flows and sends requests in them."""

    def __init__(self, bed, ip, zone):
        self.bed, self.ip, self.zone, self.flows, self.next_port = bed, ip, zone, {}, 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.bed.ports["packets"]))

    def datagram_received(self, raw, source):
        packet = Packet(raw)
        flow = self.flows.get(packet.destination[1])
        if flow is not None and packet.source == flow.route:
            flow.receive(packet)

    def new_flow(self, route):
        self.next_port += 1
        flow = Flow(self, route, self.next_port)
        self.flows[self.next_port] = flow
        return flow


class Flow:
    """A flow of a client. It follows the page: SYN copies after 200 and 600 ms, retransmissions from 200 ms on."""

    def __init__(self, client, route, port):
        self.client, self.bed, self.route, self.port = client, client.bed, route, port
        self.seq, self.ack, self.echo = random.getrandbits(31), 0, 0
        self.inbox, self.state, self.peer_stamp, self.reset_by = asyncio.Queue(), "new", None, None

    def name(self):
        return f"{self.client.ip}:{self.port}"

    def receive(self, packet):
        if packet.flags & RST:
            by_system = packet.sum == 0
            distance = abs((packet.seq - self.ack + 0x80000000) % 0x100000000 - 0x80000000)
            if by_system and self.state == "open" and distance > 76800:
                return
            self.reset_by = "the system" if by_system else "a target"
            self.bed.record.write(f"client flow {self.name()} ({self.state}) is reset by {self.reset_by}")
            was_open, self.state = self.state == "open", "reset"
            if was_open:
                self.bed.on_reset(self, by_system)
            self.inbox.put_nowait(packet)
            return
        if not packet.is_written_by_its_sender():
            self.bed.broken("MIXED", f"{self.name()} got a packet that its sender did not write so")
            return
        if packet.flags & SYN and self.state != "new":
            if self.client.bed.keeps_last_echo:
                self.echo = packet.echo
            return
        self.echo = packet.echo
        self.inbox.put_nowait(packet)

    def send(self, seq, ack, flags, data=b""):
        router = self.bed.router_for(self.client.zone, (self.client.ip, self.port, self.route))
        if router is not None:
            raw = encode((self.client.ip, self.port), self.route, seq, ack, self.echo, flags, data)
            self.client.transport.sendto(raw, (router.ip, self.bed.ports["packets"]))

    async def open(self):
        for copy, delay in enumerate((0.2, 0.4, 0.8)):
            self.send(self.seq, copy, SYN)
            try:
                packet = await asyncio.wait_for(self.inbox.get(), delay)
            except asyncio.TimeoutError:
                continue
            if packet.flags & RST:
                return False
            self.seq, self.ack, self.state = self.seq + 1, packet.seq + 1, "open"
            self.send(self.seq, self.ack, ACK)
            return True
        self.state = "failed"
        return False

    async def request(self, line="GET / HTTP/1.1", work_ms=10, deadline_s=1.0):
        """Returns the answer's body, or None without one."""
        request = f"{random.getrandbits(64):016x}"
        self.bed.sent[request] = (self, line)
        data = (f"{line}\r\nHost: {self.route[0]}\r\nZinniamount-Request-Id: {request}\r\n"
                f"Work-Ms: {work_ms}\r\n\r\n").encode()
        end, delay, first = time.monotonic() + deadline_s, 0.2, True
        while self.state == "open" and time.monotonic() < end:
            self.send(self.seq, self.ack, ACK, data)
            if first:
                self.bed.record.write(f"client flow {self.name()} sends request {request} to {self.route}: {line}")
            first = False
            try:
                packet = await asyncio.wait_for(self.inbox.get(), min(delay, max(0.001, end - time.monotonic())))
            except asyncio.TimeoutError:
                delay = min(2 * delay, 1.6)
                continue
            if packet.flags & RST:
                return None
            if packet.data and packet.ack == self.seq + len(data) & 0xFFFFFFFF:
                self.seq, self.ack = self.seq + len(data), packet.seq + packet.size
                self.send(self.seq, self.ack, ACK)
                body = packet.data.decode().split("\r\n\r\n", 1)[1]
                self.bed.record.write(f"client flow {self.name()} gets the answer: {body}")
                if not body.startswith(request):
                    self.bed.broken("MIXED", f"request {request} got the answer {body}")
                return body
        return None

    def close(self):
        if self.state == "open":
            self.send(self.seq, self.ack, FIN | ACK)
        self.state = "closed"
        self.client.flows.pop(self.port, None)


def free_network():
    """A second byte of loopback addresses that no other case uses, and the socket that keeps it for this one."""
    while True:
        network = random.randint(16, 120)
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((f"127.{network}.250.1", 9100))
            return network, guard
        except OSError:
            guard.close()


class Bed:
    """The deployment of one case. Cases override the methods on_... to judge what targets and clients see."""

    def __init__(self, folder, zones=("zone-a", "zone-b", "zone-c"), routers_per_zone=1, invariants=None):
        self.record = Record(folder)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.invariants = invariants or ["base", "drain", "config", "cost", "recover", "flows", "places"]
        self.violations, self.sent, self.tasks = [], {}, []
        self.net, self.guard = free_network()
        base = random.randint(12000, 28000)
        self.ports = {"feed": base, "control": base + 100, "ready": base + 101, "packets": base + 102}
        self.cores = []
        self.cores = [Program(self, "fleet", f"core-{zone}-1", f"127.{self.net}.1.{i + 1}", zone)
                      for i, zone in enumerate(zones)]
        self.routers = [Program(self, "router", f"front-{zone}-{j + 1}", f"127.{self.net}.2.{10 * i + j + 1}", zone)
                        for i, zone in enumerate(zones) for j in range(routers_per_zone)]
        self.targets, self.clients = [], []
        self.opened = set()

    #: Clients place in their packets the last echo that they received on a flow, in whatever packet.
    keeps_last_echo = False
    #: Share of the flows of which the first target's first answer to the opening is lost on its way to the client.
    lost_answers = 0.0

    def address(self, group, index):
        return f"127.{self.net}.{group}.{index}"

    def broken(self, rule, text):
        self.violations.append((rule, text))
        self.record.write(f"BROKEN {rule}: {text}")

    def is_first_opening(self, key):
        """True for the first target that gets an opening of a flow."""
        first = key not in self.opened
        self.opened.add(key)
        return first

    def on_foreign_datagram(self, target, intended):
        pass

    def on_packet(self, target, packet):
        pass

    def on_open(self, target, key):
        pass

    def on_run(self, target, request, line):
        self.record.write(f"target {target.id} of {target.service} runs request {request}: {line}")

    def on_reset(self, flow, by_system):
        pass

    async def start(self):
        for program in self.cores + self.routers:
            program.start(bootstrap=True)
        for router in self.routers:
            self.tasks.append(asyncio.create_task(self._probe(router)))

    async def _probe(self, router):
        """The platform's readiness probe, twice a second."""
        while True:
            status, _, _ = await http(router.ip, self.ports["ready"], "GET", "/zinniamount/ready", timeout=0.4)
            router.misses = 0 if status == 200 else router.misses + 1
            await asyncio.sleep(0.5)

    def router_for(self, zone, flow):
        """The node that gets the packets of a flow (flow_hash is `steady`)."""
        own = [router for router in self.routers if router.zone == zone]
        ready = [router for router in own if router.misses < 2]
        chosen = ready if 2 * len(ready) >= len(own) else own
        return max(chosen, key=lambda router: zlib.crc32(f"{router.ip} {flow}".encode()))

    async def order(self, method, path, body=None, limit_s=15.0):
        """An order of the operator: sent again unchanged, to any node, until it has a clear response."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            host = random.choice(self.cores).ip
            for _ in range(3):
                status, location, content = await http(host, self.ports["control"], method, path, body)
                if status != 307:
                    break
                host = location.split("/")[2].split(":")[0]
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                self.record.write(f"operator: {method} {path} is answered with {status}")
                return status, content
            await asyncio.sleep(0.1)
        self.record.write(f"operator: {method} {path} has no clear response")
        return 0, b""

    async def wait_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(router.misses == 0 for router in self.routers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for target in self.targets:
            target.stop()
        for client in self.clients:
            client.transport.close()
        programs = self.cores + self.routers
        for program in programs:
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGTERM)
        end = time.monotonic() + BOUNDS["grace_s"]
        for program in programs:
            while program.is_running() and time.monotonic() < end:
                await asyncio.sleep(0.05)
            if program.is_running():
                program.signal(signal.SIGKILL)
                program.child.wait()
        self.guard.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services):
    """Routes: name -> (host, port, type, service)."""
    return {"version": version,
            "routes": [{"name": name, "host": host, "path_prefix": f"/{port}/", "type": kind, "timeout_ms": 1000,
                        "latency_goal_ms": 100, "priority": 1, "service": service, "max_attempts": 2}
                       for name, (host, port, kind, service) in routes.items()],
            "services": [{"name": name, "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": False,
                          "cold_start_s": 2.0, "cold_per_s": 0.0} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def run(case, limit_s=110.0):
    """Runs a case, a coroutine that returns the list of broken rules. Returns the exit code of the script."""
    async def bounded():
        return await asyncio.wait_for(case(), limit_s)
    try:
        violations = asyncio.run(bounded())
    except Exception as error:  # the case could not run
        print(f"the case could not run: {error!r}")
        return 2
    if violations is None:
        print("the case could not run")
        return 2
    for rule, text in violations[:10]:
        print(f"BROKEN {rule}: {text}")
    print(f"{len(violations)} broken" if violations else "held")
    return 1 if violations else 0

"""A small deployment on loopback addresses: the project's programs as processes, and stand-ins for the rest."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from platform_pages import ACK, FIN, RST, SYN, Packet, http_call, render

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("noord-a", "noord-b", "noord-c")
INVARIANTS = ["base", "drain", "config", "cost", "recover", "flows", "places"]
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4,
          "drain_ms": 3000, "grace_s": 6, "config_apply_ms": 3000, "evacuate_ms": 5000, "max_flow_s": 60}
HEARTBEAT_MS = 1200
IDLE_TIMEOUT_MS = 15000
CLIENT_DELAY = 0.003  # s; one way from servers to clients, as on the site sheet


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


class Process:
    """One program of the deploy file, started with its command and with settings made from its template."""

    def __init__(self, world, role, index, zone, address):
        self.world, self.role, self.zone, self.address = world, role, zone, address
        self.name = f"{role}-{zone}-{index}"
        self.folder = world.folder / self.name
        self.folder.mkdir()
        self.child = None

    def start(self, bootstrap=False):
        deploy = self.world.deploy["roles"][self.role]
        context = {
            "node_name": self.name, "ip": self.address, "zone": self.zone, "seeds": self.world.seeds,
            "bootstrap": bootstrap, "invariants": INVARIANTS, "heartbeat_ms": HEARTBEAT_MS,
            "internal_ports": [self.world.ports["feed"], self.world.ports["stream"]], "bounds": BOUNDS,
            "data_dir": str(self.folder / "data"), "limits": {"link_mbps": 1000.0},
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "listen": {"datagram_addr": f"{self.address}:{self.world.ports['packets']}",
                       "readiness_addr": f"{self.address}:{self.world.ports['readiness']}",
                       "control": f"{self.address}:{self.world.ports['control']}"},
        }
        file = self.folder / "settings.toml"
        file.write_text(render((ROOT / deploy["template"]).read_text(), context) + self.world.extra_settings(self))
        words = render(deploy["run"], context).replace("/etc/zinniamount/settings.toml", str(file)).split()
        with open(self.folder / "log", "ab") as log:
            self.child = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                          env={"PATH": os.environ["PATH"], "ZINNIAMOUNT_SETTINGS": str(file)})
        self.world.record.line(f"{self.name} started at {self.address}")

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def log_lines(self, *words):
        return [line for line in (self.folder / "log").read_text(errors="replace").splitlines()
                if all(word in line for word in words)]


class World:
    """Three control instances, one in each zone, and routers; `router_zones` has a zone for each router."""

    def __init__(self, folder, router_zones):
        self.record = Record(folder)
        self.random = random.Random(1)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for role in self.deploy["roles"].values():
            if not (ROOT / role["run"].split()[0]).exists():
                raise CaseError("the build of the deploy file is missing")
        self.net, self.ports = self._find_free_network(3 + len(router_zones))
        addresses = [f"127.{self.net}.1.{i + 1}" for i in range(3)]
        self.seeds = [f"{address}:{self.ports['control']}" for address in addresses]
        self.controls = [Process(self, "fleet", i + 1, ZONES[i], addresses[i]) for i in range(3)]
        self.routers = [Process(self, "router", i + 1, zone, f"127.{self.net}.2.{i + 1}")
                        for i, zone in enumerate(router_zones)]
        self.targets, self.clients = [], []
        self.violations = []

    def extra_settings(self, _process):
        """Settings beside those of the template; none unless a case connects processes through proxies."""
        return ""

    def _find_free_network(self, processes):
        names = ("feed", "stream", "packets", "readiness", "control", "target")
        for _ in range(50):
            net = random.randint(20, 250)
            base = random.randint(20000, 30000)
            ports = {name: base + i for i, name in enumerate(names)}
            if all(self._is_free(f"127.{net}.{group}.{i + 1}", port) for group in (1, 2)
                   for i in range(processes) for port in (*ports.values(), 9101, 9102)):
                return net, ports
        raise CaseError("no free ports")

    @staticmethod
    def _is_free(address, port):
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
        return True

    async def start(self, config, targets):
        for process in self.controls + self.routers:
            process.start(bootstrap=True)
        await self.install(config)
        for target in targets:
            await target.start()
        end = time.monotonic() + 15
        for router in self.routers:
            while (await http_call(router.address, self.ports["readiness"], "GET", "/zinniamount/ready"))[0] != 200:
                if time.monotonic() > end:
                    raise CaseError(f"{router.name} is not ready")
                await asyncio.sleep(0.1)
        # Routers learn of an announcement within about half a second.
        await asyncio.sleep(2.0)

    async def operator(self, method, path, body=None, seconds=15.0):
        """Sends an order as the operator does: to one node after the other, following redirects, until it is clear."""
        end = time.monotonic() + seconds
        attempt = 0
        while time.monotonic() < end:
            host, port = self.seeds[attempt % len(self.seeds)].split(":")
            for _ in range(3):
                status, location, content = await http_call(host, int(port), method, path, body)
                if status != 307:
                    break
                host, port = location.split("/")[2].split(":")
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                self.record.line(f"operator: {method} {path} answered {status} by {host}")
                return status, content
            attempt += 1
            await asyncio.sleep(min(0.1 * attempt, 1.0))
        return 0, b""

    async def install(self, config):
        status, _ = await self.operator("PUT", "/zinniamount/config", config)
        if status != 200:
            raise CaseError("the configuration was not accepted")

    async def stop(self):
        for client in self.clients:
            client.close()
        for target in self.targets:
            target.stop()
        for process in self.controls + self.routers:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        end = time.monotonic() + 6.0
        for process in self.controls + self.routers:
            while process.child and process.child.poll() is None and time.monotonic() < end:
                await asyncio.sleep(0.05)
            process.signal(signal.SIGKILL)
            if process.child:
                process.child.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def violate(self, text):
        self.violations.append(text)
        self.record.line(f"RULE BROKEN: {text}")


class Target(asyncio.DatagramProtocol):
    """A server: announces itself, answers health checks, holds flows and runs requests, as PROTOCOL.md says."""

    def __init__(self, world, index, service, zone, max_flows=2000, name=None):
        self.world, self.service, self.zone, self.max_flows = world, service, zone, max_flows
        self.address = f"127.{world.net}.3.{index}"
        self.port = world.ports["target"]
        self.name = name or f"i-{random.getrandbits(40):010x}"
        self.number = int(self.name[2:], 16)
        self.state, self.seq, self.flows, self.runs = "ready", 0, {}, 0
        self.on_run = lambda target, flow, data: None
        self.loses = lambda packet: False
        self.loses_answer = lambda answer: False
        self.born = int(time.time() * 1000)
        self.transport = self.health = self.beats = None
        world.targets.append(self)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, self.port))
        self.health = await asyncio.start_server(self._answer_health, self.address, self.port)
        self.world.record.line(f"server {self.name} ({self.service}) started at {self.address}")
        self.beats = asyncio.create_task(self._beat())

    def stop(self):
        """Ends at once, as a process that exits: its flows are gone."""
        if self.beats:
            self.beats.cancel()
        if self.health:
            self.health.close()
            self.health = None
        if self.transport:
            self.transport.close()
            self.transport = None

    @property
    def is_alive(self):
        return self.transport is not None

    async def _answer_health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
            status = "200 OK" if self.state == "ready" else "503 Draining"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def body(self):
        self.seq += 1
        return {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": 2, "state": self.state, "cold_remaining_ms": 0, "seq": self.seq, "born": self.born}

    async def _beat(self):
        order = list(self.world.seeds)
        while True:
            for _ in order:
                host, port = order[0].split(":")
                status, _, _ = await http_call(host, int(port), "PUT", f"/zinniamount/instances/{self.name}",
                                               self.body())
                if status == 200:
                    break
                order.append(order.pop(0))
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def datagram_received(self, raw, _):
        if int.from_bytes(raw[:8], "big") not in (0, self.number):
            return
        packet = Packet.decode(raw[8:])
        if self.loses(packet):
            self.world.record.line(f"the link to {self.name} loses a packet {packet.names()} of {packet.source}")
            return
        key = packet.source
        flow = self.flows.get(key)
        if flow is not None and packet.flags & SYN and packet.seq + 1 != flow["next"] and not flow["open"]:
            flow = None
        if packet.flags & SYN:
            if flow is None and len(self.flows) >= self.max_flows:
                self.world.record.line(f"server {self.name} is full and sends nothing to {key}")
                return
            if flow is None:
                flow = {"seq": random.getrandbits(31), "next": packet.seq + 1, "open": False, "request": b"",
                        "answers": {}}
                self.flows[key] = flow
                asyncio.create_task(self._repeat_opening(packet, flow))
            self._send(packet, flow["seq"], packet.seq + 1, SYN | ACK)
        elif flow is None or (not flow["open"] and packet.ack != flow["seq"] + 1):
            if not packet.flags & RST:
                self.world.record.line(f"server {self.name} resets a flow that it does not hold, {key}")
                self._send(packet, packet.ack, packet.seq, RST)
        elif packet.flags & RST:
            del self.flows[key]
        elif packet.flags & FIN:
            self._send(packet, packet.ack, packet.seq + 1, ACK)
            del self.flows[key]
        else:
            flow["open"] = True
            if packet.data:
                self._run(packet, flow)

    async def _repeat_opening(self, packet, flow):
        """Retransmits the answer to an opening after 200 ms; the interval doubles up to 1.6 s; gives up after 8."""
        delay = 0.2
        for _ in range(8):
            await asyncio.sleep(delay)
            delay = min(2 * delay, 1.6)
            if flow["open"] or self.flows.get(packet.source) is not flow:
                return
            self._send(packet, flow["seq"], packet.seq + 1, SYN | ACK)
        del self.flows[packet.source]

    def _run(self, packet, flow):
        if packet.seq == flow["next"]:
            flow["next"] += len(packet.data)
            self.runs += 1
            request = packet.data.decode(errors="replace")
            self.world.record.line(f"server {self.name} ({self.service}) runs {request!r}")
            self.on_run(self, packet.source, request)
            flow["answers"][flow["next"]] = f"done by {self.name}: {request}".encode()
        answer = flow["answers"].get(packet.seq + len(packet.data), b"")
        self._send(packet, packet.ack, flow["next"], ACK, answer)

    def _send(self, packet, seq, ack, flags, data=b""):
        answer = Packet(packet.destination, packet.source, seq, ack, packet.echo, flags, data)
        if self.loses_answer(answer):
            self.world.record.line(f"the link from {self.name} loses a packet {answer.names()} to {packet.source}")
        else:
            asyncio.get_running_loop().call_later(CLIENT_DELAY, self._deliver, answer)

    def _deliver(self, answer):
        if self.transport:
            self.transport.sendto(answer.encode(), (answer.destination[0], self.world.ports["packets"]))


class Client(asyncio.DatagramProtocol):
    """A client machine with one address; opens flows through a router and sends requests on them."""

    def __init__(self, world, index):
        self.world = world
        self.address = f"127.{world.net}.4.{index}"
        self.flows, self.next_port, self.transport = {}, 40000, None
        world.clients.append(self)

    async def start(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.ports["packets"]))

    def close(self):
        if self.transport:
            self.transport.close()
            self.transport = None

    def datagram_received(self, raw, _):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.destination[1])
        if flow is None:
            return
        if not packet.flags & RST or packet.checksum != 0:
            flow.echo = packet.echo
        flow.receive(packet)

    async def open(self, route, router):
        """Opens a flow; copies of the opening follow after 200 ms and 600 ms. Returns it, or None after 1.4 s."""
        self.next_port += 1
        flow = Flow(self, self.next_port, route, router)
        self.flows[flow.port] = flow
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            flow.send(1000, copy, 0, SYN)
            try:
                await asyncio.wait_for(flow.opened.wait(), wait)
                break
            except asyncio.TimeoutError:
                continue
        if not flow.is_open:
            self.world.record.line(f"client {self.address}:{flow.port} gets no flow")
            return None
        return flow


class Flow:
    """The client's end of a flow."""

    def __init__(self, client, port, route, router):
        self.client, self.port, self.route, self.router = client, port, route, router
        self.echo = self.seq = self.peer_next = self.peer_first = 0
        self.is_open, self.reset_by = False, None
        self.opened, self.news = asyncio.Event(), asyncio.Event()
        self.answer = None
        self.opened_at = self.used_at = time.monotonic()
        self.on_reset = lambda flow, by_system: None

    def send(self, seq, ack, echo, flags, data=b""):
        packet = Packet((self.client.address, self.port), self.route, seq, ack, echo, flags, data)
        self.used_at = time.monotonic()
        if self.client.transport:
            self.client.transport.sendto(packet.encode(), (self.router.address, self.client.world.ports["packets"]))

    def receive(self, packet):
        world = self.client.world
        if packet.flags & RST:
            by_system = packet.checksum == 0
            who = "the system" if by_system else "a server"
            world.record.line(f"client {self.client.address}:{self.port} gets a reset of {who}"
                              f" on {'an open flow' if self.is_open else 'a flow that is not open'}")
            self.reset_by = who
            self.on_reset(self, by_system)
            self.is_open = False
            self.opened.set()
            self.news.set()
        elif packet.flags & SYN:
            if not self.is_open and self.reset_by is None and self.peer_next == 0:
                self.peer_next = self.peer_first = packet.seq + 1
                self.seq = 1001
                self.is_open = True
                self.send(self.seq, self.peer_next, self.echo, ACK)
                self.opened.set()
            elif self.is_open and packet.seq + 1 == self.peer_first:
                self.send(self.seq, self.peer_next, self.echo, ACK)
        elif packet.data and packet.seq == self.peer_next:
            self.peer_next += len(packet.data)
            self.answer = packet.data.decode(errors="replace")
            self.news.set()

    async def request(self, text, deadline=2.0):
        """Sends a request, retransmits it after 200 ms, 400 ms and so on. Returns the answer or None."""
        end = time.monotonic() + deadline
        self.answer = None
        delay = 0.2
        while self.is_open and self.answer is None and time.monotonic() < end:
            self.news.clear()
            self.send(self.seq, self.peer_next, self.echo, ACK, text.encode())
            try:
                await asyncio.wait_for(self.news.wait(), min(delay, max(0.0, end - time.monotonic())))
            except asyncio.TimeoutError:
                delay = min(2 * delay, 1.6)
        if self.answer is not None:
            self.seq += len(text.encode())
        return self.answer

    def finish(self):
        self.send(self.seq, self.peer_next, self.echo, FIN | ACK)
        self.is_open = False


def configuration(version, services, routes):
    """Routes are tuples of an address, a port, a type and a service; services are names with their max_flows."""
    return {
        "version": version,
        "routes": [{"name": f"r-{i}", "host": host, "path_prefix": f"/{port}/", "type": kind, "timeout_ms": 1000,
                    "latency_goal_ms": 100, "priority": 1, "service": service, "max_attempts": 2}
                   for i, (host, port, kind, service) in enumerate(routes)],
        "services": [{"name": name, "health_path": "/health", "max_flows": max_flows, "protocol": "h1", "tls": False,
                      "cold_start_s": 2.0, "cold_per_s": 0.0} for name, max_flows in services.items()],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": IDLE_TIMEOUT_MS},
    }


def run_case(folder, case):
    """Runs `case(world, trouble)`; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        try:
            world = case.make(folder)
        except CaseError as error:
            print(f"could not run: {error}")
            return 2
        try:
            await asyncio.wait_for(case.play(world, trouble), 100)
            world.record.line(f"{len(world.violations)} breaks of the rule")
            print(f"rule {'broken' if world.violations else 'held'}, {len(world.violations)} breaks;"
                  f" trouble {'on' if trouble else 'off'}")
            return 1 if world.violations else 0
        except Exception as error:  # also a fault of the case itself: it says nothing about the rule
            world.record.line(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await world.stop()

    sys.exit(asyncio.run(main()))

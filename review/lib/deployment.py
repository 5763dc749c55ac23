"""A small deployment of the project's programs on loopback addresses, for the scripted cases of the review."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "platform" / "soak"))

from wire import call  # noqa: E402  (the project's own HTTP client of the platform)

ZONES = ("noord-a", "noord-b", "noord-c")
#: Bounds of the small deployment vhl-balans, in seconds where not said otherwise.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4,
          "drain_ms": 3000, "grace_s": 6, "config_apply_ms": 3000, "evacuate_ms": 5000, "recovery_s": 12,
          "flow_reorder_ms": 2000, "max_flow_s": 60}
HEARTBEAT_MS = 1200


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, file):
        self.file = open(file, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def render(template, fields):
    """Fills in the placeholders that the project's settings templates use."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        current = fields
        for part in name.split("."):
            current = current[int(part)] if isinstance(current, list) else current[part]
        return json.dumps(current) if form == "json" else str(current)

    return re.sub(r"\{\{([a-z0-9_.]+(?:\|json)?)\}\}", value, template)


def free_network():
    """Returns the second byte of a loopback network and a first port, on which nothing listens."""
    while True:
        network, port = random.randint(40, 240), random.randrange(20000, 30000, 16)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                for offset in range(16):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("0.0.0.0", port + offset))
            return network, port
        except OSError:
            continue


class Machine:
    """One process of the deployment, as the deploy file starts it. Signals go to its process id only."""

    def __init__(self, deployment, role, address, zone):
        self.deployment = deployment
        self.role = role
        self.address = address
        self.zone = zone
        self.name = f"{'core' if role == 'fleet' else 'frontend'}-{address}"
        self.folder = deployment.folder / self.name
        self.data = self.folder / "data"
        self.child = None
        self.translations = {}

    def start(self, bootstrap=False, seeds=None):
        self.folder.mkdir(parents=True, exist_ok=True)
        deployment = self.deployment
        port = deployment.port
        fields = {"node_name": self.name, "ip": self.address, "zone": self.zone,
                  "internal_ports": [port, port + 7], "bootstrap": bootstrap, "heartbeat_ms": HEARTBEAT_MS,
                  "seeds": [f"{address}:{deployment.control_port}" for address in seeds or deployment.seeds],
                  "invariants": deployment.invariants, "data_dir": str(self.data),
                  "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "limits": {"link_mbps": 1000.0},
                  "listen": {"control": f"{self.address}:{deployment.control_port}",
                             "datagram_addr": f"{self.address}:{deployment.packet_port}",
                             "readiness_addr": f"{self.address}:{deployment.ready_port}"}}
        template = (ROOT / "deploy" / f"{self.role}.toml").read_text()
        # The metrics port is fixed in the template; a free one takes its place here.
        text = re.sub(r"(?m)^metrics = \d+$", f"metrics = {port + 12}", render(template, fields))
        for other, alias in self.translations.items():
            text += f'[[translation]]\ninstance = "{other}"\nreached_at = "{alias}"\n'
        file = self.folder / "settings.toml"
        file.write_text(text)
        with (self.folder / "log").open("ab") as log:
            self.child = subprocess.Popen([ROOT / "target" / "bin" / f"zinnia-{self.role}", "--config", file],
                                          stdout=log, stderr=log, cwd=ROOT)

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    async def wait(self, seconds):
        """Waits for the end of the process; kills it at the time limit. Returns True if it ended by itself."""
        end = time.monotonic() + seconds
        while self.is_running():
            if time.monotonic() > end:
                self.child.kill()
                self.child.wait()
                return False
            await asyncio.sleep(0.02)
        return True

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.wait(1.0)

    async def terminate(self):
        self.signal(signal.SIGTERM)
        return await self.wait(BOUNDS["grace_s"])

    def lose_disk(self):
        shutil.rmtree(self.data, ignore_errors=True)


class Deployment:

    def __init__(self, record, cores=3, routers=0, invariants=("base", "drain", "config", "cost", "recover", "flows",
                                                               "places")):
        self.record = record
        self.invariants = list(invariants)
        self.network, self.port = free_network()
        self.control_port, self.ready_port, self.packet_port = self.port + 8, self.port + 9, self.port + 10
        self.target_port = self.port + 11
        self.folder = Path(tempfile.mkdtemp(prefix="zinnia-review-"))
        self.cores = [Machine(self, "fleet", self.address(1, i + 1), ZONES[i % 3]) for i in range(cores)]
        self.seeds = [core.address for core in self.cores[:3]]
        self.routers = [Machine(self, "router", self.address(2, i + 1), ZONES[i % 3]) for i in range(routers)]
        self.extra = []

    def address(self, group, number):
        return f"127.{self.network}.{group}.{number}"

    def start(self):
        for machine in self.cores + self.routers:
            machine.start(bootstrap=True)

    def add_core(self, number, zone):
        machine = Machine(self, "fleet", self.address(1, number), zone)
        self.extra.append(machine)
        return machine

    async def stop(self):
        machines = self.cores + self.routers + self.extra
        for machine in machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGTERM)
        for machine in machines:
            await machine.wait(BOUNDS["grace_s"])
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def order(self, method, path, body=None, hosts=None, seconds=10.0):
        """Sends an order of the operator to one node after the other until it is answered with 2xx or refused."""
        hosts = list(hosts or [core.address for core in self.cores + self.extra if core.is_running()])
        random.shuffle(hosts)
        end, attempt = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            status = await self._order_once(hosts[attempt % len(hosts)], method, path, body)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status
            attempt += 1
            await asyncio.sleep(min(0.1 * attempt, 1.0))
        return 0

    async def _order_once(self, host, method, path, body):
        first = host
        for _ in range(3):
            status, location, _ = await call(host, self.control_port, method, path, body)
            if status != 307:
                break
            host = location.split("/")[2].split(":")[0]
        self.record.line(f"operator {method} {path} {json.dumps(body)[:40] if body else ''} to {first}: "
                         f"{status or 'no answer'}")
        return status

    async def read_version(self, host):
        """Reads the configuration at one node, with up to two redirections. Returns status and version."""
        status, content = 0, b""
        for _ in range(3):
            status, location, content = await call(host, self.control_port, "GET", "/zinniamount/config")
            if status != 307:
                break
            host = location.split("/")[2].split(":")[0]
        return status, json.loads(content)["version"] if status == 200 else None

    def configuration(self, version, routes=None):
        routes = routes or {"peillogger": ("198.18.0.1", 443, "unsafe"), "archief": ("198.18.0.2", 443, "download")}
        return {"version": version,
                "routes": [{"name": f"r-{service}", "host": host, "path_prefix": f"/{port}/", "type": kind,
                            "timeout_ms": 1000, "latency_goal_ms": 100, "priority": 1, "service": service,
                            "max_attempts": 2} for service, (host, port, kind) in routes.items()],
                "services": [{"name": name, "health_path": "/health", "max_flows": 2000, "protocol": "h1",
                              "tls": False, "cold_start_s": 2.0, "cold_per_s": 0.0}
                             for name in ("peillogger", "archief")],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}

    async def configure(self, version, seconds=10.0):
        return await self.order("PUT", "/zinniamount/config", self.configuration(version), seconds=seconds) == 200


def run(case, folder):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.line(f"case {'with' if trouble else 'without'} the disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except Exception as error:  # the case itself failed, which says nothing about the rule
        record.line(f"the case could not run: {error!r}")
        broken = None
    code = 2 if broken is None else int(broken)
    record.line({0: "the rule held", 1: "the rule was broken", 2: "no result"}[code])
    record.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)

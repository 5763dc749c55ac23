"""Starts and stops the processes of a local cluster on the loopback interface."""

import json
import shutil
import signal
import subprocess
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BIN = ROOT / "build" / "bin"
CLUSTER_KEY = "5a" * 32
OPERATOR_TOKEN = "drill-operator-token-of-the-local-set-up"
STOP_SECONDS = 15
COLD_START_SECONDS = 6  # the ramp of an upstream takes 4 s


class ClusterError(Exception):
    """A process exited, an operator command failed, or a condition was not reached in time."""


def toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return str(value)
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    return json.dumps(value)


def toml_text(tables):
    """Formats a list of (header, values) pairs; the header is "" for the root table."""
    lines = []
    for header, values in tables:
        if header:
            lines += ["", header]
        lines += [f"{key} = {toml_value(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


def http_json(method, address, path, body=None, timeout=2.0, token=None):
    request = urllib.request.Request(f"http://{address}{path}", method=method)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, data, timeout) as response:
        text = response.read()
    return json.loads(text) if text else {}


class Process:
    """One started process; it is signalled only by its own process id."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = folder / f"{name}.log"
        self.arguments = [str(argument) for argument in arguments]
        self.child = None
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.child.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def wait(self, seconds):
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None


class Cluster:
    """A user's cluster: control and entry instances, fabric, upstreams and load generator."""

    def __init__(self, user, folder, seed, naive=False, delays=True):
        self.user = user
        self.folder = Path(folder)
        self.seed = seed
        self.naive = naive
        self.delays = delays
        self.inventory_file = ROOT / "examples" / f"{user.name}.toml"
        self.inventory = tomllib.loads(self.inventory_file.read_text())
        self.zones = [zone["name"] for zone in self.inventory["zone"]]
        self.zone_ids = {zone["name"]: zone["id"] for zone in self.inventory["zone"]}
        self.processes = {}
        self.upstream_controls = {}
        # A run starts from empty data folders and logs.
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)

    # Addresses

    def entry_ip(self, entry):
        return entry["peer_address"].split(":")[0]

    def relay_address(self, zone, entry):
        number = [item["id"] for item in self.inventory["entry"]].index(entry["id"]) + 1
        return f"127.2.{self.zone_ids[zone]}.{number}:7000"

    @property
    def fabric_control(self):
        return "127.2.0.1:8000"

    @property
    def load_control(self):
        return "127.2.0.2:8000"

    # Settings files

    def write(self, name, tables):
        path = self.folder / f"{name}.toml"
        path.write_text(toml_text(tables))
        return path

    def token_file(self):
        path = self.folder / "operator.token"
        if not path.exists():
            path.write_text(OPERATOR_TOKEN + "\n")
            path.chmod(0o600)
        return path

    def cluster_table(self):
        return ("[cluster]", {"id": self.inventory["cluster"], "key": CLUSTER_KEY})

    def control_seeds(self):
        return [
            ("[[control]]", {"id": control["id"], "stream": control["stream_address"]})
            for control in self.inventory["control"]
        ]

    def control_settings(self, control):
        name = f"control-{control['id']}"
        tables = [
            ("", {"operator_token_file": str(self.token_file())}),
            ("[instance]", {"id": control["id"], "zone": self.zone_ids[control["zone"]]}),
            self.cluster_table(),
            ("[listen]", {"stream": control["stream_address"], "http": control["http_address"]}),
            ("[storage]", {"folder": str(self.folder / f"{name}.data"),
                           "bootstrap": control is self.inventory["control"][0]}),
        ]
        for other in self.inventory["control"]:
            tables.append(("[[control]]", {"id": other["id"], "stream": other["stream_address"],
                                           "http": other["http_address"]}))
        return name, self.write(name, tables)

    def entry_settings(self, entry):
        name = f"entry-{entry['id']}"
        ip = self.entry_ip(entry)
        tables = [
            ("[instance]", {"id": entry["id"], "zone": self.zone_ids[entry["zone"]]}),
            self.cluster_table(),
            ("[listen]", {
                "fabric": entry["fabric_address"], "fabric_gateway": "127.2.0.1:8001",
                "peer": entry["peer_address"], "registration": f"{ip}:7003",
                "stream": entry["stream_address"], "http": f"{ip}:7004", "upstream_side": f"{ip}:0",
            }),
        ]
        if self.naive:
            tables.append(("[policy]", {"naive": True}))
        tables += self.control_seeds()
        for peer in self.inventory["entry"]:
            if peer["zone"] != entry["zone"]:
                tables.append(("[[peer_route]]",
                               {"instance": peer["id"], "via": self.relay_address(entry["zone"], peer)}))
        return name, self.write(name, tables)

    def fabric_settings(self):
        tables = [("", {"control": self.fabric_control, "entry_listen": "127.2.0.1:8001", "choice": "random",
                        "seed": self.seed})]
        for service in self.inventory["service"]:
            tables.append(("[[service]]", {"name": service["name"], "address": service["address"]}))
        for entry in self.inventory["entry"]:
            tables.append(("[[entry]]", {"instance": entry["id"], "zone": entry["zone"],
                                         "address": entry["fabric_address"]}))
        for zone in self.zones:
            tables.append(("[[zone]]", {"name": zone, "network": f"127.1.{self.zone_ids[zone]}.0/24"}))
            for entry in self.inventory["entry"]:
                if entry["zone"] != zone:
                    tables.append(("[[relay]]", {"listen": self.relay_address(zone, entry),
                                                 "target": entry["peer_address"], "from": zone,
                                                 "to": entry["zone"]}))
        if self.delays:
            tables += self.link_delays()
        return "fabric", self.write("fabric", tables)

    def link_delays(self):
        tables = []
        for source in self.zones:
            for target in self.zones:
                if source != target:
                    tables.append(("[[link]]", {"from": source, "to": target, "delay_ms": self.user.zone_delay_ms}))
        return tables

    def upstream_settings(self, zone, service):
        name = f"upstream-{service['name']}-{zone}"
        zone_id = self.zone_ids[zone]
        service_id = service["id"]
        control = f"127.3.{zone_id}.{service_id}:8000"
        self.upstream_controls[(zone, service["name"])] = control
        entries = [f"{self.entry_ip(entry)}:7003" for entry in self.inventory["entry"] if entry["zone"] == zone]
        tables = [
            ("", {"control": control, "zone": zone, "registration_listen": f"127.3.{zone_id}.{service_id}:8001",
                  "entries": entries, "seed": self.seed + 10 * zone_id + service_id}),
            ("[service]", {"name": service["name"], "mode": service.get("mode", "request")}),
        ]
        tables += [("[[kind]]", kind) for kind in self.user.emulated_kinds(service["name"])]
        count = self.user.upstreams[service["name"]]
        share = [count // len(self.zones) + (1 if index < count % len(self.zones) else 0)
                 for index in range(len(self.zones))][self.zones.index(zone)]
        for number in range(share):
            tables.append(("[[upstream]]", {
                "name": f"{service['name']}-{zone}-{number + 1}",
                "address": f"127.3.{zone_id}.{50 * service_id + number}:5683", "slots": 2, "connections": 2000,
                "incarnation": int(time.time() * 1000)}))
        return name, self.write(name, tables)

    def load_settings(self, seconds, scale):
        tables = [("", {
            "control": self.load_control, "seed": self.seed, "generator": 1, "duration_s": seconds,
            "callers": "127.4.0.1:0", "output": str(self.folder / "load.jsonl"),
            "upstream_controls": list(self.upstream_controls.values()), "fabric_controls": [self.fabric_control]})]
        addresses = {service["name"]: service["address"] for service in self.inventory["service"]}
        for part in self.user.load_parts(scale):
            tables.append(("[[flow]]", {**part, "address": addresses[part["service"]]}))
        return "load", self.write("load", tables)

    def ctl_settings(self):
        return self.write("zinniactl", self.user_ctl_tables())

    def user_ctl_tables(self):
        return [("", {"operator": "drill", "operator_token_file": str(self.token_file()),
                      "controls": [control["http_address"] for control in self.inventory["control"]]})]

    # Processes

    def run(self, program, settings):
        name, path = settings
        self.processes[name] = Process(name, [BIN / program, "--config", path], self.folder)
        return self.processes[name]

    def start_all(self):
        for control in self.inventory["control"]:
            self.run("zinnia-control", self.control_settings(control))
        self.run("zinnia-fabric", self.fabric_settings())
        for entry in self.inventory["entry"]:
            self.run("zinnia-entry", self.entry_settings(entry))
        for zone in self.zones:
            for service in self.inventory["service"]:
                self.run("zinnia-upstream", self.upstream_settings(zone, service))
        self.ctl_file = self.ctl_settings()

    def start_load(self, seconds, scale=1.0):
        return self.run("zinnia-load", self.load_settings(seconds, scale))

    def stop_all(self):
        order = ["load", "fabric", "upstream", "entry", "control"]
        for prefix in order:
            for name, process in self.processes.items():
                if name.startswith(prefix):
                    process.send_signal(signal.SIGCONT)
                    process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        for process in self.processes.values():
            if process.wait(max(0.0, deadline - time.monotonic())) is None:
                process.send_signal(signal.SIGKILL)
                process.wait(5)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    # Operator commands and measurements

    def ctl(self, *arguments, check=True):
        result = subprocess.run([str(BIN / "zinniactl"), "--config", str(self.ctl_file), *map(str, arguments)],
                                capture_output=True, text=True, timeout=60, stdin=subprocess.DEVNULL)
        if check and result.returncode != 0:
            raise ClusterError(f"zinniactl {' '.join(map(str, arguments))}: exit {result.returncode}\n"
                               f"{result.stdout}{result.stderr}")
        return result

    def entry_metrics(self, entry):
        address = f"{self.entry_ip(entry)}:7004"
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=2) as response:
            text = response.read().decode()
        values = {}
        for line in text.splitlines():
            if line and not line.startswith("#"):
                key, _, value = line.rpartition(" ")
                values[key] = float(value)
        return values

    def upstream_counters(self):
        counters = []
        for address in self.upstream_controls.values():
            try:
                counters += http_json("GET", address, "/v1/counters")["upstreams"]
            except (OSError, urllib.error.URLError):
                pass
        return counters

    def wait_for(self, description, condition, seconds=30.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name, process in self.processes.items():
                if not process.is_running() and not name.startswith("load"):
                    raise ClusterError(f"{name} ended with {process.child.returncode}; see {process.log}")
            try:
                if condition():
                    return
            except (OSError, urllib.error.URLError, ClusterError, KeyError, ValueError):
                pass
            time.sleep(0.1)
        raise ClusterError(f"not reached within {seconds} s: {description}")

    def wait_ready(self):
        """Waits until the inventory is active, all upstreams are warm and the entries agree on the bucket shares."""
        self.wait_for("the inventory is applied",
                      lambda: self.ctl("apply-inventory", self.inventory_file, check=False).returncode == 0)
        expected = sum(self.user.upstreams.values())
        self.wait_for("all upstreams are registered",
                      lambda: sum(item["registered"] for item in self.upstream_counters()) == expected)
        entries = self.inventory["entry"]
        self.wait_for("all entries are active",
                      lambda: all(self.entry_metrics(entry).get("zinnia_live_entries") == len(entries)
                                  for entry in entries))
        time.sleep(COLD_START_SECONDS)
        self.wait_for("the shares of the upstreams are in sync", self.are_entries_in_sync)

    def are_entries_in_sync(self):
        """Returns True if two checks in a row, 2 s apart, find no entry with records or defaults in transit."""
        for _ in range(2):
            if not all(self.entry_metrics(entry).get("zinnia_flows_settled") for entry in self.inventory["entry"]):
                return False
            time.sleep(2.0)
        return True

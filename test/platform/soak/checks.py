"""The promises that the soak checks, from what callers, upstreams and operators see."""

import time

STABILITY = 4.0  # s without a disturbance until bounds hold again
DRAIN_BOUND = 3.0
WITHDRAWAL_BOUND = 5.0
CONFIG_BOUND = 3.0


class Checks:

    def __init__(self):
        self.violations = []
        self.counts = {}
        self.disturbed_until = 0.0
        self.runs = {}
        self.acknowledged = []  # (time, version)
        self.drains = {}  # upstream name -> time of the acknowledgement
        self.withdrawn = {}  # zone -> time of the acknowledgement

    def count(self, name, step=1):
        self.counts[name] = self.counts.get(name, 0) + step

    def violation(self, promise, text):
        self.violations.append(f"{promise}: {text}")

    def disturb(self, seconds):
        """Bounds do not hold until `STABILITY` after a disturbance that lasts so long."""
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def calm(self):
        return time.monotonic() - self.disturbed_until > STABILITY

    def ran(self, request, kind, wanted, service):
        self.count("requests run")
        if service != wanted:
            self.violation("service", f"request {request} for {wanted} ran at {service}")
        if request in self.runs and kind == "unsafe":
            self.violation("at most once", f"non-idempotent request {request} ran twice")
        self.runs[request] = service

    def answered(self, request, answer):
        self.count("answers")
        if answer.get("id") != request:
            self.violation("own answer", f"request {request} got the answer of {answer.get('id')}")

    def opened(self, upstream):
        """An upstream has received an opening packet."""
        self.count("openings")
        if not self.calm():
            return
        now = time.monotonic()
        if now - self.drains.get(upstream.name, now) > DRAIN_BOUND:
            self.violation("drain", f"{upstream.name} got an opening {now - self.drains[upstream.name]:.1f} s after")
        if now - self.withdrawn.get(upstream.zone, now) > WITHDRAWAL_BOUND:
            self.violation("withdrawal", f"{upstream.name} of {upstream.zone} got an opening")

    def config_acknowledged(self, version):
        self.count("changes acknowledged")
        self.acknowledged.append((time.monotonic(), version))

    def config_read(self, sent, version):
        self.count("reads")
        due = [known for at, known in self.acknowledged if sent - at > CONFIG_BOUND]
        if due and version < max(due):
            self.violation("configuration", f"version {version} was read after {max(due)} was acknowledged")

    def reset_by_system(self, upstream, disturbed):
        self.count("resets of open flows")
        if not disturbed and self.calm():
            self.violation("flow", f"a flow open at {upstream} was reset without a disturbance")

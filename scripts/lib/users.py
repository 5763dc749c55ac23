"""Workloads of the two users, at their current sizes."""

from dataclasses import dataclass, field


@dataclass
class User:
    name: str
    zone_delay_ms: float
    upstreams: dict
    kinds: list
    load: list = field(default_factory=list)

    def emulated_kinds(self, service):
        return [kind for name, kind in self.kinds if name == service]

    def load_parts(self, scale):
        parts = []
        for part in self.load:
            scaled = dict(part)
            scaled["long_lived"] = int(part.get("long_lived", 0) * scale)
            scaled["new_per_second"] = part.get("new_per_second", 0) * scale
            parts.append(scaled)
        return parts


VEENHERSTEL = User(
    name="veenherstel",
    zone_delay_ms=1.5,
    upstreams={"logger": 15, "archive": 4},
    kinds=[
        ("logger", {"path": "sluice/instruction", "style": "separate", "median_ms": 8.0}),
        ("logger", {"path": "level/stream", "style": "observe", "median_ms": 3.0, "period_ms": 500.0}),
        ("archive", {"path": "export", "style": "piggybacked", "median_ms": 20.0}),
    ],
    load=[
        {"type": "request", "service": "logger", "kind": "sluice-instruction", "path": "sluice/instruction",
         "method": "post", "priority": 0, "weight": 10.0, "idempotent": False, "deadline_ms": 4000,
         "interval_ms": 1000.0, "lifetime_ms": 20000.0, "long_lived": 150, "new_per_second": 3},
        {"type": "stream", "service": "logger", "kind": "level-stream", "path": "level/stream", "method": "get",
         "priority": 1, "weight": 3.0, "idempotent": True, "deadline_ms": 10000, "interval_ms": 500.0,
         "lifetime_ms": 60000.0, "long_lived": 300, "new_per_second": 3},
        {"type": "request", "service": "archive", "kind": "export", "path": "export", "method": "put",
         "priority": 2, "weight": 1.0, "idempotent": True, "deadline_ms": 20000, "interval_ms": 2000.0,
         "lifetime_ms": 20000.0, "long_lived": 60, "new_per_second": 2},
    ],
)

AGENCY = User(
    name="agency",
    zone_delay_ms=1.0,
    upstreams={"round": 15, "routesheet": 4},
    kinds=[
        ("round", {"path": "stop/list", "style": "observe", "median_ms": 3.0, "period_ms": 500.0}),
        ("round", {"path": "refill/confirmation", "style": "separate", "median_ms": 8.0}),
        ("routesheet", {"path": "route/sheet", "style": "piggybacked", "median_ms": 20.0}),
    ],
    load=[
        {"type": "stream", "service": "round", "kind": "stop-list", "path": "stop/list", "method": "get", "priority": 0,
         "weight": 10.0, "idempotent": True, "deadline_ms": 10000, "interval_ms": 500.0, "lifetime_ms": 60000.0,
         "long_lived": 300, "new_per_second": 3},
        {"type": "request", "service": "round", "kind": "refill-confirmation", "path": "refill/confirmation", "method": "post",
         "priority": 1, "weight": 5.0, "idempotent": False, "deadline_ms": 4000, "interval_ms": 1000.0,
         "lifetime_ms": 20000.0, "long_lived": 150, "new_per_second": 3},
        {"type": "request", "service": "routesheet", "kind": "route-sheet", "path": "route/sheet", "method": "get",
         "priority": 2, "weight": 1.0, "idempotent": True, "deadline_ms": 20000, "interval_ms": 2000.0,
         "lifetime_ms": 20000.0, "long_lived": 60, "new_per_second": 2},
    ],
)

USERS = {user.name: user for user in (VEENHERSTEL, AGENCY)}

"""Another writer sends one heartbeat with a long service name to each core machine; then a zone is evacuated."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import BOUNDS, ZONES, Deployment, run  # noqa: E402
from standins import Client, Target  # noqa: E402
from wire import call  # noqa: E402

NAME_LENGTH = 70_000  # characters
FLOWS = 4  # per client
OBSERVED = 10.0  # s after evacuate_ms


async def use_short_flows(client):
    """Opens a flow for each request, three times a second."""
    while True:
        flow = await client.open()
        if flow is not None:
            await client.request(flow)
            if not flow.get("ended"):
                client.end(flow)
        await asyncio.sleep(0.3)


async def case(record, trouble):
    deployment = Deployment(record, routers=3)
    tasks, targets, clients = [], [], []
    try:
        deployment.start()
        if not await deployment.configure(3):
            return None
        cores = [core.address for core in deployment.cores]
        for i in range(6):
            target = Target(deployment, i + 1, "peillogger", ZONES[i % 3])
            target.controls = cores[i % 3:] + cores[:i % 3]
            targets.append(target)
            await target.start()
        await asyncio.sleep(3.0)
        for i in range(3):
            client = Client(deployment, i + 1, deployment.routers[i])
            clients.append(client)
            await client.start()
            tasks += [asyncio.create_task(use_short_flows(client)) for _ in range(FLOWS)]
        await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000)
        if trouble:
            for host in cores:
                beat = {"service": "x" * NAME_LENGTH, "address": f"{deployment.address(6, 1)}:{deployment.target_port}",
                        "zone": ZONES[0], "version": "v1", "slots": 2, "state": "ready", "cold_remaining_ms": 0,
                        "seq": 1, "born": int(time.time() * 1000)}
                status, _, _ = await call(host, deployment.control_port, "PUT", "/zinniamount/instances/i-0badc0ffee",
                                          json.dumps(beat).encode())
                record.line(f"another writer: PUT of a heartbeat for a service of {NAME_LENGTH} characters to {host}: "
                            f"{status or 'no answer'}")
        await asyncio.sleep(1.0)
        if not 200 <= await deployment.order("POST", f"/zinniamount/evacuate/{ZONES[0]}") < 300:
            return None
        acknowledged = time.monotonic()
        record.line(f"the evacuation of {ZONES[0]} is acknowledged")
        await asyncio.sleep(BOUNDS["evacuate_ms"] / 1000 + OBSERVED)
        bound = acknowledged + BOUNDS["evacuate_ms"] / 1000
        late = {target.id: sum(at > bound for at in target.opened) for target in targets if target.zone == ZONES[0]}
        others = sum(at > bound for target in targets if target.zone != ZONES[0] for at in target.opened)
        served = sum(client.served for client in clients)
        record.line(f"served {served}; openings later than evacuate_ms after the acknowledgement: {late} in {ZONES[0]}, "
                    f"{others} elsewhere")
        if served < 100:
            return None
        return any(late.values())
    finally:
        for task in tasks:
            task.cancel()
        for target in targets:
            target.end()
        for client in clients:
            client.close()
        await deployment.stop()


run(case, Path(__file__).parent)

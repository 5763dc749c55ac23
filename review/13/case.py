"""Another writer's heartbeat, for a service that no configuration names, holds the address of a live target. The flows
that are open at that target must not be reset."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from bed import HEARTBEAT_S, Bed, Client, Target, configuration, http, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("127.198.0.1", 8443)
ROUTES = {"r-rounds": (*ROUTE, "unsafe", "rounds")}
#: One request in ten takes this long, as where others wait in front of it: 2 slots, work of 120 ms at most, a queue.
LONG_MS = 250


class Case(Bed):
    def on_reset(self, flow, by_system):
        if by_system:
            self.broken("FLOW", f"the flow {flow.name()}, open at {flow.peer_stamp}, is reset by the system, and its "
                                f"target lives")

    async def other_writer(self, target):
        """Reports an instance of another service at the target's address each 1.2 s."""
        born, seq, name = int(time.time() * 1000), 0, f"i-{random.getrandbits(40):010x}"
        while True:
            seq += 1
            body = {"service": "node-agent", "address": f"{target.ip}:{target.port}", "zone": target.zone,
                    "version": "v1", "slots": 2, "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": born}
            node = random.choice(self.cores)
            status, _, _ = await http(node.ip, self.ports["control"], "PUT", f"/zinniamount/instances/{name}", body)
            self.record.write(f"other writer: heartbeat {seq} for {name} at {target.ip}:{target.port}, service "
                              f"node-agent, to {node.name}: {status}")
            await asyncio.sleep(HEARTBEAT_S)

    async def traffic(self, client, end):
        flow = None
        while time.monotonic() < end:
            if flow is None or flow.state != "open":
                flow = client.new_flow(ROUTE)
                if not await flow.open():
                    flow = None
                    await asyncio.sleep(0.2)
                    continue
            body = await flow.request("POST /confirm HTTP/1.1", LONG_MS if random.random() < 0.1 else 10)
            if body is not None:
                flow.peer_stamp = body.split(" by ")[1]
            await asyncio.sleep(0.05)
        if flow is not None:
            flow.close()


async def main():
    bed = Case(HERE)
    try:
        await bed.start()
        port = bed.ports["packets"] + 1
        for i, zone in enumerate(("zone-a", "zone-b", "zone-c")):
            target = Target(bed, "rounds", bed.address(3, i + 1), zone, port)
            bed.targets.append(target)
            await target.start()
        status, _ = await bed.order("PUT", "/zinniamount/config", configuration(7, ROUTES, ("rounds",)))
        if status != 200 or not await bed.wait_ready():
            return None
        await asyncio.sleep(3)
        for i in range(3):
            client = Client(bed, bed.address(4, i + 1), ("zone-a", "zone-b", "zone-c")[i % 3])
            bed.clients.append(client)
            await client.start()
        end = time.monotonic() + 20
        traffic = [asyncio.create_task(bed.traffic(client, end)) for client in bed.clients]
        await asyncio.sleep(6)
        if TROUBLE:
            bed.tasks.append(asyncio.create_task(bed.other_writer(bed.targets[0])))
        await asyncio.gather(*traffic)
        bed.record.write(f"{len(bed.sent)} requests were sent, {len(bed.violations)} flows were reset by the system")
        return bed.violations if len(bed.sent) > 50 else None
    finally:
        await bed.stop()


sys.exit(run(main))

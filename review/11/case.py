"""Another writer's heartbeat, in which the field `version` is missing, names a target under a service that is not its
own. Requests for that service must not run at the target."""

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
ROUTES = {"r-rounds": ("127.198.0.1", 8443, "unsafe", "rounds"), "r-sheets": ("127.198.0.2", 8443, "safe", "sheets")}


class Case(Bed):
    def on_run(self, target, request, line):
        super().on_run(target, request, line)
        flow, _ = self.sent[request]
        service = next(item[3] for item in ROUTES.values() if flow.route == item[:2])
        if target.service != service:
            self.broken("ROUTE", f"request {request} for {service} is run by {target.id} of {target.service}")

    async def other_writer(self, target, born):
        """Reports the target each 1.2 s under the wrong service, and without `version`."""
        seq = 0
        while True:
            seq += 1
            body = {"service": "rounds", "address": f"{target.ip}:{target.port}", "zone": target.zone, "slots": 2,
                    "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": born}
            node = random.choice(self.cores)
            status, _, _ = await http(node.ip, self.ports["control"], "PUT", f"/zinniamount/instances/{target.id}",
                                      body)
            self.record.write(f"other writer: heartbeat {seq} for {target.id}, service rounds, no version, to "
                              f"{node.name}: {status}")
            await asyncio.sleep(HEARTBEAT_S)

    async def traffic(self, client, route, end):
        while time.monotonic() < end:
            flow = client.new_flow(route)
            if await flow.open():
                for _ in range(3):
                    await flow.request("POST /confirm HTTP/1.1" if route[0] == "127.198.0.1" else "GET /sheet HTTP/1.1")
            flow.close()
            await asyncio.sleep(0.1)


async def main():
    bed = Case(HERE)
    try:
        await bed.start()
        port = bed.ports["packets"] + 1
        for i, (service, zone) in enumerate([("rounds", "zone-a"), ("rounds", "zone-b"), ("rounds", "zone-c"),
                                             ("sheets", "zone-a"), ("sheets", "zone-b")]):
            target = Target(bed, service, bed.address(3, i + 1), zone, port)
            bed.targets.append(target)
            await target.start()
        status, _ = await bed.order("PUT", "/zinniamount/config", configuration(7, ROUTES, ("rounds", "sheets")))
        if status != 200 or not await bed.wait_ready():
            return None
        await asyncio.sleep(3)
        for i, zone in enumerate(("zone-a", "zone-b", "zone-c")):
            client = Client(bed, bed.address(4, i + 1), zone)
            bed.clients.append(client)
            await client.start()
        if TROUBLE:
            bed.tasks.append(asyncio.create_task(bed.other_writer(bed.targets[3], int(time.time() * 1000))))
        end = time.monotonic() + 12
        await asyncio.gather(*(bed.traffic(client, item[:2], end) for client in bed.clients
                               for item in ROUTES.values()))
        answers = len(bed.sent)
        bed.record.write(f"{answers} requests were sent, {len(bed.violations)} broke the rule")
        return bed.violations if answers > 50 else None
    finally:
        await bed.stop()


sys.exit(run(main))

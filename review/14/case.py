"""Routers are stopped and started in turn while flows are open of which two targets have answered the opening. The
packets of an open flow must reach its own target."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from bed import BOUNDS, RST, SYN, Bed, Client, Target, configuration, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("127.198.0.1", 8443)
ROUTES = {"r-sheets": (*ROUTE, "download", "sheets")}
DEADLINE_S = 5.0  # of route-sheet, the download of fivh-hutokor
PAUSE_S = 1.5  # between two requests of a flow
REQUESTS = 4  # in one flow
FLOWS = 6  # that a client has open at a time


class Case(Bed):
    keeps_last_echo = True
    lost_answers = 0.02

    def __init__(self, *arguments, **keywords):
        super().__init__(*arguments, **keywords)
        self.owners, self.reported = {}, set()
        self.arrivals = {}  # flow -> list of (time, id of the target that the packet reached)

    def on_open(self, target, key):
        if key in self.owners and self.owners[key] is not target:
            self.broken("UNASKED", f"{key[0]} is open at two targets")
        self.owners[key] = target
        self.record.write(f"target {target.id} opens the flow of {key[0][0]}:{key[0][1]}")

    def on_packet(self, target, packet):
        key = (packet.source, packet.destination)
        owner = self.owners.get(key)
        if owner is None or packet.flags & (SYN | RST):
            return
        now = time.monotonic()
        arrivals = self.arrivals.setdefault(key, [])
        arrivals.append((now, target.id))
        if target is not owner:
            self.record.write(f"target {target.id} gets a packet of the flow of {key[0][0]}:{key[0][1]}, which is "
                              f"open at {owner.id}")
        # (b): three or more packets to other targets and none to the flow's own within a span of flow_reorder_ms.
        span = BOUNDS["flow_reorder_ms"] / 1000
        recent = [name for at, name in arrivals if at > now - span]
        last_own = max((at for at, name in arrivals if name == owner.id), default=0.0)
        strays = [at for at, name in arrivals if name != owner.id and at > last_own]
        whole = len(strays) >= 3 and strays[-1] - strays[0] + 1e-3 >= span
        if whole and owner.id not in recent and key not in self.reported:
            self.reported.add(key)
            self.broken("FLOW", f"{len(strays)} packets of the flow of {key[0][0]}:{key[0][1]}, open at {owner.id}, "
                                f"reached {target.id} in {strays[-1] - strays[0]:.1f} s, and none its own target")

    async def traffic(self, client, end):
        while time.monotonic() < end:
            flow = client.new_flow(ROUTE)
            if not await flow.open():
                await asyncio.sleep(0.2)
                continue
            for _ in range(REQUESTS):
                if await flow.request("GET /sheet HTTP/1.1", deadline_s=DEADLINE_S) is None:
                    self.record.write(f"client flow {flow.name()} got no answer within its deadline")
                    break
                await asyncio.sleep(PAUSE_S)
                if time.monotonic() > end:
                    break
            flow.close()

    async def roll(self):
        """SIGTERM to one router after the other; each is started again after it has ended."""
        for router in self.routers:
            self.record.write(f"platform: {router.name} gets SIGTERM")
            router.signal(signal.SIGTERM)
            end = time.monotonic() + BOUNDS["grace_s"]
            while router.is_running() and time.monotonic() < end:
                await asyncio.sleep(0.05)
            if router.is_running():
                router.signal(signal.SIGKILL)
                router.child.wait()
            await asyncio.sleep(0.5)
            router.start()
            while router.misses:
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)


async def main():
    bed = Case(HERE, zones=("zone-a", "zone-b", "zone-c"), routers_per_zone=2)
    try:
        await bed.start()
        port = bed.ports["packets"] + 1
        for i in range(6):
            target = Target(bed, "sheets", bed.address(3, i + 1), ("zone-a", "zone-b", "zone-c")[i % 3], port)
            bed.targets.append(target)
            await target.start()
        status, _ = await bed.order("PUT", "/zinniamount/config", configuration(7, ROUTES, ("sheets",)))
        if status != 200 or not await bed.wait_ready():
            return None
        await asyncio.sleep(3)
        for i in range(40):
            client = Client(bed, bed.address(4, i + 1), ("zone-a", "zone-b", "zone-c")[i % 3])
            bed.clients.append(client)
            await client.start()
        end = time.monotonic() + 40
        traffic = [asyncio.create_task(bed.traffic(client, end)) for client in bed.clients for _ in range(FLOWS)]
        await asyncio.sleep(3)
        if TROUBLE:
            bed.tasks.append(asyncio.create_task(bed.roll()))
        await asyncio.gather(*traffic)
        bed.record.write(f"{len(bed.sent)} requests were sent, {len(bed.violations)} flows broke the rule")
        return bed.violations if len(bed.sent) > 100 else None
    finally:
        await bed.stop()


sys.exit(run(main))

"""Two core machines are removed for good without SIGTERM, shortly after each other. Their successors have run for twice
`catch_up_s` by then, so neither counts as lost. The configuration must still be there afterwards.

With SLOW_LEADER=1 the core machine that leads is slow meanwhile, the one loss that is allowed; GAP_S is the time between
the two removals."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from bed import BOUNDS, Bed, Program, Target, configuration, http, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLOW_LEADER = os.environ.get("SLOW_LEADER", "0") != "0"
SLOWER, SLOW_S, PERIOD_S = 5, 5.5, 0.5  # node_slow: times, and for how long; it runs for a part of each period
GAP_S = float(os.environ.get("GAP_S", "0.3"))
ROUTES = {"r-rounds": ("127.198.0.1", 8443, "unsafe", "rounds")}


class Case(Bed):
    async def leader(self):
        """The core machine to which the others redirect, or that answers itself."""
        for _ in range(40):
            for core in self.cores:
                if not core.is_running():
                    continue
                status, location, _ = await http(core.ip, self.ports["control"], "GET", "/zinniamount/config")
                if status == 307:
                    ip = location.split("/")[2].split(":")[0]
                    return next(item for item in self.cores if item.ip == ip)
                if status == 200:
                    return core
            await asyncio.sleep(0.1)
        return None

    async def run_slowly(self, program, end):
        """Lets a process run for a fifth of the time only."""
        try:
            while time.monotonic() < end:
                program.signal(signal.SIGSTOP)
                await asyncio.sleep(PERIOD_S * (SLOWER - 1) / SLOWER)
                program.signal(signal.SIGCONT)
                await asyncio.sleep(PERIOD_S / SLOWER)
        finally:
            program.signal(signal.SIGCONT)

    async def read(self):
        """One read at each running core machine. Returns the version, or None if none is sure."""
        for core in self.cores:
            if not core.is_running():
                continue
            host = core.ip
            for _ in range(3):
                status, location, content = await http(host, self.ports["control"], "GET", "/zinniamount/config")
                if status != 307:
                    break
                host = location.split("/")[2].split(":")[0]
            self.record.write(f"operator: GET /zinniamount/config at {core.name} is answered with {status}")
            if status == 200:
                return int(content.split(b'"version":')[1].split(b",")[0])
        return None


async def main():
    bed = Case(HERE)
    try:
        await bed.start()
        target = Target(bed, "rounds", bed.address(3, 1), "zone-a", bed.ports["packets"] + 1)
        bed.targets.append(target)
        await target.start()
        status, _ = await bed.order("PUT", "/zinniamount/config", configuration(7, ROUTES, ("rounds",)))
        if status != 200 or not await bed.wait_ready():
            return None
        first = list(bed.cores)
        leader = await bed.leader()
        if leader is None:
            return None
        bed.record.write(f"{leader.name} leads")
        others = [core for core in first if core is not leader]
        successors = [Program(bed, "fleet", f"core-{core.zone}-2", bed.address(1, 11 + i), core.zone)
                      for i, core in enumerate(others)]
        seeds = bed.cores
        for successor in successors:
            successor.start()
        bed.cores = seeds + successors
        await asyncio.sleep(2 * BOUNDS["catch_up_s"])
        status, _ = await bed.order("PUT", "/zinniamount/config", configuration(9, ROUTES, ("rounds",)))
        if status != 200 or await bed.leader() is not leader:
            return None
        slow_until = time.monotonic() + SLOW_S
        if TROUBLE and SLOW_LEADER:
            bed.record.write(f"{leader.name} turns slow, {SLOWER} times, for {SLOW_S} s")
            bed.tasks.append(asyncio.create_task(bed.run_slowly(leader, slow_until)))
            await asyncio.sleep(2.0)
        for core in others if TROUBLE else []:
            bed.record.write(f"{core.name} is removed for good")
            core.signal(signal.SIGKILL)
            core.child.wait()
            await asyncio.sleep(GAP_S)
        if SLOW_LEADER:
            await asyncio.sleep(max(0.0, slow_until - time.monotonic()) + 0.5)
        bed.record.write("all machines that remain run undisturbed from here on")
        await asyncio.sleep(BOUNDS["catch_up_s"] + BOUNDS["recovery_s"])
        version, end = None, time.monotonic() + 10
        while version is None and time.monotonic() < end:
            version = await bed.read()
            await asyncio.sleep(0.5)
        if version is None:
            bed.broken("CONFIG", "the configuration, version 9, was acknowledged, and no core machine gives it any more")
            status, _ = await bed.order("PUT", "/zinniamount/config", configuration(11, ROUTES, ("rounds",)), 10.0)
            if status == 0:
                bed.broken("CONFIG", "no core machine acknowledges a change any more")
        elif version < 9:
            bed.broken("CONFIG", f"version {version} is read back, version 9 was acknowledged")
        return bed.violations
    finally:
        await bed.stop()


sys.exit(run(main))

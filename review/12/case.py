"""Another writer's heartbeats are bytes that can't be read. The control processes must live on: the platform kills a
process that uses more than `memory_mb`."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from bed import HEARTBEAT_S, Bed, Target, configuration, http, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 256  # of a `core` machine
BYTES = 4_000_000  # of one heartbeat; zinnia-fleet takes bodies of up to 4 MiB
ROUTES = {"r-rounds": ("127.198.0.1", 8443, "unsafe", "rounds")}
RESTART_S = 0.5


class Case(Bed):
    ends = {}

    async def watch_memory(self, core):
        """The platform: kills a process whose memory exceeds the limit, and starts it again after a short delay."""
        while True:
            await asyncio.sleep(0.01)
            if not core.is_running():
                if core.name not in self.ends:
                    return
                await asyncio.sleep(RESTART_S)
                core.start()
                continue
            try:
                fields = Path(f"/proc/{core.child.pid}/status").read_text()
            except OSError:
                continue
            lines = [line for line in fields.splitlines() if line.startswith("VmHWM:")]
            used = int(lines[0].split()[1]) / 1024 if lines else 0.0
            if used > MEMORY_MB:
                core.signal(signal.SIGKILL)
                core.child.wait()
                self.ends[core.name] = self.ends.get(core.name, 0) + 1
                self.record.write(f"platform: {core.name} used {used:.0f} MB of {MEMORY_MB} and is killed")

    async def other_writer(self):
        """One heartbeat each 1.2 s, to one node after the other."""
        for number in range(12):
            core = self.cores[number % len(self.cores)]
            status, _, _ = await http(core.ip, self.ports["control"], "PUT", "/zinniamount/instances/i-00c0ffee00",
                                      b"[" * BYTES, timeout=3.0)
            self.record.write(f"other writer: heartbeat {number + 1}, {BYTES} bytes that can't be read, to {core.name}: "
                              f"{status or 'no answer'}")
            await asyncio.sleep(HEARTBEAT_S)


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
        for core in bed.cores:
            bed.tasks.append(asyncio.create_task(bed.watch_memory(core)))
        await asyncio.sleep(4)
        if TROUBLE:
            await bed.other_writer()
        else:
            await asyncio.sleep(12 * HEARTBEAT_S)
        for name, ends in bed.ends.items():
            bed.record.write(f"{name} ended {ends} times")
        if sum(1 for ends in bed.ends.values() if ends >= 3) * 2 >= len(bed.cores):
            bed.broken("Fault", f"on half of the core processes ended by themselves three times: {bed.ends}")
        return bed.violations
    finally:
        for task in bed.tasks:
            task.cancel()
        await bed.stop()


sys.exit(run(main))

#!/usr/bin/env python3
"""Randomized fault soak: real processes on loopback, faults from outside, promises checked while it runs.

Usage: soak.py --programs DIR [--seeds N] [--first SEED] [--seconds S] [--folder DIR] [--network N]
"""

import argparse
import asyncio
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

from checks import Checks
from world import ZONES, World

START_LIMIT = 20.0  # s
RECOVERY = 8.0  # s from the last fault until callers are served again
PLANNED_SHARE = 0.4  # of a seed's time
MEASURED = 3.0  # s over which the recovered service is measured
LEAST_SERVED = 0.95


class Faults:
    """Each fault takes place, lasts, and is undone by itself; several may overlap."""

    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.checks = world.checks
        self.last_wipe = 0.0

    def all(self):
        return [getattr(self, name) for name in sorted(dir(self)) if name.startswith("fault_")]

    def planned(self):
        """Work that disturbs no process and no link, so that every bound holds."""
        return [self.fault_release_upstream, self.fault_withdraw_zone, self.fault_change, self.fault_old_change]

    def _pick(self, processes):
        free = [process for process in processes if not process.busy]
        return self.random.choice(free) if free else None

    async def _down(self, process, seconds, wipe=False):
        process.busy = True
        self.checks.disturb(seconds + 1)
        await process.kill()
        if wipe:
            process.lose_disk()
        await asyncio.sleep(seconds)
        process.start()
        process.busy = False

    async def fault_kill_router(self):
        if process := self._pick(self.world.routers):
            await self._down(process, self.random.uniform(0.1, 2))

    async def fault_kill_control(self):
        if process := self._pick(self.world.fleets):
            await self._down(process, self.random.uniform(0.1, 2))

    async def fault_kill_all_controls(self):
        await asyncio.gather(*(self._down(process, 0.5) for process in self.world.fleets if not process.busy))

    async def fault_lose_disk(self):
        # One disk at a time: the next one after the group has had time to take the machine in again.
        if time.monotonic() - self.last_wipe > 12 and not any(process.busy for process in self.world.fleets):
            self.last_wipe = time.monotonic()
            await self._down(self.random.choice(self.world.fleets), self.random.uniform(0.1, 1), wipe=True)

    async def fault_stop_and_restart(self):
        process = self._pick(self.world.processes)
        if process is None:
            return
        process.busy = True
        self.checks.disturb(2)
        process.signal(signal.SIGTERM)
        if not await process.wait(6.0):
            self.checks.violation("stop", f"{process.name} was still there 6 s after SIGTERM")
        process.start()
        process.busy = False

    async def fault_pause(self):
        process = self._pick(self.world.processes)
        if process is None:
            return
        process.busy = True
        seconds = self.random.uniform(0.3, 4)
        self.checks.disturb(seconds + 1)
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.signal(signal.SIGCONT)
        process.busy = False

    async def _with_links(self, links, change, undo):
        seconds = self.random.uniform(0.5, 5)
        self.checks.disturb(seconds + 1)
        for link in links:
            change(link)
        await asyncio.sleep(seconds)
        for link in links:
            undo(link)

    def _across(self, zone):
        return [link for (source, target), link in self.world.links.items() if (source.zone == zone) != (target.zone == zone)]

    async def fault_cut_zone(self):
        def cut(value):
            return lambda link: (setattr(link, "cut_forward", value), setattr(link, "cut_back", value))
        await self._with_links(self._across(self.random.choice(ZONES)), cut(True), cut(False))

    async def fault_cut_one_way(self):
        side = self.random.choice(("cut_forward", "cut_back"))
        links = self.random.sample(list(self.world.links.values()), 6)
        await self._with_links(links, lambda link: setattr(link, side, True), lambda link: setattr(link, side, False))

    async def fault_delay(self):
        links = self.random.sample(list(self.world.links.values()), 8)
        await self._with_links(links, lambda link: setattr(link, "delay", self.random.uniform(0.02, 0.4)),
                               lambda link: setattr(link, "delay", 0.0))

    async def fault_silence_streams(self):
        await self._with_links(list(self.world.links.values()), lambda link: setattr(link, "silent", True),
                               lambda link: setattr(link, "silent", False))

    async def fault_reset_streams(self):
        self.checks.disturb(0.5)
        for link in self.world.links.values():
            link.reset_streams()

    async def fault_crash_upstream(self):
        if upstream := self._pick(self.world.upstreams):
            upstream.busy = True
            upstream.crash()
            await asyncio.sleep(self.random.uniform(0.1, 3))
            await upstream.start()
            upstream.busy = False

    async def fault_release_upstream(self):
        if upstream := self._pick(self.world.upstreams):
            upstream.busy = True
            await upstream.drain()
            await asyncio.sleep(0.1)
            await upstream.start()
            upstream.busy = False

    async def fault_change(self):
        for _ in range(self.random.randint(1, 5)):
            await self.world.configure()
            await asyncio.sleep(self.random.uniform(0, 0.5))

    async def fault_old_change(self):
        await self.world.configure(self.world.version)

    async def fault_withdraw_zone(self):
        zone = self.random.choice(ZONES)
        if self.checks.withdrawn:
            return
        path = f"/zinniamount/evacuate/{zone}"
        if await self.world.order("POST", path):
            self.checks.withdrawn[zone] = time.monotonic()
            await asyncio.sleep(self.random.uniform(5, 9))
        self.checks.withdrawn.pop(zone, None)
        while not await self.world.order("DELETE", path):
            await asyncio.sleep(0.5)


async def play(seed, seconds, folder, programs, network):
    """Plays one seed. Returns the checks and the count of each fault."""
    schedule = random.Random(seed)  # apart from the traffic, whose draws depend on the machine's speed
    checks = Checks()
    world = World(random.Random(f"traffic {seed}"), checks, folder, programs, network)
    faults = Faults(world)
    injected = {}
    running = set()
    try:
        await asyncio.wait_for(world.start(), START_LIMIT)
        end = time.monotonic() + seconds
        planned_until = time.monotonic() + PLANNED_SHARE * seconds
        while time.monotonic() < end:
            # Bounds hold only without disturbances, so each seed begins with planned work alone.
            planned = time.monotonic() < planned_until
            fault = schedule.choice(faults.planned() if planned else faults.all())
            injected[fault.__name__[6:]] = injected.get(fault.__name__[6:], 0) + 1
            task = asyncio.create_task(fault())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(schedule.uniform(0.2, 2.5))
        for done in await asyncio.gather(*list(running), return_exceptions=True):
            if isinstance(done, BaseException):
                raise done
        await asyncio.sleep(RECOVERY + MEASURED)
        recent = [served for at, served in world.served if at > time.monotonic() - MEASURED]
        if not recent or sum(recent) < LEAST_SERVED * len(recent):
            checks.violation("recovery", f"{sum(recent)} of {len(recent)} requests were served after the last fault")
    finally:
        await world.stop()
    if not injected or not checks.counts.get("requests run") or not checks.counts.get("reads"):
        checks.violation("soak", "nothing was injected or nothing was checked")
    checks.counts["requests served"] = sum(served for _, served in world.served)
    checks.counts["requests sent"] = len(world.served)
    return checks, injected


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--programs", type=Path, required=True)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--folder", type=Path)
    parser.add_argument("--network", type=int, default=30, help="second number of the loopback addresses")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = options.folder or Path(tempfile.mkdtemp(prefix="zinnia-soak-"))
        started = time.monotonic()
        checks, injected = asyncio.run(play(seed, options.seconds, folder / str(seed), options.programs.resolve(),
                                             options.network))
        print(f"seed {seed}: {'FAILED' if checks.violations else 'passed'} in {time.monotonic() - started:.0f} s; "
              + ", ".join(f"{count} {name}" for name, count in sorted(checks.counts.items())))
        print("  injected: " + ", ".join(f"{count} {name}" for name, count in sorted(injected.items())))
        for text in checks.violations[:10]:
            print(f"  {text}")
        if checks.violations:
            failed += 1
            print(f"  logs in {folder}")
        elif not options.folder:
            shutil.rmtree(folder, ignore_errors=True)
        sys.stdout.flush()
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

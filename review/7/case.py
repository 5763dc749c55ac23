"""A core machine is removed without SIGTERM after its successor has caught up; then another one loses its disk."""

import asyncio
import json
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from platform_pages import http_call  # noqa: E402
from world import BOUNDS, CaseError, Process, World, configuration, run_case  # noqa: E402

SUCCESSOR_SECONDS = 8.0  # twice catch_up_s
RECOVERY_SECONDS = 12.0  # recovery_s
VERSION = 2


def configuration_of(version):
    return configuration(version, {"logger": 2000}, [("198.18.0.1", 443, "unsafe", "logger")])


class Case:

    @staticmethod
    def make(folder):
        return World(folder, ["noord-a"])

    @staticmethod
    async def play(world, trouble):
        port = world.ports["control"]
        await world.start(configuration_of(1), [])
        leader = max(world.controls, key=lambda process: len(process.log_lines("LeaderElected")))
        removed, wiped = [process for process in world.controls if process is not leader]
        successor = Process(world, "fleet", 4, removed.zone, f"127.{world.net}.1.4")
        world.controls.append(successor)
        successor.start()
        await asyncio.sleep(SUCCESSOR_SECONDS)
        status, _ = await world.operator("PUT", "/zinniamount/config", configuration_of(VERSION))
        if status != 200:
            raise CaseError("the change was not acknowledged")

        world.record.line(f"{removed.name} is removed for good, without SIGTERM")
        removed.signal(signal.SIGKILL)
        removed.child.wait()
        world.controls.remove(removed)
        world.seeds = [f"{process.address}:{port}" for process in world.controls]
        await asyncio.sleep(1.0)
        if trouble:
            world.record.line(f"{wiped.name} loses its disk")
            wiped.signal(signal.SIGKILL)
            wiped.child.wait()
            shutil.rmtree(wiped.folder / "data")
            await asyncio.sleep(1.0)
            wiped.start()

        await asyncio.sleep(BOUNDS["catch_up_s"] + RECOVERY_SECONDS)
        world.record.line("all control instances run and are connected; the configuration is read")
        answers, end = [], time.monotonic() + 8.0
        while time.monotonic() < end:
            for process in world.controls:
                status, location, content = await http_call(process.address, port, "GET", "/zinniamount/config")
                if status == 307:
                    host, _, to = location.split("/")[2].partition(":")
                    status, _, content = await http_call(host, int(to), "GET", "/zinniamount/config")
                answers.append((status, json.loads(content)["version"] if status == 200 else None))
            await asyncio.sleep(0.5)
        world.record.line(f"answers (status, version): {sorted(set(answers), key=str)}, {len(answers)} reads")
        if any(version is not None and version < VERSION for _, version in answers):
            world.violate(f"CONFIG: a version older than {VERSION} is read back")
        elif (200, VERSION) not in answers:
            world.violate(f"CONFIG: version {VERSION}, acknowledged, doesn't come: {len(answers)} reads in 8 s")
            status, _ = await world.operator("PUT", "/zinniamount/config", configuration_of(VERSION + 1), 8.0)
            world.record.line(f"a new change within 8 s: {status or 'not acknowledged'}")
        for process in world.controls:
            for line in process.log_lines("Voter") + process.log_lines("QuorumLost") + process.log_lines("LeaderElected"):
                world.record.line(f"log of {process.name}: {line}")


run_case(Path(__file__).parent, Case)

"""Open flows while more callers come than the servers of their service can hold."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from world import Client, Target, World, configuration, run_case  # noqa: E402

MAX_FLOWS = 20  # of one server; the service is full with 40
CALLERS = 40
MORE_CALLERS = 6  # a burst of 46 / 40 = 1.15 within 3 s; the site files have x = 1.7 for 3 s
ROUTE = ("198.18.0.1", 443)


class Case:

    @staticmethod
    def make(folder):
        return World(folder, ["noord-a"])

    @staticmethod
    async def play(world, trouble):
        router = world.routers[0]
        targets = [Target(world, i + 1, "logger", "noord-a", MAX_FLOWS) for i in range(2)]
        await world.start(configuration(1, {"logger": MAX_FLOWS}, [(*ROUTE, "unsafe", "logger")]), targets)

        flows = []
        for i in range(CALLERS):
            client = Client(world, i + 1)
            await client.start()
            flow = await client.open(ROUTE, router)
            answer = flow and await flow.request(f"instruction {i}")
            if answer is None:
                world.record.line(f"caller {i} is not served; the others go on")
                continue
            flow.on_reset = lambda ended, by_system: by_system and world.violate(
                f"FLOW: the open flow {ended.client.address}:{ended.port} is reset by the system;"
                f" all servers live: {all(target.is_alive for target in targets)}")
            flows.append(flow)
        world.record.line(f"{len(flows)} flows are open and pause: {[len(target.flows) for target in targets]}")
        await asyncio.sleep(1.0)

        if trouble:
            world.record.line(f"{MORE_CALLERS} more callers come")
        for i in range(MORE_CALLERS if trouble else 0):
            client = Client(world, 100 + i)
            await client.start()
            asyncio.create_task(client.open(ROUTE, router))
            await asyncio.sleep(0.4)
        await asyncio.sleep(3.0)

        world.record.line("the callers of the open flows go on")
        for i, flow in enumerate(flows):
            if flow.is_open and await flow.request(f"next instruction {i}") is None:
                world.record.line(f"flow {i} of {flow.client.address}: no answer")
        world.record.line(f"servers have run {[target.runs for target in targets]}")
        for line in router.log_lines("UpstreamDead"):
            world.record.line(f"log of {router.name}: {line}")


run_case(Path(__file__).parent, Case)

"""A core machine is replaced as planned; soon after its removal another one loses its disk."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import BOUNDS, ZONES, Deployment, run  # noqa: E402

#: Time that the successor gets before the old machine is removed; the pages ask for catch_up_s. Unit: seconds.
SUCCESSOR_TIME = 2 * BOUNDS["catch_up_s"]
#: Time between the end of the removed machine and the loss of the disk. A machine that is removed stops counting as
#: lost once its successor has had catch_up_s; this is later, even if that time is counted from the removal.
PAUSE = BOUNDS["catch_up_s"] + 0.3
#: Time from the return of the machine without its disk until the configuration must be readable. Unit: seconds.
RECOVERY = BOUNDS["catch_up_s"] + BOUNDS["recovery_s"]


async def case(record, trouble):
    deployment = Deployment(record)
    try:
        deployment.start()
        if not await deployment.configure(3):
            return None
        await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000)
        successor = deployment.add_core(4, ZONES[2])
        successor.start(bootstrap=False)
        record.line(f"started the successor {successor.address} with an empty disk")
        await asyncio.sleep(SUCCESSOR_TIME)
        if not await deployment.configure(7):
            return None
        removed, wiped = deployment.cores[2], deployment.cores[1]
        ended = await removed.terminate()
        record.line(f"removed {removed.address} for good with SIGTERM; it ended by itself: {ended}")
        if not ended:
            return None
        await asyncio.sleep(PAUSE)
        if trouble:
            await wiped.kill()
            wiped.lose_disk()
            record.line(f"killed {wiped.address} and removed its disk")
            await asyncio.sleep(1.0)
            wiped.start(bootstrap=False)
            record.line(f"started {wiped.address} with an empty disk")
        await asyncio.sleep(RECOVERY)
        hosts = [core.address for core in (deployment.cores[0], wiped, successor)]
        results = []
        for turn in range(20):  # read back for longer than stability_window_ms
            for host in hosts:
                status, version = await deployment.read_version(host)
                record.line(f"operator GET /zinniamount/config at {host}: {status or 'no answer'}, version {version}")
                results.append((status, version))
            await asyncio.sleep(1.0)
        if any(status == 200 and version < 7 for status, version in results):
            return True
        await deployment.configure(9, seconds=BOUNDS["ack_ms"] / 1000)
        return all(status != 200 for status, _ in results)
    finally:
        await deployment.stop()


run(case, Path(__file__).parent)

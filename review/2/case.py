"""A cut watch: a worker that has left the list still gets orders when drain_ms is over."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import BOUNDS, Client, configuration, plain_service, play, route  # noqa: E402

DRAIN_S = BOUNDS["drain_ms"] / 1000
# How much longer than drain_ms the leaving worker serves before it exits.
LITTLE_LONGER_S = 0.15
# Tolerance for the stand-ins' own delays, in favour of the entries.
TOLERANCE_S = 0.02


async def case(deployment, trouble):
    routes = [route("orders", "/orders/", "shop", "unsafe", 1000, goal_ms=200)]
    await deployment.store.put("op/config", configuration(7, routes, {"shop": {}}))
    workers = [await deployment.add_worker("shop", plain_service(0.1)) for _ in range(3)]
    entries = [await deployment.add_entry(zone=zone) for zone in ("varna-a", "varna-b")]
    for entry in entries:
        await entry.wait_ready()
    stopping, orders = asyncio.Event(), []

    async def requester(entry):
        client = Client(entry, deployment.record)
        await client.open()
        while not stopping.is_set():
            orders.append(await client.ask("/orders/box", deadline_ms=1000))
            await asyncio.sleep(random.uniform(0.02, 0.06))

    tasks = [asyncio.create_task(requester(entry)) for entry in entries for _ in range(4)]
    await asyncio.sleep(5)
    if trouble:
        await deployment.store.cut_watches()

    # A planned exit of a worker that never reports draining: its entry is removed, it serves for drain_ms
    # and a little longer, and then it exits.
    # The one that is used most leaves, as the entries prefer some workers to others.
    recent = time.monotonic() - 1
    leaving = max(workers, key=lambda worker: sum(run.begun > recent for run in worker.runs))
    leaving.beat.cancel()
    await deployment.store.remove(f"servers/{leaving.id}")
    acknowledged = time.monotonic()
    deployment.record(f"the store has accepted the removal of worker {leaving.id}")
    await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
    await leaving.exit()
    await asyncio.sleep(2)
    stopping.set()
    await asyncio.gather(*tasks)

    late = [run for run in leaving.runs if run.begun - acknowledged > DRAIN_S + TOLERANCE_S]
    for run in late:
        after = run.begun - acknowledged
        deployment.record(f"late: order {run.id} reached {leaving.id} {after:.3f} s after its removal")
    lost = [order for order in orders if order.message is None or order.message.status != 200]
    for order in lost:
        deployment.record(f"not done: order {order.id} got {order.text}")
    deployment.record(f"{len(late)} orders came later than drain_ms, {len(lost)} orders were not done")
    return not late


play(FOLDER, case)

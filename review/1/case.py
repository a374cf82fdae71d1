"""Rolling restart: orders that an entry reads 5 s after its SIGTERM are cut while their worker is at work."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import BOUNDS, Client, configuration, event_stream, plain_service, play, route  # noqa: E402

REQUESTERS = 6
# The worker needs about three quarters of the order's deadline and of its route's timeout.
ORDER_S, ORDER_DEADLINE_MS = 2.2, 3000


async def case(deployment, trouble):
    routes = [
        route("advice", "/advice/", "llm", "streaming", 15000, gap_target_ms=500),
        route("orders", "/orders/", "shop", "unsafe", ORDER_DEADLINE_MS),
    ]
    services = {"llm": {"engine": {"stride": 5}}, "shop": {}}
    await deployment.store.put("op/config", configuration(7, routes, services))
    for _ in range(2):
        await deployment.add_worker("llm", event_stream(pieces=20, gap_s=0.3), slots=10)
        await deployment.add_worker("shop", plain_service(ORDER_S))
    entries = [await deployment.add_entry(zone=zone) for zone in ("varna-a", "varna-b")]
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(3)

    async def requester():
        """A stream, and then an order on the same channel."""
        client = Client(entries[0], deployment.record)
        await client.open()
        advice = await client.ask("/advice/quiz", fields={"X-Token-Counts": "100,100"})
        return advice, await client.ask("/orders/box", deadline_ms=ORDER_DEADLINE_MS)

    tasks = [asyncio.create_task(requester()) for _ in range(REQUESTERS)]
    await asyncio.sleep(0.8)
    stopped = time.monotonic()
    if trouble:
        entries[0].signal(signal.SIGTERM)
    results = await asyncio.gather(*tasks)
    if trouble:
        # The platform kills what is left after the grace period.
        try:
            left = stopped + BOUNDS["grace_s"] - time.monotonic()
            await asyncio.wait_for(entries[0].process.wait(), max(0, left))
        except asyncio.TimeoutError:
            await entries[0].kill()

    lost = 0
    for _, order in results:
        has_run = any(run.id == order.id for run in deployment.runs())
        is_whole = order.message is not None and order.message.complete
        in_time = (order.done - order.sent) * 1000 < ORDER_DEADLINE_MS
        if has_run and not is_whole and in_time:
            lost += 1
            after = f"sent {order.sent - stopped:.2f} s and cut {order.done - stopped:.2f} s after SIGTERM"
            deployment.record(f"lost: order {order.id} was passed on to a worker, {after}")
    deployment.record(f"{lost} of {len(results)} orders were lost")
    return lost == 0


play(FOLDER, case)

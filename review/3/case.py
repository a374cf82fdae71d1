"""Revocation: when the last tenant is taken away, entries serve every key, also those never given out."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import BOUNDS, Client, configuration, plain_service, play, route  # noqa: E402

KEYS = {"first": "k1-5b0e93f2a7", "second": "k2-c41d07be2a"}
UNKNOWN_KEY = "never-given-out"


def with_tenants(version, names):
    routes = [route("orders", "/orders/", "shop", "unsafe", 1000)]
    tenants = [{"name": name, "api_keys": [KEYS[name]], "priority": 1} for name in names]
    return configuration(version, routes, {"shop": {}}, tenants=tenants)


async def case(deployment, trouble):
    store = deployment.store
    await store.put("op/config", with_tenants(7, ["first", "second"]))
    for _ in range(2):
        await deployment.add_worker("shop", plain_service(0.03))
    entries = [await deployment.add_entry(zone=zone) for zone in ("varna-a", "varna-b")]
    for entry in entries:
        await entry.wait_ready()
    clients = [Client(entry, deployment.record) for entry in entries for _ in range(2)]
    for client in clients:
        await client.open()

    async def ask_all(key):
        deployment.record(f"now with the key {key}")
        return await asyncio.gather(*[client.ask("/orders/box", key=key) for client in clients])

    before = await ask_all(KEYS["first"]) + await ask_all(KEYS["second"])
    if any(reply.message is None or reply.message.status != 200 for reply in before):
        raise RuntimeError("the keys are not served before they are taken away")
    await asyncio.sleep(3.5)
    await store.put("op/config", with_tenants(8, ["first"]))
    deployment.record("version 8 is acknowledged: the second tenant is taken away")
    await asyncio.sleep(1.5)
    if trouble:
        await store.put("op/config", with_tenants(9, []))
        deployment.record("version 9 is acknowledged: the first tenant is taken away too")
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 0.5)

    dropped = [KEYS["first"], KEYS["second"]] if trouble else [KEYS["second"]]
    replies = {key: await ask_all(key) for key in [*dropped, UNKNOWN_KEY]}
    ran = {run.id: run for run in deployment.runs()}
    broken = 0
    for key, answers in replies.items():
        for reply in answers:
            if reply.id in ran:
                broken += 1
                tenant = ran[reply.id].request["X-Tenant"] or "no tenant"
                deployment.record(f"{reply.id} with the key {key} ran for {tenant}")
    deployment.record(f"{broken} requests ran whose key no configuration in force holds")
    return broken == 0


play(FOLDER, case)

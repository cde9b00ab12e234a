"""The last organisation is taken out of the configuration; its key must no longer be accepted."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import case as common
from case import TROUBLE, Client, configuration, route, sleep_until

CONFIG_APPLY_S = 3.0
KEY = "8wuakn2ftimaj3nr26tt"
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
TENANTS = [{"Name": "yard", "ApiKeys": [KEY], "Priority": 1, "RatePerS": 200, "Burst": 200}]
ROUTES = [route("slots", "/slots/", "idempotent", "tours"),
          route("seats", "/seats/", "non_idempotent", "tours")]
ROUNDS = 10


def with_key(key):
    return [("Authorization", f"Token {key}")]


async def send_all(client, results):
    for method, prefix in (("GET", "/slots/"), ("POST", "/seats/")):
        for name, headers in (("held", with_key(KEY)), ("unknown", with_key(UNKNOWN_KEY)),
                              ("none", []), ("named", [("Tenant", "mill")])):
            ident, status = await client.send(method, prefix, headers)
            results.append((name, ident, status))


async def run(world):
    await world.store.operator_write("op", "config", configuration(
        1, ["tours"], ROUTES, Tenants=TENANTS))
    for index in range(4):
        world.add_node("tours", f"zone-{index % 2}", "region", bounds={
            "ConfigApply": "3000ms", "DrainTimeout": "3000ms", "StrictRevoke": False})
    for node in world.nodes:
        node.start()
        await world.add_server(node)
    await world.wait_ready()
    await asyncio.sleep(4)
    clients = [Client(world, node) for node in world.nodes]

    before = []
    for client in clients:
        await send_all(client, before)
    for name, ident, status in before:
        if (status == 200) != (name == "held"):
            raise common.CannotRun(f"before the change: key {name}, {ident}, status {status}")

    acknowledged_at = await world.store.operator_write("op", "config", configuration(
        3, ["tours"], ROUTES, Tenants=[] if TROUBLE else TENANTS))
    world.record("configuration acknowledged", version=3, organisations=0 if TROUBLE else 1)
    await sleep_until(acknowledged_at + CONFIG_APPLY_S + 1.0)

    after = []
    for _ in range(ROUNDS):
        for client in clients:
            await send_all(client, after)
    ran = {fields["id"]: fields for _, what, fields in world.events if what == "runs"}
    for name, ident, status in after:
        if ident not in ran or (name == "held" and not TROUBLE):
            continue
        if name == "held":
            world.problem(f"CONFIG: {ident} runs with a dropped key, answered {status}")
        elif name == "unknown":
            world.problem(f"ROUTE: {ident} runs with a key that no version held, answered {status}")
        elif name == "named":
            world.problem(f"UNASKED: {ident} runs for the organisation {ran[ident]['tenant']!r}, "
                          f"which its client has named, answered {status}")
        else:
            world.problem(f"CONFIG: {ident} runs without a key on a route that is not public, "
                          f"answered {status}")
    for ident, fields in ran.items():
        if fields["key"]:
            world.problem(f"UNASKED: the key of {ident} is passed on to {fields['server']}")
    for client in clients:
        await client.close()


common.main(run)

"""A server leaves, its node is killed and starts again, and a heartbeat arrives late."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import case as common
from case import TROUBLE, Client, configuration, route, sleep_until
from world import CONTACT_S

DRAIN_TIMEOUT_S = 2.0
RESTART_DELAY_S = 0.5
TOUCH_MARGIN_S = 0.2
SERVICES = ["books", "books", "front", "front"]
REQUESTS_PER_S = 12
LATE_S = 3.0
SERVES_ON_S = 9.0


async def send_steadily(world, clients):
    """Sends requests through the nodes beside servers of the other service in turn."""
    count = 0
    tasks = []
    while True:
        method, prefix = (("GET", "/read/"), ("POST", "/once/"))[count % 2]
        tasks.append(asyncio.create_task(clients[count % len(clients)].send(method, prefix)))
        count += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def run(world):
    await world.store.operator_write("op", "config", configuration(
        1, ["books", "front"], [
        route("read", "/read/", "idempotent", "books"),
        route("once", "/once/", "non_idempotent", "books")]))
    for service in SERVICES:
        world.add_node(service, "zone", "region")
    for node in world.nodes:
        node.start()
        await world.add_server(node)
    await world.wait_ready()
    await asyncio.sleep(4)
    near = world.nodes[0]
    callers = [node for node in world.nodes if node.service == "front"]
    clients = [Client(world, node) for _ in range(6) for node in callers]
    sending = asyncio.create_task(send_steadily(world, clients))
    await asyncio.sleep(4)

    # The last heartbeat before the server leaves is the one that arrives late.
    server = world.servers["i-0-0"]
    server.stop_beats()
    late = server.compose_heartbeat()
    world.record("heartbeat is held up", server=server.ident, sequence=late["Status"]["Sequence"])
    late_at = time.monotonic() + LATE_S
    await asyncio.sleep(0.1)
    server.is_leaving = True
    left_at = await server.deregister()
    if left_at is None:
        raise common.CannotRun("the deregistration was not acknowledged")
    world.record("leaving is acknowledged", server=server.ident)
    touch_at = left_at
    if TROUBLE:
        near.signal(signal.SIGKILL)
        await near.exited(2.0)
        await asyncio.sleep(RESTART_DELAY_S)
        near.start()
        touch_at = time.monotonic() + CONTACT_S + TOUCH_MARGIN_S
    await sleep_until(late_at)
    acknowledged = await server.heartbeat(late)
    world.record("late heartbeat arrives", acknowledged=acknowledged is not None)
    await sleep_until(left_at + SERVES_ON_S)
    sending.cancel()
    await server.crash()

    sent_at = {fields["id"]: at for at, what, fields in world.events if what == "sent"}
    bound = max(left_at + DRAIN_TIMEOUT_S, touch_at)
    for at, what, fields in world.events:
        if what == "arrives" and fields["server"] == server.ident \
                and sent_at.get(fields["id"], 0) > bound:
            world.problem(f"DRAIN: {fields['id']} reaches {server.ident} {at - left_at:.2f} s "
                          "after its leaving was acknowledged")


common.main(run)

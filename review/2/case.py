"""Nodes are stopped and started in turn while a request that crashes servers comes again."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import case as common
import http1
from case import HOST, TROUBLE, Client, configuration, route
from world import CONTACT_S

NODES = 6
POISON = "/once/poison"
POISON_PAUSE_S = 0.8
SERVER_BACK_S = 2.0
GRACE_PERIOD_S = 6.0
RESTART_DELAY_S = 0.5
GAP_S = 9.0
MOST_RETRIES = 3
USUAL_PER_S = 30


async def crash_on_poison(server, reader, writer, head):
    """Crashes the server when it begins to run the request; it is back after some seconds."""
    method, path, _ = head.start.split(" ", 2)
    if path != POISON or head.get("expect-instance") not in ("", server.ident):
        return None
    world = server.world
    await http1.read_body(reader, head)
    world.record("crashes", id=head.get("attempt-id"), server=server.ident,
                 others=server.running)
    node = next(node for node in world.nodes if node.app == server.address)
    await server.crash()

    async def come_back():
        await asyncio.sleep(SERVER_BACK_S)
        again = await world.add_server(node)
        again.behave = crash_on_poison

    world.tasks.append(asyncio.create_task(come_back()))
    return False


async def send_poison(world, node):
    """Sends the request that crashes servers once, with an id of its own."""
    ident = world.new_id()
    world.requests[ident] = ("POST", POISON, b"")
    world.record("poison is sent", id=ident, node=node.ident)
    world.poison_at[ident] = (time.monotonic(), node)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*node.outbound), 1.0)
        try:
            writer.write(http1.encode(f"POST {POISON} HTTP/1.1", [
                ("Host", HOST), ("Attempt-Id", ident), ("Deadline-Ms", "1500")]))
            head = await asyncio.wait_for(http1.read_head(reader), 1.5)
            status = head.status if head else "closed"
        finally:
            writer.close()
    except (OSError, http1.Closed, asyncio.TimeoutError):
        status = "none"
    world.record("poison is answered", id=ident, status=status)


async def send_poison_again(world):
    """Sends it at one machine after the other."""
    count = 0
    while True:
        world.tasks.append(asyncio.create_task(
            send_poison(world, world.nodes[count % len(world.nodes)])))
        count += 1
        await asyncio.sleep(POISON_PAUSE_S)


async def send_usual(world, clients):
    count = 0
    while True:
        world.tasks.append(asyncio.create_task(
            clients[count % len(clients)].send("POST", "/once/")))
        count += 1
        await asyncio.sleep(1 / USUAL_PER_S)


async def restart_in_turn(world):
    for node in world.nodes:
        node.signal(signal.SIGTERM)
        if await node.exited(GRACE_PERIOD_S) is None:
            node.signal(signal.SIGKILL)
            await node.exited(1.0)
        await asyncio.sleep(RESTART_DELAY_S)
        node.start()
        await asyncio.sleep(GAP_S)


async def run(world):
    world.tasks, world.poison_at = [], {}
    await world.store.operator_write("op", "config", configuration(1, ["books"], [
        route("once", "/once/", "non_idempotent", "books")]))
    for index in range(NODES):
        world.add_node("books", f"zone-{index % 3}", "region")
    for node in world.nodes:
        node.start()
        server = await world.add_server(node)
        server.behave = crash_on_poison
    await world.wait_ready()
    await asyncio.sleep(4)
    clients = [Client(world, node) for _ in range(4) for node in world.nodes]
    sending = [asyncio.create_task(send_poison_again(world)),
               asyncio.create_task(send_usual(world, clients))]
    await asyncio.sleep(8)
    if TROUBLE:
        await restart_in_turn(world)
    else:
        await asyncio.sleep(NODES * (GAP_S + 3.5))
    for task in sending:
        task.cancel()

    crashes = [(at, fields) for at, what, fields in world.events if what == "crashes"]
    lost = sum(fields["others"] for _, fields in crashes)
    print(f"{len(crashes)} crashes, {lost} other requests ran on those servers")
    if len(crashes) < 3:
        world.record("no third crash")
        return
    third_at = crashes[2][0]
    changes = {node.ident: [] for node in world.nodes}
    for at, what, fields in world.events:
        if what in ("node starts", "signal"):
            changes[fields["node"]].append((at, what))

    def is_in_touch(node, at):
        """Returns whether the node's process has run, undisturbed, for Contact before."""
        last_at, last = [change for change in changes[node.ident] if change[0] <= at][-1]
        return last == "node starts" and at - last_at >= CONTACT_S

    retries = []
    for at, fields in crashes:
        sent_at, entered = world.poison_at[fields["id"]]
        address = world.servers[fields["server"]].address
        ran_at = next(node for node in world.nodes if node.app == address)
        if sent_at > third_at + CONTACT_S and is_in_touch(entered, sent_at) \
                and is_in_touch(ran_at, at):
            retries.append(fields["id"])
    world.record("retries later than Contact after the third crash", count=len(retries))
    if len(retries) > MOST_RETRIES:
        world.problem(f"BUDGET: the request that crashes servers reaches them in {len(retries)} "
                      f"retries, sent later than Contact after it has crashed the third")


common.main(run)

"""Servers in trouble send bodies without end; the route's timeout must end the requests."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import case as common
import http1
from case import HOST, TROUBLE, configuration, route

TIMEOUT_S = 1.2
DEADLINE_S = 5.0
GRACE_S = 0.5
REQUESTS_PER_S = 30
DURATION_S = 20.0
TROUBLED_SERVERS = 2
SPOILED_SHARE = 0.05
PIECE = b"\x00" * 32 * 1024
PIECE_PAUSE_S = 0.05
LEAST_LATE, LATE_SHARE = 8, 0.25


async def answer_without_end(server, reader, writer, head):
    """Spoils the answers chosen by the case; returns None for others."""
    ident = head.get("attempt-id")
    if ident not in server.world.spoiled or head.get("expect-instance") not in ("", server.ident):
        return None
    method, path, _ = head.start.split(" ", 2)
    body = await http1.read_body(reader, head)
    await server.run(reader, head, ident, method, path, body)
    headers = [("Server-Seal", f"seal.{server.ident}")] + server.common_headers(ident)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    writer.write(f"HTTP/1.1 200 OK\r\n{lines}Transfer-Encoding: chunked\r\n\r\n".encode())
    while not writer.is_closing():
        writer.write(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)
    server.world.record("caller has closed", id=ident, server=server.ident)
    return False


async def send(world, node, ends):
    """Sends a request on a connection of its own and records how long it lasts."""
    ident = world.new_id()
    path = f"/read/{ident}"
    world.requests[ident] = ("GET", path, b"")
    if TROUBLE and world.random.random() < SPOILED_SHARE:
        world.spoiled.add(ident)
    sent_at = time.monotonic()

    async def exchange():
        reader, writer = await asyncio.open_connection(*node.outbound)
        try:
            writer.write(http1.encode(f"GET {path} HTTP/1.1", [
                ("Host", HOST), ("Attempt-Id", ident),
                ("Deadline-Ms", str(int(DEADLINE_S * 1000)))]))
            head = await http1.read_head(reader)
            if head is None:
                return "connection ended"
            await http1.read_body(reader, head, is_response=True)
            return f"status {head.status}"
        except (http1.Closed, ConnectionError):
            return "connection ended"
        finally:
            writer.close()

    world.record("sent", id=ident, node=node.ident, spoiled=ident in world.spoiled)
    try:
        end = await asyncio.wait_for(exchange(), DEADLINE_S)
    except (OSError, asyncio.TimeoutError):
        end = "nothing until the deadline"
    lasted = time.monotonic() - sent_at
    ends.append((ident, lasted))
    world.record("ends", id=ident, after_s=f"{lasted:.2f}", by=end.replace(" ", "-"))


async def run(world):
    world.spoiled = set()
    await world.store.operator_write("op", "config", configuration(1, ["books"], [
        route("read", "/read/", "idempotent", "books", timeout=f"{int(TIMEOUT_S * 1000)}ms")]))
    for index in range(4):
        world.add_node("books", f"zone-{index % 2}", "region")
    for node in world.nodes:
        node.start()
        server = await world.add_server(node)
        if node.index < TROUBLED_SERVERS:
            server.behave = answer_without_end
    await world.wait_ready()
    await asyncio.sleep(4)

    ends, tasks = [], []
    started = time.monotonic()
    while time.monotonic() - started < DURATION_S:
        node = world.nodes[len(tasks) % len(world.nodes)]
        tasks.append(asyncio.create_task(send(world, node, ends)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)

    long = [lasted for _, lasted in ends if lasted > TIMEOUT_S]
    late = [lasted for lasted in long if lasted > TIMEOUT_S + GRACE_S]
    print(f"{len(ends)} requests, {len(long)} longer than the timeout, {len(late)} of them not "
          f"ended {GRACE_S} s after it")
    if len(late) >= LEAST_LATE and len(late) > LATE_SHARE * len(long):
        world.problem(f"CONFIG: {len(late)} of {len(long)} requests that last longer than their "
                      f"route's timeout have no final answer {GRACE_S} s after it")


common.main(run)

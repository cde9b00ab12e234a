"""A server says in an answer that it leaves, which its node, started again since, does not heed."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from world import DRAIN_S, HEARTBEAT_S, CannotRun, main

# Time after which a server exits whose leaving nobody acknowledges.
EXIT_AFTER_S = 2.85


async def play(world, is_troubled):
    world.configure(1, [("/visit/", "non_idempotent", "besoeg", 5000)])
    node = await world.add_node("besoeg")
    taking = await world.add_node("statusside")
    await world.wait_until_listening()
    server = await world.add_server(node, "i-leaving")
    other = await world.add_server(taking, "i-other")
    server.start_heartbeats()
    other.start_heartbeats()
    await world.wait_until_ready()
    await asyncio.sleep(5)

    server.stop_heartbeats()
    if is_troubled:
        # Planned work: the node is stopped and started while its server keeps running.
        checks_before = server.health_checks
        await node.restart()
    else:
        await asyncio.sleep(2.8)
    await asyncio.sleep(0.4)
    if is_troubled and server.health_checks == checks_before:
        raise CannotRun("the node did not find the server by its health check")
    first = asyncio.create_task(world.call(taking, "/visit/", deadline_ms=5000, work_ms=800))
    await asyncio.sleep(0.5)
    await server.send(server.heartbeat("ready"))
    beat_at = world.record.now()
    server.is_leaving = True
    world.record.write("i-leaving: leaves, and says so in all its answers")
    # The next heartbeat, which says `draining`, is late: it has not arrived when the server exits.
    result = await first
    if result["answer"].headers.get("server-leaving") != "1":
        raise CannotRun("no answer has said that the server leaves")
    told_at = result["ended"]

    await asyncio.sleep(DRAIN_S + 0.15)
    second = asyncio.create_task(world.call(taking, "/visit/", deadline_ms=5000, work_ms=2000))
    await asyncio.sleep(max(0.2, beat_at + EXIT_AFTER_S - world.record.now()))
    if world.record.now() > beat_at + 2 * HEARTBEAT_S:
        raise CannotRun("a further heartbeat was due")
    server.exit()
    result = await second
    return [f"DRAIN: {result['attempt']} was sent {result['sent'] - told_at:.2f} s after "
            f"{taking.name} had passed on an answer with Server-Leaving (DrainTimeout {DRAIN_S:g} s), "
            f"reached the server and got {result['answer']}"
            for _run in result["runs"]]


main(Path(__file__).parent, play)

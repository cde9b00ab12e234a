"""A young server leaves soon after its node was stopped and started, and a heartbeat arrives late."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from world import CONTACT_S, CannotRun, drain_breaks, main

# Time by which the late heartbeat arrives after it was sent.
HEARTBEAT_DELAY_S = 3.0


async def play(world, is_troubled):
    world.configure(1, [("/visit/", "non_idempotent", "besoeg", 5000)])
    node = await world.add_node("besoeg")
    other_node = await world.add_node("besoeg")
    await world.add_others("besoeg", 3)
    await world.wait_until_listening()
    other = await world.add_server(other_node, "i-other")
    other.start_heartbeats()
    await world.wait_until_ready()
    await asyncio.sleep(2)

    server = await world.add_server(node, "i-young")
    server.start_heartbeats()
    await asyncio.sleep(0.1)
    if is_troubled:
        # Planned work: the node is stopped and started while its server keeps running.
        await node.restart()
    else:
        await asyncio.sleep(2.8)
    server.stop_heartbeats()
    late = server.heartbeat("ready")
    if server.sequence != 3:
        raise CannotRun("the late heartbeat is not the third one")
    late_at = world.record.now() + HEARTBEAT_DELAY_S
    await asyncio.sleep(0.7)
    if is_troubled and server.health_checks == 0:
        raise CannotRun("the node did not find the server by its health check")
    if not await server.deregister():
        raise CannotRun("the deregistration was not acknowledged")
    acknowledged_at = world.record.now()
    await asyncio.sleep(max(0, late_at - world.record.now()))
    await server.send(late)

    # Both machines are in touch again.
    in_touch_at = node.started_at + CONTACT_S + 0.2
    await asyncio.sleep(max(0.4, in_touch_at - world.record.now()))
    calls = [asyncio.create_task(world.call(machine, "/visit/", deadline_ms=5000, work_ms=1000))
             for machine in (node, other_node) for _ in range(3)]
    await asyncio.sleep(0.6)
    server.exit()
    await asyncio.gather(*calls)
    return drain_breaks(server, acknowledged_at)


main(Path(__file__).parent, play)

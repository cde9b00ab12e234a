"""A server leaves while the store is away, and its node is stopped and started before it is back."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from world import CONTACT_S, CannotRun, drain_breaks, main


async def play(world, is_troubled):
    world.configure(1, [("/visit/", "non_idempotent", "besoeg", 5000)])
    node = await world.add_node("besoeg")
    other_node = await world.add_node("besoeg")
    await world.add_others("besoeg", 3)
    await world.wait_until_listening()
    server = await world.add_server(node, "i-leaving")
    other = await world.add_server(other_node, "i-other")
    server.start_heartbeats()
    other.start_heartbeats()
    await world.wait_until_ready()
    await asyncio.sleep(8)

    # The heartbeat was sent before the server leaves, and arrives seconds late.
    server.stop_heartbeats()
    late = server.heartbeat("ready")
    if is_troubled:
        world.store.go_away()
    await asyncio.sleep(0.3)
    if not await server.deregister():
        raise CannotRun("the deregistration was not acknowledged")
    acknowledged_at = world.record.now()
    # Planned work: the node is stopped and started while its server still serves.
    await node.restart()
    await asyncio.sleep(0.5)
    if is_troubled:
        world.store.come_back()
    calm_at = world.record.now() + CONTACT_S
    await asyncio.sleep(0.5)
    await server.send(late)

    await asyncio.sleep(max(0, calm_at + 0.3 - world.record.now()))
    calls = [asyncio.create_task(world.call(machine, "/visit/", deadline_ms=5000, work_ms=1000))
             for machine in (node, other_node) for _ in range(3)]
    await asyncio.sleep(0.6)
    server.exit()
    await asyncio.gather(*calls)
    return drain_breaks(server, acknowledged_at)


main(Path(__file__).parent, play)

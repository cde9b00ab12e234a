"""A server leaves, the store comes back from a copy of before, and the node is stopped and started."""

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

    copy = world.store.copy()
    await asyncio.sleep(0.8)
    # The heartbeat was sent before the server leaves, and arrives seconds late.
    server.stop_heartbeats()
    late = server.heartbeat("ready")
    await asyncio.sleep(0.2)
    if not await server.deregister():
        raise CannotRun("the deregistration was not acknowledged")
    acknowledged_at = world.record.now()
    if not any(key == f"/departure/{node.name}" for _table, key in world.store.rows):
        raise CannotRun("the departure is not in the store")
    await asyncio.sleep(0.3)
    if is_troubled:
        # A drill: away for a moment, and back from a copy that is some seconds old.
        world.store.go_away()
        await asyncio.sleep(0.5)
        world.store.restore(copy)
        world.store.come_back()
    else:
        await asyncio.sleep(0.5)
    await asyncio.sleep(0.5)
    # Planned work: the node is stopped and started while its server still serves.
    await node.restart()
    await asyncio.sleep(0.6)
    await server.send(late)

    in_touch_at = node.started_at + CONTACT_S + 0.3
    await asyncio.sleep(max(0, in_touch_at - world.record.now()))
    calls = [asyncio.create_task(world.call(machine, "/visit/", deadline_ms=5000, work_ms=1000))
             for machine in (node, other_node) for _ in range(3)]
    await asyncio.sleep(0.6)
    server.exit()
    await asyncio.gather(*calls)
    return drain_breaks(server, acknowledged_at)


main(Path(__file__).parent, play)

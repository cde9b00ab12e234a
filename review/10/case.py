"""Two machines are stopped in turn: the one that runs a request first, then the one that took it."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from world import GRACE_S, main

# Pause between the stops of two machines.
GAP_S = 1.3
DEADLINE_MS = 5000
WORK_MS = 4200


async def play(world, is_troubled):
    world.configure(1, [("/visit/", "non_idempotent", "besoeg", DEADLINE_MS)])
    executing = await world.add_node("besoeg")
    other = await world.add_node("besoeg")
    taking = await world.add_node("statusside")
    await world.wait_until_listening()
    for index, node in enumerate((executing, other, taking)):
        server = await world.add_server(node, f"i-{index}")
        server.start_heartbeats()
    await world.wait_until_ready()
    await asyncio.sleep(4)

    if is_troubled:
        executing.signal(signal.SIGTERM)
        await asyncio.sleep(GAP_S)
        taking.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
    calls = [world.call(taking, "/visit/", deadline_ms=DEADLINE_MS, work_ms=WORK_MS)
             for _ in range(8)]
    results = await asyncio.gather(*calls)

    broken = []
    for result in results:
        answer, runs = result["answer"], result["runs"]
        is_of_server = "server-seal" in answer.headers
        has_time = result["ended"] - result["sent"] < DEADLINE_MS / 1000 - 0.25
        if not is_troubled:
            if not is_of_server:
                broken.append(f"LOST: {result['attempt']} got {answer} without a stop")
            continue
        since_stop = result["ended"] - taking.term_at
        # The server would have ended before the last sixth of the grace period of the machine that
        # took the request.
        would_end = [run["at"] + WORK_MS / 1000 - taking.term_at for run in runs]
        is_excused = any(end >= GRACE_S * 5 / 6 for end in would_end)
        if runs and not is_of_server and has_time and since_stop < GRACE_S * 5 / 6 and not is_excused:
            broken.append(f"LOST: {result['attempt']} got {answer} {since_stop:.2f} s after the "
                          f"SIGTERM of its machine, its server was at work and would have ended at "
                          f"{would_end[0]:.2f} s")
    return broken


main(Path(__file__).parent, play)

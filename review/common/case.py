"""What the cases share: the configuration, plain clients and the result of a run."""

import asyncio
import os
import pathlib
import sys
import time
import traceback

import http1
from world import CannotRun, World

HOST = "yard.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110


def route(name, prefix, kind, service, timeout="3s", latency="800ms"):
    return {"Name": name, "Prefix": prefix, "Kind": kind, "Timeout": timeout,
            "TargetLatency": latency, "Priority": 1, "Service": service, "MaxAttempts": 2,
            "Public": False}


def configuration(version, services, routes, **more):
    return dict({
        "Version": version,
        "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConnections": 470,
                      "Protocol": "h1", "Tls": False} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                   "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
        "VirtualHosts": [{"Host": HOST, "HostRoutes": routes}],
    }, **more)


class Client:
    """A client that sends one request after the other on a kept connection."""

    def __init__(self, world, node):
        self.world = world
        self.node = node
        self.reader = None
        self.writer = None

    async def send(self, method, prefix, headers=(), body=b"", deadline_ms=1500):
        """Sends a request with an id of its own; returns the id and the status.

        The status is None if there was no complete answer in time.
        """
        world = self.world
        ident = world.new_id()
        path = f"{prefix}{ident}"
        world.requests[ident] = (method, path, body)
        message = http1.encode(f"{method} {path} HTTP/1.1", [
            ("Host", HOST), ("Attempt-Id", ident), ("Deadline-Ms", str(deadline_ms)),
            *headers], body)
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.node.outbound), 1.0)
            world.record("sent", id=ident, node=self.node.ident)
            status = await asyncio.wait_for(self._exchange(ident, message), deadline_ms / 1000)
        except (OSError, http1.Closed, asyncio.TimeoutError) as error:
            world.record("unanswered", id=ident, error=type(error).__name__)
            await self.close()
            return ident, None
        world.record("answered", id=ident, status=status)
        return ident, status

    async def _exchange(self, ident, message):
        self.writer.write(message)
        head = await http1.read_head(self.reader)
        if head is None:
            raise http1.Closed("connection ended without an answer")
        body = await http1.read_body(self.reader, head, is_response=True)
        if 200 <= head.status < 300 and body != self.world.answer_body(ident):
            self.world.problem(f"MIXED: {ident} gets another body")
        if "close" in head.get("connection").lower():
            await self.close()
        return head.status

    async def close(self):
        if self.writer is not None:
            await http1.close(self.writer)
        self.reader = self.writer = None


def main(case):
    """Runs `case(world)`, which reports broken rules by `world.problem`, and exits."""
    sys.exit(asyncio.run(_run(case)))


async def _run(case):
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    world = World(folder / "record.txt")
    world.record("begins", trouble=int(TROUBLE))
    try:
        await world.start_store()
        await asyncio.wait_for(case(world), TIME_LIMIT_S)
        for node in world.nodes:
            if node.process.poll() is not None:
                raise CannotRun(f"{node.ident} has ended with {node.process.poll()}")
        code = EXIT_BROKEN if world.problems else EXIT_HELD
    except (CannotRun, OSError, asyncio.TimeoutError):
        world.record("cannot run", error=traceback.format_exc().replace("\n", " | "))
        code = EXIT_CANNOT_RUN
    finally:
        await end_tasks()
        await world.end()
    world.record("ends", code=code, problems=len(world.problems))
    world.record_file.close()
    print(f"exit {code}, {len(world.problems)} violations"
          + (f"; first: {world.problems[0]}" if world.problems else ""))
    return code


async def end_tasks():
    """Ends what the case has left running."""
    # Connections that are still open end with the process, without a warning each.
    asyncio.StreamWriter.__del__ = lambda writer: None
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def sleep_until(at):
    await asyncio.sleep(max(0.0, at - time.monotonic()))

"""Stand-in of an application server: runs requests in slots, sends heartbeats, leaves."""

import asyncio
import json
import time

import http1


class Server:
    """A server; `behave` may replace how the answer to a request is sent."""

    def __init__(self, world, ident, service, address, admin, slots=9, work_s=0.05,
                 heartbeat_s=1.5):
        self.world = world
        self.ident = ident
        self.service = service
        self.address = address
        self.admin = admin
        self.slots = slots
        self.work_s = work_s
        self.heartbeat_s = heartbeat_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.is_leaving = False
        self.is_dead = False
        self.free = asyncio.Condition()
        self.behave = None
        self.writers = set()
        self.beats = None

    async def start(self):
        self.listener = await asyncio.start_server(
            self._serve, *self.address, limit=http1.MAX_HEAD_BYTES)
        self.beats = asyncio.create_task(self._send_beats())
        return self

    async def _send_beats(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    def compose_heartbeat(self, state=None):
        """Returns the body of the next heartbeat, which may be sent later."""
        self.sequence += 1
        state = state or ("draining" if self.is_leaving else "ready")
        return {"Address": f"{self.address[0]}:{self.address[1]}", "born": self.born,
                "Info": {"Service": self.service, "Version": "v1", "Zone": "z",
                         "Concurrency": self.slots},
                "Status": {"State": state, "Sequence": self.sequence, "WarmupLeft": "0ms"}}

    async def heartbeat(self, body=None):
        return await self._report("instances.heartbeat", body or self.compose_heartbeat())

    async def deregister(self):
        return await self._report("instances.deregister", None)

    async def _report(self, call, body):
        """Sends a report; returns when it was acknowledged, or None."""
        payload = json.dumps(body).encode() if body is not None else b""
        message = http1.encode(f"POST /-/rpc?call={call}&of={self.ident} HTTP/1.1", [
            ("Host", f"{self.admin[0]}:{self.admin[1]}"), ("Content-Type", "application/json")],
            payload)

        async def exchange():
            reader, writer = await asyncio.open_connection(*self.admin)
            try:
                writer.write(message)
                await writer.drain()
                head = await http1.read_head(reader)
                return head is not None and 200 <= head.status < 300
            finally:
                await http1.close(writer)

        try:
            if await asyncio.wait_for(exchange(), 1.0):
                return time.monotonic()
        except (OSError, asyncio.TimeoutError, http1.Closed):
            pass
        return None

    def stop_beats(self):
        if self.beats:
            self.beats.cancel()

    async def crash(self):
        """Ends the server without a word."""
        self.is_dead = True
        self.stop_beats()
        self.listener.close()
        for writer in list(self.writers):
            http1.reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.is_dead:
                head = await http1.read_head(reader)
                if head is None:
                    break
                if not await self._respond(reader, writer, head):
                    break
        except (http1.Closed, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            await http1.close(writer)

    def common_headers(self, ident=""):
        headers = [("Server-Load", f"{self.running},{self.waiting},{self.slots}"),
                   ("Keep-Alive", "timeout=10")]
        if ident:
            headers.append(("Attempt-Id", ident))
        if self.is_leaving:
            headers += [("Server-Leaving", "1"), ("Connection", "close")]
        return headers

    async def _respond(self, reader, writer, head):
        method, path, _ = head.start.split(" ", 2)
        if path == "/healthz":
            await http1.read_body(reader, head)
            status = "503 Unavailable" if self.is_leaving else "200 OK"
            writer.write(http1.encode(f"HTTP/1.1 {status}", [
                ("Instance-Id", self.ident)] + self.common_headers()))
            await writer.drain()
            return not self.is_leaving
        ident = head.get("attempt-id")
        self.world.record("arrives", id=ident, server=self.ident, service=self.service,
                          caller=head.get("caller-service"), tenant=head.get("tenant"),
                          key=head.get("authorization"))
        if self.behave is not None:
            handled = await self.behave(self, reader, writer, head)
            if handled is not None:
                return handled
        body = await http1.read_body(reader, head)
        refusal = None
        if head.get("expect-instance") not in ("", self.ident):
            refusal = "421 Misdirected Request"
        elif not ident:
            refusal = "400 Bad Request"
        elif self.running >= self.slots and self.waiting >= 4 * self.slots:
            refusal = "503 Service Unavailable"
        if refusal:
            headers = [("Not-Executed", "1"), ("Instance-Id", self.ident)]
            writer.write(http1.encode(f"HTTP/1.1 {refusal}", headers + self.common_headers(ident)))
            await writer.drain()
            return not self.is_leaving
        await self.run(reader, head, ident, method, path, body)
        answer = self.world.answer_body(ident)
        headers = [("Server-Seal", f"seal.{self.ident}")] + self.common_headers(ident)
        writer.write(http1.encode("HTTP/1.1 200 OK", headers, answer))
        await writer.drain()
        return not self.is_leaving

    async def run(self, reader, head, ident, method, path, body):
        """Runs a request once a slot is free, unless its caller leaves before."""
        self.waiting += 1
        try:
            async with self.free:
                while self.running >= self.slots:
                    await self.free.wait()
        finally:
            self.waiting -= 1
        if reader.at_eof():
            raise http1.Closed("caller has left before the run")
        self.running += 1
        self.world.record("runs", id=ident, server=self.ident, service=self.service,
                          caller=head.get("caller-service"), tenant=head.get("tenant"),
                          key=head.get("authorization"))
        self.world.check_run(ident, method, path, body)
        try:
            await asyncio.sleep(self.world.work_of(ident, self.work_s))
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()
        self.world.record("ran", id=ident, server=self.ident)

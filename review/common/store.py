"""Stand-in of the platform's metadata store: tables, transactions and the feed."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http1

ANSWER_S = 0.004
TRANSACTION_S = 0.006


class Store:
    """A store in memory; its responses are linearizable."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.compacted = 0
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.calls = 0

    async def start(self, host, port=0):
        self.listener = await asyncio.start_server(self._serve, host, port)
        self.address = self.listener.sockets[0].getsockname()[:2]
        return self.address

    def now(self):
        return f"{int((time.monotonic() - self.started) * 1000)}ms"

    async def operator_write(self, table, key, value):
        """Writes a row for the operator; the return is its acknowledgement."""
        await self._apply([{"Table": table, "part": "", "Key": key, "Data": base64.b64encode(
            json.dumps(value).encode()).decode()}], [])
        return time.monotonic()

    def row(self, table, key):
        found = self.rows.get((table, "", key))
        return base64.b64decode(found["Data"]) if found else None

    async def _apply(self, writes, removes):
        async with self.changed:
            self.version += 1
            for row in writes:
                kept = {"Table": row["Table"], "part": row.get("part", ""), "Key": row["Key"],
                        "Data": row.get("Data", ""), "Ver": self.version}
                self.rows[(kept["Table"], kept["part"], kept["Key"])] = kept
                self.history.append(kept)
            for row in removes:
                key = (row["Table"], row.get("part", ""), row["Key"])
                if self.rows.pop(key, None) is not None:
                    self.history.append({"Table": key[0], "part": key[1], "Key": key[2],
                                         "Ver": self.version, "Tombstone": True})
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await http1.read_head(reader)
                if head is None:
                    break
                body = await http1.read_body(reader, head)
                status, answer = await self._answer(head, body)
                payload = json.dumps(answer).encode()
                writer.write(http1.encode(f"HTTP/1.1 {status} X", [
                    ("Content-Type", "application/json"), ("Store-Era", "0")], payload))
                await writer.drain()
        except (http1.Closed, ConnectionError):
            pass
        finally:
            await http1.close(writer)

    async def _answer(self, head, body):
        self.calls += 1
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(head.start.split(" ")[1])
        query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/rows-get":
            return 200, self._get(query)
        if url.path == "/-/rows-feed":
            return await self._feed(query)
        if url.path == "/-/rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            return await self._transaction(json.loads(body))
        return 404, {}

    def _get(self, query):
        part = query.get("part", "")
        rows = [row for key, row in sorted(self.rows.items())
                if key[0] == query["Table"] and key[1] == part
                and key[2] >= query.get("StartKey", "")
                and ("To" not in query or key[2] < query["To"])]
        limit = min(int(query.get("Limit", 500)), 500)
        return {"Rows": rows[:limit], "HasMore": len(rows) > limit, "Ver": self.version,
                "Now": self.now()}

    async def _feed(self, query):
        after = int(query.get("after", 0))
        deadline = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        while True:
            if after < self.compacted or after > self.version:
                return 410, {}
            newest = {}
            for row in self.history:
                if row["Table"] == query["Table"] and row["Ver"] > after:
                    newest[(row["part"], row["Key"])] = row
            left = deadline - time.monotonic()
            if newest or left <= 0:
                rows = sorted(newest.values(), key=lambda row: row["Ver"])
                return 200, {"Rows": rows, "Ver": self.version, "Now": self.now()}
            async with self.changed:
                if self.version <= after or not any(
                        row["Ver"] > after and row["Table"] == query["Table"]
                        for row in self.history):
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass

    async def _transaction(self, call):
        expected = call.get("Expect") or []
        current = [self.rows.get((row["Table"], row.get("part", ""), row["Key"])) for row in expected]
        for row, found in zip(expected, current):
            if (found["Ver"] if found else 0) != row["Ver"]:
                return 412, {"Rows": [found for found in current if found], "Ver": self.version}
        await self._apply(call.get("Writes") or [], call.get("Remove") or [])
        return 200, {"Ver": self.version, "Now": self.now()}

"""A small deployment for review scripts: real sidecars, and stand-ins of store, servers and clients.

Everything runs on loopback addresses and the real clock. The stand-ins speak HTTP/1.1 as the
users' pages describe it and do nothing that the pages do not name.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
SIDECAR = ROOT / "target/release/lentilshunt-sidecar"
CANNOT_RUN = 2

HEARTBEAT_S = 1.5
DRAIN_S = 2.0
CONTACT_S = 3.0
GRACE_S = 6.0
RESTART_DELAY_S = 0.2
LONG_BODY_BYTES = 100_000
CONFIG_APPLY_S = 2.0


class CannotRun(Exception):
    """The case could not be run as intended, so that it shows nothing."""


class Record:
    """Lines of `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        line = f"{self.now():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_head(reader):
    """Reads the head of a message; returns its first line and headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response=False):
    """Reads a body with a length or in chunks; a response without either ends with its connection."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, value, headers=()):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
               503: "Service Unavailable"}
    headers = {"Content-Type": "application/json", **dict(headers)}
    return message(f"HTTP/1.1 {status} {reasons[status]}", headers, json.dumps(value).encode())


class Listener:
    """An HTTP/1.1 server with one task a connection."""

    def __init__(self):
        self.server = None
        self.tasks = set()

    async def listen(self, ip, port=0, receive_buffer=None):
        listener = socket.create_server((ip, port))
        if receive_buffer is not None:
            # Inherited by the connections.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.server = await asyncio.start_server(self._serve, sock=listener)
        return self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def end(self):
        """Closes the listener and all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(Listener):
    """The platform's metadata store: rows with versions, transactions and a feed."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.version = 0
        self.rows = {}
        self.feed_log = []
        self.era = 1
        self.is_busy = False
        self.changed = asyncio.Event()

    def write(self, table, key, data):
        """Writes a row, or removes it if `data` is None."""
        self.version += 1
        if data is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (data, self.version)
        self.feed_log.append((self.version, table, key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    def write_json(self, table, key, value):
        self.write(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def go_away(self):
        """Answers all calls with 503, which means that nothing was done."""
        self.is_busy = True
        self.record.write("store: away, answers 503")

    def come_back(self):
        self.is_busy = False
        self.record.write(f"store: back, Store-Era {self.era}")

    def copy(self):
        """Returns the content, to which a drill can come back."""
        return self.version, dict(self.rows), list(self.feed_log)

    def restore(self, copy):
        """Comes back from an older copy, as in a drill: `Store-Era` rises by one."""
        self.version, self.rows, self.feed_log = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            line, headers = head
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ")
            path, _, query = target.partition("?")
            query = dict(parse_qsl(query, keep_blank_values=True))
            writer.write(await self.respond(path, query, body))
            await writer.drain()

    def answer(self, status, value):
        return json_response(status, {**value, "Now": f"{int(time.monotonic() * 1000)}ms"},
                             {"Store-Era": self.era})

    async def respond(self, path, query, body):
        if self.is_busy:
            return self.answer(503, {})
        if path == "/-/rows-get":
            return self.answer(200, self.get(query))
        if path == "/-/rows-feed":
            return await self.feed(query)
        if path == "/-/rows-tx":
            return self.transact(json.loads(body))
        return self.answer(404, {})

    def get(self, query):
        table, start, to = query["Table"], query.get("StartKey", ""), query.get("To")
        limit = min(int(query.get("Limit", 500)), 500)
        keys = sorted(key for (t, key) in self.rows
                      if t == table and key >= start and (to is None or key < to))
        rows = [self.row(table, key) for key in keys[:limit]]
        return {"Rows": rows, "HasMore": len(keys) > limit, "Ver": self.version}

    def row(self, table, key):
        data, version = self.rows[(table, key)]
        return {"Table": table, "part": "", "Key": key, "Data": data, "Ver": version}

    async def feed(self, query):
        table, after = query["Table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        era = self.era
        while True:
            if self.is_busy:
                return self.answer(503, {})
            if after > self.version or self.era != era:
                return self.answer(410, {"Ver": self.version})
            newest = {key: (version, data) for version, t, key, data in self.feed_log
                      if t == table and version > after}
            rows = []
            for key, (version, data) in sorted(newest.items(), key=lambda item: item[1][0]):
                row = {"Table": table, "part": "", "Key": key, "Ver": version}
                rows.append({**row, "Tombstone": True} if data is None else {**row, "Data": data})
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return self.answer(200, {"Rows": rows, "Ver": self.version})
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass

    def transact(self, transaction):
        expected = transaction.get("Expect") or []
        for row in expected:
            known = self.rows.get((row["Table"], row["Key"]), (None, 0))
            if known[1] != row["Ver"]:
                rows = [self.row(r["Table"], r["Key"]) for r in expected
                        if (r["Table"], r["Key"]) in self.rows]
                return self.answer(412, {"Rows": rows, "Ver": self.version})
        for row in transaction.get("Writes") or []:
            self.record.write(f"store: row {row['Table']}/{row['Key']} written")
            self.write(row["Table"], row["Key"], row["Data"])
        for row in transaction.get("Remove") or []:
            self.record.write(f"store: row {row['Table']}/{row['Key']} removed")
            self.write(row["Table"], row["Key"], None)
        return self.answer(200, {"Ver": self.version})


class AppServer(Listener):
    """An application server: runs requests, sends heartbeats, says when it leaves."""

    # Size of the receive buffers of its connections; that of the system if `None`.
    receive_buffer = None

    def __init__(self, record, name, service, slots=6):
        super().__init__()
        self.record = record
        self.id = name
        self.service = service
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_leaving = False
        self.has_ended = False
        self.running = 0
        self.runs = []
        self.health_checks = 0
        self.address = None
        self.admin = None
        self.beats = None

    async def start(self, ip, port, admin):
        self.address = await self.listen(ip, port, self.receive_buffer)
        self.admin = admin

    def start_heartbeats(self):
        self.beats = asyncio.create_task(self.send_heartbeats())

    def stop_heartbeats(self):
        if self.beats is not None:
            self.beats.cancel()

    def exit(self):
        self.has_ended = True
        self.stop_heartbeats()
        self.end()
        self.record.write(f"{self.id}: exits, {self.running} requests at work")

    async def send_heartbeats(self):
        while True:
            await self.send(self.heartbeat("draining" if self.is_leaving else "ready"))
            await asyncio.sleep(HEARTBEAT_S)

    def heartbeat(self, state):
        """Returns the next heartbeat, to be sent now or later."""
        self.sequence += 1
        body = {
            "born": self.born,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Info": {"Service": self.service, "Version": "v1", "Zone": "z-a",
                     "Concurrency": self.slots},
            "Status": {"State": state, "Sequence": self.sequence, "WarmupLeft": "0ms"},
        }
        return "heartbeat", f"{state}, sequence {self.sequence}", body

    async def send(self, report):
        """Sends a heartbeat or a deregistration, and returns whether it was acknowledged."""
        call, text, body = report
        request = message(f"POST /-/rpc?call=instances.{call}&of={self.id} HTTP/1.1",
                          {"Host": f"{self.admin[0]}:{self.admin[1]}", "Connection": "close",
                           "Content-Type": "application/json"}, json.dumps(body).encode())
        answer = await exchange(self.admin, request, 1.0)
        is_acknowledged = answer.status is not None and 200 <= answer.status < 300
        self.record.write(f"{self.id}: {call} ({text}) -> {answer}")
        return is_acknowledged

    async def deregister(self):
        """Says that it leaves by its deregistration, as servers do that never report `draining`."""
        self.is_leaving = True
        self.stop_heartbeats()
        return await self.send(("deregister", f"born {self.born}", {"born": self.born}))

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            line, headers = head
            if int(headers.get("content-length", 0)) > LONG_BODY_BYTES:
                answer = await self.respond_long(headers, reader)
            else:
                body = await read_body(reader, headers)
                answer = await self.respond(line, headers, body, reader)
            writer.write(answer)
            await writer.drain()
            if self.is_leaving:
                return

    async def respond_long(self, headers, reader):
        """Runs a request with a long body, which has not been read."""
        raise NotImplementedError

    async def respond(self, line, headers, body, reader):
        _method, target, _version = line.split(" ")
        if target == "/healthz":
            self.health_checks += 1
            status = "503 Service Unavailable" if self.is_leaving else "200 OK"
            self.record.write(f"{self.id}: health check -> {status}")
            return message(f"HTTP/1.1 {status}", {"Instance-Id": self.id, **self.notices()})
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self.id)
        if expected != self.id:
            return message("HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.id})
        if self.running >= self.slots:
            return message("HTTP/1.1 503 Service Unavailable",
                           {"Attempt-Id": attempt, "Not-Executed": "1", **self.notices()})
        run = {"attempt": attempt, "at": self.record.now(), "end": None, "answered": False}
        self.runs.append(run)
        self.record.write(f"{self.id}: runs {attempt}, Deadline-Ms {headers.get('deadline-ms')}")
        self.running += 1
        try:
            work = asyncio.create_task(asyncio.sleep(int(headers.get("work-ms", "10")) / 1000))
            # A server drops a request when its connection closes.
            closed = asyncio.create_task(self.wait_for_close(reader))
            try:
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                work.cancel()
                closed.cancel()
            if not work.done() or work.cancelled():
                self.record.write(f"{self.id}: connection of {attempt} closed, its run ends")
                raise ConnectionError
            run["answered"] = True
        finally:
            self.running -= 1
            run["end"] = self.record.now()
        self.record.write(f"{self.id}: answers {attempt}")
        headers = {"Attempt-Id": attempt, "Server-Seal": f"seal-{self.id}", **self.notices()}
        return message("HTTP/1.1 200 OK", headers, f"answer to {attempt}".encode())

    def notices(self):
        """Returns the headers in which the server speaks of itself."""
        headers = {"Server-Load": f"{self.running},0,{self.slots}", "Keep-Alive": "timeout=10"}
        if self.is_leaving:
            headers |= {"Server-Leaving": "1", "Connection": "close"}
        return headers

    @staticmethod
    async def wait_for_close(reader):
        while not reader.at_eof():
            if reader.exception() is not None:
                return
            await asyncio.sleep(0.005)


def drain_breaks(server, acknowledged_at):
    """Returns the runs that break DRAIN: later than `DrainTimeout` after the acknowledgement."""
    late = [run for run in server.runs if run["at"] > acknowledged_at + DRAIN_S]
    return [f"DRAIN: {run['attempt']} reached {server.id} {run['at'] - acknowledged_at:.2f} s after "
            f"its leaving was acknowledged (DrainTimeout {DRAIN_S:g} s), "
            f"{'answered' if run['answered'] else 'lost at its exit'}" for run in late]


class Answer:
    """What a caller got: a status, or how its connection ended."""

    def __init__(self, status=None, headers=None, body=b"", problem=None):
        self.status, self.headers, self.body, self.problem = status, headers or {}, body, problem

    def __str__(self):
        if self.status is None:
            return self.problem
        seal = self.headers.get("server-seal", "none")
        return f"{self.status}, seal {seal}"


async def exchange(address, request, timeout):
    """Sends one request on a connection of its own."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                return Answer(problem="no connection")
            writer.write(request)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(problem="closed without an answer")
            line, headers = head
            try:
                body = await read_body(reader, headers, is_response=True)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Answer(problem="answer cut short")
            return Answer(int(line.split(" ")[1]), headers, body)
    except TimeoutError:
        return Answer(problem="no answer in time")
    except OSError as error:
        return Answer(problem=f"connection lost ({type(error).__name__})")
    finally:
        if writer is not None:
            writer.close()


def unread_bytes(address):
    """Returns how many bytes have arrived on connections to an address and were not read."""
    ip, port = address
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split("."))) + f":{port:04X}"
    established = "01"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(int(row[4].split(":")[1], 16) for row in rows
               if row[1] == local and row[3] == established)


async def accepts_connections(address):
    try:
        _reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


class Node:
    """A machine: the sidecar process and its addresses."""

    def __init__(self, world, index, service):
        self.world, self.index, self.service = world, index, service
        self.ip = world.ip(index + 1)
        self.name = f"machine-{index}"
        self.outbound, self.inbound = (self.ip, 7101), (self.ip, 7102)
        self.readiness, self.admin = (self.ip, 7103), (self.ip, 7104)
        self.app = (self.ip, 7105)
        self.process = None
        self.started_at = None
        self.term_at = None

    def settings(self):
        at = lambda address: f"{address[0]}:{address[1]}"
        return {
            "NodeId": self.name, "Role": "sidecar", "MachineClass": "sidecar",
            "Serves": ["sidecar"], "Ip": self.ip, "Zone": "z-a", "Region": "r-a",
            "Zones": {"z-a": "r-a"},
            "ListenersTable": {"Inbound": at(self.inbound), "Outbound": at(self.outbound),
                               "Readiness": at(self.readiness), "Admin": at(self.admin)},
            "PortRange": [7600, 7615], "SeedNodes": [], "Bootstrap": True, "FaultCounted": False,
            "Limits": {"CpuQuota": 0.2, "CpuCores": 1, "MemoryMb": 110, "MaxFds": 4100,
                       "BandwidthMbps": 1000.0, "DiskMb": 0},
            "DataPath": None, "DiscoverySource": "static", "EntryKind": "static",
            "Heartbeat": f"{int(HEARTBEAT_S * 1000)}ms",
            "Invariants": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
            "FaultTolerance": {"MaxNodes": 1, "Zones": 0, "MaxRegions": 0},
            "BoundsTable": {
                "SeedDelay": "3s", "AddrReuse": "2s", "Contact": f"{int(CONTACT_S * 1000)}ms",
                "AckTimeout": "4000ms", "Sync": "4s", "DrainTimeout": f"{int(DRAIN_S * 1000)}ms",
                "GracePeriod": f"{GRACE_S:g}s", "LossSlack": "200ms",
                "ConfigApply": f"{int(CONFIG_APPLY_S * 1000)}ms", "RollbackSlack": "250ms",
                "Partition": "5000ms", "RetryBudgetRatio": 0.2, "RetryWindow": "10s",
                "BudgetSlack": 60, "Recovery": "15s"},
            "AppAddr": at(self.app), "Service": self.service,
            "Platform": {"Address": at(self.world.store_address), "form": "table",
                         "WritesPerS": 400, "ReadsPerS": 2000, "Tx": "6ms",
                         "PartitionWritesS": 200, "RowBytes": 65536, "Across": False,
                         "Retention": "20s", "BlobBytes": 8388608, "Blob": "25ms",
                         "BlobMbS": 80.0},
        }

    async def start(self):
        file = self.world.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.settings()))
        log = open(self.world.folder / f"{self.name}.log", "ab")
        environment = {"LENTILSHUNT_BOOT": str(file), "PATH": os.environ.get("PATH", "")}
        self.process = await asyncio.create_subprocess_exec(
            str(SIDECAR), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        self.started_at = self.world.record.now()
        self.world.record.write(f"{self.name}: process started")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.record.write(f"{self.name}: {signal.Signals(number).name}")
            if number == signal.SIGTERM:
                self.term_at = self.world.record.now()

    async def restart(self):
        """Stops the process as the platform does, and starts it again after a short delay."""
        self.signal(signal.SIGTERM)
        await self.wait_for_exit()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    async def wait_for_exit(self, timeout=GRACE_S):
        """Waits for the end of the process and kills it after the grace period."""
        try:
            await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.world.record.write(f"{self.name}: process ended, code {self.process.returncode}")

    async def is_ready(self):
        request = message("GET /-/readyz HTTP/1.1", {"Host": self.ip, "Connection": "close"})
        return (await exchange(self.readiness, request, 0.5)).status == 200


class World:
    """The deployment of a case, which ends everything that it has started."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.store = None
        self.store_address = None
        self.nodes = []
        self.servers = []
        self.next_attempt = 0

    def ip(self, host):
        return f"{self.network}.{host}"

    async def start_store(self):
        self.store = Store(self.record)
        self.store_address = await self.store.listen(self.ip(250))

    def configure(self, version, routes):
        """Writes a configuration; `routes` are (prefix, kind, service, timeout in ms)."""
        services = sorted({service for _, _, service, _ in routes})
        self.store.write_json("op", "config", {
            "Version": version,
            "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConnections": 120,
                          "Protocol": "h1", "Tls": False} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                       "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
            "VirtualHosts": [{"Host": "orders.example", "HostRoutes": [
                {"Name": f"r-{index}", "Prefix": prefix, "Kind": kind, "Timeout": f"{timeout}ms",
                 "TargetLatency": f"{timeout}ms", "Priority": 1, "Service": service,
                 "MaxAttempts": 2, "Public": False}
                for index, (prefix, kind, service, timeout) in enumerate(routes)]}],
        })

    async def add_node(self, service):
        node = Node(self, len(self.nodes), service)
        self.nodes.append(node)
        await node.start()
        return node

    async def add_server(self, node, name, slots=6, kind=AppServer):
        server = kind(self.record, name, node.service, slots)
        await server.start(*node.app, node.admin)
        self.servers.append(server)
        return server

    async def add_others(self, service, count):
        """Adds machines with sound servers of a service, so that the others are a small share."""
        for _ in range(count):
            node = await self.add_node(service)
            while not await accepts_connections(node.admin):
                await asyncio.sleep(0.05)
            server = await self.add_server(node, f"i-more-{node.index}")
            server.start_heartbeats()

    async def wait_until_listening(self):
        """Waits until the nodes accept heartbeats."""
        for node in self.nodes:
            deadline = time.monotonic() + 5
            while not await accepts_connections(node.admin):
                if time.monotonic() > deadline:
                    raise CannotRun(f"{node.name} does not listen")
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, timeout=10):
        deadline = time.monotonic() + timeout
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > deadline:
                raise CannotRun("the nodes are not ready")
            await asyncio.sleep(0.1)

    async def call(self, node, path, method="POST", deadline_ms=3000, work_ms=10, label=""):
        """Sends a request to a node and returns what the caller got."""
        self.next_attempt += 1
        attempt = f"{label or 'a'}-{self.next_attempt:04d}"
        request = message(f"{method} {path} HTTP/1.1",
                          {"Host": "orders.example", "Attempt-Id": attempt,
                           "Deadline-Ms": deadline_ms, "Work-Ms": work_ms},
                          b"order" if method != "GET" else b"")
        sent_at = self.record.now()
        self.record.write(f"client: {attempt} {method} {path} to {node.name}, "
                          f"Deadline-Ms {deadline_ms}")
        answer = await exchange(node.outbound, request, deadline_ms / 1000 + 1)
        self.record.write(f"client: {attempt} gets {answer}")
        runs = [run for server in self.servers for run in server.runs
                if run["attempt"] == attempt]
        return {"attempt": attempt, "sent": sent_at, "ended": self.record.now(),
                "answer": answer, "runs": runs, "node": node}

    async def end(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for server in self.servers:
            server.stop_heartbeats()
            server.end()
        if self.store is not None:
            self.store.end()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the nodes: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play):
    """Runs `play(world, is_troubled)`, which returns the broken rules as a list of texts."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        try:
            if not SIDECAR.exists():
                raise CannotRun("the sidecar is not built")
            async with asyncio.timeout(110):
                await world.start_store()
                broken = await play(world, is_troubled)
        except (CannotRun, OSError, TimeoutError) as problem:
            world.record.write(f"the case could not run: {problem!r}")
            print(f"could not run: {problem!r}")
            return CANNOT_RUN
        finally:
            await world.end()
        for text in broken:
            world.record.write(f"BROKEN {text}")
            print(text)
        verdict = "broken" if broken else "held"
        world.record.write(f"the rule was {verdict}")
        print(f"the rule was {verdict}")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))

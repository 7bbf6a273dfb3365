"""Stand-ins of the platform's store, of servers and of clients, and control of
router processes, for the scripts of the review. Standard library only."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "crocusspur")
HEARTBEAT_S = 1.2
METRICS_PORT = 9464  # of the deploy file's command
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()
# Each run has a network of its own within 127.0.0.0/8, so that runs don't meet.
NET = f"127.{64 + os.getpid() // 250 % 128}.{1 + os.getpid() % 250}"


def now():
    return time.monotonic() - STARTED


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


class Head:
    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns None if the connection ended before a head."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in it.split(":", 1)) for it in lines[1:] if ":" in it]
    return Head(lines[0], fields)


async def read_chunk(reader):
    """Returns b"" for the last chunk."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readuntil(b"\r\n")
    return data


async def read_body(reader, head):
    if head.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            part = await read_chunk(reader)
            if not part:
                return body
            body += part
    return await reader.readexactly(int(head.get("Content-Length", "0") or 0))


def response(status, body=b"", fields=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in fields:
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1") + body


def json_response(value, status=200, fields=()):
    return response(status, json.dumps(value).encode(), [("Content-Type", "application/json"), *fields])


class Listener:
    """Accepts connections; all of them can be cut at once, as when a process ends."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.is_dark = False
        self.dark = []  # connections that the other side still takes for open
        self.tasks = set()

    async def listen(self, address):
        self.is_dark = False
        if self.server:
            return
        host, port = address.split(":")
        self.server = await asyncio.start_server(self._accept, host, int(port), limit=1 << 20)

    async def _accept(self, reader, writer):
        if self.is_dark:
            self.dark.append(writer)
            return
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            if writer not in self.dark:
                writer.close()

    async def go_dark(self):
        """Turns silent: connections stay open, new ones too, and nothing answers any more."""
        self.is_dark = True
        self.dark.extend(self.writers)
        for it in list(self.tasks):
            it.cancel()
        await asyncio.sleep(0)
        self.writers.clear()

    async def cut(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for it in [*self.writers, *self.dark]:
            it.transport.abort()
        self.dark.clear()
        for it in list(self.tasks):
            it.cancel()
        await asyncio.sleep(0)


class Store(Listener):
    """The platform's store. It keeps its changes for `history_s`, as its pages say."""

    def __init__(self, address, history_s=20.0):
        super().__init__()
        self.address = address
        self.items = {}  # key: (value, revision, created)
        self.changes = []  # (revision, key, value or None, when)
        self.history_s = history_s
        self.discarded = 0  # the highest revision of a change that isn't kept any more
        self.revision = 1
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)
        self._note(key, value)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._note(key, None)

    def _note(self, key, value):
        self.changes.append((self.revision, key, value, time.monotonic()))
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        value, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": revision,
                "created": created, "lease-id": 0}

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            await read_body(reader, head)
            writer.write(await self.answer(head))
            await writer.drain()

    async def answer(self, head):
        url = urlsplit(head.first.split(" ")[1])
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        era = [("Store-Era", "1")]
        prefix = query.get("path-prefix", "")
        if url.path == "/api/kv-key":
            if query.get("key") not in self.items:
                return json_response({"at": self.revision}, 404, era)
            return json_response({**self._item(query["key"]), "at": self.revision}, 200, era)
        if url.path == "/api/kv-range":
            keys = sorted(it for it in self.items if it.startswith(prefix) and it > query.get("after", ""))
            return json_response({"items": [self._item(it) for it in keys], "has-more": False,
                                  "at": self.revision}, 200, era)
        if url.path != "/api/kv-watch":
            return json_response({}, 400, era)
        after = int(query["after"])
        while self.changes and self.changes[0][3] < time.monotonic() - self.history_s:
            self.discarded = self.changes.pop(0)[0]
        until = time.monotonic() + min(int(query.get("wait-ms", "0")), 30000) / 1000
        if after > self.revision or after < self.discarded:
            self.fleet_record(f"store watch prefix={prefix} after={after} answered 410, "
                              f"discarded up to {self.discarded}, at {self.revision}")
            return json_response({}, 410, era)
        while True:
            changed = self.changed
            events = [{"key": key, "revision": revision, "deleted": True} if value is None else
                      {"key": key, "value": base64.b64encode(value.encode()).decode(),
                       "revision": revision, "created": revision, "lease-id": 0}
                      for revision, key, value, _ in self.changes if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return json_response({"events": events, "at": self.revision}, 200, era)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server(Listener):
    """A server of a service. `phase`: prefill, decode, or none for a plain service."""

    def __init__(self, fleet, name, address, service, phase=None, version="v1", zone="hall-a"):
        super().__init__()
        self.fleet, self.name, self.address, self.service = fleet, name, address, service
        self.phase, self.version, self.zone = phase, version, zone
        self.state = "ready"
        self.born = 0
        self.handles = {}
        self.holds = set()
        self.active = 0
        # What the script varies.
        self.event_s = 0.09
        self.first_event_s = 0.05
        self.work_s = 0.03
        self.prefill_s = 0.05
        self.runs = []  # (time, request's id, kind, its head)

    def entry(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                 "slots": 64 if self.phase else 6, "state": self.state, "cold-left-ms": 0,
                 "sequence": 1, "born": self.born}
        if self.phase:
            entry.update({"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}]})
        return json.dumps(entry)

    async def start(self, publishes=True):
        self.born = int(time.time() * 1000)
        self.handles, self.holds, self.active = {}, set(), 0
        await self.listen(self.address)
        if publishes:
            self.publish()

    def publish(self):
        self.fleet.store.put("servers/" + self.name, self.entry())

    async def crash(self):
        await self.cut()
        self.active = 0
        self.fleet.expiries.append(asyncio.create_task(self.expire(self.born)))

    async def expire(self, born):
        """The store removes an entry after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        if self.born == born:
            self.fleet.store.remove("servers/" + self.name)

    def load(self):
        return [("Server-Load", f"{self.active},0,{64 if self.phase else 6}")]

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            keep = await self.answer(head, body, reader, writer)
            await writer.drain()
            if not keep:
                return

    async def answer(self, head, body, reader, writer):
        method, path, _ = head.first.split(" ")
        request = head.get("Attempt-Id")
        if head.get("Target-Instance") not in ("", self.name):
            writer.write(response(421, b"", [("Instance-Id", self.name)]))
            return True
        if path == "/api/report":
            writer.write(json_response({
                "phase": self.phase or "unified", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": 1, "queued": 0, "active": self.active, "kv-in-use": 100,
                "kv-capacity-total": 66998, "kv-handles": len(self.handles), "born": self.born}))
        elif path == "/healthz":
            writer.write(response(200, b"", [("Instance-Id", self.name), *self.load()]))
        elif path == "/api/hold-take":
            hold = f"h{random.getrandbits(48):012x}"
            self.holds.add(hold)
            writer.write(json_response({"retention": hold}))
        elif path.startswith("/api/"):
            self.holds.discard(path.rsplit("/", 1)[1])
            self.handles.pop(path.rsplit("/", 1)[1], None)
            writer.write(response(200))
        elif head.get("Inference-Phase") == "prefill":
            await self.prefill(head, request, writer)
        elif self.phase:
            return await self.stream(head, request, reader, writer)
        else:
            return await self.plain(head, body, request, reader, writer)
        return True

    def note(self, kind, request, head):
        self.runs.append((now(), request, kind, head))
        self.fleet.record.line(f"run {kind} server={self.name} version={self.version} request={request}"
                               f" last_event={head.get('Last-Event-Id') or '-'}")

    async def prefill(self, head, request, writer):
        if self.phase != "prefill":
            writer.write(response(421, b"", [("Instance-Id", self.name)]))
            return
        await asyncio.sleep(self.prefill_s)
        handle = f"{random.getrandbits(48):012x}"
        self.handles[handle] = request
        writer.write(json_response({"kv-handle": handle, "token-count": 100, "version": 1},
                                   200, [("Attempt-Id", request)]))

    async def stream(self, head, request, reader, writer):
        if self.phase != "decode":
            writer.write(response(421, b"", [("Instance-Id", self.name)]))
            return True
        self.note("stream", request, head)
        self.active += 1
        last = int(head.get("Last-Event-Id") or 0)
        text = ("HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                f"Attempt-Id: {request}\r\nServer-Signature: {self.name}.{self.version}\r\nWeight-Versions: 1\r\n\r\n")
        try:
            await asyncio.sleep(self.first_event_s)
            writer.write(text.encode())
            for number in range(last + 1, int(head.get("Token-Usage").split(",")[1]) + 1):
                event = f"id: {number}\ndata: e{number} of {self.version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.event_s)
                if reader.at_eof():
                    return False
            writer.write(b"0\r\n\r\n")
        finally:
            self.active = max(0, self.active - 1)
        return True

    async def plain(self, head, body, request, reader, writer):
        self.note("plain", request, head)
        self.active += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active = max(0, self.active - 1)
        writer.write(response(200, f"answer of {self.name} to {request}".encode(),
                              [("Attempt-Id", request), ("Server-Signature", self.name), *self.load()]))
        return True


class Router:
    """A process of the product, with settings as the platform writes them."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"{NET}.{10 + number}"
        self.front = self.ip + ":8149"
        self.ready = self.ip + ":8141"
        self.control = self.ip + ":8144"
        self.process = None
        self.started_at = None
        self.troubled_at = None  # the last SIGTERM or SIGKILL
        self.in_rotation = True
        self.file = os.path.join(fleet.folder, self.name + ".toml")

    def settings(self, seeds, store, memory_mb=110):
        zones = "\n".join(f'{it} = "ie-west"' for it in self.fleet.zones)
        return f'''node-name = "{self.name}"
role = "router"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "ie-west"
port-range = [7380,7395]
seed-nodes = {json.dumps(seeds)}
bootstrap = true
counts-as-loss = false
discovery = "platform"
entrypoint = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
{zones}
[listen]
frontend = "{self.front}"
ready = "{self.ready}"
control-plane = "{self.control}"
[limits]
cpu-quota = 0.25
cpu-cores = 1
memory-mb = {memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
budget-slack = 56
recovery-s = 12
transit-ms = 120
retry-after-s = 6.7
fencing-required = true
lease-ms = 3000
thaw-ms = 300
[platform]
address = "{store}"
form = "read"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
'''

    async def start(self):
        if self.fleet.stopping:
            return
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "gateway", "--metrics-port", str(METRICS_PORT),
            env={"PATH": os.environ["PATH"], "HOME": self.fleet.folder, "LANG": "C",
                 "CROCUSSPUR_CONFIG": self.file},
            cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.started_at = now()
        self.fleet.record.line(f"router start {self.name}")

    def in_touch(self):
        """Whether its process has run without a start or a signal for contact-ms, as the pages say."""
        return (self.process is not None and self.process.returncode is None and
                now() - max(self.started_at, self.troubled_at or 0) >= 3.0)

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.troubled_at = now()
            self.fleet.record.line(f"router signal {self.name} {signal.Signals(number).name}")

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def restart_planned(self, grace_s=8.0):
        """SIGTERM, SIGKILL after the grace period, and a start once the process has ended."""
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            await self.kill()
        self.fleet.record.line(f"router ended {self.name}")
        await asyncio.sleep(0.3)
        await self.start()

    async def is_ready(self):
        try:
            head, _ = await asyncio.wait_for(call(self.ready, "GET /api/readyz", []), 1)
            return head is not None and " 200 " in head.first + " "
        except (OSError, asyncio.TimeoutError):
            return False

    def log(self):
        with open(os.path.join(self.fleet.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


async def call(address, line, fields, body=b"", host="a.example"):
    """Makes a call on a new connection. Returns its head and body, or None for a head that didn't come."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        text = f"{line} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
        for name, value in fields:
            text += f"{name}: {value}\r\n"
        if body or line.startswith("POST"):
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return None, b""
        return head, await read_body(reader, head)
    finally:
        writer.close()


class Fleet:
    def __init__(self, folder_of_case, routers=8, zones=("hall-a", "hall-b", "hall-c")):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.zones = zones
        self.store = Store(f"{NET}.2:8142")
        self.store.fleet_record = self.record.line
        self.servers = {}
        self.stopping = False  # no process is started any more
        self.expiries = []  # of entries of servers that have crashed
        self.counts = []  # what the clients of a case count
        self.routers = [Router(self, i + 1, zones[i % len(zones)]) for i in range(routers)]

    async def write_settings(self):
        seeds = [it.control for it in self.routers[:3]]
        for it in self.routers:
            with open(it.file, "w", encoding="utf-8") as file:
                file.write(it.settings(seeds, self.store.address))

    def add_server(self, name, service, phase=None, version="v1"):
        number = len(self.servers)
        server = Server(self, name, f"{NET}.{100 + number}:8080", service, phase, version,
                        self.zones[number % len(self.zones)])
        self.servers[name] = server
        return server

    async def start(self, config):
        if not os.path.exists(PROGRAM):
            raise RuntimeError("target/crocusspur isn't built")
        await self.store.listen(self.store.address)
        self.store.put("op/config", json.dumps(config))
        for it in self.servers.values():
            await it.start()
        await self.write_settings()
        for it in self.routers:
            await it.start()
        for it in self.routers:
            await self.await_ready(it)

    async def await_ready(self, router, limit=15):
        until = now() + limit
        while not await router.is_ready():
            if now() > until:
                raise RuntimeError(router.name + " wasn't ready in time:\n" + router.log()[-2000:])
            await asyncio.sleep(0.1)

    def choose_router(self):
        """The platform's balancer, without zones."""
        return random.choice([it for it in self.routers if it.in_rotation] or self.routers)

    async def watch_readiness(self):
        """The platform's probes: two misses take a router out of rotation, a 200 brings it back."""
        misses = dict.fromkeys(self.routers, 0)
        while True:
            answers = await asyncio.gather(*(it.is_ready() for it in self.routers))
            for it, ready in zip(self.routers, answers):
                misses[it] = 0 if ready else misses[it] + 1
                it.in_rotation = ready or (it.in_rotation and misses[it] < 2)
            await asyncio.sleep(1)

    async def stop(self):
        self.stopping = True
        for it in self.expiries:
            it.cancel()
        for it in self.routers:
            if it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        for it in [self.store, *self.servers.values()]:
            await it.cut()
        if os.environ.get("KEEP_LOGS"):
            print("logs in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


RUNTIME = {"slots": 64, "kv-capacity": 66998, "kv-token-bytes": 327680, "link-mbps": 3800000.0, "moves": True,
           "backups": True, "stride": 11, "most": 12, "kv-ttl-s": 0.5, "role-switch-s": 6.0, "pin-ms": 4000.0,
           "hold-ms": 2000.0, "models": [{"name": "m"}]}


def config(version, routes):
    services = [{"name": "summ-llm", "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": False,
                 "runtime": RUNTIME},
                {"name": "bay-api", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": False}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


def stream_route(resumable=True, service="summ-llm"):
    return {"name": "r-stream", "host": "a.example", "path-prefix": "/stream/", "type": "streaming",
            "timeout-ms": 14000, "latency-target-ms": 900, "priority": 1, "service": service,
            "max-attempts": 2 if resumable else 1, "sticky": True, "resumable": resumable, "itl-target-ms": 300}


def plain_route(kind="non_idempotent", attempts=1):
    return {"name": "r-" + kind, "host": "a.example", "path-prefix": f"/{kind}/", "type": kind,
            "timeout-ms": 1500, "latency-target-ms": 150, "priority": 2, "service": "bay-api",
            "max-attempts": attempts}


def run_case(main, folder):
    """Runs the case and exits as the issue asks: 1 broken, 0 held, 2 couldn't run."""
    async def guarded():
        return await asyncio.wait_for(main(folder), 110)
    try:
        code = asyncio.run(guarded())
    except Exception as error:  # the case couldn't run, whatever the cause
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)

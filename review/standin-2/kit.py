"""Stand-ins of the second review: the platform's store, servers, callers and
the start of routers, as the users' pages describe them.

Only loopback addresses, the real clock and the standard library. Servers and
routers are processes of their own; the store and the callers are threads of
the case. KEEP_LOGS=1 keeps the temporary folder with the routers' logs.
"""
import base64
import http.server
import json
import os
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
ROUTER = os.path.join(ROOT, "target", "crocusspur")
PAGE_ITEMS = 500
PAGE_BYTES = 1000000


def free_ports(count):
    """Ports that nothing listens at, below the range of outgoing ports."""
    found = []
    first = 10000 + (os.getpid() * 37) % 15000
    for port in range(first, first + 5000):
        if len(found) == count:
            break
        probe = socket.socket()
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
            found.append(port)
        except OSError:
            pass
        finally:
            probe.close()
    return found


class Store:
    """The platform's store, as far as the system reads it."""

    def __init__(self, port):
        self.items = {}  # key -> (value, revision, created)
        self.history = []  # (revision, key, value or None)
        self.revision = 100
        self.is_down = False  # closes connections without an answer
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = store.answer(url.path, query)
                if store.is_down or not answer:
                    self.close_connection = True
                    return
                status, body = answer
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(data)

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server(("127.0.0.1", port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes and returns the revision, which is the acknowledgement."""
        with self.changed:
            self.revision += 1
            created = self.items.get(key, (None, 0, self.revision))[2]
            self.items[key] = (value, self.revision, created)
            self.history.append((self.revision, key, value))
            self.changed.notify_all()
            return self.revision

    def delete(self, key):
        with self.changed:
            if key in self.items:
                self.revision += 1
                del self.items[key]
                self.history.append((self.revision, key, None))
                self.changed.notify_all()

    def set_down(self, is_down):
        with self.changed:
            self.is_down = is_down
            self.changed.notify_all()

    def item(self, key, value, revision, created):
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease-id": 0}

    def answer(self, path, query):
        if self.is_down:
            return None
        prefix = query.get("path-prefix", "")
        if path == "/api/kv-range":
            return self.range(prefix, query.get("after", ""))
        if path == "/api/kv-watch":
            return self.watch(prefix, int(query.get("after", 0)),
                              int(query.get("wait-ms", 0)))
        return 404, {}

    def range(self, prefix, after):
        with self.changed:
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            items, size = [], 0
            for key in keys:
                value, revision, created = self.items[key]
                if items and (len(items) == PAGE_ITEMS
                              or size + len(value) > PAGE_BYTES):
                    break
                items.append(self.item(key, value, revision, created))
                size += len(value)
            return 200, {"items": items, "has-more": len(items) < len(keys),
                         "at": self.revision}

    def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + min(wait_ms, 30000) / 1000
        with self.changed:
            while True:
                events = []
                for revision, key, value in self.history:
                    if revision <= after or not key.startswith(prefix):
                        continue
                    if value is None:
                        events.append({"key": key, "revision": revision,
                                       "deleted": True})
                    else:
                        events.append(self.item(key, value, revision, revision))
                left = until - time.monotonic()
                if self.is_down:
                    return None
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(left)


class ServerProcess:
    """A server as a process of its own, which this registers in the store."""

    def __init__(self, case, name, service, port, options, phase=None,
                 version="v1"):
        self.case, self.name, self.service = case, name, service
        self.port, self.phase, self.version = port, phase, version
        self.state = "ready"
        self.registered = True
        self.options = list(options)
        self.start()

    def start(self):
        """Also starts it again, under its id, in the same place."""
        self.sequence = 0
        self.born = int(time.time() * 1000)
        command = [sys.executable, os.path.join(HERE, "server.py"),
                   "--port", str(self.port), "--id", self.name,
                   "--runs", self.case.runs_path, "--version", self.version,
                   "--phase", self.phase or "", "--born", str(self.born)]
        command += self.options
        self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL)
        self.case.processes.append(self.process)
        wait_for_port(self.port)

    def entry(self):
        fields = {"service": self.service,
                  "address": "127.0.0.1:%d" % self.port, "zone": "hall-a",
                  "version": self.version, "slots": 64, "state": self.state,
                  "cold-left-ms": 0, "sequence": self.sequence,
                  "born": self.born}
        if self.phase:
            fields["phase"] = self.phase
            fields["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return json.dumps(fields).encode()

    def beat(self):
        if self.case.store.is_down:
            return
        self.sequence += 1
        self.case.store.put("servers/" + self.name, self.entry())

    def signal(self, number):
        self.process.send_signal(number)


def wait_for_port(port, seconds=10):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise CannotRun("nothing listens at port %d" % port)


class CannotRun(Exception):
    pass


class Router:
    """An instance, started with the command of the deploy file."""

    def __init__(self, case, name, ports, seeds, store_port, memory_mb):
        self.case, self.name, self.ports = case, name, ports
        self.path = os.path.join(case.folder, name + ".toml")
        front, ready, control, self.metrics = ports
        with open(self.path, "w") as out:
            out.write(SETTINGS.format(
                name=name, front=front, ready=ready, control=control,
                seeds=json.dumps(["127.0.0.1:%d" % it for it in seeds]),
                store=store_port, memory_mb=memory_mb))
        self.log_path = os.path.join(case.folder, name + ".log")
        self.process = None
        self.start()

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["CROCUSSPUR_CONFIG"] = self.path
        with open(self.log_path, "ab") as out:
            self.process = subprocess.Popen(
                [ROUTER, "gateway", "--metrics-port", str(self.metrics)],
                env=environment, cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=out, stderr=out)
        self.case.processes.append(self.process)

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ports[1]), 1) as s:
                s.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n"
                          b"Connection: close\r\n\r\n")
                return b" 200 " in s.recv(64)
        except OSError:
            return False

    def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return
            if self.process.poll() is not None:
                break
            time.sleep(0.05)
        raise CannotRun(self.name + " doesn't become ready")

    def peak_memory(self):
        """The most memory that the process had, in bytes; 0 if it has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                for line in status:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0


SETTINGS = """node-name = "{name}"
role = "router"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = "hall-a"
region = "ie-west"
port-range = [7380,7395]
seed-nodes = {seeds}
bootstrap = true
counts-as-loss = false
discovery = "platform"
entrypoint = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
hall-a = "ie-west"
hall-b = "ie-west"
hall-c = "ie-west"
[listen]
frontend = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control-plane = "127.0.0.1:{control}"
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
address = "127.0.0.1:{store}"
form = "read"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
"""


def route(name, prefix, kind, service, **more):
    fields = {"name": name, "host": "site.example", "path-prefix": prefix,
              "type": kind, "timeout-ms": 14000, "latency-target-ms": 900,
              "priority": 1, "service": service, "max-attempts": 2,
              "sticky": False}
    fields.update({key.replace("_", "-"): value for key, value in more.items()})
    return fields


def plain_service(name, **more):
    fields = {"name": name, "health-path": "/healthz", "max-conns": 370,
              "protocol": "h1", "tls": False}
    fields.update(more)
    return fields


class Case:
    """What one case starts; ends all of it."""

    def __init__(self, record_path):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.runs_path = os.path.join(self.folder, "runs")
        self.record = open(record_path, "w", buffering=1)
        self.record_lock = threading.Lock()
        self.started = time.monotonic()
        self.processes, self.servers, self.routers = [], [], []
        self.beating = True
        self.note("trouble", "on" if self.trouble else "off")
        if not os.access(ROUTER, os.X_OK):
            raise CannotRun("the build of the deploy file is missing")

    def now(self):
        return time.monotonic() - self.started

    def note(self, kind, text):
        with self.record_lock:
            self.record.write("%8.3f %-9s %s\n" % (self.now(), kind, text))

    def start_store(self):
        self.store_port = free_ports(1)[0]
        self.store = Store(self.store_port)
        threading.Thread(target=self.beats, daemon=True).start()

    def beats(self):
        while self.beating:
            for server in list(self.servers):
                if server.registered and server.process.poll() is None:
                    server.beat()
            time.sleep(1.2)

    def start_server(self, name, service, options=(), **more):
        port = more.pop("port", None) or free_ports(1)[0]
        server = ServerProcess(self, name, service, port, list(options), **more)
        server.beat()
        self.servers.append(server)
        return server

    def publish(self, version, routes, services, **limits):
        bounds = {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                  "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
        bounds.update(limits)
        self.store.put("op/config", json.dumps(
            {"version": version, "routes": routes, "services": services,
             "limits": bounds}).encode())

    def start_routers(self, count, memory_mb=110):
        ports = free_ports(4 * count)
        groups = [ports[4 * i:4 * i + 4] for i in range(count)]
        seeds = [group[2] for group in groups[:3]]
        for i, group in enumerate(groups):
            self.routers.append(Router(self, "edge-hall-a-%d" % (i + 1),
                                       group, seeds, self.store_port,
                                       memory_mb))
        for router in self.routers:
            router.wait_ready()
        return self.routers

    def runs(self):
        """What servers logged: a list of dictionaries."""
        try:
            with open(self.runs_path) as lines:
                return [json.loads(line) for line in lines if line.endswith("\n")]
        except OSError:
            return []

    def record_runs(self):
        for run in self.runs():
            self.note("server", json.dumps(run, sort_keys=True))

    def end(self):
        self.beating = False
        for process in self.processes:
            if process.poll() is None:
                process.kill()  # also ends one that is stopped
        for process in self.processes:
            process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs and settings:", self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.complete, self.error = False, ""


def read_answer(reader, answer):
    """Reads one HTTP/1.1 answer; `complete` says whether its framing ended."""
    line = reader.readline()
    if not line:
        answer.error = "closed without an answer"
        return
    answer.status = int(line.split()[1])
    while True:
        line = reader.readline()
        if line in (b"\r\n", b""):
            break
        key, value = line.decode().split(":", 1)
        answer.headers[key.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = reader.read(size)
        answer.complete = len(answer.body) == size
    elif answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = reader.readline()
            if not line.endswith(b"\r\n"):
                return
            size = int(line.split(b";")[0], 16)
            if size == 0:
                answer.complete = reader.readline() == b"\r\n"
                return
            part = reader.read(size)
            answer.body += part
            if len(part) < size or reader.read(2) != b"\r\n":
                return
    else:
        answer.body = reader.read()
        answer.complete = True


def ask(port, attempt, method, path, body=b"", deadline_ms=14000, headers=(),
        on_event=None):
    """Sends a client's request on a new connection and waits for its answer."""
    answer = Answer()
    try:
        with socket.create_connection(("127.0.0.1", port), 1) as link:
            link.settimeout(deadline_ms / 1000 + 1)
            head = "%s %s HTTP/1.1\r\nHost: site.example\r\n" % (method, path)
            head += "Attempt-Id: %s\r\nDeadline-Ms: %d\r\n" % (attempt,
                                                              deadline_ms)
            for key, value in headers:
                head += "%s: %s\r\n" % (key, value)
            if body or method == "POST":
                head += "Content-Length: %d\r\n" % len(body)
            link.sendall(head.encode() + b"\r\n" + body)
            read_answer(link.makefile("rb"), answer)
    except (OSError, ValueError) as error:
        answer.error = type(error).__name__ + ": " + str(error)
    return answer


def run_case(main, record_path):
    """Runs the case and exits with its result: 0 held, 1 broken, 2 not run."""
    case = None
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends all, too
    try:
        case = Case(record_path)
        code = main(case)
    except CannotRun as error:
        print("can't run:", error)
        if case:
            case.note("not run", str(error))
    finally:
        if case:
            case.note("result", {0: "held", 1: "broken", 2: "not run"}[code])
            case.end()
    sys.exit(code)

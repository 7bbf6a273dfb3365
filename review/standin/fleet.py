"""Stand-ins of the platform, of servers and of clients, and a small fleet of gateways.

All addresses are loopback addresses with free ports. The gateways are started
with the command of the deploy file, as separate processes on the real clock.
"""

import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
STARTED = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now(), text))
            self.file.flush()


# Ports that were handed out, so that none is handed out twice.
_PORTS = set()


def free_address():
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in _PORTS:
            _PORTS.add(port)
            return "127.0.0.1:%d" % port


def split_address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


class Closed(Exception):
    """The other side has closed or reset the connection."""


class Incomplete(Exception):
    """The connection ended inside a message. Holds what was received."""

    def __init__(self, text, status=None, fields=None, body=b""):
        super().__init__(text)
        self.status = status
        self.fields = fields or {}
        self.body = body


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def fill(self):
        try:
            part = self.sock.recv(65536)
        except ConnectionError:
            raise Closed("reset")
        except TimeoutError:
            raise
        if not part:
            raise Closed("closed")
        self.data += part

    def head(self):
        while b"\r\n\r\n" not in self.data:
            self.fill()
        text, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def take(self, size):
        while len(self.data) < size:
            self.fill()
        part, self.data = self.data[:size], self.data[size:]
        return part

    def line(self):
        while b"\r\n" not in self.data:
            self.fill()
        text, self.data = self.data.split(b"\r\n", 1)
        return text

    def chunked(self, sink):
        """Appends the body to the bytearray `sink`. Returns at its end."""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return
            sink += self.take(size)
            self.take(2)


class Call:
    """A request as a server got it."""

    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    @property
    def id(self):
        return self.fields.get("attempt-id", "")


class Listener:
    """Accepts connections and serves each on its own thread."""

    def __init__(self, address=None):
        self.address = address or free_address()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(split_address(self.address))
        self.sock.listen(256)
        self.stopping = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.stopping:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        reader = Reader(conn)
        try:
            while True:
                line, fields = reader.head()
                method, target, _ = line.split(" ", 2)
                self.on_head(fields)
                body = bytearray()
                if fields.get("transfer-encoding", "").lower() == "chunked":
                    reader.chunked(body)
                elif "content-length" in fields:
                    body += reader.take(int(fields["content-length"]))
                call = Call(method, target, fields, bytes(body))
                if self.handle(conn, call) is False:
                    break
        except (Closed, ConnectionError, OSError, ValueError):
            pass
        finally:
            conn.close()

    def on_head(self, fields):
        """Called before the body of a request is read."""

    def handle(self, conn, call):
        raise NotImplementedError


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


def message(status, fields, body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % it for it in fields]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_message(status, value, fields=()):
    return message(status, [("Content-Type", "application/json"), *fields], json.dumps(value).encode())


class Store(Listener):
    """The platform's metadata store, as far as the system reads it."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}  # key: (revision, bytes or None)
        self.revision = 100
        super().__init__()

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            self.items[key] = (self.revision, data)
            self.changed.notify_all()

    def item(self, key):
        revision, data = self.items[key]
        if data is None:
            return {"key": key, "revision": revision, "deleted": True}
        text = base64.b64encode(data).decode()
        return {"key": key, "value": text, "revision": revision, "created": revision, "lease-id": 0}

    def handle(self, conn, call):
        path, _, query = call.target.partition("?")
        values = dict(it.partition("=")[::2] for it in query.split("&"))
        prefix = values.get("path-prefix", "")
        fields = [("Store-Era", "1")]
        if path == "/api/kv-range":
            with self.changed:
                keys = sorted(it for it in self.items if it.startswith(prefix) and self.items[it][1] is not None)
                keys = [it for it in keys if it > values.get("after", "")]
                reply = {"items": [self.item(it) for it in keys[:50]], "has-more": len(keys) > 50, "at": self.revision}
        elif path == "/api/kv-watch":
            after = int(values["after"])
            until = time.monotonic() + min(int(values["wait-ms"]), 30000) / 1000
            with self.changed:
                while True:
                    keys = [it for it in self.items if it.startswith(prefix) and self.items[it][0] > after]
                    left = until - time.monotonic()
                    if keys or left <= 0:
                        break
                    self.changed.wait(left)
                keys.sort(key=lambda it: self.items[it][0])
                reply = {"events": [self.item(it) for it in keys], "at": self.revision}
        else:
            conn.sendall(message(404, fields))
            return
        conn.sendall(json_message(200, reply, fields))


class Server(Listener):
    """A server that answers each request as `answer` says, once it has checked whom it is meant for."""

    def __init__(self, record, store, name, service, slots, phase=None, version="1.0", address=None, register=True):
        self.record = record
        self.name = name
        self.service = service
        self.phase = phase
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.runs = {}  # id of a request: how often it began to run
        self.rejected = {}  # id of a request: how often it was rejected
        super().__init__(address)
        self.entry = {"service": service, "address": self.address, "zone": "hall-a", "version": version,
                      "slots": slots, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": self.born}
        if phase:
            self.entry.update({"phase": phase, "models": [{"name": "m", "version": 1, "adapters": []}]})
        if register:
            self.register(store)

    def register(self, store):
        """Writes the server's entry."""
        store.put("servers/" + self.name, self.entry)

    def begin(self, call):
        with self.lock:
            self.runs[call.id] = self.runs.get(call.id, 0) + 1
        self.record("server %s runs %s" % (self.name, call.id))

    def signed(self, call):
        return [("Attempt-Id", call.id), ("Server-Signature", "sig." + call.id)]

    def handle(self, conn, call):
        wanted = call.fields.get("target-instance")
        if wanted and wanted != self.name:
            conn.sendall(message(421, [("Not-Executed", "1"), ("Instance-Id", self.name), ("Attempt-Id", call.id)]))
            return None
        if call.target == "/api/report":
            conn.sendall(json_message(200, {
                "phase": self.phase or "unified", "models": [], "busy": False, "sequence": 0, "queued": 0,
                "active": 0, "kv-in-use": 0, "kv-capacity-total": 66998, "kv-handles": 0, "born": self.born}))
            return None
        if call.target == "/healthz":
            conn.sendall(message(200, [("Instance-Id", self.name)]))
            return None
        return self.answer(conn, call)

    def answer(self, conn, call):
        raise NotImplementedError


SETTINGS = """\
node-name = "{name}"
role = "router"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "ie-west"
seed-nodes = [{seeds}]
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
frontend = "{frontend}"
ready = "{ready}"
control-plane = "{control}"
[limits]
cpu-quota = 0.25
cpu-cores = 1
memory-mb = {memory}
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
"""


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split(" ")


# Gateway processes that were started.
_PROCESSES = []


def end_processes():
    for it in _PROCESSES:
        if it.poll() is None:
            it.kill()
            it.wait()


class Gateway:
    """One gateway process."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.frontend, self.ready, self.control, self.metrics = (free_address() for _ in range(4))
        self.process = None

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(SETTINGS.format(
                name=self.name, zone=self.zone, frontend=self.frontend, ready=self.ready, control=self.control,
                store=self.fleet.store.address, memory=self.fleet.memory_mb, seeds=",".join('"%s"' % it.control for it in self.fleet.gateways)))
        command = deploy_command()
        # The port is free here, as all instances share one address.
        command[command.index("--metrics-port") + 1] = self.metrics.rsplit(":", 1)[1]
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        env["CROCUSSPUR_CONFIG"] = path
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=subprocess.STDOUT)
        _PROCESSES.append(self.process)
        self.fleet.record("%s started" % self.name)

    def is_ready(self):
        try:
            status, _, _ = Client(self.ready, timeout=1).send("GET", "/api/readyz", {})
            return status == 200
        except (OSError, Closed, Incomplete):
            return False

    def signal(self, number):
        self.fleet.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory, or None once the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024
        except (OSError, AttributeError):
            return None


class Fleet:
    """Gateways, their store, and the folder of their settings and logs."""

    def __init__(self, record, count=3, memory_mb=110):
        self.record = record
        self.memory_mb = memory_mb
        self.scratch = tempfile.TemporaryDirectory(prefix="crocusspur-review-")
        self.folder = self.scratch.name
        self.store = Store()
        zones = ["hall-a", "hall-b", "hall-c"]
        self.gateways = []
        for i in range(count):
            self.gateways.append(Gateway(self, "edge-%s-%d" % (zones[i % 3], i // 3 + 1), zones[i % 3]))

    def start(self):
        if not os.path.exists(os.path.join(ROOT, deploy_command()[0])):
            raise RuntimeError("the product isn't built")
        for it in self.gateways:
            it.start()
        until = now() + 20
        while not all(it.is_ready() for it in self.gateways):
            if now() > until:
                raise RuntimeError("the gateways don't become ready")
            time.sleep(0.1)
        self.record("all gateways are ready")
        time.sleep(3)  # contact-ms

    def stop(self):
        end_processes()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.folder, keep], check=False)
        self.scratch.cleanup()


class Client:
    """One connection of a client."""

    def __init__(self, address, timeout=20):
        self.sock = socket.create_connection(split_address(address), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def write(self, method, target, fields, body=b""):
        lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST]
        lines += ["%s: %s" % it for it in fields.items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def read(self):
        """Returns the status, the fields and the body of a complete answer."""
        line, fields = self.reader.head()
        status = int(line.split(" ")[1])
        body = bytearray()
        try:
            if fields.get("transfer-encoding", "").lower() == "chunked":
                self.reader.chunked(body)
            elif "content-length" in fields:
                body += self.reader.take(int(fields["content-length"]))
        except (Closed, TimeoutError) as error:
            raise Incomplete(str(error), status, fields, bytes(body))
        return status, fields, bytes(body)

    def send(self, method, target, fields, body=b""):
        self.write(method, target, fields, body)
        return self.read()

    def close(self):
        self.sock.close()


def new_id():
    return uuid.uuid4().hex[:16]


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Dose:
    """Bounds what a disruption spoils: a share of the answers in each spell of 5 s, with pauses of 5 s."""

    SPELL_S = 5

    def __init__(self, share):
        self.share = share
        self.lock = threading.Lock()
        self.spell = None
        self.answers = 0
        self.spoiled = 0
        self.total = 0

    def is_on(self):
        return trouble() and int(now() / self.SPELL_S) % 2 == 1

    def count(self):
        """Counts an answer. Returns whether the disruption is on."""
        with self.lock:
            spell = int(now() / self.SPELL_S)
            if spell != self.spell:
                self.spell, self.answers, self.spoiled = spell, 0, 0
            self.answers += 1
        return self.is_on()

    def take(self):
        """Whether one more of this spell's answers may be spoiled."""
        with self.lock:
            if not self.is_on() or self.spoiled + 1 > self.share * self.answers:
                return False
            self.spoiled += 1
            self.total += 1
            return True


LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


def run_case(folder, case):
    """Runs `case(record)`. It returns a text if the rule was broken, and None if it held."""
    record = Record(folder)
    record("TROUBLE=%d" % trouble())

    def expire():
        record("the case took too long")
        end_processes()
        os._exit(2)

    timer = threading.Timer(110, expire)
    timer.daemon = True
    timer.start()
    try:
        broken = case(record)
    except Exception as error:  # the case could not run
        end_processes()
        record("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.stdout.flush()
        os._exit(2)
    record(broken or "the rule held")
    print(broken or "the rule held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)

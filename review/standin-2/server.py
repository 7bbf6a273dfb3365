"""A server as the users' pages describe it: takes requests, says what it ran.

Each run is a line of JSON in the file --runs. The whole body of an answer
follows from the request's id, so that a case can tell whether it got all.
SIGUSR1: from now on the server says in its answers that it leaves.
"""
import argparse
import json
import os
import signal
import socket
import sys
import threading
import time

parser = argparse.ArgumentParser()
parser.add_argument("--port", type=int, required=True)
parser.add_argument("--id", required=True)
parser.add_argument("--runs", required=True)
parser.add_argument("--framing", default="length",
                    choices=["length", "chunked", "until-close"])
parser.add_argument("--pieces", type=int, default=1)
parser.add_argument("--pause-ms", type=int, default=0)
parser.add_argument("--stream", action="store_true")
parser.add_argument("--phase", default="")
parser.add_argument("--version", default="v1")
parser.add_argument("--born", type=int, default=0)
parser.add_argument("--load", action="store_true")
parser.add_argument("--slots", type=int, default=64)
parser.add_argument("--knee", type=int, default=0)
parser.add_argument("--beyond-x", type=float, default=1)
options = parser.parse_args()
leaving = False
running = 0
lock = threading.Lock()


def on_leaving(*_):
    global leaving
    leaving = True


signal.signal(signal.SIGUSR1, on_leaving)


def log(**fields):
    fields["server"] = options.id
    line = (json.dumps(fields) + "\n").encode()
    out = os.open(options.runs, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    os.write(out, line)
    os.close(out)


def piece(attempt, number):
    if options.stream:
        return ("id: %d\ndata: %s %d of %d %s\n\n" % (
            number, attempt, number, options.pieces, options.version)).encode()
    return ("%s piece %d of %d\n" % (attempt, number, options.pieces)).encode()


def read_request(reader):
    line = reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split()
    fields = {}
    while True:
        line = reader.readline()
        if line in (b"\r\n", b""):
            break
        key, value = line.decode().split(":", 1)
        fields[key.strip().lower()] = value.strip()
    body = reader.read(int(fields.get("content-length", 0)))
    return method, target, fields, body


def head(status, fields):
    lines = ["HTTP/1.1 %s" % status]
    lines += ["%s: %s" % it for it in fields]
    if leaving:
        lines.append("Server-Leaving: 1")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def control(link, target, fields):
    body = None
    if target == "/healthz":
        link.sendall(head("200 OK", [("Instance-Id", options.id),
                                     ("Content-Length", "0")]))
        return
    if target == "/api/report":
        body = {"phase": options.phase or "decode", "models": [], "busy": False,
                "sequence": 0, "queued": 0, "active": 0, "kv-in-use": 0,
                "kv-capacity-total": 90000, "kv-handles": 0,
                "born": options.born}
    elif target == "/api/hold-take":
        body = {"retention": "r%d" % time.monotonic_ns()}
    elif target.startswith("/api/"):
        body = {}
    data = json.dumps(body).encode()
    link.sendall(head("200 OK", [("Content-Type", "application/json"),
                                 ("Content-Length", str(len(data)))]) + data)


def prefill(link, attempt):
    handle = "h%d" % time.monotonic_ns()
    log(what="prefill", id=attempt)
    data = json.dumps({"kv-handle": handle, "token-count": 5000,
                       "version": 1}).encode()
    link.sendall(head("200 OK", [("Attempt-Id", attempt),
                                 ("Content-Type", "application/json"),
                                 ("Content-Length", str(len(data)))]) + data)
    return True


def run(link, method, target, fields, body):
    """Runs a request. Returns whether the connection stays open."""
    global running
    with lock:
        full = running >= options.slots
        running += 0 if full else 1
    if full:
        link.sendall(head("503 Service Unavailable", [
            ("Attempt-Id", fields.get("attempt-id", "")), ("Not-Executed", "1"),
            ("Server-Load", "%d,0,%d" % (options.slots, options.slots)),
            ("Content-Length", "0")]))
        return True
    try:
        return run_counted(link, method, target, fields, body)
    finally:
        with lock:
            running -= 1


def run_counted(link, method, target, fields, body):
    attempt = fields.get("attempt-id", "")
    if fields.get("inference-phase") == "prefill":
        return prefill(link, attempt)
    if options.phase == "prefill":
        link.sendall(head("421 Misdirected Request", [
            ("Attempt-Id", attempt), ("Instance-Id", options.id),
            ("Content-Length", "0")]))
        return True
    first = int(fields.get("last-event-id", 0) or 0) + 1
    log(what="run", id=attempt, method=method, path=target, first=first,
        version=options.version, body=len(body))
    own = [("Attempt-Id", attempt), ("Server-Signature", "sig." + attempt)]
    if options.stream:
        own.append(("Content-Type", "text/event-stream"))
    whole = b"".join(piece(attempt, i)
                     for i in range(first, options.pieces + 1))
    if options.framing == "length":
        own.append(("Content-Length", str(len(whole))))
    elif options.framing == "chunked":
        own.append(("Transfer-Encoding", "chunked"))
    else:
        own.append(("Connection", "close"))
    if options.pause_ms and not options.stream and options.pieces == 1:
        beyond = options.knee and running > options.knee
        time.sleep(options.pause_ms / 1000 * (options.beyond_x if beyond else 1))
    if options.load:
        own.append(("Server-Load", "%d,0,%d" % (max(running - 1, 0), options.slots)))
    link.sendall(head("200 OK", own))
    for i in range(first, options.pieces + 1):
        part = piece(attempt, i)
        if options.framing == "chunked":
            part = b"%x\r\n%s\r\n" % (len(part), part)
        link.sendall(part)
        if options.pieces > 1 and options.pause_ms:
            time.sleep(options.pause_ms / 1000)
    if options.framing == "chunked":
        link.sendall(b"0\r\n\r\n")
    log(what="ran", id=attempt, pieces=options.pieces)
    return options.framing != "until-close"


def serve(link):
    try:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = link.makefile("rb")
        while True:
            request = read_request(reader)
            if not request:
                return
            method, target, fields, body = request
            meant = fields.get("target-instance")
            if meant and meant != options.id:
                link.sendall(head("421 Misdirected Request",
                                  [("Instance-Id", options.id),
                                   ("Content-Length", "0")]))
            elif target.startswith("/api/") or target == "/healthz":
                control(link, target, fields)
            elif not run(link, method, target, fields, body):
                return
    except (OSError, ValueError):
        pass
    finally:
        try:
            link.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        link.close()


listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listener.bind(("127.0.0.1", options.port))
listener.listen(128)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()

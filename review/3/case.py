"""LOST: requests to servers that read slowly take more memory than a machine has.

Clients send requests with bodies of 3.5 MB, within max-body-bytes, to one
instance. Prefill servers read them slowly, but without a pause. The platform's
stand-in kills a process that exceeds memory-mb, as the platform does.
"""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from engines import DecodeServer, PrefillServer, engine_service  # noqa: E402
from fleet import Client, Closed, Fleet, Incomplete, LIMITS, new_id, now, run_case, trouble  # noqa: E402

MEMORY_MB = 88  # of the smallest machines
BODY_BYTES = 3500000
RATE = 1.3  # requests a second
DURATION_S = 25
READ_BYTES_PER_S = 500000
DEADLINE_S = 14


class SlowConnection:
    """A server's connection of which it reads a part at a time."""

    def __init__(self, conn):
        self.conn = conn

    def recv(self, _):
        data = self.conn.recv(16384)
        time.sleep(len(data) / READ_BYTES_PER_S)
        return data

    def __getattr__(self, name):
        return getattr(self.conn, name)


class SlowServer(PrefillServer):
    def __init__(self, *arguments):
        self.passed_on = set()  # ids of requests whose heads it has read
        super().__init__(*arguments)

    def on_head(self, fields):
        self.passed_on.add(fields.get("attempt-id"))

    def _serve(self, conn):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        super()._serve(SlowConnection(conn) if trouble() else conn)


def case(record):
    fleet = Fleet(record, memory_mb=MEMORY_MB)
    servers = [SlowServer(record, fleet.store, "i-p%d" % i, "case-llm", 0.05) for i in (1, 2, 3)]
    for i in range(1, 4):
        DecodeServer(record, fleet.store, "i-d%d" % i, "case-llm", 64, events=15, gap_s=0.1)
    fleet.store.put("op/config", {
        "version": 1,
        "routes": [{"name": "refund-sum", "host": "ficu95.example", "path-prefix": "/lohu930/", "type": "streaming",
                    "timeout-ms": 14000, "latency-target-ms": 1000, "priority": 1, "service": "case-llm",
                    "max-attempts": 1, "sticky": True, "resumable": False, "itl-target-ms": 300}],
        "services": [engine_service("case-llm")], "limits": LIMITS})
    lost = []
    peak = 0
    try:
        fleet.start()
        target = fleet.gateways[0]

        def request(client, size):
            id = new_id()
            fields = {"Attempt-Id": id, "Deadline-Ms": DEADLINE_S * 1000, "Model": "m", "Token-Usage": "5200,165",
                      "Prefix-Hash": "5c1e07a2:200,%s:5000" % id[:8]}
            sent = now()
            try:
                status, _, _ = client.send("POST", "/lohu930/2f", fields, b"x" * size)
                record("answer %d to %s after %.1f s" % (status, id, now() - sent))
            except (Closed, Incomplete, OSError) as error:
                passed_on = any(id in it.passed_on for it in servers)
                record("no answer to %s after %.1f s (%s); %s" % (
                    id, now() - sent, error, "passed on" if passed_on else "not passed on"))
                if passed_on and now() - sent < DEADLINE_S:
                    lost.append(id)

        def send():
            try:
                client = Client(target.frontend)
            except OSError as error:
                record("no connection: %s" % error)
                return
            request(client, 5000)  # so that the connection is a kept one
            request(client, BODY_BYTES)

        threads = []
        start = now()
        sent = 0
        while now() < start + DURATION_S and target.process.poll() is None:
            if sent <= (now() - start) * RATE:
                sent += 1
                threads.append(threading.Thread(target=send))
                threads[-1].start()
            memory = target.memory_mb() or 0
            if memory > peak + 5:
                peak = memory
                record("memory of %s: %.0f MB" % (target.name, memory))
            if memory > MEMORY_MB:
                record("%s exceeds %d MB after %.1f s and %d requests" % (target.name, MEMORY_MB, now() - start, sent))
                target.signal(signal.SIGKILL)
                target.process.wait()
            time.sleep(0.02)
        for it in threads:
            it.join()
    finally:
        fleet.stop()
    if len(lost) > 3:
        return "LOST broken: the process took over %d MB and was ended; %d requests that servers were reading were " \
               "never answered" % (MEMORY_MB, len(lost))
    return None


run_case(FOLDER, case)

"""LOST: streams of a sound server are cut since it was silent for 1.3 s.

A service has decode servers of two software versions, one of each. Streams run
when the instance that passes them on gets SIGTERM. Then the servers fall silent
for 1.3 s and go on. All streams would end long before grace-s.
"""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from engines import DecodeServer, PrefillServer, engine_service  # noqa: E402
from fleet import Client, Closed, Fleet, Incomplete, LIMITS, new_id, now, run_case, trouble  # noqa: E402

STREAMS = 12
EVENTS = 20
SILENCE_S = float(os.environ.get("SILENCE_S", "1.3"))
GRACE_S = 8


class PausingServer(DecodeServer):
    """Falls silent once, in the middle of all its streams."""

    def __init__(self, *arguments, **options):
        self.silent_from = None
        self.done = set()  # ids of requests
        super().__init__(*arguments, **options)

    def pause(self):
        if self.silent_from and self.silent_from < now() < self.silent_from + SILENCE_S:
            time.sleep(max(0, self.silent_from + SILENCE_S - now()))

    def stream(self, conn, call):
        time.sleep(self.first_s)
        self.pause()
        conn.sendall(self.head(call))
        after = int(call.fields.get("last-event-id") or 0)
        for i in range(after + 1, self.events + 1):
            self.pause()
            conn.sendall(self.chunk(self.event(i)))
            time.sleep(self.gap_s)
        conn.sendall(b"0\r\n\r\n")
        self.done.add(call.id)
        self.record("server %s has run %s" % (self.name, call.id))


def case(record):
    fleet = Fleet(record)
    for name in ("i-p1", "i-p2"):
        PrefillServer(record, fleet.store, name, "summ-llm", 0.05)
    servers = [PausingServer(record, fleet.store, "i-d%d" % i, "summ-llm", 32, events=EVENTS, gap_s=0.1,
                             version="1.%d" % i) for i in (1, 2)]
    fleet.store.put("op/config", {
        "version": 1,
        "routes": [{"name": "tacho-sum", "host": "ficu95.example", "path-prefix": "/pufi791/", "type": "streaming",
                    "timeout-ms": 14000, "latency-target-ms": 900, "priority": 1, "service": "summ-llm",
                    "max-attempts": 2, "sticky": True, "resumable": True, "itl-target-ms": int(os.environ.get("ITL_MS", "200"))}],
        "services": [engine_service("summ-llm")], "limits": LIMITS})
    lost = []
    try:
        fleet.start()
        target = fleet.gateways[1]

        def send():
            id = new_id()
            sent = now()
            record("sent %s" % id)
            client = Client(target.frontend)
            try:
                status, _, body = client.send(
                    "POST", "/pufi791/2f",
                    {"Attempt-Id": id, "Deadline-Ms": 14000, "Model": "m", "Token-Usage": "1000,110",
                     "Prefix-Hash": "5c1e07a2:200,%s:800" % id[:8]}, b"x" * 1000)
                record("complete answer %d to %s with %d events" % (status, id, body.count(b"\n\n")))
            except Incomplete as error:
                record("answer to %s cut %.2f s after the request, with %d of %d events" %
                       (id, now() - sent, error.body.count(b"\n\n"), EVENTS))
                lost.append((id, now()))
            except (Closed, OSError) as error:
                record("no answer to %s: %s" % (id, error))
                lost.append((id, now()))

        threads = [threading.Thread(target=send) for _ in range(STREAMS)]
        for it in threads:
            it.start()
        time.sleep(1)
        start = now()
        target.signal(signal.SIGTERM)
        if trouble():
            time.sleep(0.2)
            for it in servers:
                it.silent_from = now()
            record("the servers are silent for %.1f s" % SILENCE_S)
        for it in threads:
            it.join()
        time.sleep(1)
        last = max([at for _, at in lost], default=start)
        if last > start + GRACE_S + 1:
            raise RuntimeError("a stream was cut after the time that the rule covers")
    finally:
        fleet.stop()
    if lost:
        return "LOST broken: %d of %d streams were cut, the last one %.2f s after SIGTERM" % (
            len(lost), STREAMS, last - start)
    return None


run_case(FOLDER, case)

"""ORDER: a stream that breaks off inside an event reaches the client as complete.

One of two decode servers ends some of its streams in the middle of an event:
the body's last chunk follows in place of the rest. The route may be resumed,
so the gateway could go on at the other server.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from engines import DecodeServer, PrefillServer, engine_service  # noqa: E402
from fleet import Client, Closed, Dose, Fleet, Incomplete, LIMITS, new_id, run_case, trouble  # noqa: E402

REQUESTS = 150
GAP_S = 0.1
EVENTS = 10
TRUNCATED_SHARE = 0.03  # largest dose in the site file


class TruncatingServer(DecodeServer):
    """Ends some streams inside their sixth event."""

    def __init__(self, *arguments, **options):
        self.truncated = set()  # ids of requests
        self.dose = Dose(TRUNCATED_SHARE)
        super().__init__(*arguments, **options)

    def answer(self, conn, call):
        self.dose.count()
        return super().answer(conn, call)

    def stream(self, conn, call):
        if not self.dose.take():
            return super().stream(conn, call)
        self.truncated.add(call.id)
        time.sleep(self.first_s)
        conn.sendall(self.head(call))
        for i in range(1, 6):
            conn.sendall(self.chunk(self.event(i)))
            time.sleep(self.gap_s)
        conn.sendall(self.chunk(self.event(6)[:9]) + b"0\r\n\r\n")
        self.record("server %s ends the stream of %s inside event 6 of %d" % (self.name, call.id, EVENTS))
        return None


def case(record):
    fleet = Fleet(record)
    for name in ("i-p1", "i-p2"):
        PrefillServer(record, fleet.store, name, "summ-llm", 0.05)
    servers = [TruncatingServer(record, fleet.store, "i-d1", "summ-llm", 16, events=EVENTS),
               DecodeServer(record, fleet.store, "i-d2", "summ-llm", 16, events=EVENTS)]
    fleet.store.put("op/config", {
        "version": 1,
        "routes": [{"name": "tacho-sum", "host": "ficu95.example", "path-prefix": "/pufi791/", "type": "streaming",
                    "timeout-ms": 14000, "latency-target-ms": 900, "priority": 1, "service": "summ-llm",
                    "max-attempts": 2, "sticky": True, "resumable": True, "itl-target-ms": 300}],
        "services": [engine_service("summ-llm")], "limits": LIMITS})
    broken = []
    try:
        fleet.start()

        def send(i):
            id = new_id()
            record("sent %s" % id)
            try:
                client = Client(fleet.gateways[i % 3].frontend)
                status, _, body = client.send(
                    "POST", "/pufi791/2f",
                    {"Attempt-Id": id, "Deadline-Ms": 14000, "Model": "m", "Token-Usage": "1000,110",
                     "Prefix-Hash": "5c1e07a2:200,%s:800" % id[:8]}, b"x" * 1000)
                events = [it for it in body.split(b"\n\n") if it]
                record("complete answer %d to %s with %d events" % (status, id, body.count(b"\n\n")))
                if status == 200 and (len(events) < EVENTS or not body.endswith(b"\n\n")):
                    record("%s ended as complete with %r" % (id, body[-40:]))
                    broken.append(id)
                client.close()
            except (Closed, Incomplete, OSError) as error:
                record("no complete answer to %s: %s" % (id, error))

        threads = []
        for i in range(REQUESTS):
            threads.append(threading.Thread(target=send, args=(i,)))
            threads[-1].start()
            time.sleep(GAP_S)
        for it in threads:
            it.join()
        record("i-d1 gave %d answers and broke off %d" % (servers[0].answers, len(servers[0].truncated)))
    finally:
        fleet.stop()
    if broken:
        return "ORDER broken: %d streams ended as complete before their last event" % len(broken)
    if trouble() and not servers[0].truncated:
        raise RuntimeError("no stream was broken off")
    return None


run_case(FOLDER, case)

"""LOST: requests that a stopping instance passes on late are cut off.

Clients hold kept connections to an instance that gets SIGTERM. Each sends one
request that isn't idempotent, some seconds later. The servers take 1.42 s,
within the route's timeout of 1.5 s and the clients' deadline of 3 s.
"""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from fleet import Client, Closed, Fleet, Incomplete, LIMITS, Server, message, new_id, now, run_case, trouble  # noqa: E402

GRACE_S = 8
TIMEOUT_MS = 1500
DEADLINE_MS = 3000
WORK_S = 1.42
# Times after SIGTERM at which requests are sent.
SEND_AT_S = [1 + i * 0.1 for i in range(40)] + [5 + i * 0.03 for i in range(50)]


class PlainServer(Server):
    def __init__(self, *arguments):
        self.done = set()
        super().__init__(*arguments)

    def answer(self, conn, call):
        self.begin(call)
        time.sleep(WORK_S)
        self.done.add(call.id)
        self.record("server %s has run %s" % (self.name, call.id))
        conn.sendall(message(200, self.signed(call), b"bay 7"))


def case(record):
    fleet = Fleet(record)
    servers = [PlainServer(record, fleet.store, "i-%d" % i, "bay-api", 64) for i in range(3)]
    fleet.store.put("op/config", {
        "version": 1,
        "routes": [{"name": "bay-hold", "host": "ficu95.example", "path-prefix": "/puxa403/", "type": "non_idempotent",
                    "timeout-ms": TIMEOUT_MS, "latency-target-ms": 300, "priority": 2, "service": "bay-api",
                    "max-attempts": 1}],
        "services": [{"name": "bay-api", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": False}],
        "limits": LIMITS})
    lost = []
    try:
        fleet.start()
        target = fleet.gateways[1]
        kept = [Client(target.frontend) for _ in SEND_AT_S]
        for it in kept:  # each connection has carried a request
            it.write("POST", "/puxa403/2f", {"Attempt-Id": new_id(), "Deadline-Ms": DEADLINE_MS}, b"x")
        for it in kept:
            it.read()
        start = now()
        if trouble():
            target.signal(signal.SIGTERM)

        def send(client, at):
            time.sleep(max(0, start + at - now()))
            id = new_id()
            sent = now()
            try:
                client.write("POST", "/puxa403/2f", {"Attempt-Id": id, "Deadline-Ms": DEADLINE_MS}, b"x")
                record("sent %s %.2f s after the signal" % (id, sent - start))
                status, _, _ = client.read()
                record("answer %d to %s" % (status, id))
            except (Closed, Incomplete, OSError) as error:
                ran = [it for it in servers if id in it.runs]
                record("no answer to %s after %.2f s (%s); %s" %
                       (id, now() - sent, error, "a server ran it" if ran else "not passed on"))
                # Counted by the rule: passed on to a server, sent later than
                # 3 s after the signal, and cut before the timeout and the end
                # of grace-s + 1 s.
                if ran and sent - start > 3 and now() - sent < TIMEOUT_MS / 1000 and now() - start < GRACE_S + 1:
                    lost.append((id, sent - start, now() - start))

        threads = [threading.Thread(target=send, args=it) for it in zip(kept, SEND_AT_S)]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        if trouble():
            target.process.wait(20)
            record("%s has ended" % target.name)
        time.sleep(WORK_S)
        finished = [it for it in lost if any(it[0] in server.done for server in servers)]
    finally:
        fleet.stop()
    if lost:
        return "LOST broken: %d requests were passed on and never answered, sent %.2f to %.2f s after SIGTERM and " \
               "cut %.2f s after it; servers ran %d of them to the end" % (
                   len(lost), lost[0][1], lost[-1][1], lost[-1][2], len(finished))
    return None


run_case(FOLDER, case)

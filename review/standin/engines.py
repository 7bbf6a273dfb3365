"""Stand-ins of servers for prefill and decode."""

import threading
import time

from fleet import Server, json_message, message


class PrefillServer(Server):
    """Reads prompts and hands out a handle for each."""

    def __init__(self, record, store, name, service, seconds, **options):
        self.seconds = seconds
        super().__init__(record, store, name, service, 64, phase="prefill", **options)

    def answer(self, conn, call):
        if call.method == "DELETE":
            conn.sendall(message(200, []))
        elif call.fields.get("inference-phase") == "prefill":
            time.sleep(self.seconds)
            conn.sendall(json_message(200, {"kv-handle": "h" + call.id, "token-count": 1000, "version": 1},
                                      [("Attempt-Id", call.id)]))
        else:
            conn.sendall(message(421, [("Not-Executed", "1"), ("Attempt-Id", call.id)]))


class DecodeServer(Server):
    """Grants reservations up to its places and streams events."""

    def __init__(self, record, store, name, service, places, events=10, first_s=0.12, gap_s=0.02, **options):
        self.places = places
        self.events = events
        self.first_s = first_s
        self.gap_s = gap_s
        self.held = {}  # name of a reservation: when it ends
        self.active = 0
        self.answers = 0
        self.granted = 0
        super().__init__(record, store, name, service, places, phase="decode", **options)

    def take_hold(self, call):
        """Returns the answer to a call for a reservation."""
        with self.lock:
            now = time.monotonic()
            self.held = {it: until for it, until in self.held.items() if until > now}
            if self.active + len(self.held) >= self.places:
                return message(503, [("Not-Executed", "1")])
            self.granted += 1
            name = "%s-%d" % (self.name, self.granted)
            self.held[name] = now + 2
            return json_message(200, {"retention": name})

    def answer(self, conn, call):
        with self.lock:
            self.answers += 1
        if call.target == "/api/hold-take":
            self.send_hold(conn, self.take_hold(call))
            return None
        if call.target.startswith("/api/hold-drop/"):
            with self.lock:
                self.held.pop(call.target.rsplit("/", 1)[1], None)
            conn.sendall(message(200, []))
            return None
        if call.method == "DELETE":
            conn.sendall(message(200, []))
            return None
        with self.lock:
            self.held.pop(call.fields.get("retention"), None)
            self.active += 1
        self.begin(call)
        try:
            return self.stream(conn, call)
        finally:
            with self.lock:
                self.active -= 1

    def send_hold(self, conn, answer):
        conn.sendall(answer)

    def event(self, i):
        return b"id: %d\ndata: token%d\n\n" % (i, i)

    def head(self, call):
        fields = self.signed(call) + [("Weight-Versions", "1"), ("Content-Type", "text/event-stream"),
                                      ("Transfer-Encoding", "chunked")]
        return ("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % it for it in fields) + "\r\n").encode()

    def chunk(self, data):
        return b"%x\r\n%s\r\n" % (len(data), data)

    def stream(self, conn, call):
        time.sleep(self.first_s)
        conn.sendall(self.head(call))
        after = int(call.fields.get("last-event-id") or 0)
        for i in range(after + 1, self.events + 1):
            conn.sendall(self.chunk(self.event(i)))
            time.sleep(self.gap_s)
        conn.sendall(b"0\r\n\r\n")
        self.record("server %s has run %s" % (self.name, call.id))
        return None


def engine_service(name):
    """The entry of a service with engines in the configuration."""
    return {"name": name, "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": False,
            "runtime": {"slots": 64, "kv-capacity": 66998, "kv-token-bytes": 327680, "link-mbps": 3800000.0,
                        "moves": True, "backups": True, "stride": 11, "most": 12, "kv-ttl-s": 0.5,
                        "role-switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "models": [{"name": "m"}]}}

"""An entry of another writer in the store, of nearly `max-value-bytes`.

Three instances with memory-mb 110, as on the site, serve a plain service. Then
another writer puts one entry under `servers/`: an inventory in JSON, a list of
some 340,000 empty slots, 1 MB. It names no server. The case does what the
platform does: it kills a process whose memory exceeds `memory-mb` and starts it
again after a short delay.

Broken: the processes of a tenth of the machines, two at least, end by
themselves three times, since they exceed their memory. With TROUBLE=0 the
inventory has 100 slots.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))
import kit  # noqa: E402

MEMORY_MB = 110
MAX_VALUE_BYTES = 1048576
WATCHED_S = 20
RESTART_S = 0.5


def inventory(slots):
    text = b'{"service":"inventory","slots":[%s]}' % b",".join([b"{}"] * slots)
    assert len(text) <= MAX_VALUE_BYTES
    return text


class Platform(threading.Thread):
    """Kills a process over its memory and starts it again."""

    def __init__(self, case, router):
        super().__init__(daemon=True)
        self.case, self.router = case, router
        self.ends = []  # peaks in bytes
        self.most = 0
        self.active = True

    def run(self):
        while self.active:
            peak = self.router.peak_memory()
            self.most = max(self.most, peak)
            ended = self.router.process.poll() is not None
            if peak > MEMORY_MB * 1024 * 1024 or ended:
                if not ended:
                    self.router.process.kill()
                    self.router.process.wait()
                self.ends.append(peak)
                self.case.note("ended", "%s at %.1f MB of %d" % (
                    self.router.name, peak / 1048576, MEMORY_MB))
                time.sleep(RESTART_S)
                if self.active:
                    self.router.start()
            time.sleep(0.005)


def main(case):
    case.start_store()
    case.start_server("i-1", "lookup")
    case.start_server("i-2", "lookup")
    case.publish(3, [kit.route("r-look", "/look/", "idempotent", "lookup")],
                 [kit.plain_service("lookup")])
    routers = case.start_routers(3, MEMORY_MB)
    time.sleep(3)
    watchers = [Platform(case, it) for it in routers]
    for it in watchers:
        it.start()
    counts = {"before": [0, 0], "after": [0, 0]}

    def send(phase, number):
        router = routers[number % len(routers)]
        attempt = "%016x" % (0xb000 + number)
        answer = kit.ask(router.ports[0], attempt, "GET", "/look/x",
                         deadline_ms=1500)
        served = answer.status == 200 and answer.complete
        counts[phase][0] += 1
        counts[phase][1] += served
        case.note("client", "%s to %s: %s" % (
            attempt, router.name,
            answer.status if answer.status else answer.error))

    for number in range(30):
        send("before", number)
        time.sleep(0.1)
    before = max(it.most for it in watchers)
    value = inventory(340000 if case.trouble else 100)
    case.store.put("servers/inventory", value)
    case.note("entry", "servers/inventory of %d bytes" % len(value))
    until = time.monotonic() + WATCHED_S
    number = 30
    while time.monotonic() < until:
        send("after", number)
        number += 1
        time.sleep(0.1)
    for it in watchers:
        it.active = False
    for it in watchers:
        it.join()
    case.record_runs()
    often = sum(len(it.ends) >= 3 for it in watchers)
    print("before the entry: %d of %d served, at most %.0f MB; after it: %d of "
          "%d served, ends over memory: %s" % (
              counts["before"][1], counts["before"][0], before / 1048576,
              counts["after"][1], counts["after"][0],
              ", ".join(str(len(it.ends)) for it in watchers)))
    if counts["before"][1] < counts["before"][0]:
        raise kit.CannotRun("requests failed before the entry")
    return 1 if often >= 2 else 0


kit.run_case(main, os.path.join(HERE, "record.txt"))

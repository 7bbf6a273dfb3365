"""Streams that outlast their route's time-out, taken up after a release.

Clients wait for 24 s (`Deadline-Ms`); the route's `timeout-ms` is 11 s and its
streams may be resumed. Six streams of 15 s begin at the first instance, at
servers of version v1. Then all servers are replaced by servers of version v2:
the new ones start first; the old ones never report `draining`, their entries
are removed, and they serve on for some seconds. At 11 s the instance ends the
streams, as it must. The clients take them up at the other instance, with
`Last-Event-Id` and `Resumes`.

Broken: more than two streams hold events of both versions over a client's
tries. With TROUBLE=0 nothing is replaced.
"""
import os
import re
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))
import kit  # noqa: E402

PIECES = 150
PAUSE_MS = 100
TIMEOUT_MS = 11000
DEADLINE_MS = 24000
ENGINE = {"slots": 64, "kv-capacity": 66998, "kv-token-bytes": 327680,
          "link-mbps": 3800000.0, "moves": True, "backups": True, "stride": 11,
          "most": 12, "kv-ttl-s": 0.5, "role-switch-s": 6.0, "pin-ms": 4000.0,
          "hold-ms": 2000.0, "models": [{"name": "m"}]}
EVENT = re.compile(rb"id: (\d+)\ndata: \S+ \d+ of \d+ (v\d)\n\n")


def main(case):
    case.start_store()
    options = ["--stream", "--framing", "chunked", "--pieces", str(PIECES),
               "--pause-ms", str(PAUSE_MS)]
    old = [case.start_server(name, "llm", options, phase=phase)
           for name, phase in (("d-1", "decode"), ("d-2", "decode"),
                               ("p-1", "prefill"))]
    case.publish(3, [kit.route("r-sum", "/sum/", "streaming", "llm",
                               sticky=True, resumable=True, itl_target_ms=300,
                               timeout_ms=TIMEOUT_MS)],
                 [kit.plain_service("llm", runtime=ENGINE)])
    first, second = case.start_routers(2)
    time.sleep(3)
    results = []
    lock = threading.Lock()

    def generation(number):
        return [("Model", "m"), ("Token-Usage", "5000,150"),
                ("Prefix-Hash", "5c1e07a2:200,%x:4800" % (0x91bd0000 + number))]

    def client(number):
        begun = time.monotonic()
        attempt = "%016x" % (0xd000 + number)
        tries = []
        case.note("sent", attempt + " to " + first.name)
        answer = kit.ask(first.ports[0], attempt, "POST", "/sum/x", b"x" * 500,
                         DEADLINE_MS, generation(number))
        tries.append((attempt, first.name, answer))
        events = EVENT.findall(answer.body)
        if events and not answer.complete:
            time.sleep(0.3)
            left = DEADLINE_MS - int((time.monotonic() - begun) * 1000)
            again = "%016x" % (0xe000 + number)
            last = events[-1][0].decode()
            case.note("sent", "%s to %s, goes on with %s after %s, %d ms left" % (
                again, second.name, attempt, last, left))
            tries.append((again, second.name, kit.ask(
                second.ports[0], again, "POST", "/sum/x", b"x" * 500, left,
                generation(number) + [("Last-Event-Id", last),
                                      ("Resumes", attempt)])))
        with lock:
            results.append(tries)

    threads = [threading.Thread(target=client, args=(number,))
               for number in range(6)]
    for thread in threads:
        thread.start()
        time.sleep(0.05)
    if case.trouble:
        for i, server in enumerate(old):
            time.sleep(0.6)
            case.start_server("n-%d" % (i + 1), "llm", options,
                              phase=server.phase, version="v2")
            server.registered = False
            case.store.delete("servers/" + server.name)
            case.note("replaced", "%s by n-%d; its entry is removed" % (
                server.name, i + 1))
    for thread in threads:
        thread.join()
    case.record_runs()
    mixed = whole = 0
    for tries in sorted(results, key=lambda it: it[0][0]):
        versions, numbers = set(), []
        for attempt, router, answer in tries:
            events = EVENT.findall(answer.body)
            numbers += [int(number) for number, _ in events]
            versions |= {version.decode() for _, version in events}
            case.note("answer", "%s from %s status %d complete %s events %s "
                      "versions %s%s" % (
                          attempt, router, answer.status, answer.complete,
                          "%s-%s" % (events[0][0].decode(),
                                     events[-1][0].decode()) if events else "0",
                          "+".join(sorted({v.decode() for _, v in events})),
                          " " + answer.error if answer.error else ""))
        mixed += len(versions) > 1
        whole += numbers == list(range(1, PIECES + 1))
    print("%d streams, %d whole, %d of both versions" % (len(results), whole,
                                                        mixed))
    return 1 if mixed > 2 else 0


kit.run_case(main, os.path.join(HERE, "record.txt"))

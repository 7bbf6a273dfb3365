"""All routers are restarted by SIGTERM, one after the other. Clients whose streams were cut by
that take them up, also at routers that have been in touch again for some time."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import fleet as stand_ins
from streams import StreamClient, judge_take_ups

GAP_S = 1.0  # between two SIGTERMs
OPEN = 60  # long streams that are open when the restarts begin
FIRST_ROUTERS = 3  # that have them; those that are stopped first
EVENT_S = 0.09
LONG, SHORT = 135, 10  # events of a stream; 12 s and 0.9 s


async def main(folder):
    fleet = stand_ins.Fleet(folder)
    try:
        for i in range(4):
            fleet.add_server(f"i-decode{i}", "summ-llm", "decode")
        for i in range(2):
            fleet.add_server(f"i-prefill{i}", "summ-llm", "prefill")
        for it in fleet.servers.values():
            it.event_s = EVENT_S
        await fleet.start(stand_ins.config(7, [stand_ins.stream_route(resumable=True)]))
        probes = asyncio.create_task(fleet.watch_readiness())
        await asyncio.sleep(6)  # all are in touch
        tasks, restarts = [], []

        def begin(kind, router=None):
            client = StreamClient(fleet, len(tasks) + 1, kind, LONG if kind == "long" else SHORT, backoff_s=4.0)
            # The same without the disruption: the clients' own connections break, at about the same time.
            if kind == "long" and not stand_ins.TROUBLE:
                client.break_at = 85
            tasks.append(asyncio.create_task(client.run(router)))

        for i in range(OPEN):
            begin("long", fleet.routers[i % FIRST_ROUTERS])
            await asyncio.sleep(1.5 / OPEN)
        struck_at = stand_ins.now()
        if stand_ins.TROUBLE:
            for it in fleet.routers:
                begin("short", it)  # each is stopped while it answers a request
                await asyncio.sleep(0.4)
                restarts.append(asyncio.create_task(it.restart_planned()))
                await asyncio.sleep(GAP_S - 0.4)
        else:
            await asyncio.sleep(GAP_S * len(fleet.routers))
        while stand_ins.now() - struck_at < 18:
            begin("new")
            await asyncio.sleep(0.3)
        await asyncio.gather(*tasks, *restarts)
        probes.cancel()
    finally:
        await fleet.stop()
    return judge_take_ups(fleet, struck_at)


if __name__ == "__main__":
    stand_ins.run_case(main, FOLDER)

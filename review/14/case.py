"""A server crashes while the platform's store is down for some seconds. Clients whose streams were cut
take them up, also once the store has been back for so long that all routers are in touch."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import fleet as stand_ins
from streams import StreamClient, judge_take_ups

OPEN = 120  # streams that are open at 6 decode servers when one of them crashes
EVENTS, EVENT_S = 60, 0.09  # 5.4 s
STORE_DOWN_S = 4.5
CRASH_AFTER_S = 1.0  # from the store's loss
SERVER_DOWN_S = 4.5


async def main(folder):
    fleet = stand_ins.Fleet(folder)
    try:
        for i in range(6):
            fleet.add_server(f"i-decode{i}", "summ-llm", "decode")
        for i in range(3):
            fleet.add_server(f"i-prefill{i}", "summ-llm", "prefill")
        for it in fleet.servers.values():
            it.event_s = EVENT_S
        await fleet.start(stand_ins.config(7, [stand_ins.stream_route(resumable=True)]))
        probes = asyncio.create_task(fleet.watch_readiness())
        await asyncio.sleep(6)  # all are in touch
        tasks = []

        def begin(kind):
            client = StreamClient(fleet, len(tasks) + 1, kind, EVENTS, backoff_s=7.5)
            # The same without the disruptions: some clients' own connections break, at about the same time.
            if kind == "open" and not stand_ins.TROUBLE and len(tasks) % 4 == 0:
                client.break_at = 15
            tasks.append(asyncio.create_task(client.run()))

        for _ in range(OPEN):
            begin("open")
            await asyncio.sleep(1.5 / OPEN)
        struck_at = stand_ins.now()
        if stand_ins.TROUBLE:
            await fleet.store.cut()
            fleet.record.line("store down")
        await asyncio.sleep(CRASH_AFTER_S)
        crashed = fleet.servers["i-decode0"]
        if stand_ins.TROUBLE:
            await crashed.crash()
            fleet.record.line("server i-decode0 crashed")
        await asyncio.sleep(STORE_DOWN_S - CRASH_AFTER_S)
        if stand_ins.TROUBLE:
            await fleet.store.listen(fleet.store.address)
            fleet.record.line("store back")
        back_at = stand_ins.now()
        fleet.stable_at = back_at + 3.0
        await asyncio.sleep(SERVER_DOWN_S + CRASH_AFTER_S - STORE_DOWN_S)
        if stand_ins.TROUBLE:
            await crashed.start()
        while stand_ins.now() - struck_at < 14:
            begin("new")
            await asyncio.sleep(0.3)
        await asyncio.gather(*tasks)
        probes.cancel()
    finally:
        await fleet.stop()
    # No machine is in touch while the store isn't stable.
    return judge_take_ups(fleet, fleet.stable_at)


if __name__ == "__main__":
    stand_ins.run_case(main, FOLDER)

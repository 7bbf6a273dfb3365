"""Clients of streams that take a broken stream up, for the scripts of the review."""

import asyncio
import random

from fleet import now, read_body, read_chunk, read_head

CONTACT_S = 3.0  # contact-ms


class StreamClient:
    """Sends a stream. If its connection breaks after an event, takes the stream up
    once, `backoff_s` later, on a new connection, as PROTOCOL.md lets it."""

    def __init__(self, fleet, number, kind, events=60, deadline_s=14.0, backoff_s=5.0, path="/stream/x"):
        self.fleet, self.number, self.kind = fleet, number, kind
        self.events = events  # of the whole stream; servers make one for each token
        self.deadline_s, self.backoff_s, self.path = deadline_s, backoff_s, path
        self.last = 0  # id of the last event
        self.first_attempt = None  # that brought the first event
        self.attempts = 0
        self.complete = False
        self.break_at = None  # its own connection breaks after this event
        self.versions = set()  # that wrote its events

    async def run(self, router=None):
        until = now() + self.deadline_s
        await self.attempt(until - now(), router)
        if self.last and not self.complete:
            await asyncio.sleep(self.backoff_s)
            if until > now():
                await self.attempt(until - now())

    async def attempt(self, left, router=None):
        self.attempts += 1
        router = router or self.fleet.choose_router()
        request = f"{self.number:04x}{self.attempts:02x}{random.getrandbits(40):010x}"
        fields = [("Attempt-Id", request), ("Model", "m"), ("Token-Usage", f"100,{self.events}"),
                  ("Prefix-Hash", f"5c1e07a2:60,{self.number + 4096:x}:40"), ("Deadline-Ms", str(int(left * 1000)))]
        takes_up = self.last > 0
        if takes_up:
            fields += [("Last-Event-Id", str(self.last)), ("Resumes", self.first_attempt)]
        sent, in_touch, before = now(), router.in_touch(), self.last
        status, writer = 0, None
        try:
            ip, port = router.front.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            text = f"POST {self.path} HTTP/1.1\r\nHost: a.example\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in fields)
            writer.write(text.encode() + b"Content-Length: 6\r\n\r\nprompt")
            head = await asyncio.wait_for(read_head(reader), left)
            if head is not None:
                status = int(head.first.split(" ")[1])
                if status == 200:
                    await asyncio.wait_for(self.read_events(reader, request), left)
                else:
                    await read_body(reader, head)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            if writer:
                writer.transport.abort()
        self.fleet.record.line(
            f"client {self.kind}-{self.number} attempt={self.attempts} request={request} router={router.name} "
            f"sent={sent:.3f} in_touch={'yes' if in_touch else 'no'} "
            f"takes_up={'after-' + str(before) if takes_up else 'no'} status={status or 'none'} "
            f"events={before + 1}..{self.last} complete={'yes' if self.complete else 'no'}")
        if in_touch:
            self.fleet.counts.append((sent, "taken up" if takes_up else "new", self.last > before or self.complete))

    async def read_events(self, reader, request):
        rest = b""
        while True:
            part = await read_chunk(reader)
            if not part:
                self.complete = True
                return
            rest += part
            while b"\n\n" in rest:
                event, rest = rest.split(b"\n\n", 1)
                lines = event.split(b"\n")
                if self.first_attempt is None:
                    self.first_attempt = request
                self.last = max(self.last, int(lines[0].split(b":")[1]))
                self.versions.add(lines[1].split()[-1].decode())
                if self.break_at and self.last >= self.break_at:
                    self.break_at = None
                    raise OSError("the client's connection broke")


def judge_take_ups(fleet, since):
    """LOST of the news pages: of 12 or more streams that clients take up at machines in touch, the
    share that goes on is under half of the share of new streams that begin."""
    def share(kind):
        found = [on for at, what, on in fleet.counts if what == kind and at >= since]
        return len(found), sum(found) / max(1, len(found))

    taken, on = share("taken up")
    new, begun = share("new")
    broken = taken >= 12 and new > 0 and on < begun / 2
    text = (f"at routers in touch: {taken} streams taken up, {on:.2f} of them go on; "
            f"{new} new ones, {begun:.2f} of them begin; the rule is {'broken' if broken else 'kept'}")
    fleet.record.line(text)
    print(text)
    return 1 if broken else 0

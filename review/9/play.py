"""A request hidden in the body of another one is run; see claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import bed as b  # noqa: E402

TRIES = 10


async def play(bed):
    bed.route("/puxa403/", "idempotent", timeout_ms=1500,
              target_latency_ms=300)
    bed.route("/lohu930/", "non_idempotent", timeout_ms=1500, max_attempts=1)
    engines = [b.Engine(bed, "i-%d" % i) for i in range(2)]

    async def run(engine, head, writer):
        await asyncio.sleep(0.02)
        return await engine.plain(head, writer)

    await bed.start(engines, 1, run)
    await asyncio.sleep(1.0)
    method = "CONNECT" if b.trouble() else "POST"
    bodies = {}
    hidden = set()
    for i in range(TRIES):
        hidden.add("hidden%010d" % i)
        inner = ("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\n"
                 "X-Savorypier-Attempt-Id: hidden%010d\r\n"
                 "X-Savorypier-Deadline-Ms: 1500\r\n"
                 "Authorization: Bearer %s\r\n"
                 "Content-Length: 0\r\n\r\n" % (b.HOST, i, b.KEY)).encode()
        outer = bed.new_id()
        bodies[outer] = inner
        await bed.ask(bed.nodes[0], method, "/puxa403/2f", {
            "X-Savorypier-Attempt-Id": outer,
            "X-Savorypier-Deadline-Ms": "1500"}, inner)
    await asyncio.sleep(1.0)

    smuggled = changed = 0
    for _, engine, head in bed.arrivals:
        name = head.get("X-Savorypier-Attempt-Id")
        if name in hidden:
            smuggled += 1
            bed.record.line("engine %s ran %s %s, id %s, of no client" % (
                engine.name, head.first[0], head.first[1], name))
        elif head.body != bodies[name]:
            changed += 1
            bed.record.line("engine %s ran %s with %d bytes of its %d" % (
                engine.name, name, len(head.body), len(bodies[name])))
    text = "%d requests sent; %d hidden in their bodies were run (none " \
        "allowed), %d ran with another body (none allowed)" % (
            TRIES, smuggled, changed)
    bed.record.line(text)
    print(text)
    return smuggled == 0 and changed == 0


b.main(HERE, play)

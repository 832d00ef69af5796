"""A part of long prompts crashes engines; see claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import bed as b  # noqa: E402

PARTS = 40                                      # of a conversation
AT = int(os.environ.get("POSITION", "35"))      # of the bad part, from 0
STABLE_S = 3.0                                  # stable_window_ms
BACK_S = 2.0                                    # "back after some seconds"
PERIOD_S = 0.5
LENGTH_S = 40.0
SHARED = ["5c1e%04x" % i for i in range(PARTS - 1)]
BAD = "bad0bad0"


async def play(bed):
    crashes = []
    bed.route("/lohu930/", "streaming", sticky=True, resumable=True,
              timeout_ms=6000, gap_target_ms=1000)
    engines = [b.Engine(bed, "i-%d" % i) for i in range(6)]

    async def run(engine, head, writer):
        bad = BAD in (head.get("X-Savorypier-Prompt-Prefix") or "")
        await asyncio.sleep(0.05)
        await engine.begin_stream(head, writer)
        if bad and b.trouble():
            crashes.append(b.now())
            asyncio.ensure_future(engine.restart(BACK_S))
            return False
        for i in range(5):
            await engine.event(writer, i + 1, "x")
            await asyncio.sleep(0.02)
        return await engine.end_stream(writer)

    await bed.start(engines, 3, run)
    await asyncio.sleep(1.0)

    async def request(number, bad):
        parts = list(SHARED)
        if bad:
            parts[AT] = BAD
        parts.append("%08x" % (0xe4400000 + number))
        prefix = ",".join("%s:%d" % (p, 30) for p in parts)
        await bed.ask(
            bed.nodes[number % 3], "POST", "/lohu930/2f", {
                "X-Savorypier-Model": "m",
                "X-Savorypier-Token-Usage": "%d,80" % (30 * PARTS),
                "X-Savorypier-Prompt-Prefix": prefix},
            b"request %d" % number, label="bad part" if bad else "")

    tasks = []
    number = 0
    end = b.now() + LENGTH_S
    while b.now() < end:
        for bad in (True, False, False):
            number += 1
            tasks.append(asyncio.ensure_future(request(number, bad)))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)

    reached = [t for t, _, head in bed.arrivals
               if BAD in (head.get("X-Savorypier-Prompt-Prefix") or "")]
    fifth = crashes[4] if len(crashes) > 4 else None
    late = [t for t in reached if fifth is not None and t > fifth + STABLE_S]
    text = ("%d crashes, the fifth at %s; %d requests with the part reached "
            "engines, %d of them later than %.0f s after it (3 allowed)" % (
                len(crashes), fifth and "%.3f" % fifth, len(reached),
                len(late), STABLE_S))
    bed.record.line(text)
    print(text)
    return len(late) <= 3


b.main(HERE, play)

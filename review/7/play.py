"""Streams go on at another version with a long name; see claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import bed as b  # noqa: E402

# Two builds of one release: what differs stands at the end of the names.
VERSIONS = ["planner-llm-2026.11-h200x8-sglang-fp8-release-candidate-a1b2c3d",
            "planner-llm-2026.11-h200x8-sglang-fp8-release-candidate-e4f5a6b"]
if os.environ.get("SHORT"):
    VERSIONS = ["v1", "v2"]
EVENTS = 20
EVENT_S = 0.1
BACK_S = 3.0
STREAMS = 240
EVERY_S = 0.08
CRASH_EVERY_S = 0.5


async def play(bed):
    bed.route("/lohu930/", "streaming", sticky=True, resumable=True,
              timeout_ms=12000, gap_target_ms=1000)
    engines = [b.Engine(bed, "i-%d" % i, version=VERSIONS[i % 2])
               for i in range(6)]

    async def run(engine, head, writer):
        first = int(head.get("Last-Event-Id", "0")) + 1
        await asyncio.sleep(0.03)
        await engine.begin_stream(head, writer)
        for i in range(first, EVENTS + 1):
            await engine.event(writer, i, VERSIONS.index(engine.version))
            await asyncio.sleep(EVENT_S)
        return await engine.end_stream(writer)

    await bed.start(engines, 2, run)
    await asyncio.sleep(12.0)  # the nodes have retries of their own from then

    async def request(number):
        return await bed.ask(
            bed.nodes[number % 2], "POST", "/lohu930/2f", {
                "X-Savorypier-Model": "m",
                "X-Savorypier-Deadline-Ms": "12000",
                "X-Savorypier-Token-Usage": "600,80",
                "X-Savorypier-Prompt-Prefix": "5c1e07a2:400,%08x:200" %
                (0xe4400000 + number)},
            b"request %d" % number, limit=14.0)

    async def crashes():
        for i in range(5):
            await asyncio.sleep(CRASH_EVERY_S)
            if b.trouble():
                await engines[i].restart(BACK_S)

    crashing = asyncio.ensure_future(crashes())
    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.ensure_future(request(number)))
        await asyncio.sleep(EVERY_S)
    answers = await asyncio.gather(*tasks)
    await crashing

    mixed = 0
    for a in answers:
        of = [data for _, data in a.events]
        if len(set(of)) > 1:
            mixed += 1
            bed.record.line("%s holds events of versions %s" % (
                a.id, "".join(of)))
    text = "%d of %d streams hold events of two versions (2 allowed); " \
        "%d are complete" % (mixed, STREAMS,
                             sum(a.complete for a in answers))
    bed.record.line(text)
    print(text)
    return mixed <= 2


b.main(HERE, play)

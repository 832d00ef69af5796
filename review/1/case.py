"""After all nodes were killed at one moment, streams that callers take up again
are refused for a long time, though their service has one software version."""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
import bed as b

NODES = 4
STABLE_S = 3.0          # stable_window_ms
EVENTS, EVENT_S = 60, 0.1
PER_S = 10
DEADLINE_S = 12.0       # of driver-query
# Seconds from the start of the traffic; the nodes are down for a while.
KILL, DOWN_S = 33.0, 2.0
LENGTH_S = 50.0


def config():
    return {"version": 5,
            "routes": [{"name": "query", "host": b.HOST, "path_prefix": "/query/",
                        "kind": "streaming", "resumable": True, "sticky": True,
                        "service": "planner-llm", "timeout_ms": 12000,
                        "target_latency_ms": 1500, "gap_target_ms": 250,
                        "max_attempts": 2, "priority": 0}],
            "services": [{"name": "planner-llm", "health_path": "/health",
                          "connection_limit": 370,
                          "engine": {"slots": 64, "kv_cache_tokens": 582373,
                                     "stride": 3}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "org", "api_keys": [b.KEY]}]}


class Engine(b.Server):
    def __init__(self, bed, name):
        super().__init__(bed, name, Engine.stream)
        bed.store.put("keyed.servers", name, {
            "service": "planner-llm", "address": "127.0.0.1:%d" % self.port,
            "zone": "zone-a", "version": "7", "slots": 64, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, "born": 1700000000000})

    def stream(self, conn, request):
        attempt = b.field(request[2], "x-savorypier-attempt-id", "")
        after = int(b.field(request[2], "last-event-id", "0"))
        if after:
            self.bed.note("%s goes on with %s after %d", self.name, attempt, after)
        conn.sendall(b"HTTP/1.1 200 OK\r\n" + self.answer_fields(request)
                     + b"Content-Type: text/event-stream\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n")
        for i in range(after + 1, EVENTS + 1):
            time.sleep(EVENT_S)
            text = b"id: %d\ndata: %s version 7\n\n" % (i, self.name.encode())
            conn.sendall(b"%x\r\n%s\r\n" % (len(text), text))
        conn.sendall(b"0\r\n\r\n")
        return True


def case(bed):
    for i in range(6):
        Engine(bed, "i-%d" % i)
    bed.store.put("keyed.op", "config", config())
    bed.start_nodes(NODES)
    killed, started, opened = [], [], []
    taken, new = {}, {}

    def ask(i, attempt, more, left_s):
        prompt = ("X-Savorypier-Model: m\r\nX-Savorypier-Token-Usage: 1460,180\r\n"
                  "X-Savorypier-Prompt-Prefix: 5c1e07a2:210,%x:140,%x:1110\r\n"
                  % (0x1000 + i % 40, 0x90000 + i))
        return b.ask(bed.nodes[i % NODES], "POST", "/query/a", attempt, b"q" * 1500,
                     prompt + more, left_s + 1, int(left_s * 1000), opened)

    def last_event(body):
        ids = [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]
        return ids[-1] if ids else 0

    def one(i):
        """A stream that breaks off is taken up again, once its node is in touch."""
        begin = time.monotonic()
        attempt = "%016x" % (0x5eed0000 + i)
        status, _, body, whole = ask(i, attempt, "", DEADLINE_S)
        if started and begin > started[0] + STABLE_S:
            new[attempt] = status == 200
        if whole or not killed or last_event(body) == 0:
            return
        while not started or time.monotonic() < started[0] + STABLE_S + 0.2:
            time.sleep(0.05)
        left = begin + DEADLINE_S - time.monotonic()
        if left < 1:
            return
        more = ("Last-Event-Id: %d\r\nResumes: %s\r\n" % (last_event(body), attempt))
        status, _, rest, whole = ask(i, attempt + "-2", more, left)
        taken[attempt] = status == 200 and last_event(rest) > last_event(body)
        bed.note("%s taken up after %d with %.1f s left: %d, %s", attempt,
                 last_event(body), left, status,
                 "goes on" if taken[attempt] else "does not go on")

    def herd_kill():
        bed.note("all nodes are killed")
        killed.append(time.monotonic())
        for node in bed.nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in bed.nodes:
            node.process.wait()
        time.sleep(DOWN_S)
        for node in bed.nodes:
            node.start()
        bed.wait(lambda: all(n.is_ready() for n in bed.nodes), 15, "not ready")
        started.append(time.monotonic())
        bed.note("all nodes are back")

    def callers_break():
        """In place of the kill: all callers lose their connections."""
        bed.note("all callers' connections end")
        killed.append(time.monotonic())
        for s in opened:
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        time.sleep(DOWN_S)
        started.append(time.monotonic())

    t = threading.Timer(KILL, herd_kill if b.TROUBLE else callers_break)
    t.daemon = True
    t.start()
    begin = time.monotonic()
    threads = []
    for i in range(int(LENGTH_S * PER_S)):
        time.sleep(max(0, begin + i / PER_S - time.monotonic()))
        t = threading.Thread(target=one, args=(i,), daemon=True)
        t.start()
        threads.append(t)
    for t in threads:
        t.join(15)
    goes_on, begun = sum(taken.values()), sum(new.values())
    bed.note("%d of %d streams taken up go on; %d of %d new streams begin", goes_on,
             len(taken), begun, len(new))
    if len(taken) < 12 or not new:
        return b.NOT_RUN
    return (b.BROKEN if 2 * goes_on * len(new) < begun * len(taken) else b.HELD)


b.main(os.path.dirname(os.path.abspath(__file__)), case)

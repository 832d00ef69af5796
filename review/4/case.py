"""A node that passed on an answer with Server-Leaving, which another node got
for it, sends that engine requests later."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
import bed as b

ENGINES, LEAVING = 20, 3         # scale_in: a share of .15
NODES = 3
PER_S = 200
DRAIN_S = 2.0                   # drain_ms
# Seconds from the start of the traffic.
STORE_DOWN, STORE_UP = 3.0, 7.5
CUT, HEALED = 3.1, 6.6
LEAVE = 4.1
LENGTH_S = 9.0


def config():
    return {"version": 5,
            "routes": [{"name": "level", "host": b.HOST, "path_prefix": "/level/",
                        "kind": "idempotent", "service": "yard-app",
                        "timeout_ms": 1500, "target_latency_ms": 300,
                        "max_attempts": 2, "priority": 2}],
            "services": [{"name": "yard-app", "health_path": "/health",
                          "connection_limit": 110}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "org", "api_keys": [b.KEY]}]}


class Engine(b.Server):
    def __init__(self, bed, name, arrivals):
        self.leaving = False
        self.arrivals = arrivals
        super().__init__(bed, name, Engine.run)
        self.register("ready")

    def register(self, state):
        self.bed.store.put("keyed.servers", self.name, {
            "service": "yard-app", "address": "127.0.0.1:%d" % self.port,
            "zone": "zone-a", "version": "1", "slots": 6, "state": state,
            "cold_remaining_ms": 0, "sequence": 1, "born": 1700000000000})

    def run(self, conn, request):
        attempt = b.field(request[2], "x-savorypier-attempt-id", "")
        peer = self.peers.get(conn, "")
        if self.leaving:
            self.arrivals.append((attempt, self.name, peer))
            self.bed.note("%s, leaving, gets %s from %s", self.name, attempt, peer)
        time.sleep(0.03)
        conn.sendall(b"HTTP/1.1 200 OK\r\n" + self.answer_fields(request)
                     + (b"Server-Leaving: 1\r\n" if self.leaving else b"")
                     + b"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nlevel")
        return True

    def leave(self):
        """It keeps serving until the store has accepted its report."""
        self.leaving = True
        self.bed.note("%s leaves", self.name)


def case(bed):
    arrivals, passed, sent = [], {}, {}
    engines = [Engine(bed, "i-%d" % i, arrivals) for i in range(ENGINES)]
    bed.store.put("keyed.op", "config", config())
    bed.start_nodes(NODES)
    time.sleep(3)
    cut = bed.nodes[0]

    def one(i):
        node = bed.nodes[i % NODES]
        attempt = "level-%d" % i
        sent[attempt] = time.monotonic()
        status, fields, _, whole = b.ask(node, "GET", "/level/%d" % i, attempt)
        name = b.field(fields, "x-savorypier-response-signature", "").split(".")[0]
        if whole and b.field(fields, "server-leaving") is not None:
            key = (node.address, name)
            if key not in passed:
                passed[key] = time.monotonic()
                bed.note("%s passes on that %s leaves, in the answer to %s",
                         node.name, name, attempt)
        if status != 200:
            bed.note("%s answered %d", attempt, status)

    def partition(on):
        bed.note("%s is %s all engines", cut.name,
                 "partitioned from" if on else "back in touch with")
        if on:
            bed.cut.add(cut.address)
            for e in engines:
                e.cut_off(cut.address)
        else:
            bed.cut.clear()

    def store(on):
        bed.note("the store is %s", "up" if on else "down")
        bed.store.down(not on)
        if on:
            for e in engines[:LEAVING]:
                e.register("draining")

    steps = []
    if b.TROUBLE:
        steps = [(STORE_DOWN, lambda: store(False)), (STORE_UP, lambda: store(True)),
                 (CUT, lambda: partition(True)), (HEALED, lambda: partition(False))]
    else:
        steps = [(LEAVE + 0.1, lambda: store(True))]
    steps += [(LEAVE, e.leave) for e in engines[:LEAVING]]
    begin = time.monotonic()
    threads = []
    for at, step in steps:
        t = threading.Timer(at, step)
        t.daemon = True
        t.start()
    for i in range(int(LENGTH_S * PER_S)):
        time.sleep(max(0, begin + i / PER_S - time.monotonic()))
        t = threading.Thread(target=one, args=(i,), daemon=True)
        t.start()
        threads.append(t)
    for t in threads:
        t.join(5)
    wrong = 0
    for attempt, name, peer in arrivals:
        told = passed.get((peer, name))
        if told is not None and sent[attempt] > told + DRAIN_S:
            wrong += 1
            bed.note("%s reached %s from %s, sent %.2f s after that node passed on "
                     "that it leaves", attempt, name, peer, sent[attempt] - told)
    bed.note("%d requests reached an engine too late, of %d at leaving engines",
             wrong, len(arrivals))
    return b.BROKEN if wrong else b.HELD


b.main(os.path.dirname(os.path.abspath(__file__)), case)

"""A server's failure that breaks off reaches the caller as a complete one."""

import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
import bed as b

REQUESTS, CALLERS = 6000, 8
FAILS = 7                       # 0.14 of the requests fail by themselves
ENGINES, FAULTY = 8, 4          # garble: a share of .5
BREAKS = 50                     # and x = .02: each 50th of their answers
BODY = b"E" * 800


def config():
    def route(prefix, kind, attempts):
        return {"name": prefix.strip("/"), "host": b.HOST, "path_prefix": prefix,
                "kind": kind, "service": "yard-app", "timeout_ms": 1500,
                "target_latency_ms": 300, "max_attempts": attempts, "priority": 2}
    return {"version": 5,
            "routes": [route("/job/", "non_idempotent", 1),
                       route("/level/", "idempotent", 2)],
            "services": [{"name": "yard-app", "health_path": "/health",
                          "connection_limit": 110}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "org", "api_keys": [b.KEY]}]}


def case(bed):
    counts = {}
    lock = threading.Lock()
    wrong = []

    def count(*key):
        with lock:
            counts[key] = counts.get(key, 0) + 1
            return counts[key]

    def handle(server, conn, request):
        """Some requests fail with 500, which counts as run."""
        attempt = b.field(request[2], "x-savorypier-attempt-id", "")
        n = count(server.name)
        status = 500 if n % FAILS == 0 else 200
        broken = (n % BREAKS == BREAKS - 1 and b.TROUBLE
                  and server in servers[:FAULTY])
        count(server.name, status)
        head = (b"HTTP/1.1 %d X\r\n" % status + server.answer_fields(request)
                + b"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
                % len(BODY))
        if status == 500 or broken:
            bed.note("%s runs %s, answers %d%s", server.name, attempt, status,
                     ", breaks off" if broken else "")
        if broken:
            conn.sendall(head + BODY[:300])
            conn.close()
            return False
        conn.sendall(head + BODY)
        return True

    def call(k):
        for i in range(REQUESTS // CALLERS):
            kind = "job" if i % 4 else "level"
            attempt = "%s-%d-%d" % (kind, k, i)
            status, fields, body, complete = b.ask(
                bed.nodes[i % 2], "POST" if kind == "job" else "GET",
                "/%s/a" % kind, attempt)
            signed = b.field(fields, "x-savorypier-response-signature") is not None
            bad = signed and complete and body != BODY
            count("answered", status)
            if bad:
                wrong.append(attempt)
            if status != 200:
                bed.note("%s answered %d, %s, %d bytes, %s%s", attempt, status,
                         "signed" if signed else "not signed", len(body),
                         "complete" if complete else "broken off",
                         ": WRONG" if bad else "")

    servers = [b.Server(bed, "i-%d" % i, handle) for i in range(ENGINES)]
    bed.store.put("keyed.op", "config", config())
    for s in servers:
        bed.store.put("keyed.servers", s.name, {
            "service": "yard-app", "address": "127.0.0.1:%d" % s.port,
            "zone": "zone-a", "version": "1", "slots": 6, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, "born": 1700000000000})
    bed.start_nodes(2)
    threads = [threading.Thread(target=call, args=(k,), daemon=True)
               for k in range(CALLERS)]
    for t in threads:
        t.start()
    for t in threads:
        t.join(90)
    for key in sorted(counts, key=str):
        if key[0] == "answered" or key[-1] in (200, 500):
            bed.note("%s %d: %d", key[0], key[1], counts[key])
    bed.note("%d of %d answers end early and look complete", len(wrong), REQUESTS)
    return b.BROKEN if wrong else b.HELD


b.main(os.path.dirname(os.path.abspath(__file__)), case)

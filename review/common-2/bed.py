"""Stand-ins and process control for the scripts of this review.

Store, engines and clients run in this process, on loopback addresses. The
nodes are separate processes: the program and the settings of the deploy file.
"""

import asyncio
import base64
import json
import os
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "savorypierd-entry")
PEER_KEY = "savorypier-entry-nodes-of-one-deployment"
KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "huvo11a"
HOST = "ficu95.example"
START = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run: record.txt in the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def line(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


# ---- HTTP ----


class Head:
    """The head of a message, and its body when it has been read."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.first = lines[0].split(" ", 2)
        self.fields = []
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.fields.append((name.strip(), value.strip()))
        self.body = b""

    def get(self, name, default=None):
        for field, value in self.fields:
            if field.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    return Head(text.decode("latin-1"))


async def read_chunks(reader):
    """Yields the chunks of a body; raises if it does not end."""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(head, reader):
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        head.body = b"".join([c async for c in read_chunks(reader)])
    else:
        head.body = await reader.readexactly(
            int(head.get("Content-Length", "0")))


def close(writer):
    try:
        writer.close()
    except Exception:
        pass


class Server:
    """A listener whose process can end and start again at its address."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.connected, "127.0.0.1", self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        """As the end of a process: nobody listens, connections are reset."""
        self.server.close()
        self.server = None
        for w in list(self.writers):
            sock = w.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            w.transport.abort()
        self.writers.clear()

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                await read_body(head, reader)
                if not await self.request(head, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            close(writer)

    async def request(self, head, reader, writer):
        raise NotImplementedError

    @staticmethod
    async def answer(writer, status, fields="", body=b"", reason="OK"):
        writer.write(("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" %
                      (status, reason, fields, len(body))).encode() + body)
        await writer.drain()
        return True


# ---- the platform's store ----


def query_of(target):
    path, _, query = target.partition("?")
    out = {}
    for part in query.split("&"):
        if part:
            name, _, value = part.partition("=")
            out[name] = value
    return path, out


class Store(Server):
    """The platform's store: topics of one partition, and their keys."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.hook = None  # called before a call; True: it gets no answer
        self.era = 0      # 0: the answers name none

    def append(self, topic, content):
        self.topics.setdefault(topic, []).append(content)

    def put(self, topic, key, value):
        text = value if isinstance(value, str) else json.dumps(value)
        self.append(topic, bytes([len(key)]) + key.encode() + text.encode())

    def newest(self, topic):
        keys = {}
        for offset, r in enumerate(self.topics.get(topic, [])):
            key, value = r[1:1 + r[0]].decode(), r[1 + r[0]:]
            keys.pop(key, None)
            if value:
                keys[key] = (value, offset)
        return keys

    async def request(self, head, reader, writer):
        path, q = query_of(head.first[1])
        if self.hook is not None and await self.hook(path, q, head, writer):
            return False
        log = self.topics.get(q.get("topic"), [])
        fields = "Store-Era: %d\r\n" % self.era if self.era else ""

        async def say(status, value):
            body = value if isinstance(value, bytes) else \
                json.dumps(value).encode()
            return await self.answer(
                writer, status, fields + "Content-Type: application/json\r\n",
                body)

        if path == "/log-newest":
            keys = self.newest(q["topic"])
            entries = [{"key": k, "offset": keys[k][1],
                        "value": base64.b64encode(keys[k][0]).decode()}
                       for k in sorted(keys) if k > q.get("after", "")]
            return await say(200, {"entries": entries[:500],
                                   "has_more": len(entries) > 500,
                                   "end_offset": len(log)})
        if path == "/log-read":
            source = int(q["source"])
            if source > len(log):
                return await say(410, {"first_offset": 0})
            out = struct.pack(">QQ", len(log), 0)
            for r in log[source:]:
                out += struct.pack(">I", len(r)) + r
            return await say(200, out)
        if path == "/log-append":
            if "at" in q and int(q["at"]) != len(log):
                return await say(412, {"end_offset": len(log)})
            first, at, body = len(log), 0, head.body
            while at + 4 <= len(body):
                n = struct.unpack(">I", body[at:at + 4])[0]
                self.append(q["topic"], body[at + 4:at + 4 + n])
                at += 4 + n
            return await say(200, {"offset": first,
                                   "end_offset": len(self.topics.get(
                                       q["topic"], []))})
        return await self.answer(writer, 404, reason="Not Found")


# ---- engines ----


class Engine(Server):
    """A model engine or plain server, as the platform's pages describe it."""

    def __init__(self, bed, name, service=SERVICE, version="v1", slots=64):
        super().__init__()
        self.bed = bed
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.born = 0
        self.runs = 0
        self.state = "ready"
        self.fields = lambda head: ""   # further fields of its answers
        self.run = None                 # coroutine: runs a request

    async def start(self):
        self.born = int(time.time() * 1000)
        await self.listen()
        self.beat()

    def entry(self):
        return {"service": self.service, "zone": "zone-a",
                "address": "127.0.0.1:%d" % self.port, "slots": self.slots,
                "version": self.version, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.runs,
                "born": self.born}

    def beat(self):
        self.bed.store.put("keyed.servers", self.name, self.entry())

    def unlist(self):
        self.bed.store.put("keyed.servers", self.name, "")

    async def restart(self, after):
        """Crash now; the entry lapses, and the process is back later."""
        self.crash()
        self.bed.record.line("engine %s has crashed" % self.name)
        await asyncio.sleep(after)
        await self.start()
        self.bed.record.line("engine %s is back" % self.name)

    def answer_fields(self, head):
        return ("X-Savorypier-Attempt-Id: %s\r\n"
                "X-Savorypier-Response-Signature: sig-%s\r\n"
                "X-Savorypier-Weight-Versions: 1\r\n%s" %
                (head.get("X-Savorypier-Attempt-Id", ""), self.name,
                 self.fields(head)))

    async def request(self, head, reader, writer):
        method, target = head.first[0], head.first[1]
        if method == "GET" and target == "/report":
            body = json.dumps({
                "phase": "combined", "models": [
                    {"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": self.runs, "queued": 0,
                "active": 0, "kv_cache_used": 0, "kv_cache_total": 500000,
                "handles": 0, "born": self.born, "state": self.state,
                "runs": []}).encode()
            return await self.answer(
                writer, 200, "Content-Type: application/json\r\n", body)
        if method == "GET" and target == "/health":
            return await self.answer(
                writer, 200, "X-Savorypier-Instance-Id: %s\r\n" % self.name)
        wanted = head.get("X-Savorypier-Expected-Instance")
        if wanted is not None and wanted != self.name:
            return await self.answer(
                writer, 421, "X-Savorypier-Not-Executed: 1\r\n"
                "X-Savorypier-Attempt-Id: %s\r\n" %
                head.get("X-Savorypier-Attempt-Id", ""), reason="Misdirected")
        self.runs += 1
        self.bed.arrivals.append((now(), self, head))
        self.bed.record.line("engine %s gets %s %s %s" % (
            self.name, method, target,
            head.get("X-Savorypier-Attempt-Id", "-")))
        return await self.run(self, head, writer)

    async def plain(self, head, writer, body=b"{\"ok\":true}"):
        return await self.answer(writer, 200, self.answer_fields(head), body)

    async def begin_stream(self, head, writer):
        writer.write(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream"
                      "\r\nTransfer-Encoding: chunked\r\n\r\n" %
                      self.answer_fields(head)).encode())
        await writer.drain()

    async def event(self, writer, number, data):
        text = "id: %d\ndata: %s\n\n" % (number, data)
        writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))
        await writer.drain()

    async def end_stream(self, writer):
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# ---- nodes ----


def free_ports(n):
    socks = []
    for _ in range(n):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        socks.append(s)
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


class Node:
    """One node: the program that deploy/system.toml starts."""

    def __init__(self, bed, number, store_port):
        self.bed = bed
        self.name = "hand-%d" % number
        (self.caller, self.control, self.peer, self.ready, self.directory,
         self.metrics) = free_ports(6)
        self.file = os.path.join(bed.folder, self.name + ".yaml")
        self.proc = None
        with open(self.file, "w") as f:
            f.write("""node: %s
domain: zone-a
listen:
  caller: 127.0.0.1:%d
  control: 127.0.0.1:%d
  peer: 127.0.0.1:%d
  ready: 127.0.0.1:%d
  directory: 127.0.0.1:%d
  metrics: 127.0.0.1:%d
platform:
  store: 127.0.0.1:%d
limits:
  memory_mb: 260
bounds:
  keys_fail_closed: true
  keys_bound_ms: 5000
  change_bound_ms: 2000
  server_stay_ms: 2000
  retry_ratio: 0.2
  retry_fixed: 56
  retry_window_s: 10
  stop_s: 8
%speer_key: %s
%s""" % (self.name, self.caller, self.control, self.peer, self.ready,
                self.directory, self.metrics, store_port, bed.more_settings,
                PEER_KEY, "outgoing_address: %s\n" % bed.outgoing[number - 1]
                if bed.outgoing else ""))

    def start(self):
        self.log = open(os.path.join(self.bed.folder, self.name + ".log"), "a")
        self.proc = subprocess.Popen(
            [PROGRAM, "-c", self.file], stdout=self.log,
            stderr=subprocess.STDOUT, cwd=ROOT)

    def signal(self, number):
        self.proc.send_signal(number)

    def kill(self):
        if self.proc is not None and self.proc.poll() is None:
            self.proc.kill()
        if self.proc is not None:
            self.proc.wait()

    async def is_ready(self):
        try:
            answer = await ask(self.ready, "GET", "/readiness", {}, b"", 1.0)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=10.0):
        end = now() + limit
        while not await self.is_ready():
            if now() > end:
                raise Unable("node %s is not ready" % self.name)
            await asyncio.sleep(0.05)


class Unable(Exception):
    """The case cannot run."""


# ---- clients ----


class Answer:
    """What a client saw: status 0 and broken for a connection that ended."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.events = []  # numbers and data of a stream
        self.complete = False
        self.error = ""


def parse_events(answer, data):
    while b"\n\n" in data:
        event, _, data = data.partition(b"\n\n")
        number, text = None, ""
        for line in event.decode().split("\n"):
            if line.startswith("id:"):
                number = int(line[3:])
            elif line.startswith("data:"):
                text = line[5:].strip()
        answer.events.append((number, text))
    return data


async def exchange(port, request, limit):
    answer = Answer()
    reader = writer = None

    async def go():
        nonlocal reader, writer
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=1 << 22)
        writer.write(request)
        await writer.drain()
        answer.head = await read_head(reader)
        answer.status = int(answer.head.first[1])
        if (answer.head.get("Transfer-Encoding") or "") == "chunked":
            rest = b""
            async for chunk in read_chunks(reader):
                answer.body += chunk
                rest = parse_events(answer, rest + chunk)
        else:
            await read_body(answer.head, reader)
            answer.body = answer.head.body
        answer.complete = True

    try:
        await asyncio.wait_for(go(), limit)
    except asyncio.TimeoutError:
        answer.error = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as e:
        answer.error = type(e).__name__
    finally:
        if writer is not None:
            close(writer)
    return answer


async def ask(port, method, target, fields, body, limit):
    text = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, HOST)
    for name, value in fields.items():
        text += "%s: %s\r\n" % (name, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    return await exchange(port, text.encode() + body, limit)


# ---- all of it ----


class Bed:
    """A small deployment: a store, engines and nodes."""

    def __init__(self, case):
        self.record = Record(case)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.engines = []
        self.nodes = []
        self.arrivals = []  # time, engine, head
        self.version = 0
        self.more_settings = ""
        self.outgoing = []  # the machines' addresses, where they matter
        self.keys = [KEY]
        self.routes = []
        self.ids = 0

    def new_id(self):
        self.ids += 1
        return "%016x" % (0x9c41d07be2a30000 + self.ids)

    def route(self, prefix, kind, **more):
        r = {"name": "r-" + prefix.strip("/"), "host": HOST,
             "path_prefix": prefix, "kind": kind, "timeout_ms": 6000,
             "target_latency_ms": 1500, "priority": 2, "service": SERVICE,
             "max_attempts": 2, "anonymous": False}
        r.update(more)
        self.routes.append(r)

    def put_config(self):
        self.version += 3
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": self.routes,
            "services": [{
                "name": SERVICE, "health_path": "/health",
                "connection_limit": 370, "protocol": "h1", "tls": False,
                "engine": {"slots": 64, "kv_cache_tokens": 582373,
                           "kv_bytes": 35136, "link_mbps": 740000.0,
                           "stride": 3, "most": 12, "pin_ms": 4000.0,
                           "hold_ms": 2000.0, "handle_ttl_s": 5.0,
                           "models": [{"name": "m"}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": self.keys,
                         "priority": 1}]})

    async def start(self, engines, nodes, run):
        if not os.path.exists(PROGRAM):
            raise Unable("%s is not built" % PROGRAM)
        await self.store.listen()
        self.put_config()
        for e in engines:
            e.run = run
            await e.start()
            self.engines.append(e)
        for i in range(nodes):
            n = Node(self, i + 1, self.store_port(i))
            self.nodes.append(n)
            n.start()
        for n in self.nodes:
            await n.wait_ready()

    def store_port(self, number):
        return self.store.port

    def stop(self):
        for n in self.nodes:
            n.kill()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def ask(self, node, method, target, fields, body=b"", limit=10.0,
                  label=""):
        fields = dict(fields)
        fields.setdefault("X-Savorypier-Attempt-Id", self.new_id())
        fields.setdefault("Authorization", "Bearer " + KEY)
        fields.setdefault("X-Savorypier-Deadline-Ms", "6000")
        sent = now()
        answer = await ask(node.caller, method, target, fields, body, limit)
        answer.sent = sent
        answer.done = now()
        answer.id = fields["X-Savorypier-Attempt-Id"]
        self.record.line("client %s %s %s at %s: sent at %.3f, %s %s%s" % (
            answer.id, method, target, node.name, sent, answer.status,
            "complete" if answer.complete else "broken " + answer.error,
            label and " " + label))
        return answer


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, play):
    """Runs a case; `play` returns True if the rule held."""
    bed = Bed(case)
    code = 2
    try:
        code = 0 if asyncio.run(asyncio.wait_for(play(bed), 115)) else 1
    except Unable as e:
        print("cannot run:", e)
    except Exception as e:  # a fault of the script is no broken rule
        print("cannot run:", type(e).__name__, e)
    finally:
        bed.stop()
    bed.record.line("exit %d" % code)
    sys.exit(code)

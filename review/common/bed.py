"""Processes and stand-ins that the cases of this review share.

The store is the project's own stand-in, the nodes are the program of the deploy
file, and backend servers and callers are threads of the case's own process. All
addresses are loopback addresses with free ports.
"""

import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "savorypierd")
STANDIN = os.path.join(ROOT, "build", "standin-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "callers.example"
KEY = "key-of-org"

USED = set()
LIBC = ctypes.CDLL(None, use_errno=True)

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


def ephemeral_ports():
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as f:
            first, last = f.read().split()
            return int(first), int(last)
    except (OSError, ValueError):
        return 32768, 60999


def free_ports(n):
    """Ports that are free for TCP and UDP, and that no outgoing connection is
    given before they are used."""
    first, last = ephemeral_ports()
    ports = []
    while len(ports) < n:
        port = random.randrange(10000, 60000)
        if first <= port <= last or port in ports or port in USED:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as t, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as u:
            try:
                t.bind(("127.0.0.1", port))
                u.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    USED.update(ports)
    return ports


def read_head(f):
    """The first line and the fields of a message; None at the end of input."""
    line = f.readline()
    if not line:
        return None
    fields = []
    while True:
        text = f.readline()
        if not text.endswith(b"\n"):
            return None
        text = text.rstrip(b"\r\n")
        if not text:
            break
        name, _, value = text.partition(b":")
        fields.append((name.decode("latin-1").strip().lower(),
                       value.decode("latin-1").strip()))
    return line.decode("latin-1").strip(), fields


def field(fields, name, otherwise=None):
    for n, v in fields:
        if n == name.lower():
            return v
    return otherwise


class Store:
    """The project's stand-in of the platform's store."""

    def __init__(self, bed):
        self.process = bed.start([STANDIN, "store"], stdout=subprocess.PIPE)
        line = self.process.stdout.readline().decode()
        if not line.startswith("ready "):
            raise CannotRun("the store didn't start")
        self.port = int(line.split()[1])

    def post(self, path, body=b""):
        s = socket.create_connection(("127.0.0.1", self.port), 5)
        s.sendall(b"POST %s HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n"
                  b"Connection: close\r\n\r\n%s" % (path.encode(), len(body), body))
        f = s.makefile("rb")
        head = read_head(f)
        s.close()
        if head is None or " 200 " not in head[0] + " ":
            raise CannotRun("the store refused " + path)

    def put(self, topic, key, value):
        text = b"" if value is None else json.dumps(value).encode()
        self.post("/test/put?topic=%s&key=%s" % (topic, key), text)

    def down(self, on):
        self.post("/test/down?on=%d" % on)


class Node:
    """One process of the system, with the settings that the deploy file's
    template renders."""

    def __init__(self, bed, number, peers_key="savorypier-entry-nodes-of-one-deployment"):
        self.name = "frontend-%d" % number
        (self.caller, self.control, self.peer, self.ready, self.directory,
         self.metrics) = free_ports(6)
        self.file = os.path.join(bed.folder, self.name + ".yaml")
        with open(self.file, "w", encoding="ascii") as f:
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
bounds:
  keys_fail_closed: true
  keys_bound_ms: 5000
  change_bound_ms: 2000
  server_stay_ms: 2000
  retry_ratio: 0.2
  retry_fixed: 56
  retry_window_s: 10
  stop_s: 8
%soutgoing_address: 127.0.1.%d
peer_key: %s
""" % (self.name, self.caller, self.control, self.peer, self.ready,
                self.directory, self.metrics, bed.store.port, bed.more_settings,
                number, peers_key))
        # Its connections to backend servers come from an address of its own.
        self.address = "127.0.1.%d" % number
        self.bed = bed
        self.process = None

    def start(self):
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.process = self.bed.start(
            ["target/savorypierd", "-c", self.file], stdout=log, stderr=log,
            cwd=ROOT)
        log.close()

    def is_ready(self):
        try:
            s = socket.create_connection(("127.0.0.1", self.ready), 1)
            s.sendall(b"GET /readiness HTTP/1.1\r\nHost: r\r\n"
                      b"Connection: close\r\n\r\n")
            head = read_head(s.makefile("rb"))
            s.close()
        except OSError:
            return False
        return head is not None and head[0].split()[1] == "200"

    def ended(self):
        """The exit status, if the process has ended by itself."""
        return self.process.poll()


class Bed:
    """A deployment: a store, nodes, and what the case adds."""

    def __init__(self, folder, more_settings=""):
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.more_settings = more_settings
        self.store = None
        self.nodes = []
        self.cut = set()    # addresses of nodes that no server answers
        for path in (DAEMON, STANDIN):
            if not os.access(path, os.X_OK):
                raise CannotRun("not built: " + os.path.relpath(path, ROOT))

    def start(self, args, **more):
        p = subprocess.Popen(args, stdin=subprocess.DEVNULL, **more)
        self.processes.append(p)
        return p

    def note(self, text, *args):
        """A line of record.txt."""
        with self.lock:
            if not self.record.closed:
                self.record.write("%8.3f %s\n" % (
                    time.monotonic() - self.started, text % args if args else text))
                self.record.flush()

    def start_nodes(self, n):
        self.nodes = [Node(self, i + 1) for i in range(n)]
        for node in self.nodes:
            node.start()
        self.wait(lambda: all(node.is_ready() for node in self.nodes), 15,
                  "the nodes aren't ready")

    def wait(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(what)
            time.sleep(0.05)

    def finish(self):
        for p in self.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
            p.wait()
        if os.environ.get("REVIEW_KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class Server:
    """A backend server. The case gives `handle(server, conn, request)`, which
    writes the answer and returns True if the connection is kept."""

    def __init__(self, bed, name, handle):
        self.bed = bed
        self.name = name
        self.handle = handle
        self.listener = None
        self.conns = set()
        self.peers = {}
        self.lock = threading.Lock()
        self.port = free_ports(1)[0]
        self.open()

    def open(self):
        s = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", self.port))
        s.listen(256)
        self.port = s.getsockname()[1]
        self.listener = s
        threading.Thread(target=self.accept, args=(s,), daemon=True).start()

    def close(self):
        """The process ends: nothing listens, and all connections end."""
        listener, self.listener = self.listener, None
        if listener is not None:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        with self.lock:
            conns = list(self.conns)
        for c in conns:
            self.cut(c)

    def cut_off(self, address):
        """A partition from a node: its connections are reset."""
        with self.lock:
            conns = [c for c in self.conns if self.peers.get(c) == address]
        for c in conns:
            self.cut(c, True)

    @staticmethod
    def cut(conn, reset=False):
        """Close the connection as the end of the process does, or reset it."""
        try:
            if reset:
                # connect(2) with AF_UNSPEC resets, also while others read it.
                LIBC.connect(conn.fileno(), bytes(16), 16)
            conn.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def accept(self, listener):
        while True:
            try:
                conn, peer = listener.accept()
            except OSError:
                return
            if peer[0] in self.bed.cut:
                self.cut(conn, True)
                continue
            self.peers[conn] = peer[0]
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.conns.add(conn)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        f = conn.makefile("rb")
        try:
            while True:
                head = read_head(f)
                if head is None:
                    break
                start, fields = head
                length = int(field(fields, "content-length", "0"))
                body = f.read(length)
                if len(body) < length:
                    break
                method, target, _ = start.split(" ", 2)
                if target in ("/report", "/health"):
                    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: "
                                 b"application/json\r\nContent-Length: 2\r\n"
                                 b"X-Savorypier-Instance-Id: %s\r\n\r\n{}"
                                 % self.name.encode())
                    continue
                if not self.handle(self, conn, (method, target, fields, body)):
                    break
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.conns.discard(conn)
                self.peers.pop(conn, None)
            try:
                f.close()
                conn.close()
            except OSError:
                pass

    def answer_fields(self, request):
        """What an answer carries: the request's id and the server's signature."""
        return ("X-Savorypier-Attempt-Id: %s\r\n"
                "X-Savorypier-Response-Signature: %s.sig\r\n"
                % (field(request[2], "x-savorypier-attempt-id", ""), self.name)
                ).encode()


def ask(node, method, target, attempt, body=b"", more="", timeout=15,
        deadline_ms=3000, opened=None):
    """One request on a connection of its own: (status, fields, body, complete);
    status 0: no answer. `opened`: a list that the connection is added to."""
    try:
        s = socket.create_connection(("127.0.0.1", node.caller), 1)
    except OSError:
        return 0, [], b"", False
    s.settimeout(timeout)
    if opened is not None:
        opened.append(s)
    try:
        s.sendall(("%s %s HTTP/1.1\r\nHost: %s\r\n"
                   "X-Savorypier-Attempt-Id: %s\r\n"
                   "X-Savorypier-Deadline-Ms: %d\r\n"
                   "Authorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n"
                   % (method, target, HOST, attempt, deadline_ms, KEY, more,
                      len(body))).encode() + body)
        return read_answer(s.makefile("rb"))
    except OSError:
        return 0, [], b"", False
    finally:
        s.close()


def read_answer(f):
    head = read_head(f)
    if head is None:
        return 0, [], b"", False
    status, fields = int(head[0].split()[1]), head[1]
    if field(fields, "transfer-encoding") == "chunked":
        body = b""
        while True:
            size = f.readline()
            if not size.endswith(b"\n"):
                return status, fields, body, False
            n = int(size.split(b";")[0], 16)
            if n == 0:
                f.readline()
                return status, fields, body, True
            part = f.read(n)
            body += part
            if len(part) < n or f.read(2) != b"\r\n":
                return status, fields, body, False
    n = field(fields, "content-length")
    if n is None:
        return status, fields, f.read(), False
    body = f.read(int(n))
    return status, fields, body, len(body) == int(n)


def main(folder, case, more_settings=""):
    """Run a case and exit as the review's scripts do."""
    bed = None
    result = NOT_RUN
    try:
        bed = Bed(folder, more_settings)
        bed.store = Store(bed)
        result = case(bed)
        for node in bed.nodes:
            if node.ended() is not None and not getattr(node, "expected_end", False):
                bed.note("%s ended by itself with %s", node.name, node.ended())
    except CannotRun as why:
        print("could not run:", why)
        if bed:
            bed.note("could not run: %s", why)
    finally:
        if bed:
            bed.note("result %d (0 held, 1 broken, 2 could not run)", result)
            bed.finish()
    sys.stdout.flush()
    os._exit(result)

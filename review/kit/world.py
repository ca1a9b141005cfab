"""Stand-ins for one small deployment: store, servers and clients, all on loopback addresses.

They speak what PROTOCOL.md says and use the standard library only. The program under review is
started with the command of deploy/system.toml, as a process of its own.
"""

import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes record.txt, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f}  {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def listen(address=("127.0.0.1", 0), backlog=512):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(backlog)
    return listener


def spawn(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def fill(self):
        data = self.connection.recv(1 << 18)
        if not data:
            raise EOFError("the connection ended")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def exactly(self, count):
        parts, have = [self.buffer[:count]], min(count, len(self.buffer))
        self.buffer = self.buffer[count:]
        while have < count:
            data = self.connection.recv(min(1 << 18, count - have))
            if not data:
                raise EOFError("the connection ended within a body")
            parts.append(data)
            have += len(data)
        return b"".join(parts)

    def head(self):
        """First line and headers, whose names are in lower case."""
        first = self.line().decode("latin-1")
        headers = []
        while True:
            line = self.line().decode("latin-1")
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers.append((name.strip().lower(), value.strip()))

    def chunks(self):
        """Chunks of a chunked body; EOFError if it ends without the last chunk."""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return
            data = self.exactly(size)
            if self.exactly(2) != b"\r\n":
                raise ValueError("a chunk without its end")
            yield data


def get(headers, name):
    for known, value in headers:
        if known == name:
            return value
    return None


class Store:
    """The platform's store: rows with versions, a feed, transactions."""

    def __init__(self, record):
        self.record = record
        self.rows, self.changes, self.version = {}, [], 0
        self.changed = threading.Condition()
        self.started = time.monotonic()
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        spawn(self.accept)

    def put(self, table, key, value):
        """Writes a row; None removes it. Returns when the store has accepted it."""
        content = None
        if value is not None:
            content = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self._set(table, "", key, content)
            self.changed.notify_all()

    def _set(self, table, part, key, content):
        self.version += 1
        row = {"Table": table, "part": part, "Key": key, "Ver": self.version}
        if content is None:
            self.rows.pop((table, part, key), None)
            row["Removed"] = True
        else:
            row["Value"] = content
            self.rows[(table, part, key)] = row
        self.changes.append(row)

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            spawn(self.serve, connection)

    def serve(self, connection):
        reader = Reader(connection)
        try:
            while True:
                first, headers = reader.head()
                method, target, _ = first.split(" ")
                body = reader.exactly(int(get(headers, "content-length") or 0))
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                status, answer = self.answer(method, url.path, query, body)
                answer = dict(answer, Ver=self.version)
                answer["NowMs"] = int((time.monotonic() - self.started) * 1000)
                text = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(text)}\r\n\r\n"
                connection.sendall(head.encode() + text)
        except (EOFError, OSError, ValueError):
            connection.close()

    def answer(self, method, path, query, body):
        with self.changed:
            if path == "/jujubeusher/rows-get":
                table, part = query.get("Table", ""), query.get("part", "")
                rows = [
                    row
                    for (t, p, k), row in sorted(self.rows.items())
                    if t == table and p == part and k >= query.get("From", "")
                ]
                return 200, {"Rows": rows, "Truncated": False}
            if path == "/jujubeusher/rows-feed":
                table, since = query.get("Table", ""), int(query.get("SinceRev", 0))
                until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
                while True:
                    rows = [r for r in self.changes if r["Ver"] > since and r["Table"] == table]
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        return 200, {"Rows": rows}
                    self.changed.wait(left)
            if path == "/jujubeusher/rows-tx" and method == "POST":
                call = json.loads(body)
                for row in call.get("SetKeys") or []:
                    self._set(row["Table"], row.get("part", ""), row["Key"], row["Value"])
                for row in call.get("Delete") or []:
                    self._set(row["Table"], row.get("part", ""), row["Key"], None)
                self.changed.notify_all()
                return 200, {}
            return 404, {}


class Request:
    """A request as a server received it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.id = get(headers, "x-request-id") or ""
        self.deadline_ms = float(get(headers, "x-deadline-ms") or 60_000)


class Server:
    """A server of a service. `run(request, reply)` works on each request that it accepts."""

    def __init__(self, store, record, service, run, zone="z1", slots=64):
        self.store, self.record, self.service, self.run = store, record, service, run
        self.zone, self.slots = zone, slots
        self.id = "i-" + os.urandom(4).hex()
        self.born = int(time.time() * 1000)
        self.sequence, self.state, self.open = 0, "ready", True
        # A server whose machine has gone dark accepts nothing more; `fillers` keep its queue full.
        self.is_dark, self.fillers = False, []
        self.stamps = 0
        self.runs, self.connections = [], set()
        self.listener = listen()
        self.port = self.listener.getsockname()[1]
        self.beat()
        spawn(self.beats)
        spawn(self.accept)

    def beat(self):
        self.sequence += 1
        entry = {
            "Backend": self.service,
            "Addr": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.id, entry)

    def beats(self):
        while self.open:
            time.sleep(1.2)
            if self.open:
                self.beat()

    def exit(self):
        """Ends the server's process: all its connections are closed."""
        self.open = False
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def drain(self):
        self.state = "draining"
        self.beat()
        self.record(f"server {self.id} reports draining, accepted by the store")

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if self.is_dark:
                self.fillers.append(connection)
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self.serve, connection)

    def serve(self, connection):
        self.connections.add(connection)
        reader = Reader(connection)
        try:
            while True:
                first, headers = reader.head()
                method, target, _ = first.split(" ")
                if get(headers, "transfer-encoding") == "chunked":
                    body = b"".join(reader.chunks())
                else:
                    body = reader.exactly(int(get(headers, "content-length") or 0))
                request = Request(method, target, headers, body)
                reply = Reply(self, connection, request)
                expected = get(headers, "x-expect-instance")
                if expected not in (None, self.id):
                    reply.whole(421, b"", stamped=False)
                    continue
                self.runs.append(request.id)
                self.record(f"server {self.id} runs {request.id}")
                self.run(request, reply)
                if reply.closes:
                    connection.close()
                    return
        except (EOFError, OSError) as error:
            self.record(f"server {self.id}: a connection ended ({error})")
            self.connections.discard(connection)
            connection.close()


class Reply:
    """Writes the answer to one request."""

    def __init__(self, server, connection, request):
        self.server, self.connection, self.request = server, connection, request
        self.closes = False

    def head(self, status, extra, stamped=True):
        self.server.stamps += 1
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {self.request.id}"]
        if stamped:
            lines.append(f"X-Server-Stamp: {self.server.id}.{self.server.stamps}")
        lines += [f"{name}: {value}" for name, value in extra]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def send(self, data):
        self.connection.sendall(data)

    def whole(self, status, body, extra=(), stamped=True):
        extra = [("Content-Length", len(body)), *extra]
        self.send(self.head(status, extra, stamped) + body)
        self.server.record(f"server {self.server.id} answers {self.request.id} with {status}")

    def not_run(self, extra=()):
        self.server.runs.remove(self.request.id)
        self.send(self.head(503, [("Content-Length", 0), ("X-Not-Run", 1), *extra], stamped=False))
        self.server.record(f"server {self.server.id} has not run {self.request.id} (X-Not-Run)")

    def begin_stream(self, extra=()):
        headers = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        self.send(self.head(200, [*headers, *extra]))

    def event(self, number, text="piece"):
        data = f"id: {number}\ndata: {text} {number}\n\n".encode()
        self.send(b"%x\r\n%s\r\n" % (len(data), data))
        self.server.record(f"server {self.server.id} sends event {number} of {self.request.id}")

    def end_stream(self):
        self.send(b"0\r\n\r\n")
        self.server.record(f"server {self.server.id} ends the stream {self.request.id}")


class Router:
    """The program under review, one process."""

    def __init__(self, world, number, seeds, memory_mb=260, zone="z1"):
        self.world, self.number = world, number
        self.front, self.ready = free_port(), free_port()
        self.ip = f"127.0.0.{number}" if number > 1 else "127.0.0.1"
        self.settings = os.path.join(world.folder, f"boot-{number}.toml")
        text = f"""
Node = "front-z1-{number}"
Role = "router"
Class = "front"
Serves = ["front","control"]
Ip = "{self.ip}"
Zone = "{zone}"
Region = "r"
PortRange = [{world.relay_port},{world.relay_port + 1}]
Seeds = {json.dumps(seeds)}
Bootstrap = true
BeatMs = 1200
[Listen]
Front = "127.0.0.1:{self.front}"
Ready = "127.0.0.1:{self.ready}"
Control = "{self.ip}:{world.control_port}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = {memory_mb}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ApplyMs = 2000
BudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 54
RecoverS = 12
[Provider]
Addr = "{world.store.address}"
form = "table"
"""
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.start()

    def start(self):
        with open(os.path.join(REPO, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["router"]["run"].split(" ")
        command[0] = os.path.join(REPO, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f"{command[0]} is not built")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["JUJUBEUSHER_BOOT"] = self.settings
        self.log = open(os.path.join(self.world.folder, f"router-{self.number}.log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=REPO, env=environment, stdout=self.log, stderr=self.log
        )
        self.world.record(f"router {self.number} started")

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), 1) as connection:
                connection.sendall(b"GET /jujubeusher/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                connection.settimeout(1)
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self):
        until = time.monotonic() + 15
        while not self.is_ready():
            if self.process.poll() is not None or time.monotonic() > until:
                raise CannotRun(f"router {self.number} does not get ready")
            time.sleep(0.05)
        self.world.record(f"router {self.number} is ready")

    def signal(self, number):
        self.world.record(f"{signal.Signals(number).name} to router {self.number}")
        self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0


class Answer:
    """What a client received."""

    def __init__(self):
        self.status, self.headers, self.body = None, [], b""
        self.is_complete, self.error = False, ""

    def __str__(self):
        text = f"status {self.status}, {len(self.body)} bytes, "
        return text + ("complete" if self.is_complete else f"not complete ({self.error})")


class Client:
    """A client's connection, which is kept for several requests."""

    def __init__(self, router, record, timeout_s=30):
        self.record = record
        self.connection = socket.create_connection(("127.0.0.1", router.front), 1)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection.settimeout(timeout_s)
        self.reader = Reader(self.connection)

    def send(self, method, path, body=b"", deadline_ms=12_000, extra=()):
        """Sends a request and returns its id."""
        request_id = os.urandom(8).hex()
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", deadline_ms),
            ("X-Key", KEY),
            *extra,
        ]
        if body or method == "POST":
            headers.append(("Content-Length", len(body)))
        text = f"{method} {path} HTTP/1.1\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n"
        self.connection.sendall(text.encode())
        if body:
            self.connection.sendall(body)
        self.record(f"client sent {method} {path} {request_id}, {len(body)} bytes")
        return request_id

    def receive(self, request_id):
        """Receives the answer as far as it comes."""
        answer = Answer()
        try:
            first, answer.headers = self.reader.head()
            answer.status = int(first.split(" ")[1])
            if get(answer.headers, "transfer-encoding") == "chunked":
                for chunk in self.reader.chunks():
                    answer.body += chunk
            else:
                answer.body = self.reader.exactly(int(get(answer.headers, "content-length") or 0))
            answer.is_complete = True
        except (EOFError, OSError, ValueError) as error:
            answer.error = str(error) or type(error).__name__
        self.record(f"client received for {request_id}: {answer}")
        return answer

    def ask(self, method, path, body=b"", deadline_ms=12_000, extra=()):
        request_id = self.send(method, path, body, deadline_ms, extra)
        return request_id, self.receive(request_id)

    def close(self):
        self.connection.close()


def route(name, prefix, kind, service, timeout_ms=12_000, **more):
    entry = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "GoalMs": 500,
        "Priority": 1,
        "Backend": service,
        "Attempts": 2,
        "Public": False,
    }
    entry.update(more)
    return entry


class World:
    """One deployment."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="jujubeusher-review-")
        self.relay_port, self.control_port = free_port(), free_port()
        self.store = Store(self.record)
        self.routers = []

    def configure(self, routes, services, version=7):
        config = {
            "Version": version,
            "Routes": routes,
            "Backends": [
                {"Name": name, "HealthPath": "/health", "MaxConns": conns, "Protocol": "h1"}
                for name, conns in services
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
        }
        self.store.put("op", "config", config)
        self.record(f"configuration {version} acknowledged by the store")

    def server(self, service, run, **more):
        return Server(self.store, self.record, service, run, **more)

    def start_routers(self, count=3, **more):
        """Starts routers, the first three of which are the seeds, and waits until they are ready."""
        seeds = [f"127.0.0.{n}:{self.control_port}" for n in range(1, min(count, 3) + 1)]
        for number in range(1, count + 1):
            self.routers.append(Router(self, number, seeds, **more))
        for router in self.routers:
            router.wait_ready()
        # The routers find each other, and learn their number, within this time.
        time.sleep(3)
        return self.routers

    def close(self, keep=False):
        for router in self.routers:
            if router.process.poll() is None:
                router.process.kill()
            router.process.wait()
            router.log.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    world = World(folder)
    code = 2

    def stop():
        world.record("the case could not run: it took too long")
        world.close()
        os._exit(2)

    watchdog = threading.Timer(LIMIT_S, stop)
    watchdog.daemon = True
    watchdog.start()
    try:
        world.record(f"TROUBLE={1 if TROUBLE else 0}")
        broken = case(world)
        code = 1 if broken else 0
        world.record("the rule was broken: " + broken if broken else "the rule held")
        print(broken or "the rule held")
    except Exception as error:  # CannotRun, or a fault of the stand-ins
        world.record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        world.close(keep="KEEP" in os.environ)
        if "KEEP" in os.environ:
            print(world.folder)
    sys.stdout.flush()
    os._exit(code)
